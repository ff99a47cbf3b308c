//! Statistics of a run, on which tests assert bounds.

use latchtrack_balance::balancer::MoveCounts;

/// Numbers of jobs at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobCounts {
    /// Jobs known to the leader.
    pub known: usize,
    /// Jobs open in the state service.
    pub open: usize,
}

/// Counts and maxima over a run, for all leaders together.
#[derive(Clone, Debug, Default)]
pub struct Statistics {
    /// Leader terms that began.
    pub terms: u64,
    /// Direct calls whose commands were executed after their node had given up on the call.
    pub late_commands: u64,
    /// Duplicates of heartbeats that reached a node.
    pub duplicate_heartbeats: u64,
    /// Puts in the write transactions that reached the state service within its limits.
    pub puts: u64,
    /// Direct calls sent.
    pub calls: u64,
    /// Machines provisioned.
    pub provisioned: u64,
    /// Task runs that failed.
    pub failures: u64,
    /// Most machines that were up at once.
    pub max_machines_up: usize,
    /// Most machines that a leader listed as overdue at once.
    pub max_machines_overdue: usize,
    /// Scheduling cycles.
    pub cycles: u64,
    /// Most task runs that a leader knew at once.
    pub max_task_runs: usize,
    /// Most jobs that a leader knew at once, and the open jobs at that time.
    pub max_jobs: JobCounts,
    /// Moves of running tasks.
    pub moves: MoveCounts,
}
