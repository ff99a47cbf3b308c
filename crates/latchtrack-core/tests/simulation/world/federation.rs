//! Several cells that share teams: each a world of its own, and one state service for what they share.

use std::collections::BTreeMap;

use latchtrack_core::machine::TaskPhase;
use latchtrack_core::scheduler::Event;
use latchtrack_quota::{
    CellRecord, CellStatus, DeadCell, LedgerSnapshot, LedgerWrite, StoredLedger, TeamLedger,
    WriteOutcome,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::faults::PlannedFault;
use super::guards::DisabledGuard;
use super::messages::{Origin, Response};
use super::size::Size;
use super::state::{is_started, JobState, StoredJob};
use super::{World, CPU_TOLERANCE, LEADER_LEASE_MS, WORKER_LEASE_MS};

/// ms between two looks of a leader at what is shared.
const LOOK_MS: u64 = 250;
/// ms after which an answer that has not come is given up.
const GIVEN_UP_MS: u64 = 2_000;
/// The team with a limit that all cells share.
pub const TEAM: &str = "limited";

/// A change of what is shared, as a leader wants it.
pub(super) struct SharedWrite {
    pub origin: Origin,
    pub write: LedgerWrite,
}

/// Which condition the shared state service ignores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IgnoredCondition {
    Nothing,
    /// The revision of the value.
    Revision,
    /// The writer's leader key.
    Fence,
    /// That cells which are taken for dead still are.
    DeadCells,
    /// The leases in the records of the cells, which are taken for 0.
    Leases,
}

enum SharedMessage {
    Write { cell: usize, shared: SharedWrite, response: Response },
    Event { cell: usize, origin: Origin, event: Box<Event> },
}

/// Several cells and what they share.
pub struct Federation {
    pub cells: Vec<World>,
    pub violations: Vec<String>,
    /// What came about, so that tests can tell that it did.
    pub occurrences: BTreeMap<&'static str, u64>,
    /// Most of the shared limit in use at a time.
    pub most_used: f64,
    /// Writes of what is shared that were carried out.
    pub writes: u64,
    rng: StdRng,
    ignored: IgnoredCondition,
    now: u64,
    size: Size,
    /// Common to all cells, so that tokens and revisions can be compared.
    revision: u64,
    /// The stored text of each team's value, with its revision.
    teams: BTreeMap<String, (u64, String)>,
    queue: BTreeMap<(u64, u64), SharedMessage>,
    next_id: u64,
    next_look: Vec<u64>,
    /// The last look of anybody, which a watch that skips shows again.
    old_view: LedgerSnapshot,
}

fn name_of(cell: usize) -> String {
    format!("cell-{cell}")
}

impl Federation {
    pub fn new(seed: u64, cells: usize, size: Size, ignored: IgnoredCondition) -> Federation {
        let world = |i: usize| {
            let mut world = World::sized(seed * 31 + i as u64, DisabledGuard::None, size);
            world.cell = Some(name_of(i));
            world
        };
        Federation {
            cells: (0..cells).map(world).collect(),
            violations: Vec::new(),
            occurrences: BTreeMap::new(),
            most_used: 0.0,
            writes: 0,
            rng: StdRng::seed_from_u64(seed),
            ignored,
            now: 1_000,
            size,
            revision: 10,
            teams: BTreeMap::new(),
            queue: BTreeMap::new(),
            next_id: 0,
            next_look: vec![0; cells],
            old_view: LedgerSnapshot::default(),
        }
    }

    /// With troubles at set times in some cells.
    pub fn planned(mut self, cells: &[usize], plan: &[(u64, PlannedFault)]) -> Federation {
        for cell in cells {
            self.cells[*cell].plan.extend_from_slice(plan);
        }
        self
    }

    /// With a stored value of the shared team.
    pub fn stored(mut self, text: &str) -> Federation {
        self.teams.insert(TEAM.into(), (1, text.to_string()));
        self
    }

    /// The stored text of the shared team's value.
    pub fn value(&self) -> Option<&str> {
        self.teams.get(TEAM).map(|(_, text)| text.as_str())
    }

    /// The stored value disappears.
    pub fn lose_value(&mut self) {
        self.teams.remove(TEAM);
        self.revision += 1;
        self.record("value lost");
    }

    /// An operator changes the stored limit.
    pub fn set_limit(&mut self, cpus: f64) {
        let Some(mut ledger) = self.ledger() else { return };
        ledger.limit = latchtrack_quota::Limit::of(cpus, 0.0);
        self.store(TEAM, &ledger);
    }

    /// The stored value.
    pub fn ledger(&self) -> Option<TeamLedger> {
        TeamLedger::parse(self.value()?).ok()
    }

    /// ms since the beginning.
    pub fn now(&self) -> u64 {
        self.now
    }

    pub fn run(&mut self) {
        while self.now < self.size.end_ms && self.violations.is_empty() {
            self.step();
            if self.now >= self.size.fault_period_ms && self.unfinished().is_empty() {
                break;
            }
        }
    }

    pub fn unfinished(&self) -> Vec<String> {
        let of = |(i, cell): (usize, &World)| {
            let named = move |id: String| format!("{}: {id}", name_of(i));
            cell.unfinished().into_iter().map(named).collect::<Vec<_>>()
        };
        self.cells.iter().enumerate().flat_map(of).collect()
    }

    pub fn jobs_done(&self) -> usize {
        self.cells.iter().map(World::jobs_done).sum()
    }

    /// How many jobs of a cell's limited team have begun, of how many.
    pub fn begun(&self, cell: usize) -> (usize, usize) {
        let counted = |j: &&StoredJob| {
            j.spec.team == TEAM && !j.always_fails && !matches!(j.state, JobState::Cancelled)
        };
        let jobs: Vec<&StoredJob> = self.cells[cell].jobs.values().filter(counted).collect();
        let begun = |j: &&&StoredJob| j.begun.is_some() || matches!(j.state, JobState::Done);
        (jobs.iter().filter(begun).count(), jobs.len())
    }

    /// CPUs of the shared team in use in all cells.
    pub fn total_used(&self) -> f64 {
        (0..self.cells.len()).map(|cell| self.used(cell)).sum()
    }

    fn record(&mut self, what: &'static str) {
        *self.occurrences.entry(what).or_default() += 1;
    }

    /// CPUs of the shared team that are in use in a cell.
    pub fn used(&self, cell: usize) -> f64 {
        self.cpus_of(cell, is_started)
    }

    /// CPUs that the tasks of the shared team in these phases take in a cell.
    fn cpus_of(&self, cell: usize, counts: impl Fn(TaskPhase) -> bool) -> f64 {
        let world = &self.cells[cell];
        let tasks = world.workers.values().flat_map(|w| &w.tasks).filter(|(_, t)| counts(t.phase));
        let jobs = tasks.filter_map(|((task, _), _)| world.jobs.get(&task.job));
        jobs.filter(|job| job.spec.team == TEAM).map(|job| job.spec.demand.cpus).sum()
    }

    pub fn step(&mut self) {
        self.now += self.size.step_ms;
        for i in 0..self.cells.len() {
            let elsewhere = || (0..self.cells.len()).filter(|other| *other != i);
            let is_live = |phase| !matches!(phase, TaskPhase::Ended(_));
            let used_elsewhere = elsewhere().map(|other| self.used(other)).sum();
            let claimed_elsewhere = elsewhere().map(|other| self.cpus_of(other, is_live)).sum();
            let cell = &mut self.cells[i];
            (cell.used_elsewhere, cell.claimed_elsewhere) = (used_elsewhere, claimed_elsewhere);
            // What came between two steps has its own revisions already.
            cell.revision = cell.revision.max(self.revision);
            cell.step();
            self.revision = cell.revision;
            self.violations.append(&mut self.cells[i].violations);
            for (what, times) in std::mem::take(&mut self.cells[i].occurrences) {
                *self.occurrences.entry(what).or_default() += times;
            }
            for shared in std::mem::take(&mut self.cells[i].shared_writes) {
                self.send(i, shared);
            }
            self.look(i);
        }
        self.deliver_due();
        self.check_limit();
    }

    fn check_limit(&mut self) {
        let used = self.total_used();
        self.most_used = self.most_used.max(used);
        if used > self.size.limited_team_cpus + CPU_TOLERANCE {
            let each: Vec<f64> = (0..self.cells.len()).map(|cell| self.used(cell)).collect();
            self.violations.push(format!("quota: {each:?} in use at {}", self.now));
        }
    }

    fn post(&mut self, delay: u64, msg: SharedMessage) {
        self.next_id += 1;
        self.queue.insert((self.now + delay, self.next_id), msg);
    }

    fn deliver_due(&mut self) {
        while let Some((&key, _)) = self.queue.first_key_value() {
            if key.0 > self.now {
                break;
            }
            match self.queue.remove(&key) {
                Some(SharedMessage::Write { cell, shared, response }) => {
                    self.carry_out(cell, shared, response);
                }
                Some(SharedMessage::Event { cell, origin, event }) => {
                    let world = &mut self.cells[cell];
                    world.revision = world.revision.max(self.revision);
                    world.deliver_event(origin, *event);
                    self.revision = world.revision;
                }
                None => {}
            }
        }
    }

    /// A leader looks at what is shared; now and then its watch has skipped what changed lately.
    fn look(&mut self, cell: usize) {
        if self.now < self.next_look[cell] {
            return;
        }
        self.next_look[cell] = self.now + LOOK_MS;
        let mut view = self.view();
        let troubled = self.size.fault_probability > 0.0 && self.now < self.size.fault_period_ms;
        if troubled && self.rng.random_bool(0.05) {
            view = LedgerSnapshot { revision: view.revision, ..self.old_view.clone() };
            self.record("watch skipped");
        } else {
            self.old_view = view.clone();
        }
        let world = &self.cells[cell];
        for n in 0..world.nodes.len() {
            let node = &world.nodes[n];
            if node.scheduler.is_none() || !world.awake(n) || !world.reaches_store(n) {
                continue;
            }
            let origin = Origin { node: n, run: node.run, token: node.token };
            let event = Box::new(Event::QuotaObserved(view.clone()));
            let slow = self.rng.random_bool(0.05);
            let delay = self.rng.random_range(1..if slow { 1_200 } else { 60 });
            self.post(delay, SharedMessage::Event { cell, origin, event });
            return;
        }
    }

    fn view(&self) -> LedgerSnapshot {
        let mut view = LedgerSnapshot { revision: self.revision, ..LedgerSnapshot::default() };
        for (team, (revision, text)) in &self.teams {
            let seen = StoredLedger { revision: *revision, ledger: TeamLedger::parse(text) };
            view.teams.insert(team.clone(), seen);
        }
        for (i, world) in self.cells.iter().enumerate().filter(|(_, w)| w.last_token > 0) {
            let lease = |ms: u64| if self.ignored == IgnoredCondition::Leases { 0 } else { ms };
            let record = CellRecord {
                cloud: name_of(i),
                leader_lease_ms: lease(LEADER_LEASE_MS),
                worker_lease_ms: lease(WORKER_LEASE_MS),
            };
            let presence = CellStatus {
                has_leader: world.leader.is_some(),
                term_revision: world.last_token,
                record: Some(record),
            };
            view.cells.insert(name_of(i), presence);
        }
        view
    }

    /// A write leaves a node: it may be slow, late, or lose its answer.
    fn send(&mut self, cell: usize, shared: SharedWrite) {
        let origin = shared.origin;
        let outcome = |outcome| {
            let event =
                Box::new(Event::LedgerWriteFinished { write: shared.write.clone(), outcome });
            SharedMessage::Event { cell, origin, event }
        };
        let troubled = self.size.fault_probability > 0.0 && self.now < self.size.fault_period_ms;
        let is_reached = self.cells[cell].reaches_store(origin.node);
        if !is_reached && self.rng.random_bool(0.5) {
            let refused = outcome(WriteOutcome::NotStored);
            self.post(20, refused);
            return;
        }
        let is_late = !is_reached || troubled && self.rng.random_bool(0.1);
        let is_lost = troubled && self.rng.random_bool(0.1);
        if is_late || is_lost {
            let unknown = outcome(WriteOutcome::Unknown);
            self.post(GIVEN_UP_MS, unknown);
            self.record(if is_late { "late write" } else { "lost answer" });
        }
        let delay = self.rng.random_range(if is_late { 2_000..20_000 } else { 1..60 });
        let response = Response::lost_if(is_late || is_lost);
        self.post(delay, SharedMessage::Write { cell, shared, response });
    }

    fn carry_out(&mut self, cell: usize, shared: SharedWrite, response: Response) {
        let SharedWrite { origin, write } = shared;
        let is_down = self.cells[cell].now < self.cells[cell].faults.store_down_until;
        let outcome = if !is_down && self.may_store(cell, origin.token, &write) {
            self.note(cell, &write);
            WriteOutcome::Stored(self.store(&write.team, &write.ledger))
        } else {
            WriteOutcome::NotStored
        };
        if outcome == WriteOutcome::NotStored {
            // Its sender looks again at once.
            self.next_look[cell] = self.now;
        }
        if response == Response::Arrives {
            let event = Box::new(Event::LedgerWriteFinished { write, outcome });
            self.post(5, SharedMessage::Event { cell, origin, event });
        }
    }

    fn store(&mut self, team: &str, ledger: &TeamLedger) -> u64 {
        self.revision += 1;
        self.writes += 1;
        let text = serde_json::to_string(ledger).unwrap();
        self.teams.insert(team.into(), (self.revision, text));
        self.revision
    }

    fn note(&mut self, cell: usize, write: &LedgerWrite) {
        if !write.dead.is_empty() {
            self.record("reclaimed");
        }
        let before = self.ledger().map_or(0, |l| l.allotted_to(&name_of(cell)).millicpus);
        let after = write.ledger.allotted_to(&name_of(cell)).millicpus;
        if before != after {
            self.record(if after > before { "taken" } else { "given back" });
        }
    }

    fn may_store(&mut self, cell: usize, token: u64, write: &LedgerWrite) -> bool {
        let revision = self.teams.get(&write.team).map_or(0, |(revision, _)| *revision);
        if revision != write.expected_revision {
            self.record("stale write refused");
            if self.ignored != IgnoredCondition::Revision {
                return false;
            }
        }
        if self.cells[cell].leader.map(|leader| leader.token) != Some(token) {
            self.record("deposed writer refused");
            if self.ignored != IgnoredCondition::Fence {
                return false;
            }
        }
        let is_dead = |dead: &DeadCell| {
            let found = (0..self.cells.len()).find(|i| name_of(*i) == dead.cell);
            let world = found.map(|i| &self.cells[i]);
            world.is_some_and(|w| w.leader.is_none() && w.last_token == dead.term_revision)
        };
        let are_dead = write.dead.iter().all(is_dead);
        if !are_dead {
            self.record("reclaim refused");
        }
        are_dead || self.ignored == IgnoredCondition::DeadCells
    }
}
