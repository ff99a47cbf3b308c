//! Messages on their way, and what comes of them.

use super::*;

pub(super) enum Message {
    Heartbeat {
        node: usize,
        worker: String,
        report: Heartbeat,
        id: u64,
        sent: u64,
    },
    HeartbeatResponse {
        worker: String,
        id: u64,
        token: u64,
        agent_epoch: u64,
        commands: Vec<Command>,
        sent: u64,
    },
    Redirect {
        worker: String,
        id: u64,
    },
    DirectCall {
        node: usize,
        run: u64,
        worker: String,
        token: u64,
        agent_epoch: u64,
        call: u64,
        commands: Vec<Command>,
        late: bool,
    },
    CallFinished {
        node: usize,
        run: u64,
        token: u64,
        worker: String,
        call: u64,
        outcome: CallOutcome,
    },
    Provision {
        node: usize,
        run: u64,
        token: u64,
        request_id: String,
        offer: Offer,
        number: u32,
        responds: bool,
    },
    Terminate {
        node: usize,
        run: u64,
        token: u64,
        names: Vec<String>,
        responds: bool,
    },
    Write {
        node: usize,
        run: u64,
        token: u64,
        writes: Vec<RecordWrite>,
        responds: bool,
    },
    /// Something for a node's core, if it still is in that term.
    Event {
        node: usize,
        run: u64,
        token: u64,
        event: Event,
    },
    WriteFinished {
        node: usize,
        run: u64,
        token: u64,
        writes: Vec<RecordWrite>,
        outcome: BatchOutcome,
    },
}

impl World {
    pub(super) fn deliver(&mut self, msg: Message) {
        match msg {
            Message::Heartbeat { node, worker, mut report, id, sent } => {
                self.copies += u64::from(id == 0);
                if self.disabled_guard == DisabledGuard::CheckpointingTaskStatus {
                    report.tasks.retain(|t| t.phase != TaskPhase::Checkpointing);
                }
                if self.disabled_guard == DisabledGuard::WaitingTaskStatus {
                    report.tasks.retain(|t| t.phase != TaskPhase::Waiting);
                }
                if self.disabled_guard == DisabledGuard::CancelledTaskUsage {
                    let cancelled = |id: &JobId| matches!(self.jobs[id].state, JobState::Cancelled);
                    report.tasks.retain(|t| !cancelled(&t.task.job));
                }
                if self.disabled_guard == DisabledGuard::HeartbeatFreshness && id == 0 {
                    report.token = self.nodes[node].token;
                }
                let node_cut = self.now < self.nodes[node].partitioned_until;
                if !self.awake(node) || node_cut {
                    return;
                }
                if !self.may_act(node) {
                    self.post(5, Message::Redirect { worker, id });
                    return;
                }
                let (token, agent_epoch) = (self.nodes[node].token, report.agent_epoch);
                let commands = self.drive(node, Event::Heartbeat(report.clone()));
                let Some(mut commands) = commands else {
                    self.post(5, Message::Redirect { worker, id });
                    return;
                };
                if self.disabled_guard == DisabledGuard::ForgetAfterCalls {
                    for t in report.tasks.iter().filter(|t| matches!(t.phase, TaskPhase::Ended(_)))
                    {
                        commands.push(Command::Forget { task: t.task, attempt: t.attempt });
                    }
                }
                if self.apart(&worker, node).is_some() {
                    return;
                }
                let delay = self.delay(0.01);
                self.post(
                    delay,
                    Message::HeartbeatResponse { worker, id, token, agent_epoch, commands, sent },
                );
            }
            Message::HeartbeatResponse { worker, id, token, agent_epoch, commands, sent } => {
                let now = self.now;
                let Some(w) = self.workers.get_mut(&worker) else { return };
                let current =
                    w.heartbeat_in_flight.is_some_and(|(_, f)| f == id) && now <= sent + 4_000;
                let unreached = now < w.partitioned_until.max(w.inbound_lost_until);
                if !w.alive || now < w.hung_until || unreached || !current {
                    return;
                }
                w.heartbeat_in_flight = None;
                if token < w.token || agent_epoch != w.agent_epoch {
                    return;
                }
                if token > w.token {
                    w.next_report = now + 500;
                }
                w.token = token;
                w.lease_from = w.lease_from.max(sent);
                self.execute(&worker, &commands);
            }
            Message::Redirect { worker, id } => {
                let leader = self.leader.map(|l| l.0);
                let now = self.now;
                let Some(w) = self.workers.get_mut(&worker) else { return };
                if w.heartbeat_in_flight.is_some_and(|(_, f)| f == id) {
                    w.heartbeat_in_flight = None;
                    w.node =
                        leader.filter(|l| *l != w.node).unwrap_or((w.node + 1) % self.size.nodes);
                    w.next_report = now + 500;
                }
            }
            Message::DirectCall { node, run, worker, token, agent_epoch, call, commands, late } => {
                let now = self.now;
                let Some(w) = self.workers.get_mut(&worker) else { return };
                if !w.alive || now < w.up_at || w.agent_epoch == 0 {
                    return;
                }
                if now < w.hung_until {
                    // Executed when the machine resumes.
                    let wait = w.hung_until - now + 1;
                    let msg = Message::DirectCall {
                        node,
                        run,
                        worker,
                        token,
                        agent_epoch,
                        call,
                        commands,
                        late: true,
                    };
                    self.post(wait, msg);
                    return;
                }
                w.sequence += 1;
                let good = token >= w.token && agent_epoch == w.agent_epoch;
                if good {
                    w.token = token;
                    self.late_commands += u64::from(late && !commands.is_empty());
                    self.execute(&worker, &commands);
                }
                if late {
                    return;
                }
                let Some(report) = self.report(&worker) else { return };
                let outcome = if good {
                    CallOutcome::Executed(report)
                } else {
                    CallOutcome::Rejected(report)
                };
                // The answer may be lost on its way.
                if !self.chance(0.02) {
                    let delay = self.rng.random_range(1..60);
                    self.post(
                        delay,
                        Message::CallFinished { node, run, token, worker, call, outcome },
                    );
                }
            }
            Message::CallFinished { node, run, token, worker, call, outcome } => {
                let event = Event::CallFinished { machine: worker, call, outcome };
                self.deliver(Message::Event { node, run, token, event });
            }
            Message::Provision { node, run, token, request_id, offer, number, responds } => {
                let outcome = self.provision(&request_id, &offer, number);
                let outcome = if responds { outcome } else { ProvisionOutcome::Unknown };
                let wait =
                    if matches!(outcome, ProvisionOutcome::Provisioned(_)) { 50 } else { 800 };
                let event = Event::ProvisionFinished { request_id, outcome };
                self.post(wait, Message::Event { node, run, token, event });
            }
            Message::Terminate { node, run, token, names, responds } => {
                let up = self.now >= self.cloud_down_until;
                if up && self.disabled_guard != DisabledGuard::ConfirmedTermination {
                    for name in &names {
                        self.workers.remove(name);
                    }
                }
                let ok = up && responds;
                let event = Event::TerminateFinished { names, ok };
                self.post(if ok { 50 } else { 800 }, Message::Event { node, run, token, event });
            }
            Message::Write { node, run, token, writes, responds } => {
                let outcome = self.write(token, &writes);
                if responds {
                    let wait = if matches!(outcome, BatchOutcome::Committed(_)) { 5 } else { 250 };
                    self.post(wait, Message::WriteFinished { node, run, token, writes, outcome });
                }
            }
            Message::WriteFinished { node, run, token, writes, outcome } => {
                if self.nodes[node].run == run && self.nodes[node].token == token {
                    self.nodes[node].write_in_flight = false;
                    let event = Event::WritesFinished { writes, outcome };
                    self.deliver(Message::Event { node, run, token, event });
                }
            }
            Message::Event { node, run, token, event } => {
                let n = &self.nodes[node];
                if n.run == run && n.token == token && n.up {
                    if self.now < n.paused_until {
                        let wait = n.paused_until - self.now + 1;
                        self.post(wait, Message::Event { node, run, token, event });
                    } else {
                        self.drive(node, event);
                    }
                }
            }
        }
    }
}
