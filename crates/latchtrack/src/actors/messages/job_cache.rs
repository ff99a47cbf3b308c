//! Messages to the job cache.

use actix::prelude::*;
use latchtrack_core::job::JobId;

use super::election::LeaderKeyObserved;
use super::scheduler::CacheUpdated;
use super::{NodeRole, OpenJob};
use crate::wire::records::Record;

/// The cache could not be refreshed in time, or too many requests were waiting for a refresh.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the state service can't be asked")]
pub struct StoreUnavailable;

/// A job in the cache.
#[derive(Debug, Clone)]
pub struct JobView {
    /// The cached record.
    pub record: Record,
    /// Revision of the record.
    pub revision: u64,
    /// Number of done tasks, as last published by the leader.
    pub done: u32,
    /// Number of running tasks, as last published by the leader.
    pub running: u32,
}

impl JobView {
    /// Returns whether the job is done or cancelled, which never changes again.
    pub fn is_final(&self) -> bool {
        !matches!(self.record, Record::Open { .. })
    }
}

/// Required freshness of the response to a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The current content of the cache.
    Cached,
    /// The result of a refresh that starts after the request, unless the state is final.
    Current,
}

/// Looks up a job. The result is `None` if no such job exists.
#[derive(Message)]
#[rtype(result = "Result<Option<JobView>, StoreUnavailable>")]
pub struct LookUpJob {
    /// Id of the job.
    pub id: JobId,
    /// Whether to wait for a refresh.
    pub freshness: Freshness,
}

/// Adds a record that this node has written, ahead of the next refresh.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ApplyRecord {
    /// Id of the job.
    pub id: JobId,
    /// The record as written.
    pub record: Record,
    /// Revision of the write.
    pub revision: u64,
}

/// Numbers of done and running tasks of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskCounts {
    /// Id of the job.
    pub job: JobId,
    /// Number of done tasks.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
}

/// Replaces all task counts with those that the leader published.
#[derive(Message)]
#[rtype(result = "()")]
pub struct UpdateTaskCounts(pub Vec<TaskCounts>);

/// The open jobs that a new leader reads at the start of its term.
pub struct OpenJobsSnapshot {
    /// All open jobs.
    pub jobs: Vec<OpenJob>,
    /// Revision since which no node has led until this term, if known.
    pub leaderless_since: Option<u64>,
}

/// Lists all open jobs after a refresh.
#[derive(Message)]
#[rtype(result = "Result<OpenJobsSnapshot, StoreUnavailable>")]
pub struct ListOpenJobs;

/// Asks whether the cache has loaded all records at least once.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct IsLoaded;

/// Asks whether the state service serves this node, judging by the latest refreshes.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct IsServed;

/// Sets the recipients of changes, and starts the first refresh.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConnectJobCache {
    /// The election, for changes of the leader key.
    pub election: Recipient<LeaderKeyObserved>,
    /// The scheduler driver, for changes of jobs.
    pub scheduler: Recipient<CacheUpdated>,
}

/// Sets the role of this node. A leader refreshes its cache more often.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SetCacheRole(pub NodeRole);
