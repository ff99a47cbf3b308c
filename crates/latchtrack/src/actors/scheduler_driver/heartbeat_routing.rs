//! Where a node that does not lead sends the heartbeats it gets.

use std::collections::HashMap;

use crate::actors::messages::scheduler::HeartbeatResponse;
use crate::constants::{FORWARD_HEARTBEATS_MS, MAX_REDIRECTED_MACHINES};

/// Redirects workers to the leader, and has the heartbeats of those that can't reach it forwarded.
pub(super) struct HeartbeatRouter {
    /// This node.
    node: String,
    leader: Option<String>,
    /// When workers were last redirected to the leader, in ms of the steady clock.
    redirected_at: HashMap<String, u64>,
}

impl HeartbeatRouter {
    /// A router that knows no leader.
    pub(super) fn new(node: String) -> Self {
        HeartbeatRouter { node, leader: None, redirected_at: HashMap::new() }
    }

    /// Who leads, if that is known.
    pub(super) fn leader(&self) -> Option<&String> {
        self.leader.as_ref()
    }

    /// Who leads now; workers that could not reach another leader may reach this one.
    pub(super) fn set_leader(&mut self, leader: Option<String>) {
        if self.leader != leader {
            self.leader = leader;
            self.redirected_at.clear();
        }
    }

    /// The leader waits for heartbeats of these machines. They count as redirected in vain, so
    /// that their next heartbeat is forwarded at once.
    pub(super) fn machines_overdue(&mut self, machines: Vec<String>, now: u64) {
        self.redirected_at.extend(machines.into_iter().map(|machine| (machine, now)));
    }

    /// The answer to a heartbeat while this node does not lead.
    pub(super) fn redirect(&mut self, machine: &str, now: u64) -> HeartbeatResponse {
        match self.leader.clone().filter(|leader| *leader != self.node) {
            Some(leader) if self.was_redirected(machine, now) => {
                HeartbeatResponse::ForwardTo(leader)
            }
            leader => HeartbeatResponse::NotLeader(leader),
        }
    }

    /// Whether a worker is back soon after it was redirected: it can't reach the leader. It is
    /// redirected again from time to time, to see whether it can by now.
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
