//! A cell reads the state service and lets its manager decide.

use super::*;

impl World {
    pub(super) fn snapshot(&self) -> LedgerSnapshot {
        let mut snapshot = LedgerSnapshot { revision: self.revision, ..LedgerSnapshot::default() };
        if let Some((revision, ledger)) = &self.value {
            let mut ledger = ledger.clone();
            ledger.complete |= self.removed == Some(Guard::Complete);
            let seen = StoredLedger { revision: *revision, ledger: Ok(ledger) };
            snapshot.teams.insert(TEAM.into(), seen);
        }
        let lease_ms = if self.removed == Some(Guard::Leases) { 0 } else { LEASE_MS };
        for (name, cell) in NAMES.iter().zip(&self.cells) {
            let record = CellRecord {
                cloud: name.to_string(),
                leader_lease_ms: lease_ms,
                worker_lease_ms: lease_ms,
            };
            let presence = CellStatus {
                has_leader: cell.has_leader,
                term_revision: cell.term,
                record: Some(record),
            };
            snapshot.cells.insert(name.to_string(), presence);
        }
        snapshot
    }

    /// A cell looks at the state service.
    pub(super) fn look(&self, i: usize) -> Option<World> {
        if self.budget.looks == 0 {
            return None;
        }
        let mut next = self.after(format!("{} looks", NAMES[i]));
        next.budget.looks -= 1;
        let (now, snapshot) = (next.now, next.snapshot());
        next.cells[i].manager.as_mut()?.observe(now, snapshot);
        next.take_launch_limit(i);
        Some(next)
    }

    pub(super) fn take_launch_limit(&mut self, i: usize) {
        let cell = &mut self.cells[i];
        // What is logged tells no two states apart.
        cell.manager.as_mut().map(AllotmentManager::take_notices);
        let manager = cell.manager.as_ref();
        let limit = manager.and_then(|manager| manager.launch_limit(TEAM)?.millicpus);
        cell.launch = limit.unwrap_or(0);
    }

    /// A cell decides what to write.
    pub(super) fn step(&self, i: usize) -> Option<World> {
        if self.budget.steps == 0 {
            return None;
        }
        let mut next = self.after(format!("{} steps", NAMES[i]));
        next.budget.steps -= 1;
        next.now += STEP_MS;
        let now = next.now;
        let removed = next.removed;
        let cell = &mut next.cells[i];
        let is_known = cell.counted == cell.running;
        let used = if removed == Some(Guard::Used) { 0 } else { cell.counted * TASK };
        let usage = LocalUsage {
            is_reconciled: is_known || removed == Some(Guard::Settled),
            used: amounts(used),
            waiting: amounts(cell.waiting * TASK),
            next_start: amounts(TASK),
            started: MilliResources::NONE,
        };
        let uses = BTreeMap::from([(TEAM.to_string(), usage)]);
        let writes = cell.manager.as_mut()?.step(now, &uses);
        let term = cell.term;
        let sent = writes.into_iter().map(|write| Write { write, term, is_given_up: false });
        cell.writes.extend(sent);
        let launch = next.cells[i].launch;
        next.take_launch_limit(i);
        if removed == Some(Guard::LoweredFirst) {
            next.cells[i].launch = launch;
        }
        Some(next)
    }
}
