//! Messages between nodes and the cloud API.

use latchtrack_core::machine::MachineType;
use latchtrack_core::scheduler::ListedMachine;
use serde::{Deserialize, Serialize};

/// Error text of a 503 response that means that the cloud has none of the requested machines at the
/// moment. With any other text, the request was not executed.
pub const NO_CAPACITY: &str = "no capacity";

/// Response with the machine types and prices.
#[derive(Deserialize)]
pub struct TypesAnswer {
    /// All machine types.
    #[serde(rename = "builds")]
    pub types: Vec<TypeDto>,
}

/// A machine type. Memory and disk are in GB, prices per hour.
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

/// Request for new machines.
#[derive(Serialize)]
pub struct ProvisionRequest<'a> {
    /// Id of the request; repeating a request with the same id returns the same machines.
    #[serde(rename = "hire")]
    pub request: &'a str,
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub machine_type: &'a str,
    /// Zone in which to provision the machines.
    #[serde(rename = "yard")]
    pub zone: &'a str,
    /// Whether to provision spot machines, which the cloud may preempt.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines.
    pub number: u32,
}

/// Names of machines that were provisioned or are to be terminated.
#[derive(Serialize, Deserialize)]
pub struct MachineNames {
    /// Machine names.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// Body of an error response.
#[derive(Deserialize, Default)]
pub struct ErrorAnswer {
    /// Error text; empty if missing.
    #[serde(default)]
    pub error: String,
}

/// A page of the machine list.
#[derive(Deserialize)]
pub struct ListAnswer {
    /// Machines in order of their names.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedDto>,
    /// Whether more pages follow; missing means no.
    #[serde(default)]
    pub truncated: Option<bool>,
}

/// An entry of the machine list.
#[derive(Deserialize)]
pub struct ListedDto {
    /// Name of the machine.
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
