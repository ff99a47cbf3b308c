//! Phases of an emulated task and the words that the protocol has for them.

/// One attempt at a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The task's id, `<job>/<index>`.
    pub task: String,
    /// The number of the attempt.
    pub attempt: u64,
}

impl AttemptKey {
    /// The job that a task belongs to.
    pub fn job_of(task: &str) -> &str {
        task.split('/').next().unwrap_or_default()
    }
}

/// The phase of an attempt on an emulated machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// It fetches its image.
    Fetching,
    /// Its process runs.
    Running,
    /// It was told to stop and saves its progress.
    Checkpointing,
    /// It has left the machine and is reported until the leader forgets it.
    Ended(ExitCause),
}

/// Why an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCause {
    /// It completed.
    Done,
    /// It was told to stop.
    Stopped,
    /// Another attempt at the same task is on the machine.
    DuplicateTask,
    /// The machine has too little free capacity.
    InsufficientResources,
}

impl TaskPhase {
    /// The protocol's word for it.
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
    /// The protocol's word for it.
    pub fn protocol_name(self) -> &'static str {
        match self {
            ExitCause::Done => "done",
            ExitCause::Stopped => "halted",
            ExitCause::DuplicateTask => "busy",
            ExitCause::InsufficientResources => "no_room",
        }
    }
}
