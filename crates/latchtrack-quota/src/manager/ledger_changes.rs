//! Decides the next change of a team's ledger: create it, rebuild it, reclaim allotments of dead
//! cells, or adjust this cell's allotment and request.

use super::AllotmentManager;
use crate::apportionment::Apportionment;
use crate::cells::DeadCell;
use crate::decision::{own_claim, DecisionContext};
use crate::ledger::{Allotment, TeamLedger};
use crate::resources::MilliResources;
use crate::snapshot::LedgerWrite;
use crate::team_state::{AllotmentCap, LedgerState, TeamState};
use crate::Millis;

/// A new ledger, and the cells that must still be dead when it is written.
type LedgerChange = (TeamLedger, Vec<DeadCell>);

impl AllotmentManager {
    /// Returns the next write of a team's ledger, if one is due. `apportionment` is that of the
    /// known ledger, if already computed.
    pub(super) fn step_team(
        &mut self,
        now: Millis,
        name: &str,
        apportionment: Option<Apportionment>,
    ) -> Option<LedgerWrite> {
        let team = self.teams.get(name)?;
        if team.in_flight.is_some() || now < team.no_write_before {
            return None;
        }
        let (expected_revision, (ledger, dead)) = match &team.ledger_state {
            LedgerState::NotRead | LedgerState::Unusable(..) => return None,
            LedgerState::Missing(_) => (0, (self.create(team)?, Vec::new())),
            LedgerState::Present(revision, ledger) => {
                let revision = *revision;
                let change = match (self.reclaim(now, ledger), ledger.complete) {
                    (Some(reclaimed), _) => reclaimed,
                    (None, false) => self.advance_rebuild(now, ledger, team)?,
                    (None, true) => (self.adjust(now, name, apportionment)?, Vec::new()),
                };
                (revision, change)
            }
        };
        let team = self.teams.get_mut(name)?;
        // The launch limit is lowered before the write is sent, and stays so until it is known to
        // have failed.
        let max = ledger.allotted_to(&self.cell);
        team.in_flight = Some(AllotmentCap { expected_revision, max });
        team.launch_limit = team.launch_limit.min_each(max);
        Some(LedgerWrite { team: name.to_string(), expected_revision, ledger, dead })
    }

    /// Creates a ledger in which this cell's usage is its allotment.
    fn create(&self, team: &TeamState) -> Option<TeamLedger> {
        if !team.settings.limit.is_set() {
            return None;
        }
        let mut ledger = TeamLedger::new(team.settings.limit, team.settings.guarantee);
        self.record_own_usage(&mut ledger, team)?;
        Some(ledger)
    }

    /// Records this cell's usage as its allotment in a ledger where it has none. Returns `None`
    /// without a change while the usage is not reconciled.
    fn record_own_usage(&self, ledger: &mut TeamLedger, team: &TeamState) -> Option<()> {
        if !team.usage.is_reconciled {
            return None;
        }
        let amount = ledger.limit.counted(team.usage.used);
        let allotment = Allotment { amount, term: self.term, ..Allotment::default() };
        ledger.allotments.insert(self.cell.clone(), allotment);
        Some(())
    }

    /// Drops the allotments of dead cells. Dead cells without an allotment are not listed.
    fn reclaim(&self, now: Millis, ledger: &TeamLedger) -> Option<LedgerChange> {
        let others = ledger.allotments.keys().filter(|cell| **cell != self.cell);
        let dead: Vec<DeadCell> = others
            .filter_map(|cell| self.leaderless.confirmed_dead(now, cell, &self.cells))
            .collect();
        if dead.is_empty() {
            return None;
        }
        let mut ledger = ledger.clone();
        ledger.allotments.retain(|name, _| !dead.iter().any(|cell| cell.cell == *name));
        Some((ledger, dead))
    }

    /// Takes the next step of rebuilding a ledger: records this cell's usage, or marks the ledger
    /// as complete if every cell that is not dead has recorded its usage.
    fn advance_rebuild(
        &self,
        now: Millis,
        ledger: &TeamLedger,
        team: &TeamState,
    ) -> Option<LedgerChange> {
        let mut ledger = ledger.clone();
        if !ledger.allotments.contains_key(&self.cell) {
            self.record_own_usage(&mut ledger, team)?;
            return Some((ledger, Vec::new()));
        }
        let mut dead = Vec::new();
        for cell in self.cells.keys().filter(|cell| !ledger.allotments.contains_key(*cell)) {
            dead.push(self.leaderless.confirmed_dead(now, cell, &self.cells)?);
        }
        ledger.complete = true;
        Some((ledger, dead))
    }

    /// Adjusts this cell's allotment and request in a complete ledger, and removes stale requests
    /// of other cells. Returns `None` if nothing changes.
    fn adjust(
        &mut self,
        now: Millis,
        name: &str,
        apportionment: Option<Apportionment>,
    ) -> Option<TeamLedger> {
        let team = self.teams.get_mut(name)?;
        let LedgerState::Present(_, ledger) = &team.ledger_state else { return None };
        let ledger = ledger.clone();
        let apportionment = apportionment.unwrap_or_else(|| {
            Apportionment::of(&ledger, &self.cell, own_claim(now, &ledger, &self.cell, team))
        });
        let stale = team.stale_requests.observe(now, &apportionment);
        if !team.usage.is_reconciled {
            return None;
        }
        let held = ledger.limit.counted(ledger.allotted_to(&self.cell));
        let context = DecisionContext {
            now,
            ledger: &ledger,
            apportionment: &apportionment,
            used: ledger.limit.counted(team.usage.used),
            want: team.want(&ledger.limit),
        };
        let amount = context.next_allotment(team, held);
        let mut next = ledger.clone();
        next.remove_requests(&stale);
        let current = ledger.request_of(&self.cell);
        let request = context.next_request(team, current, amount, &mut next.next_request_number);
        let has_allotment = ledger.allotments.contains_key(&self.cell);
        if has_allotment || amount != MilliResources::ZERO || request.is_some() {
            next.set_allotment(&self.cell, self.term, amount, request);
        }
        if next == ledger {
            return None;
        }
        team.last_adjusted = Some(now);
        Some(next)
    }
}
