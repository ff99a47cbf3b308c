//! The guards that a run can disable to show that the referee detects their absence.

/// A guard of the core or of the simulated world that is disabled in a run. Each variant says what
/// happens without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisabledGuard {
    /// All guards are enabled.
    None,
    /// A new leader inherits no machines, as if nothing had been launched before.
    Reconciliation,
    /// Machines are reported as terminated although they still run.
    ConfirmedTermination,
    /// A leader acts although its lease has expired and its job cache is stale.
    LeaderLease,
    /// Writes of machine sets succeed without being stored.
    MachineRecords,
    /// All commands carry the token with which the term began, so that a worker executes copies of
    /// direct calls after it has forgotten their attempts.
    RaisedTokens,
    /// Workers forget ended runs although a direct call may still be open.
    ForgetAfterCalls,
    /// The state service commits writes of deposed leaders, whatever their conditions.
    WriteFence,
    /// Leaders are not told of cancellations.
    Cancellation,
    /// Late copies of heartbeats carry the current token, as if they were new.
    HeartbeatFreshness,
    /// Record shards are written without comparing revisions, so that late writes undo newer ones.
    ShardRevision,
    /// Every job counts as accepted while there was no leader.
    LeaderlessSince,
    /// Tasks of silent machines are placed again before the worker lease has expired.
    WorkerLease,
    /// Heartbeats with an older token are answered without the leader's knowledge, so that it does
    /// not count the leases that the answers renew.
    RenewedLeases,
    /// Heartbeats omit the tasks of cancelled jobs, which then do not use its limit.
    CancelledTaskUsage,
    /// A finished job is stored as done even if it was cancelled in the meantime.
    JobRevision,
    /// Heartbeats omit the waiting tasks of gangs, which then count as gone.
    WaitingTaskStatus,
    /// Heartbeats omit the tasks that write a checkpoint, which then count as gone.
    CheckpointingTaskStatus,
    /// The leader treats gangs as independent tasks.
    GangAtomicity,
    /// Leaders never learn of some of the open jobs.
    JobRecovery,
    /// The limited team has no limit.
    TeamLimit,
    /// The machine types, zones and spot setting that a job requires are ignored.
    PlacementConstraints,
    /// The first task of a job counts as done without having run.
    TaskCompletion,
}
