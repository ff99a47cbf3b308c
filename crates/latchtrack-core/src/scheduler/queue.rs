//! The queue of jobs with waiting tasks, as a scheduling cycle leaves it for backfill.

use std::collections::{BTreeMap, HashSet};

use crate::job::{Job, JobId};

/// A job in the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueEntry {
    /// The job.
    pub job: JobId,
    /// How many of its tasks may be placed at most.
    pub max_tasks: u32,
}

impl QueueEntry {
    /// Whether tasks of the job may still be placed.
    pub fn is_open(&self, jobs: &BTreeMap<JobId, Job>) -> bool {
        self.max_tasks > 0 && jobs.get(&self.job).is_some_and(|job| job.schedulable_tasks() > 0)
    }
}

/// Jobs with waiting tasks, as the last scheduling cycle left them.
#[derive(Clone, Debug, Default)]
pub(super) struct JobQueue {
    /// In the order of the last cycle.
    entries: Vec<QueueEntry>,
    /// Jobs that go before that order, the one that was submitted first going first.
    starving: Vec<JobId>,
    /// Gangs of which the last cycle had capacity for some tasks only.
    gangs_lacking_capacity: HashSet<JobId>,
}

impl JobQueue {
    /// A cycle begins, which finds anew what gangs lack.
    pub fn start_cycle(&mut self) {
        self.gangs_lacking_capacity.clear();
    }

    /// Takes what a cycle has left: what single heartbeats free until the next one goes to these,
    /// in this order.
    pub fn keep_for_backfill(&mut self, entries: Vec<QueueEntry>, jobs: &BTreeMap<JobId, Job>) {
        self.entries = entries;
        self.drop_closed(jobs);
    }

    /// Drops the entries of which nothing may be placed any more.
    pub fn drop_closed(&mut self, jobs: &BTreeMap<JobId, Job>) {
        self.entries.retain(|entry| entry.is_open(jobs));
    }

    /// The entries, in the order of the last cycle.
    pub fn entries(&self) -> &[QueueEntry] {
        &self.entries
    }

    /// Takes tasks that are placed off an entry, given by its index; returns its job.
    pub fn take_tasks(&mut self, index: usize, tasks: u32) -> JobId {
        let entry = &mut self.entries[index];
        entry.max_tasks -= tasks;
        entry.job
    }

    /// Sets the starving jobs, which go before the entries.
    pub fn set_starving(&mut self, starving: Vec<JobId>) {
        self.starving = starving;
    }

    /// Takes the starving jobs out.
    pub fn take_starving(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.starving)
    }

    /// Notes that there was capacity for some tasks of a gang only: what comes free is kept for it.
    pub fn note_gang_lacks_capacity(&mut self, gang: JobId) {
        self.gangs_lacking_capacity.insert(gang);
    }

    /// Whether the last cycle had capacity for some tasks of this gang only.
    pub fn lacks_capacity(&self, gang: JobId) -> bool {
        self.gangs_lacking_capacity.contains(&gang)
    }
}
