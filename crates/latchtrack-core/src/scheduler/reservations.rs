//! Capacity that is reserved: for jobs that wait, from those behind them in the queue, and for
//! gangs to come.
//!
//! A gang needs all of its capacity at the same moment, and on machines that it may use. Where
//! these are busy with other tasks, capacity comes free task by task, and where they have to be
//! provisioned it takes a boot. So while gangs of an equivalence class with a start objective have
//! been seen lately, capacity for the largest of them is reserved on machines that are up, from all
//! jobs of other classes.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::cycle_state::{SchedulingCycle, TasksAt};
use super::task_placement::zone_with_most_capacity;
use super::Scheduler;
use crate::constants::GANG_RESERVE_TTL_MS;
use crate::job::{ClassId, JobSpec, Resources};
use crate::machine::fitting_tasks;
use crate::placement::{allowed, FreeCapacity, Reservation, ReservedFor};
use crate::rules;
use crate::Millis;

/// Capacity that is reserved.
#[derive(Clone, Debug, Default)]
pub(super) struct Reservations {
    /// The machines that the last cycle reserved.
    by_machine: HashMap<Arc<str>, Reservation>,
    /// Capacity for gangs to come, by their class.
    gang_reserves: BTreeMap<ClassId, GangReserve>,
}

impl Reservations {
    /// Puts the reservations of a cycle in the place of the last one's.
    pub fn replace(&mut self, reservations: impl Iterator<Item = (Arc<str>, Reservation)>) {
        self.by_machine = reservations.collect();
    }

    /// Whether a machine is reserved for anybody.
    pub fn is_reserved(&self, machine: &str) -> bool {
        self.by_machine.contains_key(machine)
    }

    /// The reservation of a machine.
    pub fn on_machine(&self, machine: &str) -> Option<Reservation> {
        self.by_machine.get(machine).copied()
    }

    /// Tasks of a job start on a machine: those of other classes than the one for which it is
    /// reserved use what that one can't.
    pub fn take_spare(&mut self, machine: &str, class: ClassId, demand: &Resources, tasks: u32) {
        if let Some(reservation) = self.by_machine.get_mut(machine) {
            if reservation.reserved_for != ReservedFor::Class(class) {
                reservation.spare.take_multiple(demand, tasks);
            }
        }
    }

    /// Whether capacity is kept ready for gangs of this class.
    pub fn has_gang_reserve(&self, class: ClassId) -> bool {
        self.gang_reserves.contains_key(&class)
    }

    /// Whether what comes free here is to wait for the next cycle, which keeps it for a gang
    /// reserve.
    pub fn wanted_by_gang_reserve(&self, capacity: &FreeCapacity) -> bool {
        self.gang_reserves.values().any(|reserve| {
            reserve.lacking > 0
                && reserve.may_use(capacity)
                && capacity.fitting_tasks(&reserve.spec.demand) > 0
        })
    }

    /// A gang with a start objective was submitted: more like it will come.
    fn note_gang(&mut self, spec: &Arc<JobSpec>, class: ClassId, submitted_at: Millis) {
        let reserve = self.gang_reserves.entry(class).or_insert_with(|| GangReserve {
            spec: spec.clone(),
            seen_at: submitted_at,
            zone: None,
            lacking: 0,
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

/// Capacity kept ready for gangs of a class.
#[derive(Clone, Debug)]
struct GangReserve {
    /// The largest of them that was seen.
    spec: Arc<JobSpec>,
    /// When the last was submitted.
    seen_at: Millis,
    /// The zone in which it is kept, if they must be in one.
    zone: Option<Arc<str>>,
    /// Tasks for which nothing is reserved yet.
    lacking: u32,
}

impl GangReserve {
    /// Whether a task of such a gang could be here, apart from its size.
    fn may_use(&self, capacity: &FreeCapacity) -> bool {
        let in_zone = self.zone.as_ref().is_none_or(|zone| *zone == capacity.zone);
        in_zone && allowed(&self.spec, &capacity.machine_type, &capacity.zone, capacity.spot)
    }

    /// Chooses the zone: the present one as long as there are ready machines, else that with most
    /// machines.
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
        self.zone = zone_with_most_entries(usable.map(|capacity| capacity.zone.clone()).collect());
    }

    /// Reserves what is free; notes for how many tasks there was nothing.
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
        // On few machines; those first that hold the image of the last such gang.
        let lacks_image =
            |index: usize| !cycle.capacities()[index].images.contains(&self.spec.image);
        free.sort_by_key(|at| (lacks_image(at.index), Reverse(at.tasks)));
        let reserved_for = ReservedFor::Class(class);
        self.lacking = reserve_free(&free, demand, self.spec.tasks, reserved_for, cycle);
    }
}

/// What may be reserved for a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GangReservation {
    /// Only what is free, and what comes free until the next cycle.
    FreeOnly,
    /// Beyond that whole machines, however much of them is in use.
    MachinesInUse,
}

impl Scheduler {
    /// Reserves machines for tasks of a job: those with the most free CPUs on which a slice may
    /// start once they have more free. Where a slice fits already, the job was free to start and
    /// did not, because of the zones of its other tasks; such a machine would stand idle.
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

    /// Reserves capacity for a whole gang, in one zone if it must be in one.
    pub(super) fn reserve_for_gang(
        &mut self,
        now: Millis,
        spec: &JobSpec,
        reserved_for: ReservedFor,
        which: GangReservation,
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
        let lacking = reserve_free(&free, &spec.demand, spec.tasks, reserved_for, cycle);
        if lacking == 0 {
            return;
        }
        if which == GangReservation::MachinesInUse {
            let spec = JobSpec { zone: zone.map(|zone| zone.to_string()), ..spec.clone() };
            self.reserve(now, &spec, reserved_for, lacking, cycle);
        }
        self.queue.note_gang_lacks_capacity(spec.id);
    }

    /// The zone in which most of a gang fits now, or else that with most machines that it may use.
    fn choose_gang_zone(
        &self,
        now: Millis,
        spec: &JobSpec,
        cycle: &SchedulingCycle,
    ) -> Option<Arc<str>> {
        let job = self.jobs.get(&spec.id)?;
        let usable = || self.usable_capacities(now, job, cycle).map(|(_, capacity)| capacity);
        zone_with_most_capacity(usable(), spec).or_else(|| {
            zone_with_most_entries(usable().map(|capacity| capacity.zone.clone()).collect())
        })
    }

    /// How many tasks of a job its machine would take if it were empty.
    fn tasks_when_empty(&self, spec: &JobSpec, capacity: &FreeCapacity) -> u32 {
        let machine_type = self.inventory.type_named(&capacity.machine_type);
        machine_type.map_or(0, |machine_type| machine_type.fitting_tasks(&spec.demand))
    }

    /// What a machine has beside `tasks` tasks of a job, the most that it takes: without other
    /// tasks there, it would stand idle. Part of it is in use by tasks that are small enough for
    /// it; larger ones must end in any case before a task of the job starts there.
    fn unusable_remainder(&self, spec: &JobSpec, tasks: u32, capacity: &FreeCapacity) -> Resources {
        let Some(machine_type) = self.inventory.type_named(&capacity.machine_type) else {
            return Resources::default();
        };
        let mut spare = machine_type.resources();
        spare.take_multiple(&spec.demand, tasks);
        let remainder = spare;
        let name = capacity.machine.as_deref().unwrap_or_default();
        let runs = self.inventory.get(name).into_iter().flat_map(|machine| machine.runs.values());
        let specs = runs.filter(|run| run.is_live()).filter_map(|run| run.spec.as_ref());
        for other in specs.filter(|other| other.demand != spec.demand) {
            if fitting_tasks(&other.demand, remainder.cpus, remainder.gpus, remainder.memory_gb) > 0
            {
                spare.take_multiple(&other.demand, 1);
            }
        }
        spare
    }

    /// Notes a submitted job, if capacity is to be kept ready for more like it.
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

    /// Reserves what is free for gangs to come, before any job takes it, and provisions what no
    /// machine could hold.
    pub(super) fn fill_gang_reserves(&mut self, now: Millis, cycle: &mut SchedulingCycle) {
        self.reservations.drop_expired_gang_reserves(now);
        // Taken out meanwhile: nothing below asks for reserves.
        let mut reserves = std::mem::take(&mut self.reservations.gang_reserves);
        for (class, reserve) in &mut reserves {
            reserve.choose_zone(cycle);
            reserve.reserve_free(*class, cycle);
            let beyond = self.tasks_beyond_machines(reserve, cycle);
            if beyond > 0 {
                self.provision(now, &reserve.spec, reserve.zone.as_deref(), beyond, 0, cycle);
            }
        }
        self.reservations.gang_reserves = reserves;
    }

    /// For how many tasks of a reserve there would be no capacity if its machines were empty.
    fn tasks_beyond_machines(&self, reserve: &GangReserve, cycle: &SchedulingCycle) -> u32 {
        let usable = cycle.capacities().iter().filter(|capacity| reserve.may_use(capacity));
        let tasks: u64 =
            usable.map(|capacity| u64::from(self.tasks_when_empty(&reserve.spec, capacity))).sum();
        reserve.spec.tasks.saturating_sub(u32::try_from(tasks).unwrap_or(u32::MAX))
    }
}

/// Reserves free capacities, given with how many tasks each takes, in their order; returns
/// for how many of the tasks there was nothing.
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
        spare.take_multiple(demand, here);
        cycle.reserve(at.index, Reservation { reserved_for, spare });
        remaining -= here;
    }
    remaining
}

/// The zone that is named most often; of several the last by name.
fn zone_with_most_entries(zones: Vec<Arc<str>>) -> Option<Arc<str>> {
    let mut entries: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for zone in zones {
        *entries.entry(zone).or_default() += 1;
    }
    entries.into_iter().max_by_key(|(_, count)| *count).map(|(zone, _)| zone)
}
