//! Which running tasks should move, and where: a greedy plan, pool by pool.
//!
//! The most loaded machine over its bound gives the task that costs least to the least loaded machine of the
//! pool, until no machine is over its bound, nothing that may move improves anything, or the budget is used
//! up. Every move of a plan leaves its source and its targets below what the source carried before, so a plan
//! never raises the greatest load.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use crate::constants::{MAX_TARGETS_COMPARED, ROUNDING};
use crate::moves::{MoveUnit, TaskMove};
use crate::resources::Resources;
use crate::spread::Spread;
use crate::Millis;

/// A machine, as far as its load is concerned.
#[derive(Clone, Debug)]
pub struct MachineLoad {
    /// Its name.
    pub name: Arc<str>,
    /// Machines of one pool are alike in all that a job may ask for: see [`crate::spread`].
    pub pool: u32,
    /// What it has.
    pub capacity: Resources,
    /// What its tasks use and what is reserved on it, without what is about to leave.
    pub used: Resources,
    /// Whether tasks may move to it.
    pub may_receive: bool,
    /// Whether tasks may move from it.
    pub may_give: bool,
    /// Whether it is to be relieved if it is over the bound.
    pub may_be_relieved: bool,
}

impl MachineLoad {
    /// Its load, if its amounts make sense.
    pub fn load(&self) -> Option<f64> {
        let valid = self.used.is_valid() && self.capacity.is_valid();
        valid.then(|| self.used.dominant_share(&self.capacity)).filter(|load| load.is_finite())
    }
}

/// A running task, or the running tasks of a gang.
#[derive(Clone, Debug)]
pub struct Movable {
    /// What would move.
    pub unit: MoveUnit,
    /// Each task with the index of its machine in the input.
    pub tasks: Vec<(u32, usize)>,
    /// What one task takes.
    pub demand: Resources,
    /// s that a task takes to save.
    pub save_s: f64,
    /// s that the move takes in all.
    pub cost_s: f64,
    /// s that it has still to run, as far as its owner's estimate tells.
    pub remaining_s: f64,
    /// ms for which all of it has been seen to run.
    pub ran_ms: Millis,
}

/// What a plan is made from.
#[derive(Clone, Debug, Default)]
pub struct PlanInput {
    /// All machines.
    pub machines: Vec<MachineLoad>,
    /// What may move.
    pub movables: Vec<Movable>,
    /// Moves that may begin.
    pub budget: usize,
    /// Times its cost that the remaining run time must be.
    pub worth_factor: f64,
    /// A machine takes part in one move of the plan at most.
    pub once_per_machine: bool,
}

/// A move that should begin.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedMove {
    /// What is to move.
    pub unit: MoveUnit,
    /// Each of its tasks.
    pub task_moves: Vec<TaskMove>,
    /// s that its tasks take to save.
    pub save_s: f64,
    /// The load of its busiest source, in parts of a machine.
    pub load: f64,
    /// The bound that the source is over.
    pub bound: f64,
}

/// The moves that should begin, and what it took to find them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The moves that should begin.
    pub moves: Vec<PlannedMove>,
    /// Machines and tasks looked at.
    pub steps: u64,
}

/// Loads that are compared as numbers and told apart by their machine.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LoadKey {
    load: f64,
    machine: usize,
}

impl Eq for LoadKey {}

impl PartialOrd for LoadKey {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for LoadKey {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.load.total_cmp(&other.load).then(self.machine.cmp(&other.machine))
    }
}

/// Machines over their bound, by index in the input, with the load and the bound: those that have a task
/// which may move, and carry more than the bound allows beside the smallest such task.
pub fn over_bound(input: &PlanInput) -> BTreeMap<usize, (f64, f64)> {
    let mut planner = Planner::new(input);
    let mut over = BTreeMap::new();
    for machine in 0..input.machines.len() {
        let candidates = planner.movables_on(machine);
        let shares = candidates.iter().map(|i| planner.share(*i, machine));
        let smallest = shares.fold(f64::INFINITY, f64::min);
        if !smallest.is_finite() {
            continue;
        }
        let bound = planner.bound(machine, smallest);
        let load = planner.loads[machine];
        if load > bound + ROUNDING {
            over.insert(machine, (load, bound));
        }
    }
    over
}

/// The spread of each pool that has a machine.
pub fn spreads(input: &PlanInput) -> BTreeMap<u32, Spread> {
    let mut loads: BTreeMap<u32, Vec<f64>> = BTreeMap::new();
    for machine in &input.machines {
        if let Some(load) = machine.load() {
            loads.entry(machine.pool).or_default().push(load);
        }
    }
    loads.into_iter().map(|(pool, loads)| (pool, Spread::of(loads))).collect()
}

/// Makes a plan. The same input gives the same plan.
pub fn plan(input: &PlanInput) -> Plan {
    let mut planner = Planner::new(input);
    let may_be_relieved = |machine: &usize| input.machines[*machine].may_be_relieved;
    let mut sources: BinaryHeap<LoadKey> = (0..input.machines.len())
        .filter(|machine| may_be_relieved(machine) && planner.valid[*machine])
        .map(|machine| LoadKey { load: planner.loads[machine], machine })
        .collect();
    while planner.plan.moves.len() < input.budget {
        let Some(LoadKey { load, machine }) = sources.pop() else { break };
        planner.plan.steps += 1;
        if load != planner.loads[machine] {
            // It has changed since it was put in line; its present load stands there as well.
            continue;
        }
        let changed = planner.relieve(machine);
        if input.once_per_machine {
            planner.retire(&changed);
            continue;
        }
        for machine in changed.into_iter().filter(may_be_relieved) {
            sources.push(LoadKey { load: planner.loads[machine], machine });
        }
    }
    planner.plan
}

/// A plan in the making.
struct Planner<'a> {
    input: &'a PlanInput,
    valid: Vec<bool>,
    /// What each machine uses and carries by the plan so far.
    used: Vec<Resources>,
    loads: Vec<f64>,
    spreads: BTreeMap<u32, Spread>,
    /// Machines of each pool that may receive, the least loaded first.
    targets: BTreeMap<u32, BTreeSet<LoadKey>>,
    /// Movables by the machines that they are on.
    on_machine: Vec<Vec<usize>>,
    moved: BTreeSet<usize>,
    /// Machines that take part in no other move.
    retired: BTreeSet<usize>,
    plan: Plan,
}

impl<'a> Planner<'a> {
    fn new(input: &'a PlanInput) -> Self {
        let valid: Vec<bool> = input.machines.iter().map(|m| m.load().is_some()).collect();
        let loads: Vec<f64> =
            input.machines.iter().map(|m| m.load().unwrap_or(f64::INFINITY)).collect();
        let mut targets: BTreeMap<u32, BTreeSet<LoadKey>> = BTreeMap::new();
        for (machine, m) in input.machines.iter().enumerate() {
            if m.may_receive && valid[machine] {
                let key = LoadKey { load: loads[machine], machine };
                targets.entry(m.pool).or_default().insert(key);
            }
        }
        let mut planner = Planner {
            input,
            used: input.machines.iter().map(|m| m.used).collect(),
            loads,
            spreads: spreads(input),
            targets,
            on_machine: vec![Vec::new(); input.machines.len()],
            moved: BTreeSet::new(),
            retired: BTreeSet::new(),
            plan: Plan::default(),
            valid,
        };
        for (i, movable) in input.movables.iter().enumerate() {
            planner.plan.steps += 1;
            if planner.is_candidate(movable) {
                for machine in machines_of(movable) {
                    planner.on_machine[machine].push(i);
                }
            }
        }
        planner
    }

    /// Whether a task may move at all: its numbers make sense, its remaining time is worth the move, and
    /// all of it is in one pool, on machines that may give.
    fn is_candidate(&self, movable: &Movable) -> bool {
        let numbers = [movable.save_s, movable.cost_s, movable.remaining_s];
        let sensible =
            movable.demand.is_valid() && numbers.iter().all(|s| *s >= 0.0 && s.is_finite());
        let worth = movable.remaining_s >= self.input.worth_factor * movable.cost_s;
        let mut on = movable.tasks.iter().map(|(_, machine)| *machine);
        let Some(pool) = on.clone().next().and_then(|m| self.input.machines.get(m)) else {
            return false;
        };
        let may_leave = |machine: usize| {
            let Some(m) = self.input.machines.get(machine) else { return false };
            m.pool == pool.pool && m.may_give && self.valid[machine]
        };
        sensible && worth && on.all(may_leave)
    }

    /// The movables on a machine that have not been moved by this plan.
    fn movables_on(&mut self, machine: usize) -> Vec<usize> {
        let all = &self.on_machine[machine];
        self.plan.steps += all.len() as u64;
        all.iter().copied().filter(|i| !self.moved.contains(i)).collect()
    }

    /// What a unit takes of a machine, in parts of it.
    fn share(&self, movable: usize, machine: usize) -> f64 {
        let movable = &self.input.movables[movable];
        let here = movable.tasks.iter().filter(|(_, on)| *on == machine).count();
        let one = movable.demand.dominant_share(&self.input.machines[machine].capacity);
        one * here as f64
    }

    fn bound(&self, machine: usize, share: f64) -> f64 {
        let pool = self.input.machines[machine].pool;
        self.spreads.get(&pool).copied().unwrap_or_default().bound(share)
    }

    /// Moves one task off a machine that is over its bound, the one that costs least; returns the machines
    /// whose load has changed, none if there is no task whose move is an improvement.
    fn relieve(&mut self, machine: usize) -> Vec<usize> {
        let load = self.loads[machine];
        let mut candidates: Vec<(f64, MoveUnit, usize)> = self
            .movables_on(machine)
            .into_iter()
            .filter(|i| load > self.bound(machine, self.share(*i, machine)) + ROUNDING)
            .filter(|i| !self.takes_part_already(*i))
            .map(|i| (self.input.movables[i].cost_s, self.input.movables[i].unit, i))
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, _, i) in candidates {
            if let Some(targets) = self.targets_for(i, load) {
                self.commit(i, machine, &targets);
                let mut changed = machines_of(&self.input.movables[i]);
                changed.extend(targets);
                return changed;
            }
        }
        Vec::new()
    }

    /// Whether a machine of this unit takes part in another move.
    fn takes_part_already(&self, movable: usize) -> bool {
        let machines = machines_of(&self.input.movables[movable]);
        machines.iter().any(|machine| self.retired.contains(machine))
    }

    /// Leaves these machines out of the rest of the plan.
    fn retire(&mut self, machines: &[usize]) {
        for machine in machines {
            self.retired.insert(*machine);
            let key = LoadKey { load: self.loads[*machine], machine: *machine };
            if let Some(targets) = self.targets.get_mut(&self.input.machines[*machine].pool) {
                targets.remove(&key);
            }
        }
    }

    /// A target for each task of a unit such that every one of them carries less afterwards than the
    /// source did before. None if there is not one for each.
    fn targets_for(&mut self, movable: usize, load: f64) -> Option<Vec<usize>> {
        let unit = &self.input.movables[movable];
        let sources: BTreeSet<usize> = machines_of(unit).into_iter().collect();
        let pool = self.input.machines[*sources.first()?].pool;
        let mut extra: BTreeMap<usize, Resources> = BTreeMap::new();
        let mut chosen = Vec::new();
        for _ in &unit.tasks {
            let mut best: Option<LoadKey> = None;
            let mut looked = 0;
            // The least loaded first. A few are looked at, since the dominant share is not of the same
            // resource everywhere; those that this unit has filled itself count with what it put there.
            for key in self.targets.get(&pool)? {
                self.plan.steps += 1;
                if looked >= MAX_TARGETS_COMPARED || key.load >= load {
                    break;
                }
                if sources.contains(&key.machine) {
                    continue;
                }
                let capacity = &self.input.machines[key.machine].capacity;
                let before = extra.get(&key.machine).copied().unwrap_or_default();
                let used = self.used[key.machine].plus(&before).plus(&unit.demand);
                let after = used.dominant_share(capacity);
                if after + ROUNDING < load && used.fits_in(capacity) {
                    let found = LoadKey { load: after, machine: key.machine };
                    best = Some(best.map_or(found, |best| best.min(found)));
                    looked += 1;
                }
            }
            let machine = best?.machine;
            let taken = extra.entry(machine).or_default();
            *taken = taken.plus(&unit.demand);
            chosen.push(machine);
        }
        Some(chosen)
    }

    fn commit(&mut self, movable: usize, source: usize, targets: &[usize]) {
        let unit = &self.input.movables[movable];
        let name = |machine: usize| self.input.machines[machine].name.clone();
        let task_moves = unit.tasks.iter().zip(targets).map(|((task, from), to)| TaskMove {
            task: *task,
            source: name(*from),
            target: name(*to),
            demand: unit.demand,
            ended: false,
            runs: false,
        });
        let planned = PlannedMove {
            unit: unit.unit,
            task_moves: task_moves.collect(),
            save_s: unit.save_s,
            load: self.loads[source],
            bound: self.bound(source, self.share(movable, source)),
        };
        self.plan.moves.push(planned);
        self.moved.insert(movable);
        for ((_, from), to) in unit.tasks.iter().zip(targets) {
            self.change(*from, |used| used.minus(&unit.demand));
            self.change(*to, |used| used.plus(&unit.demand));
        }
    }

    /// Changes what a machine uses, and its place among the targets.
    fn change(&mut self, machine: usize, with: impl Fn(Resources) -> Resources) {
        let m = &self.input.machines[machine];
        let before = LoadKey { load: self.loads[machine], machine };
        self.used[machine] = with(self.used[machine]);
        self.loads[machine] = self.used[machine].dominant_share(&m.capacity);
        if let Some(targets) = self.targets.get_mut(&m.pool) {
            if targets.remove(&before) {
                targets.insert(LoadKey { load: self.loads[machine], machine });
            }
        }
    }
}

/// The machines of a unit, each once.
fn machines_of(movable: &Movable) -> Vec<usize> {
    let mut machines: Vec<usize> = movable.tasks.iter().map(|(_, machine)| *machine).collect();
    machines.sort_unstable();
    machines.dedup();
    machines
}
