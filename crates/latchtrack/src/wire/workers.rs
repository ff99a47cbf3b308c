//! Messages between workers and nodes.

use latchtrack_core::machine::{Command, ExitCause, Heartbeat, TaskPhase, TaskStatus};
use serde::{Deserialize, Serialize};

/// Why a report is of no use.
#[derive(Debug, thiserror::Error)]
pub enum BadReport {
    #[error("not a report: {0}")]
    Json(#[from] serde_json::Error),
    #[error("task {0}: {1}")]
    Task(String, &'static str),
    #[error("{0} is out of range")]
    Range(&'static str),
}

#[derive(Deserialize)]
struct ReportDto {
    host: String,
    addr: String,
    #[serde(rename = "build")]
    kind: String,
    #[serde(rename = "yard")]
    zone: String,
    #[serde(rename = "loaners", default)]
    spot: Option<bool>,
    #[serde(rename = "shift")]
    session: u64,
    #[serde(rename = "tally")]
    seq: u64,
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

/// What a state means. One that this version does not know is no reason to lose a machine with all that
/// is on it.
fn phase(state: &str) -> TaskPhase {
    match state {
        "pulling" => TaskPhase::Fetching,
        "waiting" => TaskPhase::Waiting,
        "running" => TaskPhase::Running,
        "flushing" => TaskPhase::Checkpointing,
        _ => TaskPhase::Unrecognised,
    }
}

/// What the cause of an end means.
fn cause(cause: Option<&str>) -> ExitCause {
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

/// Reads a report; also the body of a direct call's answer.
pub fn parse_report(body: &[u8]) -> Result<Heartbeat, BadReport> {
    let dto: ReportDto = serde_json::from_slice(body)?;
    let mut tasks = Vec::new();
    for t in dto.tasks.unwrap_or_default() {
        let Ok(task) = t.task.parse() else { return Err(BadReport::Task(t.task, "no task id")) };
        let phase = match t.status.as_str() {
            "ended" => TaskPhase::Ended(cause(t.cause.as_deref())),
            state => phase(state),
        };
        tasks.push(TaskStatus { task, attempt: t.attempt, phase });
    }
    if dto.notice_s.is_some_and(|n| !n.is_finite()) {
        return Err(BadReport::Range("recall_s"));
    }
    // Sessions start at 1; 0 stands for a machine that was never heard.
    if dto.session == 0 {
        return Err(BadReport::Range("shift"));
    }
    Ok(Heartbeat {
        machine: dto.host,
        addr: dto.addr,
        kind: dto.kind,
        zone: dto.zone,
        spot: dto.spot.unwrap_or(false),
        agent_epoch: dto.session,
        sequence: dto.seq,
        token: dto.token.unwrap_or(0),
        notice_s: dto.notice_s,
        tasks,
    })
}

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
    fn from(c: &Command) -> Self {
        let (op, task, attempt, grace_s) = match c {
            Command::Launch { task, attempt } => ("launch", task, attempt, None),
            Command::Stop { task, attempt, grace_s } => ("stop", task, attempt, Some(*grace_s)),
            Command::Forget { task, attempt } => ("forget", task, attempt, None),
        };
        CommandDto { op, task: task.to_string(), attempt: *attempt, grace_s }
    }
}

/// The answer to a report.
#[derive(Serialize)]
pub struct Orders {
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<CommandDto>,
}

/// A direct call.
#[derive(Serialize)]
pub struct Call {
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "shift")]
    pub session: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<CommandDto>,
}

/// The answer of a node that is not the leader.
#[derive(Serialize)]
pub struct Elsewhere<'a> {
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<&'a str>,
}
