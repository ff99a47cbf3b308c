//! The platform's settings, a JSON file. Where a key of the file differs from the field name, the
//! field has a serde rename.

use std::net::SocketAddr;

use latchtrack_core::scheduler::{CompletionObjective, Due};
use serde::{Deserialize, Serialize};

/// The platform's settings file. Unknown keys are ignored.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Platform {
    /// Name of this node.
    pub node_name: String,
    /// Zone of this node.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address on which connections from users and workers are accepted.
    pub bind: SocketAddr,
    /// Address on which connections from other nodes are accepted.
    pub peer_bind: SocketAddr,
    /// The other nodes.
    #[serde(rename = "others")]
    pub peers: Vec<Peer>,
    /// External services that the node depends on.
    #[serde(rename = "external")]
    pub services: Services,
    /// Parameters of the deployment.
    pub params: Params,
}

/// Another node of the service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Peer {
    /// Name of the node.
    pub node_name: String,
    /// Address on which the node accepts connections from other nodes.
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

/// Addresses of the external services.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Services {
    /// API of the cloud that provisions machines.
    pub cloud: SocketAddr,
    /// Key-value store that holds all persistent state.
    pub state: SocketAddr,
}

/// Parameters of the deployment.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Params {
    /// Zones in which machines may be provisioned.
    pub zones: Vec<String>,
    /// Teams that may submit jobs.
    pub teams: Vec<TeamParams>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Intervals and timeouts of the workers.
    pub workers: WorkerParams,
    /// Limits of the state service.
    pub state: StateParams,
    /// Limits of the cloud.
    pub cloud: CloudParams,
    /// Resources that this node may use.
    #[serde(rename = "machine_limits")]
    pub limits: NodeLimits,
}

/// A team's guarantee and limit. Missing amounts are 0, and a limit of 0 means no limit.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TeamParams {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Limit on the CPUs in use.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Limit on the GPUs in use.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective. Objectives of unknown kinds are ignored.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Objective {
    /// Kind of the objective: `wait`, `finished` or `deadline`.
    pub kind: String,
    /// Workload class that the objective applies to.
    #[serde(default)]
    pub class: String,
    /// Time in s within which tasks must start (`wait`) or jobs must complete (`finished`).
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Multiple of its own deadline within which a job must complete (`deadline`).
    #[serde(default)]
    pub times: Option<f64>,
}

impl Objective {
    /// Time in ms within which tasks of the class must start; `None` unless the kind is `wait` and
    /// the time is positive.
    pub(super) fn start_within_ms(&self) -> Option<u64> {
        let s = self.within_s.filter(|s| self.kind == "wait" && *s > 0.0)?;
        Some((s * 1000.0) as u64)
    }

    /// Time limit for the jobs of the class; `None` unless the kind is `finished` or `deadline` and
    /// its value is positive.
    pub(super) fn completion_objective(&self) -> Option<CompletionObjective> {
        let due = match (self.kind.as_str(), self.within_s, self.times) {
            ("finished", Some(s), _) if s > 0.0 => Due::Within((s * 1000.0) as u64),
            ("deadline", _, Some(t)) if t > 0.0 => Due::DeadlineMultiple(t),
            _ => return None,
        };
        Some(CompletionObjective { class: self.class.clone(), due })
    }
}

/// Intervals and timeouts of the workers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WorkerParams {
    /// Interval between two heartbeats, in s.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Duration of the worker lease, in s.
    pub lease_s: f64,
    /// Time within which the tasks of a cancelled job must have ended, in s.
    pub cancel_s: f64,
    /// Time that a task of a gang waits for the other tasks of its attempt, in s.
    #[serde(default)]
    pub gang_wait_s: Option<f64>,
    /// Time in s within which the tasks of a gang notice the loss of one of them. A stop must reach
    /// all tasks of a gang within this time.
    #[serde(default)]
    pub gang_peer_s: Option<f64>,
}

/// Limits of the state service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StateParams {
    /// Maximum number of requests per second.
    pub rps: f64,
    /// Maximum number of changes per second.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in a transaction.
    pub txn_ops: usize,
    /// Limits that will take effect at some later time, without further notice.
    #[serde(default)]
    pub next: Option<NextStateParams>,
}

/// Future limits of the state service; a missing one stays at its current value.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct NextStateParams {
    /// Maximum number of requests per second.
    pub rps: Option<f64>,
    /// Maximum number of changes per second.
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in KiB.
    pub value_kb: Option<f64>,
    /// Maximum number of changes in a transaction.
    pub txn_ops: Option<usize>,
}

impl StateParams {
    /// Maximum size of a value under both the current and the future limits, in bytes.
    pub fn value_bytes(&self) -> usize {
        let next = self.next.as_ref().and_then(|next| next.value_kb);
        (lower(self.value_kb, next) * 1024.0) as usize
    }

    /// Maximum number of changes in a transaction under both the current and the future limits.
    pub fn txn_ops(&self) -> usize {
        lower(self.txn_ops, self.next.as_ref().and_then(|next| next.txn_ops))
    }

    /// Changes per second that are allowed under both the current and the future limits.
    pub fn lower_write_rps(&self) -> f64 {
        lower(self.write_rps, self.next.as_ref().and_then(|next| next.write_rps))
    }

    /// Requests per second that are allowed under both the current and the future limits.
    pub fn lower_rps(&self) -> f64 {
        lower(self.rps, self.next.as_ref().and_then(|next| next.rps))
    }
}

/// The lower of the current and the future value of a limit.
fn lower<T: PartialOrd>(now: T, next: Option<T>) -> T {
    match next {
        Some(next) if next < now => next,
        _ => now,
    }
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CloudParams {
    /// Maximum number of calls per second.
    pub rps: f64,
    /// Time by which the machine list may lag behind the actual state, in s.
    pub list_lag_s: f64,
}

/// Resources that this node may use.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct NodeLimits {
    /// CPU cores; may be a fraction.
    pub cpu: f64,
    /// Memory, in MB.
    pub mem_mb: f64,
    /// Maximum number of open sockets.
    pub max_sockets: usize,
}
