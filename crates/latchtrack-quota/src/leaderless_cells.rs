//! Tracks which cells have no leader and since when, and determines which of them are dead.

use std::collections::BTreeMap;

use crate::cells::{CellStatus, DeadCell};
use crate::constants::{CLOCK_DRIFT_RATIO, RECLAIM_MARGIN_MS};
use crate::Millis;

/// A cell without a leader in the last snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Leaderless {
    term_revision: u64,
    /// Time of the first snapshot of this term without a leader, on the local clock.
    since: Millis,
}

/// The cells without a leader. Durations are measured only by the local monotonic clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct LeaderlessCells {
    cells: BTreeMap<String, Leaderless>,
}

impl LeaderlessCells {
    /// Applies a snapshot. If a cell had a leader between two snapshots, its term has changed and
    /// its time without a leader starts over.
    pub(crate) fn observe(&mut self, now: Millis, statuses: &BTreeMap<String, CellStatus>) {
        let mut cells = BTreeMap::new();
        for (name, status) in statuses.iter().filter(|(_, status)| !status.has_leader) {
            let term_revision = status.term_revision;
            let known = self.cells.get(name).filter(|cell| cell.term_revision == term_revision);
            let since = known.map_or(now, |cell| cell.since);
            cells.insert(name.clone(), Leaderless { term_revision, since });
        }
        self.cells = cells;
    }

    /// Returns the cell if none of its tasks can still be running: since it was first seen without
    /// a leader, the leases of its last leader and of its workers have expired. Returns `None` if
    /// its record can't be read.
    pub(crate) fn confirmed_dead(
        &self,
        now: Millis,
        name: &str,
        statuses: &BTreeMap<String, CellStatus>,
    ) -> Option<DeadCell> {
        let cell = self.cells.get(name)?;
        let record = statuses.get(name)?.record.as_ref()?;
        let leases_ms = record.leader_lease_ms.saturating_add(record.worker_lease_ms);
        let drift_ms = (leases_ms as f64 * CLOCK_DRIFT_RATIO).ceil() as Millis;
        let wait_ms = leases_ms.saturating_add(drift_ms).saturating_add(RECLAIM_MARGIN_MS);
        (now >= cell.since.saturating_add(wait_ms))
            .then(|| DeadCell { cell: name.to_string(), term_revision: cell.term_revision })
    }
}
