//! Messages between users and nodes.

use latchtrack_core::constants::MAX_TASKS;
use latchtrack_core::job::{JobId, JobSpec, Priority, Resources};
use serde::Serialize;
use serde_json::{Map, Value};

use crate::constants::{MAX_AMOUNT, MAX_NAME_BYTES};

/// Error in a submission. The texts, which name the field concerned, are sent to the user.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum SubmissionError {
    /// The body is not valid JSON.
    #[error("the body is not JSON")]
    NotJson,
    /// The body is valid JSON, but not an object.
    #[error("the body is not an object")]
    NotObject,
    /// A required field is missing or null. Contains the name of the field.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A field is invalid. Contains the name of the field and the reason.
    #[error("{0} is invalid: {1}")]
    Invalid(&'static str, &'static str),
    /// The record exceeds the maximum size of a value. Contains its size and the maximum, in bytes.
    #[error("the job is too large for its record: {0} of {1} bytes")]
    TooLarge(usize, usize),
}

use SubmissionError::{Invalid, Missing};

/// Parses only the JSON object and the job id, because the job is looked up before the other fields
/// are parsed.
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

/// Parses the job of a submission. `builds`, `yard` and `due_s` may be null or missing; all other
/// fields are required, because defaults would only guess the job's needs.
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

/// The state of a job as reported to its user.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum JobState {
    /// No task is running.
    Queued,
    /// At least one task is running.
    Running,
    /// All tasks are done.
    Done,
    /// The job was cancelled.
    Cancelled,
}

impl JobState {
    /// The state's name in the protocol.
    fn wire_name(self) -> &'static str {
        match self {
            JobState::Queued => "pending",
            JobState::Running => "running",
            JobState::Done => "done",
            JobState::Cancelled => "aborted",
        }
    }
}

/// Response with the state of a job.
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
    /// Creates a response with only the state.
    pub fn state(id: JobId, state: JobState) -> Self {
        JobAnswer { name_id: id.to_string(), status: state.wire_name(), done: None, running: None }
    }

    /// Creates a response with the state and the numbers of done and running tasks.
    pub fn counts(id: JobId, state: JobState, done: u32, running: u32) -> Self {
        JobAnswer { done: Some(done), running: Some(running), ..Self::state(id, state) }
    }
}

/// Body of an error response.
#[derive(Serialize)]
pub struct ErrorAnswer<'a> {
    /// Error text.
    pub error: &'a str,
}
