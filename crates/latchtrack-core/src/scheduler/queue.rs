//! The queue of jobs with waiting tasks, as the last scheduling cycle leaves it for backfill.

use std::collections::{BTreeMap, HashSet};

use crate::job::{Job, JobId};

/// A job in the queue and the limit on its tasks.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueEntry {
    pub job: JobId,
    /// Upper bound on the tasks that may still be placed.
    pub max_tasks: u32,
}

impl QueueEntry {
    /// Whether any task of the job may still be placed.
    pub fn is_open(&self, jobs: &BTreeMap<JobId, Job>) -> bool {
        self.max_tasks > 0 && jobs.get(&self.job).is_some_and(|job| job.schedulable_tasks() > 0)
    }
}

/// The jobs that still have waiting tasks after the last scheduling cycle.
#[derive(Clone, Debug, Default)]
pub(super) struct JobQueue {
    /// The open entries, in the order of the last cycle.
    entries: Vec<QueueEntry>,
    /// Jobs that take precedence over `entries`, in order of submission.
    starving: Vec<JobId>,
    /// Gangs for which the last cycle had capacity for only some of the tasks.
    gangs_lacking_capacity: HashSet<JobId>,
}

impl JobQueue {
    /// Starts a cycle: clears the gangs that lack capacity, which the cycle records again.
    pub fn start_cycle(&mut self) {
        self.gangs_lacking_capacity.clear();
    }

    /// Stores the entries that a cycle leaves open. Capacity that heartbeats free before the next
    /// cycle is offered to them in this order.
    pub fn keep_for_backfill(&mut self, entries: Vec<QueueEntry>, jobs: &BTreeMap<JobId, Job>) {
        self.entries = entries;
        self.drop_closed(jobs);
    }

    /// Removes the entries of which no task may be placed any more.
    pub fn drop_closed(&mut self, jobs: &BTreeMap<JobId, Job>) {
        self.entries.retain(|entry| entry.is_open(jobs));
    }

    /// Returns the entries, in the order of the last cycle.
    pub fn entries(&self) -> &[QueueEntry] {
        &self.entries
    }

    /// Subtracts placed tasks from the entry at `index`. Returns its job.
    pub fn take_tasks(&mut self, index: usize, tasks: u32) -> JobId {
        let entry = &mut self.entries[index];
        entry.max_tasks -= tasks;
        entry.job
    }

    /// Sets the starving jobs, which take precedence over the entries.
    pub fn set_starving(&mut self, starving: Vec<JobId>) {
        self.starving = starving;
    }

    /// Removes and returns the starving jobs.
    pub fn take_starving(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.starving)
    }

    /// Records that only some tasks of a gang found capacity. Capacity that becomes free is then
    /// held for it.
    pub fn note_gang_lacks_capacity(&mut self, gang: JobId) {
        self.gangs_lacking_capacity.insert(gang);
    }

    /// Whether the last cycle had capacity for only some tasks of this gang.
    pub fn lacks_capacity(&self, gang: JobId) -> bool {
        self.gangs_lacking_capacity.contains(&gang)
    }
}
