//! Validation of the settings. Errors name the offending key.

use latchtrack_core::constants as core;

use super::Settings;
use crate::constants as c;

/// Error in the settings; a single line that names the file or the key.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A file can't be read. Contains its path and the cause.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// The platform's file can't be parsed. Contains its path and the cause.
    #[error("{0}: {1}")]
    Json(String, serde_json::Error),
    /// The operators' file can't be parsed. Contains its path and the cause.
    #[error("{0}: {1}")]
    Yaml(String, serde_yaml_ng::Error),
    /// A setting has an invalid value. Contains its key and the reason.
    #[error("{0}: {1}")]
    Invalid(&'static str, String),
}

/// Rejects the setting `name` for this reason.
pub(super) fn reject<T>(name: &'static str, reason: impl Into<String>) -> Result<T, SettingsError> {
    Err(SettingsError::Invalid(name, reason.into()))
}

/// Rejects a number that is below the minimum or not finite.
fn check_min(name: &'static str, value: f64, min: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value >= min {
        Ok(())
    } else {
        reject(name, format!("is {value}, must be at least {min}"))
    }
}

/// Rejects a number outside the inclusive range, and NaN.
fn check_range(name: &'static str, value: f64, from: f64, to: f64) -> Result<(), SettingsError> {
    if (from..=to).contains(&value) {
        Ok(())
    } else {
        reject(name, format!("is {value}, must be from {from} to {to}"))
    }
}

impl Settings {
    /// Validates the settings and reports the first invalid one.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_platform()?;
        self.check_tuning()?;
        self.check_quota()?;
        self.check_leases()
    }

    fn check_platform(&self) -> Result<(), SettingsError> {
        let params = &self.platform.params;
        if self.platform.node_name.is_empty() {
            return reject("node_name", "must not be empty");
        }
        if params.teams.iter().any(|team| {
            let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            amounts.iter().any(|amount| !amount.is_finite() || *amount < 0.0)
        }) {
            return reject("params.teams", "amounts must be finite and not negative");
        }
        for (name, value, min) in [
            ("params.workers.report_s", params.workers.heartbeat_interval_s, 0.1),
            ("params.workers.lease_s", params.workers.lease_s, 1.0),
            ("params.workers.cancel_s", params.workers.cancel_s, 1.0),
        ] {
            check_min(name, value, min)?;
            if value > c::MAX_SETTING_S {
                return reject(name, format!("is {value}, must be at most one day"));
            }
        }
        check_min("params.state.rps", params.state.rps, 1.0)?;
        check_min("params.state.write_rps", params.state.write_rps, 1.0)?;
        check_min("params.state.value_kb", params.state.value_kb, 1.0)?;
        check_min("params.state.txn_ops", params.state.txn_ops as f64, 1.0)?;
        let next = params.state.next.clone().unwrap_or_default();
        for (name, value) in [
            ("params.state.next.rps", next.rps),
            ("params.state.next.write_rps", next.write_rps),
            ("params.state.next.value_kb", next.value_kb),
            ("params.state.next.txn_ops", next.txn_ops.map(|n| n as f64)),
        ] {
            check_min(name, value.unwrap_or(1.0), 1.0)?;
        }
        for (name, value) in [
            ("params.workers.gang_wait_s", params.workers.gang_wait_s),
            ("params.workers.gang_peer_s", params.workers.gang_peer_s),
        ] {
            check_min(name, value.unwrap_or(1.0), 0.1)?;
            if value.is_some_and(|s| s > c::MAX_SETTING_S) {
                return reject(name, "must be at most one day");
            }
        }
        check_min("params.cloud.rps", params.cloud.rps, 0.1)?;
        check_min("params.cloud.list_lag_s", params.cloud.list_lag_s, 0.0)?;
        check_min("params.machine_limits.mem_mb", params.limits.mem_mb, 16.0)?;
        check_min("params.machine_limits.max_sockets", params.limits.max_sockets as f64, 64.0)?;
        Ok(())
    }

    fn check_tuning(&self) -> Result<(), SettingsError> {
        let heartbeat_s = self.platform.params.workers.heartbeat_interval_s;
        let tuning = &self.tuning;
        check_range("alpha", tuning.alpha, 0.0, 1.0)?;
        check_range("gamma", tuning.gamma, 0.0, 100.0)?;
        check_range("slice", f64::from(tuning.slice), 1.0, f64::from(core::MAX_TASKS))?;
        check_range("idle_wait_s", tuning.spot_idle_timeout_s, 0.0, c::MAX_SETTING_S)?;
        check_range(
            "ordinary_idle_wait_s",
            tuning.on_demand_idle_timeout_s,
            0.0,
            c::MAX_SETTING_S,
        )?;
        check_range("pass_over_s", tuning.reserve_after_s, 0.0, c::MAX_SETTING_S)?;
        check_range("spot_after_s", tuning.spot_provision_delay_s, 0.0, 3_600.0)?;
        check_range("ordinary_after_s", tuning.on_demand_provision_delay_s, 0.0, 3_600.0)?;
        // A machine must be probed before it counts as lost.
        let probed_s =
            heartbeat_s * core::HEARTBEAT_JITTER_FACTOR + core::PROBE_MARGIN_MS as f64 / 1000.0;
        check_range("silence_s", self.heartbeat_timeout_s(), probed_s, 3_600.0)?;
        check_range("settle_s", tuning.reconcile_timeout_s, 3.0, 3_600.0)?;
        let moves = f64::from(tuning.balance.moves_per_minute);
        check_range("balance.moves_per_minute", moves, 1.0, c::MAX_MOVES_PER_MINUTE)?;
        for (name, value) in [
            ("balance.over_bound_s", tuning.balance.over_bound_s),
            ("balance.min_run_s", tuning.balance.min_run_s),
            ("balance.task_cooldown_s", tuning.balance.task_cooldown_s),
            ("balance.machine_gap_s", tuning.balance.machine_gap_s),
            ("balance.calm_s", tuning.balance.moves_delay_s),
        ] {
            check_range(name, value, 0.0, c::MAX_SETTING_S)?;
        }
        Ok(())
    }

    /// Rejects leases under which a cancelled task could outlive `cancel_s` after the loss of the
    /// leader.
    fn check_leases(&self) -> Result<(), SettingsError> {
        let lease_s = self.leader_lease_s();
        check_range("leader_lease_s", lease_s, c::MIN_LEADER_LEASE_MS as f64 / 1000.0, 600.0)?;
        let (end_s, cancel_s) =
            (lease_s + self.max_task_end_s(), self.platform.params.workers.cancel_s);
        if end_s >= cancel_s {
            let name = match self.tuning.leader_lease_s {
                Some(_) => "leader_lease_s",
                None => "params.workers.cancel_s",
            };
            let reason = format!(
                "with a leader lease of {lease_s:.1} s and the workers' lease_s, a cancelled task \
                 may run for up to {end_s:.1} s, but params.workers.cancel_s is {cancel_s} s"
            );
            return reject(name, reason);
        }
        Ok(())
    }
}
