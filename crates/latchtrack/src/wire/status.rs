//! What a node tells an operator who asks for its status.

use serde::{Deserialize, Serialize};

/// A node's view of itself and, if it leads, of the cluster.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct NodeView {
    /// Whether the state service serves it.
    pub served: bool,
    /// Whom it holds to lead.
    pub leader: Option<String>,
    /// The name on the wire is that of the first version, which nodes exchange during an upgrade.
    #[serde(rename = "picture", skip_serializing_if = "Option::is_none")]
    pub cluster: Option<ClusterView>,
}

/// The cluster as its leader sees it.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct ClusterView {
    pub token: u64,
    /// Whether it may act now: its lease is valid and its cache new.
    pub acting: bool,
    pub machines_up: usize,
    /// Rented and not up; of these, those that should be.
    pub machines_booting: usize,
    pub machines_late: usize,
    /// Of an earlier leader, not yet heard by this one.
    pub machines_unsettled: usize,
    /// Types and zones of which most boots are late.
    pub late_boots: Vec<String>,
    pub quiet_zones: Vec<String>,
    pub jobs_open: usize,
    /// Of these, gangs: a version before 0.2 would run them task by task, so none may be open when nodes
    /// go back to one. Absent in what such a version answers.
    #[serde(default)]
    pub gangs_open: usize,
    /// Jobs that have shown nothing but failures.
    pub jobs_in_doubt: Vec<String>,
    pub tasks_waiting: u64,
    pub cpus: f64,
    pub cpus_running: f64,
}
