//! Commands to machines: with the response to a heartbeat, or by a direct call.

use std::collections::{BTreeSet, HashMap};

use super::Scheduler;
use crate::constants::{MIN_FORGET_BATCH, STOP_RETRY_MS};
use crate::machine::{Command, ExitCause, TaskPhase, TaskRun};
use crate::Millis;

/// Machines that are owed commands, and the direct calls that are open.
#[derive(Clone, Debug, Default)]
pub(super) struct CommandDispatcher {
    /// Machines for which there may be something to send now, or at the next tick.
    pub pending: BTreeSet<String>,
    pub next_tick: BTreeSet<String>,
    /// Direct calls that are open, and whether each only asks.
    pub open_calls: HashMap<u64, bool>,
    pub open_probes: usize,
    pub last_call_id: u64,
}

impl Scheduler {
    /// The commands of a report's answer: everything that the machine has not yet been seen to do.
    pub(super) fn heartbeat_response(&mut self, now: Millis, machine: &str) -> Vec<Command> {
        let Some(m) = self.inventory.get_mut(machine) else { return Vec::new() };
        if !m.is_up() {
            return Vec::new();
        }
        self.dispatcher.pending.remove(machine);
        let mut commands = Vec::new();
        let mut forgets = Vec::new();
        let call_open = m.open_call.is_some();
        for ((task, attempt), run) in &mut m.runs {
            let (task, attempt) = (*task, *attempt);
            match run.phase {
                TaskPhase::Assigned => {
                    commands.push(Command::Launch { task, attempt });
                    run.sent(now);
                    // A cancelled launch may still arrive directly. Started and stopped here, the
                    // attempt is known to the machine and the late command does nothing.
                    push_stop(run, now, true, &mut commands);
                }
                TaskPhase::Fetching
                | TaskPhase::Waiting
                | TaskPhase::Running
                | TaskPhase::Checkpointing
                | TaskPhase::Unrecognised => {
                    push_stop(run, now, true, &mut commands);
                }
                TaskPhase::Ended(cause) => {
                    let reserved_exclusively = cause == ExitCause::Done
                        && self.jobs.get(&task.job).is_some_and(|j| !j.persisted.get(task.index));
                    if !reserved_exclusively && !run.launch_outcome_unknown && !call_open {
                        forgets.push(Command::Forget { task, attempt });
                    }
                }
            }
        }
        // Forgetting is a change that the worker reports; by itself it is not worth that.
        if !commands.is_empty() || forgets.len() >= MIN_FORGET_BATCH {
            commands.append(&mut forgets);
        }
        commands
    }

    /// Sends what should not wait for the next report, to the machines that were woken.
    pub(super) fn dispatch(&mut self, now: Millis, except: Option<&str>) {
        for name in std::mem::take(&mut self.dispatcher.pending) {
            // With a call open, its end wakes the machine again.
            let Some(m) = self.inventory.get_mut(&name).filter(|m| m.open_call.is_none()) else {
                continue;
            };
            if except == Some(name.as_str()) || !m.is_up() || m.termination_sent {
                continue;
            }
            if now < m.next_call_at
                || self.dispatcher.open_calls.len() >= self.policy.max_open_calls
            {
                self.dispatcher.next_tick.insert(name);
                continue;
            }
            let mut commands = Vec::new();
            let mut stops = false;
            for ((task, attempt), run) in &mut m.runs {
                if run.phase == TaskPhase::Assigned && run.launch_sends == 0 {
                    commands.push(Command::Launch { task: *task, attempt: *attempt });
                    run.sent(now);
                }
                if run.is_live() {
                    push_stop(run, now, false, &mut commands);
                    stops |= run.stop.is_some();
                }
            }
            if stops {
                self.dispatcher.next_tick.insert(name.clone());
            }
            if !commands.is_empty() {
                self.call(&name, commands);
            }
        }
    }
}

/// Adds the stop of a run, if there is one to send now.
fn push_stop(run: &mut TaskRun, now: Millis, again: bool, commands: &mut Vec<Command>) {
    let Some(stop) = &mut run.stop else { return };
    // A task that is saving is only told again to end it at once.
    if run.phase == TaskPhase::Checkpointing && stop.grace_s > 0.0 {
        return;
    }
    let due = match stop.sent_at {
        None => true,
        Some(t) => again || now >= t + STOP_RETRY_MS,
    };
    if due {
        stop.sent_at = Some(now);
        commands.push(Command::Stop {
            task: run.task,
            attempt: run.attempt,
            grace_s: stop.grace_s,
        });
    }
}
