//! The stored record of a job.

use std::sync::Arc;

use latchtrack_core::constants::MAX_TASKS;
use latchtrack_core::job::{JobId, JobSpec, Priority, Resources};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

#[derive(Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "lowercase")]
enum RecordDto {
    Open {
        at_ms: u64,
        #[serde(flatten)]
        spec: Box<SpecDto>,
    },
    Done {
        tasks: u32,
    },
    Cancelled {
        tasks: u32,
    },
}

#[derive(Serialize, Deserialize)]
struct SpecDto {
    class: String,
    team: String,
    priority: u8,
    tasks: u32,
    cpus: f64,
    #[serde(default, skip_serializing_if = "is_zero")]
    gpus: f64,
    memory_gb: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    types: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    zone: Option<String>,
    #[serde(default, skip_serializing_if = "is_false")]
    one_zone: bool,
    #[serde(default, skip_serializing_if = "is_false")]
    spread: bool,
    #[serde(default, skip_serializing_if = "is_false")]
    spot: bool,
    image: String,
    image_gb: f64,
    estimate_s: f64,
    #[serde(default, skip_serializing_if = "is_zero")]
    checkpoint_s: f64,
    #[serde(default, skip_serializing_if = "is_zero")]
    save_s: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    deadline_s: Option<f64>,
    /// Versions without gang support ignore this and would run the tasks independently.
    #[serde(default, skip_serializing_if = "is_false")]
    gang: bool,
}

fn is_zero(x: &f64) -> bool {
    *x == 0.0
}

fn is_false(x: &bool) -> bool {
    !*x
}

/// The record of a job. It is open until the job is done or cancelled; both of these are final.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The job is neither done nor cancelled.
    Open {
        /// The job as submitted.
        spec: Arc<JobSpec>,
        /// Unix time of the submission, in ms.
        at_ms: u64,
    },
    /// All tasks are done.
    Done {
        /// Number of tasks of the job.
        tasks: u32,
    },
    /// The job was cancelled before it was done.
    Cancelled {
        /// Number of tasks of the job.
        tasks: u32,
    },
}

/// Error in a stored record.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The value is not valid JSON, or a field is missing or of the wrong type.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A number is negative or not finite, or the number of tasks is 0 or too large.
    #[error("number out of range")]
    NumberOutOfRange,
    /// The stored number stands for no priority that this version knows.
    #[error("unknown priority")]
    UnknownPriority,
}

impl SpecDto {
    fn new(spec: &JobSpec) -> SpecDto {
        SpecDto {
            class: spec.class.clone(),
            team: spec.team.clone(),
            priority: spec.priority as u8,
            tasks: spec.tasks,
            cpus: spec.demand.cpus,
            gpus: spec.demand.gpus,
            memory_gb: spec.demand.memory_gb,
            types: spec.types.clone(),
            zone: spec.zone.clone(),
            one_zone: spec.one_zone,
            spread: spec.spread,
            spot: spec.spot,
            image: spec.image.clone(),
            image_gb: spec.image_gb,
            estimate_s: spec.estimate_s,
            checkpoint_s: spec.checkpoint_s,
            save_s: spec.save_s,
            deadline_s: spec.deadline_s,
            gang: spec.gang,
        }
    }

    fn into_spec(self, id: JobId) -> Result<JobSpec, RecordError> {
        let numbers = [
            self.cpus,
            self.gpus,
            self.memory_gb,
            self.checkpoint_s,
            self.save_s,
            self.estimate_s,
            self.image_gb,
            self.deadline_s.unwrap_or(0.0),
        ];
        if self.tasks == 0
            || self.tasks > MAX_TASKS
            || numbers.iter().any(|number| !number.is_finite() || *number < 0.0)
        {
            return Err(RecordError::NumberOutOfRange);
        }
        let priority = match self.priority {
            0 => Priority::Production,
            1 => Priority::High,
            2 => Priority::Normal,
            3 => Priority::Low,
            _ => return Err(RecordError::UnknownPriority),
        };
        let demand = Resources { cpus: self.cpus, gpus: self.gpus, memory_gb: self.memory_gb };
        Ok(JobSpec {
            id,
            class: self.class,
            team: self.team,
            priority,
            tasks: self.tasks,
            gang: self.gang,
            demand,
            types: self.types,
            zone: self.zone,
            one_zone: self.one_zone,
            spread: self.spread,
            spot: self.spot,
            image: self.image,
            image_gb: self.image_gb,
            estimate_s: self.estimate_s,
            checkpoint_s: self.checkpoint_s,
            save_s: self.save_s,
            deadline_s: self.deadline_s,
        })
    }
}

impl Record {
    /// Serializes the record for storage.
    pub fn to_json(&self) -> serde_json::Result<Box<RawValue>> {
        let dto = match self {
            Record::Open { spec, at_ms } => {
                RecordDto::Open { at_ms: *at_ms, spec: Box::new(SpecDto::new(spec)) }
            }
            Record::Done { tasks } => RecordDto::Done { tasks: *tasks },
            Record::Cancelled { tasks } => RecordDto::Cancelled { tasks: *tasks },
        };
        serde_json::value::to_raw_value(&dto)
    }

    /// Parses the stored record of a job.
    pub fn parse(id: JobId, json: &str) -> Result<Record, RecordError> {
        let dto: RecordDto = serde_json::from_str(json)?;
        Ok(match dto {
            RecordDto::Open { at_ms, spec } => {
                Record::Open { spec: Arc::new(spec.into_spec(id)?), at_ms }
            }
            RecordDto::Done { tasks } => Record::Done { tasks },
            RecordDto::Cancelled { tasks } => Record::Cancelled { tasks },
        })
    }
}
