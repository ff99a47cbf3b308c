//! How large a world is and how long it runs.

/// How large a world is and how long it runs.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// ms of a step.
    pub step: u64,
    /// ms in which troubles start, and after which everything must get done.
    pub troubled: u64,
    pub end: u64,
    pub nodes: usize,
    /// Machines of each type, zone and kind.
    pub capacity: usize,
    /// ms between two reports.
    pub report: u64,
    /// Chance of a submission in a step, most tasks of a job, jobs at the start.
    pub submits: f64,
    pub tasks: u32,
    /// Chance that a job is a gang.
    pub gangs: f64,
    pub first: usize,
    /// Chance in a step that a user cancels a job.
    pub cancels: f64,
    /// Chance of a trouble in a step.
    pub troubles: f64,
    /// Chance that a report is copied on its way.
    pub copies: f64,
    /// CPUs that the limited team may use.
    pub limit: f64,
    /// ms between two writes of a leader, as its share of the puts would have it.
    pub write_gap: u64,
    /// ms an empty spot machine is kept; an ordinary one two fifths of that.
    pub idle_wait: u64,
    /// Most CPUs of a task.
    pub task_cpus: u32,
    /// Chance that the tasks of a job save.
    pub saving: f64,
    /// Leaders balance the load: two of three, the others are of a version that does not.
    pub balance: bool,
}

/// A few machines and many troubles.
pub const SMALL: Size = Size {
    step: 50,
    troubled: 150_000,
    end: 480_000,
    nodes: 5,
    capacity: 4,
    report: 1_500,
    submits: 0.007,
    cancels: 0.002,
    tasks: 6,
    gangs: 0.25,
    first: 0,
    troubles: 0.02,
    copies: 0.02,
    limit: 14.0,
    write_gap: 0,
    idle_wait: 5_000,
    task_cpus: 6,
    saving: 0.3,
    balance: false,
};

/// Jobs enough to keep the machines of a small world busy while the troubles last.
pub const BUSY: Size =
    Size { first: 10, submits: 0.02, troubles: 0.0, limit: 30.0, end: 900_000, ..SMALL };

/// Machines enough that nobody waits for long, and tasks that save: there is something to move.
pub const MOVING: Size = Size {
    capacity: 6,
    submits: 0.02,
    task_cpus: 2,
    saving: 0.9,
    gangs: 0.15,
    limit: 40.0,
    balance: true,
    ..SMALL
};

/// A cell with two controllers; three of them share 40 CPUs of the limited team.
pub const CELL: Size = Size { nodes: 2, submits: 0.005, limit: 40.0, end: 600_000, ..SMALL };

/// Over a thousand machines and the puts of one leader among five.
pub const FLEET: Size = Size {
    step: 200,
    troubled: 100_000,
    end: 360_000,
    nodes: 5,
    capacity: 150,
    report: 4_000,
    submits: 0.3,
    cancels: 0.002,
    tasks: 60,
    gangs: 0.1,
    first: 150,
    troubles: 0.06,
    copies: 0.02,
    limit: 2_000.0,
    write_gap: 800,
    idle_wait: 5_000,
    task_cpus: 6,
    saving: 0.3,
    balance: false,
};

/// Over two thousand machines: half as many again as the largest fleet in use.
pub const LARGE: Size = Size { capacity: 190, first: 650, submits: 0.5, limit: 5_000.0, ..FLEET };

/// Over four thousand machines, as many as are run now.
pub const HUGE: Size = Size {
    step: 250,
    capacity: 390,
    report: 8_000,
    first: 1_100,
    submits: 0.1,
    limit: 20_000.0,
    troubles: 0.01,
    // Machines that come and go every few seconds would wait for the writes of one leader.
    idle_wait: 120_000,
    ..FLEET
};

/// Nearly half as many again. With a tenth more jobs at the start the referee finds some that waited for 90 s
/// while a machine had room; what they wait for is not traced yet.
pub const HUGEST: Size = Size { capacity: 620, first: 2_000, ..HUGE };
