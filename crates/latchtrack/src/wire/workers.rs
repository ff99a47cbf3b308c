//! Messages between workers and nodes.

use latchtrack_core::machine::{Command, ExitCause, Heartbeat, TaskPhase, TaskStatus};
use serde::{Deserialize, Serialize};

/// Error in a heartbeat. The texts are sent to the worker.
#[derive(Debug, thiserror::Error)]
pub enum HeartbeatError {
    /// The body is not valid JSON, or a field is missing or of the wrong type.
    #[error("not a report: {0}")]
    Json(#[from] serde_json::Error),
    /// A task id can't be parsed. Contains the id and the reason.
    #[error("task {0}: {1}")]
    Task(String, &'static str),
    /// A number is out of range. Contains the name of its field.
    #[error("{0} is out of range")]
    Range(&'static str),
}

#[derive(Deserialize)]
struct HeartbeatDto {
    host: String,
    addr: String,
    #[serde(rename = "build")]
    machine_type: String,
    #[serde(rename = "yard")]
    zone: String,
    #[serde(rename = "loaners", default)]
    spot: Option<bool>,
    #[serde(rename = "shift")]
    agent_epoch: u64,
    #[serde(rename = "tally")]
    sequence: u64,
    #[serde(rename = "baton", default)]
    token: Option<u64>,
    #[serde(rename = "recall_s", default)]
    notice_s: Option<f64>,
    #[serde(rename = "pieces", default)]
    tasks: Option<Vec<TaskDto>>,
}

#[derive(Deserialize)]
struct TaskDto {
    #[serde(rename = "piece")]
    task: String,
    #[serde(rename = "try")]
    attempt: u64,
    status: String,
    #[serde(default)]
    cause: Option<String>,
}

/// Parses the phase of a task that has not ended. An unknown phase is accepted, since rejecting the
/// heartbeat would lose the machine with all of its tasks.
fn parse_phase(status: &str) -> TaskPhase {
    match status {
        "pulling" => TaskPhase::Fetching,
        "waiting" => TaskPhase::Waiting,
        "running" => TaskPhase::Running,
        "flushing" => TaskPhase::Checkpointing,
        _ => TaskPhase::Unrecognised,
    }
}

/// Parses the reason why a task has ended.
fn parse_cause(cause: Option<&str>) -> ExitCause {
    match cause {
        Some("done") => ExitCause::Done,
        Some("halted") => ExitCause::Stopped,
        Some("error") => ExitCause::Failed,
        Some("no_room") => ExitCause::InsufficientResources,
        Some("busy") => ExitCause::DuplicateTask,
        Some("unknown") => ExitCause::UnknownTask,
        Some("peers") => ExitCause::GangPeerLost,
        Some("alone") => ExitCause::GangIncomplete,
        _ => ExitCause::Unrecognised,
    }
}

/// Parses a heartbeat, which is also the body of the response to a direct call.
pub fn parse_heartbeat(body: &[u8]) -> Result<Heartbeat, HeartbeatError> {
    let dto: HeartbeatDto = serde_json::from_slice(body)?;
    let mut tasks = Vec::new();
    for status in dto.tasks.unwrap_or_default() {
        let Ok(task) = status.task.parse() else {
            return Err(HeartbeatError::Task(status.task, "no task id"));
        };
        let phase = match status.status.as_str() {
            "ended" => TaskPhase::Ended(parse_cause(status.cause.as_deref())),
            other => parse_phase(other),
        };
        tasks.push(TaskStatus { task, attempt: status.attempt, phase });
    }
    if dto.notice_s.is_some_and(|n| !n.is_finite()) {
        return Err(HeartbeatError::Range("recall_s"));
    }
    // Agent epochs start at 1; 0 stands for a machine that has not sent a heartbeat yet.
    if dto.agent_epoch == 0 {
        return Err(HeartbeatError::Range("shift"));
    }
    Ok(Heartbeat {
        machine: dto.host,
        addr: dto.addr,
        machine_type: dto.machine_type,
        zone: dto.zone,
        spot: dto.spot.unwrap_or(false),
        agent_epoch: dto.agent_epoch,
        sequence: dto.sequence,
        token: dto.token.unwrap_or(0),
        notice_s: dto.notice_s,
        tasks,
    })
}

/// A command for a worker.
#[derive(Serialize)]
pub struct CommandDto {
    #[serde(rename = "verb")]
    op: &'static str,
    #[serde(rename = "piece")]
    task: String,
    #[serde(rename = "try")]
    attempt: u64,
    #[serde(rename = "wind_down_s", skip_serializing_if = "Option::is_none")]
    grace_s: Option<f64>,
}

impl From<&Command> for CommandDto {
    fn from(command: &Command) -> Self {
        let (op, task, attempt, grace_s) = match command {
            Command::Launch { task, attempt } => ("launch", task, attempt, None),
            Command::Stop { task, attempt, grace_s } => ("stop", task, attempt, Some(*grace_s)),
            Command::Forget { task, attempt } => ("forget", task, attempt, None),
        };
        CommandDto { op, task: task.to_string(), attempt: *attempt, grace_s }
    }
}

/// The leader's response to a heartbeat.
#[derive(Serialize)]
pub struct HeartbeatAnswer {
    /// Fencing token of the leader for this worker.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Commands to execute in order.
    #[serde(rename = "orders")]
    pub commands: Vec<CommandDto>,
}

/// A call from the leader to a worker, outside of heartbeats.
#[derive(Serialize)]
pub struct DirectCall {
    /// Fencing token of the leader for this worker.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Agent epoch that the commands apply to; a worker with another epoch refuses them.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// Commands to execute in order.
    #[serde(rename = "orders")]
    pub commands: Vec<CommandDto>,
}

/// Response to a heartbeat from a node that is not the leader.
#[derive(Serialize)]
pub struct Redirect<'a> {
    /// Name of the leader, if known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub leader: Option<&'a str>,
}
