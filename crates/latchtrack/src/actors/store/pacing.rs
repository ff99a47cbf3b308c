//! Rate limits of a node's requests: its share of the state service's limits.

use crate::constants::{
    BURST_FRACTION, UNEXPLAINED_REFUSALS, USABLE_LIMIT_FRACTION, WRITE_SHARE_GROWTH,
    WRITE_SHARE_HOLD_MS, WRITE_SHARE_INTERVAL_MS,
};

/// Rounding error by which the tokens may fall short of the requested number.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// A token bucket that allows debt.
#[derive(Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    capacity: f64,
    tokens: f64,
    /// When tokens were last added, in ms of the steady clock.
    refilled_at: u64,
}

impl TokenBucket {
    /// Creates a full bucket that gains `rate_per_s` tokens per second up to `capacity`.
    pub fn new(rate_per_s: f64, capacity: f64, now: u64) -> Self {
        TokenBucket { rate_per_s, capacity, tokens: capacity, refilled_at: now }
    }

    /// Changes the rate and the capacity. Tokens above the capacity are lost.
    pub fn set_rate(&mut self, rate_per_s: f64, capacity: f64) {
        self.rate_per_s = rate_per_s;
        self.capacity = capacity;
        self.tokens = self.tokens.min(capacity);
    }

    /// Adds the tokens accrued since the last refill.
    pub fn refill(&mut self, now: u64) {
        let passed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.tokens = (self.tokens + passed_s * self.rate_per_s).min(self.capacity);
        self.refilled_at = now;
    }

    /// Returns the time until `n` tokens may be taken, in ms, or `None` if they may be taken now.
    /// More than the capacity may be taken when the bucket is full.
    pub fn wait_ms(&self, n: f64) -> Option<u64> {
        let needed = n.min(self.capacity);
        if self.tokens + ROUNDING_TOLERANCE >= needed {
            return None;
        }
        Some(((needed - self.tokens) / self.rate_per_s * 1000.0).ceil() as u64 + 1)
    }

    /// Takes `n` tokens. The number of tokens may become negative, and later refills repay it.
    pub fn take(&mut self, n: f64) {
        self.tokens -= n;
    }

    /// Removes all tokens. A debt remains.
    pub fn drain(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }
}

/// Write limits of the state service for all nodes, in writes per second.
#[derive(Clone, Copy, Debug)]
pub struct WriteLimits {
    /// The limit at present.
    pub current: f64,
    /// The limit after the service lowers it.
    pub lower: f64,
}

/// The write rate of a node. Its base rate is its share of the limit. While writes have to wait,
/// the rate grows, to use what other nodes leave; otherwise it shrinks. A refused write resets it
/// to the base rate. Exceeding the limit is harmless: the service refuses only the excess, and
/// lease requests don't count as writes.
///
/// The service may lower its limit without notice. Consecutive refusals at the base rate can't be
/// explained by bursts, so the lower limit is assumed from then on. The assumption is final, since
/// nothing indicates that the service has raised its limit again.
#[derive(Debug)]
pub struct WriteShare {
    limits: WriteLimits,
    /// The limit assumed to apply, in writes per second.
    limit: f64,
    /// Fraction of the limit that is allocated to this node.
    share: f64,
    /// Ratio of the current rate to the base rate, at least 1.
    multiplier: f64,
    /// Whether a write had to wait since the last adjustment.
    has_waited: bool,
    /// Whether a write was refused since the last adjustment.
    was_refused: bool,
    /// Consecutive adjustments with a refusal although the node wrote at its base rate.
    unexplained_refusals: u32,
    /// When the rate was last adjusted, in ms of the steady clock.
    adjusted_at: u64,
    /// The rate does not grow before this time, in ms of the steady clock.
    hold_until: u64,
}

impl WriteShare {
    /// Creates the write rate of a node that is allocated the fraction `share` of the limits.
    pub fn new(limits: WriteLimits, share: f64, now: u64) -> Self {
        WriteShare {
            limits,
            limit: limits.current,
            share,
            multiplier: 1.0,
            has_waited: false,
            was_refused: false,
            unexplained_refusals: 0,
            adjusted_at: now,
            hold_until: now,
        }
    }

    /// Changes the share, which is larger for the leader, and resets the rate to the base rate.
    pub fn set_share(&mut self, share: f64, now: u64) {
        let limit = self.limit;
        *self = WriteShare { limit, ..WriteShare::new(self.limits, share, now) };
    }

    /// Records that a write had to wait for the budget.
    pub fn record_wait(&mut self) {
        self.has_waited = true;
    }

    /// Records that the service refused a write over its limit.
    pub fn record_refusal(&mut self) {
        self.was_refused = true;
    }

    /// Returns the rate that the node's share alone allows, in writes per second.
    pub fn base_rate(&self) -> f64 {
        self.limit * self.share
    }

    /// Returns the number of writes that may be sent at once after a pause: those of all nodes in
    /// half a second, or of this node in a second if that is more. The service allows bursts of one
    /// second, and all nodes rarely burst together.
    pub fn burst(&self) -> f64 {
        self.limit * self.share.max(USABLE_LIMIT_FRACTION * BURST_FRACTION)
    }

    /// Returns the current rate in writes per second, after any adjustment that is due.
    pub fn rate(&mut self, now: u64) -> f64 {
        if now >= self.adjusted_at + WRITE_SHARE_INTERVAL_MS {
            self.adjusted_at = now;
            self.adjust(now);
        }
        self.base_rate() * self.multiplier
    }

    /// Adjusts the rate by the waits and refusals since the last adjustment.
    fn adjust(&mut self, now: u64) {
        let max_multiplier = (USABLE_LIMIT_FRACTION / self.share).max(1.0);
        if self.was_refused {
            self.unexplained_refusals =
                if self.multiplier > 1.0 { 0 } else { self.unexplained_refusals + 1 };
            if self.unexplained_refusals >= UNEXPLAINED_REFUSALS {
                self.limit = self.limits.lower;
            }
            self.multiplier = 1.0;
            self.hold_until = now + WRITE_SHARE_HOLD_MS;
        } else {
            self.unexplained_refusals = 0;
            if !self.has_waited {
                self.multiplier = (self.multiplier / WRITE_SHARE_GROWTH).max(1.0);
            } else if now >= self.hold_until {
                self.multiplier = (self.multiplier * WRITE_SHARE_GROWTH).min(max_multiplier);
            }
        }
        (self.was_refused, self.has_waited) = (false, false);
    }
}
