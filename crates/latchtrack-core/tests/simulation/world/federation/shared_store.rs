//! The shared state service: snapshots of the ledgers, and ledger writes that may be slow, late, or
//! lose their response.

use latchtrack_core::scheduler::Event;
use latchtrack_quota::{
    CellRecord, CellStatus, DeadCell, LedgerSnapshot, LedgerWrite, StoredLedger, TeamLedger,
    WriteOutcome,
};
use rand::Rng;

use super::super::messages::Response;
use super::super::{LEADER_LEASE_MS, WORKER_LEASE_MS};
use super::{
    cell_name, Federation, IgnoredCondition, SharedMessage, SharedWrite, WRITE_TIMEOUT_MS,
};

impl Federation {
    /// The stored ledgers, and the status of every cell that has had a leader.
    pub(super) fn snapshot(&self) -> LedgerSnapshot {
        let mut snapshot = LedgerSnapshot { revision: self.revision, ..LedgerSnapshot::default() };
        for (team, (revision, text)) in &self.teams {
            let seen = StoredLedger { revision: *revision, ledger: TeamLedger::parse(text) };
            snapshot.teams.insert(team.clone(), seen);
        }
        for (i, world) in self.cells.iter().enumerate().filter(|(_, w)| w.last_token > 0) {
            let lease = |ms: u64| if self.ignored == IgnoredCondition::Leases { 0 } else { ms };
            let record = CellRecord {
                cloud: cell_name(i),
                leader_lease_ms: lease(LEADER_LEASE_MS),
                worker_lease_ms: lease(WORKER_LEASE_MS),
            };
            let status = CellStatus {
                has_leader: world.leader.is_some(),
                term_revision: world.last_token,
                record: Some(record),
            };
            snapshot.cells.insert(cell_name(i), status);
        }
        snapshot
    }

    /// Sends a ledger write, which may be slow, late, or lose its response.
    pub(super) fn send(&mut self, cell: usize, shared: SharedWrite) {
        let origin = shared.origin;
        let outcome = |outcome| {
            let event =
                Box::new(Event::LedgerWriteFinished { write: shared.write.clone(), outcome });
            SharedMessage::Event { cell, origin, event }
        };
        let has_faults = self.size.fault_probability > 0.0 && self.now < self.size.fault_period_ms;
        let is_reached = self.cells[cell].reaches_store(origin.node);
        if !is_reached && self.rng.random_bool(0.5) {
            let refused = outcome(WriteOutcome::NotStored);
            self.post(20, refused);
            return;
        }
        let is_late = !is_reached || has_faults && self.rng.random_bool(0.1);
        let is_lost = has_faults && self.rng.random_bool(0.1);
        if is_late || is_lost {
            let unknown = outcome(WriteOutcome::Unknown);
            self.post(WRITE_TIMEOUT_MS, unknown);
            self.record_occurrence(if is_late { "late write" } else { "response lost" });
        }
        let delay = self.rng.random_range(if is_late { 2_000..20_000 } else { 1..60 });
        let response = Response::lost_if(is_late || is_lost);
        self.post(delay, SharedMessage::Write { cell, shared, response });
    }

    /// Commits a cell's ledger write if its conditions hold, and responds to it.
    pub(super) fn execute_write(&mut self, cell: usize, shared: SharedWrite, response: Response) {
        let SharedWrite { origin, write } = shared;
        let is_down = self.cells[cell].now < self.cells[cell].faults.store_down_until;
        let outcome = if !is_down && self.may_store(cell, origin.token, &write) {
            self.record_change(cell, &write);
            WriteOutcome::Stored(self.store_ledger(&write.team, &write.ledger))
        } else {
            WriteOutcome::NotStored
        };
        if outcome == WriteOutcome::NotStored {
            // The sender reads the ledgers again in its next step.
            self.next_read[cell] = self.now;
        }
        if response == Response::Arrives {
            let event = Box::new(Event::LedgerWriteFinished { write, outcome });
            self.post(5, SharedMessage::Event { cell, origin, event });
        }
    }

    /// Stores a team's ledger and returns its new revision.
    pub(super) fn store_ledger(&mut self, team: &str, ledger: &TeamLedger) -> u64 {
        self.revision += 1;
        self.writes += 1;
        let text = serde_json::to_string(ledger).expect("a ledger is plain JSON");
        self.teams.insert(team.into(), (self.revision, text));
        self.revision
    }

    /// Counts reclaims, and whether a write raises or returns the allotment of its cell.
    fn record_change(&mut self, cell: usize, write: &LedgerWrite) {
        if !write.dead.is_empty() {
            self.record_occurrence("reclaimed");
        }
        let before = self.ledger().map_or(0, |l| l.allotted_to(&cell_name(cell)).millicpus);
        let after = write.ledger.allotted_to(&cell_name(cell)).millicpus;
        if before != after {
            self.record_occurrence(if after > before {
                "allotment raised"
            } else {
                "allotment returned"
            });
        }
    }

    /// Whether each condition of a write holds or is ignored.
    fn may_store(&mut self, cell: usize, token: u64, write: &LedgerWrite) -> bool {
        let revision = self.teams.get(&write.team).map_or(0, |(revision, _)| *revision);
        if revision != write.expected_revision {
            self.record_occurrence("stale write refused");
            if self.ignored != IgnoredCondition::Revision {
                return false;
            }
        }
        if self.cells[cell].leader.map(|leader| leader.token) != Some(token) {
            self.record_occurrence("deposed writer refused");
            if self.ignored != IgnoredCondition::Fence {
                return false;
            }
        }
        let is_dead = |dead: &DeadCell| {
            let found = (0..self.cells.len()).find(|i| cell_name(*i) == dead.cell);
            let world = found.map(|i| &self.cells[i]);
            world.is_some_and(|w| w.leader.is_none() && w.last_token == dead.term_revision)
        };
        let are_dead = write.dead.iter().all(is_dead);
        if !are_dead {
            self.record_occurrence("reclaim refused");
        }
        are_dead || self.ignored == IgnoredCondition::DeadCells
    }
}
