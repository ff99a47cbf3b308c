//! What is stored, and the state of workers and nodes.

use super::*;

#[derive(Clone)]
pub(super) enum JobState {
    Open { stored_at: u64 },
    Done,
    Cancelled,
}

pub(super) struct StoredJob {
    pub(super) spec: Arc<JobSpec>,
    pub(super) state: JobState,
    pub(super) revision: u64,
    pub(super) cancel_confirmed_at: Option<u64>,
    pub(super) done_confirmed: bool,
    /// Fails on every machine.
    pub(super) always_fails: bool,
    pub(super) submitted_at: u64,
    pub(super) begun: Option<u64>,
    /// Since when a task of it has waited though a machine that fits had room.
    pub(super) unschedulable_since: Option<u64>,
}

pub(super) struct WorkerTask {
    pub(super) phase: TaskPhase,
    pub(super) until: u64,
}

pub(super) struct Worker {
    pub(super) machine_type: &'static str,
    pub(super) zone: &'static str,
    pub(super) spot: bool,
    pub(super) provisioned_at: u64,
    pub(super) up_at: u64,
    pub(super) alive: bool,
    pub(super) agent_epoch: u64,
    pub(super) sequence: u64,
    pub(super) token: u64,
    pub(super) lease_from: u64,
    pub(super) tasks: BTreeMap<(TaskId, u64), WorkerTask>,
    pub(super) node: usize,
    /// Sent at, and the id of the report in flight.
    pub(super) heartbeat_in_flight: Option<(u64, u64)>,
    pub(super) next_report: u64,
    pub(super) partitioned_until: u64,
    /// Its reports arrive, answers and commands don't.
    pub(super) inbound_lost_until: u64,
    /// It reaches no node; commands reach it.
    pub(super) outbound_lost_until: u64,
    pub(super) hung_until: u64,
    pub(super) fails_tasks: bool,
    pub(super) completed_here: BTreeSet<TaskId>,
}

pub(super) struct Node {
    pub(super) up: bool,
    pub(super) back_at: u64,
    pub(super) paused_until: u64,
    pub(super) partitioned_until: u64,
    /// Refused by the state service alone.
    pub(super) refused_until: u64,
    pub(super) drift: f64,
    pub(super) scheduler: Option<Scheduler>,
    pub(super) token: u64,
    pub(super) lease_valid_until: u64,
    pub(super) cache_fresh_at: u64,
    pub(super) seen_revision: u64,
    pub(super) last_renew: u64,
    /// Steady clock at the start of this run.
    pub(super) write_in_flight: bool,
    pub(super) next_write_at: u64,
    pub(super) run: u64,
}
