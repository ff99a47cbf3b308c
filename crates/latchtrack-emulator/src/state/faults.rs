//! Faults of transactions by chance: their responses are slow or lost, or they commit late.

use rand::rngs::StdRng;
use rand::Rng;

/// Chance faults of the state service. Requests that read are slow too.
pub struct TransactionFaults {
    /// Draws the faults.
    pub rng: StdRng,
    /// ms that a response is under way, at most; what it says is as old by then.
    pub slow_ms: u64,
    /// Probability that a transaction commits at once and only its response is lost.
    pub lost: f64,
    /// Probability that a transaction gets no response and commits later, after newer ones.
    pub late: f64,
    /// ms within which a late transaction commits.
    pub late_ms: u64,
    /// How often these came about.
    pub counts: FaultCounts,
}

/// How often faults came about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultCounts {
    /// Transactions whose response was lost.
    pub lost_responses: u32,
    /// Transactions that were executed late.
    pub late_transactions: u32,
}

/// What becomes of a transaction and of its response.
pub(super) enum Fate {
    Answered,
    ResponseLost,
    /// It is executed so many ms later.
    Late(u64),
}

impl TransactionFaults {
    pub(super) fn draw_fate(&mut self) -> Fate {
        if self.rng.random_bool(self.lost) {
            self.counts.lost_responses += 1;
            return Fate::ResponseLost;
        }
        if self.rng.random_bool(self.late) {
            self.counts.late_transactions += 1;
            return Fate::Late(self.rng.random_range(0..=self.late_ms));
        }
        Fate::Answered
    }

    pub(super) fn draw_delay_ms(&mut self) -> u64 {
        self.rng.random_range(0..=self.slow_ms)
    }
}
