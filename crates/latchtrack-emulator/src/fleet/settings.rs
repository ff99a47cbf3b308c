//! Settings of a fleet and profiles of the jobs that it runs.

/// A node's endpoint for workers.
#[derive(Clone, Debug)]
pub struct NodeEndpoint {
    /// The node's `node_name`, which redirects use.
    pub name: String,
    /// The node's base URL.
    pub url: String,
}

/// Settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Seed for the heartbeat jitter and lost responses.
    pub seed: u64,
    /// Maximum number of machines. Machines provisioned beyond it never boot.
    pub machines: usize,
    /// Mean time between two heartbeats of a machine, ms; each is jittered by up to 25%.
    pub heartbeat_interval_ms: u64,
    /// Duration of the worker lease, ms.
    pub lease_ms: u64,
    /// Boot time of a machine, ms.
    pub boot_ms: u64,
    /// Fetch time of an image, ms.
    pub fetch_ms: u64,
    /// Probability that the response to a heartbeat or a direct call is lost.
    pub response_loss: f64,
    /// Copies of direct calls.
    pub call_copies: CallCopyFault,
    /// Endpoints of the nodes.
    pub nodes: Vec<NodeEndpoint>,
}

/// Direct calls that arrive once more after they were executed.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCopyFault {
    /// Probability that an executed call arrives once more.
    pub probability: f64,
    /// Maximum delay of the copy after the call, ms; at least 2.
    pub max_delay_ms: u64,
}

/// How the tasks of a job behave on a worker.
#[derive(Clone, Debug, Default)]
pub struct JobProfile {
    /// CPUs of each task.
    pub cpus: f64,
    /// The image that each task fetches.
    pub image: String,
    /// Run time of a task without interruptions, ms.
    pub run_ms: u64,
    /// Time to save a checkpoint, ms; `None` if the tasks have no checkpoints.
    pub checkpoint_ms: Option<u64>,
}
