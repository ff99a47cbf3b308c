//! Gangs: jobs whose tasks run all at the same time or not at all.
//!
//! All tasks of a gang are placed in one round under one attempt number. What becomes of the attempt is
//! told by the reports of its machines alone. As soon as one task is off its machine without a result the
//! attempt is over: its other tasks are told to stop, and keep their places until they are surely gone. Only
//! then does the next attempt start. A new leader leaves an attempt alone whose tasks are all there, and
//! ends any other.

use std::sync::Arc;

use super::Scheduler;
use crate::constants::{FETCH_GRACE_MS, STOP_GRACE_S};
use crate::job::{Job, JobId, TaskId};
use crate::machine::{StopRequest, TaskPhase, TaskRun};
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

/// What is to be done with a task of an attempt that is over.
enum Ending {
    /// It was never sent: there is nothing to stop.
    NeverSent,
    Stop,
    Nothing,
}

impl Scheduler {
    /// How the attempt of a gang stands, by what its machines report.
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

    /// Open gangs, which a version that knows none would run task by task.
    pub fn open_gangs(&self) -> usize {
        self.jobs.values().filter(|job| job.spec.gang).count()
    }

    /// The runs of a job on the machines where its tasks have their places.
    fn placed_runs<'a>(&'a self, job: &'a Job) -> impl Iterator<Item = &'a TaskRun> + 'a {
        job.placed.iter().filter_map(|(index, place)| {
            let task = TaskId { job: job.spec.id, index: *index };
            self.inventory.get(&place.machine)?.runs.get(&(task, place.attempt))
        })
    }

    /// One task of a gang is done, and so all of them are: they complete together.
    pub(super) fn complete_gang(&mut self, id: JobId, attempt: u64) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        for index in 0..job.spec.tasks {
            job.complete(index, attempt);
        }
        self.persistence.completed_jobs.insert(id);
    }

    /// A task of the attempt is off its machine without a result: the others go too. Those that fetch may
    /// go on if only time was short.
    pub(super) fn end_attempt(
        &mut self,
        now: Millis,
        id: JobId,
        attempt: u64,
        keeps_fetching: bool,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.attempt_ended_at.get_or_insert(now);
        let places: Vec<(u32, Arc<str>)> =
            job.placed.iter().map(|(index, place)| (*index, place.machine.clone())).collect();
        for (index, machine) in places {
            let Some(m) = self.inventory.get_mut(&machine) else { continue };
            let key = (TaskId { job: id, index }, attempt);
            // Of another attempt, or already off its machine.
            let Some(run) = m.runs.get_mut(&key) else { continue };
            match ending(run, keeps_fetching) {
                Ending::NeverSent => {
                    m.runs.remove(&key);
                    job.requeue(index);
                }
                Ending::Stop => {
                    run.stop = Some(StopRequest { grace_s: 0.0, sent_at: None });
                    self.dispatcher.pending.insert(machine.to_string());
                }
                Ending::Nothing => {}
            }
        }
    }

    /// Ends attempts of which tasks are missing: those that an earlier leader did not bring to a start, once
    /// all that may be on machines is known; and what was left fetching of those that have ended.
    pub(super) fn end_broken_gang_attempts(&mut self, now: Millis) {
        let all_known = self.all_reconciled();
        let broken =
            |job: &&Job| job.spec.gang && !job.placed.is_empty() && !job.has_complete_attempt();
        let ended: Vec<(JobId, Vec<u64>, bool)> = self
            .jobs
            .values()
            .filter(broken)
            .filter(|job| all_known || job.attempt_ended_at.is_some())
            .map(|job| {
                let attempts = job.placed.values().map(|place| place.attempt).collect();
                let since = job.attempt_ended_at;
                let keeps = since.is_some_and(|at| now < at.saturating_add(FETCH_GRACE_MS));
                (job.spec.id, attempts, keeps)
            })
            .collect();
        for (id, mut attempts, keeps_fetching) in ended {
            attempts.dedup();
            for attempt in attempts {
                self.end_attempt(now, id, attempt, keeps_fetching);
            }
        }
    }

    /// Tells all tasks of a running gang to save and stop, if all of them can be told now.
    pub(super) fn stop_gang(&mut self, now: Millis, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let probe_ms = self.policy.probe_ms();
        let hears = |machine: &str| {
            self.inventory
                .get(machine)
                .is_some_and(|m| m.is_up() && !m.heartbeat_older_than(now, probe_ms))
        };
        let all_hear = job.placed.values().all(|place| hears(&place.machine));
        if self.attempt_state(job) != AttemptState::Running || !all_hear {
            return;
        }
        let grace_s = job.spec.save_s + STOP_GRACE_S;
        let places: Vec<(u32, Arc<str>, u64)> =
            job.placed.iter().map(|(i, p)| (*i, p.machine.clone(), p.attempt)).collect();
        for (index, machine, attempt) in places {
            let Some(m) = self.inventory.get_mut(&machine) else { continue };
            let key = (TaskId { job: id, index }, attempt);
            if let Some(run) = m.runs.get_mut(&key) {
                run.stop = Some(StopRequest { grace_s, sent_at: None });
                self.dispatcher.pending.insert(machine.to_string());
            }
        }
    }
}

/// What is to be done with a run of an attempt that is over.
fn ending(run: &TaskRun, keeps_fetching: bool) -> Ending {
    match run.phase {
        TaskPhase::Ended(_) => Ending::Nothing,
        TaskPhase::Assigned if run.launch_sends == 0 => Ending::NeverSent,
        TaskPhase::Fetching if keeps_fetching && run.stop.is_none() => Ending::Nothing,
        // Told already to end at once.
        _ if run.stop.is_some_and(|stop| stop.grace_s == 0.0) => Ending::Nothing,
        _ => Ending::Stop,
    }
}
