//! What operators and the platform say, as far as the core needs it.

use std::collections::BTreeSet;

use latchtrack_balance::balancer::Limits;

use crate::constants::*;
use crate::placement::Weights;
use crate::Millis;

/// What operators may set, and what the platform says, as far as the core needs it.
#[derive(Clone, Debug)]
pub struct Policy {
    pub weights: Weights,
    pub slice: u32,
    /// How long an empty machine is kept: a spot one, an ordinary one.
    pub idle_wait_ms: Millis,
    pub ordinary_idle_wait_ms: Millis,
    pub pass_over_ms: Millis,
    /// How long a job finds no room before a machine is rented for it: a spot one, an ordinary one.
    pub spot_after_ms: Millis,
    pub ordinary_after_ms: Millis,
    pub silence_ms: Millis,
    pub settle_ms: Millis,
    /// How often workers report, plus or minus a quarter.
    pub report_ms: Millis,
    /// The workers' lease.
    pub lease_ms: Millis,
    /// How late the cloud's lists are; at times it is twice that.
    pub list_lag_ms: Millis,
    /// Direct calls open at once, commands and questions together.
    pub calls_open: usize,
    /// Bytes of one stored value.
    pub value_bytes: usize,
    pub teams: Vec<Team>,
    /// What is aimed at for the classes.
    pub aims: Vec<Aim>,
    /// Classes with an aim of any kind.
    pub aimed: BTreeSet<String>,
    /// Classes whose tasks are to start within so many ms.
    pub prompt: Vec<(String, Millis)>,
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
            calm_ms: MOVES_CALM_MS,
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
    pub(super) fn reports_within(&self) -> Millis {
        reports_within(self.report_ms)
    }

    /// Silence after which the other nodes are told of a machine.
    pub fn overdue_ms(&self) -> Millis {
        self.reports_within().saturating_add(OVERDUE_MS)
    }

    /// Silence after which a machine is asked directly.
    pub fn probe_ms(&self) -> Millis {
        self.reports_within().saturating_add(PROBE_MS)
    }

    /// Silence after which a machine has killed its tasks, since nobody can have answered it.
    pub fn past_lease_ms(&self) -> Millis {
        self.lease_ms.saturating_add(LEASE_MARGIN_MS)
    }

    /// Age at which a machine is in every list, however late that is.
    pub(super) fn list_sure_ms(&self) -> Millis {
        self.list_lag_ms.saturating_mul(2).saturating_add(LIST_MARGIN_MS)
    }

    /// Silence after which a machine is given up, unless operators say otherwise.
    pub fn silence_default(report_ms: Millis) -> Millis {
        reports_within(report_ms).saturating_add(PROBE_MS + ASKED_MS)
    }
}

fn reports_within(report_ms: Millis) -> Millis {
    (report_ms as f64 * REPORT_VARIES) as Millis
}

/// How soon the jobs of a class should be complete.
#[derive(Clone, Debug, PartialEq)]
pub struct Aim {
    pub class: String,
    pub due: Due,
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
