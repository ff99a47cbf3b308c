//! What is read of the state service, and what is to be written to it.

use std::collections::BTreeMap;

use crate::cells::{CellStatus, DeadCell};
use crate::ledger::{LedgerError, TeamLedger};

/// A team's ledger as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredLedger {
    /// Revision of its last change.
    pub revision: u64,
    /// The ledger, or why it can't be used.
    pub ledger: Result<TeamLedger, LedgerError>,
}

/// All that one read of the state service shows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LedgerSnapshot {
    /// Revision of the state service at the read.
    pub revision: u64,
    /// The ledgers by team.
    pub teams: BTreeMap<String, StoredLedger>,
    /// All cells that ever had a leader, by name.
    pub cells: BTreeMap<String, CellStatus>,
}

/// A change of a team's ledger. It may be carried out only if the ledger still has the expected
/// revision, the writer still leads its cell, and the dead cells are still dead.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LedgerWrite {
    /// The team.
    pub team: String,
    /// Revision that the ledger must have; 0 if there must be none.
    pub expected_revision: u64,
    /// The new ledger.
    pub ledger: TeamLedger,
    /// Cells whose allotments the new ledger drops, or that it does not wait for.
    pub dead: Vec<DeadCell>,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// Carried out, at this revision.
    Stored(u64),
    /// Not carried out, and it never will be: a condition did not hold, or it was not sent.
    NotStored,
    /// May have been carried out, or may be later.
    Unknown,
}
