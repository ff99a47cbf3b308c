//! Messages to the admission actor: submissions and cancellations.

use actix::prelude::*;
use latchtrack_core::job::{JobId, JobSpec};

/// Creates a job.
#[derive(Message)]
#[rtype(result = "SubmitOutcome")]
pub struct SubmitJob(pub JobSpec);

/// The outcome of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored.
    Created,
    /// A job with this id exists; its state is known once the job cache has been refreshed.
    Exists,
    /// The job can never run on this cluster.
    Infeasible(InfeasibleJob),
    /// The record exceeds the size limit of the state service.
    TooLarge {
        /// Size of the record in bytes.
        bytes: usize,
        /// Size limit of a value in bytes.
        max_bytes: usize,
    },
    /// Not accepted for now; the client may retry.
    Busy(BusyReason),
}

/// Reason why a job can never run. The messages are part of the HTTP response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InfeasibleJob {
    /// The settings define no such team.
    #[error("unknown team {0}")]
    UnknownTeam(String),
    /// No machine type that the job allows is large enough.
    #[error("a task fits no allowed machine type")]
    NoMachineType,
    /// A single task exceeds the limit of the team.
    #[error("a task needs more than the limit of team {0}")]
    TaskAboveTeamLimit(String),
    /// The tasks of a gang run at the same time and together exceed the limit of the team.
    #[error("the gang needs more than the limit of team {0}")]
    GangAboveTeamLimit(String),
    /// A spread gang may have at most half of its tasks in one zone, but only one zone is allowed.
    #[error("the gang is to be apart and is bound to one zone")]
    SpreadGangInOneZone,
}

/// Reason why a submission is not accepted for now. The messages are part of the HTTP response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BusyReason {
    /// The deadline passed before the submission was sent to the state service.
    #[error("no turn in time")]
    TimedOutInQueue,
    /// The write failed or was refused, or its outcome is unknown.
    #[error("the state service does not answer")]
    StoreUnavailable,
    /// The machine types were read neither from the cloud nor from the state service yet.
    #[error("the machine types are not known yet")]
    MachineTypesUnknown,
    /// The queue of submissions is full.
    #[error("too many submissions")]
    QueueFull,
    /// A submission with the same id is queued already.
    #[error("the same id is being submitted")]
    DuplicateInQueue,
    /// The node is stopping.
    #[error("stopped")]
    Stopped,
}

/// Cancels a job.
#[derive(Message)]
#[rtype(result = "CancelOutcome")]
pub struct CancelJob(pub JobId);

/// The outcome of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The job is cancelled, by this or an earlier request.
    Cancelled,
    /// The job was done before it could be cancelled.
    Done,
    /// No job with this id exists.
    Unknown,
    /// Not cancelled for now; the client may retry.
    Busy,
}

/// Asks whether submissions can be accepted, which requires the machine types.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct IsReady;
