//! Rate limit for calls to the cloud.
//!
//! Unlike [`crate::actors::store::pacing::TokenBucket`], it starts below its capacity, requires a
//! whole token for each call, and rounds the wait down.

use crate::constants::CLOUD_BURST_S;

/// A token bucket with one token for each call.
pub(super) struct CallBudget {
    rate_per_s: f64,
    tokens: f64,
    /// When tokens were last added, in ms of the steady clock.
    refilled_at: u64,
}

impl CallBudget {
    /// Creates a budget that holds the calls of one second.
    pub(super) fn new(rate_per_s: f64, now: u64) -> Self {
        CallBudget { rate_per_s, tokens: rate_per_s, refilled_at: now }
    }

    /// Adds the tokens accrued since the last refill.
    pub(super) fn refill(&mut self, now: u64) {
        let passed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        let capacity = (CLOUD_BURST_S * self.rate_per_s).max(1.0);
        self.tokens = (self.tokens + passed_s * self.rate_per_s).min(capacity);
        self.refilled_at = now;
    }

    /// Returns whether a call may be sent now.
    pub(super) fn allows_call(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token of one call.
    pub(super) fn take_call(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns the time until the next call may be sent, in ms.
    pub(super) fn wait_ms(&self) -> u64 {
        ((1.0 - self.tokens) / self.rate_per_s * 1000.0) as u64 + 1
    }
}
