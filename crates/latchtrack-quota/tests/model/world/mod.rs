//! A model of two cells, a state service and running tasks, small enough for an exhaustive search.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

use latchtrack_quota::*;

use crate::common::{manager_of, millicpu_limit, millicpus};

mod events;
mod manager_steps;
mod writes;

const TEAM: &str = "team";
/// Size of a task, in thousandths of a CPU.
const TASK_MILLICPUS: u64 = 1_000;
/// Limit of the team, in thousandths of a CPU.
const LIMIT_MILLICPUS: u64 = 2_000;
/// Time in ms that a step of a manager takes.
const STEP_MS: Millis = 600;
/// Duration in ms of the leader lease and of the worker leases.
const LEASE_MS: Millis = 10_000;
/// Duration of a wait in ms, longer than both leases and all margins.
const WAIT_MS: Millis = 40_000;
/// Duration of a pause in ms, longer than the reclaim margin but shorter than a lease.
const PAUSE_MS: Millis = 5_000;

/// How many events of each kind may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub steps: u8,
    pub snapshots: u8,
    pub leader_losses: u8,
    pub waits: u8,
    /// Passages of time that are shorter than the leases.
    pub pauses: u8,
    /// Arrivals of work in the first cell.
    pub arrivals: u8,
    /// Responses that are lost; the write in question may still be executed later.
    pub lost_responses: u8,
}

/// A safety condition that a test may disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Guard {
    /// A write is stored only if the ledger has the expected revision.
    Revision,
    /// A write whose response is lost counts as possibly stored.
    UnknownOutcome,
    /// Resources in use are not returned.
    KeepUsed,
    /// Launch limits are lowered before a write is sent.
    LoweredBeforeSend,
    /// Nothing is returned before the machines are reconciled.
    Reconciled,
    /// A write is stored only if the writer still leads its cell.
    Fence,
    /// A cell counts as dead only after its leases have expired.
    Leases,
    /// A write that drops an allotment is stored only if that cell is still dead.
    StillDead,
    /// Allotments are raised only after all cells have recorded their usage.
    Complete,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingWrite {
    write: LedgerWrite,
    term: u64,
    /// Whether the response is lost, so that the sender never learns the actual outcome.
    is_response_lost: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Cell {
    manager: Option<AllotmentManager>,
    /// Launch limit that the cell applies, in thousandths of a CPU.
    launch_limit: u64,
    has_leader: bool,
    term: u64,
    running: u64,
    waiting: u64,
    /// Number of running tasks that the leader knows.
    known_running: u64,
    writes: Vec<PendingWrite>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    budget: Budget,
    disabled_guard: Option<Guard>,
    now: Millis,
    revision: u64,
    ledger: Option<(u64, TeamLedger)>,
    cells: [Cell; 2],
}

/// A state and the action that led to it. The action is ignored when states are compared.
#[derive(Clone, Debug)]
pub struct World {
    state: Rc<State>,
    pub last_action: Rc<str>,
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

const CELL_NAMES: [&str; 2] = ["east", "west"];

fn limit() -> Limit {
    millicpu_limit(LIMIT_MILLICPUS)
}

fn manager(cell: &str, term: u64) -> AllotmentManager {
    let quota = TeamQuota { limit: limit(), guarantee: MilliResources::ZERO };
    manager_of(cell, term, &[(TEAM, quota)])
}

impl World {
    fn new(budget: Budget, disabled_guard: Option<Guard>, running: [u64; 2]) -> World {
        let cell = |i: usize| Cell {
            manager: Some(manager(CELL_NAMES[i], i as u64 + 1)),
            launch_limit: 0,
            has_leader: true,
            term: i as u64 + 1,
            running: running[i],
            waiting: 2,
            known_running: running[i],
            writes: Vec::new(),
        };
        let cells = [cell(0), cell(1)];
        let state = State { budget, disabled_guard, now: 1_000, revision: 10, ledger: None, cells };
        World { state: Rc::new(state), last_action: "start".into() }
    }

    /// East holds the whole limit and uses half of it. Work waits in both cells.
    pub fn east_holds_the_limit(budget: Budget, disabled_guard: Option<Guard>) -> World {
        let mut world = World::new(budget, disabled_guard, [1, 0]);
        let mut ledger = TeamLedger::new(limit(), MilliResources::ZERO);
        ledger.complete = true;
        let allotment = Allotment { amount: millicpus(LIMIT_MILLICPUS), ..Allotment::default() };
        ledger.allotments.insert("east".into(), allotment);
        let request = Request {
            number: 0,
            need: millicpus(TASK_MILLICPUS),
            want: millicpus(LIMIT_MILLICPUS),
        };
        let allotment = Allotment { request: Some(request), ..Allotment::default() };
        ledger.allotments.insert("west".into(), allotment);
        ledger.next_request_number = 1;
        world.ledger = Some((10, ledger));
        world
    }

    /// Nothing is allotted, and work waits in both cells.
    pub fn nothing_is_allotted(budget: Budget, disabled_guard: Option<Guard>) -> World {
        let mut world = World::new(budget, disabled_guard, [0, 0]);
        let mut ledger = TeamLedger::new(limit(), MilliResources::ZERO);
        ledger.complete = true;
        world.ledger = Some((10, ledger));
        world
    }

    /// East holds the whole limit, but has neither running nor waiting tasks.
    pub fn east_is_idle(budget: Budget, disabled_guard: Option<Guard>) -> World {
        let mut world = World::east_holds_the_limit(budget, disabled_guard);
        world.cells[0].waiting = 0;
        (world.cells[0].running, world.cells[0].known_running) = (0, 0);
        let allotment = Allotment { amount: millicpus(LIMIT_MILLICPUS), ..Allotment::default() };
        let allotments = world.ledger.as_mut().map(|(_, ledger)| &mut ledger.allotments);
        if let Some(allotments) = allotments {
            *allotments = BTreeMap::from([("east".to_string(), allotment)]);
        }
        world
    }

    /// The ledger was lost while each cell ran a task.
    pub fn ledger_lost(budget: Budget, disabled_guard: Option<Guard>) -> World {
        World::new(budget, disabled_guard, [1, 1])
    }

    /// Whether the running tasks exceed the limit.
    pub fn exceeds_limit(&self) -> bool {
        self.cells.iter().map(|cell| cell.running * TASK_MILLICPUS).sum::<u64>() > LIMIT_MILLICPUS
    }

    /// Returns all possible next states; none if this state exceeds the limit.
    pub fn successors(&self) -> Vec<World> {
        if self.exceeds_limit() {
            return Vec::new();
        }
        let mut out = Vec::new();
        for i in 0..self.cells.len() {
            out.extend(self.read_snapshot(i));
            out.extend(self.step(i));
            out.extend(self.start_task(i));
            out.extend(self.end_task(i));
            out.extend(self.lose_leader(i));
            out.extend(self.elect_leader(i));
            for n in 0..self.cells[i].writes.len() {
                out.push(self.execute_write(i, n));
                out.extend(self.lose_response(i, n));
            }
        }
        out.extend(self.wait());
        out.extend(self.pause());
        out.extend(self.add_work());
        out
    }

    fn after_action(&self, action: String) -> World {
        World { state: self.state.clone(), last_action: action.into() }
    }
}
