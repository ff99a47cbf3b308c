//! What is seen of the state service, and what is to be written to it.

use std::collections::BTreeMap;

use crate::cells::CellRecord;
use crate::ledger::{LedgerError, TeamLedger};

/// A team's value as it was seen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredLedger {
    /// Revision of its last change.
    pub revision: u64,
    /// The value, or why it can't be used.
    pub ledger: Result<TeamLedger, LedgerError>,
}

/// A cell as it was seen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CellStatus {
    /// Whether somebody leads it.
    pub has_leader: bool,
    /// Revision of its record: the token of its last leader.
    pub term_revision: u64,
    /// Its record; None if it can't be read.
    pub record: Option<CellRecord>,
}

/// All that one look at the state service shows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LedgerSnapshot {
    /// Revision of the state service at the look.
    pub revision: u64,
    /// The values by team.
    pub teams: BTreeMap<String, StoredLedger>,
    /// All cells that were ever led.
    pub cells: BTreeMap<String, CellStatus>,
}

/// A cell that must still be without a leader, and in the same term, when a write is carried out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DeadCell {
    /// Its name.
    pub cell: String,
    /// Revision of its record.
    pub term_revision: u64,
}

/// A change of a team's value, to be carried out only if the value still has the expected revision, the
/// writer still leads its cell, and the dead cells are still dead.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LedgerWrite {
    /// The team.
    pub team: String,
    /// Revision that the value must have; 0 if there must be none.
    pub expected_revision: u64,
    /// The new value.
    pub ledger: TeamLedger,
    /// Cells whose allotments it drops or does without.
    pub dead: Vec<DeadCell>,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// Carried out, at this revision.
    Stored(u64),
    /// Surely not carried out, and never will be: something has changed meanwhile, or it was not sent.
    NotStored,
    /// May have been carried out, or may be later.
    Unknown,
}
