//! Writes in flight to the state service: they are stored or rejected, or lose their response.

use super::*;

impl World {
    /// Executes a write at the state service, which stores it only if its conditions hold.
    pub(super) fn execute_write(&self, i: usize, n: usize) -> World {
        let mut next = self.after_action(format!("a write of {} is executed", CELL_NAMES[i]));
        let write = next.cells[i].writes.remove(n);
        let is_stored = next.may_store(i, &write);
        if is_stored {
            next.revision += 1;
            next.ledger = Some((next.revision, write.write.ledger.clone()));
        }
        let outcome =
            if is_stored { WriteOutcome::Stored(next.revision) } else { WriteOutcome::NotStored };
        if !write.is_response_lost {
            next.deliver_outcome(i, &write, outcome);
        }
        next
    }

    pub(super) fn may_store(&self, i: usize, write: &PendingWrite) -> bool {
        let disabled = |guard: Guard| self.disabled_guard == Some(guard);
        let revision = self.ledger.as_ref().map_or(0, |(revision, _)| *revision);
        let is_fenced = self.cells[i].has_leader && self.cells[i].term == write.term;
        let are_dead = write.write.dead.iter().all(|dead| {
            let cell = &self.cells[CELL_NAMES.iter().position(|name| *name == dead.cell).unwrap()];
            !cell.has_leader && cell.term == dead.term_revision
        });
        (revision == write.write.expected_revision || disabled(Guard::Revision))
            && (is_fenced || disabled(Guard::Fence))
            && (are_dead || disabled(Guard::StillDead))
    }

    pub(super) fn deliver_outcome(
        &mut self,
        i: usize,
        write: &PendingWrite,
        outcome: WriteOutcome,
    ) {
        let now = self.now;
        if self.cells[i].term != write.term {
            return;
        }
        if let Some(manager) = self.cells[i].manager.as_mut() {
            manager.handle_write_outcome(now, &write.write, outcome);
            self.apply_launch_limit(i);
        }
    }

    /// Loses the response of a write, which may still be executed later.
    pub(super) fn lose_response(&self, i: usize, n: usize) -> Option<World> {
        if self.budget.lost_responses == 0 || self.cells[i].writes[n].is_response_lost {
            return None;
        }
        let mut next =
            self.after_action(format!("a write of {} loses its response", CELL_NAMES[i]));
        next.budget.lost_responses -= 1;
        next.cells[i].writes[n].is_response_lost = true;
        let write = next.cells[i].writes[n].clone();
        let outcome = match next.disabled_guard {
            Some(Guard::UnknownOutcome) => WriteOutcome::NotStored,
            _ => WriteOutcome::Unknown,
        };
        next.deliver_outcome(i, &write, outcome);
        Some(next)
    }
}
