//! What the agents exchange with the nodes: heartbeats, their responses, and direct calls.

use actix_web::http::StatusCode;
use rand::Rng;
use serde_json::Value;

use super::{FleetState, RESPONSE_TIMEOUT};

/// ms until a worker tries the next node.
const NEXT_NODE_DELAY_MS: u64 = 1_000;
/// ms until a worker that was referred to the leader reports to it.
const REDIRECT_DELAY_MS: u64 = 50;
/// ms until a worker that met a new leader reports to it once more.
const NEW_TOKEN_DELAY_MS: u64 = 300;
/// ms until a change on the machine is reported.
pub(super) const CHANGE_REPORT_DELAY_MS: u64 = 100;
/// The status of a node that does not lead.
const MISDIRECTED: u16 = 421;

/// A heartbeat that is to be sent.
pub(super) struct OutgoingHeartbeat {
    pub machine: String,
    /// Base URL of the node that it goes to.
    pub node_url: String,
    pub agent_epoch: u64,
    pub body: Value,
}

/// What a node responded to a heartbeat.
pub(super) struct HeartbeatResponse {
    pub status: u16,
    pub body: Value,
}

impl FleetState {
    /// The heartbeats that are to be sent now.
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
                // No response within its time; then the next node.
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

    /// The body of a machine's next heartbeat.
    pub(super) fn next_heartbeat(&mut self, name: &str) -> Option<Value> {
        Some(self.machines.get_mut(name)?.next_heartbeat(name))
    }

    /// Executes a direct call; returns its status and the heartbeat after it. None: the machine
    /// does not respond.
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

    /// Takes in the response to a heartbeat; None: there was none.
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
                    // The lease counts from now and not from the sending, at most one response
                    // timeout ago: it may expire a little late, as with a slow clock.
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

    /// Raises the fencing token that a machine has accepted.
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
