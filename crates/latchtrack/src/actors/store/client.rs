//! The one client of the state service. It paces itself: each node keeps to its share of the
//! request and write limits ([`super::pacing`]), leases go before submissions, those before the leader's
//! progress.

use std::collections::VecDeque;
use std::time::Duration;

use actix::prelude::*;
use actix_web::http::StatusCode;
use futures_util::future::LocalBoxFuture;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::sync::oneshot;

use super::namespace::Namespace;
use super::pacing::{Bucket, WriteLimits, WriteShare};
use crate::clock::now_ms;
use crate::constants::*;
use crate::net::{http_client, CallError};
use crate::settings::Settings;
use crate::wire::store::*;

/// How a request failed.
#[derive(Debug, Clone, thiserror::Error, PartialEq, Eq)]
pub enum StoreError {
    /// Surely not executed: refused, over a limit, or never sent.
    #[error("not executed: {0}")]
    NotExecuted(&'static str),
    /// May have been executed, or may be later.
    #[error("outcome unknown")]
    Unknown,
    /// The lease or the key does not exist.
    #[error("not found")]
    NotFound,
    /// The watch asked for changes that are no longer kept.
    #[error("too old")]
    TooOld,
    /// A request the service does not take; our own mistake, or a lease that has ended.
    #[error("refused: {0}")]
    Refused(String),
}

/// Over a limit of the state service.
const OVER: StoreError = StoreError::NotExecuted("over the limit");

/// Which requests go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    Lease = 0,
    Accept = 1,
    Read = 2,
    Progress = 3,
}

/// What the state service can be asked.
#[derive(Clone, Debug)]
pub enum StoreRequest {
    List { prefix: &'static str, from: Option<String> },
    Txn(Txn),
    Grant { ttl_ms: u64 },
    Renew { lease: u64 },
    End { lease: u64 },
    Changes { prefix: &'static str, from: u64 },
    Get { key: String },
}

impl StoreRequest {
    fn writes(&self) -> f64 {
        match self {
            StoreRequest::Txn(txn) => txn.changes.len() as f64,
            _ => 0.0,
        }
    }

    fn timeout(&self) -> Duration {
        match self {
            StoreRequest::Renew { .. } | StoreRequest::Grant { .. } | StoreRequest::End { .. } => {
                RENEW_TIMEOUT
            }
            StoreRequest::Txn(_) => WRITE_TIMEOUT,
            _ => READ_TIMEOUT,
        }
    }
}

/// What it answers.
#[derive(Debug)]
pub enum Reply {
    Page(Page),
    /// The revision of a transaction that took effect.
    Applied(u64),
    /// Keys whose conditions did not hold.
    Failed(Vec<String>),
    Lease(u64),
    Done,
    Changes(WatchAnswer),
    Item(Item),
}

/// A request, of a class, that is of no use after `deadline` (steady ms).
#[derive(Message, Debug)]
#[rtype(result = "Result<Answered, StoreError>")]
pub struct Request {
    pub class: Class,
    pub request: StoreRequest,
    pub deadline: u64,
}

/// An answer, and when its request was sent on the steady clock.
#[derive(Debug)]
pub struct Answered {
    pub reply: Reply,
    pub sent_at: u64,
}

/// Whether this node leads, which decides its share of the limits.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Share {
    pub leading: bool,
}

struct Waiting {
    request: Request,
    answer: oneshot::Sender<Result<Answered, StoreError>>,
}

pub struct Store {
    client: awc::Client,
    base: String,
    namespace: Namespace,
    rps: f64,
    nodes: f64,
    requests: Bucket,
    writes: Bucket,
    write_share: WriteShare,
    queues: [VecDeque<Waiting>; 4],
    open: usize,
    /// A wake-up is set.
    waking: bool,
}

impl Store {
    pub fn new(settings: &Settings) -> Self {
        let p = &settings.platform;
        let state = &p.params.state;
        // Nothing that is lost by it needs more reads than the lower limit allows.
        let cells = settings.cells() as f64;
        let rps = state.lower_rps() / cells;
        let limits =
            WriteLimits { now: state.write_rps / cells, lower: state.lower_write_rps() / cells };
        let nodes = settings.nodes() as f64;
        let share = LIMIT_USED / (nodes + 1.0);
        let now = now_ms();
        let write_share = WriteShare::new(limits, share, now);
        Store {
            client: http_client(STORE_OPEN),
            base: format!("http://{}", p.services.state),
            namespace: Namespace::new(settings.key_prefix()),
            rps,
            nodes,
            requests: Bucket::new(rps * share, rps * share, now),
            writes: Bucket::new(write_share.usual_rate(), write_share.burst(), now),
            write_share,
            queues: Default::default(),
            open: 0,
            waking: false,
        }
    }

    /// Sends what its turn and the budgets allow.
    fn pump(&mut self, ctx: &mut Context<Self>) {
        let now = now_ms();
        self.requests.fill(now);
        self.writes.fill(now);
        self.writes.set(self.write_share.rate(now), self.write_share.burst());
        while self.open < STORE_OPEN {
            let now = now_ms();
            for q in &mut self.queues {
                while q.front().is_some_and(|w| w.request.deadline <= now) {
                    if let Some(w) = q.pop_front() {
                        let _ = w.answer.send(Err(StoreError::NotExecuted("no turn in time")));
                    }
                }
            }
            // The first class that has something; a write that must wait for its budget lets
            // reads pass, never other writes.
            let mut wait = None;
            let mut pick = None;
            for (i, q) in self.queues.iter().enumerate() {
                let Some(w) = q.front() else { continue };
                let writes = w.request.request.writes();
                if writes > 0.0 {
                    if wait.is_some() {
                        continue;
                    }
                    if let Some(ms) = self.writes.wait_ms(writes) {
                        self.write_share.waited();
                        wait = Some(ms);
                        continue;
                    }
                }
                pick = Some((i, writes));
                break;
            }
            let Some((i, writes)) = pick else {
                if let Some(ms) = wait {
                    self.wake(ms, ctx);
                }
                return;
            };
            if let Some(ms) = self.requests.wait_ms(1.0) {
                self.wake(ms, ctx);
                return;
            }
            self.requests.take(1.0);
            self.writes.take(writes);
            if let Some(w) = self.queues[i].pop_front() {
                self.send(w, ctx);
            }
        }
    }

    fn wake(&mut self, ms: u64, ctx: &mut Context<Self>) {
        if !self.waking {
            self.waking = true;
            ctx.run_later(Duration::from_millis(ms.clamp(1, 1_000)), |act, ctx| {
                act.waking = false;
                act.pump(ctx);
            });
        }
    }

    fn send(&mut self, w: Waiting, ctx: &mut Context<Self>) {
        self.open += 1;
        let sent_at = now_ms();
        let call = self.call(&w.request.request);
        ctx.spawn(call.into_actor(self).map(move |result, act, ctx| {
            act.open -= 1;
            let result = result.map(|reply| act.namespace.inner_reply(reply));
            // Others burst too: it was surely not executed, and has its turn again if there is time.
            let over = matches!(&result, Err(e) if *e == OVER);
            if over && now_ms() + OVER_WAIT_MS < w.request.deadline {
                if w.request.request.writes() > 0.0 {
                    act.write_share.refused();
                    act.writes.empty();
                }
                let class = w.request.class as usize;
                ctx.run_later(Duration::from_millis(OVER_WAIT_MS), move |act, ctx| {
                    act.queues[class].push_front(w);
                    act.pump(ctx);
                });
                act.pump(ctx);
                return;
            }
            let _ = w.answer.send(result.map(|reply| Answered { reply, sent_at }));
            act.pump(ctx);
        }));
    }

    fn call(&self, request: &StoreRequest) -> LocalBoxFuture<'static, Result<Reply, StoreError>> {
        let client = self.client.clone();
        let timeout = request.timeout();
        let base = &self.base;
        let key = self.namespace.outer_of(request).unwrap_or_default();
        match request.clone() {
            StoreRequest::List { from, .. } => {
                let prefix = key;
                let from = from.map(|from| self.namespace.outer(&from));
                let mut url = format!("{base}/store?prefix={prefix}&most=1000");
                if let Some(from) = from {
                    url.push_str("&from=");
                    url.push_str(&from);
                }
                Box::pin(async move {
                    let (status, body) = get(&client, &url, timeout).await?;
                    read(status, &body).map(Reply::Page)
                })
            }
            StoreRequest::Get { .. } => {
                let url = format!("{base}/store/{key}");
                Box::pin(async move {
                    let (status, body) = get(&client, &url, timeout).await?;
                    read(status, &body).map(Reply::Item)
                })
            }
            StoreRequest::Changes { from, .. } => {
                let url = format!("{base}/watch?prefix={key}&from={from}&wait_ms=0");
                Box::pin(async move {
                    let (status, body) = get(&client, &url, timeout).await?;
                    read(status, &body).map(Reply::Changes)
                })
            }
            StoreRequest::Txn(txn) => {
                let url = format!("{base}/txn");
                let txn = self.namespace.outer_txn(txn);
                Box::pin(async move {
                    let (status, body) = post(&client, &url, &txn, timeout).await?;
                    if status == StatusCode::CONFLICT {
                        let a: TxnAnswer =
                            serde_json::from_slice(&body).map_err(|_| StoreError::Unknown)?;
                        return Ok(Reply::Failed(a.failed.unwrap_or_default()));
                    }
                    read(status, &body).map(|a: TxnAnswer| Reply::Applied(a.revision))
                })
            }
            StoreRequest::Grant { ttl_ms } => {
                let url = format!("{base}/grants");
                Box::pin(async move {
                    let (status, body) =
                        post(&client, &url, &LeaseRequest { ttl_ms }, timeout).await?;
                    read(status, &body).map(|a: LeaseAnswer| Reply::Lease(a.lease))
                })
            }
            StoreRequest::Renew { lease } => {
                let url = format!("{base}/grants/{lease}/renew");
                Box::pin(async move {
                    let (status, body) = post(&client, &url, &(), timeout).await?;
                    done(status, &body)
                })
            }
            StoreRequest::End { lease } => {
                let url = format!("{base}/grants/{lease}");
                Box::pin(async move {
                    let sent = client.delete(&url).timeout(timeout).send();
                    let (status, body) = crate::net::finish(sent).await?;
                    done(status, &body)
                })
            }
        }
    }
}

async fn get(
    client: &awc::Client,
    url: &str,
    timeout: Duration,
) -> Result<(StatusCode, Vec<u8>), StoreError> {
    Ok(crate::net::finish(client.get(url).timeout(timeout).send()).await?)
}

async fn post<T: Serialize>(
    client: &awc::Client,
    url: &str,
    body: &T,
    timeout: Duration,
) -> Result<(StatusCode, Vec<u8>), StoreError> {
    Ok(crate::net::finish(client.post(url).timeout(timeout).send_json(body)).await?)
}

impl From<CallError> for StoreError {
    fn from(e: CallError) -> Self {
        match e {
            CallError::NotSent => StoreError::NotExecuted("can't connect"),
            CallError::Lost => StoreError::Unknown,
        }
    }
}

fn check(status: StatusCode, body: &[u8]) -> Result<(), StoreError> {
    match status.as_u16() {
        200..=299 => Ok(()),
        404 => Err(StoreError::NotFound),
        410 => Err(StoreError::TooOld),
        429 => Err(OVER),
        503 => Err(StoreError::NotExecuted("out of service")),
        400..=499 => {
            let text = String::from_utf8_lossy(&body[..body.len().min(200)]);
            Err(StoreError::Refused(text.into_owned()))
        }
        _ => Err(StoreError::Unknown),
    }
}

fn read<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, StoreError> {
    check(status, body)?;
    serde_json::from_slice(body).map_err(|e| {
        tracing::error!("an answer of the state service is garbled: {e}");
        StoreError::Unknown
    })
}

fn done(status: StatusCode, body: &[u8]) -> Result<Reply, StoreError> {
    check(status, body).map(|()| Reply::Done)
}

impl Actor for Store {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX);
    }
}

impl Handler<Request> for Store {
    type Result = ResponseFuture<Result<Answered, StoreError>>;

    fn handle(&mut self, request: Request, ctx: &mut Self::Context) -> Self::Result {
        let queue = &mut self.queues[request.class as usize];
        if queue.len() >= STORE_QUEUE {
            return Box::pin(async { Err(StoreError::NotExecuted("queue full")) });
        }
        let (answer, result) = oneshot::channel();
        queue.push_back(Waiting { request, answer });
        self.pump(ctx);
        Box::pin(async { result.await.unwrap_or(Err(StoreError::Unknown)) })
    }
}

impl Handler<Share> for Store {
    type Result = ();

    fn handle(&mut self, msg: Share, _: &mut Self::Context) {
        // The leader has two shares of n + 1, each other node one.
        let share = LIMIT_USED / (self.nodes + 1.0) * if msg.leading { 2.0 } else { 1.0 };
        self.requests.set(self.rps * share, self.rps * share);
        self.write_share.set_part(share, now_ms());
        self.writes.set(self.write_share.usual_rate(), self.write_share.burst());
    }
}

/// Asks the store; a full mailbox or a stopped actor counts as not executed.
pub async fn request(
    store: &Addr<Store>,
    class: Class,
    request: StoreRequest,
    wait_ms: u64,
) -> Result<Answered, StoreError> {
    let deadline = now_ms() + wait_ms;
    match store.send(Request { class, request, deadline }).await {
        Ok(result) => result,
        Err(_) => Err(StoreError::NotExecuted("queue full")),
    }
}

/// Reads every item under a prefix.
pub async fn read_all(
    store: &Addr<Store>,
    prefix: &'static str,
) -> Result<(Vec<Item>, u64), StoreError> {
    let mut items = Vec::new();
    let mut first = None;
    loop {
        let from = items.last().map(|i: &Item| i.key.clone());
        let a = request(store, Class::Read, StoreRequest::List { prefix, from }, 5_000).await?;
        let Reply::Page(page) = a.reply else { return Err(StoreError::Unknown) };
        // Changes after the first page are seen again by a watch from its revision.
        let revision = *first.get_or_insert(page.revision);
        let more = page.truncated.unwrap_or(false) && !page.items.is_empty();
        items.extend(page.items);
        if !more {
            return Ok((items, revision));
        }
    }
}
