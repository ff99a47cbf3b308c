//! Who leads: a key under a lease of the state service. The stamp of the key is the token.

use std::time::Duration;

use actix::prelude::*;
use latchtrack_quota::CellRecord;
use rand::Rng;

use super::job_cache::{JobCache, Leading};
use super::leader::{Leader, LeaderTerm, Leadership};
use super::store::{self, Class, Reply, Store, StoreError, StoreRequest};
use crate::clock::now_ms;
use crate::constants::*;
use crate::settings::Settings;
use crate::wire::quota::{campaign_changes, term_key};
use crate::wire::records::{LeaderRecord, LEADER};
use crate::wire::store::{Change, Condition, Txn};

/// The leader key as the cache has it, with its stamp.
#[derive(Message)]
#[rtype(result = "()")]
pub struct LeaderSeen(pub Option<(LeaderRecord, u64)>);

/// Stop leading, and leave it to others for a while.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Resign(pub &'static str);

/// A write of this term was refused because the leader key is not ours any more.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Deposed(pub u64);

/// A cell, and what its leaders store of it.
#[derive(Clone, Debug)]
pub struct Cell {
    pub name: String,
    pub record: CellRecord,
}

/// Why a node may not stand for its cell.
#[derive(Debug, thiserror::Error)]
pub enum NotThisCell {
    #[error("the state service: {0}")]
    Store(#[from] StoreError),
    #[error("its record is garbled, and is not overwritten")]
    Garbled,
    #[error("the name is in use with the cloud at {0}")]
    OtherCloud(String),
}

impl Cell {
    /// The cell of these settings, if they name one.
    pub fn of(settings: &Settings) -> Option<Cell> {
        let quota = settings.tuning.quota.as_ref()?;
        let record = CellRecord {
            cloud: settings.platform.services.cloud.to_string(),
            leader_lease_ms: settings.leader_ttl_ms(),
            worker_lease_ms: settings.policy().worker_lease_ms,
        };
        Some(Cell { name: quota.cell.clone(), record })
    }

    /// The revision of the stored record, 0 if there is none. Another cloud's is refused: two deployments
    /// under one name would each take the other's leaders for its own.
    pub async fn known_term(&self, store: &Addr<Store>) -> Result<u64, NotThisCell> {
        let request = StoreRequest::Get { key: term_key(&self.name) };
        let item = match store::request(store, Class::Lease, request, 2_000).await {
            Ok(store::Answered { reply: Reply::Item(item), .. }) => item,
            Ok(_) => return Err(StoreError::Unknown.into()),
            Err(StoreError::NotFound) => return Ok(0),
            Err(e) => return Err(e.into()),
        };
        let known: CellRecord =
            serde_json::from_str(item.value.get()).map_err(|_| NotThisCell::Garbled)?;
        match known.cloud == self.record.cloud {
            true => Ok(item.version),
            false => Err(NotThisCell::OtherCloud(known.cloud)),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Term {
    token: u64,
    lease: u64,
    valid_until: u64,
}

pub struct Election {
    store: Addr<Store>,
    cache: Addr<JobCache>,
    leader: Addr<Leader>,
    node: String,
    run: u64,
    ttl_ms: u64,
    /// The cell that this node would lead, where several share teams.
    cell: Option<Cell>,
    seen: Option<Option<(LeaderRecord, u64)>>,
    /// The lease of a campaign whose outcome is not known yet.
    candidate: Option<u64>,
    term: Option<Term>,
    busy: bool,
    not_before: u64,
    started: u64,
}

enum Campaign {
    Won(Term),
    Lost,
    /// With the lease that the key may still come under.
    Unknown(u64),
    Failed,
}

impl Election {
    pub fn new(
        store: Addr<Store>,
        cache: Addr<JobCache>,
        leader: Addr<Leader>,
        node: String,
        ttl_ms: u64,
        cell: Option<Cell>,
    ) -> Self {
        Election {
            store,
            cache,
            leader,
            node,
            run: rand::rng().random::<u64>() >> 12,
            ttl_ms,
            cell,
            seen: None,
            candidate: None,
            term: None,
            busy: false,
            not_before: 0,
            started: now_ms(),
        }
    }

    /// Until when a lease renewed by a request sent at `sent_at` surely stands.
    fn valid_until(ttl_ms: u64, sent_at: u64) -> u64 {
        sent_at + ttl_ms - ttl_ms / 1_000 - LEASE_GUARD_MS
    }

    fn step(&mut self, ctx: &mut Context<Self>) {
        if self.busy || self.term.is_some() {
            return;
        }
        match &self.seen {
            // The cache has not been filled.
            None => {}
            Some(None) => {
                if now_ms() < self.not_before {
                    let wait = self.not_before - now_ms();
                    self.later(wait, ctx);
                    return;
                }
                self.busy = true;
                let mut jitter = rand::rng().random_range(0..=CAMPAIGN_JITTER_MS);
                if now_ms() >= self.started + YOUNG_MS {
                    jitter += YOUNG_FIRST_MS;
                }
                ctx.run_later(Duration::from_millis(jitter), |act, ctx| act.campaign(ctx));
            }
            Some(Some((record, stamp))) if record.node == self.node => {
                let (record, stamp) = (record.clone(), *stamp);
                if record.run != self.run {
                    // Of this node's last run, which is dead, since we are its next. Nobody need
                    // wait for its lease.
                    tracing::info!("ending the lease of this node's last run");
                    self.end(record.lease, ctx);
                } else if self.candidate == Some(record.lease) {
                    self.claim(record.lease, stamp, ctx);
                } else {
                    self.end(record.lease, ctx);
                }
            }
            Some(Some(_)) => {}
        }
    }

    fn later(&mut self, ms: u64, ctx: &mut Context<Self>) {
        self.busy = true;
        ctx.run_later(Duration::from_millis(ms), |act, ctx| {
            act.busy = false;
            act.step(ctx);
        });
    }

    /// Ends a lease and with it the leader key.
    fn end(&mut self, lease: u64, ctx: &mut Context<Self>) {
        self.busy = true;
        let store = self.store.clone();
        let work = async move {
            store::request(&store, Class::Lease, StoreRequest::End { lease }, 2_000).await
        };
        ctx.spawn(work.into_actor(self).map(|result, act, ctx| {
            act.busy = false;
            match result {
                Ok(_) | Err(StoreError::NotFound) => act.later(ELECTION_RETRY_MS, ctx),
                Err(e) => {
                    tracing::debug!("could not end a lease: {e}");
                    act.later(ELECTION_RETRY_MS, ctx);
                }
            }
        }));
    }

    fn campaign(&mut self, ctx: &mut Context<Self>) {
        if self.seen != Some(None) {
            self.busy = false;
            self.step(ctx);
            return;
        }
        let (store, node, run, ttl_ms) =
            (self.store.clone(), self.node.clone(), self.run, self.ttl_ms);
        let cell = self.cell.clone();
        let work = async move { stand(&store, node, run, ttl_ms, cell).await };
        ctx.spawn(work.into_actor(self).map(|result, act, ctx| {
            act.busy = false;
            match result {
                Campaign::Won(term) => act.begin_term(term, ctx),
                Campaign::Lost | Campaign::Failed => act.later(ELECTION_RETRY_MS, ctx),
                Campaign::Unknown(lease) => {
                    // Never guessed: if the key comes, the cache shows it.
                    act.candidate = Some(lease);
                    act.later(ELECTION_RETRY_MS, ctx);
                }
            }
        }));
    }

    /// The key of a campaign with unknown outcome has come: it counts once its lease is renewed.
    fn claim(&mut self, lease: u64, token: u64, ctx: &mut Context<Self>) {
        self.busy = true;
        let store = self.store.clone();
        let work = async move {
            store::request(&store, Class::Lease, StoreRequest::Renew { lease }, 2_000).await
        };
        ctx.spawn(work.into_actor(self).map(move |result, act, ctx| {
            act.busy = false;
            match result {
                Ok(a) => {
                    let valid_until = Self::valid_until(act.ttl_ms, a.sent_at);
                    act.begin_term(Term { token, lease, valid_until }, ctx);
                }
                Err(StoreError::NotFound) => {
                    act.candidate = None;
                    act.later(ELECTION_RETRY_MS, ctx);
                }
                Err(_) => act.later(ELECTION_RETRY_MS, ctx),
            }
        }));
    }

    fn begin_term(&mut self, term: Term, ctx: &mut Context<Self>) {
        tracing::info!("leading with token {}", term.token);
        self.candidate = None;
        self.term = Some(term);
        self.tell();
        self.cache.do_send(Leading(true));
        self.renew_later(self.ttl_ms / RENEW_PART, ctx);
    }

    fn tell(&self) {
        let term = self.term.map(|t| LeaderTerm { token: t.token, valid_until: t.valid_until });
        self.leader.do_send(Leadership(term));
    }

    fn renew_later(&self, ms: u64, ctx: &mut Context<Self>) {
        ctx.run_later(Duration::from_millis(ms), |act, ctx| act.renew(ctx));
    }

    fn renew(&mut self, ctx: &mut Context<Self>) {
        let Some(term) = self.term else { return };
        let store = self.store.clone();
        let lease = term.lease;
        let work = async move {
            store::request(&store, Class::Lease, StoreRequest::Renew { lease }, 1_500).await
        };
        ctx.spawn(work.into_actor(self).map(move |result, act, ctx| {
            let Some(now) = act.term.as_mut().filter(|t| t.lease == lease) else { return };
            match result {
                Ok(a) => {
                    let until = Self::valid_until(act.ttl_ms, a.sent_at);
                    now.valid_until = now.valid_until.max(until);
                    act.tell();
                    act.renew_later(act.ttl_ms / RENEW_PART, ctx);
                }
                Err(StoreError::NotFound) => act.leave("the lease has ended", ctx),
                // Suspended at most: if a later renewal succeeds, the key was never gone.
                Err(e) => {
                    tracing::debug!("lease not renewed: {e}");
                    act.renew_later(ELECTION_RETRY_MS, ctx);
                }
            }
        }));
    }

    fn leave(&mut self, why: &str, ctx: &mut Context<Self>) {
        let Some(term) = self.term.take() else { return };
        tracing::info!("no longer leading with token {}: {why}", term.token);
        self.tell();
        self.cache.do_send(Leading(false));
        // The key goes with the lease; without waiting for the cache to say so, nobody campaigns.
        self.end(term.lease, ctx);
    }
}

/// One campaign: a lease, then the key under it if there is none. A cell's records go with it.
async fn stand(
    store: &Addr<Store>,
    node: String,
    run: u64,
    ttl_ms: u64,
    cell: Option<Cell>,
) -> Campaign {
    let term = match &cell {
        Some(cell) => match cell.known_term(store).await {
            Ok(revision) => Some(Condition { key: term_key(&cell.name), version: revision }),
            Err(why) => {
                tracing::error!("not standing for cell {}: {why}", cell.name);
                return Campaign::Failed;
            }
        },
        None => None,
    };
    let granted = store::request(store, Class::Lease, StoreRequest::Grant { ttl_ms }, 2_000).await;
    let Ok(store::Answered { reply: Reply::Lease(lease), sent_at }) = granted else {
        return Campaign::Failed;
    };
    let record = LeaderRecord { node, run, lease };
    let Ok(value) = serde_json::value::to_raw_value(&record) else { return Campaign::Failed };
    let mut txn = Txn {
        conditions: vec![Condition { key: LEADER.into(), version: 0 }],
        changes: vec![Change::Put { key: LEADER.into(), value, lease: Some(lease) }],
    };
    txn.conditions.extend(term);
    if let Some(cell) = &cell {
        let Ok(changes) = campaign_changes(&cell.name, &cell.record, lease) else {
            return Campaign::Failed;
        };
        txn.changes.extend(changes);
    }
    match store::request(store, Class::Lease, StoreRequest::Txn(txn), 2_000).await {
        Ok(store::Answered { reply: Reply::Applied(token), .. }) => {
            let valid_until = Election::valid_until(ttl_ms, sent_at);
            Campaign::Won(Term { token, lease, valid_until })
        }
        Err(StoreError::Unknown) => Campaign::Unknown(lease),
        Ok(_) | Err(_) => {
            // The unused lease would run out by itself.
            let _ =
                store::request(store, Class::Progress, StoreRequest::End { lease }, 2_000).await;
            Campaign::Lost
        }
    }
}

impl Actor for Election {
    type Context = Context<Self>;
}

impl Handler<LeaderSeen> for Election {
    type Result = ();
    fn handle(&mut self, msg: LeaderSeen, ctx: &mut Self::Context) {
        let ours = |seen: &Option<(LeaderRecord, u64)>, term: &Term| {
            seen.as_ref().is_some_and(|(_, stamp)| *stamp == term.token)
        };
        if let Some(term) = self.term {
            let newer = msg.0.as_ref().is_some_and(|(_, stamp)| *stamp > term.token);
            let was_ours = self.seen.as_ref().is_some_and(|s| ours(s, &term));
            if newer || (was_ours && msg.0.is_none()) {
                self.seen = Some(msg.0);
                self.leave("the leader key is gone or another's", ctx);
                return;
            }
        }
        self.seen = Some(msg.0);
        self.step(ctx);
    }
}

impl Handler<Resign> for Election {
    type Result = ();
    fn handle(&mut self, msg: Resign, ctx: &mut Self::Context) {
        self.not_before = now_ms() + RESIGNED_MS;
        self.leave(msg.0, ctx);
    }
}

impl Handler<Deposed> for Election {
    type Result = ();
    fn handle(&mut self, msg: Deposed, ctx: &mut Self::Context) {
        if self.term.is_some_and(|t| t.token == msg.0) {
            self.leave("a write was refused", ctx);
        }
    }
}
