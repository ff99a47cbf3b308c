//! Messages to the job cache.

use actix::prelude::*;
use latchtrack_core::job::JobId;

use super::election::LeaderKeyObserved;
use super::scheduler::CacheAdvanced;
use super::{NodeRole, OpenJob};
use crate::wire::records::Record;

/// The state service could not be read in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the state service can't be asked")]
pub struct StoreUnavailable;

/// A job as the cache has it.
#[derive(Debug, Clone)]
pub struct JobView {
    /// Its record.
    pub record: Record,
    /// Revision of the record.
    pub revision: u64,
    /// Tasks that are done, as the leader last published.
    pub done: u32,
    /// Tasks that run, as the leader last published.
    pub running: u32,
}

impl JobView {
    /// Whether the job is done or cancelled, which it then remains.
    pub fn is_final(&self) -> bool {
        !matches!(self.record, Record::Open { .. })
    }
}

/// How new the answer to a lookup must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// As the cache stands.
    Cached,
    /// After a refresh that starts after the request, unless the state is final.
    Current,
}

/// Look a job up; None if there is no such job.
#[derive(Message)]
#[rtype(result = "Result<Option<JobView>, StoreUnavailable>")]
pub struct LookUpJob {
    /// The job.
    pub id: JobId,
    /// How new the answer must be.
    pub freshness: Freshness,
}

/// Take in a record that this node has written, before a refresh brings it.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ApplyRecord {
    /// The job.
    pub id: JobId,
    /// Its record as written.
    pub record: Record,
    /// Revision of the write.
    pub revision: u64,
}

/// How many tasks of a job are done and run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskCounts {
    /// The job.
    pub job: JobId,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}

/// The counts that the leader has published; they replace those of before.
#[derive(Message)]
#[rtype(result = "()")]
pub struct UpdateTaskCounts(pub Vec<TaskCounts>);

/// What a new term starts from.
pub struct OpenJobsSnapshot {
    /// All open jobs.
    pub jobs: Vec<OpenJob>,
    /// The revision at which the last leader's key was deleted, if known: no node led after it.
    pub leaderless_since: Option<u64>,
}

/// All open jobs, after a refresh.
#[derive(Message)]
#[rtype(result = "Result<OpenJobsSnapshot, StoreUnavailable>")]
pub struct ListOpenJobs;

/// Whether the cache has been filled once.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct IsLoaded;

/// Whether the state service serves this node, as far as the last refreshes tell.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct IsServed;

/// Tells the cache who is to hear of changes.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConnectJobCache {
    /// The election, for changes of the leader key.
    pub election: Recipient<LeaderKeyObserved>,
    /// The scheduler driver, for changes of jobs.
    pub scheduler: Recipient<CacheAdvanced>,
}

/// Whether this node leads: a leader refreshes its cache more often.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SetCacheRole(pub NodeRole);
