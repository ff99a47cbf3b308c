//! The local cache of the job records and of the leader key. Final states are answered from it; for
//! any other answer it first looks at the state service, one look for all who wait.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use actix::prelude::*;
use latchtrack_core::job::{JobId, JobSpec};
use tokio::sync::oneshot;

use super::election::{Election, LeaderSeen};
use super::leader::{Advanced, JobChange, Leader};
use super::store::{self, Class, Reply, Share, Store, StoreError, StoreRequest};
use crate::clock::now_ms;
use crate::constants::*;
use crate::wire::records::{LeaderRecord, Record, JOBS, LEADER, LIVE};

/// The state service could not be asked in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the state service can't be asked")]
pub struct Stale;

/// A job as the cache has it.
#[derive(Debug, Clone)]
pub struct View {
    pub record: Record,
    pub stamp: u64,
    pub done: u32,
    pub running: u32,
}

impl View {
    pub fn is_final(&self) -> bool {
        !matches!(self.record, Record::Open { .. })
    }
}

/// Looks a job up. `fresh`: unless its state is final, after a look at the state service.
#[derive(Message)]
#[rtype(result = "Result<Option<View>, Stale>")]
pub struct Look {
    pub id: JobId,
    pub fresh: bool,
}

/// A record that this node has written.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Learn {
    pub id: JobId,
    pub record: Record,
    pub stamp: u64,
}

/// Counts of tasks done and running, from the leader.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Counts(pub Vec<(u64, u32, u32)>);

/// An open job: its description, time of submission (wall ms) and stamp.
pub type OpenJob = (Arc<JobSpec>, u64, u64);

/// What a new leader starts from.
pub struct Inheritance {
    pub jobs: Vec<OpenJob>,
    /// The stamp with which the last leader's key went, if that was seen: nobody led after it.
    pub vacant: Option<u64>,
}

/// All open jobs, after a look at the state service.
#[derive(Message)]
#[rtype(result = "Result<Inheritance, Stale>")]
pub struct OpenJobs;

/// Whether the cache has been filled.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Loaded;

/// Whether the state service serves this node, as far as the last looks tell.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Served;

/// Whom to tell of changes.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Listeners {
    pub election: Addr<Election>,
    pub leader: Addr<Leader>,
}

/// Whether this node leads: it then looks more often.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leading(pub bool);

struct Entry {
    record: Record,
    stamp: u64,
}

pub struct JobCache {
    store: Addr<Store>,
    listeners: Option<Listeners>,
    jobs: HashMap<JobId, Entry>,
    garbled: HashSet<JobId>,
    counts: HashMap<JobId, (u32, u32)>,
    leader: Option<LeaderRecord>,
    leader_stamp: u64,
    vacant: Option<u64>,
    revision: Option<u64>,
    leading: bool,
    looking: bool,
    last_look: u64,
    failed: u32,
    timer: Option<SpawnHandle>,
    waiting: Vec<oneshot::Sender<bool>>,
    riding: Vec<oneshot::Sender<bool>>,
}

/// What a look brought.
enum Seen {
    All { items: Vec<(String, String, u64)>, revision: u64 },
    Changes { events: Vec<(String, Option<String>, u64)>, revision: u64 },
}

impl JobCache {
    pub fn new(store: Addr<Store>) -> Self {
        JobCache {
            store,
            listeners: None,
            jobs: HashMap::new(),
            garbled: HashSet::new(),
            counts: HashMap::new(),
            leader: None,
            leader_stamp: 0,
            vacant: None,
            revision: None,
            leading: false,
            looking: false,
            last_look: 0,
            failed: 0,
            timer: None,
            waiting: Vec::new(),
            riding: Vec::new(),
        }
    }

    fn view(&self, id: JobId) -> Option<View> {
        let e = self.jobs.get(&id)?;
        let (done, running) = match &e.record {
            Record::Done { tasks } => (*tasks, 0),
            _ => self.counts.get(&id).copied().unwrap_or_default(),
        };
        Some(View { record: e.record.clone(), stamp: e.stamp, done, running })
    }

    fn schedule(&mut self, ctx: &mut Context<Self>) {
        if self.looking {
            return;
        }
        if let Some(t) = self.timer.take() {
            ctx.cancel_future(t);
        }
        let gap = if !self.waiting.is_empty() {
            SYNC_WANTED_MS
        } else if self.leading {
            SYNC_LEADING_MS
        } else {
            SYNC_FOLLOWING_MS
        };
        let at = (self.last_look + gap).saturating_sub(now_ms());
        if at == 0 {
            self.look(ctx);
        } else {
            self.timer = Some(ctx.run_later(Duration::from_millis(at), |act, ctx| {
                act.timer = None;
                act.look(ctx);
            }));
        }
    }

    fn look(&mut self, ctx: &mut Context<Self>) {
        if self.looking {
            return;
        }
        self.looking = true;
        let started = now_ms();
        self.last_look = started;
        self.riding = std::mem::take(&mut self.waiting);
        let store = self.store.clone();
        let revision = self.revision;
        let work = async move { look_at(&store, revision).await };
        ctx.spawn(work.into_actor(self).map(move |result, act, ctx| {
            act.looking = false;
            let ok = match result {
                Ok((seen, sent_at)) => {
                    if act.failed >= LOOKS_FAILED {
                        tracing::info!("the state service serves this node again");
                    }
                    act.failed = 0;
                    act.take_in(seen, sent_at);
                    // True of its time, but those who asked have long gone: this node stood still.
                    now_ms() < started + LOOK_OLD_MS
                }
                Err(StoreError::TooOld) => {
                    act.revision = None;
                    false
                }
                Err(e) => {
                    tracing::debug!("look at the state service failed: {e}");
                    // Not at once again: it is down, or refuses us.
                    act.last_look = now_ms() + SYNC_RETRY_MS;
                    act.failed += 1;
                    if act.failed == LOOKS_FAILED {
                        tracing::info!("the state service does not serve this node: {e}");
                    }
                    false
                }
            };
            for w in act.riding.drain(..) {
                let _ = w.send(ok);
            }
            act.schedule(ctx);
        }));
    }

    fn take_in(&mut self, seen: Seen, sent_at: u64) {
        let mut changes = Vec::new();
        let before = (self.leader.clone(), self.revision.is_some());
        match seen {
            Seen::All { items, revision } => {
                let mut led = false;
                for (key, value, stamp) in items {
                    led |= key == LEADER;
                    self.put(&key, &value, stamp, &mut changes);
                }
                // Who led in what was missed is not known; nobody does now, if there is no key.
                self.vacant = (!led).then_some(revision);
                if !led && self.leader_stamp < revision {
                    self.leader = None;
                    self.leader_stamp = revision;
                }
                self.revision = Some(revision);
            }
            Seen::Changes { events, revision } => {
                for (key, value, stamp) in events {
                    match value {
                        Some(value) => self.put(&key, &value, stamp, &mut changes),
                        None if key == LEADER && stamp > self.leader_stamp => {
                            self.leader = None;
                            self.leader_stamp = stamp;
                            self.vacant = Some(stamp);
                        }
                        None => {}
                    }
                }
                self.revision = Some(revision);
            }
        }
        let Some(l) = &self.listeners else { return };
        let name = self.leader.as_ref().map(|l| l.node.clone());
        l.leader.do_send(Advanced { sent_at, changes, leader: name });
        if before != (self.leader.clone(), true) {
            let record = self.leader.clone().map(|r| (r, self.leader_stamp));
            l.election.do_send(LeaderSeen(record));
        }
    }

    fn put(&mut self, key: &str, value: &str, stamp: u64, changes: &mut Vec<JobChange>) {
        if key == LEADER {
            if stamp > self.leader_stamp {
                self.leader_stamp = stamp;
                match serde_json::from_str(value) {
                    Ok(r) => self.leader = Some(r),
                    Err(e) => tracing::error!("the leader record is garbled: {e}"),
                }
            }
            return;
        }
        let Some(id) = key.strip_prefix(JOBS).and_then(|t| t.parse().ok()) else {
            tracing::error!("unknown key {key} in the state service");
            return;
        };
        match Record::parse(id, value) {
            Ok(record) => self.learn(id, record, stamp, changes),
            Err(e) => {
                // Neither used nor called unknown: its user was told that it is accepted.
                if self.garbled.insert(id) {
                    tracing::error!("the record of {id} is garbled and not used: {e}");
                }
            }
        }
    }

    fn learn(&mut self, id: JobId, record: Record, stamp: u64, changes: &mut Vec<JobChange>) {
        if self.jobs.get(&id).is_some_and(|e| e.stamp >= stamp) {
            return;
        }
        self.garbled.remove(&id);
        match &record {
            Record::Open { spec, at_ms } => {
                changes.push(JobChange::Open(spec.clone(), *at_ms, stamp));
            }
            _ => {
                self.counts.remove(&id);
                changes.push(JobChange::Closed(id));
            }
        }
        self.jobs.insert(id, Entry { record, stamp });
    }

    /// Waits for a look that starts after now.
    fn fresh(&mut self, ctx: &mut Context<Self>) -> Option<oneshot::Receiver<bool>> {
        if self.waiting.len() >= SYNC_WAITERS {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        self.waiting.push(tx);
        self.schedule(ctx);
        Some(rx)
    }
}

async fn look_at(store: &Addr<Store>, revision: Option<u64>) -> Result<(Seen, u64), StoreError> {
    let Some(from) = revision else {
        let sent_at = now_ms();
        let (items, revision) = store::read_all(store, LIVE).await?;
        let items =
            items.into_iter().map(|i| (i.key, i.value.get().to_string(), i.version)).collect();
        return Ok((Seen::All { items, revision }, sent_at));
    };
    let wait = READ_TIMEOUT.as_millis() as u64;
    let a = store::request(store, Class::Read, StoreRequest::Changes { prefix: LIVE, from }, wait)
        .await?;
    let Reply::Changes(c) = a.reply else { return Err(StoreError::Unknown) };
    let events = c
        .events
        .into_iter()
        .filter_map(|e| match (e.put, e.delete, e.value) {
            (Some(key), _, Some(value)) => Some((key, Some(value.get().to_string()), e.version)),
            (_, Some(key), _) => Some((key, None, e.version)),
            _ => None,
        })
        .collect();
    Ok((Seen::Changes { events, revision: c.revision }, a.sent_at))
}

impl Actor for JobCache {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX);
    }
}

impl Handler<Listeners> for JobCache {
    type Result = ();
    fn handle(&mut self, msg: Listeners, ctx: &mut Self::Context) {
        self.listeners = Some(msg);
        self.look(ctx);
    }
}

impl Handler<Leading> for JobCache {
    type Result = ();
    fn handle(&mut self, msg: Leading, ctx: &mut Self::Context) {
        self.leading = msg.0;
        self.store.do_send(Share { leading: msg.0 });
        self.schedule(ctx);
    }
}

impl Handler<Loaded> for JobCache {
    type Result = bool;
    fn handle(&mut self, _: Loaded, _: &mut Self::Context) -> bool {
        self.revision.is_some()
    }
}

impl Handler<Served> for JobCache {
    type Result = bool;
    fn handle(&mut self, _: Served, _: &mut Self::Context) -> bool {
        self.failed < LOOKS_FAILED && self.revision.is_some()
    }
}

impl Handler<Learn> for JobCache {
    type Result = ();
    fn handle(&mut self, msg: Learn, _: &mut Self::Context) {
        let mut changes = Vec::new();
        self.learn(msg.id, msg.record, msg.stamp, &mut changes);
        if let (Some(l), false) = (&self.listeners, changes.is_empty()) {
            // Known before the next look brings it: on the leader's node this saves a wait.
            let name = self.leader.as_ref().map(|l| l.node.clone());
            l.leader.do_send(Advanced { sent_at: 0, changes, leader: name });
        }
    }
}

impl Handler<Counts> for JobCache {
    type Result = ();
    fn handle(&mut self, msg: Counts, _: &mut Self::Context) {
        self.counts.clear();
        for (id, done, running) in msg.0 {
            let id = JobId(id);
            if self.jobs.get(&id).is_none_or(|e| matches!(e.record, Record::Open { .. })) {
                self.counts.insert(id, (done, running));
            }
        }
    }
}

impl Handler<Look> for JobCache {
    type Result = ResponseActFuture<Self, Result<Option<View>, Stale>>;

    fn handle(&mut self, msg: Look, ctx: &mut Self::Context) -> Self::Result {
        let view = self.view(msg.id);
        if !msg.fresh || view.as_ref().is_some_and(View::is_final) {
            return Box::pin(fut::ready(Ok(view)));
        }
        let Some(rx) = self.fresh(ctx) else { return Box::pin(fut::ready(Err(Stale))) };
        Box::pin(rx.into_actor(self).map(move |ok, act, _| {
            if !ok.unwrap_or(false) || act.garbled.contains(&msg.id) {
                return Err(Stale);
            }
            Ok(act.view(msg.id))
        }))
    }
}

impl Handler<OpenJobs> for JobCache {
    type Result = ResponseActFuture<Self, Result<Inheritance, Stale>>;

    fn handle(&mut self, _: OpenJobs, ctx: &mut Self::Context) -> Self::Result {
        let Some(rx) = self.fresh(ctx) else { return Box::pin(fut::ready(Err(Stale))) };
        Box::pin(rx.into_actor(self).map(|ok, act, _| {
            if !ok.unwrap_or(false) {
                return Err(Stale);
            }
            let open = act.jobs.values().filter_map(|e| match &e.record {
                Record::Open { spec, at_ms } => Some((spec.clone(), *at_ms, e.stamp)),
                _ => None,
            });
            Ok(Inheritance { jobs: open.collect(), vacant: act.vacant })
        }))
    }
}
