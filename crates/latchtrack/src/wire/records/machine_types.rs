//! Stored form of the machine types.

use latchtrack_core::machine::MachineType;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A stored machine type. The legacy form, an array of the same fields in this order, can be read
/// as well.
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

/// Serializes the machine types for storage.
pub fn encode_machine_types(types: &[MachineType]) -> serde_json::Result<Box<RawValue>> {
    let records: Vec<StoredType> = types.iter().cloned().map(StoredType).collect();
    serde_json::value::to_raw_value(&records)
}

/// Parses the stored machine types; `None` if they are malformed or a number is negative or not
/// finite.
pub fn parse_machine_types(json: &str) -> Option<Vec<MachineType>> {
    let records: Vec<StoredType> = serde_json::from_str(json).ok()?;
    let is_valid = |t: &MachineType| {
        let sizes_and_prices = [t.cpus, t.gpus, t.memory_gb, t.price, t.spot_price];
        let boot_and_cache = [t.boot_s, t.cache_gb, t.fetch_gb_per_s];
        sizes_and_prices.iter().chain(&boot_and_cache).all(|n| n.is_finite() && *n >= 0.0)
    };
    records.into_iter().map(|StoredType(t)| is_valid(&t).then_some(t)).collect()
}

/// Whether two lists of machine types are equal apart from prices, which change too often to be
/// worth a write.
pub fn equal_except_prices(a: &[MachineType], b: &[MachineType]) -> bool {
    let without_prices = |types: &[MachineType]| -> Vec<MachineType> {
        types.iter().map(|t| MachineType { price: 0.0, spot_price: 0.0, ..t.clone() }).collect()
    };
    without_prices(a) == without_prices(b)
}
