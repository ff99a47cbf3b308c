//! Messages to the admission service: submissions and cancellations.

use actix::prelude::*;
use latchtrack_core::job::{JobId, JobSpec};

/// Create a job.
#[derive(Message)]
#[rtype(result = "SubmitOutcome")]
pub struct SubmitJob(pub JobSpec);

/// What became of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored.
    Created,
    /// The id exists; the job cache has its state after a refresh.
    Exists,
    /// The job can never run on this cluster.
    Infeasible(InfeasibleJob),
    /// The record has `bytes`, and the state service takes `max_bytes`.
    TooLarge {
        /// Bytes of the record.
        bytes: usize,
        /// Bytes of the largest value that the state service takes.
        max_bytes: usize,
    },
    /// Not accepted now; the user may try again.
    Busy(BusyReason),
}

/// Why a job can never run. The texts are part of the answer to the user.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum InfeasibleJob {
    /// The settings name no such team.
    #[error("unknown team {0}")]
    UnknownTeam(String),
    /// No machine type that the job allows is large enough.
    #[error("a task fits no allowed machine type")]
    NoMachineType,
    /// One task is above the limit of the team.
    #[error("a task needs more than the limit of team {0}")]
    TaskAboveTeamLimit(String),
    /// All tasks of a gang run at the same time, and together are above the limit of the team.
    #[error("the gang needs more than the limit of team {0}")]
    GangAboveTeamLimit(String),
    /// At most half of a spread gang may be in one zone, and only one zone is allowed.
    #[error("the gang is to be apart and is bound to one zone")]
    SpreadGangInOneZone,
}

/// Why a submission is not accepted now. The texts are part of the answer to the user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BusyReason {
    /// It waited for its turn at the state service for too long.
    #[error("no turn in time")]
    TimedOutInQueue,
    /// The state service failed or refused, or the outcome is unknown.
    #[error("the state service does not answer")]
    StoreUnavailable,
    /// The machine types were not read yet, neither from the cloud nor from the state service.
    #[error("the machine types are not known yet")]
    MachineTypesUnknown,
    /// The queue of submissions is full.
    #[error("too many submissions")]
    QueueFull,
    /// A submission with the same id waits already.
    #[error("the same id is being submitted")]
    DuplicateInQueue,
    /// The node is stopping.
    #[error("stopped")]
    Stopped,
}

/// Cancel a job.
#[derive(Message)]
#[rtype(result = "CancelOutcome")]
pub struct CancelJob(pub JobId);

/// What became of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// It is cancelled now, or was before.
    Cancelled,
    /// It was done before.
    Done,
    /// There is no such job.
    Unknown,
    /// Not possible now; the user may try again.
    Busy,
}

/// Whether submissions can be judged: the machine types must be known.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct IsReady;
