//! Stored form of the machine set's record shards.

use latchtrack_core::scheduler::StoredMachine;
use serde::Deserialize;
use serde_json::value::RawValue;

/// A stored machine: name, type, zone, whether spot, address. It is stored without field names
/// because one value contains many machines.
type MachineRecord = (String, String, String, bool, String);

/// The legacy form without record shards: one machine per key, with its name in the key.
#[derive(Deserialize)]
struct LegacyMachine {
    #[serde(rename = "kind")]
    machine_type: String,
    zone: String,
    spot: bool,
    addr: String,
}

/// Serializes a record shard of the machine set.
pub fn encode_machine_set(machines: &[StoredMachine]) -> serde_json::Result<Box<RawValue>> {
    let record = |m: &StoredMachine| -> MachineRecord {
        (m.name.clone(), m.machine_type.clone(), m.zone.clone(), m.spot, m.addr.clone())
    };
    let records: Vec<MachineRecord> = machines.iter().map(record).collect();
    serde_json::value::to_raw_value(&records)
}

/// Parses a value of the machine set in the current or the legacy form. `key` is the part of the
/// key after [`super::MACHINE_SETS_PREFIX`].
pub fn parse_machine_set(key: &str, json: &str) -> serde_json::Result<Vec<StoredMachine>> {
    if json.trim_start().starts_with('{') {
        let legacy: LegacyMachine = serde_json::from_str(json)?;
        let LegacyMachine { machine_type, zone, spot, addr } = legacy;
        return Ok(vec![StoredMachine { name: key.to_string(), machine_type, zone, spot, addr }]);
    }
    let records: Vec<MachineRecord> = serde_json::from_str(json)?;
    let machine = |(name, machine_type, zone, spot, addr)| StoredMachine {
        name,
        machine_type,
        zone,
        spot,
        addr,
    };
    Ok(records.into_iter().map(machine).collect())
}
