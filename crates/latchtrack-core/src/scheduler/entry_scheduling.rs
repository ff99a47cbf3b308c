//! Schedules one queue entry in a cycle. Its tasks go to ready machines first, then to pending
//! ones, then to newly provisioned ones; for the remaining tasks, capacity is reserved.

use std::sync::Arc;

use super::cycle_state::{ReservationAccess, SchedulingCycle};
use super::provisioning::place_on_pending;
use super::queue::QueueEntry;
use super::reservations::GangReservation;
use super::task_placement::zone_with_most_capacity;
use super::Scheduler;
use crate::constants::RESERVATION_IGNORED_AFTER_MS;
use crate::job::{ClassId, Job, JobId, JobSpec};
use crate::placement::{self, FreeCapacity, ReservedFor};
use crate::Millis;

/// The zone in which to look for capacity for a job.
enum TargetZone {
    /// Any zone that the job allows.
    Any,
    /// Only this zone, since tasks of the job already run there.
    Required(Arc<str>),
    /// This zone, or any other if nothing can be provisioned here. The job must be in a single
    /// zone; machines added across several zones might not have capacity for a whole slice in any
    /// of them.
    Preferred(Arc<str>),
}

impl TargetZone {
    fn name(&self) -> Option<&str> {
        match self {
            TargetZone::Any => None,
            TargetZone::Required(zone) | TargetZone::Preferred(zone) => Some(zone),
        }
    }
}

/// Tasks of a job for which no ready machine was found.
struct Shortage {
    spec: Arc<JobSpec>,
    class: ClassId,
    /// Number of tasks that still lack capacity.
    remaining: u32,
    /// The time for which the job has found no capacity.
    unschedulable_ms: Millis,
    /// The zone in which to look for capacity.
    zone: TargetZone,
}

impl Scheduler {
    /// Returns whether a job must respect reservations for other classes. It need not once it has
    /// found no capacity for [`RESERVATION_IGNORED_AFTER_MS`].
    pub(super) fn reservation_access(&self, now: Millis, job: &Job) -> ReservationAccess {
        let ignores = job
            .unschedulable_since
            .is_some_and(|since| now >= since.saturating_add(RESERVATION_IGNORED_AFTER_MS));
        if ignores {
            ReservationAccess::Ignores
        } else {
            ReservationAccess::Respects
        }
    }

    /// Returns how many tasks a job may place on a free capacity, given its size and reservation.
    pub(super) fn tasks_admitted(&self, now: Millis, job: &Job, capacity: &FreeCapacity) -> u32 {
        let reserved_for_class = capacity
            .reservation
            .is_some_and(|reservation| reservation.reserved_for != ReservedFor::Exclusive);
        if reserved_for_class && self.reservation_access(now, job) == ReservationAccess::Ignores {
            capacity.fitting_tasks(&job.spec.demand)
        } else {
            capacity.admissible_tasks(&job.spec.demand, job.equivalence_class)
        }
    }

    /// Schedules a queue entry, and reduces its `max_tasks` by the tasks placed on ready machines.
    pub(super) fn schedule_entry(
        &mut self,
        now: Millis,
        entry: &mut QueueEntry,
        cycle: &mut SchedulingCycle,
    ) {
        let Some(job) = self.jobs.get(&entry.job) else { return };
        let (spec, class) = (job.spec.clone(), job.equivalence_class);
        let wanted = job.schedulable_tasks().min(entry.max_tasks);
        if !job.is_quarantined {
            cycle.search_mut(class).remove_tasks_behind(wanted);
        }
        let access = self.reservation_access(now, job);
        let allowed = wanted.min(self.tasks_within_limit(&spec, cycle.used()));
        if spec.gang && allowed < wanted {
            // A gang starts as a whole or not at all, so it waits until its team's limit allows all
            // of it.
            self.mark_gang_unschedulable(now, entry.job);
            return;
        }
        if allowed == 0 {
            return;
        }
        let mut placed = 0;
        if cycle.search(class).may_find_ready(access) {
            placed = self.place_on_ready_machines(now, &spec, allowed, cycle);
        }
        entry.max_tasks = entry.max_tasks.saturating_sub(placed);
        let remaining = allowed - placed;
        let Some(unschedulable_ms) =
            self.update_unschedulable_since(now, entry.job, placed, remaining)
        else {
            return;
        };
        let job = self.jobs.get(&entry.job);
        if job.is_none_or(|job| self.waits_for_image_anywhere(now, job)) {
            // The job waits briefly for a machine that holds its image. The capacity that it left
            // unused is open to other jobs of its class.
            return;
        }
        let zone = self.target_zone(&spec, cycle);
        let shortage = Shortage { spec, class, remaining, unschedulable_ms, zone };
        if shortage.spec.gang {
            // A gang may fail to fit where smaller gangs of its class still do.
            self.reserve_for_waiting_gang(now, &shortage, cycle);
        } else {
            self.note_ready_exhausted(&shortage, access, cycle);
        }
        self.acquire_capacity(now, shortage, cycle);
    }

    fn mark_gang_unschedulable(&mut self, now: Millis, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.is_quarantined) {
            job.unschedulable_since.get_or_insert(now);
        }
    }

    /// Updates the time since which a job has found no capacity. Returns how many ms ago that was,
    /// or `None` if nothing is to be provisioned or reserved for the job, because no task remains
    /// or it is quarantined.
    fn update_unschedulable_since(
        &mut self,
        now: Millis,
        id: JobId,
        placed: u32,
        remaining: u32,
    ) -> Option<Millis> {
        let job = self.jobs.get_mut(&id)?;
        if remaining == 0 || job.is_quarantined {
            job.unschedulable_since = None;
            return None;
        }
        if placed > 0 {
            job.unschedulable_since = Some(now);
        }
        Some(now.saturating_sub(*job.unschedulable_since.get_or_insert(now)))
    }

    fn target_zone(&self, spec: &JobSpec, cycle: &SchedulingCycle) -> TargetZone {
        if !spec.one_zone {
            return TargetZone::Any;
        }
        let in_use = self.jobs.get(&spec.id).map(|job| self.zones_in_use(job)).unwrap_or_default();
        if let Some(zone) = in_use.into_iter().next() {
            return TargetZone::Required(zone);
        }
        let is_allowed = |capacity: &FreeCapacity| {
            placement::is_allowed(spec, &capacity.machine_type, &capacity.zone, capacity.spot)
        };
        let allowed = cycle.capacities().iter().filter(|capacity| is_allowed(capacity));
        zone_with_most_capacity(allowed, spec).map_or(TargetZone::Any, TargetZone::Preferred)
    }

    /// Reserves free capacity for a gang that has a start objective or has waited long enough.
    fn reserve_for_waiting_gang(
        &mut self,
        now: Millis,
        shortage: &Shortage,
        cycle: &mut SchedulingCycle,
    ) {
        let spec = &shortage.spec;
        if self.start_objective_ms(spec).is_some()
            || shortage.unschedulable_ms >= self.policy.reserve_after_ms
        {
            let reserved_for = ReservedFor::Class(shortage.class);
            self.reserve_for_gang(now, spec, reserved_for, GangReservation::FreeOnly, cycle);
        }
    }

    /// Records for the job's class that no ready machine was found. Does nothing if the job's zone
    /// constraints or the machines on which it failed limited the search, since other jobs of the
    /// class may still find one.
    fn note_ready_exhausted(
        &self,
        shortage: &Shortage,
        access: ReservationAccess,
        cycle: &mut SchedulingCycle,
    ) {
        let spec = &shortage.spec;
        let avoids_machines = self.jobs.get(&spec.id).is_some_and(|job| !job.failed_on.is_empty());
        if !spec.is_zone_constrained() && !avoids_machines {
            cycle.search_mut(shortage.class).mark_ready_exhausted(access);
        }
    }

    /// Finds capacity for tasks that can't start now: pending, newly provisioned or reserved.
    fn acquire_capacity(
        &mut self,
        now: Millis,
        mut shortage: Shortage,
        cycle: &mut SchedulingCycle,
    ) {
        // Provision nothing for tasks that the team's limit would block once all expected tasks
        // run.
        let allowed = self.tasks_within_limit(&shortage.spec, cycle.expected());
        shortage.remaining = shortage.remaining.min(allowed);
        if shortage.remaining > 0 {
            shortage.remaining -= self.count_on_pending(&shortage, cycle);
        }
        if shortage.remaining > 0 {
            shortage.remaining -= self.provision_for(now, &shortage, cycle);
        }
        if shortage.remaining > 0 {
            self.reserve_for_class(now, &shortage, cycle);
        }
    }

    /// Assigns tasks to pending capacity; returns how many.
    fn count_on_pending(&self, shortage: &Shortage, cycle: &mut SchedulingCycle) -> u32 {
        if !cycle.search(shortage.class).may_find_pending() {
            return 0;
        }
        let zone = shortage.zone.name();
        let placed = place_on_pending(&shortage.spec, zone, shortage.remaining, cycle);
        self.count_expected_usage(&shortage.spec, placed, cycle);
        if placed < shortage.remaining && zone.is_none() {
            cycle.search_mut(shortage.class).mark_pending_exhausted();
        }
        placed
    }

    /// Provisions machines; returns the number of tasks that they will take.
    fn provision_for(
        &mut self,
        now: Millis,
        shortage: &Shortage,
        cycle: &mut SchedulingCycle,
    ) -> u32 {
        if !cycle.search(shortage.class).may_find_offer() {
            return 0;
        }
        let Shortage { spec, remaining, unschedulable_ms, .. } = shortage;
        let zone = shortage.zone.name();
        let mut placed = self.provision(now, spec, zone, *remaining, *unschedulable_ms, cycle);
        if placed == 0 && matches!(shortage.zone, TargetZone::Preferred(_)) {
            placed = self.provision(now, spec, None, *remaining, *unschedulable_ms, cycle);
        }
        self.count_expected_usage(spec, placed, cycle);
        if placed < *remaining && zone.is_none() {
            cycle.search_mut(shortage.class).mark_offers_exhausted();
        }
        placed
    }

    /// Reserves capacity for all waiting jobs of a class at once, if this job has waited long
    /// enough.
    fn reserve_for_class(&self, now: Millis, shortage: &Shortage, cycle: &mut SchedulingCycle) {
        if shortage.spec.gang || shortage.unschedulable_ms < self.policy.reserve_after_ms {
            return;
        }
        if !cycle.search_mut(shortage.class).claim_reservation() {
            return;
        }
        let behind = cycle.search(shortage.class).tasks_behind();
        let tasks = shortage.remaining.saturating_add(behind);
        self.reserve(now, &shortage.spec, ReservedFor::Class(shortage.class), tasks, cycle);
    }
}
