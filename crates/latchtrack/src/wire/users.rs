//! Messages between users and nodes.

use latchtrack_core::constants::MAX_TASKS;
use latchtrack_core::job::{JobId, JobSpec, Priority, Resources};
use serde::Serialize;
use serde_json::{Map, Value};

use crate::constants::NAME_CHARS;

/// Why a submission is malformed; names the field.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum BadSubmission {
    #[error("the body is not JSON")]
    NotJson,
    #[error("the body is not an object")]
    NotObject,
    #[error("{0} is missing")]
    Missing(&'static str),
    #[error("{0} is invalid: {1}")]
    Invalid(&'static str, &'static str),
    #[error("the job is too large for its record: {0} of {1} bytes")]
    TooLarge(usize, usize),
}

use BadSubmission::{Invalid, Missing};

/// Reads the body as an object and its id, which decides about repeats before anything else.
pub fn parse_id(body: &[u8]) -> Result<(JobId, Map<String, Value>), BadSubmission> {
    let value: Value = serde_json::from_slice(body).map_err(|_| BadSubmission::NotJson)?;
    let Value::Object(map) = value else { return Err(BadSubmission::NotObject) };
    let id = text(&map, "name_id")?
        .parse()
        .map_err(|_| Invalid("name_id", "must have the form req-000412"))?;
    Ok((id, map))
}

fn get<'a>(map: &'a Map<String, Value>, name: &'static str) -> Option<&'a Value> {
    map.get(name).filter(|v| !v.is_null())
}

fn text<'a>(map: &'a Map<String, Value>, name: &'static str) -> Result<&'a str, BadSubmission> {
    let s = get(map, name).ok_or(Missing(name))?.as_str().ok_or(Invalid(name, "not a string"))?;
    if s.is_empty() || s.len() > NAME_CHARS {
        return Err(Invalid(name, "empty or too long"));
    }
    Ok(s)
}

fn amount(map: &Map<String, Value>, name: &'static str) -> Result<Option<f64>, BadSubmission> {
    let Some(v) = get(map, name) else { return Ok(None) };
    let n = v.as_f64().ok_or(Invalid(name, "not a number"))?;
    if !n.is_finite() || !(0.0..=1e9).contains(&n) {
        return Err(Invalid(name, "must be from 0 to 1e9"));
    }
    Ok(Some(n))
}

fn needed(map: &Map<String, Value>, name: &'static str) -> Result<f64, BadSubmission> {
    amount(map, name)?.ok_or(Missing(name))
}

fn flag(map: &Map<String, Value>, name: &'static str) -> Result<bool, BadSubmission> {
    get(map, name).ok_or(Missing(name))?.as_bool().ok_or(Invalid(name, "not true or false"))
}

/// Reads the job of a submission. `builds`, `yard` and `due_s` may be null, and so be left out; a job
/// that lacks any other field is none: what it needs would be guessed.
pub fn parse_job(id: JobId, map: &Map<String, Value>) -> Result<JobSpec, BadSubmission> {
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
    let cpus = needed(map, "cores")?;
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
            gpus: needed(map, "cards")?,
            memory_gb: needed(map, "memory_gb")?,
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
        image_gb: needed(map, "pull_gb")?,
        estimate_s: needed(map, "expected_s")?,
        checkpoint_s: needed(map, "snapshot_s")?,
        save_s: needed(map, "stow_s")?,
        deadline_s: amount(map, "due_s")?,
    })
}

/// How a job stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum State {
    Queued,
    Running,
    Done,
    Cancelled,
}

impl State {
    fn word(self) -> &'static str {
        match self {
            State::Queued => "pending",
            State::Running => "running",
            State::Done => "done",
            State::Cancelled => "aborted",
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
    pub fn state(id: JobId, state: State) -> Self {
        JobAnswer { name_id: id.to_string(), status: state.word(), done: None, running: None }
    }

    pub fn counts(id: JobId, state: State, done: u32, running: u32) -> Self {
        JobAnswer { done: Some(done), running: Some(running), ..Self::state(id, state) }
    }
}

#[derive(Serialize)]
pub struct ErrorAnswer<'a> {
    pub error: &'a str,
}
