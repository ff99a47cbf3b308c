//! Gangs: jobs whose tasks run all at the same time or not at all.
//!
//! All tasks of a gang are placed in one scheduling cycle under one attempt number. What becomes of
//! the attempt is told by the heartbeats of its machines alone. As soon as one task is off its
//! machine without a result the attempt is over: its other tasks are told to stop, and keep their
//! assignments until they are surely gone. Only then does the next attempt start. A new leader
//! leaves an attempt alone whose tasks are all there, and ends any other.

use std::sync::Arc;

use super::Scheduler;
use crate::constants::{FETCH_GRACE_MS, STOP_GRACE_S};
use crate::job::{Job, JobId, TaskId};
use crate::machine::{ExitCause, StopRequest, TaskPhase, TaskRun};
use crate::Millis;

/// How the attempt of a gang stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// No task is on a machine.
    Ended,
    /// Some task is on its way to its machine, fetches its image or waits for the others.
    Starting,
    /// Every task runs.
    Running,
    /// A task is gone or is being stopped, so that the others go too.
    Stopping,
}

/// What becomes of tasks that fetch their image when their attempt ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FetchesOnEnd {
    /// They go on: the next attempt needs the image.
    Continue,
    /// They are stopped like any other.
    Stop,
}

impl FetchesOnEnd {
    /// After the end of this run: if only time was too short for the gang, fetches go on.
    pub fn after(run: &TaskRun) -> Self {
        if run.phase == TaskPhase::Ended(ExitCause::GangIncomplete) {
            FetchesOnEnd::Continue
        } else {
            FetchesOnEnd::Stop
        }
    }
}

/// What is to be done with a task of an attempt that is over.
enum EndAction {
    /// Its launch was never sent: there is nothing to stop.
    Remove,
    Stop,
    Nothing,
}

/// Where a task of a gang is assigned.
struct GangTask {
    index: u32,
    machine: Arc<str>,
    attempt: u64,
}

/// An attempt of a gang of which tasks are missing.
struct BrokenAttempt {
    job: JobId,
    /// The attempt numbers of its tasks.
    attempts: Vec<u64>,
    fetches: FetchesOnEnd,
}

impl Scheduler {
    /// How the attempt of a gang stands, by what its machines say.
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

    /// How many gangs are open, which a version that knows none would run task by task.
    pub fn open_gangs(&self) -> usize {
        self.jobs.values().filter(|job| job.spec.gang).count()
    }

    /// The runs of a job on the machines to which its tasks are assigned.
    fn placed_runs<'a>(&'a self, job: &'a Job) -> impl Iterator<Item = &'a TaskRun> + 'a {
        job.placed.iter().filter_map(|(index, assignment)| {
            let task = TaskId { job: job.spec.id, index: *index };
            self.inventory.get(&assignment.machine)?.runs.get(&(task, assignment.attempt))
        })
    }

    /// One task of a gang is done, and so all of them are: they complete together.
    pub(super) fn complete_gang(&mut self, id: JobId, attempt: u64) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        for index in 0..job.spec.tasks {
            job.complete(index, attempt);
        }
        self.persistence.put_completed_job(id);
    }

    /// A task of the attempt is off its machine without a result: the others go too.
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
            // Without a run it is of another attempt, or already off its machine.
            let Some(run) = machine.runs.get_mut(&key) else { continue };
            match end_action(run, fetches) {
                EndAction::Remove => {
                    machine.runs.remove(&key);
                    job.requeue(index);
                }
                EndAction::Stop => {
                    run.stop = Some(StopRequest::IMMEDIATE);
                    self.dispatcher.wake(&machine.name);
                }
                EndAction::Nothing => {}
            }
        }
    }

    /// Ends attempts of which tasks are missing: those that an earlier leader did not bring to a
    /// start, once all that may be on machines is known; and what was left fetching of those that
    /// have ended.
    pub(super) fn end_incomplete_gang_attempts(&mut self, now: Millis) {
        for BrokenAttempt { job, mut attempts, fetches } in self.broken_attempts(now) {
            attempts.dedup();
            for attempt in attempts {
                self.end_attempt(now, job, attempt, fetches);
            }
        }
    }

    fn broken_attempts(&self, now: Millis) -> Vec<BrokenAttempt> {
        let all_known = self.all_reconciled();
        self.jobs
            .values()
            .filter(|job| job.spec.gang && !job.placed.is_empty() && !job.has_complete_attempt())
            .filter(|job| all_known || job.attempt_ended_at.is_some())
            .map(|job| {
                let may_fetch =
                    job.attempt_ended_at.is_some_and(|at| now < at.saturating_add(FETCH_GRACE_MS));
                let attempts = job.placed.values().map(|assignment| assignment.attempt).collect();
                let fetches = if may_fetch { FetchesOnEnd::Continue } else { FetchesOnEnd::Stop };
                BrokenAttempt { job: job.spec.id, attempts, fetches }
            })
            .collect()
    }

    /// Tells all tasks of a running gang to save their progress and stop, if all of them can be
    /// told now.
    pub(super) fn stop_gang(&mut self, now: Millis, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let probe_ms = self.policy.probe_ms();
        let is_heard = |machine: &str| {
            self.inventory
                .get(machine)
                .is_some_and(|m| m.is_up() && !m.heartbeat_older_than(now, probe_ms))
        };
        let all_heard = job.placed.values().all(|assignment| is_heard(&assignment.machine));
        if self.attempt_state(job) != AttemptState::Running || !all_heard {
            return;
        }
        let grace_s = job.spec.save_s + STOP_GRACE_S;
        for GangTask { index, machine, attempt } in assigned_tasks(job) {
            let Some(machine) = self.inventory.get_mut(&machine) else { continue };
            let key = (TaskId { job: id, index }, attempt);
            if let Some(run) = machine.runs.get_mut(&key) {
                run.stop = Some(StopRequest { grace_s, sent_at: None });
                self.dispatcher.wake(&machine.name);
            }
        }
    }
}

/// The tasks of a gang that are assigned to machines, by index.
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

/// What is to be done with a run of an attempt that is over.
fn end_action(run: &TaskRun, fetches: FetchesOnEnd) -> EndAction {
    let stops_at_once = run.stop.is_some_and(|stop| stop.grace_s == 0.0);
    match run.phase {
        TaskPhase::Ended(_) => EndAction::Nothing,
        TaskPhase::Assigned if run.launch_sends == 0 => EndAction::Remove,
        TaskPhase::Fetching if fetches == FetchesOnEnd::Continue && run.stop.is_none() => {
            EndAction::Nothing
        }
        _ if stops_at_once => EndAction::Nothing,
        _ => EndAction::Stop,
    }
}
