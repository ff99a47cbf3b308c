//! Handles the outcomes of ledger writes.

use super::AllotmentManager;
use crate::constants::{MIN_WRITE_INTERVAL_MS, WRITE_RETRY_DELAY_MS};
use crate::notices::Notice;
use crate::resources::MilliResources;
use crate::snapshot::{LedgerWrite, WriteOutcome};
use crate::team_state::{AllotmentCap, LedgerState};
use crate::Millis;

impl AllotmentManager {
    /// Applies the outcome of a write returned by [`AllotmentManager::step`].
    pub fn handle_write_outcome(
        &mut self,
        now: Millis,
        write: &LedgerWrite,
        outcome: WriteOutcome,
    ) {
        let Some(team) = self.teams.get_mut(&write.team) else { return };
        let sent = team.in_flight.take();
        match outcome {
            WriteOutcome::Stored(revision) => {
                team.no_write_before = now.saturating_add(MIN_WRITE_INTERVAL_MS);
                // A snapshot may already have contained a later ledger.
                if revision > team.ledger_state.revision() {
                    let before = match &team.ledger_state {
                        LedgerState::Present(_, ledger) => ledger.allotted_to(&self.cell),
                        _ => MilliResources::ZERO,
                    };
                    team.ledger_state = LedgerState::Present(revision, write.ledger.clone());
                    team.unconfirmed = None;
                    self.note_stored(write, before);
                }
            }
            WriteOutcome::NotStored => {
                team.no_write_before = now.saturating_add(WRITE_RETRY_DELAY_MS);
            }
            WriteOutcome::Unknown => {
                team.no_write_before = now.saturating_add(WRITE_RETRY_DELAY_MS);
                if let Some(sent) = sent {
                    let max =
                        AllotmentCap::apply(&team.unconfirmed, sent.expected_revision, sent.max);
                    team.unconfirmed = Some(AllotmentCap { max, ..sent });
                }
            }
        }
        self.update_launch_limits(now);
    }

    fn note_stored(&mut self, write: &LedgerWrite, before: MilliResources) {
        let (team, allotted) = (write.team.clone(), write.ledger.allotted_to(&self.cell));
        if before != allotted {
            let notice = Notice::Allotted { team: team.clone(), from: before, to: allotted };
            self.notices.push(notice);
        }
        if !write.dead.is_empty() {
            let cells = write.dead.iter().map(|dead| dead.cell.clone()).collect();
            self.notices.push(Notice::Reclaimed { team, cells });
        }
    }
}
