//! What one cell holds of the teams' limits: asks, takes, gives back and reclaims.

use std::collections::BTreeMap;

use crate::amounts::Amounts;
use crate::cells::LeaderlessCells;
use crate::constants::*;
use crate::decisions::{own_claim, Situation};
use crate::ledger::{Account, TeamLedger};
use crate::notices::Notice;
use crate::requests::Standings;
use crate::team::{
    differs, trouble, Ceiling, Known, LaunchLimit, Team, TeamSummary, TeamTerms, TeamUse,
};
use crate::view::{DeadCell, LedgerWrite, Presence, View, WriteOutcome};
use crate::Millis;

/// Whose keeper this is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeeperSettings {
    /// The cell.
    pub cell: String,
    /// Token of the leader that it serves.
    pub term: u64,
    /// The teams with a limit.
    pub teams: BTreeMap<String, TeamTerms>,
}

/// The quota of one cell, for one term of its leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Keeper {
    cell: String,
    term: u64,
    teams: BTreeMap<String, Team>,
    /// Revision of the last look.
    revision: u64,
    cells: BTreeMap<String, Presence>,
    leaderless: LeaderlessCells,
    /// The team that is looked at first in the next step.
    first: usize,
    notices: Vec<Notice>,
}

impl Keeper {
    /// For a new leader, which launches nothing of a team until it has seen its value.
    pub fn new(settings: KeeperSettings) -> Keeper {
        let team = |terms| Team { terms, ..Team::default() };
        Keeper {
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
    pub fn observe(&mut self, now: Millis, view: View) {
        if view.revision < self.revision.max(self.term) {
            return;
        }
        self.leaderless.observe(now, &view.cells);
        for (name, team) in &mut self.teams {
            let known = match view.teams.get(name) {
                None => Known::Missing(view.revision),
                Some(seen) => match &seen.ledger {
                    Ok(ledger) => Known::Value(seen.revision, ledger.clone()),
                    Err(why) => Known::Unusable(seen.revision, why.clone()),
                },
            };
            if known.revision() >= team.known.revision() {
                team.known = known;
            }
            if team.unresolved.is_some_and(|ceiling| ceiling.expect != team.known.revision()) {
                team.unresolved = None;
            }
        }
        self.revision = view.revision;
        self.cells = view.cells;
        self.set_launch_limits(now);
        self.note_troubles();
    }

    /// What the cell may use of a team's limit now; None if the team has no limit, here and in a value.
    pub fn launch_limit(&self, team: &str) -> Option<LaunchLimit> {
        let team = self.teams.get(team)?;
        if matches!(team.known, Known::Unseen | Known::Unusable(..)) {
            return Some(LaunchLimit::NOTHING);
        }
        let limit = team.limit();
        limit.is_set().then(|| LaunchLimit::of(&limit, team.launch))
    }

    /// The cell's part of a team's guarantee; None if the team has no limit and so is not shared.
    pub fn guarantee(&self, team: &str) -> Option<Amounts> {
        let team = self.teams.get(team)?;
        team.limit().is_set().then_some(team.guarantee)
    }

    /// What is to be written, by what the teams use now. Launch limits are lowered before it returns: the
    /// caller launches by the new ones from now on.
    pub fn step(&mut self, now: Millis, uses: &BTreeMap<String, TeamUse>) -> Vec<LedgerWrite> {
        for (name, team) in &mut self.teams {
            team.usage = uses.get(name).copied().unwrap_or_default();
        }
        self.set_launch_limits(now);
        let names: Vec<String> = self.teams.keys().cloned().collect();
        let open = self.teams.values().filter(|team| team.sent.is_some()).count();
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
    pub fn written(&mut self, now: Millis, write: &LedgerWrite, outcome: WriteOutcome) {
        let cell = self.cell.clone();
        let Some(team) = self.teams.get_mut(&write.team) else { return };
        let sent = team.sent.take();
        match outcome {
            WriteOutcome::Stored(revision) => {
                team.not_before = now.saturating_add(WRITE_GAP_MS);
                if revision > team.known.revision() {
                    let from = match &team.known {
                        Known::Value(_, ledger) => ledger.allotted_to(&cell),
                        _ => Amounts::NONE,
                    };
                    team.known = Known::Value(revision, write.ledger.clone());
                    team.unresolved = None;
                    self.note_write(write, from);
                }
            }
            WriteOutcome::NotStored => {
                team.not_before = now.saturating_add(RETRY_MS);
            }
            WriteOutcome::Unknown => {
                team.not_before = now.saturating_add(RETRY_MS);
                if let Some(sent) = sent {
                    let most = Ceiling::limits(&team.unresolved, sent.expect, sent.most);
                    team.unresolved = Some(Ceiling { most, ..sent });
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
                let (cells, guarantee) = match &team.known {
                    Known::Value(_, ledger) => (ledger.cells.clone(), ledger.guarantee),
                    _ => (BTreeMap::new(), team.terms.guarantee),
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
            let held = team.held(cell);
            team.launch = Amounts::NONE;
            team.guarantee = Amounts::NONE;
            let Known::Value(_, ledger) = &team.known else { continue };
            if !ledger.complete || ledger.is_overdrawn() {
                continue;
            }
            let standings = Standings::of(ledger, cell, own_claim(now, ledger, cell, team));
            team.guarantee = standings.target().guarantee;
            team.launch = match standings.others_lack() {
                true => held.least(standings.target().total()),
                false => held,
            };
        }
    }

    fn step_team(&mut self, now: Millis, name: &str) -> Option<LedgerWrite> {
        let team = self.teams.get(name)?;
        if team.sent.is_some() || now < team.not_before {
            return None;
        }
        let (expect, ledger, dead) = match &team.known.clone() {
            Known::Unseen | Known::Unusable(..) => return None,
            Known::Missing(_) => (0, self.create(team)?, Vec::new()),
            Known::Value(revision, ledger) => {
                let (ledger, dead) = match (self.reclaim(now, ledger), ledger.complete) {
                    (Some(reclaimed), _) => reclaimed,
                    (None, false) => self.complete(now, ledger, team)?,
                    (None, true) => (self.change(now, name)?, Vec::new()),
                };
                (*revision, ledger, dead)
            }
        };
        let team = self.teams.get_mut(name)?;
        // Lowered before it is sent, and until it is known to have failed.
        let most = ledger.allotted_to(&self.cell);
        team.sent = Some(Ceiling { expect, most });
        team.launch = team.launch.least(most);
        Some(LedgerWrite { team: name.to_string(), expect, ledger, dead })
    }

    /// A new value, with what this cell runs.
    fn create(&self, team: &Team) -> Option<TeamLedger> {
        if !team.terms.limit.is_set() {
            return None;
        }
        let mut ledger = TeamLedger::new(team.terms.limit, team.terms.guarantee);
        self.enter(&mut ledger, team)?;
        Some(ledger)
    }

    /// Enters what this cell runs into a value in which it has no account.
    fn enter(&self, ledger: &mut TeamLedger, team: &Team) -> Option<()> {
        if !team.usage.is_settled {
            return None;
        }
        let allotted = ledger.limit.counted(team.usage.used);
        let account = Account { allotted, term: self.term, ..Account::default() };
        ledger.cells.insert(self.cell.clone(), account);
        Some(())
    }

    /// Drops the accounts of dead cells.
    fn reclaim(&self, now: Millis, ledger: &TeamLedger) -> Option<(TeamLedger, Vec<DeadCell>)> {
        let others = ledger.cells.keys().filter(|cell| **cell != self.cell);
        let dead: Vec<DeadCell> =
            others.filter_map(|cell| self.leaderless.dead(now, cell, &self.cells)).collect();
        if dead.is_empty() {
            return None;
        }
        let mut ledger = ledger.clone();
        ledger.cells.retain(|name, _| !dead.iter().any(|cell| cell.cell == *name));
        // Those that have no account in it need not enter one either.
        Some((ledger, dead))
    }

    /// Brings a value nearer to where every cell has entered what it runs.
    fn complete(
        &self,
        now: Millis,
        ledger: &TeamLedger,
        team: &Team,
    ) -> Option<(TeamLedger, Vec<DeadCell>)> {
        let mut ledger = ledger.clone();
        if !ledger.cells.contains_key(&self.cell) {
            self.enter(&mut ledger, team)?;
            return Some((ledger, Vec::new()));
        }
        let mut dead = Vec::new();
        for cell in self.cells.keys().filter(|cell| !ledger.cells.contains_key(*cell)) {
            dead.push(self.leaderless.dead(now, cell, &self.cells)?);
        }
        ledger.complete = true;
        Some((ledger, dead))
    }

    /// Takes, gives back and asks in a value that is complete.
    fn change(&mut self, now: Millis, name: &str) -> Option<TeamLedger> {
        let cell = self.cell.clone();
        let term = self.term;
        let team = self.teams.get_mut(name)?;
        let Known::Value(_, ledger) = &team.known else { return None };
        let ledger = ledger.clone();
        let standings = Standings::of(&ledger, &cell, own_claim(now, &ledger, &cell, team));
        let stuck = team.stuck.observe(now, &standings);
        if !team.usage.is_settled {
            return None;
        }
        let held = ledger.limit.counted(ledger.allotted_to(&cell));
        let situation = Situation {
            now,
            ledger: &ledger,
            standings: &standings,
            used: ledger.limit.counted(team.usage.used),
            want: team.want(&ledger.limit),
        };
        let allotted = situation.next_allotment(team, held);
        let mut next = ledger.clone();
        for other in &stuck {
            if let Some(account) = next.cells.get_mut(other) {
                account.request = None;
            }
        }
        let account = ledger.cells.get(&cell);
        let standing = account.and_then(|account| account.request.as_ref());
        let request = situation.next_request(team, standing, allotted, &mut next.next_ticket);
        if account.is_some() || allotted != Amounts::NONE || request.is_some() {
            let account = next.cells.entry(cell).or_default();
            if account.allotted != allotted {
                account.term = term;
            }
            account.allotted = allotted;
            account.request = request;
        }
        (next != ledger).then(|| {
            team.refreshed = Some(now);
            next
        })
    }

    fn note_write(&mut self, write: &LedgerWrite, from: Amounts) {
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
