//! Life cycle of task runs: adoption from a heartbeat, end, release, and stop with their job.

use super::decision_log::{Decision, ReleaseReason};
use super::gangs::FetchesOnEnd;
use super::log_events::LogEvent;
use super::messages::Effect;
use super::Scheduler;
use crate::bitmap::chunk_of;
use crate::constants::{GANG_INCOMPLETE_BACKOFF_MS, REFUSED_BACKOFF_MS};
use crate::job::{Assignment, Job, JobId};
use crate::machine::{ExitCause, Machine, StopReason, StopRequest, TaskPhase, TaskRun, TaskStatus};
use crate::Millis;

impl Scheduler {
    /// Handles a run that its machine reports as ended. The task is complete if the cause is
    /// `Done`; otherwise the run is released, so that the task can be placed again.
    pub(super) fn on_run_ended(
        &mut self,
        now: Millis,
        machine: &str,
        run: &TaskRun,
        cause: ExitCause,
    ) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        if !self.inventory.contains(machine) {
            return;
        }
        match cause {
            ExitCause::Done => {
                self.on_run_done(now, machine, run);
                return;
            }
            // Only the first failure in a gang attempt counts; the others may follow from it.
            ExitCause::Failed if job.spec.gang && !job.has_complete_attempt() => {}
            ExitCause::Failed => {
                let ran_ms = run.running_since.map_or(0, |since| now.saturating_sub(since));
                self.on_run_failed(now, machine, run.task.job, ran_ms);
            }
            ExitCause::InsufficientResources
            | ExitCause::DuplicateTask
            | ExitCause::UnknownTask => {
                job.backoff_until = job.backoff_until.max(now + REFUSED_BACKOFF_MS);
            }
            ExitCause::GangIncomplete => {
                job.backoff_until = job.backoff_until.max(now + GANG_INCOMPLETE_BACKOFF_MS);
            }
            // Not a failure of the machine or of the job.
            ExitCause::Stopped | ExitCause::GangPeerLost => {}
            ExitCause::Unrecognised => {
                self.effects.push(Effect::Log(LogEvent::UnrecognisedExitCause {
                    machine: machine.to_string(),
                    task: run.task,
                }));
            }
        }
        self.release_run(now, machine, run, ReleaseReason::Ended(cause));
    }

    fn on_run_done(&mut self, now: Millis, name: &str, run: &TaskRun) {
        let id = run.task.job;
        let Some(machine) = self.inventory.get_mut(name) else { return };
        machine.failed_jobs.clear();
        machine.probation_until = 0;
        machine.proven = true;
        if self.jobs.get(&id).is_some_and(|job| job.spec.gang) {
            // A gang runs at the speed of its slowest machine, which its run times do not identify.
            self.complete_gang(id, run.attempt);
        } else {
            self.detect_slow_machine(now, name, run);
            self.complete_task(run);
        }
        self.restore_job(now, id);
        // Only a scheduling cycle reassigns the quota that a team with a limit has freed.
        if run.spec.as_ref().is_some_and(|spec| self.has_team_limit(spec)) {
            self.cycle_timer.request();
        }
    }

    /// Compares a task's run time with those of its job's other tasks; much longer runs count
    /// against the machine. Runs launched by an earlier leader are ignored: their run time is
    /// underestimated in this term, which would make the other tasks look slow.
    fn detect_slow_machine(&mut self, now: Millis, name: &str, run: &TaskRun) {
        let is_of_this_term = self.attempt_numbers.is_of_this_term(run.attempt);
        let Some(since) = run.running_since.filter(|_| is_of_this_term) else { return };
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        let Some(machine) = self.inventory.get_mut(name) else { return };
        if !job.record_run_time(now.saturating_sub(since)) {
            machine.consecutive_slow_tasks = 0;
        } else if !machine.is_slow() {
            machine.consecutive_slow_tasks += 1;
            if machine.is_slow() {
                self.effects.push(Effect::Log(LogEvent::MachineSlow { machine: name.to_string() }));
            }
        }
    }

    fn complete_task(&mut self, run: &TaskRun) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        let is_new = job.complete(run.task.index, run.attempt);
        if job.done.is_full() {
            self.persistence.put_completed_job(run.task.job);
        } else if is_new {
            let chunk = chunk_of(run.task.index, job.spec.tasks);
            self.persistence.put_result(run.task.job, chunk, job.done.chunk(chunk).len());
        }
    }

    /// Releases a run that is known to have left its machine without a result, and requeues its
    /// task.
    pub(super) fn release_run(
        &mut self,
        now: Millis,
        machine: &str,
        run: &TaskRun,
        reason: ReleaseReason,
    ) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        let index = run.task.index;
        let is_this_run = |assignment: &Assignment| {
            *assignment.machine == *machine && assignment.attempt == run.attempt
        };
        if !job.placed.get(&index).is_some_and(is_this_run) {
            return;
        }
        job.requeue(index);
        let is_gang = job.spec.gang;
        self.log_decision(|| Decision::TaskReleased {
            machine: machine.to_string(),
            task: run.task,
            attempt: run.attempt,
            reason,
        });
        self.cycle_timer.request();
        if is_gang {
            self.end_attempt(now, run.task.job, run.attempt, FetchesOnEnd::after(run));
        }
    }
}

/// Creates the run for a status that the scheduler does not know, launched by an earlier leader. It
/// keeps its assignment if its job is open and the task is neither done nor assigned elsewhere;
/// otherwise it is stopped.
///
/// `direct_launch_token` is the highest token of a direct call in this term that may have launched
/// it.
pub(super) fn adopt_run(
    machine: &str,
    status: &TaskStatus,
    direct_launch_token: Option<u64>,
    job: Option<&mut Job>,
) -> TaskRun {
    let TaskStatus { task, attempt, .. } = *status;
    let spec = job.as_ref().map(|job| job.spec.clone());
    let reason = if job.is_some() { StopReason::NotAssigned } else { StopReason::JobClosed };
    let mut stop = Some(StopRequest::immediate(reason));
    if let Some(job) = job {
        if !job.done.get(task.index) && !job.placed.contains_key(&task.index) {
            job.place(task.index, Assignment { machine: machine.into(), attempt });
            stop = None;
        }
    }
    TaskRun {
        task,
        attempt,
        spec,
        phase: TaskPhase::Assigned,
        stop,
        launch_sends: 1,
        first_launch_at: 0,
        direct_launch_token,
        running_since: None,
    }
}

/// Stops the runs of a closed job on a machine, and removes those whose launch was never sent.
/// Returns whether there is a run to stop.
pub(super) fn stop_job_runs(machine: &mut Machine, id: JobId) -> bool {
    machine.runs.retain(|(task, _), run| {
        task.job != id || run.phase != TaskPhase::Assigned || run.launch_sends > 0
    });
    let mut any = false;
    for run in machine.runs.values_mut().filter(|run| run.task.job == id && run.is_live()) {
        run.stop = Some(StopRequest::immediate(StopReason::JobClosed));
        any = true;
    }
    any
}
