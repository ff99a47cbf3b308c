//! The cloud.

use super::*;

impl World {
    pub(super) fn provision(
        &mut self,
        request_id: &str,
        offer: &Offer,
        number: u32,
    ) -> ProvisionOutcome {
        if self.now < self.cloud_down_until {
            return ProvisionOutcome::NotExecuted;
        }
        if let Some(names) = self.provisions.get(request_id) {
            return ProvisionOutcome::Provisioned(names.clone());
        }
        let have = self
            .workers
            .values()
            .filter(|w| {
                w.machine_type == offer.kind && w.zone == offer.zone && w.spot == offer.spot
            })
            .count();
        let free = self.size.machines_per_offer.saturating_sub(have).min(number as usize);
        if free == 0 {
            return ProvisionOutcome::NoCapacity;
        }
        let mut names = Vec::new();
        for _ in 0..free {
            self.next_machine += 1;
            self.provisioned += 1;
            let name = format!("n-{:06}", self.next_machine);
            let (times, never, until) = self.boots;
            let (times, never) = if self.now < until { (times, never) } else { (1.0, 0.03) };
            let never = self.chance(never);
            let boot = (self.rng.random_range(500..9_000) as f64 * times) as u64;
            let worker = Worker {
                machine_type: if offer.kind == "small" { "small" } else { "large" },
                zone: ZONES.iter().find(|z| **z == offer.zone).unwrap_or(&ZONES[0]),
                spot: offer.spot,
                provisioned_at: self.now,
                up_at: if never { u64::MAX / 4 } else { self.now + boot },
                alive: true,
                agent_epoch: 0,
                sequence: 0,
                token: 0,
                lease_from: 0,
                tasks: BTreeMap::new(),
                node: self.rng.random_range(0..self.size.nodes),
                heartbeat_in_flight: None,
                next_report: 0,
                partitioned_until: 0,
                inbound_lost_until: 0,
                outbound_lost_until: 0,
                hung_until: 0,
                fails_tasks: false,
                completed_here: BTreeSet::new(),
            };
            self.workers.insert(name.clone(), worker);
            names.push(name);
        }
        self.provisions.insert(request_id.into(), names.clone());
        ProvisionOutcome::Provisioned(names)
    }

    pub(super) fn list(&mut self) -> Option<Vec<ListedMachine>> {
        if self.now < self.cloud_down_until {
            return None;
        }
        let mut out = Vec::new();
        for (name, w) in &self.workers {
            // New ones are absent for a while.
            if w.provisioned_at + 3_000 < self.now {
                out.push(ListedMachine {
                    name: name.clone(),
                    kind: w.machine_type.into(),
                    zone: w.zone.into(),
                    spot: w.spot,
                    failed: !w.alive,
                    running: w.alive && w.up_at < self.now,
                    age_ms: self.now - w.provisioned_at,
                });
            }
        }
        Some(out)
    }
}
