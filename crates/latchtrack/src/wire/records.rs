//! What we keep in the state service, under our own names.
//!
//! Nodes of two versions read and write these values side by side during an upgrade. Keys, field names and
//! the order of fields without names are a published format (`tests/published_formats.rs`): they never
//! change, and what is new is an optional field with a default.

use std::collections::BTreeMap;
use std::sync::Arc;

use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;
use latchtrack_core::job::{JobId, JobSpec, Priority, Resources};
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
/// The machine types, as the cloud last told them.
pub const TYPES: &str = "site/types";
/// Prefix of the machine set.
pub const FLEET: &str = "fleet/";

pub fn job_key(id: JobId) -> String {
    format!("{JOBS}{id}")
}

pub fn results_key(name: &str) -> String {
    format!("{RESULTS}{name}")
}

pub fn fleet_key(name: &str) -> String {
    format!("{FLEET}{name}")
}

/// Who leads.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct LeaderRecord {
    pub node: String,
    /// Tells the runs of a node apart.
    pub run: u64,
    /// The lease that the key is under, so that a node can end its own after a restart.
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
    Open { spec: Arc<JobSpec>, at_ms: u64 },
    Done { tasks: u32 },
    Cancelled { tasks: u32 },
}

impl Record {
    pub fn to_json(&self) -> serde_json::Result<Box<RawValue>> {
        let dto = match self {
            Record::Open { spec, at_ms } => RecordDto::Open {
                at_ms: *at_ms,
                spec: Box::new(SpecDto {
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
                }),
            },
            Record::Done { tasks } => RecordDto::Done { tasks: *tasks },
            Record::Cancelled { tasks } => RecordDto::Cancelled { tasks: *tasks },
        };
        serde_json::value::to_raw_value(&dto)
    }

    /// Reads a stored record; an error for one that is garbled.
    pub fn parse(id: JobId, json: &str) -> Result<Record, String> {
        let dto: RecordDto = serde_json::from_str(json).map_err(|e| e.to_string())?;
        Ok(match dto {
            RecordDto::Open { at_ms, spec: s } => {
                let due = s.deadline_s.unwrap_or(0.0);
                let (run, image) = (s.estimate_s, s.image_gb);
                let numbers =
                    [s.cpus, s.gpus, s.memory_gb, s.checkpoint_s, s.save_s, run, image, due];
                if s.tasks == 0
                    || s.tasks > latchtrack_core::constants::MAX_TASKS
                    || numbers.iter().any(|n| !n.is_finite() || *n < 0.0)
                {
                    return Err("a number out of range".into());
                }
                let priority = match s.priority {
                    0 => Priority::Production,
                    1 => Priority::High,
                    2 => Priority::Normal,
                    3 => Priority::Low,
                    _ => return Err("unknown priority".into()),
                };
                let spec = JobSpec {
                    id,
                    class: s.class,
                    team: s.team,
                    priority,
                    tasks: s.tasks,
                    gang: s.gang,
                    demand: Resources { cpus: s.cpus, gpus: s.gpus, memory_gb: s.memory_gb },
                    types: s.types,
                    zone: s.zone,
                    one_zone: s.one_zone,
                    spread: s.spread,
                    spot: s.spot,
                    image: s.image,
                    image_gb: s.image_gb,
                    estimate_s: s.estimate_s,
                    checkpoint_s: s.checkpoint_s,
                    save_s: s.save_s,
                    deadline_s: s.deadline_s,
                };
                Record::Open { spec: Arc::new(spec), at_ms }
            }
            RecordDto::Done { tasks } => Record::Done { tasks },
            RecordDto::Cancelled { tasks } => Record::Cancelled { tasks },
        })
    }
}

/// A machine of the stored set: name, type, zone, whether spot, address. Many share a value, so
/// it has no field names.
type MachineRecord = (String, String, String, bool, String);

/// The form before machines shared values: one to a key, its name in the key.
#[derive(Deserialize)]
struct OldMachine {
    kind: String,
    zone: String,
    spot: bool,
    addr: String,
}

/// A value of the machine set.
pub fn fleet(machines: &[StoredMachine]) -> serde_json::Result<Box<RawValue>> {
    let record = |m: &StoredMachine| -> MachineRecord {
        (m.name.clone(), m.kind.clone(), m.zone.clone(), m.spot, m.addr.clone())
    };
    let records: Vec<MachineRecord> = machines.iter().map(record).collect();
    serde_json::value::to_raw_value(&records)
}

/// Reads a value of the machine set, in the form of today or the old one.
pub fn read_fleet(key: &str, json: &str) -> serde_json::Result<Vec<StoredMachine>> {
    if json.trim_start().starts_with('{') {
        let old: OldMachine = serde_json::from_str(json)?;
        let OldMachine { kind, zone, spot, addr } = old;
        return Ok(vec![StoredMachine { name: key.to_string(), kind, zone, spot, addr }]);
    }
    let records: Vec<MachineRecord> = serde_json::from_str(json)?;
    let machine = |(name, kind, zone, spot, addr)| StoredMachine { name, kind, zone, spot, addr };
    Ok(records.into_iter().map(machine).collect())
}

/// A machine type as it is stored. The earlier form, an array of the same fields in this order, is read as
/// well.
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

/// The stored machine types.
pub fn types(types: &[MachineType]) -> serde_json::Result<Box<RawValue>> {
    let records: Vec<StoredType> = types.iter().cloned().map(StoredType).collect();
    serde_json::value::to_raw_value(&records)
}

/// Reads the stored machine types; None if they are garbled or a number makes no sense.
pub fn read_types(json: &str) -> Option<Vec<MachineType>> {
    let records: Vec<StoredType> = serde_json::from_str(json).ok()?;
    let sane = |t: &MachineType| {
        let size = [t.cpus, t.gpus, t.memory_gb, t.price, t.spot_price];
        let times = [t.boot_s, t.cache_gb, t.fetch_gb_per_s];
        size.iter().chain(&times).all(|n| n.is_finite() && *n >= 0.0)
    };
    records.into_iter().map(|StoredType(t)| sane(&t).then_some(t)).collect()
}

/// Whether two lists of types differ in nothing but prices, which move and are not worth a write.
pub fn same_types(a: &[MachineType], b: &[MachineType]) -> bool {
    let priceless = |types: &[MachineType]| -> Vec<MachineType> {
        types.iter().map(|t| MachineType { price: 0.0, spot_price: 0.0, ..t.clone() }).collect()
    };
    priceless(a) == priceless(b)
}

/// Bits of done tasks, by job and chunk.
pub type Chunks = Vec<(JobId, u32, Vec<u8>)>;

/// A value of results.
pub fn results(chunks: &[(JobId, u32, Vec<u8>)]) -> serde_json::Result<Box<RawValue>> {
    let map: BTreeMap<String, String> = chunks
        .iter()
        .map(|(id, chunk, bytes)| (format!("{id}/{chunk}"), STANDARD_NO_PAD.encode(bytes)))
        .collect();
    serde_json::value::to_raw_value(&map)
}

/// Reads a value of results; None if it is garbled. The old form is one text, of the job and the
/// chunk in its key.
pub fn read_results(key: &str, json: &str) -> Option<Chunks> {
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
