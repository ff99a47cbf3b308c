//! Decides when a machine gets commands by a direct call, because they should not wait for its next
//! heartbeat.

use std::collections::{BTreeSet, HashMap};

use super::messages::CallId;
use super::Scheduler;
use crate::constants::{MAX_OPEN_PROBES, STOP_RETRY_MS};
use crate::machine::{Command, Machine, TaskPhase, TaskRun};
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
pub(super) enum StopResend {
    /// Every time; in a heartbeat response this costs nothing.
    Always,
    /// Only after [`STOP_RETRY_MS`].
    AfterInterval,
}

impl Scheduler {
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

/// Adds the stop command of a run, if it is due.
pub(super) fn push_stop(
    run: &mut TaskRun,
    now: Millis,
    resend: StopResend,
    commands: &mut Vec<Command>,
) {
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
