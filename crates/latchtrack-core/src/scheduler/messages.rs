//! What happens to the leader, what it wants done, and what is stored.

use std::sync::Arc;

use latchtrack_quota::{LedgerSnapshot, LedgerWrite, WriteOutcome};

use super::log_events::{LogEvent, ResignReason};
use crate::bitmap::Bitmap;
use crate::job::{JobId, JobSpec};
use crate::machine::{Command, Heartbeat, MachineType};
use crate::placement::Offer;
use crate::record_shards::ShardWrite;
use crate::Millis;

/// A machine as it stands in the stored set.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredMachine {
    pub name: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub addr: String,
}

/// The stamps of the state service that a term begins with.
#[derive(Clone, Copy, Debug)]
pub struct TermRevisions {
    /// Of the leader key: the token.
    pub token: u64,
    /// From this one up to the token nobody led: what was accepted meanwhile was never launched.
    pub leaderless_since: u64,
}

/// A stored value of the machine set, with its stamp.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredMachineSet {
    pub name: String,
    pub revision: u64,
    /// None if it can't be read: then any machine may be in it.
    pub machines: Option<Vec<StoredMachine>>,
}

/// A stored value of results, with its stamp: bits of done tasks by job and chunk.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredResults {
    pub name: String,
    pub revision: u64,
    pub chunks: Vec<(JobId, u32, Vec<u8>)>,
}

/// A machine as the cloud lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedMachine {
    pub name: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub failed: bool,
    /// Up, as far as the cloud knows: its worker may not have been heard yet.
    pub running: bool,
    pub age_ms: Millis,
}

/// How a direct call ended.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// 200: executed.
    Executed(Heartbeat),
    /// 409: not executed, and never will be.
    Rejected(Heartbeat),
    /// Never sent.
    NotSent,
    /// No answer: may have been executed, or may be later.
    NoAnswer,
}

/// How a rental ended.
#[derive(Clone, Debug)]
pub enum ProvisionOutcome {
    Provisioned(Vec<String>),
    NoCapacity,
    /// Surely not executed.
    NotExecuted,
    /// Unknown: to be asked again under the same name.
    Unknown,
}

/// One change for the state service; it costs one put or delete.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordWrite {
    /// A value of the machine set; without machines it is dropped.
    MachineSet { pack: ShardWrite<String>, machines: Vec<StoredMachine> },
    /// A value of results; without any it is dropped.
    Results { pack: ShardWrite<(JobId, u32)>, chunks: Vec<(JobId, u32, Vec<u8>)> },
    /// The job's record becomes done. `stamp` is that of the open record.
    JobDone { job: JobId, revision: u64, tasks: u32 },
}

/// How a batch of writes ended.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchOutcome {
    /// With the stamp that all of it has now.
    Committed(u64),
    /// Surely not written, and never will be.
    NotExecuted,
    /// May have been written, or may be later.
    Unknown,
    /// Surely not written: the state service does not take a transaction like this, by its size or the
    /// number of its changes.
    Rejected,
    /// Nothing was written, since these have changed: jobs closed by somebody else, values of
    /// which an earlier write came late.
    Conflict { jobs: Vec<JobId>, fleet: Vec<String>, results: Vec<String> },
}

/// What happens to the leader.
#[derive(Clone, Debug)]
pub enum Event {
    /// An unfinished job of the cache.
    JobOpened {
        spec: Arc<JobSpec>,
        submitted_at: Millis,
        revision: u64,
        done: Option<Bitmap>,
    },
    /// A job was cancelled, or called done by an earlier leader.
    JobClosed(JobId),
    Heartbeat(Heartbeat),
    /// The same by way of another node, which its worker could reach.
    RelayedHeartbeat(Heartbeat),
    CallFinished {
        machine: String,
        call: u64,
        outcome: CallOutcome,
    },
    ProvisionFinished {
        request_id: String,
        outcome: ProvisionOutcome,
    },
    TerminateFinished {
        names: Vec<String>,
        ok: bool,
    },
    MachinesListed(Vec<ListedMachine>),
    WritesFinished {
        writes: Vec<RecordWrite>,
        outcome: BatchOutcome,
    },
    /// The cloud's types and prices.
    MachineTypes(Vec<MachineType>),
    /// A look at what the cells share, which began in this term.
    QuotaObserved(LedgerSnapshot),
    LedgerWriteFinished {
        write: LedgerWrite,
        outcome: WriteOutcome,
    },
    Tick,
}

/// What the leader wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The answer to the report that was the event.
    Respond(Vec<Command>),
    CallWorker {
        machine: String,
        addr: String,
        agent_epoch: u64,
        call: u64,
        commands: Vec<Command>,
    },
    Provision {
        request_id: String,
        offer: Offer,
        number: u32,
    },
    Terminate(Vec<String>),
    /// Ask the cloud for its list.
    ListMachines,
    /// Something waits to be written: ask [`Cluster::next_writes`].
    WritesReady,
    /// A change of what the cells share.
    WriteLedger(LedgerWrite),
    /// A higher token has been seen, or our workers hear us no more: stop leading.
    Resign(ResignReason),
    /// For the log, once each.
    Log(LogEvent),
}
