//! Gangs under the limits of their teams.

use latchtrack_core::job::{JobId, JobSpec, Resources};
use latchtrack_core::machine::{ExitCause, TaskPhase};
use latchtrack_core::scheduler::{CompletionObjective, Due, Policy};

use super::common::site::Cluster;
use super::{array, gang, long_idle_timeout, only_attempt};

#[test]
fn a_gang_counts_whole_against_its_teams_limit() {
    let mut policy = long_idle_timeout();
    policy.teams[0].cpus_max = 16.0;
    let mut cluster = Cluster::new(4, policy);
    cluster.submit(gang(1, 4));
    cluster.submit(gang(2, 4));
    cluster.advance_time(2_000);
    let (first, second) = (cluster.live_by_attempt(1), cluster.live_by_attempt(2));
    assert_eq!(first.len() + second.len(), 1, "{first:?} {second:?}");
    // The second gang starts only after the last task of the first has ended.
    let (begun, waits) = if first.is_empty() { (2, 1) } else { (1, 2) };
    cluster.set_phase(begun, TaskPhase::Running, |_| true);
    cluster.advance_time(1_000);
    cluster.set_phase(begun, TaskPhase::Ended(ExitCause::Done), |i| i < 3);
    cluster.advance_time(2_000);
    assert_eq!(cluster.live_by_attempt(waits).len(), 0);
    cluster.set_phase(begun, TaskPhase::Ended(ExitCause::Done), |_| true);
    cluster.advance_time(2_000);
    only_attempt(&cluster, waits, 4);
}

/// An operator set a slice of two tasks, more than the team's limit allows. Once a job that could
/// not start was starving, its slice counted as used and took up the whole limit.
#[test]
fn a_slice_above_the_team_limit_does_not_block_other_jobs() {
    let mut policy = Policy { slice: 2, ..long_idle_timeout() };
    policy.teams[0].cpus_max = 4.0;
    let mut cluster = Cluster::new(2, policy);
    // No machine has the type that the job needs.
    cluster.submit(JobSpec { types: Some(vec!["h".into()]), ..array(1, 2) });
    cluster.advance_time(200_000);
    let demand = Resources { cpus: 1.0, gpus: 0.0, memory_gb: 1.0 };
    cluster.submit(JobSpec { demand, ..gang(2, 4) });
    cluster.advance_time(2_000);
    only_attempt(&cluster, 2, 4);
}

/// A broken gang took precedence over all other jobs forever, and its reserved quota kept a sound
/// gang of the same team from starting.
#[test]
fn nothing_is_reserved_for_a_quarantined_gang() {
    let mut policy = long_idle_timeout();
    policy.teams[0].cpus_max = 16.0;
    let mut cluster = Cluster::new(4, policy);
    cluster.submit(gang(1, 4));
    for _ in 0..200 {
        cluster.set_phase(1, TaskPhase::Ended(ExitCause::Failed), |_| true);
        cluster.advance_time(1_000);
    }
    assert!(cluster.leader.jobs()[&JobId(1)].is_quarantined);
    cluster.submit(array(2, 1));
    cluster.advance_time(1_000);
    cluster.set_phase(2, TaskPhase::Running, |_| true);
    // Gang 3 takes the rest of the limit, and the quarantined gang waits.
    cluster.submit(gang(3, 3));
    cluster.advance_time(120_000);
    assert_eq!((cluster.live_by_attempt(2).len(), cluster.live_by_attempt(1).len()), (1, 0));
    only_attempt(&cluster, 3, 3);
    assert_eq!(cluster.leader.jobs()[&JobId(1)].unschedulable_since, None);
}

/// A starving job needed a machine in another zone. When its turn for provisioning came, after the
/// team's other jobs, the team's limit was used up, so that no machine was provisioned.
#[test]
fn a_starving_job_provisions_before_its_team_uses_its_limit() {
    let mut policy = long_idle_timeout();
    policy.teams[0].cpus_max = 8.0;
    policy.completion_objectives =
        vec![CompletionObjective { class: "aimed".into(), due: Due::Within(3_600_000) }];
    // One machine, in zone a.
    let mut cluster = Cluster::new(1, policy);
    cluster.no_capacity = true;
    let zone = |zone: &str| Some(zone.to_string());
    cluster.submit(JobSpec { class: "aimed".into(), zone: zone("a"), ..array(1, 400) });
    cluster.advance_time(1_000);
    cluster.submit(JobSpec { zone: zone("b"), ..array(2, 1) });
    for _ in 0..200 {
        // One of the two running tasks ends each second.
        cluster.set_phase(1, TaskPhase::Running, |_| true);
        let running = cluster.tasks[&0].iter().filter(|(_, phase)| **phase == TaskPhase::Running);
        let first = running.map(|((task, _), _)| task.index).min();
        cluster.set_phase(1, TaskPhase::Ended(ExitCause::Done), |i| Some(i) == first);
        let before = cluster.provisions.len();
        cluster.advance_time(1_000);
        if cluster.provisions[before..].iter().any(|offer| offer.zone == "b") {
            return;
        }
    }
    panic!("expected a machine in zone b to be provisioned");
}

/// A starving gang was launched in part, as far as its team's limit allowed, and stopped again,
/// over and over.
#[test]
fn a_gang_is_never_launched_in_part_under_its_teams_limit() {
    let mut policy = long_idle_timeout();
    policy.teams[0].cpus_max = 16.0;
    let mut cluster = Cluster::new(4, policy);
    cluster.submit(array(1, 2));
    cluster.advance_time(1_000);
    cluster.set_phase(1, TaskPhase::Running, |_| true);
    cluster.submit(gang(2, 4));
    for _ in 0..60 {
        cluster.advance_time(1_000);
        assert_eq!(cluster.live_by_attempt(2).len(), 0);
    }
    assert_eq!(cluster.stops, []);
    cluster.set_phase(1, TaskPhase::Ended(ExitCause::Done), |_| true);
    cluster.advance_time(2_000);
    only_attempt(&cluster, 2, 4);
}

/// While a gang's machines booted, its team's other jobs used up the team's limit. By the time the
/// gang fit the limit again, its machines had been terminated as idle.
#[test]
fn a_gang_keeps_its_teams_limit_while_its_machines_boot() {
    let mut policy = long_idle_timeout();
    policy.teams[0].cpus_max = 16.0;
    let mut cluster = Cluster::new(2, policy);
    cluster.no_capacity = true;
    // No machine has the type that the gang needs.
    cluster.submit(JobSpec { types: Some(vec!["h".into()]), ..gang(1, 4) });
    cluster.advance_time(31_000);
    let small = Resources { cpus: 1.0, gpus: 0.0, memory_gb: 1.0 };
    cluster.submit(JobSpec { demand: small, ..array(2, 8) });
    cluster.advance_time(10_000);
    assert_eq!(cluster.live_by_attempt(2).len(), 0, "quota is reserved for the gang");
    cluster.advance_time(60_000);
    assert_eq!(cluster.live_by_attempt(2).len(), 8, "the reservation expires");
}
