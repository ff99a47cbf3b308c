//! How large a world is and how long it runs.

/// How large a world is and how long it runs.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// ms of a step.
    pub step_ms: u64,
    /// ms in which faults begin, and after which everything must get done.
    pub fault_period_ms: u64,
    /// ms after which the run ends, whatever is left.
    pub end_ms: u64,
    /// Controller nodes.
    pub nodes: usize,
    /// Machines of each type and zone, spot or not.
    pub machines_per_offer: usize,
    /// ms between two heartbeats of a worker.
    pub heartbeat_interval_ms: u64,
    /// Probability of a submission in a step.
    pub submit_probability: f64,
    /// Most tasks of a job.
    pub max_tasks: u32,
    /// Probability that a job is a gang.
    pub gang_probability: f64,
    /// Jobs that are submitted before the run.
    pub initial_jobs: usize,
    /// Probability in a step that a user cancels a job.
    pub cancel_probability: f64,
    /// Probability of a fault in a step.
    pub fault_probability: f64,
    /// Probability that a heartbeat is copied on its way.
    pub duplicate_probability: f64,
    /// CPUs that the limited team may use.
    pub limited_team_cpus: f64,
    /// ms between two writes of a leader, as its share of the writes would have it.
    pub write_interval_ms: u64,
    /// ms an empty spot machine is kept; an on-demand one two fifths of that.
    pub spot_idle_timeout_ms: u64,
    /// Most CPUs of a task.
    pub max_task_cpus: u32,
    /// Probability that the tasks of a job save.
    pub checkpoint_probability: f64,
    /// Leaders balance the load: two of three, the others are of a version that does not.
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
    limited_team_cpus: 14.0,
    write_interval_ms: 0,
    spot_idle_timeout_ms: 5_000,
    max_task_cpus: 6,
    checkpoint_probability: 0.3,
    balance: false,
};

/// Jobs enough to keep the machines of a small world busy while the faults last.
pub const BUSY: Size = Size {
    initial_jobs: 10,
    submit_probability: 0.02,
    fault_probability: 0.0,
    limited_team_cpus: 30.0,
    end_ms: 900_000,
    ..SMALL
};

/// Far more work than the machines can do in time, and no limits, which would decide instead.
pub const OVERLOAD: Size = Size {
    initial_jobs: 40,
    submit_probability: 0.02,
    max_tasks: 30,
    limited_team_cpus: 1e6,
    end_ms: 900_000,
    ..SMALL
};

/// Machines enough that no job waits for long, and tasks that save: there is something to move.
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

/// A cell with two controllers; three of them share 40 CPUs of the limited team.
pub const CELL: Size =
    Size { nodes: 2, submit_probability: 0.005, limited_team_cpus: 40.0, end_ms: 600_000, ..SMALL };

/// Over a thousand machines and the puts of one leader among five.
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
    limited_team_cpus: 2_000.0,
    write_interval_ms: 800,
    spot_idle_timeout_ms: 5_000,
    max_task_cpus: 6,
    checkpoint_probability: 0.3,
    balance: false,
};

/// Over two thousand machines: half as many again as the largest fleet in use.
pub const LARGE: Size = Size {
    machines_per_offer: 190,
    initial_jobs: 650,
    submit_probability: 0.5,
    limited_team_cpus: 5_000.0,
    ..FLEET
};

/// Over four thousand machines, as many as are run now.
pub const HUGE: Size = Size {
    step_ms: 250,
    machines_per_offer: 390,
    heartbeat_interval_ms: 8_000,
    initial_jobs: 1_100,
    submit_probability: 0.1,
    limited_team_cpus: 20_000.0,
    fault_probability: 0.01,
    // Machines that come and go every few seconds would wait for the writes of one leader.
    spot_idle_timeout_ms: 120_000,
    ..FLEET
};

/// Nearly half as many again. With a tenth more jobs at the start the referee finds some that
/// waited for 90 s while a machine had free capacity; what they wait for is not traced yet.
pub const HUGEST: Size = Size { machines_per_offer: 620, initial_jobs: 2_000, ..HUGE };
