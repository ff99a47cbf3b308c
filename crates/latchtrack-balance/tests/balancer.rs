//! The balancer over time: hysteresis, budgets, and no oscillation.

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

/// Machines of 16 CPUs, and the tasks of one CPU that run on each.
struct Fleet {
    on: Vec<Vec<MoveUnit>>,
}

impl Fleet {
    fn new(loads: &[u32]) -> Fleet {
        let tasks = |(machine, n): (usize, &u32)| {
            (0..*n).map(|task| MoveUnit { job: machine as u64, task: Some(task) }).collect()
        };
        Fleet { on: loads.iter().enumerate().map(tasks).collect() }
    }

    fn input(&self) -> PlanInput {
        let mut input = PlanInput::default();
        for (index, units) in self.on.iter().enumerate() {
            input.machines.push(machine(index, 16.0, units.len() as f64));
            for unit in units {
                let task = unit.task.expect("a task of an array");
                input.movables.push(movable(*unit, &[(task, index)], 1.0));
            }
        }
        input
    }

    /// Observes the loads once and completes the moves that begin. Returns how many they are.
    fn observe_and_complete(&mut self, balancer: &mut Balancer, now: u64) -> usize {
        let begun = balancer.observe(now, self.input(), NewMoves::Allowed);
        for m in &begun {
            let task_move = &m.task_moves[0];
            let index = |name: &str| (0..self.on.len()).find(|i| *common::name(*i) == *name);
            let (from, to) = (index(&task_move.source).unwrap(), index(&task_move.target).unwrap());
            self.on[from].retain(|unit| *unit != m.unit);
            self.on[to].push(m.unit);
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
        self.on.iter().map(Vec::len).max().unwrap_or(0)
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
    // Over the bound, not over it, and over it again: the time begins anew.
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
        "the loads were observed meanwhile"
    );
}

#[test]
fn moves_stay_in_their_budgets_and_restore_the_bound() {
    let mut fleet = Fleet::new(&[16, 16, 0, 0, 0, 0, 0, 0]);
    let mut balancer = Balancer::new(LIMITS);
    let mut begun: BTreeMap<u64, usize> = BTreeMap::new();
    for now in (0..600_000).step_by(1_000) {
        *begun.entry(now / 60_000).or_default() += fleet.observe_and_complete(&mut balancer, now);
    }
    assert!(begun.values().all(|n| *n <= 6), "{begun:?}");
    // 32 tasks on 8 machines: 4 on average, 1.25 times that and one task.
    assert!(fleet.max_tasks() <= 6, "{:?}", fleet.on.iter().map(Vec::len).collect::<Vec<_>>());
    assert_eq!(balancer.counts().settled, balancer.counts().begun);
    let late: usize = begun.iter().filter(|(minute, _)| **minute >= 6).map(|(_, n)| n).sum();
    assert_eq!(late, 0, "once within the bound nothing moves: {begun:?}");
}

/// Load appears and disappears on the same machines again and again, as when two teams turn hot and
/// cool together. No task moves back and forth.
#[test]
fn load_that_comes_and_goes_moves_no_task_twice() {
    let mut fleet = Fleet::new(&[4; 8]);
    let mut balancer = Balancer::new(LIMITS);
    let mut moved: BTreeMap<MoveUnit, Vec<u64>> = BTreeMap::new();
    for now in (0..900_000u64).step_by(1_000) {
        if now % 100_000 == 50_000 {
            for machine in 0..2 {
                let hot = |task| MoveUnit { job: 100 + now / 100_000, task: Some(task) };
                fleet.on[machine].extend((0..10).map(|i| hot(machine as u32 * 10 + i)));
            }
        }
        if now % 100_000 == 90_000 {
            for units in &mut fleet.on {
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
fn young_tasks_stay() {
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

/// A crowded machine that was relieved a moment ago does not use up the budget of another one.
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

/// Operators may set the cooldowns to 0.
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

/// Without a cooldown a machine whose stops time out would have one task after the other told to
/// stop.
#[test]
fn a_machine_that_made_a_move_fail_is_in_cooldown() {
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
    // The same task is not planned again while it is on its way; another one may be.
    assert!(balancer
        .observe(30_000, fleet.input(), NewMoves::Allowed)
        .iter()
        .all(|m| m.unit != unit));
    let reserved = balancer.reserved_on(&target).cpus;
    let failed = MoveEvent::Failed(AbandonReason::TargetLost);
    assert!(matches!(balancer.handle_event(31_000, unit, failed), Some(MoveStage::Abandoned(_))));
    assert_eq!(balancer.reserved_on(&target).cpus, reserved - 1.0);
    assert_eq!(balancer.handle_event(32_000, unit, failed), None, "it is over");
}
