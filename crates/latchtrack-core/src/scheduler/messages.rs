//! Events and effects of the scheduler, and the records that it reads and writes.

use std::fmt;
use std::sync::Arc;

use latchtrack_quota::{LedgerSnapshot, LedgerWrite, WriteOutcome};

use super::log_events::{LogEvent, ResignReason};
use crate::bitmap::Bitmap;
use crate::job::{JobId, JobSpec};
use crate::machine::{Command, Heartbeat, MachineType};
use crate::placement::Offer;
use crate::record_shards::ShardWrite;
use crate::Millis;

/// Identifies a direct call to a worker within a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A machine as recorded in the stored set.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredMachine {
    /// Name of the machine, unique in the cloud.
    pub name: String,
    /// Name of its machine type.
    pub machine_type: String,
    /// Name of its zone.
    pub zone: String,
    /// Whether the cloud may preempt it.
    pub spot: bool,
    /// Address at which its worker accepts direct calls.
    pub addr: String,
}

/// Revisions of the state service at the start of a term.
#[derive(Clone, Copy, Debug)]
pub struct TermRevisions {
    /// Revision of the leader key, which is the fencing token.
    pub token: u64,
    /// There was no leader from this revision up to the token, so jobs accepted in this range were
    /// never launched.
    pub leaderless_since: u64,
}

/// One of the stored values that together hold the machine set.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredMachineSet {
    /// Name of the value under the prefix of the machine set.
    pub name: String,
    /// The revision of its last write.
    pub revision: u64,
    /// The machines in it; `None` if it cannot be read, in which case it may contain any machine.
    pub machines: Option<Vec<StoredMachine>>,
}

/// One stored value of results, which may hold chunks of several jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredResults {
    /// Name of the value under the prefix of results.
    pub name: String,
    /// The revision of its last write.
    pub revision: u64,
    /// Bitmaps of done tasks, by job and chunk.
    pub chunks: Vec<(JobId, u32, Vec<u8>)>,
}

/// A machine as the cloud lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedMachine {
    /// Name of the machine, unique in the cloud.
    pub name: String,
    /// Name of its machine type.
    pub machine_type: String,
    /// Name of its zone.
    pub zone: String,
    /// Whether the cloud may preempt it.
    pub spot: bool,
    /// Whether the cloud reports it as failed.
    pub failed: bool,
    /// Whether the cloud reports it as up; its worker may not have sent a heartbeat yet.
    pub running: bool,
    /// Time since its creation, in ms.
    pub age_ms: Millis,
}

/// The outcome of a direct call.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// Executed; the worker answered with a heartbeat.
    Executed(Heartbeat),
    /// Not executed and never will be; the worker answered with a heartbeat.
    Rejected(Heartbeat),
    /// Never sent, so not executed.
    NotSent,
    /// No answer: it may have been executed, or may be later.
    NoAnswer,
}

impl CallOutcome {
    /// Returns the outcome as it appears in the log.
    pub fn name(&self) -> &'static str {
        match self {
            CallOutcome::Executed(_) => "executed",
            CallOutcome::Rejected(_) => "rejected",
            CallOutcome::NotSent => "not_sent",
            CallOutcome::NoAnswer => "no_answer",
        }
    }
}

/// The outcome of a provision request.
#[derive(Clone, Debug)]
pub enum ProvisionOutcome {
    /// Names of the new machines; fewer than requested if the cloud has no more.
    Provisioned(Vec<String>),
    /// The cloud has no such machine at present.
    NoCapacity,
    /// Definitely not executed.
    NotExecuted,
    /// Unknown; must be retried under the same request id.
    Unknown,
}

/// The outcome of a request to terminate machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TerminateOutcome {
    /// The cloud has terminated them or no longer has them.
    Terminated,
    /// Unknown or not executed; must be retried.
    Failed,
}

/// One change to the state service, which costs one put or delete.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordWrite {
    /// Writes or deletes a value of the machine set.
    MachineSet {
        /// The value, with the names of its machines.
        shard: ShardWrite<String>,
        /// The machines in it; if empty, the value is deleted.
        machines: Vec<StoredMachine>,
    },
    /// Writes or deletes a value of results.
    Results {
        /// The value, with the jobs and chunks in it.
        shard: ShardWrite<(JobId, u32)>,
        /// Bitmaps of done tasks, by job and chunk; if empty, the value is deleted.
        chunks: Vec<(JobId, u32, Vec<u8>)>,
    },
    /// Marks a job's record as done.
    JobDone {
        /// Id of the job.
        job: JobId,
        /// Revision of its open record.
        revision: u64,
        /// Number of its tasks.
        tasks: u32,
    },
}

/// The outcome of a batch of writes.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchOutcome {
    /// Written; carries the revision that all written values now have.
    Committed(u64),
    /// Definitely not written, and never will be.
    NotExecuted,
    /// Unknown: it may have been written, or may be later.
    Unknown,
    /// Definitely not written: the state service does not accept a transaction of this size or with
    /// this many changes.
    Rejected,
    /// Nothing was written, because some keys do not have the expected revisions.
    Conflict {
        /// Jobs that another node or a user has closed.
        jobs: Vec<JobId>,
        /// Values of the machine set to which an earlier write was applied late.
        machine_sets: Vec<String>,
        /// Values of results to which an earlier write was applied late.
        results: Vec<String>,
    },
}

/// An input to the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// The job cache has an unfinished job.
    JobOpened {
        /// What the user submitted.
        spec: Arc<JobSpec>,
        /// Time of submission.
        submitted_at: Millis,
        /// Revision of its record.
        revision: u64,
        /// Its tasks that are done according to the stored results.
        done: Option<Bitmap>,
    },
    /// A job was cancelled, or an earlier leader marked it as done.
    JobClosed(JobId),
    /// A worker's heartbeat, which is answered by [`Effect::Respond`].
    Heartbeat(Heartbeat),
    /// A worker's heartbeat relayed by another node, also answered by [`Effect::Respond`].
    RelayedHeartbeat(Heartbeat),
    /// A direct call ended.
    CallFinished {
        /// Name of the machine that was called.
        machine: String,
        /// Id of the call.
        call: CallId,
        /// The outcome.
        outcome: CallOutcome,
    },
    /// A provision request ended.
    ProvisionFinished {
        /// Id of the request, see [`Effect::Provision`].
        request_id: String,
        /// The outcome.
        outcome: ProvisionOutcome,
    },
    /// A request to terminate machines ended.
    TerminateFinished {
        /// Names of the machines.
        names: Vec<String>,
        /// The outcome.
        outcome: TerminateOutcome,
    },
    /// The cloud's list of machines has arrived.
    MachinesListed(Vec<ListedMachine>),
    /// A batch of writes ended.
    WritesFinished {
        /// The writes of the batch.
        writes: Vec<RecordWrite>,
        /// The outcome.
        outcome: BatchOutcome,
    },
    /// The cloud's machine types and prices were read.
    MachineTypes(Vec<MachineType>),
    /// A snapshot of the shared quota ledgers, whose read began in this term.
    QuotaObserved(LedgerSnapshot),
    /// A write to a quota ledger ended.
    LedgerWriteFinished {
        /// The write.
        write: LedgerWrite,
        /// The outcome.
        outcome: WriteOutcome,
    },
    /// Time has passed; sent periodically.
    Tick,
}

/// An output of the scheduler, to be executed by its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Respond to the heartbeat being handled.
    Respond {
        /// The fencing token of the response.
        token: u64,
        /// The commands.
        commands: Vec<Command>,
    },
    /// Call a worker directly; [`Event::CallFinished`] must follow.
    CallWorker {
        /// Name of the machine.
        machine: String,
        /// The worker's address.
        addr: String,
        /// The fencing token of the call.
        token: u64,
        /// The agent epoch in which the commands are valid.
        agent_epoch: u64,
        /// Id of the call.
        call: CallId,
        /// The commands; empty in a probe.
        commands: Vec<Command>,
    },
    /// Provision machines; [`Event::ProvisionFinished`] must follow.
    Provision {
        /// Id of the request, which the cloud executes at most once.
        request_id: String,
        /// The machine type and zone to provision, and whether the machines are spot.
        offer: Offer,
        /// Number of machines.
        number: u32,
    },
    /// Terminate the named machines; [`Event::TerminateFinished`] must follow.
    Terminate(Vec<String>),
    /// Request the cloud's list of machines.
    ListMachines,
    /// Writes are due; fetch them by [`Scheduler::next_writes`](super::Scheduler::next_writes).
    WritesReady,
    /// Write to a shared quota ledger; [`Event::LedgerWriteFinished`] must follow.
    WriteLedger(LedgerWrite),
    /// Resign as leader for the given reason.
    Resign(ResignReason),
    /// Write an event to the log.
    Log(LogEvent),
}
