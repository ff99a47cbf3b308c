//! The guards that a run can break.

/// Which guard is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisabledGuard {
    None,
    /// A new leader believes that nothing was launched before it.
    Reconciliation,
    /// A machine counts as gone though its delete was not answered.
    ConfirmedTermination,
    /// A leader acts though its lease has run out and its cache is old.
    LeaderLease,
    /// Machines are taken for stored that are not.
    MachineRecords,
    /// Ended runs are forgotten though a direct command is open, and then unknown to the machine.
    ForgetAfterCalls,
    /// The leader's writes are made without conditions.
    WriteFence,
    Cancellation,
    /// Late copies of reports are taken for news of now.
    HeartbeatFreshness,
    /// Packed values are written whatever stamp they have, so that late writes undo newer ones.
    ShardRevision,
    /// Jobs count as accepted while nobody led.
    LeaderlessSince,
    /// Tasks of silent machines are freed before their lease has run out.
    WorkerLease,
    /// What cancelled tasks use does not count against their team's limit.
    CancelledTaskUsage,
    /// A job that ended is called done, be it cancelled meanwhile.
    JobRevision,
    /// Reports lack the waiting tasks of gangs, which so count as gone while they are there.
    WaitingTaskStatus,
    /// Reports lack the tasks that save, which so count as gone while they are there.
    CheckpointingTaskStatus,
    /// Gangs are taken for independent tasks.
    GangAtomicity,
    /// A new leader misses some of the open jobs.
    JobRecovery,
    TeamLimit,
    PlacementConstraints,
    TaskCompletion,
}
