//! Tests of gang scheduling, one rule per test. The simulation covers gangs under faults.

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

/// Returns a policy by which no idle on-demand machine is terminated during a test.
fn long_idle_timeout() -> Policy {
    Policy { on_demand_idle_timeout_ms: 600_000, ..policy() }
}

/// Returns a gang whose tasks take four CPUs each, so that two fit on a machine.
fn gang(id: u64, tasks: u32) -> JobSpec {
    JobSpec { gang: true, spot: false, ..(*spec(id, tasks)).clone() }
}

/// Returns an array job whose tasks take four CPUs each, on on-demand machines.
fn array(id: u64, tasks: u32) -> JobSpec {
    JobSpec { spot: false, ..(*spec(id, tasks)).clone() }
}

/// Returns the only live attempt of a job, after asserting that all its tasks are in it.
#[track_caller]
fn only_attempt(cluster: &Cluster, id: u64, tasks: usize) -> u64 {
    let live = cluster.live_by_attempt(id);
    assert_eq!(live.len(), 1, "{live:?}");
    let (attempt, count) = live.into_iter().next().expect("one attempt");
    assert_eq!(count, tasks);
    attempt
}
