//! Errors of requests to the state service.

use crate::net::CallError;

/// Reason why a request was certainly not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NotExecutedReason {
    /// The service rejected it because a rate limit was exceeded.
    #[error("rate limit exceeded")]
    OverLimit,
    /// The deadline passed while the request was queued at this node.
    #[error("timed out in the queue")]
    TimedOutInQueue,
    /// Too many requests are queued at this node.
    #[error("queue full")]
    QueueFull,
    /// No connection to the service could be established.
    #[error("connection failed")]
    NoConnection,
    /// The service responded that it is unavailable.
    #[error("service unavailable")]
    ServiceUnavailable,
    /// A record to write can't be serialized.
    #[error("a record can't be serialized")]
    UnserializableRecord,
    /// A ledger to write can't be serialized or is too large.
    #[error("the ledger can't be serialized or is too large")]
    UnstorableLedger,
}

/// The failure of a request.
#[derive(Debug, Clone, thiserror::Error, PartialEq, Eq)]
pub enum StoreError {
    /// Certainly not executed: never sent, over a limit, or the service was unavailable.
    #[error("not executed: {0}")]
    NotExecuted(NotExecutedReason),
    /// The request may have been executed, or may be executed later.
    #[error("outcome unknown")]
    OutcomeUnknown,
    /// The lease or the key does not exist.
    #[error("lease or key not found")]
    NotFound,
    /// The service no longer has the changes since the requested revision.
    #[error("requested revision too old")]
    TooOld,
    /// The service rejected the request as invalid: because of a bug in this program, or because
    /// the lease that the request names has ended.
    #[error("refused: {0}")]
    Refused(String),
}

/// The error of a request that exceeds a rate limit.
pub const OVER_LIMIT: StoreError = StoreError::NotExecuted(NotExecutedReason::OverLimit);

impl From<CallError> for StoreError {
    fn from(e: CallError) -> Self {
        match e {
            CallError::NotSent => StoreError::NotExecuted(NotExecutedReason::NoConnection),
            CallError::OutcomeUnknown => StoreError::OutcomeUnknown,
        }
    }
}
