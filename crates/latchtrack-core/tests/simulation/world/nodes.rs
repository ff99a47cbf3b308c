//! The nodes: what drives the core, and what comes of its effects.

use super::*;

impl World {
    /// The steady clock of a node.
    pub(super) fn clock(&self, n: usize) -> u64 {
        (self.now as f64 * (1.0 + self.nodes[n].drift)) as u64
    }

    pub(super) fn reaches_store(&self, n: usize) -> bool {
        let node = &self.nodes[n];
        if self.without_successors && (40_000..110_000).contains(&self.now) {
            return false;
        }
        let cut =
            self.zone_partition.is_some_and(|(z, until)| self.now < until && z == Self::zone_of(n));
        !cut && self.now
            >= self.store_down_until.max(node.partitioned_until).max(node.refused_until)
    }

    pub(super) fn awake(&self, n: usize) -> bool {
        self.nodes[n].up && self.now >= self.nodes[n].paused_until
    }

    pub(super) fn may_act(&self, n: usize) -> bool {
        let (node, now) = (&self.nodes[n], self.clock(n));
        node.scheduler.is_some()
            && (self.disabled_guard == DisabledGuard::LeaderLease
                || (now < node.lease_valid_until && now < node.cache_fresh_at + LEADER_LEASE_MS))
    }

    pub(super) fn step_node(&mut self, n: usize) {
        if !self.nodes[n].up && self.now >= self.nodes[n].back_at {
            self.nodes[n].up = true;
        }
        if !self.awake(n) {
            return;
        }
        let now = self.clock(n);
        if self.reaches_store(n) && now >= self.nodes[n].last_renew + 300 {
            self.nodes[n].last_renew = now;
            match self.leader {
                None => self.campaign(n),
                Some((leader, token, _)) if leader == n && self.nodes[n].token == token => {
                    self.leader = Some((n, token, self.now + LEADER_LEASE_MS));
                    self.nodes[n].lease_valid_until = now + LEADER_LEASE_MS - LEASE_MARGIN_MS;
                }
                Some(_) => {
                    if self.disabled_guard != DisabledGuard::LeaderLease {
                        self.nodes[n].scheduler = None;
                        self.nodes[n].token = 0;
                    }
                }
            }
            if self.disabled_guard != DisabledGuard::LeaderLease
                || self.leader.map(|l| l.0) == Some(n)
            {
                self.read_jobs(n);
            }
        }
        if self.may_act(n) {
            self.drive(n, Event::Tick);
        }
    }
}
