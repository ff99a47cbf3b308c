//! The policy: what operators and the platform set, as far as the core needs it.

use std::collections::BTreeSet;

use latchtrack_balance::balancer::MoveLimits;

use crate::constants::{
    HEARTBEAT_JITTER_FACTOR, LIST_MARGIN_MS, MOVES_DELAY_AFTER_FAILOVER_MS, OVERDUE_MARGIN_MS,
    PROBE_MARGIN_MS, PROBING_TIMEOUT_MS, WORKER_LEASE_MARGIN_MS,
};
use crate::placement::ScoreWeights;
use crate::Millis;

/// What operators and the platform set. Times are in ms.
#[derive(Clone, Debug)]
pub struct Policy {
    /// The weights of the scores.
    pub weights: ScoreWeights,
    /// How many tasks of an array start together.
    pub slice: u32,
    /// How long an empty spot machine is kept.
    pub spot_idle_timeout_ms: Millis,
    /// How long an empty on-demand machine is kept.
    pub on_demand_idle_timeout_ms: Millis,
    /// How long a job finds no capacity before machines are reserved for it.
    pub reserve_after_ms: Millis,
    /// How long a job finds no capacity before a spot machine is provisioned for it.
    pub spot_provision_delay_ms: Millis,
    /// How long a job finds no capacity before an on-demand machine is provisioned for it.
    pub on_demand_provision_delay_ms: Millis,
    /// Silence after which a machine is given up.
    pub heartbeat_timeout_ms: Millis,
    /// How long a new leader waits for an unreconciled machine before it is given up.
    pub reconcile_timeout_ms: Millis,
    /// Time between two heartbeats of a worker, plus or minus a quarter.
    pub heartbeat_interval_ms: Millis,
    /// Time without an answered heartbeat after which a worker kills its tasks.
    pub worker_lease_ms: Millis,
    /// How late the cloud's lists are; sometimes they are twice as late.
    pub list_lag_ms: Millis,
    /// Direct calls open at once, those with commands and probes together.
    pub max_open_calls: usize,
    /// Bytes of one stored value.
    pub value_bytes: usize,
    /// The teams with their quota.
    pub teams: Vec<Team>,
    /// How soon jobs of some classes are to be done.
    pub completion_objectives: Vec<CompletionObjective>,
    /// Classes with an objective of any kind.
    pub classes_with_objectives: BTreeSet<String>,
    /// How soon tasks of some classes are to start.
    pub start_objectives: Vec<StartObjective>,
    /// What of load balancing is switched on.
    pub balance: BalancePolicy,
    /// The cell that shares the teams' limits with others; None if this deployment has them alone.
    pub quota_cell: Option<String>,
}

/// What of load balancing is switched on, and how often tasks may move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalancePolicy {
    /// Placement weighs the fetch of an image against the load of a machine.
    pub placement: bool,
    /// Jobs of a hot team beyond its fair share stand behind those of others.
    pub teams: bool,
    /// Running tasks move.
    pub moves: bool,
    /// How often and how soon tasks move.
    pub limits: MoveLimits,
    /// ms after a failover in which nothing moves.
    pub moves_delay_ms: Millis,
}

impl Default for BalancePolicy {
    fn default() -> Self {
        BalancePolicy {
            placement: false,
            teams: false,
            moves: false,
            limits: MoveLimits::default(),
            moves_delay_ms: MOVES_DELAY_AFTER_FAILOVER_MS,
        }
    }
}

impl BalancePolicy {
    /// Whether the loads of machines have to be observed.
    pub(super) fn observes_loads(&self) -> bool {
        self.placement || self.moves
    }
}

impl Policy {
    /// The longest time between two heartbeats of a healthy worker, in ms.
    pub(super) fn max_heartbeat_gap_ms(&self) -> Millis {
        max_heartbeat_gap_ms(self.heartbeat_interval_ms)
    }

    /// Silence in ms after which other nodes are told that a machine is overdue.
    pub fn overdue_ms(&self) -> Millis {
        self.max_heartbeat_gap_ms().saturating_add(OVERDUE_MARGIN_MS)
    }

    /// Silence in ms after which a machine is probed.
    pub fn probe_ms(&self) -> Millis {
        self.max_heartbeat_gap_ms().saturating_add(PROBE_MARGIN_MS)
    }

    /// Silence in ms after which a worker has surely killed its tasks, since nobody has answered
    /// it.
    pub fn worker_lease_expiry_ms(&self) -> Millis {
        self.worker_lease_ms.saturating_add(WORKER_LEASE_MARGIN_MS)
    }

    /// Age in ms from which a machine is in every list of the cloud, however late.
    pub(super) fn list_complete_ms(&self) -> Millis {
        self.list_lag_ms.saturating_mul(2).saturating_add(LIST_MARGIN_MS)
    }

    /// Silence in ms after which a machine is given up, unless operators set another.
    pub fn default_heartbeat_timeout_ms(heartbeat_interval_ms: Millis) -> Millis {
        max_heartbeat_gap_ms(heartbeat_interval_ms)
            .saturating_add(PROBE_MARGIN_MS + PROBING_TIMEOUT_MS)
    }
}

fn max_heartbeat_gap_ms(heartbeat_interval_ms: Millis) -> Millis {
    (heartbeat_interval_ms as f64 * HEARTBEAT_JITTER_FACTOR) as Millis
}

/// How soon the jobs of a class should be complete.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletionObjective {
    /// The workload class.
    pub class: String,
    /// When its jobs are due.
    pub due: Due,
}

/// How soon the tasks of a class are to start.
#[derive(Clone, Debug, PartialEq)]
pub struct StartObjective {
    /// The workload class.
    pub class: String,
    /// ms from the submission of a job.
    pub within_ms: Millis,
}

/// When a job is due, from its submission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Due {
    /// This many ms after it.
    Within(Millis),
    /// This many times its own deadline after it; a job without a deadline is not due.
    DeadlineMultiple(f64),
}

/// A team with its quota: a guarantee and a limit of each resource; 0 is none.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// CPUs that it is guaranteed.
    pub cpus: f64,
    /// CPUs that it may use at most.
    pub cpus_max: f64,
    /// GPUs that it is guaranteed.
    pub gpus: f64,
    /// GPUs that it may use at most.
    pub gpus_max: f64,
}
