//! Messages between users and nodes.

use latchtrack_core::constants::MAX_TASKS;
use latchtrack_core::job::{JobId, JobSpec, Priority, Resources};
use serde::Serialize;
use serde_json::{Map, Value};

use crate::constants::{MAX_AMOUNT, MAX_NAME_BYTES};

/// Why a submission is malformed; names the field. The texts are part of the answer to the user.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum SubmissionError {
    /// The body can't be parsed.
    #[error("the body is not JSON")]
    NotJson,
    /// The body is JSON of another kind.
    #[error("the body is not an object")]
    NotObject,
    /// This field is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// This field can't be used, for this reason.
    #[error("{0} is invalid: {1}")]
    Invalid(&'static str, &'static str),
    /// The record has more bytes than a value may have: both numbers.
    #[error("the job is too large for its record: {0} of {1} bytes")]
    TooLarge(usize, usize),
}

use SubmissionError::{Invalid, Missing};

/// Reads the body as an object, and its job's id: whether the job is known is decided before the
/// other fields are read.
pub fn parse_id(body: &[u8]) -> Result<(JobId, Map<String, Value>), SubmissionError> {
    let value: Value = serde_json::from_slice(body).map_err(|_| SubmissionError::NotJson)?;
    let Value::Object(map) = value else { return Err(SubmissionError::NotObject) };
    let id = text(&map, "name_id")?
        .parse()
        .map_err(|_| Invalid("name_id", "must have the form req-000412"))?;
    Ok((id, map))
}

fn get<'a>(map: &'a Map<String, Value>, name: &'static str) -> Option<&'a Value> {
    map.get(name).filter(|v| !v.is_null())
}

fn text<'a>(map: &'a Map<String, Value>, name: &'static str) -> Result<&'a str, SubmissionError> {
    let s = get(map, name).ok_or(Missing(name))?.as_str().ok_or(Invalid(name, "not a string"))?;
    if s.is_empty() || s.len() > MAX_NAME_BYTES {
        return Err(Invalid(name, "empty or too long"));
    }
    Ok(s)
}

fn optional_amount(
    map: &Map<String, Value>,
    name: &'static str,
) -> Result<Option<f64>, SubmissionError> {
    let Some(v) = get(map, name) else { return Ok(None) };
    let n = v.as_f64().ok_or(Invalid(name, "not a number"))?;
    if !n.is_finite() || !(0.0..=MAX_AMOUNT).contains(&n) {
        return Err(Invalid(name, "must be from 0 to 1e9"));
    }
    Ok(Some(n))
}

fn required_amount(map: &Map<String, Value>, name: &'static str) -> Result<f64, SubmissionError> {
    optional_amount(map, name)?.ok_or(Missing(name))
}

fn flag(map: &Map<String, Value>, name: &'static str) -> Result<bool, SubmissionError> {
    get(map, name).ok_or(Missing(name))?.as_bool().ok_or(Invalid(name, "not true or false"))
}

/// Reads the job of a submission. `builds`, `yard` and `due_s` may be null or left out; without
/// any other field a submission is refused, since the job's needs would be guessed.
pub fn parse_job(id: JobId, map: &Map<String, Value>) -> Result<JobSpec, SubmissionError> {
    let gang = match text(map, "shape")? {
        "batch" => false,
        "gang" => true,
        _ => return Err(Invalid("shape", "must be batch or gang")),
    };
    let priority = match text(map, "urgency")? {
        "production" => Priority::Production,
        "high" => Priority::High,
        "standard" => Priority::Normal,
        "best_effort" => Priority::Low,
        _ => return Err(Invalid("urgency", "unknown")),
    };
    let tasks = get(map, "pieces")
        .ok_or(Missing("pieces"))?
        .as_u64()
        .filter(|n| (1..=u64::from(MAX_TASKS)).contains(n))
        .ok_or(Invalid("pieces", "must be a whole number from 1 to 100000"))?;
    let types = match get(map, "builds") {
        None => None,
        Some(v) => {
            let list = v.as_array().ok_or(Invalid("builds", "not a list"))?;
            let names: Option<Vec<String>> =
                list.iter().map(|t| t.as_str().map(str::to_string)).collect();
            Some(names.ok_or(Invalid("builds", "not a list of strings"))?)
        }
    };
    let cpus = required_amount(map, "cores")?;
    if cpus == 0.0 {
        return Err(Invalid("cores", "must be above 0"));
    }
    Ok(JobSpec {
        id,
        class: text(map, "lane")?.to_string(),
        team: text(map, "crew")?.to_string(),
        priority,
        tasks: tasks as u32,
        gang,
        demand: Resources {
            cpus,
            gpus: required_amount(map, "cards")?,
            memory_gb: required_amount(map, "memory_gb")?,
        },
        types,
        zone: match get(map, "yard") {
            None => None,
            Some(_) => Some(text(map, "yard")?.to_string()),
        },
        one_zone: flag(map, "one_zone")?,
        spread: flag(map, "apart")?,
        spot: flag(map, "loaners")?,
        image: text(map, "kit")?.to_string(),
        image_gb: required_amount(map, "pull_gb")?,
        estimate_s: required_amount(map, "expected_s")?,
        checkpoint_s: required_amount(map, "snapshot_s")?,
        save_s: required_amount(map, "stow_s")?,
        deadline_s: optional_amount(map, "due_s")?,
    })
}

/// The state of a job, for its user.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum JobState {
    /// None of its tasks runs.
    Queued,
    /// At least one task runs.
    Running,
    /// All tasks are done.
    Done,
    /// It was cancelled.
    Cancelled,
}

impl JobState {
    /// The state's word on the wire.
    fn wire_word(self) -> &'static str {
        match self {
            JobState::Queued => "pending",
            JobState::Running => "running",
            JobState::Done => "done",
            JobState::Cancelled => "aborted",
        }
    }
}

/// The answer about a job.
#[derive(Serialize)]
pub struct JobAnswer {
    name_id: String,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    running: Option<u32>,
}

impl JobAnswer {
    /// The state alone.
    pub fn state(id: JobId, state: JobState) -> Self {
        JobAnswer { name_id: id.to_string(), status: state.wire_word(), done: None, running: None }
    }

    /// The state, and how many tasks are done and run.
    pub fn counts(id: JobId, state: JobState, done: u32, running: u32) -> Self {
        JobAnswer { done: Some(done), running: Some(running), ..Self::state(id, state) }
    }
}

/// An answer that refuses.
#[derive(Serialize)]
pub struct ErrorAnswer<'a> {
    /// Why.
    pub error: &'a str,
}
