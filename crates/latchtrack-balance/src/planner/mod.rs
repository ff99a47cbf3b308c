//! A greedy planner that decides which running tasks should move, and to which machines.
//!
//! Repeatedly, the task or gang that is cheapest to move is taken off the most loaded machine over
//! its bound and placed on the least loaded machines of the same pool. The plan is complete when no
//! machine is over its bound, no move would be an improvement, or the budget is used up. After each
//! move its source and targets are less loaded than the source was before, so a plan never raises
//! the greatest load.

mod candidates;
mod cluster_loads;
mod input;
mod planned_loads;

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub use candidates::over_bound;
pub use cluster_loads::ClusterLoads;
pub use input::{MachineLoad, Movable, PlanInput};

use candidates::Candidates;
use planned_loads::{LoadKey, PlannedLoads};

use crate::constants::{MAX_TARGETS_COMPARED, ROUNDING_TOLERANCE};
use crate::moves::{MoveUnit, TaskMove};
use crate::resources::Resources;

/// A move proposed by a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedMove {
    /// The task or gang to move.
    pub unit: MoveUnit,
    /// Moves of the individual tasks.
    pub task_moves: Vec<TaskMove>,
    /// s that the tasks take to save their checkpoints.
    pub save_s: f64,
    /// Load of the source that the move is meant to relieve, as a share of the machine.
    pub load: f64,
    /// Bound that the load of this source exceeds.
    pub bound: f64,
}

/// The proposed moves, and the work that it took to find them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Proposed moves, in the order in which they were planned.
    pub moves: Vec<PlannedMove>,
    /// Number of machines and movables examined, counting repetitions.
    pub steps: u64,
}

/// Makes a plan from an input and the loads of its machines. Equal inputs give equal plans.
pub fn plan(input: &PlanInput, loads: &ClusterLoads) -> Plan {
    let mut planner = Planner::new(input, loads);
    let mut sources = planner.sources();
    while planner.plan.moves.len() < input.budget {
        let Some(source) = sources.pop() else { break };
        planner.plan.steps += 1;
        if source.load != planner.planned.load(source.machine) {
            // The load has changed since this entry was queued. If the machine may still be
            // relieved, its current load has an entry of its own.
            continue;
        }
        let changed = planner.relieve(source.machine);
        if input.once_per_machine {
            planner.exclude(&changed);
        } else {
            let relievable = changed.into_iter().filter(|i| input.machines[*i].may_be_relieved);
            sources.extend(relievable.map(|machine| planner.planned.key(machine)));
        }
    }
    planner.plan
}

/// The state of a plan while it is made.
struct Planner<'a> {
    input: &'a PlanInput,
    cluster_loads: &'a ClusterLoads,
    candidates: Candidates<'a>,
    planned: PlannedLoads<'a>,
    /// Indices of the movables that the plan already moves.
    moved: BTreeSet<usize>,
    /// Indices of the machines that may take part in no further move of the plan.
    excluded: BTreeSet<usize>,
    plan: Plan,
}

impl<'a> Planner<'a> {
    fn new(input: &'a PlanInput, cluster_loads: &'a ClusterLoads) -> Self {
        Planner {
            input,
            cluster_loads,
            candidates: Candidates::of(input, cluster_loads),
            planned: PlannedLoads::new(input, cluster_loads),
            moved: BTreeSet::new(),
            excluded: BTreeSet::new(),
            plan: Plan { moves: Vec::new(), steps: input.movables.len() as u64 },
        }
    }

    /// Returns the machines that may be relieved, as a heap with the most loaded on top.
    fn sources(&self) -> BinaryHeap<LoadKey> {
        let machines = self.input.machines.iter().enumerate();
        machines
            .filter(|(i, machine)| machine.may_be_relieved && self.cluster_loads.load(*i).is_some())
            .map(|(i, _)| self.planned.key(i))
            .collect()
    }

    /// Plans the cheapest possible move off a machine that is over its bound. Returns the machines
    /// whose loads have changed; none if no move would be an improvement.
    fn relieve(&mut self, machine: usize) -> Vec<usize> {
        let load = self.planned.load(machine);
        for movable in self.movables_by_cost(machine, load) {
            if let Some(targets) = self.find_targets(movable, load) {
                self.add_move(movable, machine, &targets);
                let mut changed = self.input.movables[movable].machines();
                changed.extend(targets);
                return changed;
            }
        }
        Vec::new()
    }

    /// Returns the movables on a machine with respect to which its load is over the bound, cheapest
    /// first.
    fn movables_by_cost(&mut self, machine: usize, load: f64) -> Vec<usize> {
        let on_machine = self.candidates.on_machine(machine);
        self.plan.steps += on_machine.len() as u64;
        let mut movables: Vec<usize> = on_machine
            .iter()
            .copied()
            .filter(|i| !self.moved.contains(i))
            .filter(|i| load > self.candidates.bound(*i, machine) + ROUNDING_TOLERANCE)
            .filter(|i| !self.has_excluded_machine(*i))
            .collect();
        movables.sort_by(|a, b| {
            let (a, b) = (&self.input.movables[*a], &self.input.movables[*b]);
            a.cost_s.total_cmp(&b.cost_s).then(a.unit.cmp(&b.unit))
        });
        movables
    }

    /// Whether a machine of this movable is excluded from further moves.
    fn has_excluded_machine(&self, movable: usize) -> bool {
        let machines = self.input.movables[movable].machines();
        machines.iter().any(|machine| self.excluded.contains(machine))
    }

    /// Excludes machines from further moves of the plan.
    fn exclude(&mut self, machines: &[usize]) {
        for machine in machines {
            self.excluded.insert(*machine);
            self.planned.exclude_target(*machine);
        }
    }

    /// Returns a target for each task of a movable, such that the load of each target stays below
    /// `load`, the current load of the source; `None` if a task has no such target.
    fn find_targets(&mut self, movable: usize, load: f64) -> Option<Vec<usize>> {
        let movable = &self.input.movables[movable];
        let sources: BTreeSet<usize> = movable.machines().into_iter().collect();
        let mut added: BTreeMap<usize, Resources> = BTreeMap::new();
        let mut targets = Vec::new();
        for _ in &movable.tasks {
            let target = self.best_target(movable, &sources, &added, load)?;
            let on_target = added.entry(target).or_default();
            *on_target = on_target.plus(&movable.demand);
            targets.push(target);
        }
        Some(targets)
    }

    /// Returns the target that has the lowest load with one more task of a movable added. `added`
    /// is what the movable's other tasks already take of each target. Several machines are compared
    /// because the least loaded one may have another dominant resource.
    fn best_target(
        &mut self,
        movable: &Movable,
        sources: &BTreeSet<usize>,
        added: &BTreeMap<usize, Resources>,
        load: f64,
    ) -> Option<usize> {
        let pool = self.input.machines[*sources.first()?].pool;
        let mut best: Option<LoadKey> = None;
        let mut compared = 0;
        for key in self.planned.targets(pool)? {
            self.plan.steps += 1;
            if compared >= MAX_TARGETS_COMPARED || key.load >= load {
                break;
            }
            if sources.contains(&key.machine) {
                continue;
            }
            let capacity = &self.input.machines[key.machine].capacity;
            let added_here = added.get(&key.machine).copied().unwrap_or_default();
            let used = self.planned.used(key.machine).plus(&added_here).plus(&movable.demand);
            let after = LoadKey { load: used.dominant_share(capacity), machine: key.machine };
            if after.load + ROUNDING_TOLERANCE < load && used.fits_in(capacity) {
                best = Some(best.map_or(after, |best| best.min(after)));
                compared += 1;
            }
        }
        best.map(|best| best.machine)
    }

    /// Adds a move that relieves `source` to the plan. `targets` has one machine for each task of
    /// the movable.
    fn add_move(&mut self, movable: usize, source: usize, targets: &[usize]) {
        let bound = self.candidates.bound(movable, source);
        self.moved.insert(movable);
        let movable = &self.input.movables[movable];
        let name = |machine: usize| self.input.machines[machine].name.clone();
        let task_moves = movable.tasks.iter().zip(targets).map(|((task, from), to)| TaskMove {
            task: *task,
            source: name(*from),
            target: name(*to),
            demand: movable.demand,
            ended: false,
            running: false,
        });
        self.plan.moves.push(PlannedMove {
            unit: movable.unit,
            task_moves: task_moves.collect(),
            save_s: movable.save_s,
            load: self.planned.load(source),
            bound,
        });
        for ((_, from), to) in movable.tasks.iter().zip(targets) {
            self.planned.move_demand(*from, *to, &movable.demand);
        }
    }
}
