//! Starvation: jobs that have waited very long without starting take precedence over the whole
//! queue.

use std::sync::Arc;

use super::cycle_state::SchedulingCycle;
use super::queue::QueueEntry;
use super::reservations::GangReservation;
use super::Scheduler;
use crate::constants::{
    GANG_QUOTA_RESERVATION_MS, GANG_STARVATION_MS, STARVATION_MS, STARVATION_RESERVE_DELAY_MS,
};
use crate::job::{Job, JobId, JobSpec};
use crate::placement::ReservedFor;
use crate::Millis;

impl Scheduler {
    /// Schedules the starving jobs of the queue, in order of submission.
    pub(super) fn schedule_starving_jobs(
        &mut self,
        now: Millis,
        entries: &[QueueEntry],
        cycle: &mut SchedulingCycle,
    ) {
        let mut starving: Vec<(Millis, JobId)> = entries
            .iter()
            .filter_map(|entry| self.jobs.get(&entry.job))
            .filter(|job| self.is_starving(now, job))
            .map(|job| (job.submitted_at, job.spec.id))
            .collect();
        starving.sort();
        let starving: Vec<JobId> = starving.into_iter().map(|(_, id)| id).collect();
        for id in &starving {
            self.schedule_starving_job(now, *id, cycle);
        }
        self.queue.set_starving(starving);
    }

    /// Whether a job takes precedence over the queue.
    fn is_starving(&self, now: Millis, job: &Job) -> bool {
        // Nothing is reserved for a quarantined job.
        if job.is_quarantined {
            return false;
        }
        if job.spec.gang {
            return job.unschedulable_since.is_some_and(|since| now >= since + GANG_STARVATION_MS);
        }
        now >= job.submitted_at.saturating_add(STARVATION_MS) && job.never_started()
    }

    /// Starts one slice of a starving job, or reserves the quota or capacity that it lacks.
    fn schedule_starving_job(&mut self, now: Millis, id: JobId, cycle: &mut SchedulingCycle) {
        let Some(spec) = self.jobs.get(&id).map(|job| job.spec.clone()) else { return };
        let slice = self.slice_size(&spec);
        self.quota.note_next_to_start(&spec, slice);
        let allowed = slice.min(self.tasks_within_limit(&spec, cycle.used()));
        // A gang starts as a whole or not at all.
        let may_start = allowed == slice || !spec.gang;
        if may_start && self.place_on_ready_machines(now, &spec, allowed, cycle) > 0 {
            return;
        }
        if allowed < slice {
            // The job lacks quota. Counting its slice as used keeps quota that becomes free from
            // the other jobs of the team.
            self.count_usage(&spec, slice, cycle);
            return;
        }
        self.reserve_for_starving_job(now, &spec, cycle);
        // Scheduled now because other jobs may use up the team's limit before its turn in the
        // queue; then nothing would ever be provisioned for it.
        self.schedule_entry(now, &mut QueueEntry { job: id, max_tasks: slice }, cycle);
        if self.reserves_quota_for_gang(now, id) {
            self.count_usage(&spec, slice, cycle);
        }
    }

    /// Reserves machines exclusively for a starving job.
    fn reserve_for_starving_job(
        &mut self,
        now: Millis,
        spec: &Arc<JobSpec>,
        cycle: &mut SchedulingCycle,
    ) {
        let Some(job) = self.jobs.get(&spec.id) else { return };
        let reserve_at =
            job.submitted_at.saturating_add(STARVATION_MS + STARVATION_RESERVE_DELAY_MS);
        if spec.gang {
            let extent = GangReservation::MachinesInUse;
            self.reserve_for_gang(now, spec, ReservedFor::Exclusive, extent, cycle);
        } else if now >= reserve_at {
            self.reserve(now, spec, ReservedFor::Exclusive, 1, cycle);
        }
    }

    /// Whether to reserve quota for a gang that has enough of it but waits for machines. Otherwise
    /// the team's other jobs would take the quota while the machines boot, and the gang would never
    /// have both at once.
    fn reserves_quota_for_gang(&self, now: Millis, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        if !job.spec.gang || job.schedulable_tasks() == 0 {
            return false;
        }
        let until = GANG_STARVATION_MS + GANG_QUOTA_RESERVATION_MS;
        job.unschedulable_since.is_some_and(|since| now < since.saturating_add(until))
    }
}
