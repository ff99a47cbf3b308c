//! What the nodes tell each other: the leader's counts for display, whether the state service
//! serves them, and users' requests that a node passes on which it does not serve. One hop only.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix::prelude::*;
use actix_web::web::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::job_cache::{Counts, JobCache, Served};
use super::leader::{Leader, Overdue};
use crate::clock::now_ms;
use crate::constants::*;
use crate::http::{answer_passed_on, AppState};
use crate::settings::Settings;
use crate::wire::peers::{decode, encode, Answer, Frame, PeerRequest};

/// A frame for every other node.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Tell(pub Frame);

/// Passes a request on: to the node named, or else to one that the state service serves. None if
/// there is none or it does not answer.
#[derive(Message)]
#[rtype(result = "Option<Answer>")]
pub struct PassOn {
    pub to: Option<String>,
    pub request: PeerRequest,
}

/// Whether another node has been heard lately.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Company;

/// Who answers what other nodes pass on.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Receive(pub AppState);

/// A frame that came from a node.
#[derive(Message)]
#[rtype(result = "()")]
struct Heard {
    line: usize,
    frame: Frame,
}

struct Line {
    node: String,
    frames: mpsc::Sender<Frame>,
    heard_at: u64,
    store: bool,
}

pub struct Peers {
    listener: Option<TcpListener>,
    others: Vec<(String, SocketAddr)>,
    lines: Vec<Line>,
    cache: Addr<JobCache>,
    /// Counts of an older term are not shown after those of a newer one.
    token: u64,
    leader: Option<Addr<Leader>>,
    asked: HashMap<u64, oneshot::Sender<Answer>>,
    next_id: u64,
}

impl Peers {
    pub fn new(settings: &Settings, listener: TcpListener, cache: Addr<JobCache>) -> Self {
        Peers {
            listener: Some(listener),
            others: settings.platform.peers.iter().map(|p| (p.node_name.clone(), p.addr)).collect(),
            lines: Vec::new(),
            cache,
            token: 0,
            leader: None,
            asked: HashMap::new(),
            next_id: 0,
        }
    }

    fn tell(&self, frame: &Frame) {
        for line in &self.lines {
            let _ = line.frames.try_send(frame.clone());
        }
    }
}

type Wire = Framed<TcpStream, LengthDelimitedCodec>;

fn framed(stream: TcpStream) -> Wire {
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}

/// Sends a frame in bounded time; false if the connection is of no more use.
async fn send(wire: &mut Wire, frame: &Frame) -> bool {
    let Ok(bytes) = encode(frame) else {
        tracing::error!("a frame could not be written");
        return true;
    };
    let sent = tokio::time::timeout(CONNECT_TIMEOUT, wire.send(Bytes::from(bytes)));
    matches!(sent.await, Ok(Ok(())))
}

/// Keeps a connection to one node while there is something to say, and hears its answers.
async fn talk(
    line: usize,
    addr: SocketAddr,
    mut frames: mpsc::Receiver<Frame>,
    peers: Addr<Peers>,
) {
    loop {
        // Nothing is kept for a node that is away: what waits is old by the time it is back.
        let Some(first) = frames.recv().await else { return };
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
        let Some(mut wire) = connect.await.ok().and_then(Result::ok).map(framed) else { continue };
        if !send(&mut wire, &first).await {
            continue;
        }
        loop {
            tokio::select! {
                frame = frames.recv() => {
                    let Some(frame) = frame else { return };
                    if !send(&mut wire, &frame).await {
                        break;
                    }
                }
                bytes = wire.next() => {
                    let Some(Ok(bytes)) = bytes else { break };
                    let Some(frame) = decode(&bytes) else { break };
                    peers.do_send(Heard { line, frame });
                }
            }
        }
    }
}

/// Asks one node one thing, from outside of the service; None if it does not answer in time.
pub async fn request_once(addr: SocketAddr, request: PeerRequest) -> Option<Answer> {
    let asked = async {
        let mut wire = framed(TcpStream::connect(addr).await.ok()?);
        if !send(&mut wire, &Frame::Request { id: 1, request }).await {
            return None;
        }
        match decode(&wire.next().await?.ok()?)? {
            Frame::Answer { answer, .. } => Some(answer),
            _ => None,
        }
    };
    tokio::time::timeout(PASS_ON_TIMEOUT, asked).await.ok().flatten()
}

/// Serves the connection of another node. Requests are answered side by side, as many as the queue
/// of answers holds; more are dropped, and their sender answers for itself.
async fn listen(stream: TcpStream, peers: Addr<Peers>, cache: Addr<JobCache>, app: AppState) {
    let mut wire = framed(stream);
    let (answers, mut ready) = mpsc::channel(PEER_QUEUE);
    let idle = Duration::from_secs(KEEP_ALIVE_S);
    loop {
        let bytes = tokio::select! {
            answer = ready.recv() => {
                let Some(answer) = answer else { return };
                if !send(&mut wire, &answer).await {
                    return;
                }
                continue;
            }
            bytes = tokio::time::timeout(idle, wire.next()) => bytes,
        };
        let Ok(Some(Ok(bytes))) = bytes else { return };
        match decode(&bytes) {
            Some(Frame::Request { id, request }) => {
                if let Ok(place) = answers.clone().try_reserve_owned() {
                    let app = app.clone();
                    actix_rt::spawn(async move {
                        let answer = answer_passed_on(&app, request).await;
                        place.send(Frame::Answer { id, answer });
                    });
                }
            }
            // Health is answered by our own, on the same connection.
            Some(Frame::Health { .. }) => {
                let store = cache.send(Served).await.unwrap_or(false);
                if !send(&mut wire, &Frame::Health { store }).await {
                    return;
                }
            }
            Some(frame) => peers.do_send(Heard { line: usize::MAX, frame }),
            None => {
                tracing::debug!("a garbled frame from another node");
                return;
            }
        }
    }
}

impl Actor for Peers {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX);
        for (i, (node, addr)) in self.others.iter().enumerate() {
            let (frames, rx) = mpsc::channel(PEER_QUEUE);
            self.lines.push(Line { node: node.clone(), frames, heard_at: 0, store: false });
            actix_rt::spawn(talk(i, *addr, rx, ctx.address()));
        }
        ctx.run_interval(Duration::from_millis(HEALTH_MS), |act, _| {
            act.tell(&Frame::Health { store: true });
        });
    }
}

impl Handler<Receive> for Peers {
    type Result = ();
    fn handle(&mut self, msg: Receive, ctx: &mut Self::Context) {
        let Some(listener) = self.listener.take() else { return };
        self.leader = Some(msg.0.leader.clone());
        let (me, cache) = (ctx.address(), self.cache.clone());
        actix_rt::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        actix_rt::spawn(listen(stream, me.clone(), cache.clone(), msg.0.clone()));
                    }
                    Err(_) => tokio::time::sleep(CONNECT_TIMEOUT).await,
                }
            }
        });
    }
}

impl Handler<Tell> for Peers {
    type Result = ();
    fn handle(&mut self, msg: Tell, _: &mut Self::Context) {
        self.tell(&msg.0);
    }
}

impl Handler<Company> for Peers {
    type Result = bool;
    fn handle(&mut self, _: Company, _: &mut Self::Context) -> bool {
        let now = now_ms();
        self.lines.iter().any(|l| l.heard_at > 0 && now < l.heard_at + HEALTH_OLD_MS)
    }
}

impl Handler<PassOn> for Peers {
    type Result = ResponseActFuture<Self, Option<Answer>>;

    fn handle(&mut self, msg: PassOn, _: &mut Self::Context) -> Self::Result {
        let now = now_ms();
        let line = self
            .lines
            .iter()
            .filter(|l| now < l.heard_at + HEALTH_OLD_MS)
            .filter(|l| msg.to.as_ref().map_or(l.store, |node| *node == l.node))
            .max_by_key(|l| l.heard_at);
        let Some(line) = line else { return Box::pin(fut::ready(None)) };
        self.next_id += 1;
        let id = self.next_id;
        if line.frames.try_send(Frame::Request { id, request: msg.request }).is_err() {
            return Box::pin(fut::ready(None));
        }
        let (tx, rx) = oneshot::channel();
        self.asked.insert(id, tx);
        let wait = tokio::time::timeout(PASS_ON_TIMEOUT, rx);
        Box::pin(wait.into_actor(self).map(move |answer, act, _| {
            act.asked.remove(&id);
            answer.ok().and_then(Result::ok)
        }))
    }
}

impl Handler<Heard> for Peers {
    type Result = ();
    fn handle(&mut self, msg: Heard, _: &mut Self::Context) {
        match msg.frame {
            Frame::Progress { token, jobs, overdue } => {
                if token >= self.token {
                    self.token = token;
                    self.cache.do_send(Counts(jobs));
                    if let Some(leader) = &self.leader {
                        leader.do_send(Overdue(overdue));
                    }
                }
            }
            Frame::Health { store } => {
                if let Some(line) = self.lines.get_mut(msg.line) {
                    line.heard_at = now_ms();
                    line.store = store;
                }
            }
            Frame::Answer { id, answer } => {
                if let Some(tx) = self.asked.remove(&id) {
                    let _ = tx.send(answer);
                }
            }
            Frame::Request { .. } => {}
        }
    }
}
