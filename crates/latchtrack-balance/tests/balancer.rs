//! Tests of the balancer over time: delays, budgets and cooldowns, and that no task oscillates.

mod common;

use std::collections::BTreeMap;

use common::*;
use latchtrack_balance::balancer::{Balancer, MoveLimits, NewMoves};
use latchtrack_balance::moves::{AbandonReason, MoveEvent, MoveStage, MoveUnit};
use latchtrack_balance::planner::PlanInput;

const LIMITS: MoveLimits = MoveLimits {
    over_bound_ms: 10_000,
    min_run_ms: 30_000,
    task_cooldown_ms: 120_000,
    machine_gap_ms: 10_000,
    machine_cooldown_ms: 60_000,
    moves_per_minute: 6,
    min_remaining_to_cost: 2.0,
};

/// Machines of 16 CPUs. `units_on` holds the tasks on each of them, which use one CPU each.
struct Fleet {
    units_on: Vec<Vec<MoveUnit>>,
}

impl Fleet {
    fn new(loads: &[u32]) -> Fleet {
        let tasks = |(machine, n): (usize, &u32)| {
            (0..*n).map(|task| MoveUnit { job: machine as u64, task: Some(task) }).collect()
        };
        Fleet { units_on: loads.iter().enumerate().map(tasks).collect() }
    }

    fn input(&self) -> PlanInput {
        let mut input = PlanInput::default();
        for (index, units) in self.units_on.iter().enumerate() {
            input.machines.push(machine(index, 16.0, units.len() as f64));
            for unit in units {
                let task = unit.task.expect("a task of an array");
                input.movables.push(movable(*unit, &[(task, index)], 1.0));
            }
        }
        input
    }

    /// Observes the loads once and completes the moves that begin. Returns their number.
    fn observe_and_complete(&mut self, balancer: &mut Balancer, now: u64) -> usize {
        let begun = balancer.observe(now, self.input(), NewMoves::Allowed);
        for m in &begun {
            let task_move = &m.task_moves[0];
            let index = |name: &str| (0..self.units_on.len()).find(|i| *common::name(*i) == *name);
            let (from, to) = (index(&task_move.source).unwrap(), index(&task_move.target).unwrap());
            self.units_on[from].retain(|unit| *unit != m.unit);
            self.units_on[to].push(m.unit);
            for event in [
                MoveEvent::StopSent,
                MoveEvent::Ended { task: task_move.task },
                MoveEvent::Launched,
                MoveEvent::Running { task: task_move.task },
            ] {
                balancer.handle_event(now, m.unit, event);
            }
        }
        begun.len()
    }

    fn max_tasks(&self) -> usize {
        self.units_on.iter().map(Vec::len).max().unwrap_or(0)
    }
}

#[test]
fn a_machine_must_be_over_the_bound_for_a_while() {
    let mut fleet = Fleet::new(&[12, 0, 0, 0]);
    let mut balancer = Balancer::new(LIMITS);
    assert_eq!(fleet.observe_and_complete(&mut balancer, 1_000), 0);
    assert_eq!(balancer.over_bound(), 1);
    assert_eq!(fleet.observe_and_complete(&mut balancer, 10_999), 0);
    assert_eq!(fleet.observe_and_complete(&mut balancer, 11_000), 1);
    // The time starts over if the machine is within its bound in between.
    let mut balancer = Balancer::new(LIMITS);
    let even = Fleet::new(&[3, 3, 3, 3]);
    let mut fleet = Fleet::new(&[12, 0, 0, 0]);
    fleet.observe_and_complete(&mut balancer, 1_000);
    balancer.observe(8_000, even.input(), NewMoves::Allowed);
    assert_eq!(fleet.observe_and_complete(&mut balancer, 12_000), 0);
}

#[test]
fn no_move_begins_while_moves_are_suspended() {
    let fleet = Fleet::new(&[12, 0, 0, 0]);
    let mut balancer = Balancer::new(LIMITS);
    for now in (0..60_000).step_by(1_000) {
        assert_eq!(balancer.observe(now, fleet.input(), NewMoves::Suspended), []);
    }
    assert_eq!(
        balancer.observe(61_000, fleet.input(), NewMoves::Allowed).len(),
        1,
        "the loads were observed while moves were suspended"
    );
}

#[test]
fn moves_respect_the_budget_and_restore_the_bound() {
    let mut fleet = Fleet::new(&[16, 16, 0, 0, 0, 0, 0, 0]);
    let mut balancer = Balancer::new(LIMITS);
    let mut begun: BTreeMap<u64, usize> = BTreeMap::new();
    for now in (0..600_000).step_by(1_000) {
        *begun.entry(now / 60_000).or_default() += fleet.observe_and_complete(&mut balancer, now);
    }
    assert!(begun.values().all(|n| *n <= 6), "{begun:?}");
    // 32 tasks on 8 machines: the mean is 4 tasks, the bound 1.25 times that plus one task.
    assert!(
        fleet.max_tasks() <= 6,
        "{:?}",
        fleet.units_on.iter().map(Vec::len).collect::<Vec<_>>()
    );
    assert_eq!(balancer.counts().settled, balancer.counts().begun);
    let late: usize = begun.iter().filter(|(minute, _)| **minute >= 6).map(|(_, n)| n).sum();
    assert_eq!(late, 0, "no moves within the bound: {begun:?}");
}

/// Load repeatedly appears and disappears on the same machines, as when two teams become hot and
/// normal again together. No task moves back and forth.
#[test]
fn recurring_load_moves_no_task_twice_within_its_cooldown() {
    let mut fleet = Fleet::new(&[4; 8]);
    let mut balancer = Balancer::new(LIMITS);
    let mut moved: BTreeMap<MoveUnit, Vec<u64>> = BTreeMap::new();
    for now in (0..900_000u64).step_by(1_000) {
        if now % 100_000 == 50_000 {
            for machine in 0..2 {
                let hot = |task| MoveUnit { job: 100 + now / 100_000, task: Some(task) };
                fleet.units_on[machine].extend((0..10).map(|i| hot(machine as u32 * 10 + i)));
            }
        }
        if now % 100_000 == 90_000 {
            for units in &mut fleet.units_on {
                units.retain(|unit| unit.job < 100);
            }
        }
        for m in balancer.observe(now, fleet.input(), NewMoves::Allowed) {
            moved.entry(m.unit).or_default().push(now);
            balancer.handle_event(now, m.unit, MoveEvent::Failed(AbandonReason::TeamLimit));
        }
    }
    assert!(!moved.is_empty());
    for (unit, times) in moved {
        for pair in times.windows(2) {
            assert!(pair[1] >= pair[0] + LIMITS.task_cooldown_ms, "{unit:?} moved at {times:?}");
        }
    }
}

#[test]
fn tasks_that_started_recently_are_not_moved() {
    let fleet = Fleet::new(&[12, 0, 0, 0]);
    let mut balancer = Balancer::new(LIMITS);
    let mut input = fleet.input();
    for movable in &mut input.movables {
        movable.ran_ms = LIMITS.min_run_ms - 1;
    }
    for now in (0..60_000).step_by(1_000) {
        assert_eq!(balancer.observe(now, input.clone(), NewMoves::Allowed), []);
    }
}

/// An overloaded machine that was just the source of a move does not use up the budget, so the task
/// of another overloaded machine moves.
#[test]
fn a_machine_in_cooldown_leaves_the_budget_to_others() {
    let limits = MoveLimits { machine_gap_ms: 60_000, moves_per_minute: 2, ..LIMITS };
    let fleet = Fleet::new(&[16, 0, 0, 0, 0, 0, 0, 0]);
    let mut balancer = Balancer::new(limits);
    balancer.observe(0, fleet.input(), NewMoves::Allowed);
    assert_eq!(balancer.observe(10_000, fleet.input(), NewMoves::Allowed).len(), 1);
    let fleet = Fleet::new(&[16, 0, 0, 0, 0, 0, 0, 12]);
    balancer.observe(11_000, fleet.input(), NewMoves::Allowed);
    let begun = balancer.observe(21_000, fleet.input(), NewMoves::Allowed);
    assert_eq!(begun.len(), 1);
    assert_eq!(*begun[0].task_moves[0].source, *name(7));
}

/// Even with cooldowns of 0, which operators may set, a task has only one move at a time.
#[test]
fn a_moving_task_is_not_planned_again() {
    let limits =
        MoveLimits { task_cooldown_ms: 0, machine_gap_ms: 0, moves_per_minute: 600, ..LIMITS };
    let fleet = Fleet::new(&[12, 0, 0, 0]);
    let mut balancer = Balancer::new(limits);
    let mut units = std::collections::BTreeSet::new();
    for now in (0..40_000).step_by(1_000) {
        for m in balancer.observe(now, fleet.input(), NewMoves::Allowed) {
            assert!(units.insert(m.unit), "{:?} again", m.unit);
        }
    }
    assert!(units.len() > 1);
}

/// Without a cooldown, a machine on which stops time out would be told to stop one task after
/// another.
#[test]
fn a_machine_that_caused_a_failed_move_is_in_cooldown() {
    let fleet = Fleet::new(&[12, 0, 0, 0]);
    let mut balancer = Balancer::new(LIMITS);
    balancer.observe(0, fleet.input(), NewMoves::Allowed);
    let unit = balancer.observe(10_000, fleet.input(), NewMoves::Allowed)[0].unit;
    balancer.handle_event(20_000, unit, MoveEvent::Failed(AbandonReason::StopTimedOut));
    for now in (20_000..20_000 + LIMITS.machine_cooldown_ms).step_by(1_000) {
        assert_eq!(balancer.observe(now, fleet.input(), NewMoves::Allowed), []);
    }
    let after = 20_000 + LIMITS.machine_cooldown_ms;
    assert_eq!(balancer.observe(after, fleet.input(), NewMoves::Allowed).len(), 1);
}

#[test]
fn a_reservation_lasts_until_the_move_is_over() {
    let fleet = Fleet::new(&[12, 0, 0, 0]);
    let mut balancer = Balancer::new(LIMITS);
    balancer.observe(0, fleet.input(), NewMoves::Allowed);
    let begun = balancer.observe(10_000, fleet.input(), NewMoves::Allowed);
    let (unit, target) = (begun[0].unit, begun[0].task_moves[0].target.clone());
    assert!(balancer.is_reserved(&target));
    // The same task is not planned again during its move, but another one may be.
    assert!(balancer
        .observe(30_000, fleet.input(), NewMoves::Allowed)
        .iter()
        .all(|m| m.unit != unit));
    let reserved = balancer.reserved_on(&target).cpus;
    let failed = MoveEvent::Failed(AbandonReason::TargetLost);
    assert!(matches!(balancer.handle_event(31_000, unit, failed), Some(MoveStage::Abandoned(_))));
    assert_eq!(balancer.reserved_on(&target).cpus, reserved - 1.0);
    assert_eq!(balancer.handle_event(32_000, unit, failed), None, "the move is over");
}
