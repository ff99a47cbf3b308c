//! Messages to the actor that reads and writes the ledgers which cells share.

use actix::prelude::*;
use latchtrack_quota::LedgerWrite;

/// The fencing token of the term that this node leads in, if it does.
#[derive(Message)]
#[rtype(result = "()")]
pub struct QuotaTerm(pub Option<u64>);

/// Write a change of a ledger that the leader of this term wants.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ChangeLedger {
    /// Fencing token of the term.
    pub token: u64,
    /// The change.
    pub write: LedgerWrite,
}
