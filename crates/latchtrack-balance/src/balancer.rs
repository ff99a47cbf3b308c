//! The balancer of one leader: what it has seen of loads, and the moves that are under way.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::constants::{
    MACHINE_COOLDOWN_MS, MACHINE_GAP_MS, MIN_REMAINING_TO_COST, MIN_RUN_MS, MOVES_PER_MINUTE,
    OVER_BOUND_MS, RECENT_MOVES, TASK_COOLDOWN_MS,
};
use crate::moves::{AbandonReason, Move, MoveEvent, MoveStage, MoveUnit, Side};
use crate::planner::{over_bound, plan, ClusterLoads, PlanInput, PlannedMove};
use crate::resources::Resources;
use crate::spread::Spread;
use crate::throttle::MoveThrottle;
use crate::Millis;

/// How often and how soon tasks may move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveLimits {
    /// ms that a machine must be over its bound before a task of it moves.
    pub over_bound_ms: Millis,
    /// ms that a task must have run before it may move.
    pub min_run_ms: Millis,
    /// ms between two moves of a task.
    pub task_cooldown_ms: Millis,
    /// ms between two moves from or to a machine.
    pub machine_gap_ms: Millis,
    /// ms for which a machine that made a move fail takes part in no other.
    pub machine_cooldown_ms: Millis,
    /// Moves that may begin in a minute.
    pub moves_per_minute: u32,
    /// The remaining run time that is worth a move, in multiples of its cost.
    pub min_remaining_to_cost: f64,
}

impl Default for MoveLimits {
    fn default() -> Self {
        MoveLimits {
            over_bound_ms: OVER_BOUND_MS,
            min_run_ms: MIN_RUN_MS,
            task_cooldown_ms: TASK_COOLDOWN_MS,
            machine_gap_ms: MACHINE_GAP_MS,
            machine_cooldown_ms: MACHINE_COOLDOWN_MS,
            moves_per_minute: MOVES_PER_MINUTE,
            min_remaining_to_cost: MIN_REMAINING_TO_COST,
        }
    }
}

/// Whether moves may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewMoves {
    /// They may.
    Allowed,
    /// They may not: the loads are observed all the same.
    Suspended,
}

/// Moves of a term, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MoveCounts {
    /// Moves that have begun.
    pub begun: u64,
    /// Moves whose tasks run on their targets.
    pub settled: u64,
    /// Moves that were abandoned.
    pub abandoned: u64,
}

/// The balancer of one leader. Nothing of it is stored: a new leader begins anew.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    limits: MoveLimits,
    /// Since when machines have been over their bound.
    over_since: BTreeMap<Arc<str>, Millis>,
    spreads: BTreeMap<u32, Spread>,
    moves: Vec<Move>,
    recent: VecDeque<Move>,
    throttle: MoveThrottle,
    counts: MoveCounts,
}

impl Balancer {
    /// A balancer that has observed nothing.
    pub fn new(limits: MoveLimits) -> Self {
        Balancer { limits, ..Balancer::default() }
    }

    /// Takes in the loads; returns the moves that begin now, with their targets reserved.
    pub fn observe(&mut self, now: Millis, mut input: PlanInput, new_moves: NewMoves) -> Vec<Move> {
        input.min_remaining_to_cost = self.limits.min_remaining_to_cost;
        let loads = ClusterLoads::of(&input.machines);
        self.spreads = loads.spreads().clone();
        self.note_over_bound(now, &input, &loads);
        self.throttle.expire(now, self.limits.task_cooldown_ms);
        if new_moves == NewMoves::Suspended {
            return Vec::new();
        }
        input.budget = self.throttle.remaining_budget(now, self.limits.moves_per_minute);
        input.once_per_machine = self.limits.machine_gap_ms > 0;
        self.restrict(now, &mut input);
        // The restrictions leave the amounts of the machines alone, so the loads still hold.
        let planned = plan(&input, &loads).moves;
        planned.into_iter().map(|planned| self.begin(now, planned)).collect()
    }

    /// Notes which machines are over their bound, and since when.
    fn note_over_bound(&mut self, now: Millis, input: &PlanInput, loads: &ClusterLoads) {
        let since = |machine: usize| {
            let name = input.machines[machine].name.clone();
            let since = self.over_since.get(&name).copied().unwrap_or(now);
            (name, since)
        };
        self.over_since = over_bound(input, loads).into_iter().map(since).collect();
    }

    /// Leaves out what may not move yet: sources that have not been over the bound for long,
    /// machines in cooldown, and tasks that are young, in cooldown or moving already.
    fn restrict(&self, now: Millis, input: &mut PlanInput) {
        let limits = &self.limits;
        for machine in &mut input.machines {
            let in_cooldown = self.throttle.machine_in_cooldown(now, &machine.name);
            let over_since = self.over_since.get(&machine.name);
            let over_for_long =
                over_since.is_some_and(|at| now >= at.saturating_add(limits.over_bound_ms));
            machine.may_be_source &= !in_cooldown;
            machine.may_be_relieved &= over_for_long;
            machine.may_be_target &= !in_cooldown;
        }
        input.movables.retain(|movable| {
            let is_moving = self.moves.iter().any(|active| active.unit == movable.unit);
            let ran_long_enough = movable.ran_ms >= limits.min_run_ms;
            ran_long_enough
                && !is_moving
                && !self.throttle.unit_in_cooldown(now, movable.unit, limits.task_cooldown_ms)
        });
    }

    /// Begins a planned move: reserves its targets and counts it.
    fn begin(&mut self, now: Millis, planned: PlannedMove) -> Move {
        let gap_ms = self.limits.machine_gap_ms;
        let begun = Move {
            unit: planned.unit,
            task_moves: planned.task_moves,
            stage: MoveStage::Reserved,
            since: now,
            save_ms: (planned.save_s * 1000.0) as Millis,
            load: planned.load,
            bound: planned.bound,
        };
        self.throttle.record_start(now, begun.unit);
        for machine in begun.machines() {
            self.throttle.start_machine_cooldown(now, machine, gap_ms);
        }
        self.counts.begun += 1;
        self.moves.push(begun.clone());
        begun
    }

    /// Hands an event to the move of a unit; returns the stage of the move if that has changed.
    pub fn handle_event(
        &mut self,
        now: Millis,
        unit: MoveUnit,
        event: MoveEvent,
    ) -> Option<MoveStage> {
        let index = self.moves.iter().position(|m| m.unit == unit)?;
        let changed = self.moves[index].handle(now, event);
        let stage = self.moves[index].stage;
        if stage.is_final() {
            let over = self.moves.remove(index);
            match stage {
                MoveStage::Abandoned(reason) => {
                    self.counts.abandoned += 1;
                    self.cool_down_after(now, &over, reason);
                }
                _ => self.counts.settled += 1,
            }
            self.recent.push_back(over);
            if self.recent.len() > RECENT_MOVES {
                self.recent.pop_front();
            }
        }
        changed.then_some(stage)
    }

    /// Leaves the machines alone that made a move fail: the next attempt would most likely end in
    /// the same way.
    fn cool_down_after(&mut self, now: Millis, over: &Move, reason: AbandonReason) {
        let cooldown_ms = self.limits.machine_cooldown_ms;
        for task_move in &over.task_moves {
            match reason.side() {
                Some(Side::Source) => {
                    self.throttle.start_machine_cooldown(now, &task_move.source, cooldown_ms)
                }
                Some(Side::Target) => {
                    self.throttle.start_machine_cooldown(now, &task_move.target, cooldown_ms)
                }
                None => {}
            }
        }
    }

    /// The moves under way.
    pub fn moves(&self) -> &[Move] {
        &self.moves
    }

    /// The last moves that are over.
    pub fn recent(&self) -> impl Iterator<Item = &Move> {
        self.recent.iter()
    }

    /// The moves of this term, counted.
    pub fn counts(&self) -> MoveCounts {
        self.counts
    }

    /// The spread of each pool, as last observed.
    pub fn spreads(&self) -> &BTreeMap<u32, Spread> {
        &self.spreads
    }

    /// Machines over their bound, as last observed.
    pub fn over_bound(&self) -> usize {
        self.over_since.len()
    }

    /// What moves keep free on a machine.
    pub fn reserved_on(&self, machine: &str) -> Resources {
        self.moves.iter().fold(Resources::default(), |sum, m| sum.plus(&m.reserved_on(machine)))
    }

    /// Whether moves keep anything free on a machine, so that it is not idle.
    pub fn is_reserved(&self, machine: &str) -> bool {
        self.reserved_on(machine) != Resources::default()
    }

    /// What moves will free on a machine.
    pub fn leaving_from(&self, machine: &str) -> Resources {
        self.moves.iter().fold(Resources::default(), |sum, m| sum.plus(&m.leaving_from(machine)))
    }
}
