//! Steps of a cell's manager: it applies a snapshot, or decides on writes.

use super::*;

impl World {
    pub(super) fn snapshot(&self) -> LedgerSnapshot {
        let mut snapshot = LedgerSnapshot { revision: self.revision, ..LedgerSnapshot::default() };
        if let Some((revision, ledger)) = &self.ledger {
            let mut ledger = ledger.clone();
            ledger.complete |= self.disabled_guard == Some(Guard::Complete);
            let stored = StoredLedger { revision: *revision, ledger: Ok(ledger) };
            snapshot.teams.insert(TEAM.into(), stored);
        }
        let lease_ms = if self.disabled_guard == Some(Guard::Leases) { 0 } else { LEASE_MS };
        for (name, cell) in CELL_NAMES.iter().zip(&self.cells) {
            let record = CellRecord {
                cloud: name.to_string(),
                leader_lease_ms: lease_ms,
                worker_lease_ms: lease_ms,
            };
            let status = CellStatus {
                has_leader: cell.has_leader,
                term_revision: cell.term,
                record: Some(record),
            };
            snapshot.cells.insert(name.to_string(), status);
        }
        snapshot
    }

    /// Passes a snapshot of the state service to a cell's manager.
    pub(super) fn read_snapshot(&self, i: usize) -> Option<World> {
        if self.budget.snapshots == 0 {
            return None;
        }
        let mut next = self.after_action(format!("{} reads a snapshot", CELL_NAMES[i]));
        next.budget.snapshots -= 1;
        let (now, snapshot) = (next.now, next.snapshot());
        next.cells[i].manager.as_mut()?.observe(now, snapshot);
        next.apply_launch_limit(i);
        Some(next)
    }

    pub(super) fn apply_launch_limit(&mut self, i: usize) {
        let cell = &mut self.cells[i];
        // States that differ only in pending notices are equivalent.
        cell.manager.as_mut().map(AllotmentManager::take_notices);
        let manager = cell.manager.as_ref();
        let limit = manager.and_then(|manager| manager.launch_limit(TEAM)?.millicpus);
        cell.launch_limit = limit.unwrap_or(0);
    }

    /// Lets a cell's manager decide on its next writes and sends them.
    pub(super) fn step(&self, i: usize) -> Option<World> {
        if self.budget.steps == 0 {
            return None;
        }
        let mut next = self.after_action(format!("{} steps", CELL_NAMES[i]));
        next.budget.steps -= 1;
        next.now += STEP_MS;
        let now = next.now;
        let disabled = next.disabled_guard;
        let cell = &mut next.cells[i];
        let is_reconciled = cell.known_running == cell.running;
        let used =
            if disabled == Some(Guard::KeepUsed) { 0 } else { cell.known_running * TASK_MILLICPUS };
        let usage = LocalUsage {
            is_reconciled: is_reconciled || disabled == Some(Guard::Reconciled),
            used: millicpus(used),
            waiting: millicpus(cell.waiting * TASK_MILLICPUS),
            next_start: millicpus(TASK_MILLICPUS),
            started: MilliResources::ZERO,
        };
        let usages = BTreeMap::from([(TEAM.to_string(), usage)]);
        let writes = cell.manager.as_mut()?.step(now, &usages);
        let term = cell.term;
        let sent =
            writes.into_iter().map(|write| PendingWrite { write, term, is_response_lost: false });
        cell.writes.extend(sent);
        let launch_limit = next.cells[i].launch_limit;
        next.apply_launch_limit(i);
        if disabled == Some(Guard::LoweredBeforeSend) {
            next.cells[i].launch_limit = launch_limit;
        }
        Some(next)
    }
}
