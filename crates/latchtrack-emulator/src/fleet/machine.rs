//! An emulated machine: the protocol state of its agent and its attempts.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{json, Value};

use crate::lifecycle::{AttemptKey, ExitCause, TaskPhase};

/// An attempt at a task on a machine.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub phase: TaskPhase,
    /// When the phase ends, in ms on the fleet's clock.
    pub phase_ends_ms: u64,
    /// When it started to run (before that, when it was launched), in ms on the fleet's clock.
    pub running_since_ms: u64,
}

impl Attempt {
    /// Returns whether it occupies resources of its machine.
    pub fn is_live(&self) -> bool {
        !matches!(self.phase, TaskPhase::Ended(_))
    }

    /// Returns whether its process exists, so that dropping it must be recorded as an end.
    pub fn is_executing(&self) -> bool {
        matches!(self.phase, TaskPhase::Running | TaskPhase::Checkpointing)
    }
}

/// A machine of the fleet. All times are in ms on the fleet's clock.
#[derive(Debug, Default)]
pub(super) struct Machine {
    /// The address on which its agent accepts direct calls.
    pub addr: String,
    pub boots_at_ms: u64,
    /// The epoch of its agent; 0 until the agent starts.
    pub agent_epoch: u64,
    pub sequence: u64,
    /// The highest fencing token accepted so far.
    pub fencing_token: u64,
    /// When its worker lease was last renewed.
    pub lease_renewed_ms: u64,
    pub next_heartbeat_ms: u64,
    pub is_heartbeat_in_flight: bool,
    /// Index of the node that gets its heartbeats, modulo the number of nodes.
    pub node: usize,
    pub attempts: BTreeMap<AttemptKey, Attempt>,
    /// Images that it has fetched; they are kept.
    pub images: BTreeSet<String>,
    /// When its partition from the nodes ends.
    pub partitioned_until_ms: u64,
    /// When its pause ends.
    pub paused_until_ms: u64,
    pub has_crashed: bool,
    /// Until when it rejects launches for insufficient resources.
    pub rejects_launches_until_ms: u64,
}

impl Machine {
    /// Creates a machine that finishes booting and sends its first heartbeat at `boots_at_ms`.
    pub fn booting(addr: String, boots_at_ms: u64) -> Machine {
        Machine { addr, boots_at_ms, next_heartbeat_ms: boots_at_ms, ..Machine::default() }
    }

    /// Returns whether it has booted and not crashed.
    pub fn is_up(&self, now_ms: u64) -> bool {
        !self.has_crashed && now_ms >= self.boots_at_ms
    }

    /// Brings its next heartbeat forward to at most `ms` from now.
    pub fn heartbeat_within(&mut self, now_ms: u64, ms: u64) {
        self.next_heartbeat_ms = self.next_heartbeat_ms.min(now_ms + ms);
    }

    /// Returns the agent's epoch as reported, which is at least 1.
    pub fn reported_epoch(&self) -> u64 {
        self.agent_epoch.max(1)
    }

    /// Builds the body of its next heartbeat in the protocol's format.
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
