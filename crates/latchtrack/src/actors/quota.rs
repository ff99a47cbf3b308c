//! Reads and writes the quota ledgers shared by the cells, on behalf of this cell's leader.

use std::time::Duration;

use actix::prelude::*;
use latchtrack_core::scheduler::Event;
use latchtrack_quota::{LedgerWrite, MilliResources, WriteOutcome};

use super::messages::quota::{ChangeLedger, QuotaTerm};
use super::messages::scheduler::SchedulerEvent;
use super::messages::store::{Reply, RequestClass, StoreAnswer, StoreRequest};
use super::store::reads::{read_since, ReadResult};
use super::store::{self, NotExecutedReason, Store, StoreError};
use crate::clock::{now_ms, wall_ms};
use crate::constants::{
    LEDGER_WRITE_WAIT_MS, MAILBOX_CAPACITY, QUOTA_FULL_READ_INTERVAL_MS, QUOTA_REFRESH_INTERVAL_MS,
};
use crate::settings::Settings;
use crate::wire::quota::{ledger_transaction, SharedKeys, SHARED_PREFIX};
use crate::wire::store::{KeyChange, Txn};

/// The actor that reads and writes the ledgers while this node leads.
pub struct Quota {
    store: Addr<Store>,
    scheduler: Recipient<SchedulerEvent>,
    /// Name of this cell.
    cell: String,
    /// Size limit of a value in the state service, in bytes.
    value_bytes: usize,
    /// Fencing token of the term, if this node leads.
    term: Option<u64>,
    keys: SharedKeys,
    /// Revision up to which the keys are known. If `None`, the next refresh reads all keys.
    revision: Option<u64>,
    /// When all keys were last read, in ms of the steady clock.
    full_read_at: u64,
    is_refreshing: bool,
}

impl Quota {
    /// Creates an actor that is idle until this node leads.
    pub fn new(
        store: Addr<Store>,
        scheduler: Recipient<SchedulerEvent>,
        cell: String,
        settings: &Settings,
    ) -> Self {
        Quota {
            store,
            scheduler,
            cell,
            value_bytes: settings.platform.params.state.value_bytes(),
            term: None,
            keys: SharedKeys::default(),
            revision: None,
            full_read_at: 0,
            is_refreshing: false,
        }
    }

    /// Starts a refresh, if this node leads and no refresh is in progress.
    fn refresh(&mut self, ctx: &mut Context<Self>) {
        let Some(token) = self.term.filter(|_| !self.is_refreshing) else { return };
        self.is_refreshing = true;
        if now_ms() >= self.full_read_at + QUOTA_FULL_READ_INTERVAL_MS {
            self.revision = None;
        }
        let (store, revision) = (self.store.clone(), self.revision);
        let read = async move { read_since(&store, SHARED_PREFIX, revision).await };
        ctx.spawn(read.into_actor(self).map(move |result, act, _| {
            act.is_refreshing = false;
            match result {
                Ok(read) => act.apply(token, read.result),
                Err(error) => {
                    tracing::debug!(token, %error, "quota ledger refresh failed");
                    if error == StoreError::TooOld {
                        act.revision = None;
                    }
                }
            }
        }));
    }

    /// Applies a read that began in the term of `token`, and passes the ledgers to the scheduler.
    fn apply(&mut self, token: u64, result: ReadResult) {
        let revision = match result {
            ReadResult::All { items, revision } => {
                self.keys.clear();
                for item in items {
                    self.keys.put(item.key, item.revision, item.value);
                }
                self.full_read_at = now_ms();
                revision
            }
            ReadResult::Changes(answer) => {
                for change in answer.events.into_iter().filter_map(|event| event.into_change()) {
                    match change {
                        KeyChange::Put(item) => {
                            self.keys.put(item.key, item.revision, item.value);
                        }
                        KeyChange::Delete { key, revision } => self.keys.delete(&key, revision),
                    }
                }
                answer.revision
            }
        };
        self.revision = Some(revision);
        // The scheduler itself ignores ledgers that are older than its term.
        if self.term == Some(token) {
            let event = Event::QuotaObserved(self.keys.snapshot(revision));
            self.scheduler.do_send(SchedulerEvent { token, event });
        }
    }

    /// Sets the wall-clock time of the change, for operators, if this cell's allotment changes.
    fn update_allotment_time(&self, write: &mut LedgerWrite) {
        let snapshot = self.keys.snapshot(0);
        let known = snapshot.teams.get(&write.team).and_then(|seen| seen.ledger.as_ref().ok());
        let before = known.map_or(MilliResources::ZERO, |ledger| ledger.allotted_to(&self.cell));
        if let Some(account) = write.ledger.allotments.get_mut(&self.cell) {
            if account.since_ms == 0 || account.amount != before {
                account.since_ms = wall_ms();
            }
        }
    }

    /// Builds the transaction of a write. Returns `None` if the ledger can't be serialized or is
    /// too large.
    fn ledger_txn(&self, token: u64, write: &LedgerWrite) -> Option<Txn> {
        let txn = ledger_transaction(token, write).ok()?;
        let max_bytes = self.value_bytes;
        if txn.changes.iter().all(|change| change.bytes() <= max_bytes) {
            return Some(txn);
        }
        tracing::error!(team = write.team, max_bytes, "quota ledger too large to be stored");
        None
    }

    fn write_ledger(&mut self, token: u64, mut write: LedgerWrite, ctx: &mut Context<Self>) {
        self.update_allotment_time(&mut write);
        let txn = self.ledger_txn(token, &write);
        let store = self.store.clone();
        let request = async move {
            let Some(txn) = txn else {
                return Err(StoreError::NotExecuted(NotExecutedReason::UnstorableLedger));
            };
            let request = StoreRequest::Txn(txn);
            store::request(&store, RequestClass::Background, request, LEDGER_WRITE_WAIT_MS).await
        };
        ctx.spawn(request.into_actor(self).map(move |result, act, ctx| {
            let outcome = write_outcome(result);
            if outcome == WriteOutcome::NotStored {
                // Most likely another cell has changed the ledger.
                act.refresh(ctx);
            }
            let event = Event::LedgerWriteFinished { write, outcome };
            act.scheduler.do_send(SchedulerEvent { token, event });
        }));
    }
}

fn write_outcome(result: Result<StoreAnswer, StoreError>) -> WriteOutcome {
    match result.map(|answer| answer.reply) {
        Ok(Reply::Applied(revision)) => WriteOutcome::Stored(revision),
        Ok(Reply::Conflict(_)) | Err(StoreError::NotExecuted(_) | StoreError::Refused(_)) => {
            WriteOutcome::NotStored
        }
        Ok(_) | Err(_) => WriteOutcome::Unknown,
    }
}

impl Actor for Quota {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX_CAPACITY);
        let interval = Duration::from_millis(QUOTA_REFRESH_INTERVAL_MS);
        ctx.run_interval(interval, |act, ctx| act.refresh(ctx));
    }
}

impl Handler<QuotaTerm> for Quota {
    type Result = ();
    fn handle(&mut self, msg: QuotaTerm, ctx: &mut Self::Context) {
        if self.term != msg.0 {
            self.term = msg.0;
            self.revision = None;
            self.refresh(ctx);
        }
    }
}

impl Handler<ChangeLedger> for Quota {
    type Result = ();
    fn handle(&mut self, msg: ChangeLedger, ctx: &mut Self::Context) {
        self.write_ledger(msg.token, msg.write, ctx);
    }
}
