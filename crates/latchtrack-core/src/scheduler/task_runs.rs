//! What becomes of task runs: adopted from a heartbeat, ended, released, stopped with their job.

use super::log_events::LogEvent;
use super::messages::Effect;
use super::persistence::result_entry_bytes;
use super::Scheduler;
use crate::bitmap::chunk_of;
use crate::constants::{ATTEMPT_BITS, GANG_INCOMPLETE_BACKOFF_MS, REFUSED_BACKOFF_MS};
use crate::job::{Assignment, Job, JobId};
use crate::machine::{ExitCause, Machine, StopRequest, TaskPhase, TaskRun, TaskStatus};
use crate::Millis;

impl Scheduler {
    pub(super) fn on_run_ended(
        &mut self,
        now: Millis,
        machine: &str,
        run: &TaskRun,
        cause: ExitCause,
    ) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        let Some(m) = self.inventory.get_mut(machine) else { return };
        match cause {
            ExitCause::Done => {
                m.failed_jobs.clear();
                m.quarantined_until = 0;
                m.proven = true;
                if job.spec.gang {
                    // Its pace is that of its slowest machine, whichever that is.
                    self.complete_gang(run.task.job, run.attempt);
                    self.restore_job(now, run.task.job);
                    self.cycle_timer.requested |=
                        run.spec.as_ref().is_some_and(|spec| self.has_team_limit(spec));
                    return;
                }
                // Only runs seen from their start: one that an earlier leader launched has run for
                // longer than we know, and would make all its like look slow.
                let ours = run.attempt >> ATTEMPT_BITS == self.token;
                if let Some(since) = run.running_since.filter(|_| ours) {
                    if !job.record_run_time(now.saturating_sub(since)) {
                        m.slow_votes = 0;
                    } else if !m.is_slow() {
                        m.slow_votes += 1;
                        if m.is_slow() {
                            self.out.push(Effect::Log(LogEvent::MachineSlow {
                                machine: machine.to_string(),
                            }));
                        }
                    }
                }
                let news = job.complete(run.task.index, run.attempt);
                if job.done.full() {
                    self.persistence.completed_jobs.insert(run.task.job);
                } else if news {
                    let chunk = chunk_of(run.task.index, job.spec.tasks);
                    let size = result_entry_bytes(job.done.chunk(chunk).len());
                    self.persistence.results.put((run.task.job, chunk), size, false);
                }
                self.restore_job(now, run.task.job);
                // What a team with a limit may use again is given out in rounds alone.
                self.cycle_timer.requested |=
                    run.spec.as_ref().is_some_and(|spec| self.has_team_limit(spec));
                return;
            }
            // What follows the first failure of a gang says nothing more.
            ExitCause::Failed if job.spec.gang && !job.has_complete_attempt() => {}
            ExitCause::Failed => {
                let ran = run.running_since.map_or(0, |since| now.saturating_sub(since));
                self.on_run_failed(now, machine, run.task.job, ran);
            }
            ExitCause::InsufficientResources
            | ExitCause::DuplicateTask
            | ExitCause::UnknownTask => {
                job.backoff_until = job.backoff_until.max(now + REFUSED_BACKOFF_MS);
            }
            ExitCause::GangIncomplete => {
                job.backoff_until = job.backoff_until.max(now + GANG_INCOMPLETE_BACKOFF_MS)
            }
            // Neither the machine's fault nor the job's.
            ExitCause::Stopped | ExitCause::GangPeerLost => {}
            ExitCause::Unrecognised => {
                let task = run.task;
                self.out.push(Effect::Log(LogEvent::UnrecognisedExitCause {
                    machine: machine.to_string(),
                    task,
                }));
            }
        }
        self.release_run(now, machine, run);
    }

    /// A run is surely off its machine without a result: its task may go elsewhere.
    pub(super) fn release_run(&mut self, now: Millis, machine: &str, run: &TaskRun) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        let index = run.task.index;
        let here = |p: &Assignment| *p.machine == *machine && p.attempt == run.attempt;
        if !job.placed.get(&index).is_some_and(here) {
            return;
        }
        job.requeue(index);
        self.cycle_timer.requested = true;
        if job.spec.gang {
            let time_was_short = run.phase == TaskPhase::Ended(ExitCause::GangIncomplete);
            self.end_attempt(now, run.task.job, run.attempt, time_was_short);
        }
    }
}

/// A run that an earlier leader launched. It keeps its place if its job is open and has no other
/// place for the task; otherwise it is stopped.
pub(super) fn adopt_run(machine: &str, t: &TaskStatus, job: Option<&mut Job>) -> TaskRun {
    let spec = job.as_ref().map(|j| j.spec.clone());
    let mut stop = Some(StopRequest { grace_s: 0.0, sent_at: None });
    if let Some(job) = job {
        if !job.done.get(t.task.index) && !job.placed.contains_key(&t.task.index) {
            let place = Assignment { machine: machine.into(), attempt: t.attempt };
            job.place(t.task.index, place);
            stop = None;
        }
    }
    TaskRun {
        task: t.task,
        attempt: t.attempt,
        spec,
        phase: TaskPhase::Assigned,
        stop,
        launch_sends: 1,
        first_launch_at: 0,
        launch_outcome_unknown: false,
        running_since: None,
    }
}

/// Stops the runs of a closed job; what was never sent simply goes. True if there is one to stop.
pub(super) fn stop_job_runs(m: &mut Machine, id: JobId) -> bool {
    m.runs.retain(|(task, _), run| {
        task.job != id || run.phase != TaskPhase::Assigned || run.launch_sends > 0
    });
    let mut any = false;
    for run in m.runs.values_mut().filter(|r| r.task.job == id && r.is_live()) {
        run.stop = Some(StopRequest { grace_s: 0.0, sent_at: None });
        any = true;
    }
    any
}
