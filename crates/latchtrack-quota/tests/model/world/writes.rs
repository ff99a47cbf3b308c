//! Writes on their way to the state service: carried out, refused, or without an answer.

use super::*;

impl World {
    /// A write arrives at the state service.
    pub(super) fn carry_out(&self, i: usize, n: usize) -> World {
        let mut next = self.after(format!("a write of {} is carried out", NAMES[i]));
        let write = next.cells[i].writes.remove(n);
        let is_stored = next.may_store(i, &write);
        if is_stored {
            next.revision += 1;
            next.ledger = Some((next.revision, write.write.ledger.clone()));
        }
        let outcome =
            if is_stored { WriteOutcome::Stored(next.revision) } else { WriteOutcome::NotStored };
        if !write.is_unanswered {
            next.answer(i, &write, outcome);
        }
        next
    }

    pub(super) fn may_store(&self, i: usize, write: &Write) -> bool {
        let removed = |guard: Guard| self.removed == Some(guard);
        let revision = self.ledger.as_ref().map_or(0, |(revision, _)| *revision);
        let is_fenced = self.cells[i].has_leader && self.cells[i].term == write.term;
        let are_dead = write.write.dead.iter().all(|dead| {
            let cell = &self.cells[NAMES.iter().position(|name| *name == dead.cell).unwrap()];
            !cell.has_leader && cell.term == dead.term_revision
        });
        (revision == write.write.expected_revision || removed(Guard::Revision))
            && (is_fenced || removed(Guard::Fence))
            && (are_dead || removed(Guard::StillDead))
    }

    pub(super) fn answer(&mut self, i: usize, write: &Write, outcome: WriteOutcome) {
        let now = self.now;
        if self.cells[i].term != write.term {
            return;
        }
        if let Some(manager) = self.cells[i].manager.as_mut() {
            manager.handle_write_outcome(now, &write.write, outcome);
            self.apply_launch_limit(i);
        }
    }

    /// A write gets no answer; it may be carried out later.
    pub(super) fn lose_answer(&self, i: usize, n: usize) -> Option<World> {
        if self.budget.unanswered == 0 || self.cells[i].writes[n].is_unanswered {
            return None;
        }
        let mut next = self.after(format!("a write of {} gets no answer", NAMES[i]));
        next.budget.unanswered -= 1;
        next.cells[i].writes[n].is_unanswered = true;
        let write = next.cells[i].writes[n].clone();
        let outcome = match next.removed {
            Some(Guard::UnknownOutcome) => WriteOutcome::NotStored,
            _ => WriteOutcome::Unknown,
        };
        next.answer(i, &write, outcome);
        Some(next)
    }
}
