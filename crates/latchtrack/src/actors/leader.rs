//! Drives the core while this node leads: events in, effects out.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use actix::prelude::*;
use latchtrack_core::bitmap::Bitmap;
use latchtrack_core::job::{JobId, JobSpec};
use latchtrack_core::machine::{Command, Heartbeat, MachineType};
use latchtrack_core::scheduler::{
    BatchOutcome, CallOutcome, Effect, Event, Policy, ProvisionOutcome, RecordWrite, Scheduler,
    TermRevisions, TerminateOutcome,
};
use latchtrack_quota::WriteOutcome;

use super::cloud::{Cloud, CloudRequest};
use super::election::{Deposed, Election, Resign};
use super::intake::Types;
use super::job_cache::{Counts, JobCache, Learn};
use super::peers::{Peers, Tell};
use super::quota::{self, Quota, QuotaTerm};
use super::store::{self, Class, Reply, Store, StoreError, StoreRequest};
use super::stored::{conflict, read_stored_state, transaction, StoredState};
use crate::clock::{self, now_ms};
use crate::constants::*;
use crate::net::{finish, http_client, CallError};
use crate::settings::Settings;
use crate::wire::peers::Frame;
use crate::wire::records::{types as types_record, *};
use crate::wire::status::{ClusterView, NodeView};
use crate::wire::store::{Change, Condition, Txn};
use crate::wire::workers::{parse_report, Call, CommandDto};

/// A term of this node as the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderTerm {
    /// The revision of the leader key, which fences every write and every command.
    pub token: u64,
    /// Until when the lease surely stands, on the steady clock.
    pub valid_until: u64,
}

/// Whether this node leads, and in which term.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leadership(pub Option<LeaderTerm>);

/// A job record of the cache.
#[derive(Debug, Clone)]
pub enum JobChange {
    Open(Arc<JobSpec>, u64, u64),
    Closed(JobId),
}

/// The cache has taken in a look that was sent at `sent_at` (0: a write of our own).
#[derive(Message)]
#[rtype(result = "()")]
pub struct Advanced {
    pub sent_at: u64,
    pub changes: Vec<JobChange>,
    pub leader: Option<String>,
}

/// A worker's report, to this node or to another that passed it on.
#[derive(Message)]
#[rtype(result = "Answer")]
pub struct WorkerReport {
    pub report: Heartbeat,
    pub relayed: bool,
}

/// What this node sees, for an operator.
#[derive(Message)]
#[rtype(result = "View")]
pub struct Inspect {
    pub served: bool,
}

#[derive(MessageResponse)]
pub struct View(pub NodeView);

/// Machines that the leader misses; their reports are passed on to it.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Overdue(pub Vec<String>);

/// What a worker is told.
#[derive(Debug, MessageResponse)]
pub enum Answer {
    Orders {
        token: u64,
        commands: Vec<Command>,
    },
    /// Another node leads, this one if it is known.
    Elsewhere(Option<String>),
    /// The same, but the worker has been sent there in vain: its report is to be passed on.
    Relay(String),
    /// This node leads but may not act now.
    NotNow,
}

/// What came of a request to the cloud, in the term of this token.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Came {
    pub token: u64,
    pub event: Event,
}

pub struct Leader {
    store: Addr<Store>,
    cache: Addr<JobCache>,
    cloud: Addr<Cloud>,
    peers: Addr<Peers>,
    election: Option<Addr<Election>>,
    /// Only where cells share teams.
    quota: Option<Addr<Quota>>,
    client: awc::Client,
    node: String,
    policy: Policy,
    value_bytes: usize,
    txn_ops: usize,
    ttl_ms: u64,
    types: Vec<MachineType>,
    /// The types as this node knows them to be stored.
    stored_types: Vec<MachineType>,
    term: Option<LeaderTerm>,
    cluster: Option<Scheduler>,
    building: bool,
    /// Changes of the cache that came while the stored state was being read.
    meanwhile: Vec<JobChange>,
    fresh_at: u64,
    leader_name: Option<String>,
    /// When workers were last sent to the leader.
    sent_on: HashMap<String, u64>,
    saving: bool,
    want_save: bool,
    last_progress: u64,
}

/// Where the election is, once it has been started.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ElectionAt(pub Addr<Election>);

/// Where what cells share is read and written.
#[derive(Message)]
#[rtype(result = "()")]
pub struct QuotaAt(pub Addr<Quota>);

impl Leader {
    pub fn new(
        store: Addr<Store>,
        cache: Addr<JobCache>,
        cloud: Addr<Cloud>,
        peers: Addr<Peers>,
        settings: &Settings,
    ) -> Self {
        Leader {
            store,
            cache,
            cloud,
            peers,
            election: None,
            quota: None,
            client: http_client(settings.policy().max_open_calls),
            node: settings.platform.node_name.clone(),
            policy: settings.policy(),
            value_bytes: settings.platform.params.state.value_bytes(),
            txn_ops: settings.platform.params.state.txn_ops(),
            ttl_ms: settings.leader_ttl_ms(),
            types: Vec::new(),
            stored_types: Vec::new(),
            term: None,
            cluster: None,
            building: false,
            meanwhile: Vec::new(),
            fresh_at: 0,
            leader_name: None,
            sent_on: HashMap::new(),
            saving: false,
            want_save: false,
            last_progress: 0,
        }
    }

    /// Whether commands may be given now: leading by the local clock, and with a view of the
    /// jobs that is not older than the lease, so that cancellations are seen in time.
    fn may_act(&self) -> bool {
        let now = now_ms();
        self.cluster.is_some()
            && self.term.is_some_and(|term| now < term.valid_until)
            && now < self.fresh_at + self.ttl_ms
    }

    /// Whether a worker reports here again soon after it was sent to the leader. Now and then it is
    /// sent there all the same, to see whether it gets through again.
    fn comes_back(&mut self, machine: &str) -> bool {
        let now = now_ms();
        if self.sent_on.len() >= SENT_ON_KEPT {
            self.sent_on.retain(|_, at| now < *at + RELAY_MS);
        }
        match self.sent_on.get(machine) {
            Some(at) if now < at + RELAY_MS => true,
            _ => {
                self.sent_on.insert(machine.to_string(), now);
                false
            }
        }
    }

    fn token(&self) -> u64 {
        self.term.map_or(0, |term| term.token)
    }

    /// Hands an event to the core and carries out what it wants; returns a report's answer.
    fn drive(&mut self, event: Event, ctx: &mut Context<Self>) -> Option<Vec<Command>> {
        let effects = self.cluster.as_mut()?.handle(now_ms(), event);
        // Events of all kinds come in while the lease is in doubt; nothing goes out then.
        let may_act = self.may_act();
        let token = self.token();
        let mut answer = None;
        for effect in effects {
            match effect {
                Effect::Respond(commands) => answer = Some(commands),
                Effect::CallWorker { machine, call, .. } if !may_act => {
                    self.put_off(
                        Event::CallFinished { machine, call, outcome: CallOutcome::NotSent },
                        ctx,
                    );
                }
                Effect::Provision { request_id, .. } if !may_act => {
                    self.put_off(
                        Event::ProvisionFinished {
                            request_id,
                            outcome: ProvisionOutcome::NotExecuted,
                        },
                        ctx,
                    );
                }
                Effect::Terminate(names) if !may_act => {
                    self.put_off(
                        Event::TerminateFinished { names, outcome: TerminateOutcome::Failed },
                        ctx,
                    );
                }
                Effect::CallWorker { machine, addr, agent_epoch, call, commands } => {
                    self.call(machine, addr, agent_epoch, call, &commands, ctx);
                }
                Effect::Provision { request_id, offer, number } => {
                    self.cloud.do_send(CloudRequest::Hire { token, request_id, offer, number });
                }
                Effect::Terminate(names) => {
                    self.cloud.do_send(CloudRequest::Return { token, names });
                }
                Effect::ListMachines => self.cloud.do_send(CloudRequest::List { token }),
                Effect::WritesReady => self.save(ctx),
                Effect::Resign(why) => {
                    if let Some(e) = &self.election {
                        e.do_send(Resign(why.as_str()));
                    }
                }
                Effect::Log(event) => tracing::info!("{event}"),
                Effect::WriteLedger(write) => match &self.quota {
                    Some(quota) if may_act => quota.do_send(quota::Change { token, write }),
                    _ => self.put_off(
                        Event::LedgerWriteFinished { write, outcome: WriteOutcome::NotStored },
                        ctx,
                    ),
                },
            }
        }
        answer
    }

    /// Tells the core a little later that something was not done.
    fn put_off(&self, event: Event, ctx: &mut Context<Self>) {
        let token = self.token();
        ctx.notify_later(Came { token, event }, Duration::from_millis(PUT_OFF_MS));
    }

    fn call(
        &self,
        machine: String,
        addr: String,
        agent_epoch: u64,
        call: latchtrack_core::scheduler::CallId,
        commands: &[Command],
        ctx: &mut Context<Self>,
    ) {
        let token = self.token();
        let commands = commands.iter().map(CommandDto::from).collect();
        let body = Call { token, session: agent_epoch, commands };
        // Each worker is called seldom: an idle connection to each would take a socket.
        let request = self.client.post(format!("http://{addr}/do")).force_close();
        let sent = request.timeout(CALL_TIMEOUT).send_json(&body);
        ctx.spawn(finish(sent).into_actor(self).map(move |result, act, ctx| {
            let outcome = match result {
                Ok((status, body)) => match (status.as_u16(), parse_report(&body)) {
                    (200, Ok(report)) => CallOutcome::Executed(report),
                    (409, Ok(report)) => CallOutcome::Rejected(report),
                    _ => CallOutcome::NoAnswer,
                },
                Err(CallError::NotSent) => CallOutcome::NotSent,
                Err(CallError::Lost) => CallOutcome::NoAnswer,
            };
            // An answer to a call of an earlier term tells this one nothing in its own terms.
            if act.token() == token && act.may_act() {
                act.drive(Event::CallFinished { machine, call, outcome }, ctx);
            } else if act.token() == token {
                // Out of time just now: what was answered is taken for lost.
                let outcome = CallOutcome::NoAnswer;
                act.drive(Event::CallFinished { machine, call, outcome }, ctx);
            }
        }));
    }

    /// One write a round, with everything that has changed meanwhile.
    fn save(&mut self, ctx: &mut Context<Self>) {
        if self.saving {
            self.want_save = true;
            return;
        }
        self.want_save = false;
        let Some(cluster) = self.cluster.as_mut() else { return };
        let writes = cluster.next_writes(now_ms(), self.txn_ops);
        if writes.is_empty() {
            return;
        }
        self.saving = true;
        let token = self.token();
        let txn = transaction(token, &writes);
        let keys =
            txn.iter().flat_map(|t| &t.changes).map(|c| c.key().to_string()).collect::<Vec<_>>();
        let store = self.store.clone();
        let work = async move {
            let Some(txn) = txn else { return Err(StoreError::NotExecuted("no record")) };
            store::request(&store, Class::Progress, StoreRequest::Txn(txn), 10_000).await
        };
        ctx.spawn(work.into_actor(self).map(move |result, act, ctx| {
            act.saving = false;
            if act.token() != token || act.cluster.is_none() {
                return;
            }
            let outcome = match result.map(|a| a.reply) {
                Ok(Reply::Applied(stamp)) => {
                    for w in &writes {
                        if let RecordWrite::JobDone { job, tasks, .. } = w {
                            let record = Record::Done { tasks: *tasks };
                            act.cache.do_send(Learn { id: *job, record, stamp });
                        }
                    }
                    BatchOutcome::Committed(stamp)
                }
                Ok(Reply::Failed(keys)) => {
                    if keys.iter().any(|k| k == LEADER) {
                        if let Some(e) = &act.election {
                            e.do_send(Deposed(token));
                        }
                    }
                    conflict(&keys)
                }
                Ok(_) | Err(StoreError::Unknown) => BatchOutcome::Unknown,
                Err(StoreError::Refused(why)) => {
                    tracing::error!("the state service refused {}: {why}", keys.join(", "));
                    BatchOutcome::Rejected
                }
                Err(e) => {
                    tracing::debug!("a write of the leader failed: {e}");
                    BatchOutcome::NotExecuted
                }
            };
            let failed = matches!(
                outcome,
                BatchOutcome::NotExecuted | BatchOutcome::Unknown | BatchOutcome::Rejected
            );
            let again = act.want_save;
            // `Saved` itself asks for the next write if there is one.
            if failed {
                act.saving = true;
                ctx.run_later(Duration::from_millis(SYNC_RETRY_MS), move |act, ctx| {
                    act.saving = false;
                    if act.token() == token {
                        act.drive(Event::WritesFinished { writes, outcome }, ctx);
                    }
                });
            } else {
                act.drive(Event::WritesFinished { writes, outcome }, ctx);
                if again {
                    act.save(ctx);
                }
            }
        }));
    }

    /// Reads the stored state from which the term begins.
    fn build(&mut self, ctx: &mut Context<Self>) {
        if self.building || self.types.is_empty() || self.cluster.is_some() {
            return;
        }
        let Some(LeaderTerm { token, .. }) = self.term else { return };
        self.building = true;
        self.meanwhile.clear();
        let (store, cache) = (self.store.clone(), self.cache.clone());
        let work = async move { read_stored_state(&store, &cache).await };
        ctx.spawn(work.into_actor(self).map(move |stored, act, ctx| {
            act.building = false;
            if act.token() != token {
                act.build(ctx);
                return;
            }
            let Some(stored) = stored else {
                ctx.run_later(Duration::from_millis(SYNC_RETRY_MS), |act, ctx| act.build(ctx));
                return;
            };
            act.start_term(token, stored, ctx);
        }));
    }

    fn start_term(&mut self, token: u64, stored: StoredState, ctx: &mut Context<Self>) {
        let now = now_ms();
        tracing::info!(
            "stored state read: {} jobs open, {} machines to settle",
            stored.jobs.len(),
            stored.fleet.iter().flat_map(|f| &f.machines).map(Vec::len).sum::<usize>()
        );
        let mut results: HashMap<JobId, Vec<(u32, Vec<u8>)>> = HashMap::new();
        for (id, chunk, bytes) in stored.results.iter().flat_map(|r| &r.chunks) {
            results.entry(*id).or_default().push((*chunk, bytes.clone()));
        }
        let (policy, types) = (self.policy.clone(), self.types.clone());
        let (fleet, kept) = (stored.fleet, stored.results);
        // The last time before this term that nobody led.
        let leaderless_since = stored.vacant.filter(|revision| *revision < token).unwrap_or(token);
        let revisions = TermRevisions { token, leaderless_since };
        self.cluster = Some(Scheduler::new(policy, revisions, types, fleet, kept, now));
        for (spec, at_ms, revision) in stored.jobs {
            let mut done = None;
            for (chunk, bytes) in results.remove(&spec.id).unwrap_or_default() {
                done.get_or_insert_with(|| Bitmap::new(spec.tasks)).merge_chunk(chunk, &bytes);
            }
            let submitted_at = clock::steady_of(at_ms);
            self.drive(Event::JobOpened { spec, submitted_at, revision, done }, ctx);
        }
        for change in std::mem::take(&mut self.meanwhile) {
            self.change(change, ctx);
        }
        self.keep_types(ctx);
        self.drive(Event::Tick, ctx);
    }

    /// Stores the machine types for nodes that start while the cloud can't be asked.
    fn keep_types(&mut self, ctx: &mut Context<Self>) {
        if self.cluster.is_none() || same_types(&self.stored_types, &self.types) {
            return;
        }
        let types = self.types.clone();
        let Ok(value) = types_record(&types) else { return };
        if value.get().len() > self.value_bytes {
            let (size, most) = (value.get().len(), self.value_bytes);
            tracing::error!("{TYPES} is not stored: {size} bytes, {most} at most");
            self.stored_types = types;
            return;
        }
        let txn = Txn {
            conditions: vec![Condition { key: LEADER.into(), version: self.token() }],
            changes: vec![Change::Put { key: TYPES.into(), value, lease: None }],
        };
        let store = self.store.clone();
        let work = async move {
            store::request(&store, Class::Progress, StoreRequest::Txn(txn), 10_000).await
        };
        ctx.spawn(work.into_actor(self).map(move |result, act, _| {
            // Otherwise again when the cloud is next asked.
            if matches!(result.map(|a| a.reply), Ok(Reply::Applied(_))) {
                act.stored_types = types;
            }
        }));
    }

    fn change(&mut self, change: JobChange, ctx: &mut Context<Self>) {
        let event = match change {
            JobChange::Open(spec, at_ms, revision) => {
                let submitted_at = clock::steady_of(at_ms);
                Event::JobOpened { spec, submitted_at, revision, done: None }
            }
            JobChange::Closed(id) => Event::JobClosed(id),
        };
        self.drive(event, ctx);
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        if !self.may_act() {
            return;
        }
        let now = now_ms();
        self.drive(Event::Tick, ctx);
        if now >= self.last_progress + PROGRESS_MS {
            self.last_progress = now;
            if let Some(c) = &self.cluster {
                let jobs: Vec<(u64, u32, u32)> = c
                    .progress()
                    .filter(|job| job.done + job.running > 0)
                    .take(PROGRESS_JOBS)
                    .map(|job| (job.job.0, job.done, job.running))
                    .collect();
                self.cache.do_send(Counts(jobs.clone()));
                let overdue = c.overdue(now);
                self.peers.do_send(Tell(Frame::Progress { token: c.token(), jobs, overdue }));
                tracing::debug!("{:?}", c.summary(now));
            }
        }
    }
}

impl Actor for Leader {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX);
        ctx.run_interval(Duration::from_millis(TICK_MS), |act, ctx| act.tick(ctx));
    }
}

impl Handler<ElectionAt> for Leader {
    type Result = ();
    fn handle(&mut self, msg: ElectionAt, _: &mut Self::Context) {
        self.election = Some(msg.0);
    }
}

impl Handler<QuotaAt> for Leader {
    type Result = ();
    fn handle(&mut self, msg: QuotaAt, _: &mut Self::Context) {
        self.quota = Some(msg.0);
    }
}

impl Handler<Leadership> for Leader {
    type Result = ();
    fn handle(&mut self, msg: Leadership, ctx: &mut Self::Context) {
        if self.term.map(|term| term.token) != msg.0.map(|term| term.token) {
            // Another term: everything is rebuilt.
            self.cluster = None;
            self.want_save = false;
        }
        self.term = msg.0;
        self.cloud.do_send(Leadership(msg.0));
        if let Some(quota) = &self.quota {
            quota.do_send(QuotaTerm(msg.0.map(|term| term.token)));
        }
        self.build(ctx);
    }
}

impl Handler<Types> for Leader {
    type Result = ();
    fn handle(&mut self, msg: Types, ctx: &mut Self::Context) {
        self.types = msg.0.clone();
        self.drive(Event::MachineTypes(msg.0), ctx);
        self.keep_types(ctx);
        self.build(ctx);
    }
}

impl Handler<Advanced> for Leader {
    type Result = ();
    fn handle(&mut self, msg: Advanced, ctx: &mut Self::Context) {
        self.fresh_at = self.fresh_at.max(msg.sent_at);
        if self.leader_name != msg.leader {
            self.leader_name = msg.leader;
            self.sent_on.clear();
        }
        if self.building {
            self.meanwhile.extend(msg.changes);
            return;
        }
        let any = !msg.changes.is_empty();
        for change in msg.changes {
            self.change(change, ctx);
        }
        if any && self.may_act() {
            self.drive(Event::Tick, ctx);
        }
    }
}

impl Handler<WorkerReport> for Leader {
    type Result = Answer;
    fn handle(&mut self, msg: WorkerReport, ctx: &mut Self::Context) -> Answer {
        if self.term.is_none() {
            let other = self.leader_name.clone().filter(|n| *n != self.node);
            return match other {
                Some(leader) if self.comes_back(&msg.report.machine) => Answer::Relay(leader),
                other => Answer::Elsewhere(other),
            };
        }
        if !self.may_act() {
            return Answer::NotNow;
        }
        let token = self.token();
        let event = match msg.relayed {
            true => Event::RelayedHeartbeat(msg.report),
            false => Event::Heartbeat(msg.report),
        };
        match self.drive(event, ctx) {
            Some(commands) => Answer::Orders { token, commands },
            None => Answer::NotNow,
        }
    }
}

impl Handler<Overdue> for Leader {
    type Result = ();
    fn handle(&mut self, msg: Overdue, _: &mut Self::Context) {
        // As if they had been sent to the leader in vain: what they say is passed on at once.
        let now = now_ms();
        self.sent_on.extend(msg.0.into_iter().map(|name| (name, now)));
    }
}

impl Handler<Inspect> for Leader {
    type Result = View;
    fn handle(&mut self, msg: Inspect, _: &mut Self::Context) -> View {
        let cluster = self.cluster.as_ref().filter(|_| self.term.is_some()).map(|c| {
            let s = c.summary(now_ms());
            ClusterView {
                token: c.token(),
                acting: self.may_act(),
                machines_up: s.up,
                machines_booting: s.booting - s.unreconciled,
                machines_late: s.late,
                machines_unsettled: s.unreconciled,
                late_boots: c.late_boot_pools(),
                quiet_zones: c.unreachable_zones(),
                jobs_open: c.jobs().len(),
                gangs_open: c.open_gangs(),
                suspect_jobs: c
                    .quarantined_jobs()
                    .map(|id| id.to_string())
                    .take(STATUS_JOBS)
                    .collect(),
                tasks_waiting: s.waiting,
                cpus: s.cpus,
                cpus_running: s.cpus_running,
                balance: c.balance_summary().map(Into::into),
                quota: c.quota_summary().map(|teams| teams.into_iter().map(Into::into).collect()),
            }
        });
        View(NodeView { served: msg.served, leader: self.leader_name.clone(), cluster })
    }
}

impl Handler<Came> for Leader {
    type Result = ();
    fn handle(&mut self, msg: Came, ctx: &mut Self::Context) {
        if msg.token == self.token() {
            self.drive(msg.event, ctx);
        }
    }
}
