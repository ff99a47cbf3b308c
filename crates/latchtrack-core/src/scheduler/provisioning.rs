//! What is rented, and what machines on their way are counted for.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::boot_tracking::BootTracker;
use super::cycle_state::SchedulingCycle;
use super::messages::Effect;
use super::Scheduler;
use crate::constants::*;
use crate::job::{JobSpec, Resources};
use crate::machine::MachineType;
use crate::placement;
use crate::placement::{FreeCapacity, Offer};
use crate::Millis;

/// Machines asked of the cloud, and what is known of its capacity.
#[derive(Clone, Debug, Default)]
pub(super) struct Provisioning {
    /// Requests without an outcome, by their id.
    pub pending: BTreeMap<String, ProvisionRequest>,
    /// Offers that had no machine, and until when they are left alone.
    pub exhausted: BTreeMap<Offer, Millis>,
    pub last_request_id: u64,
    /// Turns the order of zones, so that machines spread over them.
    pub zone_rotation: usize,
    pub listed_at: Option<Millis>,
    pub boots: BootTracker,
}

/// A request for machines.
#[derive(Clone, Debug)]
pub(super) struct ProvisionRequest {
    pub offer: Offer,
    pub number: u32,
}

impl Provisioning {
    pub fn new(token: u64) -> Self {
        Provisioning { zone_rotation: token as usize, ..Provisioning::default() }
    }
}

impl Scheduler {
    /// Rents the first choice that is not known to be exhausted, in the zone alone in which the job must
    /// stay; returns for how many tasks.
    pub(super) fn provision(
        &mut self,
        now: Millis,
        spec: &JobSpec,
        only: Option<&str>,
        left: u32,
        passed: Millis,
        cycle: &mut SchedulingCycle,
    ) -> u32 {
        if self.provisioning.pending.len() >= MAX_OPEN_PROVISIONS {
            return 0;
        }
        let offers =
            placement::offers(spec, self.inventory.types(), self.provisioning.zone_rotation);
        let policy = &self.policy;
        let spare = self.is_best_effort(spec);
        let Some(offer) = offers.into_iter().find(|o| {
            if only.is_some_and(|zone| zone != o.zone) {
                return false;
            }
            // A job that may not use spot machines has nothing to wait for; one that takes what would
            // stand idle is not worth an ordinary one.
            let cheapest = o.spot || !spec.spot;
            let wait = if cheapest {
                policy.spot_provision_delay_ms
            } else {
                policy.on_demand_provision_delay_ms
            };
            passed >= wait
                && (cheapest || !spare)
                && self.provisioning.exhausted.get(o).is_none_or(|until| *until <= now)
                && !self.failure_detector.unreachable_zones.contains(o.zone.as_str())
                && self.max_provisionable(now, o) > 0
        }) else {
            return 0;
        };
        let Some(t) = self.inventory.type_named(&offer.kind).cloned() else { return 0 };
        let per_machine = t.holds(&spec.demand).max(1);
        // Like tasks are decided as a class: one call for all of this shape, not one a job. Team
        // limits are left to each job.
        let alike = match self.tasks_within_limit(spec, cycle.used()) {
            u32::MAX => self
                .jobs
                .get(&spec.id)
                .map_or(0, |j| cycle.search(j.equivalence_class).tasks_behind()),
            _ => 0,
        };
        let number = left
            .saturating_add(alike)
            .div_ceil(per_machine)
            .min(self.max_provisionable(now, &offer));
        self.rented(now, &offer);
        self.provisioning.last_request_id += 1;
        self.provisioning.zone_rotation = self.provisioning.zone_rotation.wrapping_add(1);
        let request_id = format!("h-{}-{}", self.token, self.provisioning.last_request_id);
        cycle.add_pending(&pending_capacity(&offer, &t), number);
        self.provisioning
            .pending
            .insert(request_id.clone(), ProvisionRequest { offer: offer.clone(), number });
        self.out.push(Effect::Provision { request_id, offer, number });
        place_on_pending(spec, only, left, cycle)
    }
}

/// The room of a machine that is being rented.
pub(super) fn pending_capacity(offer: &Offer, t: &MachineType) -> FreeCapacity {
    FreeCapacity {
        machine: None,
        kind: offer.kind.as_str().into(),
        zone: offer.zone.as_str().into(),
        spot: offer.spot,
        total_cpus: t.cpus,
        images: Arc::default(),
        images_incomplete: false,
        free: Resources { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb },
        ready: false,
        reservation: None,
        balance: None,
    }
}

/// Counts waiting tasks against machines that will be up, in the zone alone in which the job must stay;
/// returns for how many there is room.
pub(super) fn place_on_pending(
    spec: &JobSpec,
    only: Option<&str>,
    want: u32,
    cycle: &mut SchedulingCycle,
) -> u32 {
    let mut left = want;
    for room in cycle.pending_mut() {
        if left == 0 {
            break;
        }
        let there = only.is_none_or(|zone| zone == &*room.zone);
        if there && placement::allowed(spec, &room.kind, &room.zone, room.spot) {
            let n = room.holds(&spec.demand).min(left);
            room.take(&spec.demand, n);
            left -= n;
        }
    }
    want - left
}
