//! Phases of emulated tasks, and their names in the protocol.

/// Identifies an attempt at a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The task's id, `<job>/<index>`.
    pub task: String,
    /// The attempt number that the leader assigned.
    pub attempt: u64,
}

impl AttemptKey {
    /// Returns the job id in a task id of the form `<job>/<index>`.
    pub fn job_of(task: &str) -> &str {
        task.split('/').next().unwrap_or_default()
    }
}

/// The phase of an attempt on an emulated machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// It is fetching its image.
    Fetching,
    /// Its process is running.
    Running,
    /// It was told to stop and is saving its progress.
    Checkpointing,
    /// Its process is gone. It is reported until the leader sends `forget`.
    Ended(ExitCause),
}

/// Why an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCause {
    /// The task completed.
    Done,
    /// It stopped on command.
    Stopped,
    /// Another attempt at the same task is live on the machine.
    DuplicateTask,
    /// The machine has too little free capacity, or is set to reject launches.
    InsufficientResources,
}

impl TaskPhase {
    /// Returns the `status` value of this phase in the protocol.
    pub fn protocol_name(self) -> &'static str {
        match self {
            TaskPhase::Fetching => "pulling",
            TaskPhase::Running => "running",
            TaskPhase::Checkpointing => "flushing",
            TaskPhase::Ended(_) => "ended",
        }
    }
}

impl ExitCause {
    /// Returns the `cause` value of this exit in the protocol.
    pub fn protocol_name(self) -> &'static str {
        match self {
            ExitCause::Done => "done",
            ExitCause::Stopped => "halted",
            ExitCause::DuplicateTask => "busy",
            ExitCause::InsufficientResources => "no_room",
        }
    }
}
