//! Room that is kept for jobs that wait, from those that come after them in the queue.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use super::cycle::zone_with_most_capacity;
use super::free_capacity::SchedulingCycle;
use super::gang_reserves::GangReserve;
use super::Scheduler;
use crate::job::{Demand, JobSpec};
use crate::machine::fits;
use crate::placement::{FreeCapacity, Reservation};
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
pub(super) fn reserve_free(
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
