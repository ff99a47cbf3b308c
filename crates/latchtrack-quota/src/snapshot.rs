//! Snapshots read from the state service, writes to it, and their outcomes.

use std::collections::BTreeMap;

use crate::cells::{CellStatus, DeadCell};
use crate::ledger::{LedgerError, TeamLedger};

/// A team's ledger as read from the state service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredLedger {
    /// Revision of its last change.
    pub revision: u64,
    /// The ledger, or the error of parsing it.
    pub ledger: Result<TeamLedger, LedgerError>,
}

/// The ledgers and cells at one revision of the state service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LedgerSnapshot {
    /// Revision of the state service when it was read.
    pub revision: u64,
    /// Ledgers by team name.
    pub teams: BTreeMap<String, StoredLedger>,
    /// All cells that have ever had a leader, by name.
    pub cells: BTreeMap<String, CellStatus>,
}

/// A conditional write of a team's ledger. It must be executed only if the ledger still has the
/// expected revision, the writer still leads its cell, and the dead cells are still dead.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LedgerWrite {
    /// Name of the team.
    pub team: String,
    /// Revision that the ledger must have, or 0 if there must be no ledger.
    pub expected_revision: u64,
    /// The new ledger.
    pub ledger: TeamLedger,
    /// Dead cells whose allotments the new ledger drops, or without whose usage it is complete.
    pub dead: Vec<DeadCell>,
}

/// Outcome of a ledger write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// The write was stored at this revision.
    Stored(u64),
    /// The write was not stored and never will be: a condition did not hold, or it was not sent.
    NotStored,
    /// The write may have been stored, or may still be stored later.
    Unknown,
}
