//! The lease of the leader key, and the reasons why a term ends.

use crate::constants::{CLOCK_DRIFT_DIVISOR, LEASE_MARGIN_MS};

/// A term in which this node leads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct HeldTerm {
    /// Fencing token: the revision of the leader key.
    pub(super) token: u64,
    /// Id of the lease that the leader key is attached to.
    pub(super) lease: u64,
    /// Time until which the lease is certain to be valid, in ms of the steady clock.
    pub(super) valid_until: u64,
}

/// Returns the time until which a lease granted or renewed by a request sent at `sent_at` is
/// certain to be valid. Clock drift and a margin are deducted.
pub(super) fn lease_valid_until(ttl_ms: u64, sent_at: u64) -> u64 {
    sent_at + ttl_ms - ttl_ms / CLOCK_DRIFT_DIVISOR - LEASE_MARGIN_MS
}

/// Reason why a term ends, for the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum TermEndReason {
    /// The state service no longer knows the lease.
    #[error("the lease has expired")]
    LeaseExpired,
    /// The leader key was deleted or belongs to another node.
    #[error("the leader key was deleted or taken by another node")]
    KeyTaken,
    /// A write was refused because the leader key has changed.
    #[error("a write was refused because the leader key has changed")]
    WriteRefused,
    /// The scheduler asked to stop leading, for this reason.
    #[error("resigned: {0}")]
    Resigned(String),
}
