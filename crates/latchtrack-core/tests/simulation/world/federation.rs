//! A federation: several cells, each a world with its own state service, and a shared state service
//! with the quota ledgers of their teams.

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

/// Time between two reads of the ledgers by a cell's leader, ms.
const READ_INTERVAL_MS: u64 = 250;
/// Time after which a node gives up on a ledger write without a response, ms.
const WRITE_TIMEOUT_MS: u64 = 2_000;
/// The team whose limit all cells share.
pub const TEAM: &str = "limited";

/// A ledger write and the leader that sends it.
pub(super) struct SharedWrite {
    pub origin: Origin,
    pub write: LedgerWrite,
}

/// The condition of ledger writes that the shared state service ignores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IgnoredCondition {
    /// All conditions are checked.
    Nothing,
    /// That the ledger still has the expected revision.
    Revision,
    /// That the writer still holds its cell's leader key.
    Fence,
    /// That the cells to be reclaimed still have no leader since the named term.
    DeadCells,
    /// The lease durations in the records of the cells, which read as 0.
    Leases,
}

/// A message between a cell and the shared state service.
enum SharedMessage {
    /// A ledger write of a cell.
    Write { cell: usize, shared: SharedWrite, response: Response },
    /// An event for a scheduler of a cell.
    Event { cell: usize, origin: Origin, event: Box<Event> },
}

/// Several cells that share the limit of [`TEAM`].
pub struct Federation {
    /// The cells, each of them a world.
    pub cells: Vec<World>,
    /// The violations of rules in all cells, each starting with the rule's name.
    pub violations: Vec<String>,
    /// How often each fault, or situation that a fault is to cause, occurred in all cells.
    pub occurrences: BTreeMap<&'static str, u64>,
    /// Most CPUs of [`TEAM`] that were in use at once in all cells.
    pub max_used_cpus: f64,
    /// Number of committed ledger writes.
    pub writes: u64,
    rng: StdRng,
    ignored: IgnoredCondition,
    now: u64,
    size: Size,
    /// The latest revision, common to all cells so that tokens and revisions can be compared.
    revision: u64,
    /// The revision and stored text of each team's ledger.
    teams: BTreeMap<String, (u64, String)>,
    queue: BTreeMap<(u64, u64), SharedMessage>,
    next_id: u64,
    /// When the leader of each cell next reads the ledgers, ms.
    next_read: Vec<u64>,
    /// The last snapshot that any cell read; a watch that skips changes returns it again.
    last_snapshot: LedgerSnapshot,
}

/// The name of a cell.
fn cell_name(cell: usize) -> String {
    format!("cell-{cell}")
}

impl Federation {
    /// Creates `cells` cells of one size and a shared state service that may ignore a condition.
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

    /// Adds planned faults, each with its time in ms, to some cells.
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

    /// Stores a text, valid or not, as the ledger of [`TEAM`].
    pub fn with_stored_ledger(mut self, text: &str) -> Federation {
        self.teams.insert(TEAM.into(), (1, text.to_string()));
        self
    }

    /// The stored text of the ledger of [`TEAM`].
    pub fn stored_text(&self) -> Option<&str> {
        self.teams.get(TEAM).map(|(_, text)| text.as_str())
    }

    /// Deletes the stored ledger of [`TEAM`].
    pub fn delete_stored_ledger(&mut self) {
        self.teams.remove(TEAM);
        self.revision += 1;
        self.record_occurrence("ledger lost");
    }

    /// Changes the limit in the stored ledger, as an operator would. Does nothing if the ledger is
    /// missing or unreadable.
    pub fn set_limit(&mut self, cpus: f64) {
        let Some(mut ledger) = self.ledger() else { return };
        ledger.limit = latchtrack_quota::Limit::of(cpus, 0.0);
        self.store_ledger(TEAM, &ledger);
    }

    /// The ledger of [`TEAM`], or `None` if it is missing or unreadable.
    pub fn ledger(&self) -> Option<TeamLedger> {
        TeamLedger::parse(self.stored_text()?).ok()
    }

    /// The time, ms.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Runs until the end time or the first violation, or, after the fault period, until all jobs
    /// have finished.
    pub fn run(&mut self) {
        while self.now < self.size.end_ms && self.violations.is_empty() {
            self.step();
            if self.now >= self.size.fault_period_ms && self.unfinished().is_empty() {
                break;
            }
        }
    }

    /// The open jobs of all cells that can finish, each with its cell's name.
    pub fn unfinished(&self) -> Vec<String> {
        let of = |(i, cell): (usize, &World)| {
            let named = move |id: String| format!("{}: {id}", cell_name(i));
            cell.unfinished().into_iter().map(named).collect::<Vec<_>>()
        };
        self.cells.iter().enumerate().flat_map(of).collect()
    }

    /// Number of done jobs in all cells.
    pub fn jobs_done(&self) -> usize {
        self.cells.iter().map(World::jobs_done).sum()
    }

    /// How many jobs of [`TEAM`] have started in a cell, and how many there are, without cancelled
    /// and broken ones.
    pub fn started_jobs(&self, cell: usize) -> (usize, usize) {
        let counted = |j: &&StoredJob| {
            j.spec.team == TEAM && !j.always_fails && !matches!(j.state, JobState::Cancelled)
        };
        let jobs: Vec<&StoredJob> = self.cells[cell].jobs.values().filter(counted).collect();
        let has_started =
            |j: &&&StoredJob| j.started_at.is_some() || matches!(j.state, JobState::Done);
        (jobs.iter().filter(has_started).count(), jobs.len())
    }

    /// CPUs that [`TEAM`] uses in all cells.
    pub fn total_used_cpus(&self) -> f64 {
        (0..self.cells.len()).map(|cell| self.used_cpus(cell)).sum()
    }

    fn record_occurrence(&mut self, what: &'static str) {
        *self.occurrences.entry(what).or_default() += 1;
    }

    /// CPUs of the started tasks of [`TEAM`] in a cell.
    pub fn used_cpus(&self, cell: usize) -> f64 {
        self.cpus_of(cell, is_started)
    }

    /// CPUs of the tasks of [`TEAM`] in a cell whose phase `counts`.
    fn cpus_of(&self, cell: usize, counts: impl Fn(TaskPhase) -> bool) -> f64 {
        let world = &self.cells[cell];
        let tasks = world.workers.values().flat_map(|w| &w.tasks).filter(|(_, t)| counts(t.phase));
        let jobs = tasks.filter_map(|((task, _), _)| world.jobs.get(&task.job));
        jobs.filter(|job| job.spec.team == TEAM).map(|job| job.spec.demand.cpus).sum()
    }

    /// Advances all cells and the shared state service by one step.
    pub fn step(&mut self) {
        self.now += self.size.step_ms;
        for i in 0..self.cells.len() {
            let elsewhere = || (0..self.cells.len()).filter(|other| *other != i);
            let is_live = |phase| !matches!(phase, TaskPhase::Ended(_));
            let used_elsewhere = elsewhere().map(|other| self.used_cpus(other)).sum();
            let claimed_elsewhere = elsewhere().map(|other| self.cpus_of(other, is_live)).sum();
            let cell = &mut self.cells[i];
            (cell.used_elsewhere, cell.claimed_elsewhere) = (used_elsewhere, claimed_elsewhere);
            // Ledger writes since the cell's last step have advanced the common revision.
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
            self.violations.push(format!("quota: {each:?} CPUs in use at {}", self.now));
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

    /// Sends a snapshot of the ledgers to a cell's leader if a read is due. Sometimes its watch has
    /// skipped the latest changes.
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
