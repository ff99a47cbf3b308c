//! Communication between the nodes: the leader's task counts for display, whether the state service
//! serves each node, and forwarded requests. A request is forwarded only once, to the leader or to
//! a node that the state service serves.

mod connection;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix::prelude::*;
use latchtrack_core::job::JobId;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

pub use self::connection::request_once;

use self::connection::{maintain_connection, serve_connection, FrameReceived, FrameSource};
use super::job_cache::JobCache;
use super::messages::job_cache::{TaskCounts, UpdateTaskCounts};
use super::messages::peers::{
    BroadcastFrame, ForwardRequest, ForwardTarget, HasConnectedPeers, ServePeers,
};
use super::messages::scheduler::OverdueMachines;
use crate::clock::now_ms;
use crate::constants::{
    CONNECT_TIMEOUT, FORWARD_TIMEOUT, MAILBOX_CAPACITY, PEER_HEALTH_INTERVAL_MS,
    PEER_HEALTH_MAX_AGE_MS, PEER_QUEUE_CAPACITY,
};
use crate::settings::Settings;
use crate::wire::peers::{Answer, Frame, JobCounts};

/// The connection that this node opens to another node.
struct PeerConnection {
    node: String,
    frames: mpsc::Sender<Frame>,
    /// When the other node's health was last received, in ms of the steady clock; 0 if never.
    health_received_at: u64,
    /// Whether the state service served the other node when it last reported its health.
    is_served: bool,
}

impl PeerConnection {
    fn has_recent_health(&self, now: u64) -> bool {
        now < self.health_received_at + PEER_HEALTH_MAX_AGE_MS
    }
}

/// The actor that manages the connections to the other nodes.
pub struct Peers {
    /// Present until the actor starts accepting connections.
    listener: Option<TcpListener>,
    others: Vec<(String, SocketAddr)>,
    connections: Vec<PeerConnection>,
    cache: Addr<JobCache>,
    /// The highest fencing token received. Progress of older terms is ignored.
    newest_token: u64,
    scheduler: Option<Recipient<OverdueMachines>>,
    /// Forwarded requests without a response yet, by id.
    pending: HashMap<u64, oneshot::Sender<Answer>>,
    last_id: u64,
}

impl Peers {
    /// Creates an actor that connects to the other nodes, and accepts their connections on
    /// `listener` once it receives [`ServePeers`].
    pub fn new(settings: &Settings, listener: TcpListener, cache: Addr<JobCache>) -> Self {
        let peers = settings.platform.peers.iter();
        Peers {
            listener: Some(listener),
            others: peers.map(|peer| (peer.node_name.clone(), peer.addr)).collect(),
            connections: Vec::new(),
            cache,
            newest_token: 0,
            scheduler: None,
            pending: HashMap::new(),
            last_id: 0,
        }
    }

    /// Sends a frame to all other nodes, except those whose queue is full.
    fn broadcast(&self, frame: &Frame) {
        for connection in &self.connections {
            let _ = connection.frames.try_send(frame.clone());
        }
    }

    /// Returns the connection for forwarding a request to `target`: the one with the latest health
    /// report, if that is recent.
    fn connection_to(&self, target: &ForwardTarget) -> Option<&PeerConnection> {
        let now = now_ms();
        self.connections
            .iter()
            .filter(|connection| connection.has_recent_health(now))
            .filter(|connection| match target {
                ForwardTarget::Node(node) => *node == connection.node,
                ForwardTarget::AnyServed => connection.is_served,
            })
            .max_by_key(|connection| connection.health_received_at)
    }

    /// Applies the task counts and the overdue machines that a leader has sent.
    fn apply_progress(&mut self, token: u64, jobs: Vec<JobCounts>, overdue: Vec<String>) {
        if token < self.newest_token {
            return;
        }
        self.newest_token = token;
        let counts = jobs
            .into_iter()
            .map(|JobCounts { job, done, running }| TaskCounts { job: JobId(job), done, running })
            .collect();
        self.cache.do_send(UpdateTaskCounts(counts));
        if let Some(scheduler) = &self.scheduler {
            scheduler.do_send(OverdueMachines(overdue));
        }
    }
}

impl Actor for Peers {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX_CAPACITY);
        for (index, (node, addr)) in self.others.iter().enumerate() {
            let (frames, queued) = mpsc::channel(PEER_QUEUE_CAPACITY);
            let node = node.clone();
            self.connections.push(PeerConnection {
                node,
                frames,
                health_received_at: 0,
                is_served: false,
            });
            let received = ctx.address().recipient();
            actix_rt::spawn(maintain_connection(index, *addr, queued, received));
        }
        // The receiver ignores the value and replies with its own health.
        ctx.run_interval(Duration::from_millis(PEER_HEALTH_INTERVAL_MS), |act, _| {
            act.broadcast(&Frame::Health { store: true });
        });
    }
}

impl Handler<ServePeers> for Peers {
    type Result = ();
    fn handle(&mut self, msg: ServePeers, ctx: &mut Self::Context) {
        let Some(listener) = self.listener.take() else { return };
        self.scheduler = Some(msg.scheduler);
        let (handler, cache) = (msg.handler, self.cache.clone());
        let received: Recipient<FrameReceived> = ctx.address().recipient();
        actix_rt::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let (received, cache) = (received.clone(), cache.clone());
                        actix_rt::spawn(serve_connection(stream, received, cache, handler.clone()));
                    }
                    Err(_) => tokio::time::sleep(CONNECT_TIMEOUT).await,
                }
            }
        });
    }
}

impl Handler<BroadcastFrame> for Peers {
    type Result = ();
    fn handle(&mut self, msg: BroadcastFrame, _: &mut Self::Context) {
        self.broadcast(&msg.0);
    }
}

impl Handler<HasConnectedPeers> for Peers {
    type Result = bool;
    fn handle(&mut self, _: HasConnectedPeers, _: &mut Self::Context) -> bool {
        let now = now_ms();
        self.connections
            .iter()
            .any(|peer| peer.health_received_at > 0 && peer.has_recent_health(now))
    }
}

impl Handler<ForwardRequest> for Peers {
    type Result = ResponseActFuture<Self, Option<Answer>>;

    fn handle(&mut self, msg: ForwardRequest, _: &mut Self::Context) -> Self::Result {
        let id = self.last_id + 1;
        let Some(connection) = self.connection_to(&msg.target) else {
            return Box::pin(fut::ready(None));
        };
        let sent = connection.frames.try_send(Frame::Request { id, request: msg.request });
        self.last_id = id;
        if sent.is_err() {
            return Box::pin(fut::ready(None));
        }
        let (sender, receiver) = oneshot::channel();
        self.pending.insert(id, sender);
        let answer = tokio::time::timeout(FORWARD_TIMEOUT, receiver);
        Box::pin(answer.into_actor(self).map(move |answer, act, _| {
            act.pending.remove(&id);
            answer.ok().and_then(Result::ok)
        }))
    }
}

impl Handler<FrameReceived> for Peers {
    type Result = ();
    fn handle(&mut self, msg: FrameReceived, _: &mut Self::Context) {
        match msg.frame {
            Frame::Progress { token, jobs, overdue } => self.apply_progress(token, jobs, overdue),
            Frame::Health { store } => {
                let FrameSource::OwnConnection(index) = msg.source else { return };
                if let Some(connection) = self.connections.get_mut(index) {
                    connection.health_received_at = now_ms();
                    connection.is_served = store;
                }
            }
            Frame::Answer { id, answer } => {
                if let Some(sender) = self.pending.remove(&id) {
                    let _ = sender.send(answer);
                }
            }
            Frame::Request { .. } => {}
        }
    }
}
