//! Cells and their records as read from the state service.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// Record of a cell, stored by its leaders. The revision of its key is the fencing token of the
/// last leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CellRecord {
    /// Cloud of the cell. A different cloud under the same cell name means that two cells were
    /// configured with the same name by mistake.
    pub cloud: String,
    /// Duration of the leader's lease in ms.
    pub leader_lease_ms: Millis,
    /// Duration of the workers' leases in ms.
    pub worker_lease_ms: Millis,
}

/// Status of a cell in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CellStatus {
    /// Whether the cell's leader lease is held.
    pub has_leader: bool,
    /// Revision of the record, which is the fencing token of the last leader.
    pub term_revision: u64,
    /// The record, or `None` if it can't be parsed.
    pub record: Option<CellRecord>,
}

/// A dead cell that a ledger write depends on: the write must be executed only if the cell still
/// has no leader and is in the same term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DeadCell {
    /// Name of the cell.
    pub cell: String,
    /// Revision of its record at which it was found dead.
    pub term_revision: u64,
}
