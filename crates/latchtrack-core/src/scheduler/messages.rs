//! The scheduler's events and effects, and the records that it reads and writes.

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

/// A machine as it stands in the stored set.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredMachine {
    /// Its name.
    pub name: String,
    /// Its machine type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether the cloud may preempt it.
    pub spot: bool,
    /// Where its worker takes direct calls.
    pub addr: String,
}

/// The revisions of the state service that a term begins with.
#[derive(Clone, Copy, Debug)]
pub struct TermRevisions {
    /// That of the leader key: the fencing token.
    pub token: u64,
    /// From this one up to the token nobody led: what was accepted meanwhile was never launched.
    pub leaderless_since: u64,
}

/// A stored value of the machine set.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredMachineSet {
    /// Its name under the prefix of the machine set.
    pub name: String,
    /// The revision of its last change.
    pub revision: u64,
    /// The machines in it; `None` if it can't be read: then any machine may be in it.
    pub machines: Option<Vec<StoredMachine>>,
}

/// A stored value of results.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredResults {
    /// Its name under the prefix of results.
    pub name: String,
    /// The revision of its last change.
    pub revision: u64,
    /// Bits of done tasks, by job and chunk.
    pub chunks: Vec<(JobId, u32, Vec<u8>)>,
}

/// A machine as the cloud lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedMachine {
    /// Its name.
    pub name: String,
    /// Its machine type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether the cloud may preempt it.
    pub spot: bool,
    /// Whether it has failed.
    pub failed: bool,
    /// Up, as far as the cloud knows: its worker may not have been heard yet.
    pub running: bool,
    /// Time since it was created, in ms.
    pub age_ms: Millis,
}

/// How a direct call ended.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// Executed. The worker answers with a heartbeat.
    Executed(Heartbeat),
    /// Not executed, and never will be. The worker answers with a heartbeat.
    Rejected(Heartbeat),
    /// Never sent.
    NotSent,
    /// No answer: may have been executed, or may be later.
    NoAnswer,
}

/// How a provision request ended.
#[derive(Clone, Debug)]
pub enum ProvisionOutcome {
    /// The names of the machines, fewer than asked for if the cloud has no more.
    Provisioned(Vec<String>),
    /// The cloud has no such machine now.
    NoCapacity,
    /// Surely not executed.
    NotExecuted,
    /// Unknown: to be asked again under the same request id.
    Unknown,
}

/// How a request to terminate machines ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TerminateOutcome {
    /// The cloud has terminated them, or has them no more.
    Terminated,
    /// Unknown, or not executed: to be asked again.
    Failed,
}

/// One change for the state service; it costs one put or delete.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordWrite {
    /// A value of the machine set.
    MachineSet {
        /// The value.
        shard: ShardWrite<String>,
        /// What is in it; without machines it is dropped.
        machines: Vec<StoredMachine>,
    },
    /// A value of results.
    Results {
        /// The value.
        shard: ShardWrite<(JobId, u32)>,
        /// Bits of done tasks, by job and chunk; without any the value is dropped.
        chunks: Vec<(JobId, u32, Vec<u8>)>,
    },
    /// The job's record becomes done.
    JobDone {
        /// The job.
        job: JobId,
        /// The revision of its open record.
        revision: u64,
        /// How many tasks it has.
        tasks: u32,
    },
}

/// How a batch of writes ended.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchOutcome {
    /// Written, with the revision that all of it has now.
    Committed(u64),
    /// Surely not written, and never will be.
    NotExecuted,
    /// May have been written, or may be later.
    Unknown,
    /// Surely not written: the state service does not take a transaction like this, by its size or
    /// the number of its changes.
    Rejected,
    /// Nothing was written, since some keys do not have the revisions that were expected.
    Conflict {
        /// Jobs that somebody else has closed.
        jobs: Vec<JobId>,
        /// Values of the machine set of which an earlier write came late.
        machine_sets: Vec<String>,
        /// Values of results of which an earlier write came late.
        results: Vec<String>,
    },
}

/// What happens to the leader.
#[derive(Clone, Debug)]
pub enum Event {
    /// An unfinished job of the job cache.
    JobOpened {
        /// The job.
        spec: Arc<JobSpec>,
        /// When it was submitted.
        submitted_at: Millis,
        /// The revision of its record.
        revision: u64,
        /// Its tasks that are done, as far as that is stored.
        done: Option<Bitmap>,
    },
    /// A job was cancelled, or called done by an earlier leader.
    JobClosed(JobId),
    /// A worker's heartbeat, to which [`Effect::Respond`] is the response.
    Heartbeat(Heartbeat),
    /// The same by way of another node, which its worker could reach.
    RelayedHeartbeat(Heartbeat),
    /// A direct call ended.
    CallFinished {
        /// The machine that was called.
        machine: String,
        /// The call.
        call: CallId,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// A provision request ended.
    ProvisionFinished {
        /// Its id.
        request_id: String,
        /// How it ended.
        outcome: ProvisionOutcome,
    },
    /// A request to terminate machines ended.
    TerminateFinished {
        /// The machines.
        names: Vec<String>,
        /// How it ended.
        outcome: TerminateOutcome,
    },
    /// The cloud's list of machines.
    MachinesListed(Vec<ListedMachine>),
    /// A batch of writes ended.
    WritesFinished {
        /// The batch.
        writes: Vec<RecordWrite>,
        /// How it ended.
        outcome: BatchOutcome,
    },
    /// The cloud's machine types and prices.
    MachineTypes(Vec<MachineType>),
    /// A read of what the cells share, which began in this term.
    QuotaObserved(LedgerSnapshot),
    /// A change of a ledger ended.
    LedgerWriteFinished {
        /// The change.
        write: LedgerWrite,
        /// How it ended.
        outcome: WriteOutcome,
    },
    /// Time has passed.
    Tick,
}

/// What the leader wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The response to the heartbeat that was the event.
    Respond(Vec<Command>),
    /// A direct call to a worker; [`Event::CallFinished`] must follow.
    CallWorker {
        /// The machine.
        machine: String,
        /// The worker's address.
        addr: String,
        /// The agent epoch in which the commands hold.
        agent_epoch: u64,
        /// The call.
        call: CallId,
        /// The commands; none in a probe.
        commands: Vec<Command>,
    },
    /// Provision machines; [`Event::ProvisionFinished`] must follow.
    Provision {
        /// The request's id, under which the cloud executes it once.
        request_id: String,
        /// What to provision.
        offer: Offer,
        /// How many machines.
        number: u32,
    },
    /// Terminate machines; [`Event::TerminateFinished`] must follow.
    Terminate(Vec<String>),
    /// Ask the cloud for its list of machines.
    ListMachines,
    /// Something waits to be written, see
    /// [`Scheduler::next_writes`](super::Scheduler::next_writes).
    WritesReady,
    /// A change of a ledger that the cells share; [`Event::LedgerWriteFinished`] must follow.
    WriteLedger(LedgerWrite),
    /// Stop leading.
    Resign(ResignReason),
    /// An event for the log.
    Log(LogEvent),
}
