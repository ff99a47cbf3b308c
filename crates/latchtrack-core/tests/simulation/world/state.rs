//! What is stored, and the state of workers and nodes.

use super::*;

#[derive(Clone)]
pub(super) enum State {
    Open { stored_at: u64 },
    Done,
    Cancelled,
}

pub(super) struct Stored {
    pub(super) spec: Arc<JobSpec>,
    pub(super) state: State,
    pub(super) revision: u64,
    pub(super) told_cancelled: Option<u64>,
    pub(super) told_done: bool,
    /// Fails on every machine.
    pub(super) mistaken: bool,
    pub(super) submitted_at: u64,
    pub(super) begun: Option<u64>,
    /// Since when a task of it has waited though a machine that fits had room.
    pub(super) unschedulable_since: Option<u64>,
}

pub(super) struct WTask {
    pub(super) phase: TaskPhase,
    pub(super) until: u64,
}

pub(super) struct Worker {
    pub(super) kind: &'static str,
    pub(super) zone: &'static str,
    pub(super) spot: bool,
    pub(super) rented_at: u64,
    pub(super) up_at: u64,
    pub(super) alive: bool,
    pub(super) agent_epoch: u64,
    pub(super) sequence: u64,
    pub(super) token: u64,
    pub(super) lease_from: u64,
    pub(super) tasks: BTreeMap<(TaskId, u64), WTask>,
    pub(super) node: usize,
    /// Sent at, and the id of the report in flight.
    pub(super) flying: Option<(u64, u64)>,
    pub(super) next_report: u64,
    pub(super) cut_until: u64,
    /// Its reports arrive, answers and commands don't.
    pub(super) deaf_until: u64,
    /// It reaches no node; commands reach it.
    pub(super) mute_until: u64,
    pub(super) hang_until: u64,
    pub(super) sick: bool,
    pub(super) done_here: BTreeSet<TaskId>,
}

pub(super) struct Node {
    pub(super) up: bool,
    pub(super) back_at: u64,
    pub(super) paused_until: u64,
    pub(super) cut_until: u64,
    /// Refused by the state service alone.
    pub(super) refused_until: u64,
    pub(super) drift: f64,
    pub(super) cluster: Option<Scheduler>,
    pub(super) token: u64,
    pub(super) valid_until: u64,
    pub(super) fresh_at: u64,
    pub(super) seen_stamp: u64,
    pub(super) last_renew: u64,
    /// Steady clock at the start of this run.
    pub(super) saving: bool,
    pub(super) next_save: u64,
    pub(super) run: u64,
}
