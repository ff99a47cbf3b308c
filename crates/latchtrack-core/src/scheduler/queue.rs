//! The queue of jobs with waiting tasks.

use std::collections::HashSet;

use crate::job::JobId;

/// A job in the queue, with how many of its tasks may be placed in this turn.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueEntry {
    pub job: JobId,
    pub most: u32,
}

/// Jobs with waiting tasks, as the last scheduling cycle left them.
#[derive(Clone, Debug, Default)]
pub(super) struct JobQueue {
    /// In the order of the cycle.
    pub entries: Vec<QueueEntry>,
    /// Jobs that go before that order, since nothing of them has begun for long.
    pub starving: Vec<JobId>,
    /// Gangs for which there was room for some tasks only: what comes free is kept for them.
    pub gangs_lacking_capacity: HashSet<JobId>,
}
