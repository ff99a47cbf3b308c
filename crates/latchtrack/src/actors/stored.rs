//! Conversion of the leader's stored state between the state service and the scheduler.

use std::collections::HashSet;

use actix::prelude::*;
use latchtrack_core::job::JobId;
use latchtrack_core::scheduler::{BatchOutcome, RecordWrite, StoredMachineSet, StoredResults};
use serde_json::value::RawValue;

use super::job_cache::JobCache;
use super::messages::job_cache::{ListOpenJobs, OpenJobsSnapshot};
use super::messages::OpenJob;
use super::store::{self, Store};
use crate::wire::records::{
    encode_machine_set, encode_results, job_key, machine_set_key, parse_machine_set, parse_results,
    results_key, Record, JOBS_PREFIX, LEADER_KEY, MACHINE_SETS_PREFIX, RESULTS_PREFIX,
};
use crate::wire::store::{Change, Condition, Item, Txn};

/// The stored state that a new leader reads.
pub struct StoredState {
    /// The open jobs.
    pub jobs: Vec<OpenJob>,
    /// Revision since which no node has led until this term, if known.
    pub leaderless_since: Option<u64>,
    /// The machine sets stored by earlier leaders.
    pub machine_sets: Vec<StoredMachineSet>,
    /// The done tasks of the open jobs.
    pub results: Vec<StoredResults>,
}

/// The change that a write makes to a record shard.
enum ShardValue {
    Put(Box<RawValue>),
    Delete,
}

impl ShardValue {
    /// Returns a deletion for a shard without records, `None` if the value can't be serialized.
    fn new(
        is_empty: bool,
        value: impl FnOnce() -> serde_json::Result<Box<RawValue>>,
    ) -> Option<ShardValue> {
        if is_empty {
            return Some(ShardValue::Delete);
        }
        value().ok().map(ShardValue::Put)
    }
}

/// Builds the transaction of a batch of record writes. Returns `None` if a record can't be
/// serialized.
///
/// The transaction fails if the leader key has changed, if one of the done jobs was cancelled, or
/// if a delayed write of this leader has changed one of the record shards.
pub fn record_transaction(token: u64, writes: &[RecordWrite]) -> Option<Txn> {
    let mut conditions = vec![Condition { key: LEADER_KEY.into(), revision: token }];
    let mut changes = Vec::new();
    for write in writes {
        let (key, expect, value) = match write {
            RecordWrite::MachineSet { shard, machines } => (
                machine_set_key(&shard.name),
                shard.expect,
                ShardValue::new(machines.is_empty(), || encode_machine_set(machines))?,
            ),
            RecordWrite::Results { shard, chunks } => (
                results_key(&shard.name),
                shard.expect,
                ShardValue::new(chunks.is_empty(), || encode_results(chunks))?,
            ),
            RecordWrite::JobDone { job, revision, tasks } => {
                let value = Record::Done { tasks: *tasks }.to_json().ok()?;
                (job_key(*job), Some(*revision), ShardValue::Put(value))
            }
        };
        if let Some(revision) = expect {
            conditions.push(Condition { key: key.clone(), revision });
        }
        changes.push(match value {
            ShardValue::Put(value) => Change::Put { key, value, lease: None },
            ShardValue::Delete => Change::Delete { key },
        });
    }
    Some(Txn { conditions, changes })
}

/// Returns the outcome of a write whose conditions on these keys did not hold.
pub fn conflict_outcome(keys: &[String]) -> BatchOutcome {
    let under = |prefix: &str| -> Vec<String> {
        keys.iter().filter_map(|key| key.strip_prefix(prefix)).map(str::to_string).collect()
    };
    let jobs = under(JOBS_PREFIX).iter().filter_map(|id| id.parse().ok()).collect();
    BatchOutcome::Conflict {
        jobs,
        machine_sets: under(MACHINE_SETS_PREFIX),
        results: under(RESULTS_PREFIX),
    }
}

/// Reads the open jobs, results and machine sets. Returns `None` if any read fails. Earlier leaders
/// can't change this state any more, since their writes are fenced.
pub async fn read_stored_state(store: &Addr<Store>, cache: &Addr<JobCache>) -> Option<StoredState> {
    let (machine_sets, _) = store::read_all(store, MACHINE_SETS_PREFIX).await.ok()?;
    let (results, _) = store::read_all(store, RESULTS_PREFIX).await.ok()?;
    let OpenJobsSnapshot { jobs, leaderless_since } = cache.send(ListOpenJobs).await.ok()?.ok()?;
    let machine_sets = machine_sets.iter().filter_map(stored_machine_set).collect();
    let open: HashSet<JobId> = jobs.iter().map(|job| job.spec.id).collect();
    let results = results.iter().filter_map(|item| stored_results(item, &open)).collect();
    Some(StoredState { jobs, leaderless_since, machine_sets, results })
}

fn stored_machine_set(item: &Item) -> Option<StoredMachineSet> {
    let name = item.key.strip_prefix(MACHINE_SETS_PREFIX)?;
    let machines = parse_machine_set(name, item.value.get())
        .map_err(|error| {
            tracing::error!(key = item.key, %error, "stored machine set can't be parsed");
        })
        .ok();
    Some(StoredMachineSet { name: name.to_string(), revision: item.revision, machines })
}

fn stored_results(item: &Item, open: &HashSet<JobId>) -> Option<StoredResults> {
    let name = item.key.strip_prefix(RESULTS_PREFIX)?;
    let mut chunks = parse_results(name, item.value.get()).unwrap_or_else(|| {
        // The tasks will run again, since their results are stored nowhere else.
        tracing::error!(key = item.key, "stored results can't be parsed");
        Vec::new()
    });
    chunks.retain(|(id, ..)| open.contains(id));
    Some(StoredResults { name: name.to_string(), revision: item.revision, chunks })
}
