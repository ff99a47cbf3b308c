//! Messages between users and nodes.

use latchtrack_core::constants::TASKS_MOST;
use latchtrack_core::job::{Demand, JobId, JobSpec, Priority};
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
    match get(map, name) {
        None => Ok(false),
        Some(v) => v.as_bool().ok_or(Invalid(name, "not true or false")),
    }
}

/// Reads the job of a submission.
pub fn parse_job(id: JobId, map: &Map<String, Value>) -> Result<JobSpec, BadSubmission> {
    if text(map, "shape")? != "batch" {
        return Err(Invalid("shape", "must be batch"));
    }
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
        .filter(|n| (1..=u64::from(TASKS_MOST)).contains(n))
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
        demand: Demand {
            cpus,
            gpus: amount(map, "cards")?.unwrap_or(0.0),
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
        checkpoint_s: amount(map, "snapshot_s")?.unwrap_or(0.0),
        save_s: amount(map, "stow_s")?.unwrap_or(0.0),
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

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn good() -> Value {
        json!({"name_id":"req-000412","lane":"l","crew":"c","shape":"batch","urgency":"high",
            "pieces":16,"cores":8.0,"cards":null,"memory_gb":64.0,"kit":"i","pull_gb":6.2,
            "builds":["g8"],"yard":null,"one_zone":true,"apart":false,"loaners":true,
            "expected_s":240.0,"snapshot_s":30.0,"stow_s":4.0,"due_s":900.0,"unheard":[1]})
    }

    fn parse(v: &Value) -> Result<JobSpec, BadSubmission> {
        let (id, map) = parse_id(v.to_string().as_bytes())?;
        parse_job(id, &map)
    }

    #[test]
    fn reads_a_submission() {
        let spec = parse(&good()).unwrap();
        assert_eq!((spec.tasks, spec.demand.cpus, spec.spot), (16, 8.0, true));
        assert_eq!((spec.zone, spec.deadline_s), (None, Some(900.0)));
    }

    #[test]
    fn names_the_field_that_is_wrong() {
        for (field, value) in [
            ("name_id", json!("412")),
            ("pieces", json!(0)),
            ("pieces", json!(100_001)),
            ("pieces", json!(1.5)),
            ("cores", json!(-1.0)),
            ("cores", json!(0)),
            ("memory_gb", json!("64")),
            ("urgency", json!("now")),
            ("shape", json!("gang")),
            ("builds", json!([1])),
            ("loaners", json!(1)),
            ("due_s", json!(-5)),
            ("crew", json!("")),
        ] {
            let mut v = good();
            v[field] = value.clone();
            match parse(&v) {
                Err(Invalid(name, _)) => assert_eq!(name, field, "{value}"),
                other => panic!("{field} = {value}: {other:?}"),
            }
        }
        for field in ["name_id", "lane", "crew", "cores", "kit", "expected_s", "pieces"] {
            let mut v = good();
            v.as_object_mut().unwrap().remove(field);
            assert_eq!(parse(&v), Err(Missing(field)));
        }
        assert_eq!(parse_id(b"[1]").unwrap_err(), BadSubmission::NotObject);
        assert_eq!(parse_id(b"{\"name_id\":NaN}").unwrap_err(), BadSubmission::NotJson);
    }
}
