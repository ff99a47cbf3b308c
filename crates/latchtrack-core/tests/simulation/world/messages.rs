//! Messages between workers, nodes, cloud and state service, and their delivery.

use latchtrack_core::machine::{Command, Heartbeat, TaskPhase};
use latchtrack_core::placement::Offer;
use latchtrack_core::scheduler::{
    BatchOutcome, CallId, CallOutcome, Event, ProvisionOutcome, RecordWrite, TerminateOutcome,
};
use rand::Rng;

use super::effects::LeaderResponse;
use super::guards::DisabledGuard;
use super::state::JobState;
use super::{World, WORKER_LEASE_MS};

/// Time after which a worker gives up on a heartbeat, ms.
pub(super) const HEARTBEAT_TIMEOUT_MS: u64 = 4_000;
/// Time until a worker sends its next heartbeat after a change of its tasks, the first response of
/// a new leader, or a redirect, ms.
pub(super) const EARLY_HEARTBEAT_MS: u64 = 500;
/// Time until a node redirects a worker or the state service responds to a committed write, ms.
const FAST_RESPONSE_MS: u64 = 5;
/// Time until the state service responds to a write that did not commit, ms.
const REJECTED_WRITE_MS: u64 = 250;
/// Time until the cloud responds to a successful and to an unsuccessful request, ms.
const CLOUD_RESPONSE_MS: u64 = 50;
const CLOUD_FAILURE_MS: u64 = 800;

/// Most copies of a direct call.
const MAX_CALL_COPIES: usize = 3;

/// The process and term of a node that a message belongs to.
#[derive(Clone, Copy)]
pub(super) struct Origin {
    pub node: usize,
    /// Restarts of the node when it sent the message.
    pub restarts: u64,
    pub token: u64,
}

/// Whether the response to a request reaches the node.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Response {
    Arrives,
    Lost,
}

impl Response {
    /// [`Response::Lost`] if the argument is true.
    pub fn lost_if(is_lost: bool) -> Response {
        if is_lost {
            Response::Lost
        } else {
            Response::Arrives
        }
    }
}

/// A heartbeat on its way to a node.
pub(super) struct SentHeartbeat {
    pub node: usize,
    pub worker: String,
    pub heartbeat: Heartbeat,
    /// 0 for a duplicate made by the network.
    pub id: u64,
    pub sent_at: u64,
}

/// The response to a heartbeat.
pub(super) struct HeartbeatResponse {
    worker: String,
    id: u64,
    token: u64,
    agent_epoch: u64,
    commands: Vec<Command>,
    /// When the heartbeat was sent, ms.
    sent_at: u64,
}

/// How a direct call reaches its worker.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Delivery {
    /// While its node awaits the answer.
    InTime,
    /// After its node has given up on it.
    Late,
    /// Once more, after the worker has executed and answered it.
    Copy,
}

/// A node's direct call to a worker.
#[derive(Clone)]
pub(super) struct DirectCall {
    pub origin: Origin,
    pub worker: String,
    pub token: u64,
    pub agent_epoch: u64,
    pub call: CallId,
    pub commands: Vec<Command>,
    pub delivery: Delivery,
}

/// A message in flight.
pub(super) enum Message {
    Heartbeat(SentHeartbeat),
    HeartbeatResponse(HeartbeatResponse),
    /// Tells a worker that the node which its heartbeat reached does not lead.
    Redirect {
        worker: String,
        id: u64,
    },
    DirectCall(DirectCall),
    Provision {
        origin: Origin,
        request_id: String,
        offer: Offer,
        number: u32,
        response: Response,
    },
    Terminate {
        origin: Origin,
        names: Vec<String>,
        response: Response,
    },
    Write {
        origin: Origin,
        writes: Vec<RecordWrite>,
        response: Response,
    },
    WriteFinished {
        origin: Origin,
        writes: Vec<RecordWrite>,
        outcome: BatchOutcome,
    },
    /// An event for a node's scheduler, dropped if its term has ended.
    Event {
        origin: Origin,
        event: Event,
    },
}

impl World {
    /// Queues a message that arrives after `delay` ms.
    pub(super) fn post(&mut self, delay: u64, message: Message) {
        self.next_id += 1;
        self.queue.insert((self.now + delay, self.next_id), message);
    }

    /// A random delay of a message, ms. Within the fault period it is long with probability
    /// `held_back`.
    pub(super) fn delay(&mut self, held_back: f64) -> u64 {
        if self.has_random_faults() && self.chance(held_back) {
            self.rng.random_range(3_000..40_000)
        } else {
            self.rng.random_range(1..60)
        }
    }

    /// Delivers the messages that are due, in the order of their times and ids.
    pub(super) fn deliver_due(&mut self) {
        while let Some((&key, _)) = self.queue.first_key_value() {
            let (at, _) = key;
            if at > self.now {
                break;
            }
            if let Some(message) = self.queue.remove(&key) {
                self.deliver(message);
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Heartbeat(sent) => self.deliver_heartbeat(sent),
            Message::HeartbeatResponse(response) => self.deliver_response(response),
            Message::Redirect { worker, id } => self.redirect(&worker, id),
            Message::DirectCall(call) => self.deliver_call(call),
            Message::Provision { origin, request_id, offer, number, response } => {
                let outcome = self.provision(&request_id, &offer, number);
                self.finish_provision(origin, request_id, outcome, response);
            }
            Message::Terminate { origin, names, response } => {
                self.deliver_terminate(origin, names, response);
            }
            Message::Write { origin, writes, response } => {
                self.deliver_write(origin, writes, response);
            }
            Message::WriteFinished { origin, writes, outcome } => {
                let node = &mut self.nodes[origin.node];
                if node.restarts == origin.restarts && node.token == origin.token {
                    node.write_in_flight = false;
                    self.deliver_event(origin, Event::WritesFinished { writes, outcome });
                }
            }
            Message::Event { origin, event } => self.deliver_event(origin, event),
        }
    }

    /// Changes a heartbeat so that it lacks what the disabled guard would have provided.
    fn apply_disabled_guard(&self, sent: &mut SentHeartbeat) {
        let heartbeat = &mut sent.heartbeat;
        match self.disabled_guard {
            DisabledGuard::CheckpointingTaskStatus => {
                heartbeat.tasks.retain(|task| task.phase != TaskPhase::Checkpointing);
            }
            DisabledGuard::WaitingTaskStatus => {
                heartbeat.tasks.retain(|task| task.phase != TaskPhase::Waiting);
            }
            DisabledGuard::CancelledTaskUsage => heartbeat
                .tasks
                .retain(|task| !matches!(self.jobs[&task.task.job].state, JobState::Cancelled)),
            DisabledGuard::HeartbeatFreshness if sent.id == 0 => {
                heartbeat.token = self.nodes[sent.node].token;
            }
            _ => {}
        }
    }

    fn deliver_heartbeat(&mut self, mut sent: SentHeartbeat) {
        self.stats.duplicate_heartbeats += u64::from(sent.id == 0);
        self.apply_disabled_guard(&mut sent);
        let SentHeartbeat { node, worker, heartbeat, id, sent_at } = sent;
        if !self.is_executing(node) || self.now < self.nodes[node].partitioned_until {
            return;
        }
        if !self.may_act(node) {
            self.post(FAST_RESPONSE_MS, Message::Redirect { worker, id });
            return;
        }
        let (term_token, agent_epoch) = (self.nodes[node].token, heartbeat.agent_epoch);
        let is_hidden =
            self.disabled_guard == DisabledGuard::RenewedLeases && heartbeat.token < term_token;
        let response = if is_hidden {
            Some(LeaderResponse { token: term_token, commands: Vec::new() })
        } else {
            self.process_event(node, Event::Heartbeat(heartbeat.clone()))
        };
        let Some(LeaderResponse { token, mut commands }) = response else {
            self.post(FAST_RESPONSE_MS, Message::Redirect { worker, id });
            return;
        };
        if self.disabled_guard == DisabledGuard::ForgetAfterCalls {
            let ended = heartbeat.tasks.iter();
            let ended = ended.filter(|task| matches!(task.phase, TaskPhase::Ended(_)));
            commands.extend(
                ended.map(|task| Command::Forget { task: task.task, attempt: task.attempt }),
            );
        }
        if self.partition_between(&worker, node).is_some() {
            return;
        }
        let delay = self.delay(0.01);
        let response = HeartbeatResponse { worker, id, token, agent_epoch, commands, sent_at };
        self.post(delay, Message::HeartbeatResponse(response));
    }

    fn deliver_response(&mut self, response: HeartbeatResponse) {
        let HeartbeatResponse { worker: name, id, token, agent_epoch, commands, sent_at } =
            response;
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&name) else { return };
        let is_awaited = worker.pending_heartbeat.is_some_and(|pending| pending.id == id)
            && now <= sent_at + HEARTBEAT_TIMEOUT_MS;
        let is_unreachable = now < worker.unreachable_until();
        if !worker.alive || now < worker.hung_until || is_unreachable || !is_awaited {
            return;
        }
        worker.pending_heartbeat = None;
        if token < worker.token || agent_epoch != worker.agent_epoch {
            return;
        }
        if token > worker.token {
            worker.next_heartbeat = now + EARLY_HEARTBEAT_MS;
        }
        worker.token = token;
        worker.lease_from = worker.lease_from.max(sent_at);
        let is_flapping = match worker.next_disconnection_ms.take() {
            Some(ms) => {
                worker.disconnected_until = now + ms;
                true
            }
            None => false,
        };
        self.execute(&name, &commands);
        if is_flapping {
            self.record_occurrence("answered between two disconnections");
        }
    }

    /// Points a worker to the leader, or to the next node if there is no other leader.
    fn redirect(&mut self, name: &str, id: u64) {
        let leader = self.leader.map(|leader| leader.node);
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.pending_heartbeat.is_some_and(|pending| pending.id == id) {
            worker.pending_heartbeat = None;
            let next = (worker.node + 1) % self.size.nodes;
            worker.node = leader.filter(|leader| *leader != worker.node).unwrap_or(next);
            worker.next_heartbeat = now + EARLY_HEARTBEAT_MS;
        }
    }

    fn deliver_call(&mut self, direct_call: DirectCall) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&direct_call.worker) else { return };
        let is_disconnected = now < worker.disconnected_until;
        if !worker.alive || now < worker.up_at || worker.agent_epoch == 0 || is_disconnected {
            return;
        }
        if now < worker.hung_until {
            // Executed once the machine resumes.
            let wait = worker.hung_until - now + 1;
            let delivery = match direct_call.delivery {
                Delivery::InTime => Delivery::Late,
                delivery => delivery,
            };
            self.post(wait, Message::DirectCall(DirectCall { delivery, ..direct_call }));
            return;
        }
        worker.sequence += 1;
        let is_valid =
            direct_call.token >= worker.token && direct_call.agent_epoch == worker.agent_epoch;
        if is_valid {
            worker.token = direct_call.token;
            self.execute_call(&direct_call);
        } else if direct_call.delivery == Delivery::Copy {
            self.record_occurrence("copy of a call rejected");
        }
        let DirectCall { origin, worker: name, call, delivery, .. } = direct_call;
        if delivery != Delivery::InTime {
            return;
        }
        let Some(heartbeat) = self.heartbeat_of(&name) else { return };
        let outcome = if is_valid {
            CallOutcome::Executed(heartbeat)
        } else {
            CallOutcome::Rejected(heartbeat)
        };
        // The response may be lost.
        if !self.chance(0.02) {
            let delay = self.rng.random_range(1..60);
            let event = Event::CallFinished { machine: name, call, outcome };
            self.post(delay, Message::Event { origin, event });
        }
    }

    /// Executes a direct call on its worker. Copies of it may arrive again.
    fn execute_call(&mut self, direct_call: &DirectCall) {
        let DirectCall { worker, commands, delivery, .. } = direct_call;
        if *delivery == Delivery::Copy {
            self.execute_copy(worker, commands);
            return;
        }
        self.execute(worker, commands);
        let is_late = *delivery == Delivery::Late;
        self.stats.late_commands += u64::from(is_late && !commands.is_empty());
        self.post_copies(direct_call);
    }

    /// Executes a copy of a direct call. It leaves no trace in the run if it changes no task.
    fn execute_copy(&mut self, name: &str, commands: &[Command]) {
        let Some(worker) = self.workers.get(name) else { return };
        let (tasks, next_heartbeat) = (worker.tasks.clone(), worker.next_heartbeat);
        std::mem::swap(&mut self.rng, &mut self.copies_rng);
        self.execute(name, commands);
        std::mem::swap(&mut self.rng, &mut self.copies_rng);
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.tasks == tasks {
            worker.next_heartbeat = next_heartbeat;
            self.record_occurrence("copy of a call without effect");
        } else {
            self.record_occurrence("copy of a call changed a task");
        }
    }

    /// Lets copies of an executed direct call arrive, up to three worker leases later.
    fn post_copies(&mut self, direct_call: &DirectCall) {
        let probability = self.size.call_copy_probability;
        if direct_call.commands.is_empty() || !self.has_random_faults() {
            return;
        }
        for _ in 0..MAX_CALL_COPIES {
            if !self.copies_rng.random_bool(probability) {
                return;
            }
            let max_delay_ms = match self.copies_rng.random_range(0..3) {
                0 => WORKER_LEASE_MS / 10,
                1 => WORKER_LEASE_MS,
                _ => 3 * WORKER_LEASE_MS,
            };
            let delay = self.copies_rng.random_range(1..max_delay_ms);
            let copy = DirectCall { delivery: Delivery::Copy, ..direct_call.clone() };
            self.post(delay, Message::DirectCall(copy));
        }
    }

    fn finish_provision(
        &mut self,
        origin: Origin,
        request_id: String,
        outcome: ProvisionOutcome,
        response: Response,
    ) {
        let outcome = match response {
            Response::Arrives => outcome,
            Response::Lost => ProvisionOutcome::Unknown,
        };
        let is_done = matches!(outcome, ProvisionOutcome::Provisioned(_));
        let event = Event::ProvisionFinished { request_id, outcome };
        let wait = if is_done { CLOUD_RESPONSE_MS } else { CLOUD_FAILURE_MS };
        self.post(wait, Message::Event { origin, event });
    }

    fn deliver_terminate(&mut self, origin: Origin, names: Vec<String>, response: Response) {
        let is_up = self.now >= self.faults.cloud_down_until;
        if is_up && self.disabled_guard != DisabledGuard::ConfirmedTermination {
            for name in &names {
                self.workers.remove(name);
            }
        }
        let ok = is_up && response == Response::Arrives;
        let outcome = if ok { TerminateOutcome::Terminated } else { TerminateOutcome::Failed };
        let event = Event::TerminateFinished { names, outcome };
        let wait = if ok { CLOUD_RESPONSE_MS } else { CLOUD_FAILURE_MS };
        self.post(wait, Message::Event { origin, event });
    }

    fn deliver_write(&mut self, origin: Origin, writes: Vec<RecordWrite>, response: Response) {
        let outcome = self.write(origin.token, &writes);
        if response == Response::Arrives {
            let is_committed = matches!(outcome, BatchOutcome::Committed(_));
            let wait = if is_committed { FAST_RESPONSE_MS } else { REJECTED_WRITE_MS };
            self.post(wait, Message::WriteFinished { origin, writes, outcome });
        }
    }

    /// Delivers an event to the scheduler of its term, or to a paused node once it resumes.
    pub(super) fn deliver_event(&mut self, origin: Origin, event: Event) {
        let node = &self.nodes[origin.node];
        if node.restarts != origin.restarts || node.token != origin.token || !node.up {
            return;
        }
        if self.now < node.paused_until {
            let wait = node.paused_until - self.now + 1;
            self.post(wait, Message::Event { origin, event });
        } else {
            self.process_event(origin.node, event);
        }
    }
}
