//! What happens to the leader, what it wants done, and what is stored.

use std::sync::Arc;

use latchtrack_quota::{LedgerWrite, View, WriteOutcome};

use crate::bitmap::Bitmap;
use crate::job::{JobId, JobSpec};
use crate::machine::{Command, MachineType, Report};
use crate::packs::PackWrite;
use crate::placement::Offer;
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
pub struct Stamps {
    /// Of the leader key: the token.
    pub token: u64,
    /// From this one up to the token nobody led: what was accepted meanwhile was never launched.
    pub vacant: u64,
}

/// A stored value of the machine set, with its stamp.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredFleet {
    pub name: String,
    pub stamp: u64,
    /// None if it can't be read: then any machine may be in it.
    pub machines: Option<Vec<StoredMachine>>,
}

/// A stored value of results, with its stamp: bits of done tasks by job and chunk.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredResults {
    pub name: String,
    pub stamp: u64,
    pub chunks: Vec<(JobId, u32, Vec<u8>)>,
}

/// A machine as the cloud lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
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
    Done(Report),
    /// 409: not executed, and never will be.
    Refused(Report),
    /// Never sent.
    NotSent,
    /// No answer: may have been executed, or may be later.
    Lost,
}

/// How a rental ended.
#[derive(Clone, Debug)]
pub enum HireOutcome {
    Machines(Vec<String>),
    NoCapacity,
    /// Surely not executed.
    NotDone,
    /// Unknown: to be asked again under the same name.
    Lost,
}

/// One change for the state service; it costs one put or delete.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// A value of the machine set; without machines it is dropped.
    Fleet { pack: PackWrite<String>, machines: Vec<StoredMachine> },
    /// A value of results; without any it is dropped.
    Results { pack: PackWrite<(JobId, u32)>, chunks: Vec<(JobId, u32, Vec<u8>)> },
    /// The job's record becomes done. `stamp` is that of the open record.
    Done { job: JobId, stamp: u64, tasks: u32 },
}

/// How a batch of writes ended.
#[derive(Clone, Debug, PartialEq)]
pub enum SaveOutcome {
    /// With the stamp that all of it has now.
    Ok(u64),
    /// Surely not written, and never will be.
    NotDone,
    /// May have been written, or may be later.
    Unknown,
    /// Surely not written: the state service does not take a transaction like this, by its size or the
    /// number of its changes.
    Refused,
    /// Nothing was written, since these have changed: jobs closed by somebody else, values of
    /// which an earlier write came late.
    Conflict { jobs: Vec<JobId>, fleet: Vec<String>, results: Vec<String> },
}

/// What happens to the leader.
#[derive(Clone, Debug)]
pub enum Event {
    /// An unfinished job of the cache.
    Job {
        spec: Arc<JobSpec>,
        submitted_at: Millis,
        stamp: u64,
        done: Option<Bitmap>,
    },
    /// A job was cancelled, or called done by an earlier leader.
    Closed(JobId),
    Report(Report),
    /// The same by way of another node, which its worker could reach.
    Relayed(Report),
    Called {
        machine: String,
        call: u64,
        outcome: CallOutcome,
    },
    Hired {
        hire: String,
        outcome: HireOutcome,
    },
    Returned {
        names: Vec<String>,
        ok: bool,
    },
    Listed(Vec<Listed>),
    Saved {
        writes: Vec<Write>,
        outcome: SaveOutcome,
    },
    /// The cloud's types and prices.
    Types(Vec<MachineType>),
    /// A look at what the cells share, which began in this term.
    Quota(View),
    QuotaWritten {
        write: LedgerWrite,
        outcome: WriteOutcome,
    },
    Tick,
}

/// What the leader wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The answer to the report that was the event.
    Answer(Vec<Command>),
    Call {
        machine: String,
        addr: String,
        session: u64,
        call: u64,
        commands: Vec<Command>,
    },
    Hire {
        hire: String,
        offer: Offer,
        number: u32,
    },
    Return(Vec<String>),
    /// Ask the cloud for its list.
    List,
    /// Something waits to be written: ask [`Cluster::next_writes`].
    Save,
    /// A change of what the cells share.
    WriteQuota(LedgerWrite),
    /// A higher token has been seen, or our workers hear us no more: stop leading.
    Resign(&'static str),
    /// For the log, once each.
    Note(String),
}
