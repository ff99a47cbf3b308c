//! Backfill: capacity that a heartbeat frees on its machine is filled at once, in the order of the
//! last scheduling cycle.

use super::Scheduler;
use crate::constants::IMAGE_LOOKAHEAD_JOBS;
use crate::job::{ClassId, Job, JobId};
use crate::placement::{self, FreeCapacity, ReservedFor};
use crate::Millis;

/// The queue entry that gets capacity of a machine next.
struct BackfillChoice {
    /// Index into the queue and number of tasks; `None` if no entry fits.
    entry: Option<(usize, u32)>,
    /// Number of entries skipped because they have nothing left to place.
    closed: usize,
    /// Whether the search stopped at a gang that lacks capacity, which may then use the machine.
    held_for_gang: bool,
}

/// A machine's free capacity as the queue's entries may use it. Entries must be checked in queue
/// order.
struct MachineView<'a> {
    /// All free capacity of the machine.
    free: &'a FreeCapacity,
    /// The class for which the machine is reserved, and the capacity with that reservation applied.
    reserved: Option<(ClassId, FreeCapacity)>,
    /// Whether the reservation applies to the entry being checked. A gang reserve applies to all
    /// entries. Any other reservation applies from the first job of its class on; jobs ahead of
    /// that one may use the whole machine.
    reservation_applies: bool,
}

impl MachineView<'_> {
    /// Returns the capacity that the next entry, whose job is of this class, may use.
    fn available_to(&mut self, class: ClassId) -> &FreeCapacity {
        match &self.reserved {
            Some((reserved_for, capacity)) => {
                self.reservation_applies |= *reserved_for == class;
                if self.reservation_applies {
                    capacity
                } else {
                    self.free
                }
            }
            None => self.free,
        }
    }
}

impl Scheduler {
    /// Places tasks on the free capacity of a machine as a cycle would do now. Jobs whose placement
    /// depends on more than this machine wait for the next cycle.
    pub(super) fn backfill(&mut self, now: Millis, machine: &str) {
        if self.queue.entries().is_empty() {
            return;
        }
        let Some(mut capacity) = self
            .inventory
            .get(machine)
            .and_then(|m| self.free_capacity_of(now, m))
            .filter(|capacity| capacity.ready)
        else {
            return;
        };
        self.backfill_starving_jobs(now, machine, &mut capacity);
        let reservation = self.reservations.on_machine(machine);
        if reservation.is_some_and(|reservation| reservation.reserved_for == ReservedFor::Exclusive)
        {
            return;
        }
        if self.reservations.needed_by_gang_reserve(&capacity) {
            self.cycle_timer.request();
            return;
        }
        self.backfill_queue(now, machine, &mut capacity);
    }

    /// Starts one slice of each starving job that fits.
    fn backfill_starving_jobs(&mut self, now: Millis, machine: &str, capacity: &mut FreeCapacity) {
        let mut starving = self.queue.take_starving();
        starving.retain(|id| !self.backfill_starving_job(now, machine, *id, capacity));
        self.queue.set_starving(starving);
    }

    /// Starts one slice of a starving job if it fits. Returns whether the job is no longer
    /// starving.
    fn backfill_starving_job(
        &mut self,
        now: Millis,
        machine: &str,
        id: JobId,
        capacity: &mut FreeCapacity,
    ) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|job| job.schedulable_tasks() > 0) else {
            return true;
        };
        if !job.spec.gang && !job.never_started() {
            return true;
        }
        let (spec, slice) = (job.spec.clone(), self.slice_size(&job.spec));
        if self.tasks_fitting(now, job, machine, capacity) < slice {
            return false;
        }
        capacity.take(&spec.demand, slice);
        self.assign(now, &spec, machine, slice);
        true
    }

    fn backfill_queue(&mut self, now: Millis, machine: &str, capacity: &mut FreeCapacity) {
        let mut closed = 0;
        while capacity.free.cpus > 0.0 {
            let choice = self.next_for_machine(now, machine, capacity);
            closed = choice.closed;
            if choice.held_for_gang {
                self.cycle_timer.request();
            }
            let Some((index, tasks)) = choice.entry else { break };
            let id = self.queue.take_tasks(index, tasks);
            let Some(job) = self.jobs.get(&id) else { break };
            let (spec, class) = (job.spec.clone(), job.equivalence_class);
            capacity.take(&spec.demand, tasks);
            self.reservations.take_spare(machine, class, &spec.demand, tasks);
            self.assign(now, &spec, machine, tasks);
        }
        if closed * 2 > self.queue.entries().len() {
            self.queue.drop_closed(&self.jobs);
        }
    }

    /// Returns the entry that gets capacity of a machine next: the first that fits, or one of the
    /// next few whose image the machine holds. The lookahead ends at a job with a start objective.
    fn next_for_machine(
        &self,
        now: Millis,
        machine: &str,
        capacity: &FreeCapacity,
    ) -> BackfillChoice {
        let mut view = self.view_of_machine(machine, capacity);
        let mut closed = 0;
        let mut first = None;
        let mut fitting = 0;
        for (index, entry) in self.queue.entries().iter().enumerate() {
            let Some(job) = self.jobs.get(&entry.job).filter(|_| entry.is_open(&self.jobs)) else {
                closed += 1;
                continue;
            };
            let open = view.available_to(job.equivalence_class);
            let tasks = self.whole_slices(now, job, entry.max_tasks, machine, open);
            if tasks == 0 {
                if self.queue.lacks_capacity(entry.job)
                    && self.usable_by_gang(now, job, machine, open)
                {
                    // The next cycle reserves the capacity for that gang.
                    return BackfillChoice { entry: first, closed, held_for_gang: true };
                }
                continue;
            }
            if open.images.contains(&job.spec.image) {
                let entry = Some((index, tasks));
                return BackfillChoice { entry, closed, held_for_gang: false };
            }
            first.get_or_insert((index, tasks));
            fitting += 1;
            if fitting >= IMAGE_LOOKAHEAD_JOBS || self.start_objective_ms(&job.spec).is_some() {
                break;
            }
        }
        BackfillChoice { entry: first, closed, held_for_gang: false }
    }

    /// Returns the machine's capacity as the queue's entries may use it. A gang reserve applies to
    /// all entries.
    fn view_of_machine<'a>(&self, machine: &str, free: &'a FreeCapacity) -> MachineView<'a> {
        let reservation = self.reservations.on_machine(machine);
        let reserved = match reservation.map(|reservation| reservation.reserved_for) {
            Some(ReservedFor::Class(class)) => {
                Some((class, FreeCapacity { reservation, ..free.clone() }))
            }
            Some(ReservedFor::Exclusive) | None => None,
        };
        let reservation_applies =
            reserved.as_ref().is_some_and(|(class, _)| self.reservations.has_gang_reserve(*class));
        MachineView { free, reserved, reservation_applies }
    }

    /// Returns how many tasks of a job to place here: whole slices, or all that are wanted if they
    /// fit.
    fn whole_slices(
        &self,
        now: Millis,
        job: &Job,
        max_tasks: u32,
        machine: &str,
        capacity: &FreeCapacity,
    ) -> u32 {
        let slice = self.slice_size(&job.spec);
        let fitting = self.tasks_fitting(now, job, machine, capacity);
        let wanted = job.schedulable_tasks().min(max_tasks);
        if fitting < wanted {
            fitting / slice * slice
        } else {
            wanted
        }
    }

    /// Returns how many tasks of a job fit on this machine; 0 if the answer depends on more than
    /// this machine, such as the zones of other tasks or a team limit.
    fn tasks_fitting(&self, now: Millis, job: &Job, machine: &str, capacity: &FreeCapacity) -> u32 {
        let spec = &job.spec;
        // Backfill starts a gang on a single machine or not at all, and so always in one zone.
        let zones_matter = spec.spread || (spec.one_zone && !spec.gang);
        if job.backoff_until > now
            || zones_matter
            || !placement::is_allowed(spec, &capacity.machine_type, &capacity.zone, capacity.spot)
            || self.avoids_machine(now, job, machine)
            || self.has_team_limit(spec)
            || (capacity.must_fetch(&spec.image)
                && self.waits_for_image(now, job, &capacity.machine_type))
        {
            return 0;
        }
        self.tasks_admitted(now, job, capacity)
    }

    /// Whether a gang that lacks capacity could place a task on this machine.
    fn usable_by_gang(
        &self,
        now: Millis,
        job: &Job,
        machine: &str,
        capacity: &FreeCapacity,
    ) -> bool {
        placement::is_allowed(&job.spec, &capacity.machine_type, &capacity.zone, capacity.spot)
            && !self.avoids_machine(now, job, machine)
            && capacity.admissible_tasks(&job.spec.demand, job.equivalence_class) > 0
    }
}
