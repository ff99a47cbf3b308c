//! How often the cloud may be called.
//!
//! Not a [`crate::actors::store::pacing::TokenBucket`], whose arithmetic differs: this one starts
//! with less than it can hold, allows a call only when a whole one is there, and rounds its wait
//! down.

use crate::constants::CLOUD_BURST_S;

/// A budget of calls that fills up with time.
pub(super) struct CallBudget {
    rate_per_s: f64,
    calls: f64,
    /// In ms of the steady clock.
    refilled_at: u64,
}

impl CallBudget {
    /// A budget with the calls of one second.
    pub(super) fn new(rate_per_s: f64, now: u64) -> Self {
        CallBudget { rate_per_s, calls: rate_per_s, refilled_at: now }
    }

    /// Adds what has come since the last time.
    pub(super) fn refill(&mut self, now: u64) {
        let passed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        let capacity = (CLOUD_BURST_S * self.rate_per_s).max(1.0);
        self.calls = (self.calls + passed_s * self.rate_per_s).min(capacity);
        self.refilled_at = now;
    }

    /// Whether a call may be sent now.
    pub(super) fn allows_call(&self) -> bool {
        self.calls >= 1.0
    }

    /// A call is sent.
    pub(super) fn take_call(&mut self) {
        self.calls -= 1.0;
    }

    /// ms until the next call may be sent.
    pub(super) fn wait_ms(&self) -> u64 {
        ((1.0 - self.calls) / self.rate_per_s * 1000.0) as u64 + 1
    }
}
