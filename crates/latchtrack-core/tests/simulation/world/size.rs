//! Sizes and load parameters of simulated worlds.

/// The size, load, fault rates and duration of a world.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Duration of a step, ms.
    pub step_ms: u64,
    /// End of the fault period, ms. Random faults begin and users act only before it; after it, all
    /// jobs must finish.
    pub fault_period_ms: u64,
    /// When the run ends even if jobs are open, ms.
    pub end_ms: u64,
    /// Number of controller nodes.
    pub nodes: usize,
    /// Most machines of each type, zone and kind (spot or on-demand).
    pub machines_per_offer: usize,
    /// Time between two heartbeats of a worker, ms.
    pub heartbeat_interval_ms: u64,
    /// Probability that a user submits a job in a step.
    pub submit_probability: f64,
    /// Most tasks of a job.
    pub max_tasks: u32,
    /// Probability that a job is a gang.
    pub gang_probability: f64,
    /// Number of jobs submitted before the first step.
    pub initial_jobs: usize,
    /// Probability that a user cancels a job in a step.
    pub cancel_probability: f64,
    /// Probability that a random fault begins in a step.
    pub fault_probability: f64,
    /// Probability that the network duplicates a heartbeat.
    pub duplicate_probability: f64,
    /// Probability that a direct call arrives again after it was executed, and of each further copy.
    pub call_copy_probability: f64,
    /// CPU limit of the limited team.
    pub limited_team_cpus: f64,
    /// Shortest time between two write transactions of a leader, its share of the write rate, ms.
    pub write_interval_ms: u64,
    /// Time for which an idle spot machine is kept, ms; on-demand machines are kept two fifths of
    /// it.
    pub spot_idle_timeout_ms: u64,
    /// Most CPUs of a task.
    pub max_task_cpus: u32,
    /// Probability that the tasks of a job write checkpoints.
    pub checkpoint_probability: f64,
    /// Whether two of three leaders balance the load; the third is of a version that does not.
    pub balance: bool,
}

/// A few machines and many faults.
pub const SMALL: Size = Size {
    step_ms: 50,
    fault_period_ms: 150_000,
    end_ms: 480_000,
    nodes: 5,
    machines_per_offer: 4,
    heartbeat_interval_ms: 1_500,
    submit_probability: 0.007,
    cancel_probability: 0.002,
    max_tasks: 6,
    gang_probability: 0.25,
    initial_jobs: 0,
    fault_probability: 0.02,
    duplicate_probability: 0.02,
    call_copy_probability: 0.1,
    limited_team_cpus: 14.0,
    write_interval_ms: 0,
    spot_idle_timeout_ms: 5_000,
    max_task_cpus: 6,
    checkpoint_probability: 0.3,
    balance: false,
};

/// Enough jobs to keep the machines of a small world busy during the faults.
pub const BUSY: Size = Size {
    initial_jobs: 10,
    submit_probability: 0.02,
    fault_probability: 0.0,
    limited_team_cpus: 30.0,
    end_ms: 900_000,
    ..SMALL
};

/// Far more work than the machines can do in time, and no team limit that would hold it back.
pub const OVERLOAD: Size = Size {
    initial_jobs: 40,
    submit_probability: 0.02,
    max_tasks: 30,
    limited_team_cpus: 1e6,
    end_ms: 900_000,
    ..SMALL
};

/// Enough machines that no job waits for long, and mostly tasks that write checkpoints, so that
/// there are tasks to move.
pub const MOVING: Size = Size {
    machines_per_offer: 6,
    submit_probability: 0.02,
    max_task_cpus: 2,
    checkpoint_probability: 0.9,
    gang_probability: 0.15,
    limited_team_cpus: 40.0,
    balance: true,
    ..SMALL
};

/// A cell with two controller nodes. Cells of this size share 40 CPUs for the limited team.
pub const CELL: Size =
    Size { nodes: 2, submit_probability: 0.005, limited_team_cpus: 40.0, end_ms: 600_000, ..SMALL };

/// Over a thousand machines, and the write rate of one leader among five nodes.
pub const FLEET: Size = Size {
    step_ms: 200,
    fault_period_ms: 100_000,
    end_ms: 360_000,
    nodes: 5,
    machines_per_offer: 150,
    heartbeat_interval_ms: 4_000,
    submit_probability: 0.3,
    cancel_probability: 0.002,
    max_tasks: 60,
    gang_probability: 0.1,
    initial_jobs: 150,
    fault_probability: 0.06,
    duplicate_probability: 0.02,
    call_copy_probability: 0.1,
    limited_team_cpus: 2_000.0,
    write_interval_ms: 800,
    spot_idle_timeout_ms: 5_000,
    max_task_cpus: 6,
    checkpoint_probability: 0.3,
    balance: false,
};

/// Over two thousand machines.
pub const LARGE: Size = Size {
    machines_per_offer: 190,
    initial_jobs: 650,
    submit_probability: 0.5,
    limited_team_cpus: 5_000.0,
    ..FLEET
};

/// Over four thousand machines, as many as are in production.
pub const HUGE: Size = Size {
    step_ms: 250,
    machines_per_offer: 390,
    heartbeat_interval_ms: 8_000,
    initial_jobs: 1_100,
    submit_probability: 0.1,
    limited_team_cpus: 20_000.0,
    fault_probability: 0.01,
    // The writes of one leader would not keep up with machines that come and go every few seconds.
    spot_idle_timeout_ms: 120_000,
    ..FLEET
};

/// Nearly six thousand machines. With a tenth more initial jobs, the referee reports jobs that
/// waited for 90 s while a machine had free capacity; the cause is not known yet.
pub const HUGEST: Size = Size { machines_per_offer: 620, initial_jobs: 2_000, ..HUGE };
