//! Which cells are led, and which are surely dead.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::constants::{DRIFT, RECLAIM_MARGIN_MS};
use crate::snapshot::{CellStatus, DeadCell};
use crate::Millis;

/// What a cell's leaders store of it, under a key whose revision is the token of the last of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CellRecord {
    /// Its cloud: another one under the same name is another cell by mistake.
    pub cloud: String,
    /// ms the leader's lease lasts.
    pub leader_lease_ms: Millis,
    /// ms the workers' lease lasts.
    pub worker_lease_ms: Millis,
}

/// A cell that nobody led when it was last looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Leaderless {
    term_revision: u64,
    since: Millis,
}

/// Cells that nobody leads, each with the time on our own clock since when that is so.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct LeaderlessCells {
    cells: BTreeMap<String, Leaderless>,
}

impl LeaderlessCells {
    /// Takes in a look. A cell that was led in between has another term, and is counted anew.
    pub fn observe(&mut self, now: Millis, seen: &BTreeMap<String, CellStatus>) {
        let mut cells = BTreeMap::new();
        for (name, presence) in seen.iter().filter(|(_, presence)| !presence.has_leader) {
            let term_revision = presence.term_revision;
            let known = self.cells.get(name).filter(|cell| cell.term_revision == term_revision);
            let since = known.map_or(now, |cell| cell.since);
            cells.insert(name.clone(), Leaderless { term_revision, since });
        }
        self.cells = cells;
    }

    /// The cell, if all that it ran has surely ended: the leases of its last leader and of its workers have
    /// run out since it was first seen without a leader. Never, if its record can't be read.
    pub fn dead(
        &self,
        now: Millis,
        name: &str,
        seen: &BTreeMap<String, CellStatus>,
    ) -> Option<DeadCell> {
        let cell = self.cells.get(name)?;
        let record = seen.get(name)?.record.as_ref()?;
        let leases = record.leader_lease_ms.saturating_add(record.worker_lease_ms);
        let drift = (leases as f64 * DRIFT).ceil() as Millis;
        let wait = leases.saturating_add(drift).saturating_add(RECLAIM_MARGIN_MS);
        (now >= cell.since.saturating_add(wait))
            .then(|| DeadCell { cell: name.to_string(), term_revision: cell.term_revision })
    }
}
