//! Log events for operators, and the reasons for which a leader resigns.

use std::fmt;
use std::sync::Arc;

use latchtrack_balance::moves::MoveStage;
use latchtrack_balance::resources::Resources;
use latchtrack_quota::Notice;

use super::decision_log::Decision;
use super::load_balancing::BalanceSummary;
pub use crate::record_shards::RejectedShard;

use crate::job::{JobId, TaskId};
use crate::Millis;

/// How the scheduler discovered a machine that it did not provision in this term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptionSource {
    /// Its worker sent a heartbeat.
    Heartbeat,
    /// The cloud listed it.
    CloudList,
}

/// An event for the log, emitted once per occurrence.
///
/// `Display` writes a constant message followed by the fields as `key=value`.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// A machine that is not in the stored set was found; no leader has launched a task on it.
    MachineAdopted {
        /// Name of the machine.
        machine: String,
        /// How the machine was found.
        source: AdoptionSource,
    },
    /// The cloud lists a machine as failed; it is terminated.
    MachineFailed {
        /// Name of the machine.
        machine: String,
    },
    /// A silent machine is missing from the cloud's list; it is terminated.
    MachineUnlisted {
        /// Name of the machine.
        machine: String,
    },
    /// A machine was silent for longer than the heartbeat timeout; it is terminated.
    MachineUnreachable {
        /// Name of the machine.
        machine: String,
        /// How long it has been silent, in ms.
        silent_ms: Millis,
    },
    /// A machine sent no heartbeat until its worker lease expired; its tasks are requeued.
    WorkerLeaseExpired {
        /// Name of the machine.
        machine: String,
        /// Number of released task runs.
        task_runs: usize,
    },
    /// A machine's heartbeat has a higher agent epoch, so its worker has killed its tasks.
    AgentEpochAdvanced {
        /// Name of the machine.
        machine: String,
        /// Number of lost task runs.
        task_runs: usize,
    },
    /// A machine of an earlier leader did not report this term's token before its worker lease
    /// expired; it is terminated.
    UnreconciledMachineExpired {
        /// Name of the machine.
        machine: String,
        /// Time since the start of this term, in ms.
        term_ms: Millis,
        /// Time from which its lease was counted, in ms since the start of this term.
        lease_from_ms: Millis,
    },
    /// The heartbeat of a machine of an earlier leader carried an older token. Its answer renews the
    /// worker's lease.
    OlderTokenAnswered {
        /// Name of the machine.
        machine: String,
        /// Token in the heartbeat.
        heartbeat_token: u64,
        /// Time since the start of this term, in ms.
        term_ms: Millis,
    },
    /// A machine reported an attempt of this term after the leader had forgotten it: a copy of a
    /// command has launched it once more.
    ForgottenAttemptReported {
        /// Name of the machine.
        machine: String,
        /// Id of the task.
        task: TaskId,
        /// The number of the attempt.
        attempt: u64,
        /// Highest token that the machine has seen.
        heartbeat_token: u64,
    },
    /// A machine sends heartbeats but does not start its tasks; it is terminated.
    LaunchesIgnored {
        /// Name of the machine.
        machine: String,
    },
    /// A machine did not come up in time; it is terminated.
    MachineNeverJoined {
        /// Name of the machine.
        machine: String,
    },
    /// Consecutive tasks ran much longer on a machine than similar tasks elsewhere. It receives no
    /// more tasks and is terminated once it is empty.
    MachineSlow {
        /// Name of the machine.
        machine: String,
    },
    /// Tasks of several jobs failed on a machine; it is terminated.
    JobsFailedOnMachine {
        /// Name of the machine.
        machine: String,
    },
    /// Most machines of a type in a zone have exceeded their boot time.
    BootsLate {
        /// Name of the machine type.
        machine_type: Arc<str>,
        /// Name of the zone.
        zone: Arc<str>,
    },
    /// Boots of a type in a zone are no longer late.
    BootsRecovered {
        /// Name of the machine type.
        machine_type: Arc<str>,
        /// Name of the zone.
        zone: Arc<str>,
    },
    /// No machine of a zone sends heartbeats or answers calls.
    ZoneUnreachable {
        /// Name of the zone.
        zone: Arc<str>,
    },
    /// An unreachable zone is reachable again, or has no machines left.
    ZoneReachable {
        /// Name of the zone.
        zone: Arc<str>,
    },
    /// A task reports a phase that this version does not know.
    UnrecognisedPhase {
        /// Name of the task's machine.
        machine: String,
        /// Id of the task.
        task: TaskId,
    },
    /// A task ended with a cause that this version does not know.
    UnrecognisedExitCause {
        /// Name of the task's machine.
        machine: String,
        /// Id of the task.
        task: TaskId,
    },
    /// All finished tasks of a job have failed; its tasks are tried one at a time.
    JobQuarantined {
        /// Id of the job.
        job: JobId,
        /// Number of machines on which it failed.
        failed_machines: usize,
    },
    /// A task of a quarantined job succeeded or ran long enough; its failures are attributed to
    /// their machines.
    JobRestored {
        /// Id of the job.
        job: JobId,
    },
    /// The first tasks of a starving job are placed.
    StarvingJobStarted {
        /// Id of the job.
        job: JobId,
        /// Time since the job was submitted, in ms.
        age_ms: Millis,
    },
    /// The state service rejected a stored value in a batch of its own, because of its size.
    RecordShardRejected {
        /// The value's name under its prefix.
        shard: String,
        /// What is done with the value.
        action: RejectedShard,
    },
    /// A move of running tasks has started.
    MoveStarted {
        /// Its tasks, machines and loads.
        description: String,
    },
    /// A move has ended.
    MoveEnded {
        /// The task or gang that was to be moved.
        unit: String,
        /// How it ended.
        stage: MoveStage,
    },
    /// The load of a machine can't be computed, because the resources of its type or those in use
    /// are invalid.
    InvalidLoad {
        /// Name of the machine type.
        machine_type: String,
        /// The resources in use.
        used: Resources,
    },
    /// A periodic summary of how balanced the cluster is.
    Balance(Box<BalanceSummary>),
    /// A notice about quota shared by several cells.
    Quota(Notice),
    /// A decision about a task run; only if decisions are logged.
    Decision(Box<Decision>),
}

impl LogEvent {
    /// Returns the constant message; empty for events whose text comes from another crate.
    fn message(&self) -> &'static str {
        match self {
            LogEvent::MachineAdopted { .. } => "machine adopted",
            LogEvent::MachineFailed { .. } => "machine failed, terminating it",
            LogEvent::MachineUnlisted { .. } => {
                "silent machine missing from the cloud's list, terminating it"
            }
            LogEvent::MachineUnreachable { .. } => "machine heartbeat timed out, terminating it",
            LogEvent::WorkerLeaseExpired { .. } => "worker lease expired, task runs released",
            LogEvent::AgentEpochAdvanced { .. } => {
                "machine has a new agent epoch, task runs released"
            }
            LogEvent::UnreconciledMachineExpired { .. } => {
                "worker lease of unreconciled machine expired, terminating it"
            }
            LogEvent::OlderTokenAnswered { .. } => "heartbeat with an older token answered",
            LogEvent::ForgottenAttemptReported { .. } => "forgotten attempt reported again",
            LogEvent::LaunchesIgnored { .. } => "machine ignores launches, terminating it",
            LogEvent::MachineNeverJoined { .. } => "machine never joined, terminating it",
            LogEvent::MachineSlow { .. } => "machine is slow, terminating it once it is empty",
            LogEvent::JobsFailedOnMachine { .. } => {
                "tasks of several jobs failed on machine, terminating it"
            }
            LogEvent::BootsLate { .. } => "machine boots are late",
            LogEvent::BootsRecovered { .. } => "machine boots are no longer late",
            LogEvent::ZoneUnreachable { .. } => "zone is unreachable",
            LogEvent::ZoneReachable { .. } => "zone is no longer unreachable",
            LogEvent::UnrecognisedPhase { .. } => "task is in a phase unknown to this version",
            LogEvent::UnrecognisedExitCause { .. } => {
                "task ended with a cause unknown to this version"
            }
            LogEvent::JobQuarantined { .. } => "job quarantined, trying one task at a time",
            LogEvent::JobRestored { .. } => "job is no longer quarantined",
            LogEvent::StarvingJobStarted { .. } => "starving job started",
            LogEvent::RecordShardRejected { .. } => "record shard rejected by the state service",
            LogEvent::MoveStarted { .. } => "move started",
            LogEvent::MoveEnded { .. } => "move ended",
            LogEvent::InvalidLoad { .. } => {
                "machine type has invalid amounts, cannot compute its load"
            }
            LogEvent::Balance(_) => "load balance",
            LogEvent::Quota(_) | LogEvent::Decision(_) => "",
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
            LogEvent::UnreconciledMachineExpired { machine, term_ms, lease_from_ms } => {
                write!(f, " machine={machine} term_ms={term_ms} lease_from_ms={lease_from_ms}")
            }
            LogEvent::OlderTokenAnswered { machine, heartbeat_token, term_ms } => {
                write!(f, " machine={machine} heartbeat_token={heartbeat_token} term_ms={term_ms}")
            }
            LogEvent::ForgottenAttemptReported { machine, task, attempt, heartbeat_token } => {
                write!(
                f,
                " machine={machine} task={task} attempt={attempt} heartbeat_token={heartbeat_token}"
            )
            }
            LogEvent::MachineFailed { machine }
            | LogEvent::MachineUnlisted { machine }
            | LogEvent::LaunchesIgnored { machine }
            | LogEvent::MachineNeverJoined { machine }
            | LogEvent::MachineSlow { machine }
            | LogEvent::JobsFailedOnMachine { machine } => write!(f, " machine={machine}"),
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
            LogEvent::Decision(decision) => decision.fmt(f),
        }
    }
}

/// Writes the fields of a balance summary, each with a leading space.
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

/// Why a leader resigns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResignReason {
    /// A worker holds a higher fencing token, so another node has become leader.
    HigherToken,
    /// No zone is reachable any more, although some machine has sent a heartbeat in this term.
    NoZoneReachable,
    /// All heartbeats are relayed by other nodes, which can also call the workers directly.
    HeartbeatsOnlyRelayed,
}

impl ResignReason {
    /// Returns the reason as it appears in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            ResignReason::HigherToken => "a worker holds a higher fencing token",
            ResignReason::NoZoneReachable => "no zone is reachable",
            ResignReason::HeartbeatsOnlyRelayed => "all heartbeats are relayed by other nodes",
        }
    }
}

impl fmt::Display for ResignReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
