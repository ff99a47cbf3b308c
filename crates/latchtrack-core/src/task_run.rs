//! Task runs: attempts at tasks on machines.

use std::sync::Arc;

use crate::job::{JobSpec, TaskId};
use crate::Millis;

/// How a task run ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ExitCause {
    /// The task is done.
    Done,
    /// It was told to stop.
    Stopped,
    /// It failed.
    Failed,
    /// Its machine has not enough free capacity for it.
    InsufficientResources,
    /// Another attempt at the task is on its machine.
    DuplicateTask,
    /// Its machine can't find out what the task is.
    UnknownTask,
    /// Another task of its gang was gone.
    GangPeerLost,
    /// Its gang was not complete in time.
    GangIncomplete,
    /// A cause that this version does not know: the run is over, without a result.
    Unrecognised,
}

/// What a machine says of a task run, or `Assigned` while it has said nothing.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TaskPhase {
    /// Bound to its machine, which has not yet been seen to start it.
    Assigned,
    /// It fetches its image.
    Fetching,
    /// Of a gang: it waits for the other tasks of its attempt.
    Waiting,
    /// It runs.
    Running,
    /// It was told to stop, and saves its progress.
    Checkpointing,
    /// A phase that this version does not know: the run is on the machine, and takes capacity.
    Unrecognised,
    /// It is over.
    Ended(ExitCause),
}

/// That a task run is to stop.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct StopRequest {
    /// s in which it may save its progress.
    pub grace_s: f64,
    /// When it was last sent.
    pub sent_at: Option<Millis>,
}

impl StopRequest {
    /// To be sent, without time to save progress.
    pub const IMMEDIATE: StopRequest = StopRequest { grace_s: 0.0, sent_at: None };
}

/// One attempt at a task on a machine.
#[derive(Clone, Debug)]
pub struct TaskRun {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: u64,
    /// `None` for a job that is closed or unknown: such a run is stopped.
    pub spec: Option<Arc<JobSpec>>,
    /// Where it stands.
    pub phase: TaskPhase,
    /// Set if it is to stop.
    pub stop: Option<StopRequest>,
    /// How often its launch was sent to the machine.
    pub launch_sends: u32,
    /// When its launch was first sent.
    pub first_launch_at: Millis,
    /// A direct call with its launch was never answered: it may still execute while the agent epoch
    /// and this term's token stand, so the attempt must never be forgotten in this agent epoch.
    pub launch_outcome_unknown: bool,
    /// When it was first seen to run.
    pub running_since: Option<Millis>,
}

impl TaskRun {
    /// Its launch is sent to the machine.
    pub fn record_launch_sent(&mut self, now: Millis) {
        if self.launch_sends == 0 {
            self.first_launch_at = now;
        }
        self.launch_sends = self.launch_sends.saturating_add(1);
    }

    /// Whether it still takes capacity.
    pub fn is_live(&self) -> bool {
        !matches!(self.phase, TaskPhase::Ended(_))
    }
}
