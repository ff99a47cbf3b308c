//! Room that is kept for jobs that wait, from those that come after them in the queue.
//!
//! Room that stands ready for gangs of classes that are to start promptly.
//!
//! A gang needs all of its room at the same moment, and on machines that it may use: where these are busy
//! with other tasks, room for it comes free task by task, and where they have to be rented it takes a boot.
//! So while gangs of a shape have been seen lately, room for the largest of them is kept on machines that
//! are up, from all jobs of other shapes.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::cycle_state::SchedulingCycle;
use super::task_placement::zone_with_most_capacity;
use super::Scheduler;
use crate::constants::GANG_RESERVE_TTL_MS;
use crate::job::{Demand, JobSpec};
use crate::machine::fits;
use crate::placement::{allowed, FreeCapacity, Reservation};
use crate::rules;
use crate::Millis;

/// Capacity that is kept for jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct Reservations {
    /// Machines kept by the last cycle for jobs of an equivalence class.
    pub by_machine: HashMap<Arc<str>, Reservation>,
    /// Machines kept free for starving jobs, and for no other.
    pub exclusive: HashSet<Arc<str>>,
    /// Capacity kept for gangs to come, by equivalence class.
    pub gang_reserves: BTreeMap<usize, GangReserve>,
}

impl Scheduler {
    /// Keeps the roomiest machines for a job that was passed over too long: those where a slice of its
    /// tasks may start once they have more room. One that has it already was open to the job and not
    /// taken, since a say of the zones is in the way; kept, it would stand idle.
    pub(super) fn reserve(
        &self,
        now: Millis,
        spec: &JobSpec,
        equivalence_class: usize,
        left: u32,
        cycle: &mut SchedulingCycle,
    ) {
        let Some(job) = self.jobs.get(&spec.id) else { return };
        let slice = self.slice_size(spec);
        let live = self.zones_in_use(job);
        let zones = || live.iter().map(|z| &**z);
        let mut could: Vec<(usize, u32)> = self
            .admits(now, job, &cycle.rooms)
            .filter(|(_, r)| r.held.is_none() && r.holds(&spec.demand) < slice)
            .filter(|(_, r)| rules::may_start(spec, &r.kind, &r.zone, r.spot, zones()))
            .filter_map(|(i, r)| {
                let per = self.inventory.type_named(&r.kind)?.holds(&spec.demand);
                (per > 0).then_some((i, per))
            })
            .collect();
        could.sort_by(|a, b| {
            let free = |i: usize| cycle.rooms[i].free.cpus;
            free(b.0).partial_cmp(&free(a.0)).unwrap_or(std::cmp::Ordering::Equal)
        });
        let mut left = left;
        for (i, per) in could {
            if left == 0 {
                break;
            }
            let spare = self.unusable_remainder(spec, per, &cycle.rooms[i]);
            cycle.rooms[i].held = Some(Reservation { equivalence_class, spare });
            left = left.saturating_sub(per);
        }
    }

    /// Keeps room for a whole gang, in one zone if it must be in one: what is free now, for as many tasks
    /// as there are. Where that is not enough, what comes free until the next round is kept too; `whole`
    /// keeps machines beyond that, however much of them is in use.
    pub(super) fn reserve_for_gang(
        &mut self,
        now: Millis,
        spec: &JobSpec,
        equivalence_class: usize,
        whole: bool,
        cycle: &mut SchedulingCycle,
    ) {
        let zone = match spec.one_zone {
            true => self.choose_gang_zone(now, spec, cycle),
            false => None,
        };
        let Some(job) = self.jobs.get(&spec.id) else { return };
        let in_zone = |r: &FreeCapacity| zone.as_ref().is_none_or(|z| *z == r.zone);
        let mut free: Vec<(usize, u32)> = self
            .admits(now, job, &cycle.rooms)
            .filter(|(_, r)| r.held.is_none() && in_zone(r))
            .map(|(i, r)| (i, r.holds(&spec.demand)))
            .filter(|(_, n)| *n > 0)
            .collect();
        free.sort_by_key(|(_, n)| std::cmp::Reverse(*n));
        let left = reserve_free(&free, &spec.demand, spec.tasks, equivalence_class, cycle);
        if left > 0 && whole {
            let spec = JobSpec { zone: zone.map(|z| z.to_string()), ..spec.clone() };
            self.reserve(now, &spec, equivalence_class, left, cycle);
        }
        if left > 0 {
            self.queue.gangs_lacking_capacity.insert(spec.id);
        }
    }

    /// The zone in which most of a gang fits now, or else the one with most machines that it may use.
    fn choose_gang_zone(
        &self,
        now: Millis,
        spec: &JobSpec,
        cycle: &SchedulingCycle,
    ) -> Option<Arc<str>> {
        let job = self.jobs.get(&spec.id)?;
        let open = || self.admits(now, job, &cycle.rooms).map(|(i, _)| i);
        zone_with_most_capacity(open(), spec, cycle).or_else(|| {
            let mut zones: Vec<Arc<str>> = open().map(|i| cycle.rooms[i].zone.clone()).collect();
            zones.sort();
            let count = |zone: &Arc<str>| zones.iter().filter(|z| *z == zone).count();
            zones.iter().max_by_key(|zone| count(zone)).cloned()
        })
    }

    /// What a machine has for others beside as many tasks of a job as it takes at most: room that these
    /// can't use, which would stand idle. Part of it is in use by tasks that are small enough for it;
    /// larger ones must end in any case before a task of the job starts there.
    fn unusable_remainder(&self, spec: &JobSpec, per: u32, room: &FreeCapacity) -> Demand {
        let Some(t) = self.inventory.type_named(&room.kind) else { return Demand::default() };
        let mut spare = Demand { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb };
        spare.take(&spec.demand, per);
        let base = spare;
        let name = room.machine.as_deref().unwrap_or_default();
        let runs = self.inventory.get(name).into_iter().flat_map(|m| m.runs.values());
        let specs = runs.filter(|r| r.is_live()).filter_map(|r| r.spec.as_ref());
        for other in specs.filter(|s| s.demand != spec.demand) {
            let d = &other.demand;
            if fits(d, base.cpus, base.gpus, base.memory_gb) > 0 {
                spare.take(d, 1);
            }
        }
        spare
    }
}

/// Keeps what is free in these rooms, each with how many tasks it takes, in their order for so many tasks;
/// returns for how many there was no room.
fn reserve_free(
    free: &[(usize, u32)],
    demand: &Demand,
    tasks: u32,
    equivalence_class: usize,
    cycle: &mut SchedulingCycle,
) -> u32 {
    let mut left = tasks;
    for (i, n) in free {
        if left == 0 {
            break;
        }
        let reserved_exclusively = left.min(*n);
        let room = &mut cycle.rooms[*i];
        let mut spare = room.free;
        spare.take(demand, reserved_exclusively);
        room.held = Some(Reservation { equivalence_class, spare });
        left -= reserved_exclusively;
    }
    left
}

/// Room kept for gangs of a shape.
#[derive(Clone, Debug)]
pub(super) struct GangReserve {
    /// The largest of them that was seen.
    spec: Arc<JobSpec>,
    /// When the last was submitted.
    seen_at: Millis,
    /// The zone in which it is kept, if they must be in one.
    zone: Option<Arc<str>>,
    /// Tasks for which no room is kept yet.
    lacking: u32,
}

impl GangReserve {
    /// Whether a task of such a gang could be in this room by anything but its size.
    fn may_use(&self, room: &FreeCapacity) -> bool {
        let in_zone = self.zone.as_ref().is_none_or(|zone| *zone == room.zone);
        in_zone && allowed(&self.spec, &room.kind, &room.zone, room.spot)
    }
}

impl Scheduler {
    /// A job was submitted: if it is a gang that is to start promptly, more like it will come.
    pub(super) fn note_gang_arrival(
        &mut self,
        spec: &Arc<JobSpec>,
        equivalence_class: usize,
        submitted_at: Millis,
    ) {
        if !spec.gang || self.start_objective_ms(spec).is_none() {
            return;
        }
        let reserve =
            self.reservations.gang_reserves.entry(equivalence_class).or_insert_with(|| {
                GangReserve { spec: spec.clone(), seen_at: submitted_at, zone: None, lacking: 0 }
            });
        reserve.seen_at = reserve.seen_at.max(submitted_at);
        if spec.tasks > reserve.spec.tasks {
            reserve.spec = spec.clone();
        }
    }

    /// Keeps what is free for the reserves, before any job takes it, and rents what no machine could hold.
    pub(super) fn fill_gang_reserves(&mut self, now: Millis, cycle: &mut SchedulingCycle) {
        self.reservations
            .gang_reserves
            .retain(|_, r| now < r.seen_at.saturating_add(GANG_RESERVE_TTL_MS));
        for equivalence_class in self.reservations.gang_reserves.keys().copied().collect::<Vec<_>>()
        {
            let Some(mut reserve) = self.reservations.gang_reserves.remove(&equivalence_class)
            else {
                continue;
            };
            self.choose_zone(&mut reserve, cycle);
            reserve.lacking = hold(&reserve, equivalence_class, cycle);
            let missing = self.tasks_beyond_capacity(&reserve, cycle);
            if missing > 0 {
                let (spec, zone) = (reserve.spec.clone(), reserve.zone.clone());
                self.provision(now, &spec, zone.as_deref(), missing, 0, cycle);
            }
            self.reservations.gang_reserves.insert(equivalence_class, reserve);
        }
    }

    /// Stays in its zone as long as there are machines, else goes where there are most.
    fn choose_zone(&self, reserve: &mut GangReserve, cycle: &SchedulingCycle) {
        if !reserve.spec.one_zone {
            return;
        }
        if reserve.zone.is_some() && cycle.rooms.iter().any(|r| r.ready && reserve.may_use(r)) {
            return;
        }
        reserve.zone = None;
        let usable = || cycle.rooms.iter().filter(|r| reserve.may_use(r));
        let mut zones: Vec<Arc<str>> = usable().map(|r| r.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        let count = |zone: &Arc<str>| usable().filter(|r| r.zone == *zone).count();
        reserve.zone = zones.into_iter().max_by_key(count);
    }

    /// For how many tasks of the reserve there would be no room if its machines were empty.
    fn tasks_beyond_capacity(&self, reserve: &GangReserve, cycle: &SchedulingCycle) -> u32 {
        let usable = cycle.rooms.iter().filter(|r| reserve.may_use(r));
        let holds = |r: &FreeCapacity| {
            self.inventory.type_named(&r.kind).map_or(0, |t| t.holds(&reserve.spec.demand))
        };
        let all: u64 = usable.map(|r| u64::from(holds(r))).sum();
        reserve.spec.tasks.saturating_sub(u32::try_from(all).unwrap_or(u32::MAX))
    }

    /// Whether what comes free in this room is to wait for the next round, which keeps it for a reserve.
    pub(super) fn wanted_by_gang_reserve(&self, room: &FreeCapacity) -> bool {
        self.reservations.gang_reserves.values().any(|reserve| {
            reserve.lacking > 0 && reserve.may_use(room) && room.holds(&reserve.spec.demand) > 0
        })
    }
}

/// Keeps what is free; returns for how many tasks there was no room.
fn hold(reserve: &GangReserve, equivalence_class: usize, cycle: &mut SchedulingCycle) -> u32 {
    let demand = &reserve.spec.demand;
    let mut free: Vec<(usize, u32)> = cycle
        .rooms
        .iter()
        .enumerate()
        .filter(|(_, r)| r.ready && r.held.is_none() && reserve.may_use(r))
        .map(|(i, r)| (i, r.holds(demand)))
        .filter(|(_, n)| *n > 0)
        .collect();
    // Few machines; those that hold the image of the last one first.
    let image = &reserve.spec.image;
    free.sort_by_key(|(i, n)| (!cycle.rooms[*i].images.contains(image), std::cmp::Reverse(*n)));
    reserve_free(&free, demand, reserve.spec.tasks, equivalence_class, cycle)
}
