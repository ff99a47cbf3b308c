//! Which term this node leads in, and whether it may act in it.

use crate::actors::messages::scheduler::LeaderTerm;

/// The term, and how new the view of the jobs is.
pub(super) struct TermState {
    /// ms that the leader's lease lasts.
    lease_ms: u64,
    current: Option<LeaderTerm>,
    /// When the job cache was last surely current, in ms of the steady clock.
    cache_current_at: u64,
}

impl TermState {
    /// No term, and a cache that was never filled.
    pub(super) fn new(lease_ms: u64) -> Self {
        TermState { lease_ms, current: None, cache_current_at: 0 }
    }

    /// The term, if this node leads.
    pub(super) fn current(&self) -> Option<LeaderTerm> {
        self.current
    }

    /// Another term, or another end of the lease.
    pub(super) fn set(&mut self, term: Option<LeaderTerm>) {
        self.current = term;
    }

    /// The fencing token; 0 without a term, which no term has.
    pub(super) fn token(&self) -> u64 {
        self.current.map_or(0, |term| term.token)
    }

    /// The job cache has taken in a read that was sent at this time.
    pub(super) fn cache_observed(&mut self, sent_at: u64) {
        self.cache_current_at = self.cache_current_at.max(sent_at);
    }

    /// Whether this node leads by the local clock, and with a view of the jobs that is not older
    /// than the lease, so that cancellations are seen in time.
    pub(super) fn is_valid(&self, now: u64) -> bool {
        self.current.is_some_and(|term| now < term.valid_until)
            && now < self.cache_current_at + self.lease_ms
    }
}
