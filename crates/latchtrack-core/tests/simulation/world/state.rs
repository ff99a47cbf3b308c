//! The stored state, and the state of workers and nodes. All times are in ms of the world's clock
//! unless a comment says that they are by a node's own clock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use latchtrack_core::job::{JobSpec, TaskId};
use latchtrack_core::machine::TaskPhase;
use latchtrack_core::scheduler::Scheduler;

/// The leader key in the state service, which makes its holder the leader.
#[derive(Clone, Copy)]
pub(super) struct LeaderKey {
    pub node: usize,
    /// The revision of the key: the fencing token.
    pub token: u64,
    /// When its lease expires.
    pub expires_at: u64,
}

/// Limits on a write transaction of the state service.
#[derive(Clone, Copy)]
pub(super) struct WriteLimits {
    /// Most bytes of a value.
    pub value_bytes: usize,
    /// Most changes of a transaction.
    pub changes: usize,
}

/// The stored state of a job.
#[derive(Clone)]
pub(super) enum JobState {
    Open { stored_at: u64 },
    Done,
    Cancelled,
}

/// A stored job, and what its user was told about it.
pub(super) struct StoredJob {
    pub spec: Arc<JobSpec>,
    pub state: JobState,
    pub revision: u64,
    /// When its user was told that it is cancelled, if so.
    pub cancel_confirmed_at: Option<u64>,
    /// Whether its user was told that it is done.
    pub done_confirmed: bool,
    /// Whether its tasks fail on every machine.
    pub always_fails: bool,
    pub submitted_at: u64,
    /// When its first task started, for a gang when all its tasks did.
    pub started_at: Option<u64>,
    /// Since when one of its tasks, or the whole gang, has waited although it fits.
    pub unschedulable_since: Option<u64>,
}

impl StoredJob {
    /// Whether it is neither done nor cancelled.
    pub fn is_open(&self) -> bool {
        matches!(self.state, JobState::Open { .. })
    }
}

/// A task and the number of one of its attempts.
pub(super) type AttemptKey = (TaskId, u64);

/// An attempt of a task on a worker.
#[derive(Clone, PartialEq)]
pub(super) struct WorkerTask {
    pub phase: TaskPhase,
    /// When the phase ends.
    pub phase_ends_at: u64,
}

impl WorkerTask {
    /// Whether it takes resources of its machine: it has not ended.
    pub fn is_live(&self) -> bool {
        !matches!(self.phase, TaskPhase::Ended(_))
    }

    /// Whether it has started and not ended, which is what the rules count.
    pub fn is_started(&self) -> bool {
        is_started(self.phase)
    }
}

/// Whether a task in this phase has started and not ended. A fetching task has not started.
pub(super) fn is_started(phase: TaskPhase) -> bool {
    matches!(phase, TaskPhase::Waiting | TaskPhase::Running | TaskPhase::Checkpointing)
}

/// A heartbeat that the worker awaits a response to.
#[derive(Clone, Copy)]
pub(super) struct PendingHeartbeat {
    pub sent_at: u64,
    pub id: u64,
}

/// A machine and the worker agent on it.
#[derive(Default)]
pub(super) struct Worker {
    pub machine_type: &'static str,
    pub zone: &'static str,
    pub spot: bool,
    pub provisioned_at: u64,
    pub up_at: u64,
    pub alive: bool,
    /// Raised whenever the lease expires; 0 until the agent has started.
    pub agent_epoch: u64,
    pub sequence: u64,
    pub token: u64,
    /// The start of its lease: when its epoch began or its last answered heartbeat was sent.
    pub lease_from: u64,
    pub tasks: BTreeMap<AttemptKey, WorkerTask>,
    /// The node to which it sends heartbeats.
    pub node: usize,
    pub pending_heartbeat: Option<PendingHeartbeat>,
    pub next_heartbeat: u64,
    /// Until then messages to and from it are lost or delayed.
    pub partitioned_until: u64,
    /// Until then no connection to or from it is established, so that messages are lost.
    pub disconnected_until: u64,
    /// How long it is disconnected after the next response that it accepts, in ms.
    pub next_disconnection_ms: Option<u64>,
    /// Until then its heartbeats arrive, but responses and direct calls are lost or late.
    pub inbound_lost_until: u64,
    /// Until then its heartbeats are lost, but direct calls reach it.
    pub outbound_lost_until: u64,
    /// Until then it executes nothing.
    pub hung_until: u64,
    /// Whether every task fails on it.
    pub fails_tasks: bool,
    pub completed_here: BTreeSet<TaskId>,
}

impl Worker {
    /// Brings its next heartbeat forward to `at`, if it is due later.
    pub fn heartbeat_by(&mut self, at: u64) {
        self.next_heartbeat = self.next_heartbeat.min(at);
    }

    /// Ends the machine and all its tasks.
    pub fn die(&mut self) {
        self.alive = false;
        self.tasks.clear();
    }

    /// Until when messages of nodes do not reach it in time.
    pub fn unreachable_until(&self) -> u64 {
        self.partitioned_until.max(self.inbound_lost_until).max(self.disconnected_until)
    }

    /// The sum of the CPUs of its live tasks.
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
    /// Until then the state service refuses this node.
    pub refused_until: u64,
    /// The fraction by which its clock runs faster than the world's; negative if slower.
    pub drift: f64,
    /// The scheduler of its term, if it leads or does not know yet that it no longer leads.
    pub scheduler: Option<Scheduler>,
    pub token: u64,
    /// Until when its lease allows it to act, by its own clock.
    pub lease_valid_until: u64,
    /// When it last read the job records, by its own clock.
    pub cache_fresh_at: u64,
    /// The revision up to which it has read the job records.
    pub seen_revision: u64,
    /// When it last renewed its lease, by its own clock.
    pub last_renew: u64,
    pub write_in_flight: bool,
    /// When it may write again, by its own clock.
    pub next_write_at: u64,
    /// Number of crashes; messages of earlier processes are dropped.
    pub restarts: u64,
}

impl Node {
    /// A node that is up and does not lead.
    pub fn new(drift: f64) -> Node {
        Node { up: true, drift, ..Node::default() }
    }

    /// Ends its process, with all state in memory.
    pub fn crash(&mut self) {
        self.up = false;
        self.scheduler = None;
        self.token = 0;
        self.write_in_flight = false;
        self.restarts += 1;
    }
}
