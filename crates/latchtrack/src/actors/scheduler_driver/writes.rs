//! Writes the scheduler's records and the machine types to the state service.

use std::time::Duration;

use actix::prelude::*;
use latchtrack_core::scheduler::{BatchOutcome, Event, RecordWrite};

use super::write_state::AfterWrite;
use super::SchedulerDriver;
use crate::actors::messages::election::LeaderKeyLost;
use crate::actors::messages::job_cache::ApplyRecord;
use crate::actors::messages::store::{Reply, RequestClass, StoreAnswer, StoreRequest};
use crate::actors::store;
use crate::actors::store::error::{NotExecutedReason, StoreError};
use crate::actors::stored::{conflict_outcome, record_transaction};
use crate::clock::now_ms;
use crate::constants::{RECORD_WRITE_WAIT_MS, REFRESH_RETRY_MS};
use crate::wire::records::{
    encode_machine_types, equal_except_prices, Record, LEADER_KEY, MACHINE_TYPES_KEY,
};
use crate::wire::store::{Change, Condition, Txn};

impl SchedulerDriver {
    /// Writes the pending changes of the scheduler, unless a write is in flight.
    pub(super) fn write_records(&mut self, ctx: &mut Context<Self>) {
        if !self.write_state.may_begin() {
            return;
        }
        let Some(scheduler) = self.scheduler.as_mut() else { return };
        let writes = scheduler.next_writes(now_ms(), self.txn_ops);
        if writes.is_empty() {
            return;
        }
        self.write_state.begin();
        let token = self.term.token();
        let txn = record_transaction(token, &writes);
        let keys: Vec<String> = txn
            .iter()
            .flat_map(|txn| &txn.changes)
            .map(|change| change.key().to_string())
            .collect();
        let store = self.store.clone();
        let request = async move {
            let Some(txn) = txn else {
                return Err(StoreError::NotExecuted(NotExecutedReason::UnserializableRecord));
            };
            let request = StoreRequest::Txn(txn);
            store::request(&store, RequestClass::Background, request, RECORD_WRITE_WAIT_MS).await
        };
        ctx.spawn(request.into_actor(self).map(move |result, act, ctx| {
            let after = act.write_state.finish();
            if act.term.token() == token && act.scheduler.is_some() {
                let outcome = act.batch_outcome(token, &writes, &keys, result);
                act.finish_write(token, writes, outcome, after, ctx);
            }
        }));
    }

    /// Converts the result of a write to its outcome. Notifies the job cache of jobs that are done,
    /// and the election if the leader key has changed.
    fn batch_outcome(
        &self,
        token: u64,
        writes: &[RecordWrite],
        keys: &[String],
        result: Result<StoreAnswer, StoreError>,
    ) -> BatchOutcome {
        match result.map(|answer| answer.reply) {
            Ok(Reply::Applied(revision)) => {
                for write in writes {
                    if let RecordWrite::JobDone { job, tasks, .. } = write {
                        let record = Record::Done { tasks: *tasks };
                        self.cache.do_send(ApplyRecord { id: *job, record, revision });
                    }
                }
                BatchOutcome::Committed(revision)
            }
            Ok(Reply::Conflict(keys)) => {
                if keys.iter().any(|key| key == LEADER_KEY) {
                    if let Some(election) = &self.election {
                        election.key_lost.do_send(LeaderKeyLost { token });
                    }
                }
                conflict_outcome(&keys)
            }
            Ok(_) | Err(StoreError::OutcomeUnknown) => BatchOutcome::Unknown,
            Err(StoreError::Refused(reason)) => {
                let keys = keys.join(", ");
                tracing::error!(token, keys, reason, "record write refused by the state service");
                BatchOutcome::Rejected
            }
            Err(error) => {
                tracing::debug!(token, %error, "record write failed");
                BatchOutcome::NotExecuted
            }
        }
    }

    /// Reports the outcome of a write to the scheduler; after a delay if the write failed.
    fn finish_write(
        &mut self,
        token: u64,
        writes: Vec<RecordWrite>,
        outcome: BatchOutcome,
        after: AfterWrite,
        ctx: &mut Context<Self>,
    ) {
        let has_failed = matches!(
            outcome,
            BatchOutcome::NotExecuted | BatchOutcome::Unknown | BatchOutcome::Rejected
        );
        if has_failed {
            self.write_state.back_off();
            ctx.run_later(Duration::from_millis(REFRESH_RETRY_MS), move |act, ctx| {
                act.write_state.finish();
                if act.term.token() == token {
                    // The scheduler then requests the next write if there is one.
                    act.handle_event(Event::WritesFinished { writes, outcome }, ctx);
                }
            });
            return;
        }
        self.handle_event(Event::WritesFinished { writes, outcome }, ctx);
        if after == AfterWrite::MoreWaiting {
            self.write_records(ctx);
        }
    }

    /// Stores the machine types for nodes that start while the cloud is not available.
    pub(super) fn store_machine_types(&mut self, ctx: &mut Context<Self>) {
        if self.scheduler.is_none() || equal_except_prices(&self.stored_types, &self.types) {
            return;
        }
        let types = self.types.clone();
        let Ok(value) = encode_machine_types(&types) else { return };
        let (bytes, max_bytes) = (value.get().len(), self.value_bytes);
        if bytes > max_bytes {
            tracing::error!(
                key = MACHINE_TYPES_KEY,
                bytes,
                max_bytes,
                "machine types too large to be stored"
            );
            self.stored_types = types;
            return;
        }
        let txn = Txn {
            conditions: vec![Condition { key: LEADER_KEY.into(), revision: self.term.token() }],
            changes: vec![Change::Put { key: MACHINE_TYPES_KEY.into(), value, lease: None }],
        };
        let store = self.store.clone();
        let request = async move {
            let request = StoreRequest::Txn(txn);
            store::request(&store, RequestClass::Background, request, RECORD_WRITE_WAIT_MS).await
        };
        ctx.spawn(request.into_actor(self).map(move |result, act, _| {
            // A failed write is retried after the next read of the machine types.
            if matches!(result.map(|answer| answer.reply), Ok(Reply::Applied(_))) {
                act.stored_types = types;
            }
        }));
    }
}
