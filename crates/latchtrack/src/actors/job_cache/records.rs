//! The cached records: jobs, their counts of tasks, and the leader key.

use std::collections::{HashMap, HashSet};

use latchtrack_core::job::JobId;

use crate::actors::messages::election::LeaderKey;
use crate::actors::messages::job_cache::{JobView, OpenJobsSnapshot, TaskCounts};
use crate::actors::messages::scheduler::JobChange;
use crate::actors::messages::OpenJob;
use crate::actors::store::reads::Snapshot;
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

/// Each record as the newest revision that was seen has it.
#[derive(Default)]
pub(super) struct JobRecords {
    jobs: HashMap<JobId, CachedJob>,
    /// Jobs of which the stored record can't be parsed.
    unparsable: HashSet<JobId>,
    progress: HashMap<JobId, Progress>,
    leader: Option<LeaderRecord>,
    /// Revision of the leader key, or with which it went.
    leader_revision: u64,
    leaderless_since: Option<u64>,
}

impl JobRecords {
    /// A job, if it is known.
    pub(super) fn view(&self, id: JobId) -> Option<JobView> {
        let job = self.jobs.get(&id)?;
        let Progress { done, running } = match &job.record {
            Record::Done { tasks } => Progress { done: *tasks, running: 0 },
            _ => self.progress.get(&id).copied().unwrap_or_default(),
        };
        Some(JobView { record: job.record.clone(), revision: job.revision, done, running })
    }

    /// Whether the stored record of a job can't be parsed.
    pub(super) fn is_unparsable(&self, id: JobId) -> bool {
        self.unparsable.contains(&id)
    }

    /// Who leads, if a node does.
    pub(super) fn leader(&self) -> Option<&LeaderRecord> {
        self.leader.as_ref()
    }

    /// The leader key, if there is one.
    pub(super) fn leader_key(&self) -> Option<LeaderKey> {
        let record = self.leader.clone()?;
        Some(LeaderKey { record, revision: self.leader_revision })
    }

    /// All open jobs, and since when no node leads, if that was seen.
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

    /// Takes in a read of the state service; returns what has changed by it, and up to which
    /// revision the records are known now.
    pub(super) fn apply(&mut self, snapshot: Snapshot) -> (Vec<JobChange>, u64) {
        let mut changes = Vec::new();
        let revision = match snapshot {
            Snapshot::All { items, revision } => {
                let mut is_led = false;
                for item in items {
                    is_led |= item.key == LEADER_KEY;
                    changes.extend(self.put(&item.key, item.value.get(), item.revision));
                }
                // Who led during the missed changes is unknown; without the key, no node leads
                // now.
                self.leaderless_since = (!is_led).then_some(revision);
                if !is_led && self.leader_revision < revision {
                    self.leader = None;
                    self.leader_revision = revision;
                }
                revision
            }
            Snapshot::Changes(answer) => {
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

    /// A deleted leader key means that no node leads. Job records are never deleted.
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
                // Queries get an error, not `unknown`: the user has an answer that it is accepted.
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

    /// Takes in a job record; returns the change, None if the record is not newer than the known.
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

    /// Replaces the counts by those that the leader has published.
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
