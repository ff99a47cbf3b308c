//! Scheduling policy: the settings of operators and of the platform that the core needs.

use std::collections::BTreeSet;

use latchtrack_balance::balancer::MoveLimits;

use crate::constants::{
    HEARTBEAT_JITTER_FACTOR, LIST_MARGIN_MS, MOVES_DELAY_AFTER_FAILOVER_MS, OVERDUE_MARGIN_MS,
    PROBE_MARGIN_MS, PROBING_TIMEOUT_MS, WORKER_LEASE_MARGIN_MS,
};
use crate::placement::ScoreWeights;
use crate::Millis;

/// Settings of operators and of the platform. Times are in ms.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Weights of the placement scores.
    pub weights: ScoreWeights,
    /// How many tasks of an array job start together.
    pub slice: u32,
    /// How long an idle spot machine is kept.
    pub spot_idle_timeout_ms: Millis,
    /// How long an idle on-demand machine is kept.
    pub on_demand_idle_timeout_ms: Millis,
    /// How long a job must find no capacity before machines are reserved for it.
    pub reserve_after_ms: Millis,
    /// How long a job must find no capacity before a spot machine is provisioned for it, or an
    /// on-demand machine if it does not allow spot.
    pub spot_provision_delay_ms: Millis,
    /// How long a job that allows spot must find no capacity before an on-demand machine is
    /// provisioned for it.
    pub on_demand_provision_delay_ms: Millis,
    /// Time without a heartbeat after which a machine is given up.
    pub heartbeat_timeout_ms: Millis,
    /// How long a new leader waits for an unreconciled machine before giving it up.
    pub reconcile_timeout_ms: Millis,
    /// Mean time between two heartbeats of a worker; each interval varies by up to a quarter.
    pub heartbeat_interval_ms: Millis,
    /// Time without an answered heartbeat after which a worker kills its tasks.
    pub worker_lease_ms: Millis,
    /// Usual delay of the cloud's machine lists. It is sometimes twice as long.
    pub list_lag_ms: Millis,
    /// Maximum number of concurrent direct calls, commands and probes together.
    pub max_open_calls: usize,
    /// Maximum size of a stored value in bytes.
    pub value_bytes: usize,
    /// The teams with their guarantees and limits.
    pub teams: Vec<Team>,
    /// How soon the jobs of some classes should be complete.
    pub completion_objectives: Vec<CompletionObjective>,
    /// Classes with an objective of any kind.
    pub classes_with_objectives: BTreeSet<String>,
    /// How soon the tasks of some classes should start.
    pub start_objectives: Vec<StartObjective>,
    /// Load balancing settings.
    pub balance: BalancePolicy,
    /// This cell's name if it shares the teams with other cells, else `None`.
    pub quota_cell: Option<String>,
}

/// The enabled parts of load balancing, and the limits on moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BalancePolicy {
    /// Whether placement weighs image fetches against the load of machines.
    pub placement: bool,
    /// Whether jobs of a hot team beyond its fair share go after the jobs of other teams.
    pub teams: bool,
    /// Whether running tasks are moved.
    pub moves: bool,
    /// How often and how soon tasks may be moved.
    pub limits: MoveLimits,
    /// No task is moved for this many ms after a failover.
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
    /// Whether machine loads have to be observed.
    pub(super) fn observes_loads(&self) -> bool {
        self.placement || self.moves
    }
}

impl Policy {
    /// Returns the maximum time in ms between two heartbeats of a healthy worker.
    pub(super) fn max_heartbeat_gap_ms(&self) -> Millis {
        max_heartbeat_gap_ms(self.heartbeat_interval_ms)
    }

    /// Returns the time in ms without a heartbeat after which a machine is reported to other nodes
    /// as overdue.
    pub fn overdue_after_ms(&self) -> Millis {
        self.max_heartbeat_gap_ms().saturating_add(OVERDUE_MARGIN_MS)
    }

    /// Returns the time in ms without a heartbeat after which a machine is probed.
    pub fn probe_after_ms(&self) -> Millis {
        self.max_heartbeat_gap_ms().saturating_add(PROBE_MARGIN_MS)
    }

    /// Returns the time in ms without an answered heartbeat after which a worker has surely killed
    /// its tasks.
    pub fn worker_lease_expiry_ms(&self) -> Millis {
        self.worker_lease_ms.saturating_add(WORKER_LEASE_MARGIN_MS)
    }

    /// Returns the age in ms from which a machine is in every list of the cloud, even a late one.
    pub(super) fn list_complete_ms(&self) -> Millis {
        self.list_lag_ms.saturating_mul(2).saturating_add(LIST_MARGIN_MS)
    }

    /// Returns the default of [`Policy::heartbeat_timeout_ms`]: the longest healthy gap plus time
    /// to probe.
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
    /// Name of the workload class.
    pub class: String,
    /// When the jobs of the class are due.
    pub due: Due,
}

/// How soon the tasks of a class should start.
#[derive(Clone, Debug, PartialEq)]
pub struct StartObjective {
    /// Name of the workload class.
    pub class: String,
    /// ms from the submission of the job.
    pub within_ms: Millis,
}

/// When a job is due, relative to its submission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Due {
    /// This many ms after submission.
    Within(Millis),
    /// This multiple of the job's own deadline. Does not apply to jobs without a deadline.
    DeadlineMultiple(f64),
}

/// A team with its guarantee and limit of each resource; 0 means none.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name by which jobs refer to the team.
    pub name: String,
    /// Guaranteed CPUs.
    pub cpus: f64,
    /// Maximum CPUs in use at once.
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    pub gpus: f64,
    /// Maximum GPUs in use at once.
    pub gpus_max: f64,
}
