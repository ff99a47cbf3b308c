//! Messages between nodes and cloud.

use latchtrack_core::machine::MachineType;
use latchtrack_core::scheduler::ListedMachine;
use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
pub struct TypesAnswer {
    #[serde(rename = "builds")]
    pub types: Vec<TypeDto>,
}

#[derive(Deserialize)]
pub struct TypeDto {
    #[serde(rename = "sku")]
    name: String,
    #[serde(rename = "cores")]
    cpus: f64,
    #[serde(rename = "cards", default)]
    gpus: Option<f64>,
    memory_gb: f64,
    price: f64,
    #[serde(default)]
    spot_price: Option<f64>,
    #[serde(rename = "ready_s")]
    boot_s: f64,
    #[serde(rename = "local_gb", default)]
    cache_gb: Option<f64>,
    #[serde(rename = "pull_gb_per_s", default)]
    fetch_gb_per_s: Option<f64>,
    #[serde(rename = "yards")]
    zones: Vec<String>,
}

impl From<TypeDto> for MachineType {
    fn from(t: TypeDto) -> Self {
        MachineType {
            name: t.name,
            cpus: t.cpus,
            gpus: t.gpus.unwrap_or(0.0),
            memory_gb: t.memory_gb,
            price: t.price,
            spot_price: t.spot_price.unwrap_or(t.price),
            boot_s: t.boot_s,
            cache_gb: t.cache_gb.unwrap_or(0.0),
            fetch_gb_per_s: t.fetch_gb_per_s.unwrap_or(0.0),
            zones: t.zones,
        }
    }
}

#[derive(Serialize)]
pub struct RentRequest<'a> {
    #[serde(rename = "hire")]
    pub request: &'a str,
    #[serde(rename = "build")]
    pub kind: &'a str,
    #[serde(rename = "yard")]
    pub zone: &'a str,
    #[serde(rename = "loaners")]
    pub spot: bool,
    pub number: u32,
}

#[derive(Serialize, Deserialize)]
pub struct Names {
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

#[derive(Deserialize, Default)]
pub struct ErrorAnswer {
    #[serde(default)]
    pub error: String,
}

#[derive(Deserialize)]
pub struct ListAnswer {
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedDto>,
    #[serde(default)]
    pub truncated: Option<bool>,
}

#[derive(Deserialize)]
pub struct ListedDto {
    #[serde(rename = "name_id")]
    pub name: String,
    #[serde(rename = "build")]
    kind: String,
    #[serde(rename = "yard")]
    zone: String,
    #[serde(rename = "loaners", default)]
    spot: Option<bool>,
    status: String,
    #[serde(rename = "held_s", default)]
    age_s: Option<f64>,
}

impl From<ListedDto> for ListedMachine {
    fn from(l: ListedDto) -> Self {
        ListedMachine {
            name: l.name,
            kind: l.kind,
            zone: l.zone,
            spot: l.spot.unwrap_or(false),
            failed: l.status == "failed",
            running: l.status == "running",
            age_ms: (l.age_s.unwrap_or(0.0).max(0.0) * 1000.0) as u64,
        }
    }
}
