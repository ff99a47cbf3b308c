//! What one cell holds of the teams' limits: asks, takes, gives back and reclaims.

use std::collections::BTreeMap;

use crate::apportionment::Apportionment;
use crate::cells::LeaderlessCells;
use crate::constants::*;
use crate::decision::{own_claim, DecisionContext};
use crate::ledger::{Allotment, TeamLedger};
use crate::notices::Notice;
use crate::resources::MilliResources;
use crate::snapshot::{CellStatus, DeadCell, LedgerSnapshot, LedgerWrite, WriteOutcome};
use crate::team::{
    differs, trouble, AllotmentCap, LaunchLimit, LedgerState, LocalUsage, Team, TeamQuota,
    TeamSummary,
};
use crate::Millis;

/// Whose manager this is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AllotmentManagerSettings {
    /// The cell.
    pub cell: String,
    /// Token of the leader that it serves.
    pub term: u64,
    /// The teams with a limit.
    pub teams: BTreeMap<String, TeamQuota>,
}

/// The quota of one cell, for one term of its leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AllotmentManager {
    cell: String,
    term: u64,
    teams: BTreeMap<String, Team>,
    /// Revision of the last look.
    revision: u64,
    cells: BTreeMap<String, CellStatus>,
    leaderless: LeaderlessCells,
    /// The team that is looked at first in the next step.
    first: usize,
    notices: Vec<Notice>,
}

impl AllotmentManager {
    /// For a new leader, which launches nothing of a team until it has seen its value.
    pub fn new(settings: AllotmentManagerSettings) -> AllotmentManager {
        let team = |settings| Team { settings, ..Team::default() };
        AllotmentManager {
            cell: settings.cell,
            term: settings.term,
            teams: settings.teams.into_iter().map(|(name, terms)| (name, team(terms))).collect(),
            revision: 0,
            cells: BTreeMap::new(),
            leaderless: LeaderlessCells::default(),
            first: 0,
            notices: Vec::new(),
        }
    }

    /// Takes in a look at the state service. One from before this term is left out, since an earlier leader of
    /// the cell may have written after it, and so is one that is older than the last.
    pub fn observe(&mut self, now: Millis, snapshot: LedgerSnapshot) {
        if snapshot.revision < self.revision.max(self.term) {
            return;
        }
        self.leaderless.observe(now, &snapshot.cells);
        for (name, team) in &mut self.teams {
            let known = match snapshot.teams.get(name) {
                None => LedgerState::Missing(snapshot.revision),
                Some(seen) => match &seen.ledger {
                    Ok(ledger) => LedgerState::Present(seen.revision, ledger.clone()),
                    Err(why) => LedgerState::Unusable(seen.revision, why.clone()),
                },
            };
            if known.revision() >= team.ledger_state.revision() {
                team.ledger_state = known;
            }
            if team
                .unconfirmed
                .is_some_and(|cap| cap.expected_revision != team.ledger_state.revision())
            {
                team.unconfirmed = None;
            }
        }
        self.revision = snapshot.revision;
        self.cells = snapshot.cells;
        self.set_launch_limits(now);
        self.note_troubles();
    }

    /// What the cell may use of a team's limit now; None if the team has no limit, here and in a value.
    pub fn launch_limit(&self, team: &str) -> Option<LaunchLimit> {
        let team = self.teams.get(team)?;
        if matches!(team.ledger_state, LedgerState::NotRead | LedgerState::Unusable(..)) {
            return Some(LaunchLimit::NOTHING);
        }
        let limit = team.limit();
        limit.is_set().then(|| LaunchLimit::of(&limit, team.launch))
    }

    /// The cell's part of a team's guarantee; None if the team has no limit and so is not shared.
    pub fn guarantee(&self, team: &str) -> Option<MilliResources> {
        let team = self.teams.get(team)?;
        team.limit().is_set().then_some(team.guarantee)
    }

    /// What is to be written, by what the teams use now. Launch limits are lowered before it returns: the
    /// caller launches by the new ones from now on.
    pub fn step(&mut self, now: Millis, uses: &BTreeMap<String, LocalUsage>) -> Vec<LedgerWrite> {
        for (name, team) in &mut self.teams {
            team.usage = uses.get(name).copied().unwrap_or_default();
        }
        self.set_launch_limits(now);
        let names: Vec<String> = self.teams.keys().cloned().collect();
        let open = self.teams.values().filter(|team| team.in_flight.is_some()).count();
        let mut writes = Vec::new();
        let first = self.first % names.len().max(1);
        for i in 0..names.len() {
            if open + writes.len() >= WRITES_OPEN {
                self.first = first + i;
                break;
            }
            let name = &names[(first + i) % names.len()];
            writes.extend(self.step_team(now, name));
        }
        writes
    }

    /// Takes in how a write ended.
    pub fn handle_write_outcome(
        &mut self,
        now: Millis,
        write: &LedgerWrite,
        outcome: WriteOutcome,
    ) {
        let cell = self.cell.clone();
        let Some(team) = self.teams.get_mut(&write.team) else { return };
        let sent = team.in_flight.take();
        match outcome {
            WriteOutcome::Stored(revision) => {
                team.not_before = now.saturating_add(WRITE_GAP_MS);
                if revision > team.ledger_state.revision() {
                    let from = match &team.ledger_state {
                        LedgerState::Present(_, ledger) => ledger.allotted_to(&cell),
                        _ => MilliResources::NONE,
                    };
                    team.ledger_state = LedgerState::Present(revision, write.ledger.clone());
                    team.unconfirmed = None;
                    self.note_write(write, from);
                }
            }
            WriteOutcome::NotStored => {
                team.not_before = now.saturating_add(RETRY_MS);
            }
            WriteOutcome::Unknown => {
                team.not_before = now.saturating_add(RETRY_MS);
                if let Some(sent) = sent {
                    let max =
                        AllotmentCap::apply(&team.unconfirmed, sent.expected_revision, sent.max);
                    team.unconfirmed = Some(AllotmentCap { max, ..sent });
                }
            }
        }
        self.set_launch_limits(now);
    }

    /// What there is to tell since the last call.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// The teams for an operator.
    pub fn summary(&self) -> Vec<TeamSummary> {
        self.teams
            .iter()
            .map(|(name, team)| {
                let (cells, guarantee) = match &team.ledger_state {
                    LedgerState::Present(_, ledger) => {
                        (ledger.allotments.clone(), ledger.guarantee)
                    }
                    _ => (BTreeMap::new(), team.settings.guarantee),
                };
                TeamSummary {
                    team: name.clone(),
                    trouble: trouble(name, team).map(|notice| notice.to_string()),
                    differs: differs(team),
                    limit: team.limit(),
                    guarantee,
                    used: team.usage.used,
                    launch_limit: team.launch,
                    cells,
                }
            })
            .collect()
    }

    fn set_launch_limits(&mut self, now: Millis) {
        let cell = &self.cell;
        for team in self.teams.values_mut() {
            let held = team.confirmed_allotment(cell);
            team.launch = MilliResources::NONE;
            team.guarantee = MilliResources::NONE;
            let LedgerState::Present(_, ledger) = &team.ledger_state else { continue };
            if !ledger.complete || ledger.is_overallotted() {
                continue;
            }
            let apportionment = Apportionment::of(ledger, cell, own_claim(now, ledger, cell, team));
            team.guarantee = apportionment.target().guarantee;
            team.launch = match apportionment.must_yield() {
                true => held.min_each(apportionment.target().total()),
                false => held,
            };
        }
    }

    fn step_team(&mut self, now: Millis, name: &str) -> Option<LedgerWrite> {
        let team = self.teams.get(name)?;
        if team.in_flight.is_some() || now < team.not_before {
            return None;
        }
        let (expected_revision, ledger, dead) = match &team.ledger_state.clone() {
            LedgerState::NotRead | LedgerState::Unusable(..) => return None,
            LedgerState::Missing(_) => (0, self.create(team)?, Vec::new()),
            LedgerState::Present(revision, ledger) => {
                let (ledger, dead) = match (self.reclaim(now, ledger), ledger.complete) {
                    (Some(reclaimed), _) => reclaimed,
                    (None, false) => self.advance_rebuild(now, ledger, team)?,
                    (None, true) => (self.adjust(now, name)?, Vec::new()),
                };
                (*revision, ledger, dead)
            }
        };
        let team = self.teams.get_mut(name)?;
        // Lowered before it is sent, and until it is known to have failed.
        let max = ledger.allotted_to(&self.cell);
        team.in_flight = Some(AllotmentCap { expected_revision, max });
        team.launch = team.launch.min_each(max);
        Some(LedgerWrite { team: name.to_string(), expected_revision, ledger, dead })
    }

    /// A new value, with what this cell runs.
    fn create(&self, team: &Team) -> Option<TeamLedger> {
        if !team.settings.limit.is_set() {
            return None;
        }
        let mut ledger = TeamLedger::new(team.settings.limit, team.settings.guarantee);
        self.record_own_usage(&mut ledger, team)?;
        Some(ledger)
    }

    /// Enters what this cell runs into a value in which it has no allotment.
    fn record_own_usage(&self, ledger: &mut TeamLedger, team: &Team) -> Option<()> {
        if !team.usage.is_reconciled {
            return None;
        }
        let allotted = ledger.limit.counted(team.usage.used);
        let allotment = Allotment { amount: allotted, term: self.term, ..Allotment::default() };
        ledger.allotments.insert(self.cell.clone(), allotment);
        Some(())
    }

    /// Drops the allotments of dead cells.
    fn reclaim(&self, now: Millis, ledger: &TeamLedger) -> Option<(TeamLedger, Vec<DeadCell>)> {
        let others = ledger.allotments.keys().filter(|cell| **cell != self.cell);
        let dead: Vec<DeadCell> =
            others.filter_map(|cell| self.leaderless.dead(now, cell, &self.cells)).collect();
        if dead.is_empty() {
            return None;
        }
        let mut ledger = ledger.clone();
        ledger.allotments.retain(|name, _| !dead.iter().any(|cell| cell.cell == *name));
        // Those that have no allotment in it need not enter one either.
        Some((ledger, dead))
    }

    /// Brings a value nearer to where every cell has entered what it runs.
    fn advance_rebuild(
        &self,
        now: Millis,
        ledger: &TeamLedger,
        team: &Team,
    ) -> Option<(TeamLedger, Vec<DeadCell>)> {
        let mut ledger = ledger.clone();
        if !ledger.allotments.contains_key(&self.cell) {
            self.record_own_usage(&mut ledger, team)?;
            return Some((ledger, Vec::new()));
        }
        let mut dead = Vec::new();
        for cell in self.cells.keys().filter(|cell| !ledger.allotments.contains_key(*cell)) {
            dead.push(self.leaderless.dead(now, cell, &self.cells)?);
        }
        ledger.complete = true;
        Some((ledger, dead))
    }

    /// Takes, gives back and asks in a value that is complete.
    fn adjust(&mut self, now: Millis, name: &str) -> Option<TeamLedger> {
        let cell = self.cell.clone();
        let term = self.term;
        let team = self.teams.get_mut(name)?;
        let LedgerState::Present(_, ledger) = &team.ledger_state else { return None };
        let ledger = ledger.clone();
        let apportionment = Apportionment::of(&ledger, &cell, own_claim(now, &ledger, &cell, team));
        let stale = team.stale.observe(now, &apportionment);
        if !team.usage.is_reconciled {
            return None;
        }
        let held = ledger.limit.counted(ledger.allotted_to(&cell));
        let context = DecisionContext {
            now,
            ledger: &ledger,
            apportionment: &apportionment,
            used: ledger.limit.counted(team.usage.used),
            want: team.want(&ledger.limit),
        };
        let allotted = context.next_allotment(team, held);
        let mut next = ledger.clone();
        for other in &stale {
            if let Some(allotment) = next.allotments.get_mut(other) {
                allotment.request = None;
            }
        }
        let allotment = ledger.allotments.get(&cell);
        let standing = allotment.and_then(|allotment| allotment.request.as_ref());
        let request = context.next_request(team, standing, allotted, &mut next.next_request_number);
        if allotment.is_some() || allotted != MilliResources::NONE || request.is_some() {
            let allotment = next.allotments.entry(cell).or_default();
            if allotment.amount != allotted {
                allotment.term = term;
            }
            allotment.amount = allotted;
            allotment.request = request;
        }
        (next != ledger).then(|| {
            team.refreshed = Some(now);
            next
        })
    }

    fn note_write(&mut self, write: &LedgerWrite, from: MilliResources) {
        let (team, to) = (write.team.clone(), write.ledger.allotted_to(&self.cell));
        if from != to {
            self.notices.push(Notice::Allotted { team: team.clone(), from, to });
        }
        if !write.dead.is_empty() {
            let cells = write.dead.iter().map(|dead| dead.cell.clone()).collect();
            self.notices.push(Notice::Reclaimed { team, cells });
        }
    }

    fn note_troubles(&mut self) {
        for (name, team) in &mut self.teams {
            let differing = || differs(team).then(|| Notice::Differs { team: name.clone() });
            let notice = trouble(name, team).or_else(differing);
            if notice.is_some() && notice != team.noted {
                self.notices.extend(notice.clone());
            }
            team.noted = notice;
        }
    }
}
