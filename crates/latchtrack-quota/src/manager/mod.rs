//! The allotment manager: maintains one cell's allotments of the teams' limits. It requests, raises
//! and returns them, and reclaims those of dead cells.

mod ledger_changes;
mod observation;
mod write_outcomes;

use std::collections::BTreeMap;

use crate::apportionment::Apportionment;
use crate::cells::CellStatus;
use crate::constants::MAX_WRITES_IN_FLIGHT;
use crate::decision::own_claim;
use crate::leaderless_cells::LeaderlessCells;
use crate::notices::Notice;
use crate::resources::MilliResources;
use crate::snapshot::LedgerWrite;
use crate::team::{LaunchLimit, LocalUsage, TeamQuota, TeamSummary};
use crate::team_state::{LedgerState, TeamState};
use crate::Millis;

/// Settings of an allotment manager.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AllotmentManagerSettings {
    /// Name of the cell.
    pub cell: String,
    /// Fencing token of the leader on whose behalf it acts.
    pub term: u64,
    /// Quotas by team name, according to the cell's settings.
    pub teams: BTreeMap<String, TeamQuota>,
}

/// Manages the allotments of one cell during one term of its leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AllotmentManager {
    cell: String,
    term: u64,
    teams: BTreeMap<String, TeamState>,
    /// Revision of the last snapshot.
    revision: u64,
    cells: BTreeMap<String, CellStatus>,
    leaderless: LeaderlessCells,
    /// Index of the team with which the next step starts, so that teams take turns.
    next_team: usize,
    notices: Vec<Notice>,
}

impl AllotmentManager {
    /// Creates the manager of a new leader, which launches no tasks of a team until it has read the
    /// team's ledger.
    pub fn new(settings: AllotmentManagerSettings) -> AllotmentManager {
        let teams = settings.teams.into_iter();
        AllotmentManager {
            cell: settings.cell,
            term: settings.term,
            teams: teams.map(|(name, quota)| (name, TeamState::new(quota))).collect(),
            revision: 0,
            cells: BTreeMap::new(),
            leaderless: LeaderlessCells::default(),
            next_team: 0,
            notices: Vec::new(),
        }
    }

    /// Returns the resources that the cell may currently use of a team's limit: zero until the
    /// ledger is read, or if it can't be parsed. Returns `None` if the team is unknown or has no
    /// limit.
    pub fn launch_limit(&self, team: &str) -> Option<LaunchLimit> {
        let team = self.teams.get(team)?;
        if matches!(team.ledger_state, LedgerState::NotRead | LedgerState::Unusable(..)) {
            return Some(LaunchLimit::ZERO);
        }
        let limit = team.limit();
        limit.is_set().then(|| LaunchLimit::of(&limit, team.launch_limit))
    }

    /// Returns the cell's part of a team's guarantee, or `None` if the team is unknown, or has no
    /// limit and so is not shared.
    pub fn guarantee(&self, team: &str) -> Option<MilliResources> {
        let team = self.teams.get(team)?;
        team.limit().is_set().then_some(team.guarantee)
    }

    /// Returns the ledger writes that are due, given the teams' current usage by team name. Launch
    /// limits are lowered before it returns, and the caller must apply them before it sends the
    /// writes.
    pub fn step(&mut self, now: Millis, usages: &BTreeMap<String, LocalUsage>) -> Vec<LedgerWrite> {
        for (name, team) in &mut self.teams {
            team.usage = usages.get(name).copied().unwrap_or_default();
        }
        let mut apportionments = self.update_launch_limits(now);
        let names: Vec<String> = self.teams.keys().cloned().collect();
        let in_flight = self.teams.values().filter(|team| team.in_flight.is_some()).count();
        let mut writes = Vec::new();
        let first = self.next_team % names.len().max(1);
        for i in 0..names.len() {
            if in_flight + writes.len() >= MAX_WRITES_IN_FLIGHT {
                self.next_team = first + i;
                break;
            }
            let name = &names[(first + i) % names.len()];
            writes.extend(self.step_team(now, name, apportionments.remove(name)));
        }
        writes
    }

    /// Returns and clears the notices since the last call.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// Returns the summaries of all teams, for operators.
    pub fn summary(&self) -> Vec<TeamSummary> {
        self.teams.iter().map(|(name, team)| summarize(name, team)).collect()
    }

    /// Recomputes launch limits and parts of guarantees from the known ledgers and the usage.
    /// Returns the apportionment of each ledger that is complete and not overallotted.
    fn update_launch_limits(&mut self, now: Millis) -> BTreeMap<String, Apportionment> {
        let cell = &self.cell;
        let mut apportionments = BTreeMap::new();
        for (name, team) in &mut self.teams {
            let held = team.confirmed_allotment(cell);
            team.launch_limit = MilliResources::ZERO;
            team.guarantee = MilliResources::ZERO;
            let LedgerState::Present(_, ledger) = &team.ledger_state else { continue };
            if !ledger.complete || ledger.is_overallotted() {
                continue;
            }
            let claim = own_claim(now, ledger, cell, team);
            let apportionment = Apportionment::of(ledger, cell, claim);
            team.guarantee = apportionment.target().guarantee;
            team.launch_limit = if apportionment.must_yield() {
                held.min_each(apportionment.target().total())
            } else {
                held
            };
            apportionments.insert(name.clone(), apportionment);
        }
        apportionments
    }
}

fn summarize(name: &str, team: &TeamState) -> TeamSummary {
    let (cells, guarantee) = match &team.ledger_state {
        LedgerState::Present(_, ledger) => (ledger.allotments.clone(), ledger.guarantee),
        _ => (BTreeMap::new(), team.settings.guarantee),
    };
    TeamSummary {
        team: name.to_string(),
        problem: team.problem().map(|problem| problem.status_text(name)),
        settings_differ: team.settings_differ(),
        limit: team.limit(),
        guarantee,
        used: team.usage.used,
        launch_limit: team.launch_limit,
        cells,
    }
}
