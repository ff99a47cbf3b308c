//! Tests of the planner on generated pools: a plan never exceeds the capacity of a machine, never
//! raises the greatest load, is the same for the same input, and takes a bounded number of steps.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use common::*;
use latchtrack_balance::moves::{MoveUnit, TaskMove};
use latchtrack_balance::planner::{MachineLoad, Movable, Plan, PlanInput};
use latchtrack_balance::resources::Resources;
use proptest::prelude::*;

/// Returns the resources used on each machine after the moves of a plan.
fn loads_after(input: &PlanInput, plan: &Plan) -> BTreeMap<Arc<str>, Resources> {
    let mut used: BTreeMap<Arc<str>, Resources> =
        input.machines.iter().map(|m| (m.name.clone(), m.used)).collect();
    for task_move in plan.moves.iter().flat_map(|m| &m.task_moves) {
        for (machine, more) in [(&task_move.source, false), (&task_move.target, true)] {
            let amounts = used.get_mut(machine).expect("a machine of the input");
            *amounts = if more {
                amounts.plus(&task_move.demand)
            } else {
                amounts.minus(&task_move.demand)
            };
        }
    }
    used
}

/// Generates pools of machines with 8 or 16 CPUs and tasks that fit on them, some of them movable.
fn cluster() -> impl Strategy<Value = PlanInput> {
    let machine = (0u32..3, prop::collection::vec((1u32..6, any::<bool>(), 0u32..200), 0..6));
    let machines = prop::collection::vec((machine, prop::bool::weighted(0.9)), 1..24);
    (machines, 0usize..12, prop::bool::ANY).prop_map(|(machines, budget, gangs)| {
        let mut input = PlanInput { budget, min_remaining_to_cost: 2.0, ..PlanInput::default() };
        for (index, ((pool, tasks), healthy)) in machines.into_iter().enumerate() {
            let capacity = cpus_and_memory(if pool == 0 { 8.0 } else { 16.0 });
            let mut used = Resources::default();
            for (position, (cpus, has_checkpoint, remaining)) in tasks.into_iter().enumerate() {
                let demand = cpus_and_memory(f64::from(cpus));
                if !used.plus(&demand).fits_in(&capacity) {
                    continue;
                }
                used = used.plus(&demand);
                if has_checkpoint {
                    let unit = MoveUnit { job: index as u64, task: Some(position as u32) };
                    let mut movable = movable(unit, &[(position as u32, index)], f64::from(cpus));
                    movable.remaining_s = f64::from(remaining);
                    input.movables.push(movable);
                }
            }
            input.machines.push(MachineLoad {
                name: name(index),
                pool,
                capacity,
                used,
                may_be_target: healthy,
                may_be_source: healthy,
                may_be_relieved: healthy,
            });
        }
        if gangs {
            join_into_gangs(&mut input);
        }
        input
    })
}

/// Joins consecutive movables that have the same demand and pool into gangs.
fn join_into_gangs(input: &mut PlanInput) {
    let mut joined: Vec<Movable> = Vec::new();
    for movable in std::mem::take(&mut input.movables) {
        let pool = |m: &Movable| input.machines[m.tasks[0].1].pool;
        match joined.last_mut() {
            Some(last) if last.demand == movable.demand && pool(last) == pool(&movable) => {
                let next = last.tasks.len() as u32;
                last.tasks.push((next, movable.tasks[0].1));
                last.unit.task = None;
            }
            _ => joined.push(movable),
        }
    }
    input.movables = joined;
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn a_plan_respects_capacity_budget_and_pools(input in cluster()) {
        let plan = plan(&input);
        prop_assert!(plan.moves.len() <= input.budget);
        let after = loads_after(&input, &plan);
        let by_name: BTreeMap<&Arc<str>, &MachineLoad> =
            input.machines.iter().map(|m| (&m.name, m)).collect();
        for (name, used) in &after {
            prop_assert!(used.fits_in(&by_name[name].capacity), "{name} exceeds its capacity");
        }
        let mut units = BTreeSet::new();
        for m in &plan.moves {
            prop_assert!(units.insert(m.unit), "each unit moves at most once");
            let sources: BTreeSet<_> =
                m.task_moves.iter().map(|task_move| &task_move.source).collect();
            for task_move in &m.task_moves {
                let (from, to) = (by_name[&task_move.source], by_name[&task_move.target]);
                prop_assert_eq!(from.pool, to.pool);
                prop_assert!(from.may_be_source && to.may_be_target);
                prop_assert!(!sources.contains(&task_move.target));
            }
        }
    }

    #[test]
    fn a_plan_never_raises_the_greatest_load(input in cluster()) {
        let plan = plan(&input);
        let mut after = input.clone();
        for machine in &mut after.machines {
            machine.used = loads_after(&input, &plan)[&machine.name];
        }
        let (before, after) = (spreads(&input), spreads(&after));
        for (pool, spread) in before {
            prop_assert!(after[&pool].greatest <= spread.greatest + 1e-9, "pool {pool}");
        }
    }

    #[test]
    fn the_same_input_gives_the_same_plan(input in cluster()) {
        prop_assert_eq!(plan(&input), plan(&input.clone()));
    }

    /// With enough budget, a plan leaves no machine over its bound with respect to unmoved tasks.
    #[test]
    fn with_enough_budget_array_tasks_come_within_the_bound(input in cluster()) {
        let mut input = input;
        input.budget = usize::MAX;
        input.movables.retain(|m| m.tasks.len() == 1 && m.remaining_s >= 2.0 * m.cost_s);
        for machine in &mut input.machines {
            machine.may_be_target = true;
            machine.may_be_source = true;
            machine.may_be_relieved = true;
        }
        let plan = plan(&input);
        let after = loads_after(&input, &plan);
        let moved: BTreeSet<MoveUnit> = plan.moves.iter().map(|m| m.unit).collect();
        for machine in &mut input.machines {
            machine.used = after[&machine.name];
        }
        input.movables.retain(|m| !moved.contains(&m.unit));
        prop_assert_eq!(over_bound(&input), BTreeSet::new());
    }

    #[test]
    fn machines_and_movables_with_invalid_numbers_take_no_part(
        input in cluster(),
        invalid_value in 0usize..4,
        at in 0usize..24,
    ) {
        let invalid_value = [f64::NAN, f64::INFINITY, -1.0, f64::NEG_INFINITY][invalid_value];
        let mut input = input;
        let at = at % input.machines.len();
        input.machines[at].used.cpus = invalid_value;
        let invalid = input.movables.first().map(|m| m.unit);
        if let Some(movable) = input.movables.first_mut() {
            match at % 4 {
                0 => movable.remaining_s = invalid_value,
                1 => movable.cost_s = invalid_value,
                2 => movable.save_s = invalid_value,
                _ => movable.demand.cpus = invalid_value,
            }
        }
        let plan = plan(&input);
        prop_assert!(plan.moves.iter().all(|m| Some(m.unit) != invalid));
        let name = &input.machines[at].name;
        for task_move in plan.moves.iter().flat_map(|m| &m.task_moves) {
            prop_assert!(task_move.source != *name && task_move.target != *name);
        }
    }
}

/// A plan makes only the moves that are needed to restore the bound.
#[test]
fn no_task_leaves_a_machine_within_its_bound() {
    // 4 machines of 16 CPUs with 16, 6, 6 and 4 tasks of one CPU: the mean is 8, the bound 11.
    let mut input =
        PlanInput { budget: usize::MAX, min_remaining_to_cost: 2.0, ..PlanInput::default() };
    for (index, tasks) in [16u32, 6, 6, 4].into_iter().enumerate() {
        input.machines.push(machine(index, 16.0, f64::from(tasks)));
        for task in 0..tasks {
            let unit = MoveUnit { job: index as u64, task: Some(task) };
            input.movables.push(movable(unit, &[(task, index)], 1.0));
        }
    }
    let moves = plan(&input).moves;
    assert_eq!(moves.len(), 5, "from 16 tasks to 11");
    assert!(moves.iter().all(|m| *m.task_moves[0].source == *name(0)));
}

/// Two machines are overloaded, and one of them alone could use up the budget.
#[test]
fn once_per_machine_allows_one_move_per_machine() {
    let mut input = pool_with_busy_machines(8, 2, 16);
    input.budget = 2;
    input.once_per_machine = true;
    input.machines[0].used = cpus_and_memory(14.0);
    let moves = plan(&input).moves;
    let machines: BTreeSet<&Arc<str>> =
        moves.iter().flat_map(|m| [&m.task_moves[0].source, &m.task_moves[0].target]).collect();
    assert_eq!((moves.len(), machines.len()), (2, 4), "{moves:?}");
}

/// The load of a pool's only machine equals the mean, so it is within the bound.
#[test]
fn a_pool_of_one_machine_has_no_moves() {
    let mut input = pool_with_busy_machines(3, 1, 16);
    input.machines[0].pool = 7;
    assert_eq!(plan(&input).moves, []);
    assert_eq!(over_bound(&input).len(), 0);
}

/// Half of the machines are full of tasks without checkpoints. They have no bound themselves, but
/// raise the mean load and with it the bound of the others.
#[test]
fn tasks_without_checkpoints_are_not_moved() {
    let mut input = pool_with_busy_machines(8, 2, 12);
    for machine in &mut input.machines[4..] {
        machine.used = cpus_and_memory(16.0);
    }
    let plan = plan(&input);
    // The mean is 0.6875 and the bound 0.92; the two machines with 12 movable tasks are within it.
    assert_eq!(plan.moves, []);
    for machine in &mut input.machines[4..] {
        machine.used = cpus_and_memory(8.0);
    }
    let moves = common::plan(&input).moves;
    assert!(!moves.is_empty());
    let is_from_full =
        |task_move: &TaskMove| input.machines[4..].iter().any(|m| m.name == task_move.source);
    assert!(!moves.iter().flat_map(|m| &m.task_moves).any(is_from_full));
}

/// A target that exceeds its bound after a move becomes a source in the same plan.
#[test]
fn a_target_overloaded_by_a_plan_is_relieved_by_it() {
    let mut input =
        PlanInput { budget: usize::MAX, min_remaining_to_cost: 2.0, ..PlanInput::default() };
    for (index, used) in [16.0, 4.0, 4.0, 4.0].into_iter().enumerate() {
        input.machines.push(machine(index, 16.0, used));
    }
    let task = |job, task| MoveUnit { job, task: Some(task) };
    let mut large = movable(task(0, 9), &[(9, 0)], 6.0);
    large.cost_s = 1.0;
    input.movables.push(large);
    input.movables.extend((0..4).map(|i| movable(task(1, i), &[(i, 1)], 1.0)));
    // The mean is 0.4375. The large task raises machine 1 to 0.625, above its bound of 0.609.
    let sources: Vec<Arc<str>> =
        plan(&input).moves.iter().map(|m| m.task_moves[0].source.clone()).collect();
    assert_eq!(sources, [name(0), name(1)]);
}

#[test]
fn a_gang_waits_if_one_of_its_machines_already_takes_part() {
    let mut input = pool_with_busy_machines(8, 0, 0);
    input.budget = 10;
    input.once_per_machine = true;
    input.machines[0].used = cpus_and_memory(16.0);
    input.machines[1].used = cpus_and_memory(15.0);
    let mut cheap = movable(MoveUnit { job: 1, task: Some(0) }, &[(0, 0)], 1.0);
    cheap.cost_s = 1.0;
    let gang = movable(MoveUnit { job: 2, task: None }, &[(0, 0), (1, 1)], 1.0);
    input.movables = vec![cheap, gang];
    let moves = plan(&input).moves;
    assert_eq!((moves.len(), moves[0].unit.job), (1, 1), "{moves:?}");
    input.movables.remove(0);
    assert_eq!(plan(&input).moves.len(), 1, "the gang moves without the other task");
}

/// Tasks move only within a pool, and a gang moves as a whole.
#[test]
fn a_gang_in_two_pools_is_not_moved() {
    let mut input = PlanInput { budget: 10, min_remaining_to_cost: 2.0, ..PlanInput::default() };
    input.machines = vec![machine(0, 8.0, 8.0), machine(1, 8.0, 1.0), machine(2, 8.0, 0.0)];
    input.machines[1].pool = 1;
    input.movables = vec![movable(MoveUnit { job: 1, task: None }, &[(0, 0), (1, 1)], 1.0)];
    assert_eq!(plan(&input).moves, []);
    input.machines[1].pool = 0;
    assert_eq!(plan(&input).moves.len(), 1);
}

/// The load of a target may be low enough although it lacks capacity of one resource.
#[test]
fn a_target_must_have_capacity_of_every_resource() {
    let mut input = pool_with_busy_machines(3, 1, 16);
    for machine in &mut input.machines {
        machine.capacity.gpus = 1.0;
    }
    input.machines[2].may_be_target = false;
    input.movables.truncate(1);
    input.movables[0].demand.gpus = 0.3;
    // The source uses twice its capacity, as after a change of its machine type. The target has too
    // little GPU capacity left, but its load with the task would still be lower.
    input.machines[0].used = cpus_and_memory(32.0);
    input.machines[1].used.gpus = 0.9;
    assert_eq!(plan(&input).moves, []);
    input.machines[1].used.gpus = 0.7;
    assert_eq!(plan(&input).moves.len(), 1);
}

/// Returns a pool of machines with 16 CPUs. `busy` of them run `tasks_each` movable tasks of one
/// CPU each, the others none.
fn pool_with_busy_machines(machines: usize, busy: usize, tasks_each: u32) -> PlanInput {
    let mut input =
        PlanInput { budget: usize::MAX, min_remaining_to_cost: 2.0, ..PlanInput::default() };
    for index in 0..machines {
        let tasks = if index < busy { tasks_each } else { 0 };
        input.machines.push(machine(index, 16.0, f64::from(tasks)));
        for task in 0..tasks {
            let unit = MoveUnit { job: index as u64, task: Some(task) };
            input.movables.push(movable(unit, &[(task, index)], 1.0));
        }
    }
    input
}

#[test]
fn all_work_on_few_machines_is_spread_within_the_bound() {
    let input = pool_with_busy_machines(20, 2, 16);
    let plan = plan(&input);
    let after = loads_after(&input, &plan);
    let mean = 32.0 / 16.0 / 20.0;
    let bound = 1.25 * mean + 1.0 / 16.0;
    for (name, used) in after {
        assert!(used.cpus / 16.0 <= bound + 1e-9, "{name}: {} of {bound}", used.cpus / 16.0);
    }
}

/// 4,000 machines and 20,000 tasks. Steps are counted because run times depend on the machine that
/// runs the test.
#[test]
fn a_plan_for_a_large_pool_takes_a_bounded_number_of_steps() {
    let mut input = pool_with_busy_machines(4_000, 1_250, 16);
    input.budget = 30;
    let bounded = plan(&input);
    assert_eq!(bounded.moves.len(), 30);
    assert!(bounded.steps < 2 * 20_000 + 30 * 200, "{} steps", bounded.steps);
    input.budget = usize::MAX;
    let full = plan(&input);
    assert!(full.moves.len() > 10_000, "{} moves", full.moves.len());
    // One step for each task at the start, and for each move one for each task on its source and
    // for a few targets.
    assert!(full.steps < 20_000 + 40 * full.moves.len() as u64, "{} steps", full.steps);
}

/// Every machine is equally loaded, so no move would be an improvement.
#[test]
fn a_pool_in_which_no_move_helps_has_no_moves() {
    let input = pool_with_busy_machines(10, 10, 16);
    assert_eq!(plan(&input).moves, []);
    // A machine with one task more than the others is within the bound.
    let mut input = pool_with_busy_machines(10, 10, 8);
    input.machines[0].used = cpus_and_memory(9.0);
    assert_eq!(plan(&input).moves, []);
}

#[test]
fn tasks_with_too_little_remaining_time_are_not_moved() {
    let mut input = pool_with_busy_machines(4, 1, 16);
    for movable in &mut input.movables {
        movable.remaining_s = 2.0 * movable.cost_s - 0.1;
    }
    assert_eq!(plan(&input).moves, []);
    assert_eq!(over_bound(&input).len(), 0, "a machine without movable tasks has no bound");
}

#[test]
fn a_gang_moves_whole_to_other_machines_or_not_at_all() {
    let mut input = PlanInput { budget: 10, min_remaining_to_cost: 2.0, ..PlanInput::default() };
    input.machines = vec![machine(0, 8.0, 8.0), machine(1, 8.0, 0.0), machine(2, 8.0, 0.0)];
    let gang = MoveUnit { job: 1, task: None };
    input.movables = vec![movable(gang, &[(0, 0), (1, 0)], 1.0)];
    let moves = plan(&input).moves;
    assert_eq!(moves.len(), 1);
    assert_eq!(moves[0].task_moves.len(), 2, "all tasks of the gang move");
    assert!(moves[0].task_moves.iter().all(|task_move| *task_move.target != *name(0)));
    // The target has capacity for only one of the two tasks.
    input.machines[1].may_be_target = false;
    input.machines[2].used = cpus_and_memory(6.0);
    assert_eq!(plan(&input).moves, []);
    input.machines[2].used = cpus_and_memory(5.0);
    assert_eq!(plan(&input).moves.len(), 1, "the target has capacity for both tasks");
}
