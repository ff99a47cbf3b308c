//! How often a node may ask and write: its share of the state service's limits.

use crate::constants::*;

/// A budget that fills up with time.
#[derive(Debug)]
pub struct Bucket {
    rate: f64,
    most: f64,
    have: f64,
    filled_at: u64,
}

impl Bucket {
    /// A full bucket of `most`, which fills by `rate` a second.
    pub fn new(rate: f64, most: f64, now: u64) -> Self {
        Bucket { rate, most, have: most, filled_at: now }
    }

    /// Another rate and bound from now on.
    pub fn set(&mut self, rate: f64, most: f64) {
        self.rate = rate;
        self.most = most;
        self.have = self.have.min(most);
    }

    /// Adds what has come since the last time.
    pub fn fill(&mut self, now: u64) {
        let passed_s = now.saturating_sub(self.filled_at) as f64 / 1000.0;
        self.have = (self.have + passed_s * self.rate).min(self.most);
        self.filled_at = now;
    }

    /// In how many ms `n` may be taken; None: now. More than ever fits may be taken when it is full.
    pub fn wait_ms(&self, n: f64) -> Option<u64> {
        let need = n.min(self.most);
        if self.have + 1e-9 >= need {
            return None;
        }
        Some(((need - self.have) / self.rate * 1000.0).ceil() as u64 + 1)
    }

    /// Takes `n`; below nothing it is paid back by time.
    pub fn take(&mut self, n: f64) {
        self.have -= n;
    }

    /// Takes all that is there.
    pub fn empty(&mut self) {
        self.have = self.have.min(0.0);
    }
}

/// Writes a second that the state service takes from all nodes: now, and once its limits are lowered.
#[derive(Clone, Copy, Debug)]
pub struct WriteLimits {
    pub now: f64,
    pub lower: f64,
}

/// What a node may write a second: its share of the limit, and more while it has to wait and nobody is
/// over the limit, so that what others leave is used. The service itself says when it is too much, and
/// refuses then what comes, nothing else: leases are no writes.
///
/// The service may lower its limit without notice. Refusals in a row while the node keeps to its own
/// share are not explained by bursts: from then on the lower limit counts. Nothing ever tells that it
/// was raised again, so that stays.
#[derive(Debug)]
pub struct WriteShare {
    limits: WriteLimits,
    /// The limit that counts.
    limit: f64,
    /// This node's part of it.
    part: f64,
    /// How many times its share the node takes.
    times: f64,
    /// Since the last look.
    has_waited: bool,
    was_refused: bool,
    /// Looks in a row that found a refusal though the node kept to its share.
    unexplained: u32,
    looked_at: u64,
    /// Not to grow before.
    calm_at: u64,
}

impl WriteShare {
    /// `part` of the limits is this node's own.
    pub fn new(limits: WriteLimits, part: f64, now: u64) -> Self {
        WriteShare {
            limits,
            limit: limits.now,
            part,
            times: 1.0,
            has_waited: false,
            was_refused: false,
            unexplained: 0,
            looked_at: now,
            calm_at: now,
        }
    }

    /// Another part from now on, as a node that leads has more.
    pub fn set_part(&mut self, part: f64, now: u64) {
        let limit = self.limit;
        *self = WriteShare { limit, ..WriteShare::new(self.limits, part, now) };
    }

    /// A write had to wait.
    pub fn waited(&mut self) {
        self.has_waited = true;
    }

    /// The service refused a write as one too many.
    pub fn refused(&mut self) {
        self.was_refused = true;
    }

    /// Writes a second of the node's share alone.
    pub fn usual_rate(&self) -> f64 {
        self.limit * self.part
    }

    /// Writes that may go at once after a pause: half a second's worth of what all may, since the
    /// service allows bursts of a second's worth and seldom do all nodes burst together.
    pub fn burst(&self) -> f64 {
        self.limit * self.part.max(LIMIT_USED * BURST_PART)
    }

    /// Writes a second now.
    pub fn rate(&mut self, now: u64) -> f64 {
        if now >= self.looked_at + PORTION_MS {
            self.looked_at = now;
            self.look(now);
        }
        self.usual_rate() * self.times
    }

    fn look(&mut self, now: u64) {
        let most = (LIMIT_USED / self.part).max(1.0);
        if self.was_refused {
            self.unexplained = if self.times > 1.0 { 0 } else { self.unexplained + 1 };
            if self.unexplained >= UNEXPLAINED_REFUSALS {
                self.limit = self.limits.lower;
            }
            self.times = 1.0;
            self.calm_at = now + PORTION_CALM_MS;
        } else {
            self.unexplained = 0;
            if !self.has_waited {
                self.times = (self.times / PORTION_GROWS).max(1.0);
            } else if now >= self.calm_at {
                self.times = (self.times * PORTION_GROWS).min(most);
            }
        }
        (self.was_refused, self.has_waited) = (false, false);
    }
}
