//! What settings are refused, by name.

use latchtrack_core::constants as core;

use super::Settings;
use crate::constants as c;

/// Why the settings can't be used; one line that names the field.
#[derive(Debug, thiserror::Error)]
pub enum BadSettings {
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    #[error("{0}: {1}")]
    Json(String, serde_json::Error),
    #[error("{0}: {1}")]
    Yaml(String, serde_yaml_ng::Error),
    #[error("{0}: {1}")]
    Range(&'static str, String),
}

pub(super) fn bad<T>(name: &'static str, why: impl Into<String>) -> Result<T, BadSettings> {
    Err(BadSettings::Range(name, why.into()))
}

/// Refuses a number below the least that makes sense, or that is none.
fn above(name: &'static str, value: f64, least: f64) -> Result<(), BadSettings> {
    if value.is_finite() && value >= least {
        Ok(())
    } else {
        bad(name, format!("is {value}, must be at least {least}"))
    }
}

/// Refuses a number outside of a range, or that is none.
fn within(name: &'static str, value: f64, from: f64, to: f64) -> Result<(), BadSettings> {
    if (from..=to).contains(&value) {
        Ok(())
    } else {
        bad(name, format!("is {value}, must be from {from} to {to}"))
    }
}

impl Settings {
    /// Refuses what makes no sense, by name.
    pub fn check(&self) -> Result<(), BadSettings> {
        self.check_platform()?;
        self.check_tuning()?;
        self.check_quota()?;
        self.check_leases()
    }

    fn check_platform(&self) -> Result<(), BadSettings> {
        let p = &self.platform.params;
        if self.platform.node_name.is_empty() {
            return bad("node_name", "is empty");
        }
        if p.teams.iter().any(|t| {
            [t.cpus, t.cpus_max, t.gpus, t.gpus_max].iter().any(|n| !n.is_finite() || *n < 0.0)
        }) {
            return bad("params.teams", "amounts must be 0 or more");
        }
        for (name, value, least) in [
            ("params.workers.report_s", p.workers.report_s, 0.1),
            ("params.workers.lease_s", p.workers.lease_s, 1.0),
            ("params.workers.cancel_s", p.workers.cancel_s, 1.0),
        ] {
            above(name, value, least)?;
            if value > 86_400.0 {
                return bad(name, format!("is {value}, must be at most a day"));
            }
        }
        above("params.state.rps", p.state.rps, 1.0)?;
        above("params.state.write_rps", p.state.write_rps, 1.0)?;
        above("params.state.value_kb", p.state.value_kb, 1.0)?;
        above("params.state.txn_ops", p.state.txn_ops as f64, 1.0)?;
        let next = p.state.next.clone().unwrap_or_default();
        for (name, value) in [
            ("params.state.next.rps", next.rps),
            ("params.state.next.write_rps", next.write_rps),
            ("params.state.next.value_kb", next.value_kb),
            ("params.state.next.txn_ops", next.txn_ops.map(|n| n as f64)),
        ] {
            above(name, value.unwrap_or(1.0), 1.0)?;
        }
        for (name, value) in [
            ("params.workers.gang_wait_s", p.workers.gang_wait_s),
            ("params.workers.gang_peer_s", p.workers.gang_peer_s),
        ] {
            above(name, value.unwrap_or(1.0), 0.1)?;
            if value.is_some_and(|s| s > 86_400.0) {
                return bad(name, "must be at most a day");
            }
        }
        above("params.cloud.rps", p.cloud.rps, 0.1)?;
        above("params.cloud.list_lag_s", p.cloud.list_lag_s, 0.0)?;
        above("params.machine_limits.mem_mb", p.limits.mem_mb, 16.0)?;
        above("params.machine_limits.max_sockets", p.limits.max_sockets as f64, 64.0)?;
        Ok(())
    }

    fn check_tuning(&self) -> Result<(), BadSettings> {
        let report_s = self.platform.params.workers.report_s;
        let t = &self.tuning;
        within("alpha", t.alpha, 0.0, 1.0)?;
        within("gamma", t.gamma, 0.0, 100.0)?;
        within("slice", f64::from(t.slice), 1.0, f64::from(core::MAX_TASKS))?;
        within("idle_wait_s", t.idle_wait_s, 0.0, 86_400.0)?;
        within("ordinary_idle_wait_s", t.ordinary_idle_wait_s, 0.0, 86_400.0)?;
        within("pass_over_s", t.pass_over_s, 0.0, 86_400.0)?;
        within("spot_after_s", t.spot_after_s, 0.0, 3_600.0)?;
        within("ordinary_after_s", t.ordinary_after_s, 0.0, 3_600.0)?;
        let asked_first =
            report_s * core::HEARTBEAT_JITTER_FACTOR + core::PROBE_MARGIN_MS as f64 / 1000.0;
        within("silence_s", self.silence_s(), asked_first, 3_600.0)?;
        within("settle_s", t.settle_s, 3.0, 3_600.0)?;
        let moves = f64::from(t.balance.moves_per_minute);
        within("balance.moves_per_minute", moves, 1.0, c::MAX_MOVES_PER_MINUTE)?;
        for (name, value) in [
            ("balance.over_bound_s", t.balance.over_bound_s),
            ("balance.min_run_s", t.balance.min_run_s),
            ("balance.task_cooldown_s", t.balance.task_cooldown_s),
            ("balance.machine_gap_s", t.balance.machine_gap_s),
            ("balance.calm_s", t.balance.calm_s),
        ] {
            within(name, value, 0.0, 86_400.0)?;
        }
        Ok(())
    }

    /// A cancelled task must have ended in time, whatever becomes of the leader.
    fn check_leases(&self) -> Result<(), BadSettings> {
        let lease_s = self.leader_lease_s();
        within("leader_lease_s", lease_s, c::MIN_LEADER_TTL_MS as f64 / 1000.0, 600.0)?;
        let (end, cancel_s) =
            (lease_s + self.stopped_within_s(), self.platform.params.workers.cancel_s);
        if end >= cancel_s {
            let name = match self.tuning.leader_lease_s {
                Some(_) => "leader_lease_s",
                None => "params.workers.cancel_s",
            };
            let why = format!(
                "with a leader's lease of {lease_s:.1} s and the workers' lease_s a cancelled task \
                 may end after {end:.1} s, params.workers.cancel_s allows {cancel_s} s"
            );
            return bad(name, why);
        }
        Ok(())
    }
}
