//! The keys and values of this program in the state service.
//!
//! Nodes of two versions read and write these values side by side during an upgrade. Keys, field
//! names and the order of fields without names are a published format
//! (`tests/published_formats.rs`): they never change, and a new field is optional with a default.

use std::collections::BTreeMap;
use std::sync::Arc;

use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;
use latchtrack_core::constants::MAX_TASKS;
use latchtrack_core::job::{Demand, JobId, JobSpec, Priority};
use latchtrack_core::machine::MachineType;
use latchtrack_core::scheduler::StoredMachine;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The cache's prefix: the leader key and the job records.
pub const LIVE: &str = "live/";
/// The leader key.
pub const LEADER: &str = "live/leader";
/// Prefix of the job records.
pub const JOBS: &str = "live/job/";
/// Prefix of the stored results of unfinished jobs.
pub const RESULTS: &str = "results/";
/// The key of the machine types, as last read from the cloud.
pub const TYPES: &str = "site/types";
/// Prefix of the machine set.
pub const MACHINE_SETS: &str = "fleet/";

/// The key of a job's record.
pub fn job_key(id: JobId) -> String {
    format!("{JOBS}{id}")
}

/// The key of a record shard of results.
pub fn results_key(name: &str) -> String {
    format!("{RESULTS}{name}")
}

/// The key of a record shard of the machine set.
pub fn machine_set_key(name: &str) -> String {
    format!("{MACHINE_SETS}{name}")
}

/// Who leads.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct LeaderRecord {
    /// Name of the node.
    pub node: String,
    /// Tells the runs of a node apart.
    pub run: u64,
    /// The lease that the key is under, so that a node can end that of its earlier run.
    pub lease: u64,
}

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
    /// Unknown to versions before gangs, which would run it task by task.
    #[serde(default, skip_serializing_if = "is_false")]
    gang: bool,
}

fn is_zero(x: &f64) -> bool {
    *x == 0.0
}

fn is_false(x: &bool) -> bool {
    !*x
}

/// A job's record: open until it is done or cancelled, which it then remains.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// It is neither done nor cancelled.
    Open {
        /// What was submitted.
        spec: Arc<JobSpec>,
        /// Time of day of the submission, ms.
        at_ms: u64,
    },
    /// All of its tasks are done.
    Done {
        /// How many tasks it has.
        tasks: u32,
    },
    /// It was cancelled before it was done.
    Cancelled {
        /// How many tasks it has.
        tasks: u32,
    },
}

/// Why a stored record can't be used.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// Not JSON, or a field is missing or of another kind.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A number is not finite, negative, or there are no tasks or too many.
    #[error("a number out of range")]
    NumberOutOfRange,
    /// The number of the priority is none that this version knows.
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
        let demand = Demand { cpus: self.cpus, gpus: self.gpus, memory_gb: self.memory_gb };
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
    /// The record as it is stored.
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

    /// Reads the stored record of a job.
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

/// A machine of the stored set: name, type, zone, whether spot, address. Many are in one value, so
/// it has no field names.
type MachineRecord = (String, String, String, bool, String);

/// The form before record shards: one machine to a key, its name in the key.
#[derive(Deserialize)]
struct OldMachine {
    kind: String,
    zone: String,
    spot: bool,
    addr: String,
}

/// A record shard of the machine set as it is stored.
pub fn encode_machine_set(machines: &[StoredMachine]) -> serde_json::Result<Box<RawValue>> {
    let record = |m: &StoredMachine| -> MachineRecord {
        (m.name.clone(), m.kind.clone(), m.zone.clone(), m.spot, m.addr.clone())
    };
    let records: Vec<MachineRecord> = machines.iter().map(record).collect();
    serde_json::value::to_raw_value(&records)
}

/// Reads a value of the machine set, in the current form or the old one. `key` is the part of the
/// key after [`MACHINE_SETS`].
pub fn parse_machine_set(key: &str, json: &str) -> serde_json::Result<Vec<StoredMachine>> {
    if json.trim_start().starts_with('{') {
        let old: OldMachine = serde_json::from_str(json)?;
        let OldMachine { kind, zone, spot, addr } = old;
        return Ok(vec![StoredMachine { name: key.to_string(), kind, zone, spot, addr }]);
    }
    let records: Vec<MachineRecord> = serde_json::from_str(json)?;
    let machine = |(name, kind, zone, spot, addr)| StoredMachine { name, kind, zone, spot, addr };
    Ok(records.into_iter().map(machine).collect())
}

/// A machine type as it is stored. The earlier form, an array of the same fields in this order, is
/// read as well.
#[derive(Serialize, Deserialize)]
#[serde(remote = "MachineType")]
struct TypeRecord {
    name: String,
    cpus: f64,
    gpus: f64,
    memory_gb: f64,
    price: f64,
    spot_price: f64,
    boot_s: f64,
    cache_gb: f64,
    fetch_gb_per_s: f64,
    zones: Vec<String>,
}

#[derive(Serialize, Deserialize)]
struct StoredType(#[serde(with = "TypeRecord")] MachineType);

/// The machine types as they are stored.
pub fn encode_machine_types(types: &[MachineType]) -> serde_json::Result<Box<RawValue>> {
    let records: Vec<StoredType> = types.iter().cloned().map(StoredType).collect();
    serde_json::value::to_raw_value(&records)
}

/// Reads the stored machine types; None if they can't be parsed or a number is not finite or below
/// 0.
pub fn parse_machine_types(json: &str) -> Option<Vec<MachineType>> {
    let records: Vec<StoredType> = serde_json::from_str(json).ok()?;
    let sane = |t: &MachineType| {
        let size = [t.cpus, t.gpus, t.memory_gb, t.price, t.spot_price];
        let times = [t.boot_s, t.cache_gb, t.fetch_gb_per_s];
        size.iter().chain(&times).all(|n| n.is_finite() && *n >= 0.0)
    };
    records.into_iter().map(|StoredType(t)| sane(&t).then_some(t)).collect()
}

/// Whether two lists of types differ in nothing but prices, which change often and are not worth a
/// write.
pub fn same_types(a: &[MachineType], b: &[MachineType]) -> bool {
    let priceless = |types: &[MachineType]| -> Vec<MachineType> {
        types.iter().map(|t| MachineType { price: 0.0, spot_price: 0.0, ..t.clone() }).collect()
    };
    priceless(a) == priceless(b)
}

/// Bits of done tasks, by job and chunk.
pub type Chunks = Vec<(JobId, u32, Vec<u8>)>;

/// A record shard of results as it is stored.
pub fn encode_results(chunks: &[(JobId, u32, Vec<u8>)]) -> serde_json::Result<Box<RawValue>> {
    let map: BTreeMap<String, String> = chunks
        .iter()
        .map(|(id, chunk, bytes)| (format!("{id}/{chunk}"), STANDARD_NO_PAD.encode(bytes)))
        .collect();
    serde_json::value::to_raw_value(&map)
}

/// Reads a value of results; None if it can't be parsed. `key` is the part of the key after
/// [`RESULTS`]. The old form is one text, of the job and the chunk in its key.
pub fn parse_results(key: &str, json: &str) -> Option<Chunks> {
    let one = |name: &str, text: &str| {
        let (job, chunk) = name.split_once('/')?;
        Some((job.parse().ok()?, chunk.parse().ok()?, STANDARD_NO_PAD.decode(text).ok()?))
    };
    if json.trim_start().starts_with('"') {
        let text: String = serde_json::from_str(json).ok()?;
        return Some(vec![one(key, &text)?]);
    }
    let map: BTreeMap<String, String> = serde_json::from_str(json).ok()?;
    map.iter().map(|(name, text)| one(name, text)).collect()
}
