//! Applies snapshots of the state service.

use super::AllotmentManager;
use crate::notices::Notice;
use crate::snapshot::{LedgerSnapshot, StoredLedger};
use crate::team_state::{LedgerState, TeamState};
use crate::Millis;

impl AllotmentManager {
    /// Applies a snapshot. Snapshots from before this term are ignored, because an earlier leader
    /// of the cell may have written later; so are those older than the last one.
    pub fn observe(&mut self, now: Millis, snapshot: LedgerSnapshot) {
        if snapshot.revision < self.revision.max(self.term) {
            return;
        }
        self.leaderless.observe(now, &snapshot.cells);
        for (name, team) in &mut self.teams {
            let read = ledger_state(snapshot.revision, snapshot.teams.get(name));
            if read.revision() >= team.ledger_state.revision() {
                team.ledger_state = read;
            }
            // Once the ledger's revision has changed, a write that expects the earlier one can't be
            // executed any more.
            let revision = team.ledger_state.revision();
            if team.unconfirmed.is_some_and(|cap| cap.expected_revision != revision) {
                team.unconfirmed = None;
            }
        }
        self.revision = snapshot.revision;
        self.cells = snapshot.cells;
        self.update_launch_limits(now);
        self.note_problems();
    }

    /// Adds a notice for each new problem of a ledger; one that persists is not repeated.
    fn note_problems(&mut self) {
        for (name, team) in &mut self.teams {
            let notice = problem_notice(name, team);
            if notice.is_some() && notice != team.last_problem_notice {
                self.notices.extend(notice.clone());
            }
            team.last_problem_notice = notice;
        }
    }
}

fn ledger_state(snapshot_revision: u64, stored: Option<&StoredLedger>) -> LedgerState {
    let Some(stored) = stored else { return LedgerState::Missing(snapshot_revision) };
    match &stored.ledger {
        Ok(ledger) => LedgerState::Present(stored.revision, ledger.clone()),
        Err(error) => LedgerState::Unusable(stored.revision, error.clone()),
    }
}

fn problem_notice(name: &str, team: &TeamState) -> Option<Notice> {
    let team_name = || name.to_string();
    let problem = team.problem().map(|problem| Notice::Problem { team: team_name(), problem });
    problem.or_else(|| team.settings_differ().then(|| Notice::SettingsDiffer { team: team_name() }))
}
