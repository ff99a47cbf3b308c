//! Gangs: jobs whose tasks must all run at the same time.
//!
//! All tasks of a gang are placed in one scheduling cycle, with one attempt number. Only the
//! heartbeats of its machines decide how the attempt proceeds. It is over once any task has left
//! its machine without a result: the other tasks are told to stop, and keep their assignments until
//! they are known to have ended. Only then does the next attempt start. A new leader keeps an
//! attempt whose tasks are all present, and ends any other.

use std::sync::Arc;

use super::Scheduler;
use crate::constants::{FETCH_GRACE_MS, STOP_GRACE_S};
use crate::job::{Job, JobId, TaskId};
use crate::machine::{ExitCause, StopReason, StopRequest, TaskPhase, TaskRun};
use crate::Millis;

/// State of a gang's current attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// No task is assigned to a machine.
    Ended,
    /// Some task is being launched, fetches its image or waits for the others.
    Starting,
    /// Every task runs.
    Running,
    /// A task is missing or being stopped, so the others are stopped too.
    Stopping,
}

/// What to do with tasks that are still fetching their image when their attempt ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FetchesOnEnd {
    /// Let them finish the fetch: the next attempt needs the image.
    Continue,
    /// Stop them like any other task.
    Stop,
}

impl FetchesOnEnd {
    /// Returns the choice after `run` has ended. Fetches continue if the run ended because the gang
    /// was not complete in time.
    pub fn after(run: &TaskRun) -> Self {
        if run.phase == TaskPhase::Ended(ExitCause::GangIncomplete) {
            FetchesOnEnd::Continue
        } else {
            FetchesOnEnd::Stop
        }
    }
}

/// What to do with a task of an attempt that is over.
enum EndAction {
    /// The launch was never sent, so there is nothing to stop.
    Remove,
    Stop,
    Nothing,
}

/// The assignment of one task of a gang.
struct GangTask {
    index: u32,
    machine: Arc<str>,
    attempt: u64,
}

/// A gang's attempt with missing tasks.
struct IncompleteAttempt {
    job: JobId,
    /// The attempt numbers of its remaining tasks, possibly with duplicates.
    attempts: Vec<u64>,
    fetches: FetchesOnEnd,
}

impl Scheduler {
    /// Returns the state of a gang's current attempt, as reported by its machines.
    pub fn attempt_state(&self, job: &Job) -> AttemptState {
        if job.placed.is_empty() {
            return AttemptState::Ended;
        }
        let runs: Vec<&TaskRun> = self.placed_runs(job).collect();
        if !job.has_complete_attempt() || runs.iter().any(|run| run.stop.is_some()) {
            AttemptState::Stopping
        } else if runs.iter().all(|run| run.phase == TaskPhase::Running) {
            AttemptState::Running
        } else {
            AttemptState::Starting
        }
    }

    /// Returns the number of open gangs. Versions without gang support would run their tasks one by
    /// one.
    pub fn open_gangs(&self) -> usize {
        self.jobs.values().filter(|job| job.spec.gang).count()
    }

    /// Returns the runs of a job's tasks on the machines to which they are assigned.
    fn placed_runs<'a>(&'a self, job: &'a Job) -> impl Iterator<Item = &'a TaskRun> + 'a {
        job.placed.iter().filter_map(|(index, assignment)| {
            let task = TaskId { job: job.spec.id, index: *index };
            self.inventory.get(&assignment.machine)?.runs.get(&(task, assignment.attempt))
        })
    }

    /// Completes all tasks of a gang, since they complete together as soon as one is done.
    pub(super) fn complete_gang(&mut self, id: JobId, attempt: u64) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        for index in 0..job.spec.tasks {
            job.complete(index, attempt);
        }
        self.persistence.put_completed_job(id);
    }

    /// Ends an attempt after one of its tasks has left its machine without a result.
    pub(super) fn end_attempt(
        &mut self,
        now: Millis,
        id: JobId,
        attempt: u64,
        fetches: FetchesOnEnd,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.attempt_ended_at.get_or_insert(now);
        for GangTask { index, machine, .. } in assigned_tasks(job) {
            let Some(machine) = self.inventory.get_mut(&machine) else { continue };
            let key = (TaskId { job: id, index }, attempt);
            // Without a run, the task is in another attempt or has already left its machine.
            let Some(run) = machine.runs.get_mut(&key) else { continue };
            match end_action(run, fetches) {
                EndAction::Remove => {
                    machine.runs.remove(&key);
                    job.requeue(index);
                }
                EndAction::Stop => {
                    run.stop = Some(StopRequest::immediate(StopReason::GangAttemptEnded));
                    self.dispatcher.wake(&machine.name);
                }
                EndAction::Nothing => {}
            }
        }
    }

    /// Ends attempts with missing tasks: those that an earlier leader did not start completely,
    /// once all machines are reconciled, and the remaining tasks of attempts that are already over.
    /// Fetches of the latter are stopped after [`FETCH_GRACE_MS`].
    pub(super) fn end_incomplete_gang_attempts(&mut self, now: Millis) {
        for IncompleteAttempt { job, mut attempts, fetches } in self.incomplete_attempts(now) {
            attempts.dedup();
            for attempt in attempts {
                self.end_attempt(now, job, attempt, fetches);
            }
        }
    }

    fn incomplete_attempts(&self, now: Millis) -> Vec<IncompleteAttempt> {
        let all_reconciled = self.all_reconciled();
        self.jobs
            .values()
            .filter(|job| job.spec.gang && !job.placed.is_empty() && !job.has_complete_attempt())
            .filter(|job| all_reconciled || job.attempt_ended_at.is_some())
            .map(|job| {
                let may_fetch =
                    job.attempt_ended_at.is_some_and(|at| now < at.saturating_add(FETCH_GRACE_MS));
                let attempts = job.placed.values().map(|assignment| assignment.attempt).collect();
                let fetches = if may_fetch { FetchesOnEnd::Continue } else { FetchesOnEnd::Stop };
                IncompleteAttempt { job: job.spec.id, attempts, fetches }
            })
            .collect()
    }

    /// Tells all tasks of a running gang to save their progress and stop. Does nothing unless all
    /// of their machines are responsive.
    pub(super) fn stop_gang(&mut self, now: Millis, id: JobId, reason: StopReason) {
        let Some(job) = self.jobs.get(&id) else { return };
        let probe_after_ms = self.policy.probe_after_ms();
        let is_responsive = |machine: &str| {
            self.inventory
                .get(machine)
                .is_some_and(|m| m.is_up() && !m.heartbeat_older_than(now, probe_after_ms))
        };
        let all_responsive =
            job.placed.values().all(|assignment| is_responsive(&assignment.machine));
        if self.attempt_state(job) != AttemptState::Running || !all_responsive {
            return;
        }
        let grace_s = job.spec.save_s + STOP_GRACE_S;
        for GangTask { index, machine, attempt } in assigned_tasks(job) {
            let Some(machine) = self.inventory.get_mut(&machine) else { continue };
            let key = (TaskId { job: id, index }, attempt);
            if let Some(run) = machine.runs.get_mut(&key) {
                run.stop = Some(StopRequest::with_grace(reason, grace_s));
                self.dispatcher.wake(&machine.name);
            }
        }
    }
}

/// Returns the tasks of a gang that are assigned to machines, by index.
fn assigned_tasks(job: &Job) -> Vec<GangTask> {
    job.placed
        .iter()
        .map(|(index, assignment)| GangTask {
            index: *index,
            machine: assignment.machine.clone(),
            attempt: assignment.attempt,
        })
        .collect()
}

/// Returns what to do with a run of an attempt that is over.
fn end_action(run: &TaskRun, fetches: FetchesOnEnd) -> EndAction {
    let stops_immediately = run.stop.is_some_and(|stop| stop.grace_s == 0.0);
    match run.phase {
        TaskPhase::Ended(_) => EndAction::Nothing,
        TaskPhase::Assigned if run.launch_sends == 0 => EndAction::Remove,
        TaskPhase::Fetching if fetches == FetchesOnEnd::Continue && run.stop.is_none() => {
            EndAction::Nothing
        }
        _ if stops_immediately => EndAction::Nothing,
        _ => EndAction::Stop,
    }
}
