//! How often a node may read and write: its share of the state service's limits.

use crate::constants::{
    BURST_FRACTION, UNEXPLAINED_REFUSALS, USABLE_LIMIT_FRACTION, WRITE_SHARE_GROWTH,
    WRITE_SHARE_HOLD_MS, WRITE_SHARE_INTERVAL_MS,
};

/// How far below a whole token the budget may be by rounding, and still allow it.
const ROUNDING: f64 = 1e-9;

/// A budget that fills up with time.
#[derive(Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    capacity: f64,
    tokens: f64,
    /// In ms of the steady clock.
    refilled_at: u64,
}

impl TokenBucket {
    /// A full bucket, which fills by `rate_per_s` up to `capacity`.
    pub fn new(rate_per_s: f64, capacity: f64, now: u64) -> Self {
        TokenBucket { rate_per_s, capacity, tokens: capacity, refilled_at: now }
    }

    /// Another rate and capacity from now on.
    pub fn set_rate(&mut self, rate_per_s: f64, capacity: f64) {
        self.rate_per_s = rate_per_s;
        self.capacity = capacity;
        self.tokens = self.tokens.min(capacity);
    }

    /// Adds what has come since the last time.
    pub fn refill(&mut self, now: u64) {
        let passed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.tokens = (self.tokens + passed_s * self.rate_per_s).min(self.capacity);
        self.refilled_at = now;
    }

    /// In how many ms `n` may be taken; None: now. More than the capacity may be taken when the
    /// bucket is full.
    pub fn wait_ms(&self, n: f64) -> Option<u64> {
        let needed = n.min(self.capacity);
        if self.tokens + ROUNDING >= needed {
            return None;
        }
        Some(((needed - self.tokens) / self.rate_per_s * 1000.0).ceil() as u64 + 1)
    }

    /// Takes `n`, also more than there is: the debt is paid back by time.
    pub fn take(&mut self, n: f64) {
        self.tokens -= n;
    }

    /// Takes all that is there.
    pub fn drain(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }
}

/// Writes a second that the state service takes from all nodes.
#[derive(Clone, Copy, Debug)]
pub struct WriteLimits {
    /// As it is now.
    pub current: f64,
    /// Once the limits of the service are lowered.
    pub lower: f64,
}

/// What a node may write a second: its part of the limit, and more while it has to wait and no
/// node is over the limit, so that what others don't use is used. The service itself says when it
/// is too much, and refuses only what comes then; leases don't count as writes.
///
/// The service may lower its limit without notice. Refusals in a row while the node keeps to its
/// own part are not explained by bursts: from then on the lower limit counts. Nothing ever tells
/// that it was raised again, so that stays.
#[derive(Debug)]
pub struct WriteShare {
    limits: WriteLimits,
    /// The limit that counts, in writes a second.
    limit: f64,
    /// This node's part of it.
    part: f64,
    /// How many times its part the node takes.
    multiplier: f64,
    /// Whether a write had to wait since the last adjustment.
    has_waited: bool,
    /// Whether a write was refused since the last adjustment.
    was_refused: bool,
    /// Adjustments in a row that found a refusal though the node kept to its part.
    unexplained: u32,
    /// In ms of the steady clock.
    adjusted_at: u64,
    /// Not to grow before this time, in ms of the steady clock.
    hold_until: u64,
}

impl WriteShare {
    /// `part` of the limits is this node's own.
    pub fn new(limits: WriteLimits, part: f64, now: u64) -> Self {
        WriteShare {
            limits,
            limit: limits.current,
            part,
            multiplier: 1.0,
            has_waited: false,
            was_refused: false,
            unexplained: 0,
            adjusted_at: now,
            hold_until: now,
        }
    }

    /// Another part from now on, as a node that leads has more.
    pub fn set_part(&mut self, part: f64, now: u64) {
        let limit = self.limit;
        *self = WriteShare { limit, ..WriteShare::new(self.limits, part, now) };
    }

    /// A write had to wait.
    pub fn record_wait(&mut self) {
        self.has_waited = true;
    }

    /// The service refused a write as one too many.
    pub fn record_refusal(&mut self) {
        self.was_refused = true;
    }

    /// Writes a second of the node's own part alone.
    pub fn usual_rate(&self) -> f64 {
        self.limit * self.part
    }

    /// Writes that may go at once after a pause: half a second's worth of what all nodes may,
    /// since the service allows bursts of a second's worth and seldom do all nodes burst together.
    pub fn burst(&self) -> f64 {
        self.limit * self.part.max(USABLE_LIMIT_FRACTION * BURST_FRACTION)
    }

    /// Writes a second now.
    pub fn rate(&mut self, now: u64) -> f64 {
        if now >= self.adjusted_at + WRITE_SHARE_INTERVAL_MS {
            self.adjusted_at = now;
            self.adjust(now);
        }
        self.usual_rate() * self.multiplier
    }

    /// Grows or shrinks the rate by what has happened since the last adjustment.
    fn adjust(&mut self, now: u64) {
        let max_multiplier = (USABLE_LIMIT_FRACTION / self.part).max(1.0);
        if self.was_refused {
            self.unexplained = if self.multiplier > 1.0 { 0 } else { self.unexplained + 1 };
            if self.unexplained >= UNEXPLAINED_REFUSALS {
                self.limit = self.limits.lower;
            }
            self.multiplier = 1.0;
            self.hold_until = now + WRITE_SHARE_HOLD_MS;
        } else {
            self.unexplained = 0;
            if !self.has_waited {
                self.multiplier = (self.multiplier / WRITE_SHARE_GROWTH).max(1.0);
            } else if now >= self.hold_until {
                self.multiplier = (self.multiplier * WRITE_SHARE_GROWTH).min(max_multiplier);
            }
        }
        (self.was_refused, self.has_waited) = (false, false);
    }
}
