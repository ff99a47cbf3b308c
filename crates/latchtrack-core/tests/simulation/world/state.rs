//! What the state service stores, and the state of workers and nodes. All times are in ms of the
//! world's clock unless they are said to be of a node's own.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use latchtrack_core::job::{JobSpec, TaskId};
use latchtrack_core::machine::TaskPhase;
use latchtrack_core::scheduler::Scheduler;

/// The key that makes a node the leader.
#[derive(Clone, Copy)]
pub(super) struct LeaderKey {
    pub node: usize,
    /// The revision of the key: the fencing token.
    pub token: u64,
    /// When its lease expires.
    pub expires_at: u64,
}

/// What limits a write to the state service.
#[derive(Clone, Copy)]
pub(super) struct WriteLimits {
    /// Bytes of a value.
    pub value_bytes: usize,
    /// Changes of a transaction.
    pub changes: usize,
}

/// The state of a job, as stored.
#[derive(Clone)]
pub(super) enum JobState {
    Open { stored_at: u64 },
    Done,
    Cancelled,
}

/// A stored job, and what its user knows of it.
pub(super) struct StoredJob {
    pub spec: Arc<JobSpec>,
    pub state: JobState,
    pub revision: u64,
    /// When its user was told that it is cancelled.
    pub cancel_confirmed_at: Option<u64>,
    /// Whether its user was told that it is done.
    pub done_confirmed: bool,
    /// Its tasks fail on every machine.
    pub always_fails: bool,
    pub submitted_at: u64,
    /// When its first task started.
    pub begun_at: Option<u64>,
    /// Since when a task of it has waited though a machine that fits had free capacity.
    pub unschedulable_since: Option<u64>,
}

impl StoredJob {
    /// Whether it is neither done nor cancelled.
    pub fn is_open(&self) -> bool {
        matches!(self.state, JobState::Open { .. })
    }
}

/// A task and the number of an attempt at it.
pub(super) type AttemptKey = (TaskId, u64);

/// An attempt at a task on a worker.
pub(super) struct WorkerTask {
    pub phase: TaskPhase,
    /// When the phase ends.
    pub phase_ends_at: u64,
}

impl WorkerTask {
    /// Whether it takes resources of its machine.
    pub fn is_live(&self) -> bool {
        !matches!(self.phase, TaskPhase::Ended(_))
    }

    /// Whether it executes or holds what executing takes, as the rules count it.
    pub fn is_started(&self) -> bool {
        is_started(self.phase)
    }
}

/// Whether a task in this phase has started, and has not ended.
pub(super) fn is_started(phase: TaskPhase) -> bool {
    matches!(phase, TaskPhase::Waiting | TaskPhase::Running | TaskPhase::Checkpointing)
}

/// A heartbeat that has no response yet.
#[derive(Clone, Copy)]
pub(super) struct PendingHeartbeat {
    pub sent_at: u64,
    pub id: u64,
}

/// A machine with its worker.
#[derive(Default)]
pub(super) struct Worker {
    pub machine_type: &'static str,
    pub zone: &'static str,
    pub spot: bool,
    pub provisioned_at: u64,
    pub up_at: u64,
    pub alive: bool,
    /// 0 until it is up.
    pub agent_epoch: u64,
    pub sequence: u64,
    pub token: u64,
    /// From when its lease counts.
    pub lease_from: u64,
    pub tasks: BTreeMap<AttemptKey, WorkerTask>,
    /// The node that it reports to.
    pub node: usize,
    pub pending_heartbeat: Option<PendingHeartbeat>,
    pub next_heartbeat: u64,
    /// Until then nothing passes, or is held back.
    pub partitioned_until: u64,
    /// Until then its heartbeats arrive, but responses and commands don't.
    pub inbound_lost_until: u64,
    /// Until then it reaches no node, but direct calls reach it.
    pub outbound_lost_until: u64,
    /// Until then it executes nothing.
    pub hung_until: u64,
    /// Every task fails on it.
    pub fails_tasks: bool,
    pub completed_here: BTreeSet<TaskId>,
}

impl Worker {
    /// Has it heartbeat within this time.
    pub fn heartbeat_by(&mut self, at: u64) {
        self.next_heartbeat = self.next_heartbeat.min(at);
    }

    /// Ends it, with all that is on it.
    pub fn die(&mut self) {
        self.alive = false;
        self.tasks.clear();
    }

    /// Until when nothing of a node reaches it.
    pub fn unreachable_until(&self) -> u64 {
        self.partitioned_until.max(self.inbound_lost_until)
    }

    /// CPUs of its live tasks.
    pub fn cpus_in_use(&self, cpus_of: impl Fn(TaskId) -> f64) -> f64 {
        let live = self.tasks.iter().filter(|(_, task)| task.is_live());
        live.map(|((task, _), _)| cpus_of(*task)).sum()
    }
}

/// A controller node.
#[derive(Default)]
pub(super) struct Node {
    pub up: bool,
    pub restarts_at: u64,
    pub paused_until: u64,
    pub partitioned_until: u64,
    /// Until then the state service refuses it, and it alone.
    pub refused_until: u64,
    /// How much faster its clock runs than the world's, as a fraction.
    pub drift: f64,
    /// The scheduler of its term, if it leads or believes so.
    pub scheduler: Option<Scheduler>,
    pub token: u64,
    /// Until when its lease allows it to act, by its own clock.
    pub lease_valid_until: u64,
    /// When it last read the job records, by its own clock.
    pub cache_fresh_at: u64,
    /// The revision up to which it has read them.
    pub seen_revision: u64,
    /// When it last renewed its lease, by its own clock.
    pub last_renew: u64,
    pub write_in_flight: bool,
    /// When it may write again, by its own clock.
    pub next_write_at: u64,
    /// Counts its restarts.
    pub restarts: u64,
}

impl Node {
    /// A node that is up.
    pub fn new(drift: f64) -> Node {
        Node { up: true, drift, ..Node::default() }
    }

    /// What it gives up when its process ends.
    pub fn crash(&mut self) {
        self.up = false;
        self.scheduler = None;
        self.token = 0;
        self.write_in_flight = false;
        self.restarts += 1;
    }
}
