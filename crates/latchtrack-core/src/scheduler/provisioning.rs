//! Provisions machines and accounts for the pending capacity of those still booting.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::cycle_state::SchedulingCycle;
use super::messages::{Effect, ProvisionOutcome};
use super::Scheduler;
use crate::constants::{MAX_OPEN_PROVISIONS, OFFER_EXHAUSTED_MS};
use crate::job::JobSpec;
use crate::machine::{Machine, MachineType};
use crate::placement;
use crate::placement::{FreeCapacity, Offer};
use crate::Millis;

/// Open requests for machines, and what is known about the cloud's capacity.
#[derive(Clone, Debug)]
pub(super) struct Provisioning {
    token: u64,
    /// Requests without an outcome, by id.
    open: BTreeMap<String, ProvisionRequest>,
    /// Offers without available machines, and until when they are not requested again.
    exhausted: BTreeMap<Offer, Millis>,
    last_request_number: u64,
    /// Rotates the order of zones, so that machines are distributed over them.
    zone_rotation: usize,
    /// The time at which the cloud's list of machines was last requested.
    listed_at: Option<Millis>,
}

/// A request for machines of one offer.
#[derive(Clone, Debug)]
pub(super) struct ProvisionRequest {
    /// The requested machine type, zone and kind (spot or on-demand).
    pub offer: Offer,
    /// Number of machines.
    pub number: u32,
}

impl Provisioning {
    /// Creates the state of a new term; `token` is its fencing token.
    pub fn new(token: u64) -> Self {
        Provisioning {
            token,
            open: BTreeMap::new(),
            exhausted: BTreeMap::new(),
            last_request_number: 0,
            zone_rotation: token as usize,
            listed_at: None,
        }
    }

    /// Iterates over the requests without an outcome, in order of their ids.
    pub fn open_requests(&self) -> impl Iterator<Item = &ProvisionRequest> {
        self.open.values()
    }

    /// Records a request and returns its id. The id contains the fencing token, so no other leader
    /// uses it.
    fn open_request(&mut self, request: ProvisionRequest) -> String {
        self.last_request_number += 1;
        self.zone_rotation = self.zone_rotation.wrapping_add(1);
        let id = format!("h-{}-{}", self.token, self.last_request_number);
        self.open.insert(id.clone(), request);
        id
    }

    /// Records that the offer had no machines; it is not requested for [`OFFER_EXHAUSTED_MS`].
    fn mark_exhausted(&mut self, now: Millis, offer: Offer) {
        self.exhausted.insert(offer, now + OFFER_EXHAUSTED_MS);
    }

    fn is_exhausted(&self, now: Millis, offer: &Offer) -> bool {
        self.exhausted.get(offer).is_some_and(|until| *until > now)
    }

    /// Records that the cloud has capacity for this offer again, since a machine was terminated.
    pub fn capacity_returned(&mut self, offer: &Offer) {
        self.exhausted.remove(offer);
    }

    /// Removes exhausted offers that may be requested again.
    pub fn expire_exhausted(&mut self, now: Millis) {
        self.exhausted.retain(|_, until| *until > now);
    }

    /// Whether the cloud's list of machines, requested every `interval_ms`, is due; if so, records
    /// it as requested.
    pub fn start_list_if_due(&mut self, now: Millis, interval_ms: Millis) -> bool {
        let is_due = self.listed_at.is_none_or(|at| now >= at + interval_ms);
        if is_due {
            self.listed_at = Some(now);
        }
        is_due
    }
}

impl Scheduler {
    /// Handles the outcome of a provision request.
    pub(super) fn on_provision_finished(
        &mut self,
        now: Millis,
        request_id: &str,
        outcome: ProvisionOutcome,
    ) {
        let Some(request) = self.provisioning.open.remove(request_id) else { return };
        match outcome {
            ProvisionOutcome::Provisioned(names) => self.on_provisioned(now, request, names),
            ProvisionOutcome::NoCapacity => self.provisioning.mark_exhausted(now, request.offer),
            ProvisionOutcome::NotExecuted => {}
            ProvisionOutcome::Unknown => {
                // The request may have been executed, so it is retried under the same id: the cloud
                // then returns the machines it has provisioned, or provisions them now.
                self.effects.push(Effect::Provision {
                    request_id: request_id.to_string(),
                    offer: request.offer.clone(),
                    number: request.number,
                });
                self.provisioning.open.insert(request_id.to_string(), request);
            }
        }
        self.cycle_timer.request();
    }

    fn on_provisioned(&mut self, now: Millis, request: ProvisionRequest, names: Vec<String>) {
        let ProvisionRequest { offer, number } = request;
        if (names.len() as u32) < number {
            self.provisioning.mark_exhausted(now, offer.clone());
        }
        for name in names {
            if !self.inventory.was_terminated(&name) && !self.inventory.contains(&name) {
                let machine =
                    Machine::new(&name, &offer.machine_type, &offer.zone, offer.spot, now);
                self.inventory.insert(machine);
            }
        }
    }

    /// Provisions machines for `tasks` tasks of a job that has found no capacity for `waited_ms`,
    /// restricted to `zone` if given. Returns for how many of the tasks there is pending capacity.
    pub(super) fn provision(
        &mut self,
        now: Millis,
        spec: &JobSpec,
        zone: Option<&str>,
        tasks: u32,
        waited_ms: Millis,
        cycle: &mut SchedulingCycle,
    ) -> u32 {
        if self.provisioning.open.len() >= MAX_OPEN_PROVISIONS {
            return 0;
        }
        let Some(offer) = self.choose_offer(now, spec, zone, waited_ms) else { return 0 };
        let Some(machine_type) = self.inventory.type_named(&offer.machine_type).cloned() else {
            return 0;
        };
        let per_machine = machine_type.fitting_tasks(&spec.demand).max(1);
        // One request serves all jobs of an equivalence class, unless the team's limit applies,
        // which is checked for each job.
        let class_tasks = match self.tasks_within_limit(spec, cycle.used()) {
            u32::MAX => {
                let class = self.jobs.get(&spec.id).map(|job| job.equivalence_class);
                class.map_or(0, |class| cycle.search(class).tasks_behind())
            }
            _ => 0,
        };
        let number = tasks
            .saturating_add(class_tasks)
            .div_ceil(per_machine)
            .min(self.boot_tracker.max_provisionable(now, &offer));
        self.boot_tracker.record_provision(now, &offer);
        cycle.add_pending(&pending_capacity(&offer, &machine_type), number);
        let request = ProvisionRequest { offer: offer.clone(), number };
        let request_id = self.provisioning.open_request(request);
        self.effects.push(Effect::Provision { request_id, offer, number });
        place_on_pending(spec, zone, tasks, cycle)
    }

    /// Returns the best offer that the job may use and that may have machines.
    fn choose_offer(
        &self,
        now: Millis,
        spec: &JobSpec,
        zone: Option<&str>,
        waited_ms: Millis,
    ) -> Option<Offer> {
        let offers =
            placement::offers(spec, self.inventory.types(), self.provisioning.zone_rotation);
        let is_best_effort = self.is_best_effort(spec);
        offers.into_iter().find(|offer| {
            // For a job that may not use spot machines, on-demand is the cheapest kind. Best-effort
            // work does not justify an on-demand machine if spot is allowed.
            let is_cheapest = offer.spot || !spec.spot;
            let delay_ms = if is_cheapest {
                self.policy.spot_provision_delay_ms
            } else {
                self.policy.on_demand_provision_delay_ms
            };
            zone.is_none_or(|zone| zone == offer.zone)
                && waited_ms >= delay_ms
                && (is_cheapest || !is_best_effort)
                && !self.provisioning.is_exhausted(now, offer)
                && !self.failure_detector.is_unreachable(&offer.zone)
                && self.boot_tracker.max_provisionable(now, offer) > 0
        })
    }
}

/// Returns the pending capacity of one machine that is being provisioned.
pub(super) fn pending_capacity(offer: &Offer, machine_type: &MachineType) -> FreeCapacity {
    FreeCapacity {
        machine: None,
        machine_type: offer.machine_type.as_str().into(),
        zone: offer.zone.as_str().into(),
        spot: offer.spot,
        total_cpus: machine_type.cpus,
        images: Arc::default(),
        images_incomplete: false,
        free: machine_type.resources(),
        ready: false,
        reservation: None,
        balance: None,
    }
}

/// Places up to `tasks` waiting tasks of a job on pending capacity, restricted to `zone` if given.
/// Returns how many of them fit.
pub(super) fn place_on_pending(
    spec: &JobSpec,
    zone: Option<&str>,
    tasks: u32,
    cycle: &mut SchedulingCycle,
) -> u32 {
    let mut left = tasks;
    for capacity in cycle.pending_mut() {
        if left == 0 {
            break;
        }
        let in_zone = zone.is_none_or(|zone| zone == &*capacity.zone);
        if in_zone
            && placement::is_allowed(spec, &capacity.machine_type, &capacity.zone, capacity.spot)
        {
            let fitting = capacity.fitting_tasks(&spec.demand).min(left);
            capacity.take(&spec.demand, fitting);
            left -= fitting;
        }
    }
    tasks - left
}
