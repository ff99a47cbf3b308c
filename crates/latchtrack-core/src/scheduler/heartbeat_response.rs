//! The commands in the responses to heartbeats.

use std::collections::BTreeMap;

use super::dispatcher::{push_stop, StopResend};
use super::Scheduler;
use crate::constants::MIN_FORGET_BATCH;
use crate::job::{Job, JobId};
use crate::machine::{Command, ExitCause, Heartbeat, Machine, TaskPhase, TaskRun};
use crate::Millis;

impl Scheduler {
    /// Returns the commands for a heartbeat response: everything that the machine has not yet
    /// reported as done. The response must carry the machine's token, which this may raise.
    pub(super) fn heartbeat_response(&mut self, now: Millis, name: &str) -> Vec<Command> {
        let Some(machine) = self.inventory.get_mut(name).filter(|machine| machine.is_up()) else {
            return Vec::new();
        };
        self.dispatcher.forget(name);
        let mut commands = unreported_commands(machine, now);
        commands.append(&mut self.forgets(name, commands.len()));
        commands
    }

    /// Returns the forget commands that are due for a machine. If its token does not fence off the
    /// launches of the attempts, the token is raised. Attempts for which this term has no higher
    /// token yet are kept, and a write is requested that provides one.
    fn forgets(&mut self, name: &str, other_commands: usize) -> Vec<Command> {
        let Some(machine) = self.inventory.get_mut(name) else { return Vec::new() };
        // A raised token would make the machine reject the open call.
        if machine.open_call.is_some() {
            return Vec::new();
        }
        let ended: Vec<&TaskRun> =
            machine.runs.values().filter(|run| is_forgettable(run, &self.jobs)).collect();
        // A forget changes the worker's task list, which triggers another heartbeat, so forgets
        // are sent in batches or along with other commands.
        if ended.is_empty() || (other_commands == 0 && ended.len() < MIN_FORGET_BATCH) {
            return Vec::new();
        }
        let mut token = self.fencing.of(machine);
        if !ended.iter().all(|run| run.is_launch_fenced_by(token)) {
            match self.fencing.above(token) {
                Some(higher) => token = higher,
                None => self.persistence.request_revision(machine),
            }
        }
        let fenced = ended.into_iter().filter(|run| run.is_launch_fenced_by(token));
        let forgets =
            fenced.map(|run| Command::Forget { task: run.task, attempt: run.attempt }).collect();
        machine.fencing_token = token;
        forgets
    }

    /// Returns the commands for the response to a heartbeat that was not reconciled: those that end
    /// the tasks of closed jobs. They belong into every response, because it renews the lease under
    /// which the tasks run. Nothing is recorded as sent, because the heartbeat may be a late
    /// duplicate whose response nobody reads.
    pub(super) fn unreconciled_response(&self, heartbeat: &Heartbeat) -> Vec<Command> {
        let is_closed = |job: &JobId| !self.jobs.contains_key(job);
        let stop = |task, attempt| Command::Stop { task, attempt, grace_s: 0.0 };
        let runs = self.inventory.get(&heartbeat.machine).map(|machine| &machine.runs);
        let mut commands = Vec::new();
        for run in runs.into_iter().flat_map(|runs| runs.values()).filter(|run| run.is_live()) {
            if !is_closed(&run.task.job) {
                continue;
            }
            if run.phase == TaskPhase::Assigned {
                // It may still arrive by a direct call, and then does nothing.
                commands.push(Command::Launch { task: run.task, attempt: run.attempt });
            }
            commands.push(stop(run.task, run.attempt));
        }
        for status in heartbeat.tasks.iter().filter(|status| is_closed(&status.task.job)) {
            let is_known =
                runs.is_some_and(|runs| runs.contains_key(&(status.task, status.attempt)));
            if !is_known && !matches!(status.phase, TaskPhase::Ended(_)) {
                commands.push(stop(status.task, status.attempt));
            }
        }
        commands
    }
}

/// Returns the launches and stops for a machine that it has not reported as executed.
fn unreported_commands(machine: &mut Machine, now: Millis) -> Vec<Command> {
    let mut commands = Vec::new();
    for run in machine.runs.values_mut().filter(|run| run.is_live()) {
        // A cancelled attempt is launched and stopped, so that the machine knows it and ignores a
        // late launch by a direct call.
        if run.phase == TaskPhase::Assigned {
            commands.push(Command::Launch { task: run.task, attempt: run.attempt });
            run.record_launch_sent(now);
        }
        push_stop(run, now, StopResend::Always, &mut commands);
    }
    commands
}

/// Whether a run has ended and its machine need not keep its result.
fn is_forgettable(run: &TaskRun, jobs: &BTreeMap<JobId, Job>) -> bool {
    match run.phase {
        TaskPhase::Ended(ExitCause::Done) => {
            let job = jobs.get(&run.task.job);
            job.is_none_or(|job| job.persisted.get(run.task.index))
        }
        TaskPhase::Ended(_) => true,
        _ => false,
    }
}
