//! The cached records: jobs, their task counts, and the leader key.

use std::collections::{HashMap, HashSet};

use latchtrack_core::job::JobId;

use crate::actors::messages::election::LeaderKey;
use crate::actors::messages::job_cache::{JobView, OpenJobsSnapshot, TaskCounts};
use crate::actors::messages::scheduler::JobChange;
use crate::actors::messages::OpenJob;
use crate::actors::store::reads::ReadResult;
use crate::wire::records::{LeaderRecord, Record, JOBS_PREFIX, LEADER_KEY};
use crate::wire::store::KeyChange;

struct CachedJob {
    record: Record,
    revision: u64,
}

#[derive(Clone, Copy, Default)]
struct Progress {
    done: u32,
    running: u32,
}

/// The newest observed revision of each record.
#[derive(Default)]
pub(super) struct JobRecords {
    jobs: HashMap<JobId, CachedJob>,
    /// Jobs whose stored record can't be parsed.
    unparsable: HashSet<JobId>,
    progress: HashMap<JobId, Progress>,
    leader: Option<LeaderRecord>,
    /// Revision at which the leader key was last written or deleted.
    leader_revision: u64,
    /// Revision since which no node leads, if known.
    leaderless_since: Option<u64>,
}

impl JobRecords {
    /// Returns a job with its task counts, or `None` if it is not cached.
    pub(super) fn view(&self, id: JobId) -> Option<JobView> {
        let job = self.jobs.get(&id)?;
        let Progress { done, running } = match &job.record {
            Record::Done { tasks } => Progress { done: *tasks, running: 0 },
            _ => self.progress.get(&id).copied().unwrap_or_default(),
        };
        Some(JobView { record: job.record.clone(), revision: job.revision, done, running })
    }

    /// Returns whether a job has a stored record that can't be parsed.
    pub(super) fn is_unparsable(&self, id: JobId) -> bool {
        self.unparsable.contains(&id)
    }

    /// Returns the record of the current leader, if any.
    pub(super) fn leader(&self) -> Option<&LeaderRecord> {
        self.leader.as_ref()
    }

    /// Returns the leader key with its revision, if the key exists.
    pub(super) fn leader_key(&self) -> Option<LeaderKey> {
        let record = self.leader.clone()?;
        Some(LeaderKey { record, revision: self.leader_revision })
    }

    /// Returns all open jobs, and the revision since which no node leads, if known.
    pub(super) fn open_jobs(&self) -> OpenJobsSnapshot {
        let open = self.jobs.values().filter_map(|job| match &job.record {
            Record::Open { spec, at_ms } => Some(OpenJob {
                spec: spec.clone(),
                submitted_at_wall_ms: *at_ms,
                revision: job.revision,
            }),
            _ => None,
        });
        OpenJobsSnapshot { jobs: open.collect(), leaderless_since: self.leaderless_since }
    }

    /// Applies a read of the state service. Returns the changes of jobs, and the revision up to
    /// which the records are now known.
    pub(super) fn apply(&mut self, result: ReadResult) -> (Vec<JobChange>, u64) {
        let mut changes = Vec::new();
        let revision = match result {
            ReadResult::All { items, revision } => {
                let mut has_leader = false;
                for item in items {
                    has_leader |= item.key == LEADER_KEY;
                    changes.extend(self.put(&item.key, item.value.get(), item.revision));
                }
                // A node may have led for a while since the last read. Only from this revision on
                // is it certain that no node leads.
                self.leaderless_since = (!has_leader).then_some(revision);
                if !has_leader && self.leader_revision < revision {
                    self.leader = None;
                    self.leader_revision = revision;
                }
                revision
            }
            ReadResult::Changes(answer) => {
                for change in answer.events.into_iter().filter_map(|event| event.into_change()) {
                    match change {
                        KeyChange::Put(item) => {
                            changes.extend(self.put(&item.key, item.value.get(), item.revision));
                        }
                        KeyChange::Delete { key, revision } => self.delete(&key, revision),
                    }
                }
                answer.revision
            }
        };
        (changes, revision)
    }

    /// Applies a deletion. Only the leader key is ever deleted; job records are not.
    fn delete(&mut self, key: &str, revision: u64) {
        if key == LEADER_KEY && revision > self.leader_revision {
            self.leader = None;
            self.leader_revision = revision;
            self.leaderless_since = Some(revision);
        }
    }

    fn put(&mut self, key: &str, value: &str, revision: u64) -> Option<JobChange> {
        if key == LEADER_KEY {
            self.put_leader(value, revision);
            return None;
        }
        let Some(id) = key.strip_prefix(JOBS_PREFIX).and_then(|id| id.parse().ok()) else {
            tracing::error!(key, "unknown key in the state service");
            return None;
        };
        match Record::parse(id, value) {
            Ok(record) => self.apply_record(id, record, revision),
            Err(error) => {
                // Queries for this job must fail rather than report it as unknown: it was accepted.
                if self.unparsable.insert(id) {
                    tracing::error!(job = %id, %error, "job record can't be parsed");
                }
                None
            }
        }
    }

    fn put_leader(&mut self, value: &str, revision: u64) {
        if revision <= self.leader_revision {
            return;
        }
        self.leader_revision = revision;
        match serde_json::from_str(value) {
            Ok(record) => self.leader = Some(record),
            Err(error) => tracing::error!(%error, "leader record can't be parsed"),
        }
    }

    /// Applies a job record. Returns `None` if the record is not newer than the cached one.
    pub(super) fn apply_record(
        &mut self,
        id: JobId,
        record: Record,
        revision: u64,
    ) -> Option<JobChange> {
        if self.jobs.get(&id).is_some_and(|known| known.revision >= revision) {
            return None;
        }
        self.unparsable.remove(&id);
        let change = match &record {
            Record::Open { spec, at_ms } => {
                let (spec, submitted_at_wall_ms) = (spec.clone(), *at_ms);
                JobChange::Opened(OpenJob { spec, submitted_at_wall_ms, revision })
            }
            Record::Done { .. } | Record::Cancelled { .. } => {
                self.progress.remove(&id);
                JobChange::Closed(id)
            }
        };
        self.jobs.insert(id, CachedJob { record, revision });
        Some(change)
    }

    /// Replaces all task counts with those that the leader published.
    pub(super) fn set_task_counts(&mut self, counts: Vec<TaskCounts>) {
        self.progress.clear();
        for TaskCounts { job, done, running } in counts {
            let known = self.jobs.get(&job);
            if known.is_none_or(|known| matches!(known.record, Record::Open { .. })) {
                self.progress.insert(job, Progress { done, running });
            }
        }
    }
}
