//! What the platform hands over: the JSON file. Fields without a name of their own in the file
//! have their Rust name there.

use std::net::SocketAddr;

use latchtrack_core::scheduler::{CompletionObjective, Due};
use serde::{Deserialize, Serialize};

/// The platform's file. Unknown fields are ignored.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Platform {
    /// Name of this node.
    pub node_name: String,
    /// Zone of this node.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Where users and workers connect.
    pub bind: SocketAddr,
    /// Where other nodes connect.
    pub peer_bind: SocketAddr,
    /// The other nodes.
    #[serde(rename = "others")]
    pub peers: Vec<Peer>,
    /// The services that this one needs.
    #[serde(rename = "external")]
    pub services: Services,
    /// Parameters of the deployment.
    pub params: Params,
}

/// Another node.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Peer {
    /// Its name.
    pub node_name: String,
    /// Where it accepts connections of nodes.
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

/// Addresses of the services.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Services {
    /// The cloud.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// Parameters of the deployment.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Params {
    /// Zones in which machines may be provisioned.
    pub zones: Vec<String>,
    /// The teams that may submit jobs.
    pub teams: Vec<TeamParams>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Times of the workers.
    pub workers: WorkerParams,
    /// Limits of the state service.
    pub state: StateParams,
    /// Limits of the cloud.
    pub cloud: CloudParams,
    /// What this node may use.
    #[serde(rename = "machine_limits")]
    pub limits: NodeLimits,
}

/// A team. What is left out is 0; a limit of 0 is none.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TeamParams {
    /// Its name.
    pub name: String,
    /// CPUs of its guarantee.
    #[serde(default)]
    pub cpus: f64,
    /// CPUs of its limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs of its guarantee.
    #[serde(default)]
    pub gpus: f64,
    /// GPUs of its limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective; those of unknown kinds are ignored.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Objective {
    /// `wait`, `finished` or `deadline`.
    pub kind: String,
    /// The workload class that it is for.
    #[serde(default)]
    pub class: String,
    /// s within which tasks are to start (`wait`) or jobs to be done (`finished`).
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Multiple of its estimated time within which a job is to be done (`deadline`).
    #[serde(default)]
    pub times: Option<f64>,
}

impl Objective {
    /// Within how many ms the tasks of its class are to start, if it is of this kind.
    pub(super) fn start_within_ms(&self) -> Option<u64> {
        let s = self.within_s.filter(|s| self.kind == "wait" && *s > 0.0)?;
        Some((s * 1000.0) as u64)
    }

    /// By when the jobs of its class are to be done, if it is of such a kind.
    pub(super) fn completion_objective(&self) -> Option<CompletionObjective> {
        let due = match (self.kind.as_str(), self.within_s, self.times) {
            ("finished", Some(s), _) if s > 0.0 => Due::Within((s * 1000.0) as u64),
            ("deadline", _, Some(t)) if t > 0.0 => Due::DeadlineMultiple(t),
            _ => return None,
        };
        Some(CompletionObjective { class: self.class.clone(), due })
    }
}

/// Times of the workers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WorkerParams {
    /// s between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// s of the worker lease.
    pub lease_s: f64,
    /// s within which the tasks of a cancelled job must have ended.
    pub cancel_s: f64,
    /// s a task of a gang waits for the other tasks of its attempt.
    #[serde(default)]
    pub gang_wait_s: Option<f64>,
    /// s within which the tasks of a gang notice that one is gone, or must all get a stop.
    #[serde(default)]
    pub gang_peer_s: Option<f64>,
}

/// The limits of the state service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StateParams {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// KiB of a value.
    pub value_kb: f64,
    /// Changes of a transaction.
    pub txn_ops: usize,
    /// The limits that it will have from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextStateParams>,
}

/// Limits of the state service that are to come; what is left out stays as it is.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct NextStateParams {
    /// Requests a second.
    pub rps: Option<f64>,
    /// Changes a second.
    pub write_rps: Option<f64>,
    /// KiB of a value.
    pub value_kb: Option<f64>,
    /// Changes of a transaction.
    pub txn_ops: Option<usize>,
}

impl StateParams {
    /// Bytes of a value that the service takes now and later.
    pub fn value_bytes(&self) -> usize {
        let next = self.next.as_ref().and_then(|next| next.value_kb);
        (lower(self.value_kb, next) * 1024.0) as usize
    }

    /// Changes of a transaction that the service takes now and later.
    pub fn txn_ops(&self) -> usize {
        lower(self.txn_ops, self.next.as_ref().and_then(|next| next.txn_ops))
    }

    /// Changes a second that the service takes once its limits are lowered.
    pub fn lower_write_rps(&self) -> f64 {
        lower(self.write_rps, self.next.as_ref().and_then(|next| next.write_rps))
    }

    /// Requests a second that the service takes once its limits are lowered.
    pub fn lower_rps(&self) -> f64 {
        lower(self.rps, self.next.as_ref().and_then(|next| next.rps))
    }
}

/// The smaller of a limit as it is now and as it will be.
fn lower<T: PartialOrd>(now: T, next: Option<T>) -> T {
    match next {
        Some(next) if next < now => next,
        _ => now,
    }
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CloudParams {
    /// Calls a second.
    pub rps: f64,
    /// s by which its list of machines may be behind.
    pub list_lag_s: f64,
}

/// What this node may use.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct NodeLimits {
    /// CPUs.
    pub cpu: f64,
    /// MB of memory.
    pub mem_mb: f64,
    /// Open sockets.
    pub max_sockets: usize,
}
