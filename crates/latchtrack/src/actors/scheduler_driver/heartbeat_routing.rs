//! Routing of the heartbeats that reach a node that does not lead.

use std::collections::HashMap;

use crate::actors::messages::scheduler::HeartbeatResponse;
use crate::constants::{FORWARD_HEARTBEATS_MS, MAX_REDIRECTED_MACHINES};

/// Redirects workers to the leader, and forwards the heartbeats of those that can't reach it.
pub(super) struct HeartbeatRouter {
    /// Name of this node.
    node: String,
    leader: Option<String>,
    /// When each machine was last redirected to the leader, in ms of the steady clock.
    redirected_at: HashMap<String, u64>,
}

impl HeartbeatRouter {
    /// Creates a router without a known leader.
    pub(super) fn new(node: String) -> Self {
        HeartbeatRouter { node, leader: None, redirected_at: HashMap::new() }
    }

    /// Returns the name of the leader, if known.
    pub(super) fn leader(&self) -> Option<&String> {
        self.leader.as_ref()
    }

    /// Sets the leader. A new leader may be reachable for workers that could not reach the old
    /// one, so the recorded redirects are dropped.
    pub(super) fn set_leader(&mut self, leader: Option<String>) {
        if self.leader != leader {
            self.leader = leader;
            self.redirected_at.clear();
        }
    }

    /// Marks machines whose heartbeats are overdue at the leader as redirected without success, so
    /// that their next heartbeat is forwarded.
    pub(super) fn mark_overdue(&mut self, machines: Vec<String>, now: u64) {
        self.redirected_at.extend(machines.into_iter().map(|machine| (machine, now)));
    }

    /// Returns the response to a heartbeat while this node does not lead.
    pub(super) fn route(&mut self, machine: &str, now: u64) -> HeartbeatResponse {
        match self.leader.clone().filter(|leader| *leader != self.node) {
            Some(leader) if self.was_redirected(machine, now) => {
                HeartbeatResponse::ForwardTo(leader)
            }
            leader => HeartbeatResponse::NotLeader(leader),
        }
    }

    /// Returns whether a worker was redirected within the last [`FORWARD_HEARTBEATS_MS`]: it is
    /// back because it can't reach the leader. If not, records that it is redirected now.
    fn was_redirected(&mut self, machine: &str, now: u64) -> bool {
        if self.redirected_at.len() >= MAX_REDIRECTED_MACHINES {
            self.redirected_at.retain(|_, at| now < *at + FORWARD_HEARTBEATS_MS);
        }
        match self.redirected_at.get(machine) {
            Some(at) if now < at + FORWARD_HEARTBEATS_MS => true,
            _ => {
                self.redirected_at.insert(machine.to_string(), now);
                false
            }
        }
    }
}
