//! The guards that a run can break.

/// Which guard is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    Nothing,
    /// A new leader believes that nothing was launched before it.
    NoSettling,
    /// A machine counts as gone though its delete was not answered.
    SilenceIsDeath,
    /// A leader acts though its lease has run out and its cache is old.
    NoLease,
    /// Machines are taken for stored that are not.
    NotStored,
    /// Ended runs are forgotten though a direct command is open, and then unknown to the machine.
    EarlyForget,
    /// The leader's writes are made without conditions.
    NoFence,
    DeafToCancel,
    /// Late copies of reports are taken for news of now.
    BelieveCopies,
    /// Packed values are written whatever stamp they have, so that late writes undo newer ones.
    NoPackStamp,
    /// Jobs count as accepted while nobody led.
    AlwaysVacant,
    /// Tasks of silent machines are freed before their lease has run out.
    ShortLease,
    /// What cancelled tasks use does not count against their team's limit.
    CancelledUseNothing,
    /// A job that ended is called done, be it cancelled meanwhile.
    DoneAnyway,
    /// Reports lack the waiting tasks of gangs, which so count as gone while they are there.
    WaitingUnseen,
    /// Reports lack the tasks that save, which so count as gone while they are there.
    SavingUnseen,
    /// Gangs are taken for independent tasks.
    TaskByTask,
    /// A new leader misses some of the open jobs.
    Forgetful,
    NoLimit,
    AnyPlace,
    EarlyDone,
}
