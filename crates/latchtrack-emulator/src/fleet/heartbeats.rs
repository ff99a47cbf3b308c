//! Messages between agents and nodes: heartbeats, their responses and direct calls.

use actix_web::http::StatusCode;
use rand::Rng;
use serde_json::Value;

use super::{FleetState, RESPONSE_TIMEOUT};

/// Delay until a worker tries the next node, ms.
const NEXT_NODE_DELAY_MS: u64 = 1_000;
/// Delay until a worker that was redirected to the leader sends it a heartbeat, ms.
const REDIRECT_DELAY_MS: u64 = 50;
/// Maximum delay of the heartbeat after a worker accepts a new leader's token, ms.
const NEW_TOKEN_DELAY_MS: u64 = 300;
/// Maximum delay of the heartbeat after a change on the machine, ms.
pub(super) const CHANGE_REPORT_DELAY_MS: u64 = 100;
/// HTTP 421: the node does not lead, and names the leader if it knows it.
const MISDIRECTED: u16 = 421;

/// A heartbeat to send.
pub(super) struct OutgoingHeartbeat {
    pub machine: String,
    /// Base URL of the receiving node.
    pub node_url: String,
    pub agent_epoch: u64,
    pub body: Value,
}

/// A node's response to a heartbeat.
pub(super) struct HeartbeatResponse {
    pub status: u16,
    pub body: Value,
}

impl FleetState {
    /// Returns the heartbeats to send now, and schedules the following ones with jitter.
    pub(super) fn heartbeats_due(&mut self) -> Vec<OutgoingHeartbeat> {
        let now = self.now_ms();
        let mut due = Vec::new();
        for name in self.running_machines() {
            let machine = &self.machines[&name];
            if machine.is_heartbeat_in_flight
                || now < machine.next_heartbeat_ms
                || now < machine.paused_until_ms
            {
                continue;
            }
            let is_lost = now < machine.partitioned_until_ms;
            let nodes = &self.settings.nodes;
            let node_url = nodes[machine.node % nodes.len()].url.clone();
            let interval = self.settings.heartbeat_interval_ms;
            let jittered = self.rng.random_range(interval * 3 / 4..=interval * 5 / 4);
            let Some(body) = self.next_heartbeat(&name) else { continue };
            let Some(machine) = self.machines.get_mut(&name) else { continue };
            machine.next_heartbeat_ms = now + jittered;
            if is_lost {
                // The heartbeat is lost: after the response timeout, the worker tries the next
                // node.
                machine.next_heartbeat_ms = now + RESPONSE_TIMEOUT.as_millis() as u64;
                machine.node += 1;
                continue;
            }
            machine.is_heartbeat_in_flight = true;
            let agent_epoch = machine.agent_epoch;
            due.push(OutgoingHeartbeat { machine: name, node_url, agent_epoch, body });
        }
        due
    }

    /// Builds the body of a machine's next heartbeat; `None` if the machine does not exist.
    pub(super) fn next_heartbeat(&mut self, name: &str) -> Option<Value> {
        Some(self.machines.get_mut(name)?.next_heartbeat(name))
    }

    /// Executes a direct call, and returns the status and the heartbeat that answer it. `None` if
    /// the machine does not respond.
    pub(super) fn on_direct_call(
        &mut self,
        addr: &str,
        body: &Value,
    ) -> Option<(StatusCode, Value)> {
        let name = self.machine_at(addr)?;
        let machine = &self.machines[&name];
        if !machine.is_up(self.now_ms()) {
            return None;
        }
        let (token, agent_epoch) = (body["baton"].as_u64()?, body["shift"].as_u64()?);
        if token < machine.fencing_token || agent_epoch != machine.reported_epoch() {
            return Some((StatusCode::CONFLICT, self.next_heartbeat(&name)?));
        }
        self.execute(&name, token, &body["orders"]);
        Some((StatusCode::OK, self.next_heartbeat(&name)?))
    }

    /// Executes a copy of a direct call, unless the machine rejects it.
    pub(super) fn on_direct_copy(&mut self, addr: &str, body: &Value) {
        match self.on_direct_call(addr, body) {
            Some((StatusCode::OK, _)) => self.history.call_copies.executed += 1,
            Some(_) => self.history.call_copies.rejected += 1,
            None => {}
        }
    }

    /// Processes the response to a heartbeat; `None` if the request failed. A partitioned machine
    /// does not get the response.
    pub(super) fn on_response(
        &mut self,
        name: &str,
        agent_epoch: u64,
        response: Option<HeartbeatResponse>,
    ) {
        let (now, is_lost) = (self.now_ms(), self.loses_response());
        let Some(machine) = self.machines.get_mut(name) else { return };
        machine.is_heartbeat_in_flight = false;
        if machine.has_crashed || now < machine.paused_until_ms {
            return;
        }
        match response.filter(|_| !is_lost && now >= machine.partitioned_until_ms) {
            Some(HeartbeatResponse { status: 200, body }) if machine.agent_epoch == agent_epoch => {
                let token = body["baton"].as_u64().unwrap_or(0);
                if token >= machine.fencing_token {
                    // The lease is counted from the response and not from the request, up to one
                    // response timeout earlier, so it may expire late, as with a slow clock.
                    machine.lease_renewed_ms = now;
                    self.execute(name, token, &body["orders"]);
                }
            }
            Some(HeartbeatResponse { status: MISDIRECTED, body }) => {
                let leader = body["foreman"].as_str().unwrap_or_default();
                let known = self.settings.nodes.iter().position(|node| node.name == leader);
                machine.node = known.unwrap_or(machine.node + 1);
                let wait_ms =
                    if leader.is_empty() { NEXT_NODE_DELAY_MS } else { REDIRECT_DELAY_MS };
                machine.next_heartbeat_ms = now + wait_ms;
            }
            _ => {
                machine.node += 1;
                machine.next_heartbeat_ms = now + NEXT_NODE_DELAY_MS;
            }
        }
    }

    /// Records the highest fencing token that a machine has accepted. A new one brings the next
    /// heartbeat forward.
    pub(super) fn accept_token(&mut self, name: &str, token: u64) {
        let now = self.now_ms();
        self.with_machine(name, |machine| {
            if token > machine.fencing_token {
                machine.heartbeat_within(now, NEW_TOKEN_DELAY_MS);
            }
            machine.fencing_token = machine.fencing_token.max(token);
        });
    }
}
