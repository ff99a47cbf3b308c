//! The guards that a run can disable, to show that the referee would tell.

/// A guard of the core or of the world that is disabled in a run; what then happens is said of
/// each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisabledGuard {
    /// All guards hold.
    None,
    /// A new leader believes that nothing was launched before it.
    Reconciliation,
    /// A machine counts as terminated though its termination was not confirmed.
    ConfirmedTermination,
    /// A leader acts though its lease has expired and its cache is old.
    LeaderLease,
    /// Machines are taken for stored that are not.
    MachineRecords,
    /// Ended runs are forgotten though a direct call is open, and then unknown to the machine.
    ForgetAfterCalls,
    /// The leader's writes are made without conditions.
    WriteFence,
    /// Leaders are not told of cancellations.
    Cancellation,
    /// Late copies of heartbeats are taken for new ones.
    HeartbeatFreshness,
    /// Record shards are written whatever revision they have, so that late writes undo newer ones.
    ShardRevision,
    /// Jobs count as accepted while nobody led.
    LeaderlessSince,
    /// Tasks of silent machines are placed anew before their worker lease has expired.
    WorkerLease,
    /// What cancelled tasks use does not count against their team's limit.
    CancelledTaskUsage,
    /// A job that ended is called done, even if it was cancelled meanwhile.
    JobRevision,
    /// Heartbeats lack the waiting tasks of gangs, which so count as gone while they are there.
    WaitingTaskStatus,
    /// Heartbeats lack the tasks that save, which so count as gone while they are there.
    CheckpointingTaskStatus,
    /// Gangs are taken for independent tasks.
    GangAtomicity,
    /// A new leader misses some of the open jobs.
    JobRecovery,
    /// The limited team has no limit.
    TeamLimit,
    /// Types, zones and spot machines that a job excludes are ignored.
    PlacementConstraints,
    /// A task counts as done that never ran.
    TaskCompletion,
}
