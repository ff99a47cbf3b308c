//! Gangs, each rule as a small case of its own. The simulation has them in all its faults.

mod attempts;
#[path = "../common/mod.rs"]
mod common;
mod failover;
mod reservations;
mod team_limits;

use common::site::Cluster;
use common::{policy, spec};
use latchtrack_core::job::JobSpec;
use latchtrack_core::scheduler::Policy;

/// A policy that terminates no idle machine while a case lasts.
fn long_idle_timeout() -> Policy {
    Policy { on_demand_idle_timeout_ms: 600_000, ..policy() }
}

/// A gang of tasks of four CPUs, two to a machine.
fn gang(id: u64, tasks: u32) -> JobSpec {
    JobSpec { gang: true, spot: false, ..(*spec(id, tasks)).clone() }
}

/// An array of tasks of four CPUs, on on-demand machines.
fn array(id: u64, tasks: u32) -> JobSpec {
    JobSpec { spot: false, ..(*spec(id, tasks)).clone() }
}

/// The attempt in which all tasks of the job are, and no other.
#[track_caller]
fn only_attempt(cluster: &Cluster, id: u64, tasks: usize) -> u64 {
    let live = cluster.live_by_attempt(id);
    assert_eq!(live.len(), 1, "{live:?}");
    let (attempt, count) = live.into_iter().next().expect("one attempt");
    assert_eq!(count, tasks);
    attempt
}
