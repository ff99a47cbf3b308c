//! Reads what cells share for the leader of this one, and writes what it wants changed.

use std::time::Duration;

use actix::prelude::*;
use latchtrack_core::scheduler::Event;
use latchtrack_quota::{LedgerWrite, MilliResources, WriteOutcome};

use super::leader::{Came, Leader};
use super::store::{self, Answered, Class, Reply, Store, StoreError, StoreRequest};
use crate::clock::{now_ms, wall_ms};
use crate::constants::*;
use crate::settings::Settings;
use crate::wire::quota::{transaction, SharedKeys, SHARED};
use crate::wire::store::Item;

/// The term that this node leads in, if it does.
#[derive(Message)]
#[rtype(result = "()")]
pub struct QuotaTerm(pub Option<u64>);

/// A change that the leader of this term wants.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Change {
    pub token: u64,
    pub write: LedgerWrite,
}

/// What a look brought.
enum Looked {
    All { items: Vec<Item>, revision: u64 },
    Changes(crate::wire::store::WatchAnswer),
}

pub struct Quota {
    store: Addr<Store>,
    leader: Addr<Leader>,
    cell: String,
    value_bytes: usize,
    term: Option<u64>,
    keys: SharedKeys,
    /// Up to which revision the keys are known; None to read them all.
    revision: Option<u64>,
    read_all_at: u64,
    is_looking: bool,
}

impl Quota {
    pub fn new(
        store: Addr<Store>,
        leader: Addr<Leader>,
        cell: String,
        settings: &Settings,
    ) -> Self {
        Quota {
            store,
            leader,
            cell,
            value_bytes: settings.platform.params.state.value_bytes(),
            term: None,
            keys: SharedKeys::default(),
            revision: None,
            read_all_at: 0,
            is_looking: false,
        }
    }

    fn look(&mut self, ctx: &mut Context<Self>) {
        let Some(token) = self.term.filter(|_| !self.is_looking) else { return };
        self.is_looking = true;
        if now_ms() >= self.read_all_at + QUOTA_FULL_MS {
            self.revision = None;
        }
        let (store, revision) = (self.store.clone(), self.revision);
        let work = async move { look_at(&store, revision).await };
        ctx.spawn(work.into_actor(self).map(move |looked, act, _| {
            act.is_looking = false;
            match looked {
                Ok(looked) => act.take_in(token, looked),
                Err(e) => {
                    tracing::debug!("look at what cells share failed: {e}");
                    if e == StoreError::TooOld {
                        act.revision = None;
                    }
                }
            }
        }));
    }

    fn take_in(&mut self, token: u64, looked: Looked) {
        let revision = match looked {
            Looked::All { items, revision } => {
                self.keys.clear();
                for item in items {
                    self.keys.put(item.key, item.version, item.value);
                }
                self.read_all_at = now_ms();
                revision
            }
            Looked::Changes(answer) => {
                for event in answer.events {
                    match (event.put, event.delete, event.value) {
                        (Some(key), _, Some(value)) => self.keys.put(key, event.version, value),
                        (_, Some(key), _) => self.keys.delete(&key, event.version),
                        _ => {}
                    }
                }
                answer.revision
            }
        };
        self.revision = Some(revision);
        // The keeper leaves out what is older than its term.
        if self.term == Some(token) {
            let event = Event::QuotaObserved(self.keys.view(revision));
            self.leader.do_send(Came { token, event });
        }
    }

    /// The time of day of a change of this cell's allotment, for operators.
    fn date(&self, write: &mut LedgerWrite) {
        let view = self.keys.view(0);
        let known = view.teams.get(&write.team).and_then(|seen| seen.ledger.as_ref().ok());
        let before = known.map_or(MilliResources::NONE, |ledger| ledger.allotted_to(&self.cell));
        if let Some(account) = write.ledger.allotments.get_mut(&self.cell) {
            if account.since_ms == 0 || account.amount != before {
                account.since_ms = wall_ms();
            }
        }
    }

    fn write(&mut self, token: u64, mut write: LedgerWrite, ctx: &mut Context<Self>) {
        self.date(&mut write);
        let txn = transaction(token, &write).ok().filter(|txn| {
            let most = self.value_bytes;
            let fits = txn.changes.iter().all(|change| change.bytes() <= most);
            if !fits {
                tracing::error!("the value of team {} is above {most} bytes", write.team);
            }
            fits
        });
        let store = self.store.clone();
        let work = async move {
            let Some(txn) = txn else { return Err(StoreError::NotExecuted("no value")) };
            let request = StoreRequest::Txn(txn);
            store::request(&store, Class::Progress, request, QUOTA_WAIT_MS).await
        };
        ctx.spawn(work.into_actor(self).map(move |result, act, ctx| {
            let outcome = outcome_of(result);
            if outcome == WriteOutcome::NotStored {
                // Somebody else has changed something, most likely.
                act.look(ctx);
            }
            let event = Event::LedgerWriteFinished { write, outcome };
            act.leader.do_send(Came { token, event });
        }));
    }
}

fn outcome_of(result: Result<Answered, StoreError>) -> WriteOutcome {
    match result.map(|answered| answered.reply) {
        Ok(Reply::Applied(revision)) => WriteOutcome::Stored(revision),
        Ok(Reply::Failed(_)) | Err(StoreError::NotExecuted(_) | StoreError::Refused(_)) => {
            WriteOutcome::NotStored
        }
        Ok(_) | Err(_) => WriteOutcome::Unknown,
    }
}

async fn look_at(store: &Addr<Store>, revision: Option<u64>) -> Result<Looked, StoreError> {
    let Some(from) = revision else {
        let (items, revision) = store::read_all(store, SHARED).await?;
        return Ok(Looked::All { items, revision });
    };
    let request = StoreRequest::Changes { prefix: SHARED, from };
    let wait_ms = READ_TIMEOUT.as_millis() as u64;
    match store::request(store, Class::Read, request, wait_ms).await?.reply {
        Reply::Changes(answer) => Ok(Looked::Changes(answer)),
        _ => Err(StoreError::Unknown),
    }
}

impl Actor for Quota {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX);
        ctx.run_interval(Duration::from_millis(QUOTA_LOOK_MS), |act, ctx| act.look(ctx));
    }
}

impl Handler<QuotaTerm> for Quota {
    type Result = ();
    fn handle(&mut self, msg: QuotaTerm, ctx: &mut Self::Context) {
        if self.term != msg.0 {
            self.term = msg.0;
            self.revision = None;
            self.look(ctx);
        }
    }
}

impl Handler<Change> for Quota {
    type Result = ();
    fn handle(&mut self, msg: Change, ctx: &mut Self::Context) {
        self.write(msg.token, msg.write, ctx);
    }
}
