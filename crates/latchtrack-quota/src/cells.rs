//! Cells as the state service shows them.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// What a cell's leaders store of it, under a key whose revision is the fencing token of the last
/// of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CellRecord {
    /// Its cloud. Another cloud under the same name means that two cells were given one name by
    /// mistake.
    pub cloud: String,
    /// Duration of the leader's lease, ms.
    pub leader_lease_ms: Millis,
    /// Duration of the workers' lease, ms.
    pub worker_lease_ms: Millis,
}

/// A cell at the time of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CellStatus {
    /// Whether a leader holds its lease.
    pub has_leader: bool,
    /// Revision of its record: the fencing token of its last leader.
    pub term_revision: u64,
    /// Its record; None if it can't be read.
    pub record: Option<CellRecord>,
}

/// A cell whose allotment is reclaimed. A write that does so holds only if the cell is still
/// without a leader and in the same term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DeadCell {
    /// Its name.
    pub cell: String,
    /// Revision of its record.
    pub term_revision: u64,
}
