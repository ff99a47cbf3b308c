//! What operators and the platform say, as far as the core needs it.

use std::collections::BTreeSet;

use latchtrack_balance::balancer::Limits;

use crate::constants::*;
use crate::placement::ScoreWeights;
use crate::Millis;

/// What operators may set, and what the platform says, as far as the core needs it.
#[derive(Clone, Debug)]
pub struct Policy {
    pub weights: ScoreWeights,
    pub slice: u32,
    /// How long an empty machine is kept: a spot one, an ordinary one.
    pub spot_idle_timeout_ms: Millis,
    pub on_demand_idle_timeout_ms: Millis,
    pub reserve_after_ms: Millis,
    /// How long a job finds no room before a machine is rented for it: a spot one, an ordinary one.
    pub spot_provision_delay_ms: Millis,
    pub on_demand_provision_delay_ms: Millis,
    pub heartbeat_timeout_ms: Millis,
    pub reconcile_timeout_ms: Millis,
    /// How often workers report, plus or minus a quarter.
    pub heartbeat_interval_ms: Millis,
    /// The workers' lease.
    pub worker_lease_ms: Millis,
    /// How late the cloud's lists are; at times it is twice that.
    pub list_lag_ms: Millis,
    /// Direct calls open at once, commands and questions together.
    pub max_open_calls: usize,
    /// Bytes of one stored value.
    pub value_bytes: usize,
    pub teams: Vec<Team>,
    /// What is aimed at for the classes.
    pub completion_objectives: Vec<CompletionObjective>,
    /// Classes with an aim of any kind.
    pub classes_with_objectives: BTreeSet<String>,
    /// How soon tasks of some classes are to start.
    pub start_objectives: Vec<StartObjective>,
    pub balance: BalancePolicy,
    /// The cell that shares the teams' limits with others; None if this deployment has them alone.
    pub quota_cell: Option<String>,
}

/// What of load balancing is switched on, and how often tasks may move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalancePolicy {
    /// Weighs the fetch of an image against a crowded machine when a task is placed.
    pub placement: bool,
    /// Puts jobs of a hot team that are beyond its share behind those of others.
    pub teams: bool,
    /// Moves running tasks.
    pub moves: bool,
    pub limits: Limits,
    /// ms after a take-over in which nothing moves.
    pub calm_ms: Millis,
}

impl Default for BalancePolicy {
    fn default() -> Self {
        BalancePolicy {
            placement: false,
            teams: false,
            moves: false,
            limits: Limits::default(),
            calm_ms: MOVES_DELAY_AFTER_FAILOVER_MS,
        }
    }
}

impl BalancePolicy {
    /// Whether loads have to be observed.
    pub(super) fn observes(&self) -> bool {
        self.placement || self.moves
    }
}

impl Policy {
    /// The longest time between two reports of a healthy worker.
    pub(super) fn max_heartbeat_gap_ms(&self) -> Millis {
        max_heartbeat_gap_ms(self.heartbeat_interval_ms)
    }

    /// Silence after which the other nodes are told of a machine.
    pub fn overdue_ms(&self) -> Millis {
        self.max_heartbeat_gap_ms().saturating_add(OVERDUE_MARGIN_MS)
    }

    /// Silence after which a machine is asked directly.
    pub fn probe_ms(&self) -> Millis {
        self.max_heartbeat_gap_ms().saturating_add(PROBE_MARGIN_MS)
    }

    /// Silence after which a machine has killed its tasks, since nobody can have answered it.
    pub fn worker_lease_expiry_ms(&self) -> Millis {
        self.worker_lease_ms.saturating_add(WORKER_LEASE_MARGIN_MS)
    }

    /// Age at which a machine is in every list, however late that is.
    pub(super) fn list_complete_ms(&self) -> Millis {
        self.list_lag_ms.saturating_mul(2).saturating_add(LIST_MARGIN_MS)
    }

    /// Silence after which a machine is given up, unless operators say otherwise.
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
    pub class: String,
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
    Within(Millis),
    /// So many times its own deadline.
    Times(f64),
}

/// A team's guarantee and limit; 0 is none.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    pub name: String,
    pub cpus: f64,
    pub cpus_max: f64,
    pub gpus: f64,
    pub gpus_max: f64,
}
