//! Backfill: what a heartbeat has freed on its machine is filled at once, by the order of the last
//! scheduling cycle.

use super::Scheduler;
use crate::constants::IMAGE_LOOKAHEAD_JOBS;
use crate::job::{ClassId, Job, JobId};
use crate::placement::{self, FreeCapacity, ReservedFor};
use crate::Millis;

/// Which queue entry takes capacity of a machine next.
struct BackfillChoice {
    /// Its index in the queue, and how many of its tasks.
    entry: Option<(usize, u32)>,
    /// Entries passed that have nothing left to place.
    closed: usize,
    /// A gang that lacks capacity comes before the rest of the queue.
    awaited_by_gang: bool,
}

/// The free capacity of a machine as it is open to the entries of the queue, asked in their order.
struct MachineView<'a> {
    /// All that is free.
    free: &'a FreeCapacity,
    /// The class for which the machine is reserved, and what the reservation leaves to others.
    reserved: Option<(ClassId, FreeCapacity)>,
    /// The reservation binds from the first job of its class on; it does not bind those before.
    reservation_binds: bool,
}

impl MachineView<'_> {
    /// What is open to the next entry, whose job is of this class.
    fn open_to(&mut self, class: ClassId) -> &FreeCapacity {
        match &self.reserved {
            Some((reserved_for, capacity)) => {
                self.reservation_binds |= *reserved_for == class;
                if self.reservation_binds {
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
    /// Fills what a machine's own heartbeat has freed, as a cycle would have done at this moment.
    /// Jobs whose placement depends on more than this machine wait for the next cycle.
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
        if self.reservations.wanted_by_gang_reserve(&capacity) {
            self.cycle_timer.request();
            return;
        }
        self.backfill_queue(now, machine, &mut capacity);
    }

    /// Starts a slice of each starving job that fits.
    fn backfill_starving_jobs(&mut self, now: Millis, machine: &str, capacity: &mut FreeCapacity) {
        let mut starving = self.queue.take_starving();
        starving.retain(|id| !self.backfill_starving_job(now, machine, *id, capacity));
        self.queue.set_starving(starving);
    }

    /// Starts a slice of a starving job, if it fits; returns whether the job starves no more.
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
            if choice.awaited_by_gang {
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

    /// The entry that takes capacity of a machine next: the first that fits, or one of the next few
    /// whose image the machine holds, unless that passes over a job with a start objective.
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
            let open = view.open_to(job.equivalence_class);
            let tasks = self.whole_slices(now, job, entry.max_tasks, machine, open);
            if tasks == 0 {
                if self.queue.lacks_capacity(entry.job)
                    && self.useful_to_gang(now, job, machine, open)
                {
                    // The next cycle keeps it for that gang.
                    return BackfillChoice { entry: first, closed, awaited_by_gang: true };
                }
                continue;
            }
            if open.images.contains(&job.spec.image) {
                let entry = Some((index, tasks));
                return BackfillChoice { entry, closed, awaited_by_gang: false };
            }
            first.get_or_insert((index, tasks));
            fitting += 1;
            if fitting >= IMAGE_LOOKAHEAD_JOBS || self.start_objective_ms(&job.spec).is_some() {
                break;
            }
        }
        BackfillChoice { entry: first, closed, awaited_by_gang: false }
    }

    /// The machine as the queue sees it. A gang reserve binds all jobs.
    fn view_of_machine<'a>(&self, machine: &str, free: &'a FreeCapacity) -> MachineView<'a> {
        let reservation = self.reservations.on_machine(machine);
        let reserved = match reservation.map(|reservation| reservation.reserved_for) {
            Some(ReservedFor::Class(class)) => {
                Some((class, FreeCapacity { reservation, ..free.clone() }))
            }
            Some(ReservedFor::Exclusive) | None => None,
        };
        let reservation_binds =
            reserved.as_ref().is_some_and(|(class, _)| self.reservations.has_gang_reserve(*class));
        MachineView { free, reserved, reservation_binds }
    }

    /// How many tasks of a job, in whole slices or all that wait, go here.
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

    /// How many tasks of a job may go here, if that depends on nothing else.
    fn tasks_fitting(&self, now: Millis, job: &Job, machine: &str, capacity: &FreeCapacity) -> u32 {
        let spec = &job.spec;
        // A gang goes whole onto this machine or not at all, and so in one zone.
        let zones_matter = spec.spread || (spec.one_zone && !spec.gang);
        if job.backoff_until > now
            || zones_matter
            || !placement::allowed(spec, &capacity.machine_type, &capacity.zone, capacity.spot)
            || self.avoids_machine(now, job, machine)
            || self.has_team_limit(spec)
            || (capacity.must_fetch(&spec.image)
                && self.waits_for_image(now, job, &capacity.machine_type))
        {
            return 0;
        }
        self.tasks_admitted(now, job, capacity)
    }

    /// Whether a task of a gang that lacks capacity could be on this machine.
    fn useful_to_gang(
        &self,
        now: Millis,
        job: &Job,
        machine: &str,
        capacity: &FreeCapacity,
    ) -> bool {
        placement::allowed(&job.spec, &capacity.machine_type, &capacity.zone, capacity.spot)
            && !self.avoids_machine(now, job, machine)
            && capacity.admissible_tasks(&job.spec.demand, job.equivalence_class) > 0
    }
}
