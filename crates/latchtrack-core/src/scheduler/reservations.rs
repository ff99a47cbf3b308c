//! Reserved capacity: for waiting jobs, so that jobs behind them in the queue do not take it, and
//! for future gangs.
//!
//! A gang needs all of its capacity at once, on machines that it may use. Busy machines free their
//! capacity task by task, and new ones take time to boot. Therefore, while gangs with a start
//! objective keep arriving in an equivalence class, capacity for the largest of them is reserved on
//! machines that are up, and jobs of other classes can't use it.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::cycle_state::{SchedulingCycle, TasksAt};
use super::task_placement::zone_with_most_capacity;
use super::Scheduler;
use crate::constants::GANG_RESERVE_TTL_MS;
use crate::job::{ClassId, JobSpec, Resources};
use crate::machine::fitting_tasks;
use crate::placement::{is_allowed, FreeCapacity, Reservation, ReservedFor};
use crate::rules;
use crate::Millis;

/// All reserved capacity.
#[derive(Clone, Debug, Default)]
pub(super) struct Reservations {
    /// The reservations made by the last cycle.
    by_machine: HashMap<Arc<str>, Reservation>,
    /// Capacity for future gangs, by equivalence class.
    gang_reserves: BTreeMap<ClassId, GangReserve>,
}

impl Reservations {
    /// Replaces the reservations of the previous cycle. Gang reserves are kept.
    pub fn replace(&mut self, reservations: impl Iterator<Item = (Arc<str>, Reservation)>) {
        self.by_machine = reservations.collect();
    }

    /// Whether the last cycle reserved any capacity on a machine.
    pub fn is_reserved(&self, machine: &str) -> bool {
        self.by_machine.contains_key(machine)
    }

    /// Returns the reservation on a machine, if it has one.
    pub fn on_machine(&self, machine: &str) -> Option<Reservation> {
        self.by_machine.get(machine).copied()
    }

    /// Subtracts tasks that start on a machine from the spare part of its reservation, unless the
    /// machine is reserved for their class.
    pub fn take_spare(&mut self, machine: &str, class: ClassId, demand: &Resources, tasks: u32) {
        if let Some(reservation) = self.by_machine.get_mut(machine) {
            if reservation.reserved_for != ReservedFor::Class(class) {
                reservation.spare.subtract_multiple(demand, tasks);
            }
        }
    }

    /// Whether capacity is reserved for future gangs of this class.
    pub fn has_gang_reserve(&self, class: ClassId) -> bool {
        self.gang_reserves.contains_key(&class)
    }

    /// Whether free capacity must be left for the next cycle, because a gang reserve is not
    /// complete and could use it.
    pub fn needed_by_gang_reserve(&self, capacity: &FreeCapacity) -> bool {
        self.gang_reserves.values().any(|reserve| {
            reserve.unreserved_tasks > 0
                && reserve.may_use(capacity)
                && capacity.fitting_tasks(&reserve.spec.demand) > 0
        })
    }

    /// Records the arrival of a gang with a start objective, and creates or extends the reserve of
    /// its class, since similar gangs are likely to follow.
    fn note_gang(&mut self, spec: &Arc<JobSpec>, class: ClassId, submitted_at: Millis) {
        let reserve = self.gang_reserves.entry(class).or_insert_with(|| GangReserve {
            spec: spec.clone(),
            seen_at: submitted_at,
            zone: None,
            unreserved_tasks: 0,
        });
        reserve.seen_at = reserve.seen_at.max(submitted_at);
        if spec.tasks > reserve.spec.tasks {
            reserve.spec = spec.clone();
        }
    }

    fn drop_expired_gang_reserves(&mut self, now: Millis) {
        self.gang_reserves
            .retain(|_, reserve| now < reserve.seen_at.saturating_add(GANG_RESERVE_TTL_MS));
    }
}

/// Capacity reserved for future gangs of an equivalence class.
#[derive(Clone, Debug)]
struct GangReserve {
    /// The largest recent gang of the class; the reserve has its size.
    spec: Arc<JobSpec>,
    /// Submission time of the latest gang of the class.
    seen_at: Millis,
    /// The zone of the reserve, if the gangs must be in a single zone.
    zone: Option<Arc<str>>,
    /// Tasks for which no capacity is reserved yet.
    unreserved_tasks: u32,
}

impl GangReserve {
    /// Whether a task of a gang of the class may run here, regardless of its size.
    fn may_use(&self, capacity: &FreeCapacity) -> bool {
        let in_zone = self.zone.as_ref().is_none_or(|zone| *zone == capacity.zone);
        in_zone && is_allowed(&self.spec, &capacity.machine_type, &capacity.zone, capacity.spot)
    }

    /// Chooses the zone: keeps the current one while it has usable ready machines, otherwise takes
    /// the zone with the most usable machines.
    fn choose_zone(&mut self, cycle: &SchedulingCycle) {
        if !self.spec.one_zone {
            return;
        }
        let has_ready =
            || cycle.capacities().iter().any(|capacity| capacity.ready && self.may_use(capacity));
        if self.zone.is_some() && has_ready() {
            return;
        }
        self.zone = None;
        let usable = cycle.capacities().iter().filter(|capacity| self.may_use(capacity));
        self.zone = most_frequent_zone(usable.map(|capacity| capacity.zone.clone()).collect());
    }

    /// Reserves free capacity for the gang, and updates `unreserved_tasks`.
    fn reserve_free(&mut self, class: ClassId, cycle: &mut SchedulingCycle) {
        let demand = &self.spec.demand;
        let mut free: Vec<TasksAt> = cycle
            .capacities()
            .iter()
            .enumerate()
            .filter(|(_, capacity)| capacity.ready && capacity.reservation.is_none())
            .filter(|(_, capacity)| self.may_use(capacity))
            .map(|(index, capacity)| TasksAt { index, tasks: capacity.fitting_tasks(demand) })
            .filter(|at| at.tasks > 0)
            .collect();
        // Prefer machines that hold the image, then those on which the most tasks fit, to reserve
        // few machines.
        let lacks_image =
            |index: usize| !cycle.capacities()[index].images.contains(&self.spec.image);
        free.sort_by_key(|at| (lacks_image(at.index), Reverse(at.tasks)));
        let reserved_for = ReservedFor::Class(class);
        self.unreserved_tasks = reserve_free(&free, demand, self.spec.tasks, reserved_for, cycle);
    }
}

/// Which capacity may be reserved for a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GangReservation {
    /// Only free capacity, including what becomes free before the next cycle.
    FreeOnly,
    /// If free capacity is not enough, also whole machines, regardless of their use.
    MachinesInUse,
}

impl Scheduler {
    /// Reserves machines on which a slice of a job does not fit yet, those with the most free CPUs
    /// first, until they could hold `tasks` tasks if empty. Machines on which a slice already fits
    /// are left out: the zones of the job's other tasks must have kept it from starting there, so a
    /// reserved machine would only stand idle.
    pub(super) fn reserve(
        &self,
        now: Millis,
        spec: &JobSpec,
        reserved_for: ReservedFor,
        tasks: u32,
        cycle: &mut SchedulingCycle,
    ) {
        let Some(job) = self.jobs.get(&spec.id) else { return };
        let slice = self.slice_size(spec);
        let zones_in_use = self.zones_in_use(job);
        let may_start = |capacity: &FreeCapacity| {
            let zones = zones_in_use.iter().map(|zone| &**zone);
            rules::may_start(spec, &capacity.machine_type, &capacity.zone, capacity.spot, zones)
        };
        let mut candidates: Vec<TasksAt> = self
            .usable_capacities(now, job, cycle)
            .filter(|(_, capacity)| capacity.reservation.is_none())
            .filter(|(_, capacity)| {
                capacity.fitting_tasks(&spec.demand) < slice && may_start(capacity)
            })
            .map(|(index, capacity)| TasksAt {
                index,
                tasks: self.tasks_when_empty(spec, capacity),
            })
            .filter(|at| at.tasks > 0)
            .collect();
        let free_cpus = |index: usize| cycle.capacities()[index].free.cpus;
        candidates.sort_by(|a, b| {
            free_cpus(b.index).partial_cmp(&free_cpus(a.index)).unwrap_or(Ordering::Equal)
        });
        let mut remaining = tasks;
        for TasksAt { index, tasks: when_empty } in candidates {
            if remaining == 0 {
                break;
            }
            let spare = self.unusable_remainder(spec, when_empty, &cycle.capacities()[index]);
            cycle.reserve(index, Reservation { reserved_for, spare });
            remaining = remaining.saturating_sub(when_empty);
        }
    }

    /// Reserves capacity for a whole gang, in a single zone if it requires that.
    pub(super) fn reserve_for_gang(
        &mut self,
        now: Millis,
        spec: &JobSpec,
        reserved_for: ReservedFor,
        extent: GangReservation,
        cycle: &mut SchedulingCycle,
    ) {
        let zone = if spec.one_zone { self.choose_gang_zone(now, spec, cycle) } else { None };
        let Some(job) = self.jobs.get(&spec.id) else { return };
        let in_zone =
            |capacity: &FreeCapacity| zone.as_ref().is_none_or(|zone| *zone == capacity.zone);
        let mut free: Vec<TasksAt> = self
            .usable_capacities(now, job, cycle)
            .filter(|(_, capacity)| capacity.reservation.is_none() && in_zone(capacity))
            .map(|(index, capacity)| TasksAt { index, tasks: capacity.fitting_tasks(&spec.demand) })
            .filter(|at| at.tasks > 0)
            .collect();
        free.sort_by_key(|at| Reverse(at.tasks));
        let unreserved_tasks = reserve_free(&free, &spec.demand, spec.tasks, reserved_for, cycle);
        if unreserved_tasks == 0 {
            return;
        }
        if extent == GangReservation::MachinesInUse {
            let spec = JobSpec { zone: zone.map(|zone| zone.to_string()), ..spec.clone() };
            self.reserve(now, &spec, reserved_for, unreserved_tasks, cycle);
        }
        self.queue.note_gang_lacks_capacity(spec.id);
    }

    /// Returns the zone in which most tasks of a gang fit now. If none fits anywhere, the zone with
    /// the most machines that it may use.
    fn choose_gang_zone(
        &self,
        now: Millis,
        spec: &JobSpec,
        cycle: &SchedulingCycle,
    ) -> Option<Arc<str>> {
        let job = self.jobs.get(&spec.id)?;
        let usable = || self.usable_capacities(now, job, cycle).map(|(_, capacity)| capacity);
        zone_with_most_capacity(usable(), spec).or_else(|| {
            most_frequent_zone(usable().map(|capacity| capacity.zone.clone()).collect())
        })
    }

    /// Returns how many tasks of a job the machine could hold if it were empty.
    fn tasks_when_empty(&self, spec: &JobSpec, capacity: &FreeCapacity) -> u32 {
        let machine_type = self.inventory.type_named(&capacity.machine_type);
        machine_type.map_or(0, |machine_type| machine_type.fitting_tasks(&spec.demand))
    }

    /// Returns the part of a machine that other jobs may use, since `tasks` tasks of a job, the
    /// most that it can hold, leave it unused. Tasks already there that fit into this part are
    /// subtracted; larger ones have to end anyway before a task of the job can start.
    fn unusable_remainder(&self, spec: &JobSpec, tasks: u32, capacity: &FreeCapacity) -> Resources {
        let Some(machine_type) = self.inventory.type_named(&capacity.machine_type) else {
            return Resources::default();
        };
        let mut spare = machine_type.resources();
        spare.subtract_multiple(&spec.demand, tasks);
        let remainder = spare;
        let name = capacity.machine.as_deref().unwrap_or_default();
        let runs = self.inventory.get(name).into_iter().flat_map(|machine| machine.runs.values());
        let specs = runs.filter(|run| run.is_live()).filter_map(|run| run.spec.as_ref());
        for other in specs.filter(|other| other.demand != spec.demand) {
            if fitting_tasks(&other.demand, remainder.cpus, remainder.gpus, remainder.memory_gb) > 0
            {
                spare.subtract_multiple(&other.demand, 1);
            }
        }
        spare
    }

    /// Records a submitted job if capacity should be reserved for similar ones.
    pub(super) fn note_gang_arrival(
        &mut self,
        spec: &Arc<JobSpec>,
        class: ClassId,
        submitted_at: Millis,
    ) {
        if spec.gang && self.start_objective_ms(spec).is_some() {
            self.reservations.note_gang(spec, class, submitted_at);
        }
    }

    /// Reserves free capacity for future gangs, ahead of all jobs but the starving ones. Provisions
    /// machines if the existing ones could not hold a gang even when empty.
    pub(super) fn fill_gang_reserves(&mut self, now: Millis, cycle: &mut SchedulingCycle) {
        self.reservations.drop_expired_gang_reserves(now);
        // Taken out to satisfy the borrow checker. Nothing called below reads them.
        let mut reserves = std::mem::take(&mut self.reservations.gang_reserves);
        for (class, reserve) in &mut reserves {
            reserve.choose_zone(cycle);
            reserve.reserve_free(*class, cycle);
            let beyond = self.tasks_beyond_total_capacity(reserve, cycle);
            if beyond > 0 {
                self.provision(now, &reserve.spec, reserve.zone.as_deref(), beyond, 0, cycle);
            }
        }
        self.reservations.gang_reserves = reserves;
    }

    /// Returns the number of tasks of a reserve that its machines could not hold even if they were
    /// empty.
    fn tasks_beyond_total_capacity(&self, reserve: &GangReserve, cycle: &SchedulingCycle) -> u32 {
        let usable = cycle.capacities().iter().filter(|capacity| reserve.may_use(capacity));
        let tasks: u64 =
            usable.map(|capacity| u64::from(self.tasks_when_empty(&reserve.spec, capacity))).sum();
        reserve.spec.tasks.saturating_sub(u32::try_from(tasks).unwrap_or(u32::MAX))
    }
}

/// Reserves free capacities in the given order, each for up to the given number of tasks. Returns
/// the number of tasks for which there was no capacity.
fn reserve_free(
    free: &[TasksAt],
    demand: &Resources,
    tasks: u32,
    reserved_for: ReservedFor,
    cycle: &mut SchedulingCycle,
) -> u32 {
    let mut remaining = tasks;
    for at in free {
        if remaining == 0 {
            break;
        }
        let here = remaining.min(at.tasks);
        let mut spare = cycle.capacities()[at.index].free;
        spare.subtract_multiple(demand, here);
        cycle.reserve(at.index, Reservation { reserved_for, spare });
        remaining -= here;
    }
    remaining
}

/// Returns the most frequent zone; in a tie, the last by name.
fn most_frequent_zone(zones: Vec<Arc<str>>) -> Option<Arc<str>> {
    let mut entries: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for zone in zones {
        *entries.entry(zone).or_default() += 1;
    }
    entries.into_iter().max_by_key(|(_, count)| *count).map(|(zone, _)| zone)
}
