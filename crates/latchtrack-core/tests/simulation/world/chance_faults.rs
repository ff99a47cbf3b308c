//! Random faults, which begin only within the fault period of the run.

use rand::Rng;

use super::faults::ZonePartition;
use super::{World, WORKER_LEASE_MS, ZONES};

impl World {
    /// Whether random faults may still begin.
    pub(super) fn has_random_faults(&self) -> bool {
        self.now < self.size.fault_period_ms
    }

    /// With the configured probability, begins a fault of a node, zone, service or machine.
    pub(super) fn begin_random_fault(&mut self) {
        if !self.chance(self.size.fault_probability) {
            return;
        }
        let (now, for_ms) = (self.now, self.rng.random_range(1_000..25_000));
        let until = now + for_ms;
        let nodes = self.size.nodes;
        let n = self.rng.random_range(0..nodes);
        match self.rng.random_range(0..14) {
            0 | 1 => self.crash(n),
            2 if self.chance(0.3) => (0..nodes).for_each(|n| self.crash(n)),
            3 => self.nodes[n].paused_until = until,
            4 if self.chance(0.5) => self.nodes[n].partitioned_until = until,
            4 => self.nodes[n].refused_until = until + for_ms,
            13 if self.chance(0.3) => {
                let zone = ZONES[self.rng.random_range(0..ZONES.len())];
                let until = until + self.rng.random_range(0..WORKER_LEASE_MS);
                self.faults.zone_partition = Some(ZonePartition { zone, until });
            }
            // The state service refuses the leader, which still receives heartbeats.
            12 => {
                if let Some(leader) = self.leader {
                    self.nodes[leader.node].refused_until = until;
                }
            }
            5 if self.chance(0.4) => self.faults.store_down_until = now + for_ms / 2,
            6 if self.chance(0.4) => self.faults.cloud_down_until = until,
            _ => self.begin_machine_fault(for_ms),
        }
    }

    /// Begins a fault of a random machine.
    fn begin_machine_fault(&mut self, for_ms: u64) {
        let until = self.now + for_ms;
        let names: Vec<String> = self.workers.keys().cloned().collect();
        if names.is_empty() {
            return;
        }
        let name = &names[self.rng.random_range(0..names.len())];
        let fault = self.rng.random_range(0..10);
        let Some(worker) = self.workers.get_mut(name) else { return };
        match fault {
            0 => worker.die(),
            1 => {
                self.workers.remove(name);
            }
            2..=5 => worker.partitioned_until = until + 10_000,
            // A machine that hangs for longer than its lease loses its tasks, as if it had died.
            6 | 7 => worker.hung_until = self.now + for_ms / 2,
            8 => worker.fails_tasks = true,
            _ => worker.inbound_lost_until = until + 2 * WORKER_LEASE_MS,
        }
    }

    /// Ends the process of a node, which restarts after 150 ms or 2 s.
    pub(super) fn crash(&mut self, n: usize) {
        self.nodes[n].crash();
        // Often within a fraction of a second, which may be during an election.
        let back_ms = if self.rng.random_bool(0.4) { 150 } else { 2_000 };
        self.nodes[n].restarts_at = self.now + back_ms;
    }
}
