//! Sends commands to machines, in the response to a heartbeat or by a direct call if they should
//! not wait for the next heartbeat.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::messages::CallId;
use super::Scheduler;
use crate::constants::{MAX_OPEN_PROBES, MIN_FORGET_BATCH, STOP_RETRY_MS};
use crate::job::{Job, JobId};
use crate::machine::{Command, ExitCause, Heartbeat, Machine, TaskPhase, TaskRun};
use crate::Millis;

/// The purpose of a direct call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// Carries commands.
    Commands,
    /// Checks whether the worker responds; carries no commands.
    Probe,
}

/// Machines with possibly pending commands, and the open direct calls.
#[derive(Clone, Debug)]
pub(super) struct CommandDispatcher {
    max_open_calls: usize,
    /// Machines that may have commands to send now.
    woken: BTreeSet<String>,
    /// Machines to be woken by the next tick.
    deferred: BTreeSet<String>,
    open_calls: HashMap<CallId, CallKind>,
    open_probes: usize,
    last_call: u64,
}

impl CommandDispatcher {
    /// Creates a dispatcher that allows at most `max_open_calls` open direct calls.
    pub fn new(max_open_calls: usize) -> Self {
        CommandDispatcher {
            max_open_calls,
            woken: BTreeSet::new(),
            deferred: BTreeSet::new(),
            open_calls: HashMap::new(),
            open_probes: 0,
            last_call: 0,
        }
    }

    /// Makes the next dispatch check this machine for commands to send.
    pub fn wake(&mut self, machine: &str) {
        self.woken.insert(machine.to_string());
    }

    /// Makes the first dispatch after the next tick check this machine for commands to send.
    pub fn wake_at_next_tick(&mut self, machine: String) {
        self.deferred.insert(machine);
    }

    /// Wakes the machines deferred to this tick.
    pub fn observe_tick(&mut self) {
        self.woken.append(&mut self.deferred);
    }

    /// Cancels a pending wake of this machine; one deferred to the next tick remains.
    pub fn forget(&mut self, machine: &str) {
        self.woken.remove(machine);
    }

    /// Whether another direct call may be opened.
    pub fn may_call(&self) -> bool {
        self.open_calls.len() < self.max_open_calls
    }

    /// Whether another probe may be opened.
    pub fn may_probe(&self) -> bool {
        self.open_probes < MAX_OPEN_PROBES && self.may_call()
    }

    /// Opens a direct call and returns its id, which is unique within the term.
    pub fn open_call(&mut self, kind: CallKind) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        self.open_calls.insert(call, kind);
        self.open_probes += usize::from(kind == CallKind::Probe);
        call
    }

    /// Closes a direct call and returns its kind, or `None` if it is not open.
    pub fn close_call(&mut self, call: CallId) -> Option<CallKind> {
        let kind = self.open_calls.remove(&call)?;
        self.open_probes -= usize::from(kind == CallKind::Probe);
        Some(kind)
    }
}

/// When to resend a stop command.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StopResend {
    /// Every time; in a heartbeat response this costs nothing.
    Always,
    /// Only after [`STOP_RETRY_MS`].
    AfterInterval,
}

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

    /// Sends urgent commands to the woken machines by direct calls, except to `except`, which has
    /// just received a heartbeat response.
    pub(super) fn dispatch(&mut self, now: Millis, except: Option<&str>) {
        for name in std::mem::take(&mut self.dispatcher.woken) {
            // The end of an open call wakes the machine again.
            let Some(machine) = self.inventory.get_mut(&name).filter(|m| m.open_call.is_none())
            else {
                continue;
            };
            if except == Some(name.as_str()) || !machine.is_up() || machine.termination_sent {
                continue;
            }
            if now < machine.next_call_at || !self.dispatcher.may_call() {
                self.dispatcher.wake_at_next_tick(name);
                continue;
            }
            let commands = direct_commands(machine, now, self.fencing.of(machine));
            if machine.runs.values().any(|run| run.is_live() && run.stop.is_some()) {
                self.dispatcher.wake_at_next_tick(name.clone());
            }
            if !commands.is_empty() {
                self.call(&name, commands);
            }
        }
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

/// Returns the urgent commands for a direct call with this token to a machine: launches that were
/// never sent, and stops.
fn direct_commands(machine: &mut Machine, now: Millis, token: u64) -> Vec<Command> {
    let mut commands = Vec::new();
    for run in machine.runs.values_mut() {
        if run.phase == TaskPhase::Assigned && run.launch_sends == 0 {
            commands.push(Command::Launch { task: run.task, attempt: run.attempt });
            run.record_launch_sent(now);
            run.direct_launch_token = Some(token);
        }
        if run.is_live() {
            push_stop(run, now, StopResend::AfterInterval, &mut commands);
        }
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

/// Adds the stop command of a run, if it is due.
fn push_stop(run: &mut TaskRun, now: Millis, resend: StopResend, commands: &mut Vec<Command>) {
    let Some(stop) = &mut run.stop else { return };
    // A checkpointing task is sent another stop only if it is to end immediately.
    if run.phase == TaskPhase::Checkpointing && stop.grace_s > 0.0 {
        return;
    }
    let is_due = stop
        .sent_at
        .is_none_or(|sent_at| resend == StopResend::Always || now >= sent_at + STOP_RETRY_MS);
    if is_due {
        stop.sent_at = Some(now);
        commands.push(Command::Stop {
            task: run.task,
            attempt: run.attempt,
            grace_s: stop.grace_s,
        });
    }
}
