//! The cloud: it provisions and lists machines.

use latchtrack_core::placement::Offer;
use latchtrack_core::scheduler::{ListedMachine, ProvisionOutcome};
use rand::Rng;

use super::state::Worker;
use super::{World, ZONES};

/// Time for which a new machine is missing in the list, ms.
const LIST_LAG_MS: u64 = 3_000;
/// Probability that a machine never finishes booting while no boot fault is active.
const NEVER_BOOTS_PROBABILITY: f64 = 0.03;
/// The `up_at` of a machine that never finishes booting.
const NEVER: u64 = u64::MAX / 4;

impl World {
    /// Provisions up to `number` machines, as many as the offer still has. A repeated request
    /// returns the machines of the first one.
    pub(super) fn provision(
        &mut self,
        request_id: &str,
        offer: &Offer,
        number: u32,
    ) -> ProvisionOutcome {
        if self.now < self.faults.cloud_down_until {
            return ProvisionOutcome::NotExecuted;
        }
        if let Some(names) = self.provisions.get(request_id) {
            return ProvisionOutcome::Provisioned(names.clone());
        }
        let is_of_offer = |worker: &&Worker| {
            worker.machine_type == offer.machine_type
                && worker.zone == offer.zone
                && worker.spot == offer.spot
        };
        let taken = self.workers.values().filter(is_of_offer).count();
        let available = self.size.machines_per_offer.saturating_sub(taken).min(number as usize);
        if available == 0 {
            return ProvisionOutcome::NoCapacity;
        }
        let names: Vec<String> = (0..available).map(|_| self.new_machine(offer)).collect();
        self.provisions.insert(request_id.into(), names.clone());
        ProvisionOutcome::Provisioned(names)
    }

    /// Adds a booting machine and returns its name.
    fn new_machine(&mut self, offer: &Offer) -> String {
        self.next_machine += 1;
        self.stats.provisioned += 1;
        let name = format!("n-{:06}", self.next_machine);
        let boots = self.faults.boots;
        let is_faulty = self.now < boots.until;
        let (slowdown, stuck_share) = if is_faulty {
            (boots.slowdown, boots.stuck_share)
        } else {
            (1.0, NEVER_BOOTS_PROBABILITY)
        };
        let never_boots = self.chance(stuck_share);
        let boot_ms = (self.rng.random_range(500..9_000) as f64 * slowdown) as u64;
        let worker = Worker {
            machine_type: if offer.machine_type == "small" { "small" } else { "large" },
            zone: ZONES.iter().find(|zone| **zone == offer.zone).unwrap_or(&ZONES[0]),
            spot: offer.spot,
            provisioned_at: self.now,
            up_at: if never_boots { NEVER } else { self.now + boot_ms },
            alive: true,
            node: self.rng.random_range(0..self.size.nodes),
            ..Worker::default()
        };
        self.workers.insert(name.clone(), worker);
        name
    }

    /// The machines that the cloud lists, or `None` during an outage.
    pub(super) fn list(&self) -> Option<Vec<ListedMachine>> {
        if self.now < self.faults.cloud_down_until {
            return None;
        }
        let is_listed =
            |(_, worker): &(&String, &Worker)| worker.provisioned_at + LIST_LAG_MS < self.now;
        let row = |(name, worker): (&String, &Worker)| ListedMachine {
            name: name.clone(),
            machine_type: worker.machine_type.into(),
            zone: worker.zone.into(),
            spot: worker.spot,
            failed: !worker.alive,
            running: worker.alive && worker.up_at < self.now,
            age_ms: self.now - worker.provisioned_at,
        };
        Some(self.workers.iter().filter(is_listed).map(row).collect())
    }
}
