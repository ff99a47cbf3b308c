//! Carries out moves: stops their tasks on the source machines, tracks them, and launches them on
//! the targets.

use std::collections::BTreeMap;
use std::sync::Arc;

use latchtrack_balance::moves::{AbandonReason, Move, MoveEvent, MoveStage, MoveUnit, TaskMove};

use super::super::{AttemptState, Scheduler};
use super::planner_input::is_movable;
use crate::constants::STOP_GRACE_S;
use crate::job::{Job, JobId, TaskId};
use crate::machine::{StopReason, StopRequest, TaskPhase};
use crate::rules;
use crate::Millis;

/// Whether all tasks of a move have been requested to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopResult {
    Requested,
    NotPossible,
}

impl StopResult {
    fn requested_if(requested: bool) -> Self {
        if requested {
            StopResult::Requested
        } else {
            StopResult::NotPossible
        }
    }
}

impl Scheduler {
    /// Returns the moves in progress, for tests.
    pub fn moves(&self) -> &[Move] {
        self.load_balancing.moves()
    }

    /// Requests that the tasks of a move save their progress and stop. The capacity on its targets
    /// is already reserved.
    pub(super) fn begin_move(&mut self, now: Millis, new_move: &Move) {
        let job = JobId(new_move.unit.job);
        let stop = match new_move.unit.task {
            None => self.stop_gang_for_move(now, job),
            Some(_) => StopResult::requested_if(new_move.task_moves.iter().all(|task_move| {
                self.stop_task_for_move(now, job, task_move) == StopResult::Requested
            })),
        };
        let event = match stop {
            StopResult::Requested => MoveEvent::StopSent,
            StopResult::NotPossible => MoveEvent::Failed(AbandonReason::StopNotSent),
        };
        self.handle_move_event(now, new_move.unit, event);
    }

    fn stop_gang_for_move(&mut self, now: Millis, id: JobId) -> StopResult {
        self.stop_gang(now, id, StopReason::Moved);
        let is_stopping = |job: &Job| self.attempt_state(job) == AttemptState::Stopping;
        StopResult::requested_if(self.jobs.get(&id).is_some_and(is_stopping))
    }

    fn stop_task_for_move(&mut self, now: Millis, id: JobId, task_move: &TaskMove) -> StopResult {
        let assignment = self.jobs.get(&id).and_then(|job| job.placed.get(&task_move.task));
        let Some(assignment) = assignment else { return StopResult::NotPossible };
        let key = (TaskId { job: id, index: task_move.task }, assignment.attempt);
        let probe_after_ms = self.policy.probe_after_ms();
        let Some(machine) = self.inventory.get_mut(&task_move.source) else {
            return StopResult::NotPossible;
        };
        if *assignment.machine != *task_move.source
            || machine.heartbeat_older_than(now, probe_after_ms)
        {
            return StopResult::NotPossible;
        }
        let Some(run) = machine.runs.get_mut(&key).filter(|run| is_movable(run)) else {
            return StopResult::NotPossible;
        };
        let save_s = run.spec.as_ref().map_or(0.0, |spec| spec.save_s);
        run.stop = Some(StopRequest::with_grace(StopReason::Moved, save_s + STOP_GRACE_S));
        self.dispatcher.wake(&task_move.source);
        StopResult::Requested
    }

    /// Advances the moves in progress by the state of their tasks and machines, and launches tasks
    /// that have ended on their sources.
    pub(in crate::scheduler) fn advance_moves(&mut self, now: Millis) {
        if self.load_balancing.moves().is_empty() {
            return;
        }
        for active in self.load_balancing.moves().to_vec() {
            for event in self.move_events(now, &active) {
                self.handle_move_event(now, active.unit, event);
            }
            let ready = self.load_balancing.active_move(active.unit);
            if let Some(ready) = ready.filter(|m| m.stage == MoveStage::Ready).cloned() {
                let event = match self.launch_on_targets(now, &ready) {
                    Ok(()) => MoveEvent::Launched,
                    Err(reason) => MoveEvent::Failed(reason),
                };
                self.handle_move_event(now, ready.unit, event);
            }
            self.handle_move_event(now, active.unit, MoveEvent::Tick);
        }
    }

    fn handle_move_event(&mut self, now: Millis, unit: MoveUnit, event: MoveEvent) {
        let Some(stage) = self.load_balancing.handle_event(now, unit, event) else { return };
        if stage.is_final() {
            // Either reserved capacity has become free, or a task has returned to the queue.
            self.cycle_timer.request();
            self.log_move_ended(unit, stage);
        }
    }

    /// Returns what has happened to the tasks of a move in its current stage.
    fn move_events(&self, now: Millis, active: &Move) -> Vec<MoveEvent> {
        let Some(job) = self.jobs.get(&JobId(active.unit.job)) else {
            return vec![MoveEvent::Failed(AbandonReason::JobOver)];
        };
        let events = active.task_moves.iter().filter_map(|task_move| match active.stage {
            MoveStage::Reserved | MoveStage::Stopping => self.stopping_event(now, job, task_move),
            MoveStage::Launching => self.launching_event(job, task_move),
            MoveStage::Ready | MoveStage::Settled | MoveStage::Abandoned(_) => None,
        });
        events.collect()
    }

    /// Returns the event for a task that was requested to stop; `None` while it is still on its
    /// source.
    fn stopping_event(&self, now: Millis, job: &Job, task_move: &TaskMove) -> Option<MoveEvent> {
        if job.done.get(task_move.task) {
            return Some(MoveEvent::Failed(AbandonReason::Completed));
        }
        let Some(assignment) = job.placed.get(&task_move.task) else {
            return Some(MoveEvent::Ended { task: task_move.task });
        };
        if *assignment.machine != *task_move.source {
            return Some(MoveEvent::Failed(AbandonReason::JobOver));
        }
        let source = self.inventory.get(&task_move.source);
        let is_lost = source.is_none_or(|machine| {
            machine.to_terminate || machine.heartbeat_older_than(now, self.policy.probe_after_ms())
        });
        is_lost.then_some(MoveEvent::Failed(AbandonReason::SourceLost))
    }

    /// Returns the event for a task that was launched on its target; `None` until it is seen to
    /// run.
    fn launching_event(&self, job: &Job, task_move: &TaskMove) -> Option<MoveEvent> {
        if job.done.get(task_move.task) {
            return Some(MoveEvent::Running { task: task_move.task });
        }
        let assignment = job.placed.get(&task_move.task);
        let Some(assignment) = assignment.filter(|a| a.machine == task_move.target) else {
            return Some(MoveEvent::Failed(AbandonReason::TargetLost));
        };
        let key = (TaskId { job: job.spec.id, index: task_move.task }, assignment.attempt);
        let run = self.inventory.get(&task_move.target)?.runs.get(&key)?;
        let is_running = run.phase == TaskPhase::Running;
        is_running.then_some(MoveEvent::Running { task: task_move.task })
    }

    /// Launches the tasks of a move on its targets, or returns the reason why it must be abandoned.
    fn launch_on_targets(&mut self, now: Millis, ready: &Move) -> Result<(), AbandonReason> {
        let id = JobId(ready.unit.job);
        self.check_launch(now, id, ready)?;
        let Some(job) = self.jobs.get_mut(&id) else { return Err(AbandonReason::JobOver) };
        let spec = job.spec.clone();
        let waiting = ready.task_moves.iter().filter(|task_move| job.take_one(task_move.task));
        for task_move in waiting.collect::<Vec<&TaskMove>>() {
            self.assign_tasks(id, &spec, &task_move.target, &[task_move.task]);
        }
        Ok(())
    }

    /// Makes the same checks as for any launch: the constraints of the job, its team's limit, and
    /// the free capacity of each target.
    fn check_launch(&self, now: Millis, id: JobId, ready: &Move) -> Result<(), AbandonReason> {
        let job = self.jobs.get(&id).ok_or(AbandonReason::JobOver)?;
        let spec = &job.spec;
        if self.tasks_within_limit(spec, &self.limited_usage()) < ready.task_moves.len() as u32 {
            return Err(AbandonReason::TeamLimit);
        }
        let mut zones: Vec<Arc<str>> = self.zones_in_use(job);
        let mut launched: BTreeMap<&str, u32> = BTreeMap::new();
        for task_move in &ready.task_moves {
            let target = self.inventory.get(&task_move.target).ok_or(AbandonReason::TargetLost)?;
            let mut capacity = self
                .free_capacity_of(now, target)
                .filter(|capacity| capacity.ready && self.has_recent_heartbeat(now, target))
                .ok_or(AbandonReason::TargetLost)?;
            let others = zones.iter().map(|zone| &**zone);
            let may_start = rules::may_start(
                spec,
                &capacity.machine_type,
                &capacity.zone,
                capacity.spot,
                others,
            );
            if !may_start || self.avoids_machine(now, job, &task_move.target) {
                return Err(AbandonReason::ConstraintViolated);
            }
            // The free capacity excludes what this move has reserved.
            let own = ready.reserved_on(&task_move.target);
            capacity.free.cpus += own.cpus;
            capacity.free.gpus += own.gpus;
            capacity.free.memory_gb += own.memory_gb;
            let tasks_here = launched.entry(&task_move.target).or_default();
            *tasks_here += 1;
            if capacity.fitting_tasks(&spec.demand) < *tasks_here {
                return Err(AbandonReason::TargetFull);
            }
            zones.push(capacity.zone.clone());
        }
        Ok(())
    }
}
