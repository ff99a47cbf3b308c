//! Random faults of the state service: delayed or lost responses and late commits.

use rand::rngs::StdRng;
use rand::Rng;

/// Random faults of transactions. The delay also applies to lists and watches.
pub struct TransactionFaults {
    /// The source of all random draws.
    pub rng: StdRng,
    /// Maximum delay of a response, ms. It is computed before the delay, so it may be stale.
    pub max_delay_ms: u64,
    /// Probability that a transaction commits immediately but its response is lost.
    pub response_loss: f64,
    /// Probability that a transaction gets no response and commits later, possibly after newer
    /// transactions.
    pub late_commit: f64,
    /// Maximum delay of a late commit, ms.
    pub max_late_ms: u64,
    /// Faults injected so far.
    pub counts: FaultCounts,
}

/// Counts of injected faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultCounts {
    /// Transactions that committed but whose response was lost.
    pub lost_responses: u32,
    /// Transactions executed late and without a response.
    pub late_transactions: u32,
}

/// The fault drawn for a transaction, if any.
pub(super) enum TransactionOutcome {
    Responded,
    ResponseLost,
    /// Executed after this many ms, without a response.
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
