//! The lease of the leader key, and why a term ends.

use crate::constants::{CLOCK_DRIFT_DIVISOR, LEASE_MARGIN_MS};

/// A term of this node, with the lease that its leader key is under.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct HeldTerm {
    /// Fencing token.
    pub(super) token: u64,
    /// The lease.
    pub(super) lease: u64,
    /// Until when the lease is surely valid, in ms of the steady clock.
    pub(super) valid_until: u64,
}

/// Until when a lease granted or renewed by a request sent at `sent_at` is surely valid.
pub(super) fn lease_valid_until(ttl_ms: u64, sent_at: u64) -> u64 {
    sent_at + ttl_ms - ttl_ms / CLOCK_DRIFT_DIVISOR - LEASE_MARGIN_MS
}

/// Why a term ends, for the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum TermEnd {
    /// The state service knows the lease no more.
    #[error("the lease has expired")]
    LeaseExpired,
    /// The leader key is gone, or of another node.
    #[error("the leader key is gone or another node's")]
    KeyTaken,
    /// A write was refused because the leader key has changed.
    #[error("a write was refused by the leader key's revision")]
    WriteRefused,
    /// The scheduler wants to stop leading.
    #[error("resigned: {0}")]
    Resigned(String),
}
