//! Messages to the actor that reads and writes the quota ledgers shared by the cells.

use actix::prelude::*;
use latchtrack_quota::LedgerWrite;

/// Sets the fencing token of this node's term, or `None` if it does not lead.
#[derive(Message)]
#[rtype(result = "()")]
pub struct QuotaTerm(pub Option<u64>);

/// Writes a ledger on behalf of the leader of this term.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ChangeLedger {
    /// Fencing token of the term.
    pub token: u64,
    /// The new ledger and the revision that it replaces.
    pub write: LedgerWrite,
}
