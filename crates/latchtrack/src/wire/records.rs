//! What we keep in the state service, under our own names.

use std::sync::Arc;

use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;
use latchtrack_core::job::{Demand, JobId, JobSpec, Priority};
use latchtrack_core::leader::StoredMachine;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The mirror's prefix: the leader key and the job records.
pub const LIVE: &str = "live/";
/// The leader key.
pub const LEADER: &str = "live/leader";
/// Prefix of the job records.
pub const JOBS: &str = "live/job/";
/// Prefix of the stored results of unfinished jobs.
pub const RESULTS: &str = "results/";
/// Prefix of the machine set.
pub const FLEET: &str = "fleet/";

pub fn job_key(id: JobId) -> String {
    format!("{JOBS}{id}")
}

pub fn results_key(id: JobId, chunk: u32) -> String {
    format!("{RESULTS}{id}/{chunk}")
}

pub fn machine_key(name: &str) -> String {
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
                    || s.tasks > latchtrack_core::constants::TASKS_MOST
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
                    demand: Demand { cpus: s.cpus, gpus: s.gpus, memory_gb: s.memory_gb },
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

/// A machine of the stored set.
#[derive(Serialize, Deserialize)]
pub struct MachineRecord {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub addr: String,
}

impl MachineRecord {
    pub fn of(m: &StoredMachine) -> Self {
        MachineRecord {
            kind: m.kind.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            addr: m.addr.clone(),
        }
    }

    /// Stands for a record that can't be read.
    pub fn unknown() -> Self {
        let none = String::new;
        MachineRecord { kind: none(), zone: none(), spot: false, addr: "0.0.0.0:0".into() }
    }

    pub fn into_stored(self, name: &str) -> StoredMachine {
        StoredMachine {
            name: name.to_string(),
            kind: self.kind,
            zone: self.zone,
            spot: self.spot,
            addr: self.addr,
        }
    }
}

/// A chunk of results as text.
pub fn encode_results(bytes: &[u8]) -> String {
    STANDARD_NO_PAD.encode(bytes)
}

/// Job, chunk and bits of a stored chunk of results; None if garbled.
pub fn decode_results(key: &str, json: &str) -> Option<(JobId, u32, Vec<u8>)> {
    let (job, chunk) = key.strip_prefix(RESULTS)?.split_once('/')?;
    let text: String = serde_json::from_str(json).ok()?;
    Some((job.parse().ok()?, chunk.parse().ok()?, STANDARD_NO_PAD.decode(text).ok()?))
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};

    fn open() -> Record {
        let spec = JobSpec {
            id: JobId(412),
            class: "c".into(),
            team: "t".into(),
            priority: Priority::High,
            tasks: 16,
            demand: Demand { cpus: 4.0, gpus: 0.0, memory_gb: 3.6 },
            types: Some(vec!["g".into()]),
            zone: None,
            one_zone: true,
            spread: false,
            spot: true,
            image: "i".into(),
            image_gb: 1.5,
            estimate_s: 20.0,
            checkpoint_s: 30.0,
            save_s: 2.0,
            deadline_s: Some(90.5),
        };
        Record::Open { spec: Arc::new(spec), at_ms: 1_700_000_000_123 }
    }

    #[test]
    fn records_survive_and_garbled_ones_are_refused() {
        for record in [open(), Record::Done { tasks: 3 }, Record::Cancelled { tasks: 4 }] {
            let json = record.to_json().unwrap();
            assert_eq!(Record::parse(JobId(412), json.get()), Ok(record));
        }
        let json = open().to_json().unwrap().get().to_string();
        assert!(Record::parse(JobId(412), &json.replace("\"tasks\":16", "\"tasks\":0")).is_err());
        let mut rng = StdRng::seed_from_u64(2);
        let mut refused = 0;
        for _ in 0..2000 {
            let mut noise = json.clone().into_bytes();
            let at = rng.random_range(0..noise.len());
            noise[at] = rng.random_range(32..127);
            noise.truncate(rng.random_range(1..=noise.len()));
            refused +=
                u32::from(Record::parse(JobId(412), &String::from_utf8_lossy(&noise)).is_err());
        }
        assert!(refused > 1000, "{refused}");
    }

    #[test]
    fn results_survive() {
        let key = results_key(JobId(7), 3);
        let json = serde_json::to_string(&encode_results(&[1, 0, 255])).unwrap();
        assert_eq!(decode_results(&key, &json), Some((JobId(7), 3, vec![1, 0, 255])));
        assert_eq!(decode_results(&key, "7"), None);
        assert_eq!(decode_results("results/req-000007", &json), None);
    }
}
