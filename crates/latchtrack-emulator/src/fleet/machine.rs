//! One emulated machine: its agent's protocol state and the tasks on it.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{json, Value};

use crate::lifecycle::{AttemptKey, ExitCause, TaskPhase};

/// An attempt at a task on a machine.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub phase: TaskPhase,
    /// When the phase ends, in ms of the fleet's clock.
    pub phase_ends_ms: u64,
    /// When it began to run, in ms of the fleet's clock; until then, when it was launched.
    pub running_since_ms: u64,
}

impl Attempt {
    /// Whether it still takes resources of its machine.
    pub fn is_live(&self) -> bool {
        !matches!(self.phase, TaskPhase::Ended(_))
    }

    /// Whether its process exists, so that leaving the machine ends a run.
    pub fn is_executing(&self) -> bool {
        matches!(self.phase, TaskPhase::Running | TaskPhase::Checkpointing)
    }
}

/// A machine of the fleet. All times are in ms of the fleet's clock.
#[derive(Debug, Default)]
pub(super) struct Machine {
    /// Where its agent listens for direct calls.
    pub addr: String,
    pub boots_at_ms: u64,
    /// 0 until the agent has started.
    pub agent_epoch: u64,
    pub sequence: u64,
    /// The highest fencing token that it has accepted.
    pub fencing_token: u64,
    /// From when its worker lease counts.
    pub lease_renewed_ms: u64,
    pub next_heartbeat_ms: u64,
    pub is_heartbeat_in_flight: bool,
    /// Index of the node that it reports to, modulo the number of nodes.
    pub node: usize,
    pub attempts: BTreeMap<AttemptKey, Attempt>,
    /// Images that it has fetched.
    pub images: BTreeSet<String>,
    /// Until then nothing passes between it and the nodes.
    pub partitioned_until_ms: u64,
    /// Until then it executes nothing.
    pub paused_until_ms: u64,
    pub has_crashed: bool,
    /// Until then it rejects every launch for insufficient resources.
    pub rejects_launches_until_ms: u64,
}

impl Machine {
    /// A machine that finishes booting at a time, and heartbeats from then on.
    pub fn booting(addr: String, boots_at_ms: u64) -> Machine {
        Machine { addr, boots_at_ms, next_heartbeat_ms: boots_at_ms, ..Machine::default() }
    }

    /// Whether it has booted and not crashed.
    pub fn is_up(&self, now_ms: u64) -> bool {
        !self.has_crashed && now_ms >= self.boots_at_ms
    }

    /// Moves its next heartbeat forward, to at most this long from now.
    pub fn heartbeat_within(&mut self, now_ms: u64, ms: u64) {
        self.next_heartbeat_ms = self.next_heartbeat_ms.min(now_ms + ms);
    }

    /// The agent's epoch as it reports it: at least 1.
    pub fn reported_epoch(&self) -> u64 {
        self.agent_epoch.max(1)
    }

    /// The body of its next heartbeat, in the words of the protocol.
    pub fn next_heartbeat(&mut self, name: &str) -> Value {
        self.sequence += 1;
        let tasks: Vec<Value> = self.attempts.iter().map(attempt_row).collect();
        json!({"host": name, "addr": self.addr, "build": "t1", "yard": "a", "loaners": true,
            "shift": self.reported_epoch(), "tally": self.sequence, "baton": self.fencing_token,
            "recall_s": null, "pieces": tasks})
    }
}

fn attempt_row((key, attempt): (&AttemptKey, &Attempt)) -> Value {
    let status = attempt.phase.protocol_name();
    let mut row = json!({"piece": key.task, "try": key.attempt, "status": status});
    if let TaskPhase::Ended(cause) = attempt.phase {
        row["cause"] = json!(cause.protocol_name());
        row["stored"] = json!(cause == ExitCause::Stopped);
    }
    row
}
