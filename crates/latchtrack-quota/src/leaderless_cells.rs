//! Which cells have no leader, since when, and which of them are surely dead.

use std::collections::BTreeMap;

use crate::cells::{CellStatus, DeadCell};
use crate::constants::{CLOCK_DRIFT_RATIO, RECLAIM_MARGIN_MS};
use crate::Millis;

/// A cell that had no leader in the last snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Leaderless {
    term_revision: u64,
    /// First snapshot without a leader in this term, on our own clock.
    since: Millis,
}

/// The cells without a leader. Durations are measured by our own steady clock alone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct LeaderlessCells {
    cells: BTreeMap<String, Leaderless>,
}

impl LeaderlessCells {
    /// Takes in a snapshot. A cell that had a leader in between has another term, and its time
    /// begins anew.
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

    /// The cell, if all that it ran has surely ended: the leases of its last leader and of its
    /// workers have expired since it was first seen without a leader. None if its record can't be
    /// read.
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
