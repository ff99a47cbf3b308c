//! The node's only client of the state service. It keeps within this node's share of the request
//! and write limits ([`super::pacing`]) and sends queued requests in the order of their
//! [`RequestClass`].

use std::collections::VecDeque;
use std::time::Duration;

use actix::prelude::*;
use tokio::sync::oneshot;

use super::error::{NotExecutedReason, StoreError, OVER_LIMIT};
use super::http::HttpClient;
use super::pacing::{TokenBucket, WriteLimits, WriteShare};
use crate::actors::messages::store::{
    PacedRequest, RequestClass, SetStoreRole, StoreAnswer, StoreRequest,
};
use crate::actors::messages::NodeRole;
use crate::clock::now_ms;
use crate::constants::{
    MAILBOX_CAPACITY, MAX_STORE_CALLS, MAX_STORE_WAKEUP_MS, OVER_LIMIT_RETRY_MS,
    STORE_QUEUE_CAPACITY, USABLE_LIMIT_FRACTION,
};
use crate::settings::Settings;

/// A queued request, and the channel for its response.
struct QueuedRequest {
    request: PacedRequest,
    answer: oneshot::Sender<Result<StoreAnswer, StoreError>>,
}

/// The request to send next.
enum NextRequest {
    /// The first request of this class, which counts as this number of writes.
    Ready { class: usize, writes: f64 },
    /// Only writes are queued, and the budget allows the first of them after this many ms.
    WaitForWrites(u64),
    /// All queues are empty.
    Nothing,
}

/// The actor that sends the requests of this node to the state service.
pub struct Store {
    http: HttpClient,
    /// Rate limit of the service for all nodes of this cell, in requests per second.
    requests_per_s: f64,
    /// Number of nodes of this cell.
    nodes: f64,
    requests: TokenBucket,
    writes: TokenBucket,
    write_share: WriteShare,
    /// Queues by class, in order of priority.
    queues: [VecDeque<QueuedRequest>; RequestClass::COUNT],
    open_calls: usize,
    is_wakeup_set: bool,
}

impl Store {
    /// Creates a client with the share of a follower.
    pub fn new(settings: &Settings) -> Self {
        let platform = &settings.platform;
        let state = &platform.params.state;
        // Requests are limited by the lower rate from the start, which suffices for them.
        let cells = settings.cell_count() as f64;
        let requests_per_s = state.lower_rps() / cells;
        let limits = WriteLimits {
            current: state.write_rps / cells,
            lower: state.lower_write_rps() / cells,
        };
        let nodes = settings.node_count() as f64;
        let share = USABLE_LIMIT_FRACTION / (nodes + 1.0);
        let now = now_ms();
        let write_share = WriteShare::new(limits, share, now);
        Store {
            http: HttpClient::new(platform.services.state, settings.key_prefix()),
            requests_per_s,
            nodes,
            requests: TokenBucket::new(requests_per_s * share, requests_per_s * share, now),
            writes: TokenBucket::new(write_share.base_rate(), write_share.burst(), now),
            write_share,
            queues: Default::default(),
            open_calls: 0,
            is_wakeup_set: false,
        }
    }

    /// Sends as many queued requests as their priorities and the budgets allow.
    fn send_ready(&mut self, ctx: &mut Context<Self>) {
        let now = now_ms();
        self.requests.refill(now);
        self.writes.refill(now);
        self.writes.set_rate(self.write_share.rate(now), self.write_share.burst());
        while self.open_calls < MAX_STORE_CALLS {
            self.drop_expired(now_ms());
            let (class, writes) = match self.next_request() {
                NextRequest::Ready { class, writes } => (class, writes),
                NextRequest::WaitForWrites(ms) => return self.set_wakeup(ms, ctx),
                NextRequest::Nothing => return,
            };
            if let Some(ms) = self.requests.wait_ms(1.0) {
                return self.set_wakeup(ms, ctx);
            }
            self.requests.take(1.0);
            self.writes.take(writes);
            if let Some(queued) = self.queues[class].pop_front() {
                self.send(queued, ctx);
            }
        }
    }

    /// Fails the requests at the heads of the queues whose deadline has passed.
    fn drop_expired(&mut self, now: u64) {
        for queue in &mut self.queues {
            while queue.front().is_some_and(|queued| queued.request.deadline <= now) {
                if let Some(queued) = queue.pop_front() {
                    let error = StoreError::NotExecuted(NotExecutedReason::TimedOutInQueue);
                    let _ = queued.answer.send(Err(error));
                }
            }
        }
    }

    /// Selects the first request of the highest class that can be sent. A write that exceeds the
    /// write budget is overtaken by reads, but not by other writes.
    fn next_request(&mut self) -> NextRequest {
        let mut wait_ms = None;
        for (class, queue) in self.queues.iter().enumerate() {
            let Some(queued) = queue.front() else { continue };
            let writes = queued.request.request.write_count();
            if writes > 0.0 {
                if wait_ms.is_some() {
                    continue;
                }
                if let Some(ms) = self.writes.wait_ms(writes) {
                    self.write_share.record_wait();
                    wait_ms = Some(ms);
                    continue;
                }
            }
            return NextRequest::Ready { class, writes };
        }
        wait_ms.map_or(NextRequest::Nothing, NextRequest::WaitForWrites)
    }

    /// Schedules the next attempt to send, unless one is scheduled already.
    fn set_wakeup(&mut self, ms: u64, ctx: &mut Context<Self>) {
        if self.is_wakeup_set {
            return;
        }
        self.is_wakeup_set = true;
        let wait = Duration::from_millis(ms.clamp(1, MAX_STORE_WAKEUP_MS));
        ctx.run_later(wait, |act, ctx| {
            act.is_wakeup_set = false;
            act.send_ready(ctx);
        });
    }

    /// Sends a request, and completes it once its outcome is known.
    fn send(&mut self, queued: QueuedRequest, ctx: &mut Context<Self>) {
        self.open_calls += 1;
        let sent_at = now_ms();
        let call = self.http.send(&queued.request.request);
        ctx.spawn(call.into_actor(self).map(move |result, act, ctx| {
            act.open_calls -= 1;
            let result = result.map(|reply| act.http.with_local_keys(reply));
            // Bursts of other nodes can exceed the limit. The request was not executed, so it is
            // sent again if its deadline permits.
            let is_over_limit = matches!(&result, Err(e) if *e == OVER_LIMIT);
            if is_over_limit && now_ms() + OVER_LIMIT_RETRY_MS < queued.request.deadline {
                act.retry_over_limit(queued, ctx);
            } else {
                let _ = queued.answer.send(result.map(|reply| StoreAnswer { reply, sent_at }));
            }
            act.send_ready(ctx);
        }));
    }

    /// Queues a request again, at the head of its class, after [`OVER_LIMIT_RETRY_MS`].
    fn retry_over_limit(&mut self, queued: QueuedRequest, ctx: &mut Context<Self>) {
        if queued.request.request.write_count() > 0.0 {
            self.write_share.record_refusal();
            self.writes.drain();
        }
        let class = queued.request.class as usize;
        ctx.run_later(Duration::from_millis(OVER_LIMIT_RETRY_MS), move |act, ctx| {
            act.queues[class].push_front(queued);
            act.send_ready(ctx);
        });
    }
}

impl Actor for Store {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX_CAPACITY);
    }
}

impl Handler<PacedRequest> for Store {
    type Result = ResponseFuture<Result<StoreAnswer, StoreError>>;

    fn handle(&mut self, request: PacedRequest, ctx: &mut Self::Context) -> Self::Result {
        let queue = &mut self.queues[request.class as usize];
        if queue.len() >= STORE_QUEUE_CAPACITY {
            return Box::pin(async { Err(StoreError::NotExecuted(NotExecutedReason::QueueFull)) });
        }
        let (answer, result) = oneshot::channel();
        queue.push_back(QueuedRequest { request, answer });
        self.send_ready(ctx);
        Box::pin(async { result.await.unwrap_or(Err(StoreError::OutcomeUnknown)) })
    }
}

impl Handler<SetStoreRole> for Store {
    type Result = ();

    fn handle(&mut self, msg: SetStoreRole, _: &mut Self::Context) {
        // Of n + 1 shares for n nodes, the leader has two and each follower one.
        let shares = match msg.0 {
            NodeRole::Leader => 2.0,
            NodeRole::Follower => 1.0,
        };
        let share = USABLE_LIMIT_FRACTION / (self.nodes + 1.0) * shares;
        self.requests.set_rate(self.requests_per_s * share, self.requests_per_s * share);
        self.write_share.set_share(share, now_ms());
        self.writes.set_rate(self.write_share.base_rate(), self.write_share.burst());
    }
}

/// Queues a request that must be sent within `wait_ms`, and waits for its outcome. A full mailbox
/// or a stopped actor counts as not executed.
pub async fn request(
    store: &Addr<Store>,
    class: RequestClass,
    request: StoreRequest,
    wait_ms: u64,
) -> Result<StoreAnswer, StoreError> {
    let deadline = now_ms() + wait_ms;
    match store.send(PacedRequest { class, request, deadline }).await {
        Ok(result) => result,
        Err(_) => Err(StoreError::NotExecuted(NotExecutedReason::QueueFull)),
    }
}
