//! Room that stands ready for gangs of classes that are to start promptly.
//!
//! A gang needs all of its room at the same moment, and on machines that it may use: where these are busy
//! with other tasks, room for it comes free task by task, and where they have to be rented it takes a boot.
//! So while gangs of a shape have been seen lately, room for the largest of them is kept on machines that
//! are up, from all jobs of other shapes.

use std::sync::Arc;

use super::free_capacity::SchedulingCycle;
use super::reservations::reserve_free;
use super::Scheduler;
use crate::constants::GANG_RESERVE_TTL_MS;
use crate::job::JobSpec;
use crate::placement::{allowed, FreeCapacity};
use crate::Millis;

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
