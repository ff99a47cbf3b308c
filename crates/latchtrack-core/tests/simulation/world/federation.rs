//! Several cells that share teams: each a world of its own, and one state service for what they
//! share.

mod shared_store;

use std::collections::BTreeMap;

use latchtrack_core::machine::TaskPhase;
use latchtrack_core::scheduler::Event;
use latchtrack_quota::{LedgerSnapshot, LedgerWrite, TeamLedger};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::faults::PlannedFault;
use super::guards::DisabledGuard;
use super::messages::{Origin, Response};
use super::size::Size;
use super::state::{is_started, JobState, StoredJob};
use super::{World, CPU_TOLERANCE};

/// ms between two reads of what is shared, by a leader.
const READ_INTERVAL_MS: u64 = 250;
/// ms after which a write without a response is given up.
const WRITE_TIMEOUT_MS: u64 = 2_000;
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
    /// None: all hold.
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

/// A message between a cell and the shared state service.
enum SharedMessage {
    /// A write under way.
    Write { cell: usize, shared: SharedWrite, response: Response },
    /// An event for a scheduler of the cell.
    Event { cell: usize, origin: Origin, event: Box<Event> },
}

/// Several cells and what they share.
pub struct Federation {
    /// The cells, each a world of its own.
    pub cells: Vec<World>,
    /// Rules that were broken, in any cell.
    pub violations: Vec<String>,
    /// How often faults and what they were to bring about came about.
    pub occurrences: BTreeMap<&'static str, u64>,
    /// Most CPUs of the shared limit in use at a time.
    pub max_used_cpus: f64,
    /// Writes of what is shared that committed.
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
    /// When the leader of each cell reads next, ms.
    next_read: Vec<u64>,
    /// What any cell read last, which a watch that skips changes shows again.
    last_snapshot: LedgerSnapshot,
}

/// The name of a cell.
fn cell_name(cell: usize) -> String {
    format!("cell-{cell}")
}

impl Federation {
    /// So many cells of one size, at a state service that may ignore a condition.
    pub fn new(seed: u64, cells: usize, size: Size, ignored: IgnoredCondition) -> Federation {
        let world = |i: usize| {
            let mut world = World::sized(seed * 31 + i as u64, DisabledGuard::None, size);
            world.cell = Some(cell_name(i));
            world
        };
        Federation {
            cells: (0..cells).map(world).collect(),
            violations: Vec::new(),
            occurrences: BTreeMap::new(),
            max_used_cpus: 0.0,
            writes: 0,
            rng: StdRng::seed_from_u64(seed),
            ignored,
            now: 1_000,
            size,
            revision: 10,
            teams: BTreeMap::new(),
            queue: BTreeMap::new(),
            next_id: 0,
            next_read: vec![0; cells],
            last_snapshot: LedgerSnapshot::default(),
        }
    }

    /// With faults at set times in some cells.
    pub fn with_planned_faults(
        mut self,
        cells: &[usize],
        plan: &[(u64, PlannedFault)],
    ) -> Federation {
        for cell in cells {
            self.cells[*cell].plan.extend_from_slice(plan);
        }
        self
    }

    /// With a stored value of the shared team.
    pub fn with_stored_ledger(mut self, text: &str) -> Federation {
        self.teams.insert(TEAM.into(), (1, text.to_string()));
        self
    }

    /// The stored text of the shared team's value.
    pub fn stored_text(&self) -> Option<&str> {
        self.teams.get(TEAM).map(|(_, text)| text.as_str())
    }

    /// The stored value disappears.
    pub fn delete_stored_ledger(&mut self) {
        self.teams.remove(TEAM);
        self.revision += 1;
        self.record_occurrence("value lost");
    }

    /// An operator changes the stored limit.
    pub fn set_limit(&mut self, cpus: f64) {
        let Some(mut ledger) = self.ledger() else { return };
        ledger.limit = latchtrack_quota::Limit::of(cpus, 0.0);
        self.store_ledger(TEAM, &ledger);
    }

    /// The stored value.
    pub fn ledger(&self) -> Option<TeamLedger> {
        TeamLedger::parse(self.stored_text()?).ok()
    }

    /// ms since the beginning.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Runs until its end, until a rule is broken, or until all work is done after the faults.
    pub fn run(&mut self) {
        while self.now < self.size.end_ms && self.violations.is_empty() {
            self.step();
            if self.now >= self.size.fault_period_ms && self.unfinished().is_empty() {
                break;
            }
        }
    }

    /// Open jobs of all cells.
    pub fn unfinished(&self) -> Vec<String> {
        let of = |(i, cell): (usize, &World)| {
            let named = move |id: String| format!("{}: {id}", cell_name(i));
            cell.unfinished().into_iter().map(named).collect::<Vec<_>>()
        };
        self.cells.iter().enumerate().flat_map(of).collect()
    }

    /// Jobs that are done, of all cells.
    pub fn jobs_done(&self) -> usize {
        self.cells.iter().map(World::jobs_done).sum()
    }

    /// How many jobs of a cell's limited team have begun, of how many.
    pub fn begun_jobs(&self, cell: usize) -> (usize, usize) {
        let counted = |j: &&StoredJob| {
            j.spec.team == TEAM && !j.always_fails && !matches!(j.state, JobState::Cancelled)
        };
        let jobs: Vec<&StoredJob> = self.cells[cell].jobs.values().filter(counted).collect();
        let begun = |j: &&&StoredJob| j.begun_at.is_some() || matches!(j.state, JobState::Done);
        (jobs.iter().filter(begun).count(), jobs.len())
    }

    /// CPUs of the shared team in use in all cells.
    pub fn total_used_cpus(&self) -> f64 {
        (0..self.cells.len()).map(|cell| self.used_cpus(cell)).sum()
    }

    fn record_occurrence(&mut self, what: &'static str) {
        *self.occurrences.entry(what).or_default() += 1;
    }

    /// CPUs of the shared team that are in use in a cell.
    pub fn used_cpus(&self, cell: usize) -> f64 {
        self.cpus_of(cell, is_started)
    }

    /// CPUs that the tasks of the shared team in these phases take in a cell.
    fn cpus_of(&self, cell: usize, counts: impl Fn(TaskPhase) -> bool) -> f64 {
        let world = &self.cells[cell];
        let tasks = world.workers.values().flat_map(|w| &w.tasks).filter(|(_, t)| counts(t.phase));
        let jobs = tasks.filter_map(|((task, _), _)| world.jobs.get(&task.job));
        jobs.filter(|job| job.spec.team == TEAM).map(|job| job.spec.demand.cpus).sum()
    }

    /// Lets time pass in all cells and at the state service.
    pub fn step(&mut self) {
        self.now += self.size.step_ms;
        for i in 0..self.cells.len() {
            let elsewhere = || (0..self.cells.len()).filter(|other| *other != i);
            let is_live = |phase| !matches!(phase, TaskPhase::Ended(_));
            let used_elsewhere = elsewhere().map(|other| self.used_cpus(other)).sum();
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
            self.read_ledgers(i);
        }
        self.deliver_due();
        self.check_limit();
    }

    fn check_limit(&mut self) {
        let used = self.total_used_cpus();
        self.max_used_cpus = self.max_used_cpus.max(used);
        if used > self.size.limited_team_cpus + CPU_TOLERANCE {
            let each: Vec<f64> = (0..self.cells.len()).map(|cell| self.used_cpus(cell)).collect();
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
                    self.execute_write(cell, shared, response);
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

    /// A leader reads what is shared; now and then its watch has skipped what changed lately.
    fn read_ledgers(&mut self, cell: usize) {
        if self.now < self.next_read[cell] {
            return;
        }
        self.next_read[cell] = self.now + READ_INTERVAL_MS;
        let mut snapshot = self.snapshot();
        let has_faults = self.size.fault_probability > 0.0 && self.now < self.size.fault_period_ms;
        if has_faults && self.rng.random_bool(0.05) {
            snapshot = LedgerSnapshot { revision: snapshot.revision, ..self.last_snapshot.clone() };
            self.record_occurrence("watch skipped");
        } else {
            self.last_snapshot = snapshot.clone();
        }
        let world = &self.cells[cell];
        for n in 0..world.nodes.len() {
            let node = &world.nodes[n];
            if node.scheduler.is_none() || !world.is_executing(n) || !world.reaches_store(n) {
                continue;
            }
            let origin = Origin { node: n, restarts: node.restarts, token: node.token };
            let event = Box::new(Event::QuotaObserved(snapshot.clone()));
            let slow = self.rng.random_bool(0.05);
            let delay = self.rng.random_range(1..if slow { 1_200 } else { 60 });
            self.post(delay, SharedMessage::Event { cell, origin, event });
            return;
        }
    }
}
