//! The balancer of one leader: what it has seen of loads, and the moves that are under way.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::constants::*;
use crate::moves::{AbandonReason, Move, MoveEvent, MoveStage, MoveUnit, Side};
use crate::planner::{over_bound, plan, spreads, PlanInput, PlannedMove};
use crate::resources::Resources;
use crate::spread::Spread;
use crate::throttle::MoveThrottle;
use crate::Millis;

/// How often and how soon tasks move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveLimits {
    /// ms a machine must be over the bound first.
    pub over_bound_ms: Millis,
    /// ms a task must have run.
    pub min_run_ms: Millis,
    /// ms between two moves of a task.
    pub task_cooldown_ms: Millis,
    /// The same for a machine.
    pub machine_gap_ms: Millis,
    /// ms for which a machine that was in the way of a move takes part in no other.
    pub machine_cooldown_ms: Millis,
    /// Moves that may begin in a minute.
    pub moves_per_minute: u32,
    /// Times its cost that the remaining run time of a task must be.
    pub worth_factor: f64,
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
            worth_factor: WORTH_FACTOR,
        }
    }
}

/// Moves that are over, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MoveCounts {
    /// Moves that have begun.
    pub begun: u64,
    /// Moves whose tasks run on their targets.
    pub settled: u64,
    /// Moves that were given up.
    pub abandoned: u64,
}

/// What a leader knows of the balance of its cluster. Nothing of it is stored: a new leader begins anew.
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
    /// A balancer that has seen nothing.
    pub fn new(limits: MoveLimits) -> Self {
        Balancer { limits, ..Balancer::default() }
    }

    /// Takes in the loads; returns the moves that begin now, with their targets reserved. `unsettled` says
    /// that nothing may begin: the loads are observed all the same.
    pub fn observe(&mut self, now: Millis, mut input: PlanInput, unsettled: bool) -> Vec<Move> {
        input.worth_factor = self.limits.worth_factor;
        self.spreads = spreads(&input);
        let over = over_bound(&input);
        let name = |machine: &usize| input.machines[*machine].name.clone();
        let over: BTreeMap<Arc<str>, Millis> = over
            .keys()
            .map(name)
            .map(|name| (name.clone(), self.over_since.get(&name).copied().unwrap_or(now)))
            .collect();
        self.over_since = over;
        self.throttle.expire(now, self.limits.task_cooldown_ms);
        if unsettled {
            return Vec::new();
        }
        input.budget = self.throttle.remaining_budget(now, self.limits.moves_per_minute);
        input.once_per_machine = self.limits.machine_gap_ms > 0;
        self.restrict(now, &mut input);
        let planned = plan(&input).moves;
        planned.into_iter().map(|planned| self.begin(now, planned)).collect()
    }

    /// Leaves out what is not to move yet: sources that have not been over the bound for long, machines
    /// that took part in a move a moment ago, tasks that were moved lately or are on their way.
    fn restrict(&self, now: Millis, input: &mut PlanInput) {
        let limits = &self.limits;
        for machine in &mut input.machines {
            let rests = self.throttle.machine_in_cooldown(now, &machine.name);
            let over = self.over_since.get(&machine.name);
            let for_long = over.is_some_and(|at| now >= at.saturating_add(limits.over_bound_ms));
            machine.may_give &= !rests;
            machine.may_be_relieved &= for_long;
            machine.may_receive &= !rests;
        }
        input.movables.retain(|movable| {
            let moving = self.moves.iter().any(|m| m.unit == movable.unit);
            let ran = movable.ran_ms >= limits.min_run_ms;
            ran && !moving
                && !self.throttle.unit_in_cooldown(now, movable.unit, limits.task_cooldown_ms)
        });
    }

    /// A planned move begins.
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

    /// Tells a move what happened to it; returns its stage if that changed.
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

    /// A machine that was in the way of a move is left alone for a while: the next attempt would most likely
    /// end in the same way.
    fn cool_down_after(&mut self, now: Millis, over: &Move, reason: AbandonReason) {
        let ms = self.limits.machine_cooldown_ms;
        for task_move in &over.task_moves {
            match reason.side() {
                Some(Side::Source) => {
                    self.throttle.start_machine_cooldown(now, &task_move.source, ms)
                }
                Some(Side::Target) => {
                    self.throttle.start_machine_cooldown(now, &task_move.target, ms)
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

    /// How many moves there were.
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

    /// Whether room is kept on a machine, so that it is not idle.
    pub fn is_reserved(&self, machine: &str) -> bool {
        self.reserved_on(machine) != Resources::default()
    }

    /// What moves will take off a machine.
    pub fn leaving_from(&self, machine: &str) -> Resources {
        self.moves.iter().fold(Resources::default(), |sum, m| sum.plus(&m.leaving_from(machine)))
    }
}
