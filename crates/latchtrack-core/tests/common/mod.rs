//! What the small cases share; each test file uses its part of it.

#![allow(dead_code)]

use std::sync::Arc;

use latchtrack_core::job::{Demand, JobId, JobSpec, Priority};
use latchtrack_core::leader::{Policy, Team};
use latchtrack_core::machine::MachineType;
use latchtrack_core::placement::Weights;

/// The workers' lease.
pub const LEASE: u64 = 24_000;

pub fn policy() -> Policy {
    Policy {
        weights: Weights::default(),
        slice: 1,
        idle_wait_ms: 20_000,
        ordinary_idle_wait_ms: 4_000,
        pass_over_ms: 2_000,
        spot_after_ms: 0,
        ordinary_after_ms: 10_000,
        silence_ms: 12_000,
        settle_ms: 9_000,
        report_ms: 3_000,
        lease_ms: LEASE,
        list_lag_ms: 3_000,
        calls_open: 64,
        value_bytes: 4_096,
        teams: vec![Team { name: "t".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 }],
        aims: Vec::new(),
        aimed: Default::default(),
        prompt: Vec::new(),
    }
}

/// A type of eight CPUs, in these zones.
pub fn machine_type(zones: Vec<String>) -> MachineType {
    MachineType {
        name: "g".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        price: 1.0,
        spot_price: 0.3,
        boot_s: 10.0,
        cache_gb: 4.0,
        fetch_gb_per_s: 0.5,
        zones,
    }
}

pub fn name(i: u64) -> String {
    format!("n-{i:06}")
}

pub fn spec(id: u64, tasks: u32) -> Arc<JobSpec> {
    Arc::new(JobSpec {
        id: JobId(id),
        class: "c".into(),
        team: "t".into(),
        priority: Priority::Normal,
        tasks,
        gang: false,
        demand: Demand { cpus: 4.0, gpus: 0.0, memory_gb: 4.0 },
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: "i".into(),
        image_gb: 1.0,
        estimate_s: 20.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    })
}
