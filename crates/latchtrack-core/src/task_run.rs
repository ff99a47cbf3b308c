//! Task runs: attempts at tasks on machines.

use std::sync::Arc;

use crate::job::{JobSpec, TaskId};
use crate::Millis;

/// How a task run ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ExitCause {
    /// The task completed.
    Done,
    /// It was stopped on command.
    Stopped,
    /// The task failed.
    Failed,
    /// The machine had too little free capacity for it.
    InsufficientResources,
    /// Another attempt at the task was on the machine.
    DuplicateTask,
    /// The machine could not find out what the task is.
    UnknownTask,
    /// Another task of its gang was lost.
    GangPeerLost,
    /// The tasks of its gang were not all ready in time.
    GangIncomplete,
    /// A cause that is unknown to this version. The run has ended without a result.
    Unrecognised,
}

/// The phase that a machine reports for a task run, or `Assigned` before its first report.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TaskPhase {
    /// Assigned to a machine that has not reported the run yet.
    Assigned,
    /// Fetching its image.
    Fetching,
    /// A task of a gang, waiting for the other tasks of its attempt.
    Waiting,
    /// Executing the task.
    Running,
    /// Stopped, and saving its progress.
    Checkpointing,
    /// A phase that is unknown to this version. The run is on the machine and takes capacity.
    Unrecognised,
    /// Ended with this cause.
    Ended(ExitCause),
}

/// Why a task run is to be stopped.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StopReason {
    /// Its job is done or cancelled.
    JobClosed,
    /// Its machine reported it while its task was done or assigned elsewhere.
    NotAssigned,
    /// The cloud is about to preempt its machine.
    Preempted,
    /// Another task of its gang attempt has ended.
    GangAttemptEnded,
    /// It moves to another machine.
    Moved,
}

impl StopReason {
    /// Returns the reason as it appears in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            StopReason::JobClosed => "job_closed",
            StopReason::NotAssigned => "not_assigned",
            StopReason::Preempted => "preempted",
            StopReason::GangAttemptEnded => "gang_attempt_ended",
            StopReason::Moved => "moved",
        }
    }
}

/// A request to stop a task run.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct StopRequest {
    /// Why it is stopped.
    pub reason: StopReason,
    /// s that the task is given to save its progress.
    pub grace_s: f64,
    /// The time at which it was last sent; `None` if it was not sent yet.
    pub sent_at: Option<Millis>,
}

impl StopRequest {
    /// Returns a request that is yet to be sent and leaves no time to save progress.
    pub fn immediate(reason: StopReason) -> Self {
        StopRequest::with_grace(reason, 0.0)
    }

    /// Returns a request that is yet to be sent and leaves `grace_s` seconds to save progress.
    pub fn with_grace(reason: StopReason, grace_s: f64) -> Self {
        StopRequest { reason, grace_s, sent_at: None }
    }
}

/// One attempt at a task on a machine.
#[derive(Clone, Debug)]
pub struct TaskRun {
    /// The task that is attempted.
    pub task: TaskId,
    /// The number of the attempt, unique among the attempts at the task.
    pub attempt: u64,
    /// The job; `None` if it is closed or unknown, in which case the run is stopped.
    pub spec: Option<Arc<JobSpec>>,
    /// The last known phase.
    pub phase: TaskPhase,
    /// The request to stop it, if there is one.
    pub stop: Option<StopRequest>,
    /// The number of times its launch was sent to the machine.
    pub launch_sends: u32,
    /// The time at which its launch was first sent.
    pub first_launch_at: Millis,
    /// The token of the direct call with its launch, if there was one in this term. Copies of the
    /// call may arrive at any time, and the machine rejects them once it has seen a higher token.
    pub direct_launch_token: Option<u64>,
    /// The time at which its machine first reported it as running.
    pub running_since: Option<Millis>,
}

impl TaskRun {
    /// Records that its launch is being sent to the machine.
    pub fn record_launch_sent(&mut self, now: Millis) {
        if self.launch_sends == 0 {
            self.first_launch_at = now;
        }
        self.launch_sends = self.launch_sends.saturating_add(1);
    }

    /// Whether a machine that has seen this token rejects every direct call with its launch.
    pub fn is_launch_fenced_by(&self, token: u64) -> bool {
        self.direct_launch_token.is_none_or(|launch_token| launch_token < token)
    }

    /// Whether it still takes capacity on its machine.
    pub fn is_live(&self) -> bool {
        !matches!(self.phase, TaskPhase::Ended(_))
    }
}
