//! Troubles by chance.

use super::*;

impl World {
    pub(super) fn trouble(&mut self) {
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
                self.zone_partition =
                    Some((zone, until + self.rng.random_range(0..WORKER_LEASE_MS)));
            }
            // The leader, which keeps hearing its workers.
            12 => {
                if let Some((leader, ..)) = self.leader {
                    self.nodes[leader].refused_until = until;
                }
            }
            5 if self.chance(0.4) => self.store_down_until = now + for_ms / 2,
            6 if self.chance(0.4) => self.cloud_down_until = until,
            _ => {
                let names: Vec<String> = self.workers.keys().cloned().collect();
                if names.is_empty() {
                    return;
                }
                let name = names[self.rng.random_range(0..names.len())].clone();
                let (what, w) = (self.rng.random_range(0..10), self.workers.get_mut(&name));
                let Some(w) = w else { return };
                match what {
                    0 => {
                        w.alive = false;
                        w.tasks.clear();
                    }
                    1 => {
                        self.workers.remove(&name);
                    }
                    2..=5 => w.partitioned_until = until + 10_000,
                    // A machine that hangs for longer than its lease is as good as dead.
                    6 | 7 => w.hung_until = now + for_ms / 2,
                    8 => w.fails_tasks = true,
                    _ => w.inbound_lost_until = until + 2 * WORKER_LEASE_MS,
                }
            }
        }
    }

    pub(super) fn crash(&mut self, n: usize) {
        let now = self.now;
        let node = &mut self.nodes[n];
        node.up = false;
        node.scheduler = None;
        node.token = 0;
        node.write_in_flight = false;
        node.run += 1;
        // Now and then within a fraction of a second, also in mid-election.
        let back = if self.rng.random_bool(0.4) { 150 } else { 2_000 };
        self.nodes[n].back_at = now + back;
    }
}
