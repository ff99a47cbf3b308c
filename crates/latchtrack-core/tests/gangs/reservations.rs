//! Capacity reserved for waiting gangs and for future ones.

use std::collections::BTreeMap;

use latchtrack_core::job::{JobId, JobSpec};
use latchtrack_core::machine::{ExitCause, TaskPhase};
use latchtrack_core::scheduler::{CompletionObjective, Due, Event, Policy, StartObjective};

use super::common::policy;
use super::common::site::{new_leader, Cluster, TOKEN};
use super::{array, gang, long_idle_timeout, only_attempt};

/// Capacity becomes free task by task while two gangs and an array job wait for it. Divided between
/// the gangs, or taken by the array, it would never suffice for either gang.
#[test]
fn capacity_is_reserved_for_one_gang_after_the_other() {
    let mut cluster = Cluster::new(2, long_idle_timeout());
    cluster.submit(array(1, 4));
    cluster.advance_time(400);
    cluster.set_phase(1, TaskPhase::Running, |_| true);
    cluster.submit(gang(2, 4));
    cluster.submit(gang(3, 4));
    cluster.advance_time(4_000);
    // Its demand is smaller than that of the gangs, so it is behind them in the queue.
    cluster.submit(array(4, 3));
    for index in 0..4 {
        cluster.set_phase(1, TaskPhase::Ended(ExitCause::Done), |i| i == index);
        cluster.advance_time(3_000);
        let begun = usize::from(index == 3);
        assert_eq!(
            cluster.live_by_attempt(2).len() + cluster.live_by_attempt(3).len(),
            begun,
            "after {index}"
        );
        assert_eq!(cluster.live_by_attempt(4).len(), 0, "after {index}");
    }
}

/// A gang without an objective starts within a minute, although hundreds of tasks are ahead of it.
#[test]
fn a_gang_behind_a_long_queue_starts() {
    let mut policy = long_idle_timeout();
    policy.completion_objectives =
        vec![CompletionObjective { class: "aimed".into(), due: Due::Within(3_600_000) }];
    let mut cluster = Cluster::new(2, policy);
    cluster.submit(JobSpec { class: "aimed".into(), ..array(1, 400) });
    cluster.advance_time(1_000);
    cluster.submit(gang(2, 3));
    let mut begun = None;
    for second in 0..90 {
        // One task of the array ends each second.
        cluster.set_phase(1, TaskPhase::Running, |_| true);
        let next = cluster
            .tasks
            .values()
            .flatten()
            .filter(|((t, _), p)| t.job == JobId(1) && **p == TaskPhase::Running)
            .map(|((t, _), _)| t.index)
            .min();
        cluster.set_phase(1, TaskPhase::Ended(ExitCause::Done), |i| Some(i) == next);
        cluster.advance_time(1_000);
        if !cluster.live_by_attempt(2).is_empty() {
            begun = Some(second);
            break;
        }
    }
    assert!(begun.is_some_and(|s| s < 60), "started after {begun:?} s");
    only_attempt(&cluster, 2, 3);
}

/// The machines of a gang that needs several came up one after the other, and each was terminated
/// as idle before the next one was up.
#[test]
fn machines_waiting_for_the_rest_of_a_gang_are_not_idle() {
    let mut cluster = Cluster::new(3, Policy { on_demand_idle_timeout_ms: 4_000, ..policy() });
    // Machine 2 is not up yet.
    cluster.tasks.remove(&2);
    cluster.leader =
        new_leader(2, TOKEN, Policy { on_demand_idle_timeout_ms: 4_000, ..policy() }, 1_000);
    cluster.send_all_heartbeats();
    cluster.submit(gang(1, 6));
    cluster.advance_time(20_000);
    assert!(cluster.leader.machines().values().all(|m| !m.to_terminate));
    cluster.tasks.insert(2, BTreeMap::new());
    cluster.advance_time(3_000);
    only_attempt(&cluster, 1, 6);
}

/// Returns a policy with a class of gangs, `prompt`, that should start within a second.
fn start_objective_policy() -> Policy {
    let objective = StartObjective { class: "prompt".into(), within_ms: 1_000 };
    Policy { start_objectives: vec![objective], ..long_idle_timeout() }
}

/// Returns a gang of class `prompt`.
fn gang_with_start_objective(id: u64, tasks: u32) -> JobSpec {
    JobSpec { class: "prompt".into(), ..gang(id, tasks) }
}

#[test]
fn capacity_is_reserved_for_future_gangs_with_start_objectives() {
    let mut cluster = Cluster::new(4, start_objective_policy());
    for (id, tasks) in [(1, 3), (2, 2)] {
        cluster.submit(gang_with_start_objective(id, tasks));
        cluster.advance_time(400);
        cluster.set_phase(id, TaskPhase::Ended(ExitCause::Done), |_| true);
        cluster.advance_time(1_000);
    }
    // Eight tasks fit on four machines; capacity for three is reserved.
    cluster.submit(array(3, 100));
    cluster.advance_time(3_000);
    assert_eq!(cluster.live_by_attempt(3).len(), 5);
    cluster.set_phase(3, TaskPhase::Running, |_| true);
    cluster.submit(gang_with_start_objective(4, 3));
    cluster.advance_time(400);
    only_attempt(&cluster, 4, 3);
    // Freed capacity is reserved for the next gang rather than given to the array.
    cluster.set_phase(3, TaskPhase::Ended(ExitCause::Done), |i| i < 3);
    cluster.advance_time(2_000);
    assert_eq!(cluster.live_by_attempt(3).len(), 2);
    cluster.submit(gang_with_start_objective(5, 3));
    cluster.advance_time(400);
    only_attempt(&cluster, 5, 3);
    // After 120 s without such a gang, nothing is reserved any more.
    for id in [4, 5] {
        cluster.set_phase(id, TaskPhase::Ended(ExitCause::Done), |_| true);
    }
    cluster.advance_time(130_000);
    assert_eq!(cluster.live_by_attempt(3).len(), 8);
}

#[test]
fn a_machine_reserved_for_future_gangs_is_not_idle() {
    let policy = Policy { on_demand_idle_timeout_ms: 4_000, ..start_objective_policy() };
    let mut cluster = Cluster::new(2, policy);
    cluster.submit(gang_with_start_objective(1, 2));
    cluster.advance_time(400);
    cluster.set_phase(1, TaskPhase::Ended(ExitCause::Done), |_| true);
    let to_terminate =
        |cluster: &Cluster| cluster.leader.machines().values().filter(|m| m.to_terminate).count();
    cluster.advance_time(60_000);
    assert_eq!(to_terminate(&cluster), 1, "one of two machines is kept");
    cluster.advance_time(70_000);
    assert_eq!(to_terminate(&cluster), 2);
}

/// The machines that are up are too few for a gang of the class, so the missing ones are
/// provisioned before the next such gang arrives.
#[test]
fn missing_capacity_for_future_gangs_is_provisioned() {
    let mut cluster = Cluster::new(1, start_objective_policy());
    cluster.no_capacity = true;
    cluster.submit(gang_with_start_objective(1, 4));
    cluster.advance_time(400);
    // These are for the gang itself. After it is cancelled, only future gangs need machines.
    let before = cluster.provisions.len();
    assert!(before >= 1);
    cluster.handle_event(Event::JobClosed(JobId(1)));
    cluster.advance_time(15_000);
    assert!(cluster.provisions.len() > before);
}
