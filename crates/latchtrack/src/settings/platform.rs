//! What the platform hands over.

use std::net::SocketAddr;

use latchtrack_core::scheduler::{CompletionObjective, Due};
use serde::{Deserialize, Serialize};

/// The platform's file. Fields that we do not know are ignored.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Platform {
    pub node_name: String,
    #[serde(rename = "domain")]
    pub zone: String,
    pub bind: SocketAddr,
    pub peer_bind: SocketAddr,
    #[serde(rename = "others")]
    pub peers: Vec<Peer>,
    #[serde(rename = "external")]
    pub services: Services,
    pub params: Params,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Peer {
    pub node_name: String,
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Services {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Params {
    pub zones: Vec<String>,
    pub teams: Vec<TeamParams>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateParams,
    pub cloud: CloudParams,
    #[serde(rename = "machine_limits")]
    pub limits: Limits,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TeamParams {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim of the users; kinds that we do not know are ignored.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: String,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub times: Option<f64>,
}

impl Objective {
    /// Within how many ms the tasks of its class are to start, if that is what it says.
    pub(super) fn wait_ms(&self) -> Option<u64> {
        let s = self.within_s.filter(|s| self.kind == "wait" && *s > 0.0)?;
        Some((s * 1000.0) as u64)
    }

    pub(super) fn aim(&self) -> Option<CompletionObjective> {
        let due = match (self.kind.as_str(), self.within_s, self.times) {
            ("finished", Some(s), _) if s > 0.0 => Due::Within((s * 1000.0) as u64),
            ("deadline", _, Some(t)) if t > 0.0 => Due::Times(t),
            _ => return None,
        };
        Some(CompletionObjective { class: self.class.clone(), due })
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    /// s a task of a gang waits for the other tasks of its attempt.
    #[serde(default)]
    pub gang_wait_s: Option<f64>,
    /// s within which the tasks of a gang notice that one is gone, or must all be told to stop.
    #[serde(default)]
    pub gang_peer_s: Option<f64>,
}

/// The limits of the state service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StateParams {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// The limits that it will have from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextStateParams>,
}

/// Limits of the state service that are to come; what is left out stays as it is.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct NextStateParams {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
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

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CloudParams {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Limits {
    pub cpu: f64,
    pub mem_mb: f64,
    pub max_sockets: usize,
}
