//! Faults of transactions by chance: their responses are slow or lost, or they commit late.

use rand::rngs::StdRng;
use rand::Rng;

/// Chance faults of the state service. Requests that read are slow too.
pub struct TransactionFaults {
    /// Draws the faults.
    pub rng: StdRng,
    /// ms that a response is under way, at most; what it says is as old by then.
    pub max_delay_ms: u64,
    /// Probability that a transaction commits at once and only its response is lost.
    pub response_loss: f64,
    /// Probability that a transaction gets no response and commits later, after newer ones.
    pub late_commit: f64,
    /// ms within which a late transaction commits.
    pub max_late_ms: u64,
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
pub(super) enum TransactionOutcome {
    Responded,
    ResponseLost,
    /// It is executed so many ms later.
    CommittedLate(u64),
}

impl TransactionFaults {
    pub(super) fn draw_outcome(&mut self) -> TransactionOutcome {
        if self.rng.random_bool(self.response_loss) {
            self.counts.lost_responses += 1;
            return TransactionOutcome::ResponseLost;
        }
        if self.rng.random_bool(self.late_commit) {
            self.counts.late_transactions += 1;
            return TransactionOutcome::CommittedLate(self.rng.random_range(0..=self.max_late_ms));
        }
        TransactionOutcome::Responded
    }

    pub(super) fn draw_delay_ms(&mut self) -> u64 {
        self.rng.random_range(0..=self.max_delay_ms)
    }
}
