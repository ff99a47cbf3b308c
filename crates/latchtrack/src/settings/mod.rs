//! Settings: the platform's file (JSON) and the operators' file (YAML).

mod check;
mod platform;
mod quota;
mod tuning;

use std::collections::BTreeMap;
use std::path::Path;

use latchtrack_core::constants as core;
use latchtrack_core::placement::ScoreWeights;
use latchtrack_core::scheduler::{Policy, StartObjective, Team};
use serde::Serialize;

pub use check::SettingsError;
pub use platform::{
    CloudParams, NextStateParams, NodeLimits, Objective, Params, Peer, Platform, Services,
    StateParams, TeamParams, WorkerParams,
};
pub use quota::QuotaTuning;
pub use tuning::{parse_tuning, BalanceTuning, Tuning};

use crate::constants as c;

/// The contents of both settings files.
#[derive(Clone, Debug, Serialize)]
pub struct Settings {
    /// Settings provided by the platform.
    pub platform: Platform,
    /// Settings chosen by the operators.
    pub tuning: Tuning,
}

/// Values derived from the settings, shown by `latchtrack check`.
#[derive(Debug, Serialize)]
pub struct Derived {
    /// Maximum number of connections from users and workers; any further ones get 503.
    pub connections: usize,
    /// Maximum number of concurrent direct calls to workers.
    pub direct_calls: usize,
    /// Start objectives by class, in ms; only those too short to leave time for an image fetch.
    pub prompt_ms: BTreeMap<String, u64>,
}

impl Settings {
    /// Reads and validates both files.
    pub fn load(config: &Path, operator: Option<&Path>) -> Result<Settings, SettingsError> {
        let read = |path: &Path| {
            std::fs::read_to_string(path)
                .map_err(|e| SettingsError::Read(path.display().to_string(), e))
        };
        let platform = serde_json::from_str(&read(config)?)
            .map_err(|e| SettingsError::Json(config.display().to_string(), e))?;
        let tuning = match operator {
            None => Tuning::default(),
            Some(path) => parse_tuning(&read(path)?)
                .map_err(|e| SettingsError::Yaml(path.display().to_string(), e))?,
        };
        let mut settings = Settings { platform, tuning };
        settings.check()?;
        // Fill in the derived values, so that `check` shows the effective settings.
        settings.tuning.heartbeat_timeout_s = Some(settings.heartbeat_timeout_s());
        settings.tuning.leader_lease_s = Some(settings.leader_lease_s());
        Ok(settings)
    }

    /// Converts the settings to the scheduler's policy.
    pub fn policy(&self) -> Policy {
        let t = &self.tuning;
        let ms = |s: f64| (s * 1000.0) as u64;
        Policy {
            weights: ScoreWeights { alpha: t.alpha, beta: 1.0 - t.alpha, gamma: t.gamma },
            slice: t.slice,
            spot_idle_timeout_ms: ms(t.spot_idle_timeout_s),
            on_demand_idle_timeout_ms: ms(t.on_demand_idle_timeout_s),
            reserve_after_ms: ms(t.reserve_after_s),
            spot_provision_delay_ms: ms(t.spot_provision_delay_s),
            on_demand_provision_delay_ms: ms(t.on_demand_provision_delay_s),
            heartbeat_timeout_ms: ms(self.heartbeat_timeout_s()),
            heartbeat_interval_ms: ms(self.platform.params.workers.heartbeat_interval_s),
            reconcile_timeout_ms: ms(t.reconcile_timeout_s),
            worker_lease_ms: ms(self.platform.params.workers.lease_s),
            list_lag_ms: ms(self.platform.params.cloud.list_lag_s),
            max_open_calls: self.max_open_calls(),
            value_bytes: self.platform.params.state.value_bytes(),
            start_objectives: self.start_objectives(),
            balance: t.balance.policy(),
            quota_cell: t.quota.as_ref().map(|quota| quota.cell.clone()),
            classes_with_objectives: self
                .platform
                .params
                .objectives
                .iter()
                .map(|o| o.class.clone())
                .collect(),
            completion_objectives: self
                .platform
                .params
                .objectives
                .iter()
                .filter_map(Objective::completion_objective)
                .collect(),
            teams: self
                .platform
                .params
                .teams
                .iter()
                .map(|t| Team {
                    name: t.name.clone(),
                    cpus: t.cpus,
                    cpus_max: t.cpus_max,
                    gpus: t.gpus,
                    gpus_max: t.gpus_max,
                })
                .collect(),
        }
    }

    /// The tightest start objective of each class, if it is too short to leave time for an image
    /// fetch. Objectives of minutes concern the wait for machines and are left out.
    fn start_objectives(&self) -> Vec<StartObjective> {
        let mut tightest: BTreeMap<&str, u64> = BTreeMap::new();
        for objective in &self.platform.params.objectives {
            let start_ms = objective.start_within_ms();
            let Some(ms) = start_ms.filter(|ms| *ms <= core::MAX_START_OBJECTIVE_MS) else {
                continue;
            };
            let min_ms = tightest.entry(&objective.class).or_insert(ms);
            *min_ms = ms.min(*min_ms);
        }
        let objective = |(class, within_ms): (&str, u64)| StartObjective {
            class: class.to_string(),
            within_ms,
        };
        tightest.into_iter().map(objective).collect()
    }

    /// Time without a heartbeat after which a machine counts as lost, in s.
    pub fn heartbeat_timeout_s(&self) -> f64 {
        let interval_ms = (self.platform.params.workers.heartbeat_interval_s * 1000.0) as u64;
        let derived = || Policy::default_heartbeat_timeout_ms(interval_ms) as f64 / 1000.0;
        self.tuning.heartbeat_timeout_s.unwrap_or_else(derived)
    }

    /// Maximum number of concurrent direct calls: half of the sockets not reserved for clients.
    fn max_open_calls(&self) -> usize {
        let free =
            self.platform.params.limits.max_sockets as f64 * (1.0 - c::CLIENT_SOCKET_FRACTION);
        ((free / 2.0) as usize).clamp(1, c::MAX_DIRECT_CALLS)
    }

    /// Duration of the leader's lease, in s. Unless it is set, this is the default, limited to a
    /// fraction of the cancellation time that the worker lease leaves.
    pub fn leader_lease_s(&self) -> f64 {
        let left = self.platform.params.workers.cancel_s - self.max_task_end_s();
        let [usual, min] = [c::LEADER_LEASE_MS, c::MIN_LEADER_LEASE_MS].map(|ms| ms as f64 / 1e3);
        self.tuning
            .leader_lease_s
            .unwrap_or_else(|| usual.min(left * c::MAX_CANCEL_TIME_FRACTION).max(min))
    }

    /// Time in s within which a task ends after the last heartbeat of its worker that a leader
    /// answered. A leader that can't see cancellations answers heartbeats until its lease expires,
    /// and the tasks then run until the worker lease expires.
    fn max_task_end_s(&self) -> f64 {
        self.platform.params.workers.lease_s * c::CLOCK_DRIFT_FACTOR + c::TASK_KILL_S
    }

    /// Maximum number of connections from users and workers.
    pub fn max_connections(&self) -> usize {
        (self.platform.params.limits.max_sockets as f64 * c::CLIENT_SOCKET_FRACTION) as usize
    }

    /// Returns the derived values for `latchtrack check`.
    pub fn derived(&self) -> Derived {
        Derived {
            connections: self.max_connections(),
            direct_calls: self.max_open_calls(),
            prompt_ms: self
                .start_objectives()
                .into_iter()
                .map(|objective| (objective.class, objective.within_ms))
                .collect(),
        }
    }

    /// Duration of the leader's lease, in ms.
    pub fn leader_lease_ms(&self) -> u64 {
        (self.leader_lease_s() * 1000.0) as u64
    }

    /// Number of nodes of the service, including this one.
    pub fn node_count(&self) -> usize {
        self.platform.peers.len() + 1
    }
}
