//! Which running tasks should move, and where: a greedy plan, pool by pool.
//!
//! The most loaded machine over its bound gives the task that costs least to the least loaded
//! machine of the pool, until no machine is over its bound, nothing that may move improves
//! anything, or the budget is used up. Every move of a plan leaves its source and its targets below
//! what the source carried before, so a plan never raises the greatest load.

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

use crate::constants::{MAX_TARGETS_COMPARED, ROUNDING};
use crate::moves::{MoveUnit, TaskMove};
use crate::resources::Resources;

/// A move that should begin.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedMove {
    /// What is to move.
    pub unit: MoveUnit,
    /// Each of its tasks.
    pub task_moves: Vec<TaskMove>,
    /// s that its tasks take to save their checkpoints.
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

/// Makes a plan from an input and the loads of its machines. The same input gives the same plan.
pub fn plan(input: &PlanInput, loads: &ClusterLoads) -> Plan {
    let mut planner = Planner::new(input, loads);
    let mut sources = planner.sources();
    while planner.plan.moves.len() < input.budget {
        let Some(source) = sources.pop() else { break };
        planner.plan.steps += 1;
        if source.load != planner.planned.load(source.machine) {
            // It has changed since it was queued; its present load is queued as well.
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

/// A plan in the making.
struct Planner<'a> {
    input: &'a PlanInput,
    cluster_loads: &'a ClusterLoads,
    candidates: Candidates<'a>,
    planned: PlannedLoads<'a>,
    /// Indices of the movables that this plan moves.
    moved: BTreeSet<usize>,
    /// Machines that take part in no other move of this plan.
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

    /// The machines that may be relieved, the most loaded on top.
    fn sources(&self) -> BinaryHeap<LoadKey> {
        let machines = self.input.machines.iter().enumerate();
        machines
            .filter(|(i, machine)| machine.may_be_relieved && self.cluster_loads.load(*i).is_some())
            .map(|(i, _)| self.planned.key(i))
            .collect()
    }

    /// Moves one task off a machine that is over its bound, the one that costs least. Returns the
    /// machines whose load has changed: none if there is no task whose move is an improvement.
    fn relieve(&mut self, machine: usize) -> Vec<usize> {
        let load = self.planned.load(machine);
        for movable in self.movables_by_cost(machine, load) {
            if let Some(targets) = self.find_targets(movable, load) {
                self.commit(movable, machine, &targets);
                let mut changed = self.input.movables[movable].machines();
                changed.extend(targets);
                return changed;
            }
        }
        Vec::new()
    }

    /// The movables by which a machine with this load is over its bound, the cheapest first.
    fn movables_by_cost(&mut self, machine: usize, load: f64) -> Vec<usize> {
        let on_machine = self.candidates.on(machine);
        self.plan.steps += on_machine.len() as u64;
        let mut movables: Vec<usize> = on_machine
            .iter()
            .copied()
            .filter(|i| !self.moved.contains(i))
            .filter(|i| load > self.candidates.bound(*i, machine) + ROUNDING)
            .filter(|i| !self.has_excluded_machine(*i))
            .collect();
        movables.sort_by(|a, b| {
            let (a, b) = (&self.input.movables[*a], &self.input.movables[*b]);
            a.cost_s.total_cmp(&b.cost_s).then(a.unit.cmp(&b.unit))
        });
        movables
    }

    /// Whether a machine of this movable takes part in another move already.
    fn has_excluded_machine(&self, movable: usize) -> bool {
        let machines = self.input.movables[movable].machines();
        machines.iter().any(|machine| self.excluded.contains(machine))
    }

    /// Leaves these machines out of the rest of the plan.
    fn exclude(&mut self, machines: &[usize]) {
        for machine in machines {
            self.excluded.insert(*machine);
            self.planned.exclude_target(*machine);
        }
    }

    /// A target for each task of a movable such that every one of them carries less afterwards than
    /// `load`, which the source carries now. None if there is not one for each.
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

    /// The target on which one more task of a movable leaves the least load. `added` is what its
    /// other tasks take already. A few of the least loaded machines are compared, since the
    /// dominant share is not of the same resource everywhere.
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
            if after.load + ROUNDING < load && used.fits_in(capacity) {
                best = Some(best.map_or(after, |best| best.min(after)));
                compared += 1;
            }
        }
        best.map(|best| best.machine)
    }

    /// Adds a move to the plan, for a movable on `source` with a target for each of its tasks.
    fn commit(&mut self, movable: usize, source: usize, targets: &[usize]) {
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
