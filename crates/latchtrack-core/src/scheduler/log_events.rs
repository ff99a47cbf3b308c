//! What the scheduler has to tell an operator: log events, and the reasons to stop leading.

use std::fmt;
use std::sync::Arc;

use latchtrack_balance::moves::MoveStage;
use latchtrack_balance::resources::Resources;
use latchtrack_quota::Notice;

use super::load_balancing::BalanceSummary;
pub use crate::record_shards::RejectedShard;

use crate::job::{JobId, TaskId};
use crate::Millis;

/// Where the scheduler learnt of a machine that it did not provision in this term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptionSource {
    /// Its worker sent a heartbeat.
    Heartbeat,
    /// The cloud's list has it.
    CloudList,
}

/// An event for the log, emitted once each.
///
/// `Display` writes a constant message, followed by the values as `key=value`.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// A machine that is not in the stored set was found; no leader has launched anything on it.
    MachineAdopted {
        /// Its name.
        machine: String,
        /// How it was found.
        source: AdoptionSource,
    },
    /// The cloud lists a machine as failed. It is terminated.
    MachineFailed {
        /// Its name.
        machine: String,
    },
    /// A silent machine is not in the cloud's list any more. It is terminated.
    MachineUnlisted {
        /// Its name.
        machine: String,
    },
    /// A machine was silent for longer than the heartbeat timeout. It is terminated.
    MachineUnreachable {
        /// Its name.
        machine: String,
        /// For how long it has been silent, in ms.
        silent_ms: Millis,
    },
    /// Nobody can have answered a machine for its worker lease: its tasks are placed elsewhere.
    WorkerLeaseExpired {
        /// Its name.
        machine: String,
        /// How many task runs were on it.
        task_runs: usize,
    },
    /// A machine's heartbeat has a higher agent epoch: its worker has killed its tasks.
    AgentEpochAdvanced {
        /// Its name.
        machine: String,
        /// How many task runs were lost.
        task_runs: usize,
    },
    /// A machine of an earlier leader never showed this term's token, and its worker lease is over.
    /// It is terminated.
    UnreconciledMachineExpired {
        /// Its name.
        machine: String,
        /// Time since this term began, in ms.
        term_ms: Millis,
    },
    /// A machine sends heartbeats, but does not start what it is told to. It is terminated.
    LaunchesIgnored {
        /// Its name.
        machine: String,
    },
    /// A machine did not come up in time. It is terminated.
    MachineNeverJoined {
        /// Its name.
        machine: String,
    },
    /// Tasks in a row ran much longer on a machine than their like elsewhere: it gets no more.
    MachineSlow {
        /// Its name.
        machine: String,
    },
    /// Different jobs fail on a machine. It is terminated.
    MachineFailsJobs {
        /// Its name.
        machine: String,
    },
    /// Most machines of a type in a zone that should be up are not.
    BootsLate {
        /// The machine type.
        machine_type: Arc<str>,
        /// The zone.
        zone: Arc<str>,
    },
    /// Boots of a type in a zone are not late any more.
    BootsRecovered {
        /// The machine type.
        machine_type: Arc<str>,
        /// The zone.
        zone: Arc<str>,
    },
    /// Nothing is heard of a zone.
    ZoneUnreachable {
        /// The zone.
        zone: Arc<str>,
    },
    /// An unreachable zone is heard again, or has no machines left.
    ZoneReachable {
        /// The zone.
        zone: Arc<str>,
    },
    /// A task is in a phase that this version does not know.
    UnrecognisedPhase {
        /// Its machine.
        machine: String,
        /// The task.
        task: TaskId,
    },
    /// A task ended for a cause that this version does not know.
    UnrecognisedExitCause {
        /// Its machine.
        machine: String,
        /// The task.
        task: TaskId,
    },
    /// A job has shown nothing but failures: it is tried one task at a time.
    JobQuarantined {
        /// The job.
        job: JobId,
        /// On how many machines it failed.
        failed_machines: usize,
    },
    /// A task of a quarantined job did well: its failures were its machines' fault.
    JobRestored {
        /// The job.
        job: JobId,
    },
    /// The first tasks of a starving job are placed.
    StarvingJobStarted {
        /// The job.
        job: JobId,
        /// Time since it was submitted, in ms.
        age_ms: Millis,
    },
    /// The state service rejected a stored value by itself.
    RecordShardRejected {
        /// The value's name under its prefix.
        shard: String,
        /// What happens to it.
        action: RejectedShard,
    },
    /// A move of running tasks starts.
    MoveStarted {
        /// Its tasks, machines and loads.
        description: String,
    },
    /// A move is over.
    MoveEnded {
        /// The task or gang.
        unit: String,
        /// How it ended.
        stage: MoveStage,
    },
    /// The load of machines of a type can't be computed from these amounts.
    InvalidLoad {
        /// The machine type.
        machine_type: String,
        /// The amounts in use.
        used: Resources,
    },
    /// How balanced the cluster is.
    Balance(Box<BalanceSummary>),
    /// A notice of the quota shared among cells.
    Quota(Notice),
}

impl LogEvent {
    /// The constant message of an event; none of those that other crates word.
    fn message(&self) -> &'static str {
        match self {
            LogEvent::MachineAdopted { .. } => "machine adopted",
            LogEvent::MachineFailed { .. } => "machine failed, terminating it",
            LogEvent::MachineUnlisted { .. } => {
                "silent machine is not in the cloud's list any more, terminating it"
            }
            LogEvent::MachineUnreachable { .. } => "heartbeat timeout of machine, terminating it",
            LogEvent::WorkerLeaseExpired { .. } => "worker lease expired, task runs released",
            LogEvent::AgentEpochAdvanced { .. } => {
                "machine has a new agent epoch, task runs released"
            }
            LogEvent::UnreconciledMachineExpired { .. } => {
                "worker lease of unreconciled machine expired, terminating it"
            }
            LogEvent::LaunchesIgnored { .. } => "machine ignores launches, terminating it",
            LogEvent::MachineNeverJoined { .. } => "machine never joined, terminating it",
            LogEvent::MachineSlow { .. } => "machine is slow",
            LogEvent::MachineFailsJobs { .. } => "machine fails different jobs, terminating it",
            LogEvent::BootsLate { .. } => "boots are late",
            LogEvent::BootsRecovered { .. } => "boots are not late any more",
            LogEvent::ZoneUnreachable { .. } => "zone is unreachable",
            LogEvent::ZoneReachable { .. } => "zone is not unreachable any more",
            LogEvent::UnrecognisedPhase { .. } => "task is in a phase unknown to this version",
            LogEvent::UnrecognisedExitCause { .. } => {
                "task ended for a cause unknown to this version"
            }
            LogEvent::JobQuarantined { .. } => "job quarantined, trying one task at a time",
            LogEvent::JobRestored { .. } => "job is not quarantined any more",
            LogEvent::StarvingJobStarted { .. } => "starving job starts",
            LogEvent::RecordShardRejected { .. } => "record shard rejected by the state service",
            LogEvent::MoveStarted { .. } => "move started",
            LogEvent::MoveEnded { .. } => "move ended",
            LogEvent::InvalidLoad { .. } => "machine type has invalid amounts",
            LogEvent::Balance(_) => "balance",
            LogEvent::Quota(_) => "",
        }
    }
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.message())?;
        match self {
            LogEvent::MachineAdopted { machine, source } => {
                write!(f, " machine={machine} source={source}")
            }
            LogEvent::MachineUnreachable { machine, silent_ms } => {
                write!(f, " machine={machine} silent_ms={silent_ms}")
            }
            LogEvent::WorkerLeaseExpired { machine, task_runs }
            | LogEvent::AgentEpochAdvanced { machine, task_runs } => {
                write!(f, " machine={machine} task_runs={task_runs}")
            }
            LogEvent::UnreconciledMachineExpired { machine, term_ms } => {
                write!(f, " machine={machine} term_ms={term_ms}")
            }
            LogEvent::MachineFailed { machine }
            | LogEvent::MachineUnlisted { machine }
            | LogEvent::LaunchesIgnored { machine }
            | LogEvent::MachineNeverJoined { machine }
            | LogEvent::MachineSlow { machine }
            | LogEvent::MachineFailsJobs { machine } => write!(f, " machine={machine}"),
            LogEvent::BootsLate { machine_type, zone }
            | LogEvent::BootsRecovered { machine_type, zone } => {
                write!(f, " machine_type={machine_type} zone={zone}")
            }
            LogEvent::ZoneUnreachable { zone } | LogEvent::ZoneReachable { zone } => {
                write!(f, " zone={zone}")
            }
            LogEvent::UnrecognisedPhase { machine, task }
            | LogEvent::UnrecognisedExitCause { machine, task } => {
                write!(f, " machine={machine} task={task}")
            }
            LogEvent::JobQuarantined { job, failed_machines } => {
                write!(f, " job={job} failed_machines={failed_machines}")
            }
            LogEvent::JobRestored { job } => write!(f, " job={job}"),
            LogEvent::StarvingJobStarted { job, age_ms } => {
                write!(f, " job={job} age_ms={age_ms}")
            }
            LogEvent::RecordShardRejected { shard, action } => {
                write!(f, " shard={shard} action={action}")
            }
            LogEvent::MoveStarted { description } => write!(f, " move=\"{description}\""),
            LogEvent::MoveEnded { unit, stage } => write!(f, " unit=\"{unit}\" stage=\"{stage}\""),
            LogEvent::InvalidLoad { machine_type, used } => {
                write!(f, " machine_type={machine_type} used=\"{used:?}\"")
            }
            LogEvent::Balance(summary) => write_balance(f, summary),
            LogEvent::Quota(notice) => notice.fmt(f),
        }
    }
}

/// Writes the fields of a balance summary.
fn write_balance(f: &mut fmt::Formatter<'_>, summary: &BalanceSummary) -> fmt::Result {
    let (spread, counts) = (summary.spread, summary.counts);
    write!(
        f,
        " spread={:.2} greatest_load={:.2} mean_load={:.2} over_bound={} hot_teams=\"{}\" \
         moves_begun={} moves_settled={} moves_abandoned={}",
        spread.ratio(),
        spread.greatest,
        spread.mean,
        summary.over_bound,
        summary.hot_teams.join(", "),
        counts.begun,
        counts.settled,
        counts.abandoned
    )
}

impl fmt::Display for AdoptionSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AdoptionSource::Heartbeat => "heartbeat",
            AdoptionSource::CloudList => "cloud_list",
        })
    }
}

impl fmt::Display for RejectedShard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RejectedShard::Split => "split",
            RejectedShard::Abandoned => "abandoned",
        })
    }
}

/// Why a leader stops leading of its own accord.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResignReason {
    /// A worker holds a higher fencing token, so that another node leads.
    HigherToken,
    /// No machine is heard any more, though one was in this term.
    NoZoneReachable,
    /// All heartbeats come by way of other nodes, which can also call the workers.
    HeartbeatsOnlyRelayed,
}

impl ResignReason {
    /// The reason in words.
    pub fn as_str(self) -> &'static str {
        match self {
            ResignReason::HigherToken => "a machine holds a higher fencing token",
            ResignReason::NoZoneReachable => "no zone is reachable",
            ResignReason::HeartbeatsOnlyRelayed => "heartbeats come by way of other nodes only",
        }
    }
}

impl fmt::Display for ResignReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
