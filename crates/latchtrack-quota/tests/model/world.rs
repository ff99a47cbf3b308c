//! Two cells, a state service and what runs, small enough to be searched.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

use latchtrack_quota::*;

const TEAM: &str = "team";
/// Thousandths that one task takes, and that the team may use.
const TASK: u64 = 1_000;
const LIMIT: u64 = 2_000;
/// ms between two actions of a cell, and a wait beyond all leases and margins.
const STEP_MS: Millis = 600;
const LEASE_MS: Millis = 10_000;
const WAIT_MS: Millis = 40_000;
/// ms of a pause, beyond the margin alone.
const PAUSE_MS: Millis = 5_000;

/// How often each thing may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub steps: u8,
    pub looks: u8,
    pub crashes: u8,
    pub waits: u8,
    /// Times that something passes, less than the leases.
    pub pauses: u8,
    /// Times that work arrives in the first cell.
    pub arrivals: u8,
    /// Writes that get no answer and may be carried out later.
    pub late: u8,
}

/// A guard that is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Guard {
    /// The value must have the revision that was read.
    Revision,
    /// A write without an answer may still be carried out.
    UnknownOutcome,
    /// What runs is not given back.
    Used,
    /// Launch limits are lowered before the write is sent.
    LoweredFirst,
    /// Nothing is given back while it is not known what runs.
    Settled,
    /// The writer must still lead its cell.
    Fence,
    /// Leases are waited for.
    Leases,
    /// A dead cell must still be dead when its allotment is dropped.
    DeadStill,
    /// All cells must have entered what they run.
    Complete,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    write: LedgerWrite,
    term: u64,
    /// Its sender has given up waiting.
    is_given_up: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Cell {
    manager: Option<AllotmentManager>,
    /// The launch limit by which it launches.
    launch: u64,
    has_leader: bool,
    term: u64,
    running: u64,
    waiting: u64,
    /// Tasks of which its leader knows.
    counted: u64,
    writes: Vec<Write>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    budget: Budget,
    removed: Option<Guard>,
    now: Millis,
    revision: u64,
    value: Option<(u64, TeamLedger)>,
    cells: [Cell; 2],
}

/// A state, and the action that led to it, by which states do not differ.
#[derive(Clone, Debug)]
pub struct World {
    state: Rc<State>,
    pub last: Rc<str>,
}

impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        self.state == other.state
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

impl Deref for World {
    type Target = State;
    fn deref(&self) -> &State {
        &self.state
    }
}

impl DerefMut for World {
    fn deref_mut(&mut self) -> &mut State {
        Rc::make_mut(&mut self.state)
    }
}

const NAMES: [&str; 2] = ["east", "west"];

fn amounts(millicpus: u64) -> MilliResources {
    MilliResources { millicpus, milligpus: 0 }
}

fn limit() -> Limit {
    Limit { millicpus: Some(LIMIT), milligpus: None }
}

fn manager(cell: &str, term: u64) -> AllotmentManager {
    let terms = TeamQuota { limit: limit(), guarantee: MilliResources::NONE };
    AllotmentManager::new(AllotmentManagerSettings {
        cell: cell.into(),
        term,
        teams: BTreeMap::from([(TEAM.to_string(), terms)]),
    })
}

impl World {
    fn with(budget: Budget, removed: Option<Guard>, running: [u64; 2]) -> World {
        let cell = |i: usize| Cell {
            manager: Some(manager(NAMES[i], i as u64 + 1)),
            launch: 0,
            has_leader: true,
            term: i as u64 + 1,
            running: running[i],
            waiting: 2,
            counted: running[i],
            writes: Vec::new(),
        };
        let cells = [cell(0), cell(1)];
        let state = State { budget, removed, now: 1_000, revision: 10, value: None, cells };
        World { state: Rc::new(state), last: "start".into() }
    }

    /// East holds the whole limit and uses half of it; both have work waiting.
    pub fn east_holds_all(budget: Budget, removed: Option<Guard>) -> World {
        let mut world = World::with(budget, removed, [1, 0]);
        let mut ledger = TeamLedger::new(limit(), MilliResources::NONE);
        ledger.complete = true;
        let allotment = Allotment { amount: amounts(LIMIT), ..Allotment::default() };
        ledger.allotments.insert("east".into(), allotment);
        let request = Request { number: 0, need: amounts(TASK), want: amounts(LIMIT) };
        let allotment = Allotment { request: Some(request), ..Allotment::default() };
        ledger.allotments.insert("west".into(), allotment);
        ledger.next_request_number = 1;
        world.value = Some((10, ledger));
        world
    }

    /// Nothing is allotted, and both have work waiting.
    pub fn all_is_free(budget: Budget, removed: Option<Guard>) -> World {
        let mut world = World::with(budget, removed, [0, 0]);
        let mut ledger = TeamLedger::new(limit(), MilliResources::NONE);
        ledger.complete = true;
        world.value = Some((10, ledger));
        world
    }

    /// East holds the whole limit and has nothing to do.
    pub fn east_is_idle(budget: Budget, removed: Option<Guard>) -> World {
        let mut world = World::east_holds_all(budget, removed);
        world.cells[0].waiting = 0;
        (world.cells[0].running, world.cells[0].counted) = (0, 0);
        let allotment = Allotment { amount: amounts(LIMIT), ..Allotment::default() };
        let value = world.value.as_mut().map(|(_, ledger)| &mut ledger.allotments);
        if let Some(cells) = value {
            *cells = BTreeMap::from([("east".to_string(), allotment)]);
        }
        world
    }

    /// The value was lost while each cell ran a task.
    pub fn value_lost(budget: Budget, removed: Option<Guard>) -> World {
        World::with(budget, removed, [1, 1])
    }

    /// Whether more runs than the limit allows.
    pub fn is_overshot(&self) -> bool {
        self.cells.iter().map(|cell| cell.running * TASK).sum::<u64>() > LIMIT
    }

    /// All that may happen next.
    pub fn successors(&self) -> Vec<World> {
        if self.is_overshot() {
            return Vec::new();
        }
        let mut out = Vec::new();
        for i in 0..self.cells.len() {
            out.extend(self.look(i));
            out.extend(self.step(i));
            out.extend(self.start(i));
            out.extend(self.end(i));
            out.extend(self.crash(i));
            out.extend(self.elect(i));
            for n in 0..self.cells[i].writes.len() {
                out.push(self.carry_out(i, n));
                out.extend(self.give_up(i, n));
            }
        }
        out.extend(self.wait());
        out.extend(self.pause());
        out.extend(self.arrive());
        out
    }

    /// Some time passes, less than the leases.
    fn pause(&self) -> Option<World> {
        let mut next = self.after("a pause".into());
        next.budget.pauses = self.budget.pauses.checked_sub(1)?;
        next.now += PAUSE_MS;
        Some(next)
    }

    /// Work arrives in the east.
    fn arrive(&self) -> Option<World> {
        let mut next = self.after("work arrives in east".into());
        next.budget.arrivals = self.budget.arrivals.checked_sub(1)?;
        next.cells[0].waiting += 2;
        Some(next)
    }

    fn after(&self, what: String) -> World {
        World { state: self.state.clone(), last: what.into() }
    }

    fn snapshot(&self) -> LedgerSnapshot {
        let mut snapshot = LedgerSnapshot { revision: self.revision, ..LedgerSnapshot::default() };
        if let Some((revision, ledger)) = &self.value {
            let mut ledger = ledger.clone();
            ledger.complete |= self.removed == Some(Guard::Complete);
            let seen = StoredLedger { revision: *revision, ledger: Ok(ledger) };
            snapshot.teams.insert(TEAM.into(), seen);
        }
        let lease_ms = if self.removed == Some(Guard::Leases) { 0 } else { LEASE_MS };
        for (name, cell) in NAMES.iter().zip(&self.cells) {
            let record = CellRecord {
                cloud: name.to_string(),
                leader_lease_ms: lease_ms,
                worker_lease_ms: lease_ms,
            };
            let presence = CellStatus {
                has_leader: cell.has_leader,
                term_revision: cell.term,
                record: Some(record),
            };
            snapshot.cells.insert(name.to_string(), presence);
        }
        snapshot
    }

    /// A cell looks at the state service.
    fn look(&self, i: usize) -> Option<World> {
        if self.budget.looks == 0 {
            return None;
        }
        let mut next = self.after(format!("{} looks", NAMES[i]));
        next.budget.looks -= 1;
        let (now, snapshot) = (next.now, next.snapshot());
        next.cells[i].manager.as_mut()?.observe(now, snapshot);
        next.take_launch_limit(i);
        Some(next)
    }

    fn take_launch_limit(&mut self, i: usize) {
        let cell = &mut self.cells[i];
        // What is logged tells no two states apart.
        cell.manager.as_mut().map(AllotmentManager::take_notices);
        let manager = cell.manager.as_ref();
        let limit = manager.and_then(|manager| manager.launch_limit(TEAM)?.millicpus);
        cell.launch = limit.unwrap_or(0);
    }

    /// A cell decides what to write.
    fn step(&self, i: usize) -> Option<World> {
        if self.budget.steps == 0 {
            return None;
        }
        let mut next = self.after(format!("{} steps", NAMES[i]));
        next.budget.steps -= 1;
        next.now += STEP_MS;
        let now = next.now;
        let removed = next.removed;
        let cell = &mut next.cells[i];
        let is_known = cell.counted == cell.running;
        let used = if removed == Some(Guard::Used) { 0 } else { cell.counted * TASK };
        let usage = LocalUsage {
            is_reconciled: is_known || removed == Some(Guard::Settled),
            used: amounts(used),
            waiting: amounts(cell.waiting * TASK),
            next_start: amounts(TASK),
            started: MilliResources::NONE,
        };
        let uses = BTreeMap::from([(TEAM.to_string(), usage)]);
        let writes = cell.manager.as_mut()?.step(now, &uses);
        let term = cell.term;
        let sent = writes.into_iter().map(|write| Write { write, term, is_given_up: false });
        cell.writes.extend(sent);
        let launch = next.cells[i].launch;
        next.take_launch_limit(i);
        if removed == Some(Guard::LoweredFirst) {
            next.cells[i].launch = launch;
        }
        Some(next)
    }

    /// A cell starts a task, if its launch limit allows.
    fn start(&self, i: usize) -> Option<World> {
        let cell = &self.cells[i];
        let room = cell.has_leader && (cell.counted + 1) * TASK <= cell.launch;
        if cell.manager.is_none() || cell.waiting == 0 || !room || cell.counted != cell.running {
            return None;
        }
        let mut next = self.after(format!("{} starts a task", NAMES[i]));
        let cell = &mut next.cells[i];
        cell.waiting -= 1;
        cell.running += 1;
        cell.counted += 1;
        Some(next)
    }

    /// A task ends, if its leader knows of it.
    fn end(&self, i: usize) -> Option<World> {
        let cell = &self.cells[i];
        if cell.running == 0 || cell.counted != cell.running || !cell.has_leader {
            return None;
        }
        let mut next = self.after(format!("a task of {} ends", NAMES[i]));
        next.cells[i].running -= 1;
        next.cells[i].counted -= 1;
        Some(next)
    }

    /// The leader of a cell dies, or its lease ends.
    fn crash(&self, i: usize) -> Option<World> {
        if self.budget.crashes == 0 || !self.cells[i].has_leader {
            return None;
        }
        let mut next = self.after(format!("{} loses its leader", NAMES[i]));
        next.budget.crashes -= 1;
        next.revision += 1;
        let cell = &mut next.cells[i];
        (cell.has_leader, cell.manager) = (false, None);
        Some(next)
    }

    /// Another leads, and does not know at first what runs.
    fn elect(&self, i: usize) -> Option<World> {
        if self.cells[i].has_leader {
            return None;
        }
        let mut next = self.after(format!("{} has a new leader", NAMES[i]));
        next.revision += 1;
        let term = next.revision;
        let cell = &mut next.cells[i];
        (cell.has_leader, cell.term, cell.launch, cell.counted) = (true, term, 0, 0);
        cell.manager = Some(manager(NAMES[i], term));
        Some(next)
    }

    /// Leases run out: those of the workers of a cell that nobody leads. Leaders learn what runs.
    fn wait(&self) -> Option<World> {
        if self.budget.waits == 0 && self.cells.iter().all(|cell| cell.counted == cell.running) {
            return None;
        }
        let mut next = self.after("time passes".into());
        if self.budget.waits > 0 {
            next.budget.waits -= 1;
            next.now += WAIT_MS;
            for cell in next.cells.iter_mut().filter(|cell| !cell.has_leader) {
                cell.running = 0;
            }
        }
        for cell in next.cells.iter_mut().filter(|cell| cell.has_leader) {
            cell.counted = cell.running;
        }
        Some(next)
    }

    /// A write arrives at the state service.
    fn carry_out(&self, i: usize, n: usize) -> World {
        let mut next = self.after(format!("a write of {} is carried out", NAMES[i]));
        let write = next.cells[i].writes.remove(n);
        let is_stored = next.may_store(i, &write);
        if is_stored {
            next.revision += 1;
            next.value = Some((next.revision, write.write.ledger.clone()));
        }
        let outcome = match is_stored {
            true => WriteOutcome::Stored(next.revision),
            false => WriteOutcome::NotStored,
        };
        if !write.is_given_up {
            next.answer(i, &write, outcome);
        }
        next
    }

    fn may_store(&self, i: usize, write: &Write) -> bool {
        let removed = |guard: Guard| self.removed == Some(guard);
        let revision = self.value.as_ref().map_or(0, |(revision, _)| *revision);
        let is_fenced = self.cells[i].has_leader && self.cells[i].term == write.term;
        let are_dead = write.write.dead.iter().all(|dead| {
            let cell = &self.cells[NAMES.iter().position(|name| *name == dead.cell).unwrap()];
            !cell.has_leader && cell.term == dead.term_revision
        });
        (revision == write.write.expected_revision || removed(Guard::Revision))
            && (is_fenced || removed(Guard::Fence))
            && (are_dead || removed(Guard::DeadStill))
    }

    fn answer(&mut self, i: usize, write: &Write, outcome: WriteOutcome) {
        let now = self.now;
        if self.cells[i].term != write.term {
            return;
        }
        if let Some(manager) = self.cells[i].manager.as_mut() {
            manager.handle_write_outcome(now, &write.write, outcome);
            self.take_launch_limit(i);
        }
    }

    /// The sender of a write hears nothing; it may be carried out later.
    fn give_up(&self, i: usize, n: usize) -> Option<World> {
        if self.budget.late == 0 || self.cells[i].writes[n].is_given_up {
            return None;
        }
        let mut next = self.after(format!("a write of {} gets no answer", NAMES[i]));
        next.budget.late -= 1;
        next.cells[i].writes[n].is_given_up = true;
        let write = next.cells[i].writes[n].clone();
        let outcome = match next.removed {
            Some(Guard::UnknownOutcome) => WriteOutcome::NotStored,
            _ => WriteOutcome::Unknown,
        };
        next.answer(i, &write, outcome);
        Some(next)
    }
}
