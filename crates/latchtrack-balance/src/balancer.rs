//! The balancer of a leader: observes loads, decides which moves begin, and tracks them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::constants::{
    MACHINE_COOLDOWN_MS, MACHINE_GAP_MS, MAX_RECENT_MOVES, MIN_REMAINING_TO_COST, MIN_RUN_MS,
    MOVES_PER_MINUTE, OVER_BOUND_MS, TASK_COOLDOWN_MS,
};
use crate::moves::{AbandonReason, Move, MoveEvent, MoveSide, MoveStage, MoveUnit};
use crate::planner::{over_bound, plan, ClusterLoads, PlanInput, PlannedMove};
use crate::resources::Resources;
use crate::spread::Spread;
use crate::throttle::MoveThrottle;
use crate::Millis;

/// Limits on how often and how soon tasks may be moved.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveLimits {
    /// ms for which a machine must be over its bound before a task is moved off it.
    pub over_bound_ms: Millis,
    /// ms for which a task must have run before it may be moved.
    pub min_run_ms: Millis,
    /// Minimum ms between the starts of two moves of the same task or gang.
    pub task_cooldown_ms: Millis,
    /// Minimum ms between the starts of two moves from or to the same machine. If 0, a machine may
    /// also take part in several moves of one plan.
    pub machine_gap_ms: Millis,
    /// ms for which a machine that caused a move to fail takes part in no other move.
    pub machine_cooldown_ms: Millis,
    /// Maximum number of moves that begin per minute.
    pub moves_per_minute: u32,
    /// Minimum ratio of a task's remaining run time to the cost of its move.
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
    /// New moves may begin.
    Allowed,
    /// No new moves begin, but loads are still observed.
    Suspended,
}

/// Numbers of moves in a leader's term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MoveCounts {
    /// Moves that have begun, including those that have ended since.
    pub begun: u64,
    /// Moves that ended with all their tasks running on the targets.
    pub settled: u64,
    /// Moves that were abandoned, for any [`AbandonReason`].
    pub abandoned: u64,
}

/// The balancer of a leader. Its state is not persisted: a new leader starts with an empty one.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    limits: MoveLimits,
    /// Time since which each overloaded machine has been over its bound.
    over_since: BTreeMap<Arc<str>, Millis>,
    spreads: BTreeMap<u32, Spread>,
    moves: Vec<Move>,
    recent: VecDeque<Move>,
    throttle: MoveThrottle,
    counts: MoveCounts,
}

impl Balancer {
    /// Creates a balancer that has observed no loads.
    pub fn new(limits: MoveLimits) -> Self {
        Balancer { limits, ..Balancer::default() }
    }

    /// Observes the loads. Returns the moves that begin now, whose targets have been reserved.
    pub fn observe(&mut self, now: Millis, mut input: PlanInput, new_moves: NewMoves) -> Vec<Move> {
        input.min_remaining_to_cost = self.limits.min_remaining_to_cost;
        let loads = ClusterLoads::of(&input.machines);
        self.spreads = loads.spreads().clone();
        self.update_over_since(now, &input, &loads);
        self.throttle.expire(now, self.limits.task_cooldown_ms);
        if new_moves == NewMoves::Suspended {
            return Vec::new();
        }
        input.budget = self.throttle.remaining_budget(now, self.limits.moves_per_minute);
        input.once_per_machine = self.limits.machine_gap_ms > 0;
        self.apply_limits(now, &mut input);
        // `apply_limits` doesn't change any resource amounts, so `loads` is still valid.
        let planned = plan(&input, &loads).moves;
        planned.into_iter().map(|planned| self.begin(now, planned)).collect()
    }

    /// Updates which machines are over their bound, and since when.
    fn update_over_since(&mut self, now: Millis, input: &PlanInput, loads: &ClusterLoads) {
        let since = |machine: usize| {
            let name = input.machines[machine].name.clone();
            let since = self.over_since.get(&name).copied().unwrap_or(now);
            (name, since)
        };
        self.over_since = over_bound(input, loads).into_iter().map(since).collect();
    }

    /// Restricts the input to moves that may begin now. Machines in cooldown take part in none, and
    /// machines that have not been over their bound for long enough are not relieved. Tasks that
    /// are in cooldown, are being moved, or have not run for long enough are removed.
    fn apply_limits(&self, now: Millis, input: &mut PlanInput) {
        let limits = &self.limits;
        for machine in &mut input.machines {
            let in_cooldown = self.throttle.machine_in_cooldown(now, &machine.name);
            let over_since = self.over_since.get(&machine.name);
            let over_long_enough =
                over_since.is_some_and(|at| now >= at.saturating_add(limits.over_bound_ms));
            machine.may_be_source &= !in_cooldown;
            machine.may_be_relieved &= over_long_enough;
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

    /// Begins a planned move: reserves its targets and starts the cooldowns.
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

    /// Passes an event to the move of a unit. Returns the new stage of the move if it has changed.
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
            let finished = self.moves.remove(index);
            match stage {
                MoveStage::Abandoned(reason) => {
                    self.counts.abandoned += 1;
                    self.start_failure_cooldowns(now, &finished, reason);
                }
                _ => self.counts.settled += 1,
            }
            self.recent.push_back(finished);
            if self.recent.len() > MAX_RECENT_MOVES {
                self.recent.pop_front();
            }
        }
        changed.then_some(stage)
    }

    /// Starts cooldowns of the machines that caused a move to fail, since another move from or to
    /// them would most likely fail in the same way.
    fn start_failure_cooldowns(&mut self, now: Millis, finished: &Move, reason: AbandonReason) {
        let cooldown_ms = self.limits.machine_cooldown_ms;
        for task_move in &finished.task_moves {
            match reason.faulty_side() {
                Some(MoveSide::Source) => {
                    self.throttle.start_machine_cooldown(now, &task_move.source, cooldown_ms)
                }
                Some(MoveSide::Target) => {
                    self.throttle.start_machine_cooldown(now, &task_move.target, cooldown_ms)
                }
                None => {}
            }
        }
    }

    /// Returns the moves in progress, in the order in which they began.
    pub fn moves(&self) -> &[Move] {
        &self.moves
    }

    /// Iterates over the last [`MAX_RECENT_MOVES`] finished moves, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &Move> {
        self.recent.iter()
    }

    /// Returns the numbers of moves since this balancer was created.
    pub fn counts(&self) -> MoveCounts {
        self.counts
    }

    /// Returns the spread of each pool when last observed.
    pub fn spreads(&self) -> &BTreeMap<u32, Spread> {
        &self.spreads
    }

    /// Returns the number of machines that were over their bound when last observed.
    pub fn over_bound(&self) -> usize {
        self.over_since.len()
    }

    /// Returns the resources that moves reserve on a machine.
    pub fn reserved_on(&self, machine: &str) -> Resources {
        self.moves.iter().fold(Resources::default(), |sum, m| sum.plus(&m.reserved_on(machine)))
    }

    /// Whether moves have reserved resources on a machine, which is then not idle.
    pub fn is_reserved(&self, machine: &str) -> bool {
        self.reserved_on(machine) != Resources::default()
    }

    /// Returns the resources on a machine that moves have yet to free by stopping tasks.
    pub fn leaving_from(&self, machine: &str) -> Resources {
        self.moves.iter().fold(Resources::default(), |sum, m| sum.plus(&m.leaving_from(machine)))
    }
}
