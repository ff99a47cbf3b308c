//! Messages between nodes and the cloud.

use latchtrack_core::machine::MachineType;
use latchtrack_core::scheduler::ListedMachine;
use serde::{Deserialize, Serialize};

/// The error of an answer with status 503 that says that there are no such machines now; with any
/// other one nothing was executed.
pub const NO_CAPACITY: &str = "no capacity";

/// The machine types and prices.
#[derive(Deserialize)]
pub struct TypesAnswer {
    /// All types.
    #[serde(rename = "builds")]
    pub types: Vec<TypeDto>,
}

/// A machine type. Amounts of memory and disk are in GB, prices in money an hour.
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
    fn from(dto: TypeDto) -> Self {
        MachineType {
            name: dto.name,
            cpus: dto.cpus,
            gpus: dto.gpus.unwrap_or(0.0),
            memory_gb: dto.memory_gb,
            price: dto.price,
            spot_price: dto.spot_price.unwrap_or(dto.price),
            boot_s: dto.boot_s,
            cache_gb: dto.cache_gb.unwrap_or(0.0),
            fetch_gb_per_s: dto.fetch_gb_per_s.unwrap_or(0.0),
            zones: dto.zones,
        }
    }
}

/// Asks for machines.
#[derive(Serialize)]
pub struct ProvisionRequest<'a> {
    /// Id of the request: a repeated one gets the same machines.
    #[serde(rename = "hire")]
    pub request: &'a str,
    /// Machine type.
    #[serde(rename = "build")]
    pub machine_type: &'a str,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: &'a str,
    /// Whether the cloud may preempt them.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many.
    pub number: u32,
}

/// Names of machines: those provisioned, or those to terminate.
#[derive(Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// An answer that refuses.
#[derive(Deserialize, Default)]
pub struct ErrorAnswer {
    /// Why.
    #[serde(default)]
    pub error: String,
}

/// A page of the list of machines.
#[derive(Deserialize)]
pub struct ListAnswer {
    /// The machines, in order of their names.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedDto>,
    /// Whether others follow.
    #[serde(default)]
    pub truncated: Option<bool>,
}

/// A machine of the list.
#[derive(Deserialize)]
pub struct ListedDto {
    /// Its name.
    #[serde(rename = "name_id")]
    pub name: String,
    #[serde(rename = "build")]
    machine_type: String,
    #[serde(rename = "yard")]
    zone: String,
    #[serde(rename = "loaners", default)]
    spot: Option<bool>,
    status: String,
    #[serde(rename = "held_s", default)]
    age_s: Option<f64>,
}

impl From<ListedDto> for ListedMachine {
    fn from(dto: ListedDto) -> Self {
        ListedMachine {
            name: dto.name,
            machine_type: dto.machine_type,
            zone: dto.zone,
            spot: dto.spot.unwrap_or(false),
            failed: dto.status == "failed",
            running: dto.status == "running",
            age_ms: (dto.age_s.unwrap_or(0.0).max(0.0) * 1000.0) as u64,
        }
    }
}
