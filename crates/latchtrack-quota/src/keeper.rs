//! What one cell holds of the teams' limits: asks, takes, gives back and reclaims.

use std::collections::BTreeMap;
use std::fmt;

use crate::amounts::{Amounts, Limit};
use crate::cells::LeaderlessCells;
use crate::constants::*;
use crate::ledger::{Account, LedgerError, Request, TeamLedger};
use crate::requests::{renewed, Standings, StuckRequests};
use crate::targets::Claim;
use crate::view::{DeadCell, LedgerWrite, Presence, View, WriteOutcome};
use crate::Millis;

/// A team's limit and guarantee as this cell's settings have them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct TeamTerms {
    /// What all cells together may use.
    pub limit: Limit,
    /// What the team is to get at the least.
    pub guarantee: Amounts,
}

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

/// What a team uses in the cell, and what it waits for there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct TeamUse {
    /// Whether `used` covers all that may be on machines. If not, nothing is given back or taken.
    pub is_settled: bool,
    /// All that may be on machines.
    pub used: Amounts,
    /// What its waiting tasks would use.
    pub waiting: Amounts,
    /// What the next of them to start needs: a task, a slice or a gang.
    pub next: Amounts,
    /// All that was started in this term.
    pub started: Amounts,
}

/// What a cell may use of a team's limit; None is no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LaunchLimit {
    /// Thousandths of a CPU.
    pub millicpus: Option<u64>,
    /// Thousandths of a GPU.
    pub milligpus: Option<u64>,
}

impl LaunchLimit {
    /// Nothing may be launched.
    const NOTHING: LaunchLimit = LaunchLimit { millicpus: Some(0), milligpus: Some(0) };

    fn of(limit: &Limit, amounts: Amounts) -> LaunchLimit {
        LaunchLimit {
            millicpus: limit.millicpus.map(|_| amounts.millicpus),
            milligpus: limit.milligpus.map(|_| amounts.milligpus),
        }
    }
}

/// Something for the log, once each.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Notice {
    /// The cell's allotment has changed.
    Allotted {
        /// The team.
        team: String,
        /// From this.
        from: Amounts,
        /// To this.
        to: Amounts,
    },
    /// A dead cell's allotment was reclaimed.
    Reclaimed {
        /// The team.
        team: String,
        /// The dead cells.
        cells: Vec<String>,
    },
    /// The value can't be used; nothing of the team is launched beyond what runs.
    Unusable {
        /// The team.
        team: String,
        /// Why.
        why: LedgerError,
    },
    /// The value is missing; it is made anew from what the cells run.
    Missing {
        /// The team.
        team: String,
    },
    /// More is allotted than the limit.
    Overdrawn {
        /// The team.
        team: String,
    },
    /// The value's limit or guarantee is not that of the settings; the value's counts.
    Differs {
        /// The team.
        team: String,
    },
}

fn cpus_and_gpus(f: &mut fmt::Formatter<'_>, amounts: &Amounts) -> fmt::Result {
    let (cpus, gpus) = amounts.decimal();
    write!(f, "{cpus} CPUs and {gpus} GPUs")
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Allotted { team, from, to } => {
                write!(f, "quota: allotment of team {team} changes from ")?;
                cpus_and_gpus(f, from)?;
                write!(f, " to ")?;
                cpus_and_gpus(f, to)
            }
            Notice::Reclaimed { team, cells } => {
                write!(f, "quota: allotments of team {team} reclaimed from {}", cells.join(", "))
            }
            Notice::Unusable { team, why } => {
                write!(f, "quota: quota/team/{team} {why}; nothing of the team is launched")
            }
            Notice::Missing { team } => {
                write!(f, "quota: quota/team/{team} is missing; made from what the cells run")
            }
            Notice::Overdrawn { team } => {
                write!(f, "quota: quota/team/{team} allots more than its limit; nothing is launched")
            }
            Notice::Differs { team } => write!(
                f,
                "quota: limit or guarantee of team {team} differ from quota/team/{team}, which counts"
            ),
        }
    }
}

/// A team's quota for an operator.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamSummary {
    /// The team.
    pub team: String,
    /// Why its value can't be used, if so.
    pub trouble: Option<String>,
    /// Whether limit or guarantee of the settings are others.
    pub differs: bool,
    /// The limit in force.
    pub limit: Limit,
    /// The guarantee in force.
    pub guarantee: Amounts,
    /// What may be on this cell's machines.
    pub used: Amounts,
    /// What this cell may use just now.
    pub launch_limit: Amounts,
    /// The accounts by cell.
    pub cells: BTreeMap<String, Account>,
}

/// A team's value as this cell knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
enum Known {
    /// Not looked at yet.
    #[default]
    Unseen,
    /// There was none at this revision.
    Missing(u64),
    /// It can't be used.
    Unusable(u64, LedgerError),
    /// It was this at this revision.
    Value(u64, TeamLedger),
}

impl Known {
    fn revision(&self) -> u64 {
        match self {
            Known::Unseen => 0,
            Known::Missing(revision) | Known::Unusable(revision, _) => *revision,
            Known::Value(revision, _) => *revision,
        }
    }
}

/// What the cell may hold at most for as long as the value has this revision: a write that sets its account to
/// that may be carried out until then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Ceiling {
    expect: u64,
    most: Amounts,
}

impl Ceiling {
    /// What of an amount remains at a revision.
    fn limits(ceiling: &Option<Ceiling>, revision: u64, amounts: Amounts) -> Amounts {
        match ceiling {
            Some(ceiling) if ceiling.expect == revision => amounts.least(ceiling.most),
            _ => amounts,
        }
    }
}

/// Since when the need of a request is met, and what the cell had started by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Turn {
    ticket: u64,
    since: Millis,
    started: Amounts,
}

/// A team in this cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Team {
    terms: TeamTerms,
    known: Known,
    usage: TeamUse,
    /// The write under way.
    sent: Option<Ceiling>,
    /// Writes whose outcome is unknown.
    unresolved: Option<Ceiling>,
    launch: Amounts,
    guarantee: Amounts,
    idle_since: Option<Millis>,
    not_before: Millis,
    refreshed: Option<Millis>,
    turn: Option<Turn>,
    no_need_until: Option<Millis>,
    stuck: StuckRequests,
    noted: Option<Notice>,
}

impl Team {
    /// What the cell surely holds.
    fn held(&self, cell: &str) -> Amounts {
        let Known::Value(revision, ledger) = &self.known else { return Amounts::NONE };
        let stored = ledger.allotted_to(cell);
        let without_sent = Ceiling::limits(&self.sent, *revision, stored);
        Ceiling::limits(&self.unresolved, *revision, without_sent)
    }

    fn limit(&self) -> Limit {
        match &self.known {
            Known::Value(_, ledger) => ledger.limit,
            _ => self.terms.limit,
        }
    }

    /// What the cell could use of the limit, with what waits.
    fn want(&self, limit: &Limit) -> Amounts {
        limit.counted(self.usage.used.plus(self.usage.waiting)).least(limit.total())
    }

    /// What the next to start needs; nothing for a while after it was held in vain.
    fn need(&self, now: Millis, limit: &Limit) -> Amounts {
        match self.no_need_until.is_some_and(|until| now < until) {
            true => Amounts::NONE,
            false => limit.counted(self.usage.next).least(limit.total()),
        }
    }

    /// Whether a request has had its turn: its need was met until so much was started, or for long in vain.
    fn has_had_its_turn(&mut self, now: Millis, request: &Request, allotted: Amounts) -> bool {
        if request.need == Amounts::NONE || !request.need.fits_in(allotted) {
            self.turn = None;
            return false;
        }
        let begins = Turn { ticket: request.ticket, since: now, started: self.usage.started };
        let turn = self.turn.filter(|turn| turn.ticket == request.ticket).unwrap_or(begins);
        self.turn = Some(turn);
        if request.need.fits_in(self.usage.started.minus(turn.started)) {
            return true;
        }
        let is_in_vain = now >= turn.since.saturating_add(TURN_MS);
        if is_in_vain {
            self.no_need_until = Some(now.saturating_add(TURN_MS));
        }
        is_in_vain
    }
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

    /// The cell's part of a team's guarantee; None if the team is not shared.
    pub fn guarantee(&self, team: &str) -> Option<Amounts> {
        self.teams.get(team).map(|team| team.guarantee)
    }

    /// What is to be written, by what the teams use now. Launch limits are lowered before it returns: the
    /// caller launches by the new ones from now on.
    pub fn step(&mut self, now: Millis, uses: &BTreeMap<String, TeamUse>) -> Vec<LedgerWrite> {
        for (name, team) in &mut self.teams {
            team.usage = uses.get(name).copied().unwrap_or_default();
        }
        self.set_launch_limits(now);
        let names: Vec<String> = self.teams.keys().cloned().collect();
        let mut writes = Vec::new();
        let first = self.first % names.len().max(1);
        for i in 0..names.len() {
            if writes.len() >= WRITES_A_STEP {
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

/// What stands in the way of a team's launches, if something does.
fn trouble(name: &str, team: &Team) -> Option<Notice> {
    let name = name.to_string();
    match &team.known {
        Known::Unseen => None,
        Known::Missing(_) if !team.terms.limit.is_set() => None,
        Known::Missing(_) => Some(Notice::Missing { team: name }),
        Known::Unusable(_, why) => Some(Notice::Unusable { team: name, why: why.clone() }),
        Known::Value(_, ledger) if ledger.is_overdrawn() => Some(Notice::Overdrawn { team: name }),
        Known::Value(..) => None,
    }
}

/// Whether the settings say otherwise than the value.
fn differs(team: &Team) -> bool {
    match &team.known {
        Known::Value(_, ledger) => {
            ledger.limit != team.terms.limit || ledger.guarantee != team.terms.guarantee
        }
        _ => false,
    }
}

/// What this cell claims of a value now. A request that it does not have yet is the newest.
fn own_claim(now: Millis, ledger: &TeamLedger, cell: &str, team: &Team) -> Claim {
    let want = team.want(&ledger.limit);
    let account = ledger.cells.get(cell);
    let standing = account.and_then(|account| account.request.as_ref());
    let asks = team.usage.waiting != Amounts::NONE;
    let (ticket, need) = match standing {
        Some(request) => (request.ticket, request.need),
        None => (ledger.next_ticket, team.need(now, &ledger.limit)),
    };
    Claim { ticket: asks.then_some(ticket), need, want }
}

/// A value that is complete, as one cell sees it at a moment.
struct Situation<'a> {
    now: Millis,
    ledger: &'a TeamLedger,
    standings: &'a Standings,
    used: Amounts,
    want: Amounts,
}

impl Situation<'_> {
    /// What the cell should hold, never less than it uses.
    fn next_allotment(&self, team: &mut Team, held: Amounts) -> Amounts {
        let headroom = self.ledger.limit.total().part(HEADROOM_PART);
        let is_idle = !held.fits_in(self.want.plus(headroom));
        team.idle_since = is_idle.then(|| team.idle_since.unwrap_or(self.now));
        if self.ledger.is_overdrawn() {
            return held.least(self.used);
        }
        let target = self.standings.target().total();
        if self.standings.others_lack() && !held.fits_in(target) {
            return held.least(self.used.most(target));
        }
        if team.idle_since.is_some_and(|since| self.now >= since + IDLE_RETURN_MS) {
            return held.least(self.used.most(self.want));
        }
        let taken = self.standings.may_take();
        if taken == Amounts::NONE || self.standings.is_contended() {
            return held.plus(taken);
        }
        // A little more, which nobody asks for, so that not each new job is a write.
        held.plus(taken.plus(headroom).least(self.ledger.free()))
    }

    /// The request that the cell should have beside an allotment.
    fn next_request(
        &self,
        team: &mut Team,
        standing: Option<&Request>,
        allotted: Amounts,
        next_ticket: &mut u64,
    ) -> Option<Request> {
        let is_covered = self.want.fits_in(allotted);
        if !self.standings.is_contended() && is_covered {
            // Whether it stands or not: nobody else asks.
            return standing.cloned();
        }
        if team.usage.waiting == Amounts::NONE {
            return None;
        }
        let had_its_turn =
            standing.is_some_and(|request| team.has_had_its_turn(self.now, request, allotted));
        let need = team.need(self.now, &self.ledger.limit);
        let Some(standing) = standing.filter(|_| !had_its_turn) else {
            return Some(renewed(None, need, self.want, next_ticket));
        };
        let tolerated = self.ledger.limit.total().part(WANT_CHANGE_PART);
        let change = self.want.minus(standing.want).most(standing.want.minus(self.want));
        let is_of_use = need == standing.need && change.fits_in(tolerated);
        let is_fresh = |at: Millis| self.now < at.saturating_add(REQUEST_REFRESH_MS);
        if is_of_use || team.refreshed.is_some_and(is_fresh) {
            return Some(standing.clone());
        }
        Some(renewed(Some(standing), need, self.want, next_ticket))
    }
}
