//! What a fleet is made of and what it runs.

/// Where a node of the controllers listens for workers.
#[derive(Clone, Debug)]
pub struct NodeEndpoint {
    /// The node's name in the settings.
    pub name: String,
    /// Its base URL.
    pub url: String,
}

/// How the workers of a fleet behave.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Seed of heartbeat jitter and lost responses.
    pub seed: u64,
    /// Machines that may be provisioned; later ones never boot.
    pub machines: usize,
    /// Mean ms between two heartbeats of a machine.
    pub heartbeat_interval_ms: u64,
    /// The worker lease, ms.
    pub lease_ms: u64,
    /// ms that a machine takes to boot.
    pub boot_ms: u64,
    /// ms that the fetch of an image takes.
    pub fetch_ms: u64,
    /// Probability that the response to a heartbeat or a direct call is lost.
    pub response_loss: f64,
    /// The nodes of the controllers.
    pub nodes: Vec<NodeEndpoint>,
}

/// What workers know of a job: how its tasks behave.
#[derive(Clone, Debug, Default)]
pub struct JobProfile {
    /// CPUs of each task.
    pub cpus: f64,
    /// The image that each task fetches.
    pub image: String,
    /// ms that a task runs without interruption.
    pub run_ms: u64,
    /// ms that a checkpoint takes; None: its tasks never save.
    pub checkpoint_ms: Option<u64>,
}
