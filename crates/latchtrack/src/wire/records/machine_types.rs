//! The stored machine types.

use latchtrack_core::machine::MachineType;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

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
pub fn equal_except_prices(a: &[MachineType], b: &[MachineType]) -> bool {
    let priceless = |types: &[MachineType]| -> Vec<MachineType> {
        types.iter().map(|t| MachineType { price: 0.0, spot_price: 0.0, ..t.clone() }).collect()
    };
    priceless(a) == priceless(b)
}
