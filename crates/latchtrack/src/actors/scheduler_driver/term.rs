//! The term in which this node leads, and whether it may act in it.

use crate::actors::messages::scheduler::LeaderTerm;

/// The current term, and how recent the job cache is.
pub(super) struct TermState {
    /// Duration of the leader's lease in ms.
    lease_ms: u64,
    current: Option<LeaderTerm>,
    /// Time up to which the job cache is certain to be current, in ms of the steady clock.
    cache_current_at: u64,
}

impl TermState {
    /// Creates a state without a term, and with a cache that has never loaded.
    pub(super) fn new(lease_ms: u64) -> Self {
        TermState { lease_ms, current: None, cache_current_at: 0 }
    }

    /// Returns the term, if this node leads.
    pub(super) fn current(&self) -> Option<LeaderTerm> {
        self.current
    }

    /// Sets the term, or updates the validity of its lease.
    pub(super) fn set(&mut self, term: Option<LeaderTerm>) {
        self.current = term;
    }

    /// Returns the fencing token, or 0 if this node does not lead. No term has token 0.
    pub(super) fn token(&self) -> u64 {
        self.current.map_or(0, |term| term.token)
    }

    /// Records that the job cache has applied a read sent at this time.
    pub(super) fn cache_observed(&mut self, sent_at: u64) {
        self.cache_current_at = self.cache_current_at.max(sent_at);
    }

    /// Returns whether the lease is valid by the local clock and the job cache was current within
    /// the duration of a lease, so that cancellations are seen in time.
    pub(super) fn is_valid(&self, now: u64) -> bool {
        self.current.is_some_and(|term| now < term.valid_until)
            && now < self.cache_current_at + self.lease_ms
    }
}
