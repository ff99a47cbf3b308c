//! Handles job submissions and cancellations on every node, leader or not. Submissions are batched
//! into transactions that require each job's key to be absent. A cancellation is a
//! compare-and-swap on the job's record.

mod cancel;
mod feasibility;

use std::collections::VecDeque;
use std::sync::Arc;

use actix::prelude::*;
use latchtrack_core::job::{JobId, JobSpec};
use latchtrack_core::machine::MachineType;
use latchtrack_core::scheduler::Team;
use serde_json::value::RawValue;
use tokio::sync::oneshot;

use self::cancel::cancel_job;
use self::feasibility::check_feasible;
use super::job_cache::JobCache;
use super::messages::admission::{
    BusyReason, CancelJob, CancelOutcome, IsReady, SubmitJob, SubmitOutcome,
};
use super::messages::cloud::MachineTypesUpdate;
use super::messages::job_cache::ApplyRecord;
use super::messages::store::{Reply, RequestClass, StoreAnswer, StoreRequest};
use super::store::{self, Store, StoreError};
use crate::clock::{now_ms, wall_ms};
use crate::constants::{
    ADMISSION_QUEUE_CAPACITY, ADMISSION_WAIT_MS, MAILBOX_CAPACITY, MAX_TXN_BYTES,
};
use crate::settings::Settings;
use crate::wire::records::{job_key, Record};
use crate::wire::store::{Change, Condition, Txn};

/// A submission that has not been stored yet.
struct QueuedSubmission {
    id: JobId,
    record: Record,
    value: Box<RawValue>,
    /// Time at which the submission is rejected if it is still queued, in ms of the steady clock.
    deadline: u64,
    answer: oneshot::Sender<SubmitOutcome>,
}

/// The actor that creates and cancels jobs.
pub struct Admission {
    store: Addr<Store>,
    cache: Addr<JobCache>,
    teams: Vec<Team>,
    types: Vec<MachineType>,
    /// Size limit of a value in the state service, in bytes.
    value_bytes: usize,
    /// Maximum number of changes in a transaction of the state service.
    txn_ops: usize,
    queue: VecDeque<QueuedSubmission>,
    is_writing: bool,
    /// Number of cancellations in progress.
    cancelling: usize,
}

impl Admission {
    /// Creates an actor that rejects submissions until it receives the machine types.
    pub fn new(store: Addr<Store>, cache: Addr<JobCache>, settings: &Settings) -> Self {
        let state = &settings.platform.params.state;
        Admission {
            store,
            cache,
            teams: settings.policy().teams,
            types: Vec::new(),
            value_bytes: state.value_bytes(),
            txn_ops: state.txn_ops(),
            queue: VecDeque::new(),
            is_writing: false,
            cancelling: 0,
        }
    }

    /// Queues a submission. Returns a receiver for its outcome, or an error if it is rejected
    /// without being queued.
    fn enqueue(
        &mut self,
        spec: JobSpec,
    ) -> Result<oneshot::Receiver<SubmitOutcome>, SubmitOutcome> {
        if self.types.is_empty() {
            return Err(SubmitOutcome::Busy(BusyReason::MachineTypesUnknown));
        }
        check_feasible(&spec, &self.teams, &self.types).map_err(SubmitOutcome::Infeasible)?;
        if self.queue.len() >= ADMISSION_QUEUE_CAPACITY {
            return Err(SubmitOutcome::Busy(BusyReason::QueueFull));
        }
        let id = spec.id;
        let record = Record::Open { spec: Arc::new(spec), at_ms: wall_ms() };
        let max_bytes = self.value_bytes;
        let value = match record.to_json() {
            Ok(value) if value.get().len() <= max_bytes => value,
            Ok(value) => {
                return Err(SubmitOutcome::TooLarge { bytes: value.get().len(), max_bytes })
            }
            Err(_) => return Err(SubmitOutcome::TooLarge { bytes: usize::MAX, max_bytes }),
        };
        // A transaction must not put the same key twice.
        if self.queue.iter().any(|queued| queued.id == id) {
            return Err(SubmitOutcome::Busy(BusyReason::DuplicateInQueue));
        }
        let (answer, outcome) = oneshot::channel();
        let deadline = now_ms() + ADMISSION_WAIT_MS;
        self.queue.push_back(QueuedSubmission { id, record, value, deadline, answer });
        Ok(outcome)
    }

    /// Dequeues as many submissions as fit into one transaction, and rejects those whose deadline
    /// has passed.
    fn take_batch(&mut self) -> Vec<QueuedSubmission> {
        let now = now_ms();
        let mut batch = Vec::new();
        let mut bytes = 0;
        while batch.len() < self.txn_ops {
            let Some(queued) = self.queue.pop_front() else { break };
            if queued.deadline <= now {
                let outcome = SubmitOutcome::Busy(BusyReason::TimedOutInQueue);
                let _ = queued.answer.send(outcome);
                continue;
            }
            bytes += queued.value.get().len();
            if bytes > MAX_TXN_BYTES && !batch.is_empty() {
                self.queue.push_front(queued);
                break;
            }
            batch.push(queued);
        }
        batch
    }

    /// Stores the next batch of queued submissions, unless a write is in progress.
    fn write_next_batch(&mut self, ctx: &mut Context<Self>) {
        if self.is_writing {
            return;
        }
        let batch = self.take_batch();
        if batch.is_empty() {
            return;
        }
        self.is_writing = true;
        let absent = |queued: &QueuedSubmission| Condition { key: job_key(queued.id), revision: 0 };
        let put = |queued: &QueuedSubmission| Change::Put {
            key: job_key(queued.id),
            value: queued.value.clone(),
            lease: None,
        };
        let txn = Txn {
            conditions: batch.iter().map(absent).collect(),
            changes: batch.iter().map(put).collect(),
        };
        let store = self.store.clone();
        let request = async move {
            let request = StoreRequest::Txn(txn);
            store::request(&store, RequestClass::Admission, request, ADMISSION_WAIT_MS).await
        };
        ctx.spawn(request.into_actor(self).map(move |result, act, ctx| {
            act.is_writing = false;
            act.finish_batch(batch, result);
            act.write_next_batch(ctx);
        }));
    }

    /// Answers the submissions of a batch. After a conflict, those whose keys were absent are
    /// queued again.
    fn finish_batch(
        &mut self,
        batch: Vec<QueuedSubmission>,
        result: Result<StoreAnswer, StoreError>,
    ) {
        match result.map(|answer| answer.reply) {
            Ok(Reply::Applied(revision)) => {
                for QueuedSubmission { id, record, answer, .. } in batch {
                    self.cache.do_send(ApplyRecord { id, record, revision });
                    let _ = answer.send(SubmitOutcome::Created);
                }
            }
            Ok(Reply::Conflict(keys)) => {
                for queued in batch.into_iter().rev() {
                    if keys.contains(&job_key(queued.id)) {
                        let _ = queued.answer.send(SubmitOutcome::Exists);
                    } else {
                        self.queue.push_front(queued);
                    }
                }
            }
            // The write may still take effect; a retried submission then finds that the job exists.
            _ => {
                for queued in batch {
                    let outcome = SubmitOutcome::Busy(BusyReason::StoreUnavailable);
                    let _ = queued.answer.send(outcome);
                }
            }
        }
    }
}

impl Actor for Admission {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX_CAPACITY);
    }
}

impl Handler<MachineTypesUpdate> for Admission {
    type Result = ();
    fn handle(&mut self, msg: MachineTypesUpdate, _: &mut Self::Context) {
        self.types = msg.0;
    }
}

impl Handler<IsReady> for Admission {
    type Result = bool;
    fn handle(&mut self, _: IsReady, _: &mut Self::Context) -> bool {
        !self.types.is_empty()
    }
}

impl Handler<SubmitJob> for Admission {
    type Result = ResponseFuture<SubmitOutcome>;

    fn handle(&mut self, msg: SubmitJob, ctx: &mut Self::Context) -> Self::Result {
        match self.enqueue(msg.0) {
            Ok(outcome) => {
                self.write_next_batch(ctx);
                Box::pin(async {
                    outcome.await.unwrap_or(SubmitOutcome::Busy(BusyReason::Stopped))
                })
            }
            Err(outcome) => Box::pin(async { outcome }),
        }
    }
}

impl Handler<CancelJob> for Admission {
    type Result = ResponseActFuture<Self, CancelOutcome>;

    fn handle(&mut self, msg: CancelJob, _: &mut Self::Context) -> Self::Result {
        if self.cancelling >= ADMISSION_QUEUE_CAPACITY {
            return Box::pin(fut::ready(CancelOutcome::Busy));
        }
        self.cancelling += 1;
        let (store, cache) = (self.store.clone(), self.cache.clone());
        let cancel = async move { cancel_job(&store, &cache, msg.0).await };
        Box::pin(cancel.into_actor(self).map(|outcome, act, _| {
            act.cancelling -= 1;
            outcome
        }))
    }
}
