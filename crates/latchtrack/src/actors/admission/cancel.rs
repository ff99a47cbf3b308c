//! Cancellation of a job.

use actix::Addr;
use latchtrack_core::job::JobId;

use crate::actors::job_cache::JobCache;
use crate::actors::messages::admission::CancelOutcome;
use crate::actors::messages::job_cache::{ApplyRecord, Freshness, JobView, LookUpJob};
use crate::actors::messages::store::{Reply, RequestClass, StoreAnswer, StoreRequest};
use crate::actors::store::{self, Store, StoreError};
use crate::constants::{ADMISSION_WAIT_MS, CANCEL_ATTEMPTS};
use crate::wire::records::{job_key, Record};
use crate::wire::store::{Change, Condition, Txn};

/// Marks the record of an open job as cancelled by a compare-and-swap on its revision. Makes up to
/// [`CANCEL_ATTEMPTS`] attempts if the record changes concurrently.
pub(super) async fn cancel_job(
    store: &Addr<Store>,
    cache: &Addr<JobCache>,
    id: JobId,
) -> CancelOutcome {
    for _ in 0..CANCEL_ATTEMPTS {
        let view = match cache.send(LookUpJob { id, freshness: Freshness::Current }).await {
            Ok(Ok(Some(view))) => view,
            Ok(Ok(None)) => return CancelOutcome::Unknown,
            _ => return CancelOutcome::Busy,
        };
        let tasks = match &view.record {
            Record::Open { spec, .. } => spec.tasks,
            Record::Done { .. } => return CancelOutcome::Done,
            Record::Cancelled { .. } => return CancelOutcome::Cancelled,
        };
        let record = Record::Cancelled { tasks };
        let Ok(txn) = cancel_txn(id, &view, &record) else { return CancelOutcome::Busy };
        let request = StoreRequest::Txn(txn);
        let answer =
            store::request(store, RequestClass::Admission, request, ADMISSION_WAIT_MS).await;
        match answer {
            Ok(StoreAnswer { reply: Reply::Applied(revision), .. }) => {
                cache.do_send(ApplyRecord { id, record, revision });
                return CancelOutcome::Cancelled;
            }
            // The record has changed, or this write may have been applied: re-read it.
            Ok(_) | Err(StoreError::OutcomeUnknown) => {}
            Err(_) => return CancelOutcome::Busy,
        }
    }
    CancelOutcome::Busy
}

fn cancel_txn(id: JobId, view: &JobView, record: &Record) -> serde_json::Result<Txn> {
    let (key, value) = (job_key(id), record.to_json()?);
    Ok(Txn {
        conditions: vec![Condition { key: key.clone(), revision: view.revision }],
        changes: vec![Change::Put { key, value, lease: None }],
    })
}
