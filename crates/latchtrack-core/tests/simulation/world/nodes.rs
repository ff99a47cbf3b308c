//! The controller nodes: their clocks, leases and connectivity.

use latchtrack_core::scheduler::Event;

use super::guards::DisabledGuard;
use super::state::LeaderKey;
use super::{World, LEADER_LEASE_MS, LEASE_MARGIN_MS};

/// Time between two lease renewals by the node's clock, ms.
const RENEW_INTERVAL_MS: u64 = 300;
/// When the state service refuses even the first node of a world without successors, ms.
const REFUSED_WITHOUT_SUCCESSORS: std::ops::Range<u64> = 40_000..110_000;

impl World {
    /// The monotonic clock of a node, ms; it drifts from the world's clock.
    pub(super) fn clock(&self, n: usize) -> u64 {
        (self.now as f64 * (1.0 + self.nodes[n].drift)) as u64
    }

    /// Whether a node reaches the state service.
    pub(super) fn reaches_store(&self, n: usize) -> bool {
        let node = &self.nodes[n];
        if self.without_successors && REFUSED_WITHOUT_SUCCESSORS.contains(&self.now) {
            return false;
        }
        let partition = self.active_partition();
        let is_cut_off = partition.is_some_and(|cut| cut.zone == Self::zone_of(n));
        let unreachable_until = node.partitioned_until.max(node.refused_until);
        !is_cut_off && self.now >= self.faults.store_down_until.max(unreachable_until)
    }

    /// Whether a node is up and not paused.
    pub(super) fn is_executing(&self, n: usize) -> bool {
        self.nodes[n].up && self.now >= self.nodes[n].paused_until
    }

    /// Whether a node leads, and its lease is valid and its job cache fresh.
    pub(super) fn may_act(&self, n: usize) -> bool {
        let (node, now) = (&self.nodes[n], self.clock(n));
        let is_fresh = now < node.cache_fresh_at + LEADER_LEASE_MS;
        let is_valid = now < node.lease_valid_until && is_fresh;
        node.scheduler.is_some() && (self.disabled_guard == DisabledGuard::LeaderLease || is_valid)
    }

    /// Restarts a node that is due, renews its lease and ticks its scheduler.
    pub(super) fn step_node(&mut self, n: usize) {
        if !self.nodes[n].up && self.now >= self.nodes[n].restarts_at {
            self.nodes[n].up = true;
        }
        if !self.is_executing(n) {
            return;
        }
        let now = self.clock(n);
        if self.reaches_store(n) && now >= self.nodes[n].last_renew + RENEW_INTERVAL_MS {
            self.nodes[n].last_renew = now;
            self.step_leadership(n);
            let keeps_to_lease = self.disabled_guard != DisabledGuard::LeaderLease;
            if keeps_to_lease || self.leader.map(|leader| leader.node) == Some(n) {
                self.read_jobs(n);
            }
        }
        if self.may_act(n) {
            self.process_event(n, Event::Tick);
        }
    }

    /// Campaigns for the leader key, renews it, or steps down because another node holds it.
    fn step_leadership(&mut self, n: usize) {
        let now = self.clock(n);
        match self.leader {
            None => self.campaign(n),
            Some(leader) if leader.node == n && self.nodes[n].token == leader.token => {
                let expires_at = self.now + LEADER_LEASE_MS;
                self.leader = Some(LeaderKey { expires_at, ..leader });
                self.nodes[n].lease_valid_until = now + LEADER_LEASE_MS - LEASE_MARGIN_MS;
            }
            Some(_) if self.disabled_guard == DisabledGuard::LeaderLease => {}
            Some(_) => {
                self.nodes[n].scheduler = None;
                self.nodes[n].token = 0;
            }
        }
    }
}
