//! How a request to the state service can fail.

use crate::net::CallError;

/// Why a request was surely not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NotExecutedReason {
    /// The service counted it as one too many.
    #[error("over the limit")]
    OverLimit,
    /// Its deadline passed while it waited at this node.
    #[error("no turn in time")]
    TimedOutInQueue,
    /// Too many requests wait at this node.
    #[error("queue full")]
    QueueFull,
    /// No connection.
    #[error("can't connect")]
    NoConnection,
    /// The service said that it is not available.
    #[error("out of service")]
    OutOfService,
    /// A record that was to be written can't be serialized.
    #[error("no record")]
    NoRecord,
    /// A ledger that was to be written can't be serialized or is too large.
    #[error("no value")]
    NoValue,
}

/// How a request failed.
#[derive(Debug, Clone, thiserror::Error, PartialEq, Eq)]
pub enum StoreError {
    /// Surely not executed: refused, over a limit, or never sent.
    #[error("not executed: {0}")]
    NotExecuted(NotExecutedReason),
    /// May have been executed, or may be later.
    #[error("outcome unknown")]
    OutcomeUnknown,
    /// The lease or the key does not exist.
    #[error("not found")]
    NotFound,
    /// The watch asked for changes that are no longer kept.
    #[error("too old")]
    TooOld,
    /// A request that the service does not take: a fault of this program, or a lease that has
    /// ended.
    #[error("refused: {0}")]
    Refused(String),
}

/// The service counted the request as one too many.
pub const OVER_LIMIT: StoreError = StoreError::NotExecuted(NotExecutedReason::OverLimit);

impl From<CallError> for StoreError {
    fn from(e: CallError) -> Self {
        match e {
            CallError::NotSent => StoreError::NotExecuted(NotExecutedReason::NoConnection),
            CallError::OutcomeUnknown => StoreError::OutcomeUnknown,
        }
    }
}
