//! What the leader reads from the state service and writes to it.

use std::collections::HashSet;

use actix::prelude::*;
use latchtrack_core::job::JobId;
use latchtrack_core::scheduler::{BatchOutcome, RecordWrite, StoredMachineSet, StoredResults};
use serde_json::value::RawValue;

use super::job_cache::{Inheritance, JobCache, OpenJob, OpenJobs};
use super::store::{self, Store};
use crate::wire::records::*;
use crate::wire::store::{Change, Condition, Txn};

/// All that a new leader reads.
pub struct StoredState {
    pub jobs: Vec<OpenJob>,
    pub vacant: Option<u64>,
    pub fleet: Vec<StoredMachineSet>,
    pub results: Vec<StoredResults>,
}

/// The transaction of a batch: fenced by the leader key; for a job that becomes done by the stamp
/// of its record, which a cancellation would have changed; for a packed value by its own, which a
/// late write of ours would have.
pub fn transaction(token: u64, writes: &[RecordWrite]) -> Option<Txn> {
    let mut conditions = vec![Condition { key: LEADER.into(), version: token }];
    let mut changes = Vec::new();
    let put = |key, value| Change::Put { key, value, lease: None };
    for w in writes {
        let (key, expect, value) = match w {
            RecordWrite::MachineSet { shard, machines } => (
                fleet_key(&shard.name),
                shard.expect,
                packed(machines.is_empty(), || fleet(machines))?,
            ),
            RecordWrite::Results { shard, chunks } => (
                results_key(&shard.name),
                shard.expect,
                packed(chunks.is_empty(), || results(chunks))?,
            ),
            RecordWrite::JobDone { job, revision, tasks } => {
                let value = Record::Done { tasks: *tasks }.to_json().ok()?;
                (job_key(*job), Some(*revision), Some(value))
            }
        };
        if let Some(version) = expect {
            conditions.push(Condition { key: key.clone(), version });
        }
        changes.push(match value {
            Some(value) => put(key, value),
            None => Change::Delete { key },
        });
    }
    Some(Txn { conditions, changes })
}

/// A packed value; Some(None) is a drop.
#[allow(clippy::option_option)]
fn packed(
    empty: bool,
    value: impl FnOnce() -> serde_json::Result<Box<RawValue>>,
) -> Option<Option<Box<RawValue>>> {
    if empty {
        return Some(None);
    }
    value().ok().map(Some)
}

/// What stood in the way of a write.
pub fn conflict(keys: &[String]) -> BatchOutcome {
    let under = |prefix: &str| -> Vec<String> {
        keys.iter().filter_map(|k| k.strip_prefix(prefix)).map(str::to_string).collect()
    };
    let jobs = under(JOBS).iter().filter_map(|t| t.parse().ok()).collect();
    BatchOutcome::Conflict { jobs, machine_sets: under(FLEET), results: under(RESULTS) }
}

/// Reads open jobs, results and machine set; None if the state service can't be asked. All of it
/// is as new as this term, since an earlier leader's writes are fenced.
pub async fn read_stored_state(store: &Addr<Store>, cache: &Addr<JobCache>) -> Option<StoredState> {
    let (stored, _) = store::read_all(store, FLEET).await.ok()?;
    let (chunks, _) = store::read_all(store, RESULTS).await.ok()?;
    let Inheritance { jobs, vacant } = cache.send(OpenJobs).await.ok()?.ok()?;
    let mut fleet = Vec::new();
    for item in stored {
        let Some(name) = item.key.strip_prefix(FLEET) else { continue };
        let machines = read_fleet(name, item.value.get())
            .map_err(|e| tracing::error!("the machines under {name} are garbled: {e}"))
            .ok();
        fleet.push(StoredMachineSet { name: name.to_string(), revision: item.version, machines });
    }
    let open: HashSet<JobId> = jobs.iter().map(|(spec, ..)| spec.id).collect();
    let mut results = Vec::new();
    for item in chunks {
        let Some(name) = item.key.strip_prefix(RESULTS) else { continue };
        let mut chunks = read_results(name, item.value.get()).unwrap_or_else(|| {
            // Its tasks run again; their results were kept by nobody else.
            tracing::error!("the results under {name} are garbled");
            Vec::new()
        });
        chunks.retain(|(id, ..)| open.contains(id));
        results.push(StoredResults { name: name.to_string(), revision: item.version, chunks });
    }
    Some(StoredState { jobs, vacant, fleet, results })
}
