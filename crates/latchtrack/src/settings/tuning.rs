//! What operators may tune.

use latchtrack_balance::{balancer, constants as balance};
use latchtrack_core::constants as core;
use latchtrack_core::scheduler::BalancePolicy;
use serde::{Deserialize, Serialize};

use super::quota::QuotaTuning;

/// The operators' file: every key optional, unknown keys refused.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Weight of free cores in a machine's score; the weight of memory is what is left of 1.
    pub alpha: f64,
    /// Weight of free GPUs.
    pub gamma: f64,
    /// Tasks of a job that start together.
    pub slice: u32,
    /// s after which an idle spot machine is terminated.
    #[serde(rename = "idle_wait_s")]
    pub spot_idle_timeout_s: f64,
    /// s after which an idle on-demand machine, which is dearer, is terminated.
    #[serde(rename = "ordinary_idle_wait_s")]
    pub on_demand_idle_timeout_s: f64,
    /// s for which a job may find no capacity before capacity is reserved for it.
    #[serde(rename = "pass_over_s")]
    pub reserve_after_s: f64,
    /// s for which a job must find no capacity before a spot machine is provisioned for it.
    #[serde(rename = "spot_after_s")]
    pub spot_provision_delay_s: f64,
    /// s for which a job must find no capacity before an on-demand machine is provisioned for it.
    #[serde(rename = "ordinary_after_s")]
    pub on_demand_provision_delay_s: f64,
    /// Heartbeat timeout in s; derived from `report_s` if not set.
    #[serde(rename = "silence_s")]
    pub heartbeat_timeout_s: Option<f64>,
    /// s that a new leader waits for an unreconciled machine.
    #[serde(rename = "settle_s")]
    pub reconcile_timeout_s: f64,
    /// s that the leader's lease lasts; if not set 3, or what the worker lease leaves of
    /// `cancel_s`.
    pub leader_lease_s: Option<f64>,
    /// Load balancing.
    pub balance: BalanceTuning,
    /// The cells that share the teams' limits; without it this deployment shares them with none.
    pub quota: Option<QuotaTuning>,
}

/// What of load balancing is switched on: see docs/balance.md.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct BalanceTuning {
    /// Weighs the fetch of an image against a loaded machine when a task is placed.
    pub placement: bool,
    /// Puts jobs of a team that uses more than its share behind those of others.
    pub teams: bool,
    /// Moves running tasks that save checkpoints off loaded machines.
    pub moves: bool,
    /// Moves that may begin in a minute.
    pub moves_per_minute: u32,
    /// s a machine must be over the bound before a task of it moves.
    pub over_bound_s: f64,
    /// s a task must have run before it may be moved.
    pub min_run_s: f64,
    /// s between two moves of the same task.
    pub task_cooldown_s: f64,
    /// s between two moves from or to the same machine.
    pub machine_gap_s: f64,
    /// s after a failover in which nothing moves.
    #[serde(rename = "calm_s")]
    pub delay_after_failover_s: f64,
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
            delay_after_failover_s: s(core::MOVES_DELAY_AFTER_FAILOVER_MS),
        }
    }
}

impl BalanceTuning {
    /// What the scheduler needs of them.
    pub(super) fn policy(&self) -> BalancePolicy {
        let ms = |s: f64| (s * 1000.0) as u64;
        let limits = balancer::MoveLimits {
            over_bound_ms: ms(self.over_bound_s),
            min_run_ms: ms(self.min_run_s),
            task_cooldown_ms: ms(self.task_cooldown_s),
            machine_gap_ms: ms(self.machine_gap_s),
            machine_cooldown_ms: balance::MACHINE_COOLDOWN_MS,
            moves_per_minute: self.moves_per_minute,
            worth_factor: balance::WORTH_FACTOR,
        };
        BalancePolicy {
            placement: self.placement,
            teams: self.teams,
            moves: self.moves,
            limits,
            moves_delay_ms: ms(self.delay_after_failover_s),
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

/// Reads the operators' YAML; an empty file changes nothing.
pub fn parse_tuning(text: &str) -> Result<Tuning, serde_yaml_ng::Error> {
    let tuning: Option<Tuning> = serde_yaml_ng::from_str(text)?;
    Ok(tuning.unwrap_or_default())
}
