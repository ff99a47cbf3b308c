//! Gangs and their teams' limits.

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
    // Not before the last task of the first is gone.
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

/// Found by simulation: an operator's slice of two tasks was more than the team's limit allows. Of
/// a job that had not begun for long it was counted as used, and with it the whole limit.
#[test]
fn a_slice_above_the_team_limit_does_not_block_other_jobs() {
    let mut policy = Policy { slice: 2, ..long_idle_timeout() };
    policy.teams[0].cpus_max = 4.0;
    let mut cluster = Cluster::new(2, policy);
    // There is no machine for it just now.
    cluster.submit(JobSpec { types: Some(vec!["h".into()]), ..array(1, 2) });
    cluster.advance_time(200_000);
    let demand = Resources { cpus: 1.0, gpus: 0.0, memory_gb: 1.0 };
    cluster.submit(JobSpec { demand, ..gang(2, 4) });
    cluster.advance_time(2_000);
    only_attempt(&cluster, 2, 4);
}

/// Found by simulation: a gang submitted with a mistake was to begin before all others for ever,
/// and kept its team's limit from a good one.
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
    // It takes the rest of the limit, and the quarantined gang waits.
    cluster.submit(gang(3, 3));
    cluster.advance_time(120_000);
    assert_eq!((cluster.live_by_attempt(2).len(), cluster.live_by_attempt(1).len()), (1, 0));
    only_attempt(&cluster, 3, 3);
    assert_eq!(cluster.leader.jobs()[&JobId(1)].unschedulable_since, None);
}

/// Found by simulation: a job that was to begin before all others needed a machine that was not
/// there, and in its turn, behind the team's other jobs, their limit was used up: none was provisioned.
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
        // One task of the two that run ends each second.
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

/// Found by simulation: a gang that was to begin before all others was launched in part, as far as
/// its team's limit went, and stopped again, over and over.
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

/// Found by simulation: a gang had its team's limit, but while the machines for it booted the
/// team's other jobs took that, and when it had the limit again its machines had been given back.
#[test]
fn a_gang_keeps_its_teams_limit_while_its_machines_boot() {
    let mut policy = long_idle_timeout();
    policy.teams[0].cpus_max = 16.0;
    let mut cluster = Cluster::new(2, policy);
    cluster.no_capacity = true;
    // There is no machine for it yet.
    cluster.submit(JobSpec { types: Some(vec!["h".into()]), ..gang(1, 4) });
    cluster.advance_time(31_000);
    let small = Resources { cpus: 1.0, gpus: 0.0, memory_gb: 1.0 };
    cluster.submit(JobSpec { demand: small, ..array(2, 8) });
    cluster.advance_time(10_000);
    assert_eq!(cluster.live_by_attempt(2).len(), 0, "its limit is kept");
    cluster.advance_time(60_000);
    assert_eq!(cluster.live_by_attempt(2).len(), 8, "but not for ever");
}
