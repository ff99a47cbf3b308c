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
    Ended(EndCause),
}

/// Why an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCause {
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
    pub fn on_the_wire(self) -> &'static str {
        match self {
            TaskPhase::Fetching => "pulling",
            TaskPhase::Running => "running",
            TaskPhase::Checkpointing => "flushing",
            TaskPhase::Ended(_) => "ended",
        }
    }
}

impl EndCause {
    /// The protocol's word for it.
    pub fn on_the_wire(self) -> &'static str {
        match self {
            EndCause::Done => "done",
            EndCause::Stopped => "halted",
            EndCause::DuplicateTask => "busy",
            EndCause::InsufficientResources => "no_room",
        }
    }
}
