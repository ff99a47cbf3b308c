//! Takes submissions and cancellations. Any node does so: a job is created if it is absent,
//! several in one transaction; a cancellation is a compare-and-set on the job's record.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

use actix::prelude::*;
use latchtrack_core::job::{JobId, JobSpec};
use latchtrack_core::machine::MachineType;
use latchtrack_core::placement;
use latchtrack_core::scheduler::Team;
use tokio::sync::oneshot;

use super::job_cache::{JobCache, Learn, Look};
use super::store::{self, Class, Reply, Store, StoreError, StoreRequest};
use crate::clock::{now_ms, wall_ms};
use crate::constants::*;
use crate::settings::Settings;
use crate::wire::records::{job_key, Record};
use crate::wire::store::{Change, Condition, Txn};

/// What became of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Submitted {
    Created,
    /// The id exists; the cache knows its state after a look.
    Exists,
    /// Can never run.
    Impossible(String),
    TooLarge(usize, usize),
    /// Not now.
    Busy(&'static str),
}

/// A new job.
#[derive(Message)]
#[rtype(result = "Submitted")]
pub struct Submit(pub JobSpec);

/// What became of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawn {
    Cancelled,
    Done,
    Unknown,
    Busy,
}

/// Cancels a job.
#[derive(Message)]
#[rtype(result = "Withdrawn")]
pub struct Withdraw(pub JobId);

/// The machine types, from the cloud.
#[derive(Message, Clone)]
#[rtype(result = "()")]
pub struct Types(pub Vec<MachineType>);

/// Whether the types are known, without which nothing can be decided.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Able;

struct Waiting {
    id: JobId,
    record: Record,
    value: Box<serde_json::value::RawValue>,
    until: u64,
    answer: oneshot::Sender<Submitted>,
}

pub struct Intake {
    store: Addr<Store>,
    cache: Addr<JobCache>,
    teams: Vec<Team>,
    types: Vec<MachineType>,
    value_bytes: usize,
    txn_ops: usize,
    queue: VecDeque<Waiting>,
    writing: bool,
    withdrawing: usize,
}

impl Intake {
    pub fn new(store: Addr<Store>, cache: Addr<JobCache>, settings: &Settings) -> Self {
        let state = &settings.platform.params.state;
        Intake {
            store,
            cache,
            teams: settings.policy().teams,
            types: Vec::new(),
            value_bytes: state.value_bytes(),
            txn_ops: state.txn_ops(),
            queue: VecDeque::new(),
            writing: false,
            withdrawing: 0,
        }
    }

    /// Why a job can never run, if so.
    fn impossible(&self, spec: &JobSpec) -> Option<String> {
        let Some(team) = self.teams.iter().find(|t| t.name == spec.team) else {
            return Some(format!("unknown team {}", spec.team));
        };
        let offers = placement::offers(spec, &self.types, 0);
        if offers.is_empty() {
            return Some("a task fits no allowed machine type".into());
        }
        let (tasks, who) = match spec.gang {
            true => (f64::from(spec.tasks), "the gang needs"),
            false => (1.0, "a task needs"),
        };
        let over = |need: f64, limit: f64| limit > 0.0 && need * tasks > limit + 1e-6;
        if over(spec.demand.cpus, team.cpus_max) || over(spec.demand.gpus, team.gpus_max) {
            return Some(format!("{who} more than the limit of team {}", team.name));
        }
        let zones: HashSet<&str> = offers.iter().map(|o| o.zone.as_str()).collect();
        // Half of a gang in one zone at most, and all of it at the same time.
        if spec.gang && spec.spread && spec.tasks > 1 && (spec.one_zone || zones.len() < 2) {
            return Some("the gang is to be apart and is bound to one zone".into());
        }
        None
    }

    fn write(&mut self, ctx: &mut Context<Self>) {
        if self.writing {
            return;
        }
        let now = now_ms();
        let mut batch = Vec::new();
        let mut bytes = 0;
        while batch.len() < self.txn_ops {
            let Some(w) = self.queue.pop_front() else { break };
            if w.until <= now {
                let _ = w.answer.send(Submitted::Busy("no turn in time"));
                continue;
            }
            bytes += w.value.get().len();
            if bytes > TXN_BYTES && !batch.is_empty() {
                self.queue.push_front(w);
                break;
            }
            batch.push(w);
        }
        if batch.is_empty() {
            return;
        }
        self.writing = true;
        let txn = Txn {
            conditions: batch
                .iter()
                .map(|w| Condition { key: job_key(w.id), version: 0 })
                .collect(),
            changes: batch
                .iter()
                .map(|w| Change::Put { key: job_key(w.id), value: w.value.clone(), lease: None })
                .collect(),
        };
        let store = self.store.clone();
        let work = async move {
            store::request(&store, Class::Accept, StoreRequest::Txn(txn), INTAKE_WAIT_MS).await
        };
        ctx.spawn(work.into_actor(self).map(move |result, act, ctx| {
            act.writing = false;
            act.written(batch, result);
            act.write(ctx);
        }));
    }

    fn written(&mut self, batch: Vec<Waiting>, result: Result<store::Answered, StoreError>) {
        match result.map(|a| a.reply) {
            Ok(Reply::Applied(stamp)) => {
                for w in batch {
                    self.cache.do_send(Learn { id: w.id, record: w.record, stamp });
                    let _ = w.answer.send(Submitted::Created);
                }
            }
            Ok(Reply::Failed(keys)) => {
                for w in batch.into_iter().rev() {
                    if keys.contains(&job_key(w.id)) {
                        let _ = w.answer.send(Submitted::Exists);
                    } else {
                        self.queue.push_front(w);
                    }
                }
            }
            // It may come into effect yet; then the repeated submission finds the job known.
            _ => {
                for w in batch {
                    let _ = w.answer.send(Submitted::Busy("the state service does not answer"));
                }
            }
        }
    }
}

impl Actor for Intake {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX);
    }
}

impl Handler<Types> for Intake {
    type Result = ();
    fn handle(&mut self, msg: Types, _: &mut Self::Context) {
        self.types = msg.0;
    }
}

impl Handler<Able> for Intake {
    type Result = bool;
    fn handle(&mut self, _: Able, _: &mut Self::Context) -> bool {
        !self.types.is_empty()
    }
}

impl Handler<Submit> for Intake {
    type Result = ResponseFuture<Submitted>;

    fn handle(&mut self, msg: Submit, ctx: &mut Self::Context) -> Self::Result {
        let now = |s: Submitted| -> Self::Result { Box::pin(async { s }) };
        if self.types.is_empty() {
            return now(Submitted::Busy("the machine types are not known yet"));
        }
        if let Some(why) = self.impossible(&msg.0) {
            return now(Submitted::Impossible(why));
        }
        if self.queue.len() >= INTAKE_QUEUE {
            return now(Submitted::Busy("too many submissions"));
        }
        let id = msg.0.id;
        let record = Record::Open { spec: Arc::new(msg.0), at_ms: wall_ms() };
        let value = match record.to_json() {
            Ok(v) if v.get().len() <= self.value_bytes => v,
            Ok(v) => return now(Submitted::TooLarge(v.get().len(), self.value_bytes)),
            Err(_) => return now(Submitted::TooLarge(usize::MAX, self.value_bytes)),
        };
        let (answer, result) = oneshot::channel();
        let until = now_ms() + INTAKE_WAIT_MS;
        // The same id twice in one transaction would be one key put twice.
        if self.queue.iter().any(|w| w.id == id) {
            return now(Submitted::Busy("the same id is being submitted"));
        }
        self.queue.push_back(Waiting { id, record, value, until, answer });
        self.write(ctx);
        Box::pin(async { result.await.unwrap_or(Submitted::Busy("stopped")) })
    }
}

impl Handler<Withdraw> for Intake {
    type Result = ResponseActFuture<Self, Withdrawn>;

    fn handle(&mut self, msg: Withdraw, _: &mut Self::Context) -> Self::Result {
        if self.withdrawing >= INTAKE_QUEUE {
            return Box::pin(fut::ready(Withdrawn::Busy));
        }
        self.withdrawing += 1;
        let (store, cache) = (self.store.clone(), self.cache.clone());
        let work = async move { withdraw(&store, &cache, msg.0).await };
        Box::pin(work.into_actor(self).map(|w, act, _| {
            act.withdrawing -= 1;
            w
        }))
    }
}

async fn withdraw(store: &Addr<Store>, cache: &Addr<JobCache>, id: JobId) -> Withdrawn {
    for _ in 0..CANCEL_TRIES {
        let view = match cache.send(Look { id, fresh: true }).await {
            Ok(Ok(Some(view))) => view,
            Ok(Ok(None)) => return Withdrawn::Unknown,
            _ => return Withdrawn::Busy,
        };
        let tasks = match &view.record {
            Record::Open { spec, .. } => spec.tasks,
            Record::Done { .. } => return Withdrawn::Done,
            Record::Cancelled { .. } => return Withdrawn::Cancelled,
        };
        let record = Record::Cancelled { tasks };
        let Ok(value) = record.to_json() else { return Withdrawn::Busy };
        let key = job_key(id);
        let txn = Txn {
            conditions: vec![Condition { key: key.clone(), version: view.stamp }],
            changes: vec![Change::Put { key, value, lease: None }],
        };
        match store::request(store, Class::Accept, StoreRequest::Txn(txn), INTAKE_WAIT_MS).await {
            Ok(store::Answered { reply: Reply::Applied(stamp), .. }) => {
                cache.do_send(Learn { id, record, stamp });
                return Withdrawn::Cancelled;
            }
            // Somebody else changed it, or it may have been applied: look again.
            Ok(_) | Err(StoreError::Unknown) => {}
            Err(_) => return Withdrawn::Busy,
        }
    }
    Withdrawn::Busy
}
