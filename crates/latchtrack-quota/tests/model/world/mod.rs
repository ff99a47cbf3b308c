//! Two cells, a state service and running tasks, small enough to be searched.

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
/// Thousandths that one task takes, and that the team may use.
const TASK_MILLICPUS: u64 = 1_000;
const LIMIT_MILLICPUS: u64 = 2_000;
/// ms between two actions of a cell, and a wait beyond all leases and margins.
const STEP_MS: Millis = 600;
const LEASE_MS: Millis = 10_000;
const WAIT_MS: Millis = 40_000;
/// ms of a pause, beyond the margin alone.
const PAUSE_MS: Millis = 5_000;

/// How often each kind of event may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub steps: u8,
    pub snapshots: u8,
    pub leader_losses: u8,
    pub waits: u8,
    /// Times that some time passes, less than the leases.
    pub pauses: u8,
    /// Times that jobs arrive in the first cell.
    pub arrivals: u8,
    /// Writes that get no answer, and may be carried out later.
    pub lost_responses: u8,
}

/// A guard that a test may remove.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Guard {
    /// The ledger must have the revision that was read.
    Revision,
    /// A write without an answer may still be carried out.
    UnknownOutcome,
    /// What is used is not given back.
    KeepUsed,
    /// Launch limits are lowered before the write is sent.
    LoweredBeforeSend,
    /// Nothing is given back before the machines are reconciled.
    Reconciled,
    /// The writer must still lead its cell.
    Fence,
    /// A dead cell's leases must have expired.
    Leases,
    /// A dead cell must still be dead when its allotment is dropped.
    StillDead,
    /// All cells must have recorded their usage.
    Complete,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingWrite {
    write: LedgerWrite,
    term: u64,
    /// Its sender has got no answer, and waits for none.
    is_response_lost: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Cell {
    manager: Option<AllotmentManager>,
    /// The launch limit by which it launches.
    launch_limit: u64,
    has_leader: bool,
    term: u64,
    running: u64,
    waiting: u64,
    /// Running tasks of which its leader knows.
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

/// A state, and the action that led to it, which is no difference between states.
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

    /// East holds the whole limit and uses half of it; both have work waiting.
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

    /// Nothing is allotted, and both have work waiting.
    pub fn nothing_is_allotted(budget: Budget, disabled_guard: Option<Guard>) -> World {
        let mut world = World::new(budget, disabled_guard, [0, 0]);
        let mut ledger = TeamLedger::new(limit(), MilliResources::ZERO);
        ledger.complete = true;
        world.ledger = Some((10, ledger));
        world
    }

    /// East holds the whole limit and has nothing to do.
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

    /// Whether more runs than the limit allows.
    pub fn exceeds_limit(&self) -> bool {
        self.cells.iter().map(|cell| cell.running * TASK_MILLICPUS).sum::<u64>() > LIMIT_MILLICPUS
    }

    /// All that may happen next.
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
