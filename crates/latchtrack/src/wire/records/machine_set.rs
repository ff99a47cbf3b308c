//! Record shards of the machine set.

use latchtrack_core::scheduler::StoredMachine;
use serde::Deserialize;
use serde_json::value::RawValue;

/// A machine of the stored set: name, type, zone, whether spot, address. Many are in one value, so
/// it has no field names.
type MachineRecord = (String, String, String, bool, String);

/// The form before record shards: one machine to a key, its name in the key.
#[derive(Deserialize)]
struct OldMachine {
    #[serde(rename = "kind")]
    machine_type: String,
    zone: String,
    spot: bool,
    addr: String,
}

/// A record shard of the machine set as it is stored.
pub fn encode_machine_set(machines: &[StoredMachine]) -> serde_json::Result<Box<RawValue>> {
    let record = |m: &StoredMachine| -> MachineRecord {
        (m.name.clone(), m.machine_type.clone(), m.zone.clone(), m.spot, m.addr.clone())
    };
    let records: Vec<MachineRecord> = machines.iter().map(record).collect();
    serde_json::value::to_raw_value(&records)
}

/// Reads a value of the machine set, in the current form or the old one. `key` is the part of the
/// key after [`super::MACHINE_SETS_PREFIX`].
pub fn parse_machine_set(key: &str, json: &str) -> serde_json::Result<Vec<StoredMachine>> {
    if json.trim_start().starts_with('{') {
        let old: OldMachine = serde_json::from_str(json)?;
        let OldMachine { machine_type, zone, spot, addr } = old;
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
