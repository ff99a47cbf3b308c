//! The operators' settings, a YAML file.

use latchtrack_balance::{balancer, constants as balance};
use latchtrack_core::constants as core;
use latchtrack_core::scheduler::BalancePolicy;
use serde::{Deserialize, Serialize};

use super::quota::QuotaTuning;

/// The operators' settings file. Every key is optional; unknown keys are rejected.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Weight of free CPUs in a machine's score, from 0 to 1; the weight of memory is 1 - `alpha`.
    pub alpha: f64,
    /// Weight of free GPUs in a machine's score.
    pub gamma: f64,
    /// Number of tasks of a job that are started together.
    pub slice: u32,
    /// Time after which an idle spot machine is terminated, in s.
    #[serde(rename = "idle_wait_s")]
    pub spot_idle_timeout_s: f64,
    /// Time after which an idle on-demand machine, which costs more, is terminated, in s.
    #[serde(rename = "ordinary_idle_wait_s")]
    pub on_demand_idle_timeout_s: f64,
    /// Time in s that a job waits for capacity before capacity is reserved for it.
    #[serde(rename = "pass_over_s")]
    pub reserve_after_s: f64,
    /// Time in s that a job waits for capacity before a spot machine is provisioned for it.
    #[serde(rename = "spot_after_s")]
    pub spot_provision_delay_s: f64,
    /// Time in s that a job waits for capacity before an on-demand machine is provisioned for it.
    #[serde(rename = "ordinary_after_s")]
    pub on_demand_provision_delay_s: f64,
    /// Time without a heartbeat after which a machine counts as lost, in s. Derived from the
    /// heartbeat interval if not set.
    #[serde(rename = "silence_s")]
    pub heartbeat_timeout_s: Option<f64>,
    /// Time that a new leader waits for the first heartbeat of an unreconciled machine, in s.
    #[serde(rename = "settle_s")]
    pub reconcile_timeout_s: f64,
    /// Duration of the leader's lease, in s. The default is 3, or less if the worker lease leaves
    /// too little of `cancel_s` for that.
    pub leader_lease_s: Option<f64>,
    /// Load balancing, which is off by default.
    pub balance: BalanceTuning,
    /// Cells that share the teams' limits; `None` if this deployment is the only cell.
    pub quota: Option<QuotaTuning>,
}

/// Load balancing features and limits; see docs/balance.md.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct BalanceTuning {
    /// Whether task placement weighs the cost of an image fetch against the load of a machine.
    pub placement: bool,
    /// Whether jobs of a team that exceeds its share are queued behind those of other teams.
    pub teams: bool,
    /// Whether running tasks that save checkpoints are moved off overloaded machines.
    pub moves: bool,
    /// Maximum number of moves started per minute.
    pub moves_per_minute: u32,
    /// Time for which a machine must exceed the load bound before a task is moved off it, in s.
    pub over_bound_s: f64,
    /// Time that a task must have run before it may be moved, in s.
    pub min_run_s: f64,
    /// Minimum time between two moves of the same task, in s.
    pub task_cooldown_s: f64,
    /// Minimum time between two moves from or to the same machine, in s.
    pub machine_gap_s: f64,
    /// Time after a failover during which no moves are started, in s.
    #[serde(rename = "calm_s")]
    pub moves_delay_s: f64,
}

impl Default for BalanceTuning {
    fn default() -> Self {
        let s = |ms: u64| ms as f64 / 1000.0;
        BalanceTuning {
            placement: false,
            teams: false,
            moves: false,
            moves_per_minute: balance::MOVES_PER_MINUTE,
            over_bound_s: s(balance::OVER_BOUND_MS),
            min_run_s: s(balance::MIN_RUN_MS),
            task_cooldown_s: s(balance::TASK_COOLDOWN_MS),
            machine_gap_s: s(balance::MACHINE_GAP_MS),
            moves_delay_s: s(core::MOVES_DELAY_AFTER_FAILOVER_MS),
        }
    }
}

impl BalanceTuning {
    /// Converts the settings to the scheduler's balance policy.
    pub(super) fn policy(&self) -> BalancePolicy {
        let ms = |s: f64| (s * 1000.0) as u64;
        let limits = balancer::MoveLimits {
            over_bound_ms: ms(self.over_bound_s),
            min_run_ms: ms(self.min_run_s),
            task_cooldown_ms: ms(self.task_cooldown_s),
            machine_gap_ms: ms(self.machine_gap_s),
            machine_cooldown_ms: balance::MACHINE_COOLDOWN_MS,
            moves_per_minute: self.moves_per_minute,
            min_remaining_to_cost: balance::MIN_REMAINING_TO_COST,
        };
        BalancePolicy {
            placement: self.placement,
            teams: self.teams,
            moves: self.moves,
            limits,
            moves_delay_ms: ms(self.moves_delay_s),
        }
    }
}

impl Default for Tuning {
    fn default() -> Self {
        let s = |ms: u64| ms as f64 / 1000.0;
        Tuning {
            alpha: core::ALPHA,
            gamma: core::GAMMA,
            slice: core::SLICE,
            spot_idle_timeout_s: s(core::SPOT_IDLE_TIMEOUT_MS),
            on_demand_idle_timeout_s: s(core::ON_DEMAND_IDLE_TIMEOUT_MS),
            reserve_after_s: s(core::RESERVE_AFTER_MS),
            spot_provision_delay_s: s(core::SPOT_PROVISION_DELAY_MS),
            on_demand_provision_delay_s: s(core::ON_DEMAND_PROVISION_DELAY_MS),
            heartbeat_timeout_s: None,
            reconcile_timeout_s: s(core::RECONCILE_TIMEOUT_MS),
            leader_lease_s: None,
            balance: BalanceTuning::default(),
            quota: None,
        }
    }
}

/// Parses the operators' settings file. An empty file yields the defaults.
pub fn parse_tuning(text: &str) -> Result<Tuning, serde_yaml_ng::Error> {
    let tuning: Option<Tuning> = serde_yaml_ng::from_str(text)?;
    Ok(tuning.unwrap_or_default())
}
