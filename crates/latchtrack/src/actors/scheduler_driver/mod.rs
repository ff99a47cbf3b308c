//! The scheduler driver, which runs the scheduler while this node leads. It passes events to the
//! scheduler and executes the resulting effects on workers, cloud and state service.

mod effects;
mod heartbeat_routing;
mod recovery;
mod state_read;
mod status;
mod term;
mod worker_calls;
mod write_state;
mod writes;

use std::time::Duration;

use actix::prelude::*;
use latchtrack_core::machine::MachineType;
use latchtrack_core::scheduler::{Event, Policy, Scheduler};

use self::heartbeat_routing::HeartbeatRouter;
use self::state_read::StateRead;
use self::term::TermState;
use self::write_state::WriteState;
use super::cloud::Cloud;
use super::job_cache::JobCache;
use super::messages::cloud::MachineTypesUpdate;
use super::messages::job_cache::{TaskCounts, UpdateTaskCounts};
use super::messages::peers::BroadcastFrame;
use super::messages::quota::QuotaTerm;
use super::messages::scheduler::{
    CacheUpdated, ConnectElection, ConnectQuota, HeartbeatReceived, HeartbeatResponse,
    HeartbeatRoute, JobChange, Leadership, OverdueMachines, SchedulerEvent,
};
use super::messages::OpenJob;
use super::peers::Peers;
use super::store::Store;
use crate::clock::{self, now_ms};
use crate::constants::{MAILBOX_CAPACITY, MAX_PROGRESS_JOBS, PROGRESS_INTERVAL_MS, TICK_MS};
use crate::net::http_client;
use crate::settings::Settings;
use crate::wire::peers::{Frame, JobCounts};

/// The actor that owns the scheduler.
pub struct SchedulerDriver {
    store: Addr<Store>,
    cache: Addr<JobCache>,
    cloud: Addr<Cloud>,
    peers: Addr<Peers>,
    election: Option<ConnectElection>,
    /// Present only if cells share teams.
    quota: Option<ConnectQuota>,
    /// HTTP client for direct calls to workers.
    client: awc::Client,
    policy: Policy,
    /// Size limit of a value in the state service, in bytes.
    value_bytes: usize,
    /// Maximum number of changes in a transaction of the state service.
    txn_ops: usize,
    types: Vec<MachineType>,
    /// The machine types that this node last stored.
    stored_types: Vec<MachineType>,
    term: TermState,
    /// Present once the stored state has been read in the current term.
    scheduler: Option<Scheduler>,
    state_read: StateRead,
    router: HeartbeatRouter,
    write_state: WriteState,
    /// When the task counts were last published, in ms of the steady clock.
    last_progress: u64,
}

impl SchedulerDriver {
    /// Creates the driver of a node that does not lead.
    pub fn new(
        store: Addr<Store>,
        cache: Addr<JobCache>,
        cloud: Addr<Cloud>,
        peers: Addr<Peers>,
        settings: &Settings,
    ) -> Self {
        SchedulerDriver {
            store,
            cache,
            cloud,
            peers,
            election: None,
            quota: None,
            client: http_client(settings.policy().max_open_calls),
            policy: settings.policy(),
            value_bytes: settings.platform.params.state.value_bytes(),
            txn_ops: settings.platform.params.state.txn_ops(),
            types: Vec::new(),
            stored_types: Vec::new(),
            term: TermState::new(settings.leader_lease_ms()),
            scheduler: None,
            state_read: StateRead::Idle,
            router: HeartbeatRouter::new(settings.platform.node_name.clone()),
            write_state: WriteState::Idle,
            last_progress: 0,
        }
    }

    /// Returns whether the scheduler runs and this node may issue commands.
    fn may_act(&self) -> bool {
        self.scheduler.is_some() && self.term.is_valid(now_ms())
    }

    /// Passes a change in the job cache to the scheduler.
    fn apply_job_change(&mut self, change: JobChange, ctx: &mut Context<Self>) {
        let event = match change {
            JobChange::Opened(OpenJob { spec, submitted_at_wall_ms, revision }) => {
                let submitted_at = clock::steady_from_wall(submitted_at_wall_ms);
                Event::JobOpened { spec, submitted_at, revision, done: None }
            }
            JobChange::Closed(id) => Event::JobClosed(id),
        };
        self.handle_event(event, ctx);
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        if !self.may_act() {
            return;
        }
        let now = now_ms();
        self.handle_event(Event::Tick, ctx);
        if now >= self.last_progress + PROGRESS_INTERVAL_MS {
            self.last_progress = now;
            self.publish_progress(now);
        }
    }

    /// Sends the numbers of done and running tasks to the job cache and the other nodes, for
    /// display. The other nodes also get the machines whose heartbeats are overdue.
    fn publish_progress(&self, now: u64) {
        let Some(scheduler) = &self.scheduler else { return };
        let counts: Vec<TaskCounts> = scheduler
            .progress()
            .filter(|job| job.done + job.running > 0)
            .take(MAX_PROGRESS_JOBS)
            .map(|job| TaskCounts { job: job.job, done: job.done, running: job.running })
            .collect();
        let to_wire = |count: &TaskCounts| JobCounts {
            job: count.job.0,
            done: count.done,
            running: count.running,
        };
        let jobs = counts.iter().map(to_wire).collect();
        self.cache.do_send(UpdateTaskCounts(counts));
        let (token, overdue) = (scheduler.token(), scheduler.overdue_machines(now));
        self.peers.do_send(BroadcastFrame(Frame::Progress { token, jobs, overdue }));
        let decisions = scheduler.decision_counts();
        tracing::debug!(token, summary = ?scheduler.summary(now), ?decisions, "scheduler summary");
    }

    /// Handles a heartbeat while this node leads.
    fn handle_heartbeat(
        &mut self,
        msg: HeartbeatReceived,
        ctx: &mut Context<Self>,
    ) -> HeartbeatResponse {
        if !self.may_act() {
            return HeartbeatResponse::NotReady;
        }
        let event = match msg.route {
            HeartbeatRoute::Forwarded => Event::RelayedHeartbeat(msg.heartbeat),
            HeartbeatRoute::Direct => Event::Heartbeat(msg.heartbeat),
        };
        self.handle_event(event, ctx).unwrap_or(HeartbeatResponse::NotReady)
    }
}

impl Actor for SchedulerDriver {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX_CAPACITY);
        ctx.run_interval(Duration::from_millis(TICK_MS), |act, ctx| act.tick(ctx));
    }
}

impl Handler<ConnectElection> for SchedulerDriver {
    type Result = ();
    fn handle(&mut self, msg: ConnectElection, _: &mut Self::Context) {
        self.election = Some(msg);
    }
}

impl Handler<ConnectQuota> for SchedulerDriver {
    type Result = ();
    fn handle(&mut self, msg: ConnectQuota, _: &mut Self::Context) {
        self.quota = Some(msg);
    }
}

impl Handler<Leadership> for SchedulerDriver {
    type Result = ();
    fn handle(&mut self, msg: Leadership, ctx: &mut Self::Context) {
        let token = msg.0.map(|term| term.token);
        if self.term.current().map(|term| term.token) != token {
            // The term has changed: the stored state must be read again.
            self.scheduler = None;
            self.write_state.forget_waiting();
        }
        self.term.set(msg.0);
        self.cloud.do_send(Leadership(msg.0));
        if let Some(quota) = &self.quota {
            quota.term.do_send(QuotaTerm(token));
        }
        self.read_state(ctx);
    }
}

impl Handler<MachineTypesUpdate> for SchedulerDriver {
    type Result = ();
    fn handle(&mut self, msg: MachineTypesUpdate, ctx: &mut Self::Context) {
        self.types = msg.0.clone();
        self.handle_event(Event::MachineTypes(msg.0), ctx);
        self.store_machine_types(ctx);
        self.read_state(ctx);
    }
}

impl Handler<CacheUpdated> for SchedulerDriver {
    type Result = ();
    fn handle(&mut self, msg: CacheUpdated, ctx: &mut Self::Context) {
        self.term.cache_observed(msg.observed_at);
        self.router.set_leader(msg.leader);
        if let StateRead::InProgress { changes } = &mut self.state_read {
            changes.extend(msg.changes);
            return;
        }
        let any = !msg.changes.is_empty();
        for change in msg.changes {
            self.apply_job_change(change, ctx);
        }
        if any && self.may_act() {
            self.handle_event(Event::Tick, ctx);
        }
    }
}

impl Handler<HeartbeatReceived> for SchedulerDriver {
    type Result = HeartbeatResponse;
    fn handle(&mut self, msg: HeartbeatReceived, ctx: &mut Self::Context) -> HeartbeatResponse {
        if self.term.current().is_none() {
            return self.router.route(&msg.heartbeat.machine, now_ms());
        }
        self.handle_heartbeat(msg, ctx)
    }
}

impl Handler<OverdueMachines> for SchedulerDriver {
    type Result = ();
    fn handle(&mut self, msg: OverdueMachines, _: &mut Self::Context) {
        self.router.mark_overdue(msg.0, now_ms());
    }
}

impl Handler<SchedulerEvent> for SchedulerDriver {
    type Result = ();
    fn handle(&mut self, msg: SchedulerEvent, ctx: &mut Self::Context) {
        if msg.token == self.term.token() {
            self.handle_event(msg.event, ctx);
        }
    }
}
