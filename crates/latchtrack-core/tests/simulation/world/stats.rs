//! What a run came to, for tests that bound or require it.

use latchtrack_balance::balancer::MoveCounts;

/// Jobs at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobCounts {
    /// Known to the leader.
    pub known: usize,
    /// Open in the state service.
    pub open: usize,
}

/// Counts and maxima over a run, of all leaders together.
#[derive(Clone, Debug, Default)]
pub struct Statistics {
    /// Terms that began.
    pub terms: u64,
    /// Direct calls with commands that were executed after their node had given them up.
    pub late_commands: u64,
    /// Copies of heartbeats that reached a node.
    pub duplicate_heartbeats: u64,
    /// Changes that leaders asked the state service for.
    pub puts: u64,
    /// Direct calls.
    pub calls: u64,
    /// Machines provisioned.
    pub provisioned: u64,
    /// Tasks that failed.
    pub failures: u64,
    /// Most machines that were up.
    pub max_machines_up: usize,
    /// Most machines that a leader named as overdue.
    pub max_machines_overdue: usize,
    /// Scheduling cycles.
    pub cycles: u64,
    /// Most task runs known to a leader.
    pub max_task_runs: usize,
    /// Most jobs known to a leader, and the open ones at that time.
    pub max_jobs: JobCounts,
    /// Moves of running tasks.
    pub moves: MoveCounts,
}
