//! Capacity that is reserved for gangs, that wait or are to come.

use std::collections::BTreeMap;

use latchtrack_core::job::{JobId, JobSpec};
use latchtrack_core::machine::{ExitCause, TaskPhase};
use latchtrack_core::scheduler::{CompletionObjective, Due, Event, Policy, StartObjective};

use super::common::policy;
use super::common::site::{new_leader, Site, TOKEN};
use super::{array, gang, long_idle_timeout, only_attempt};

/// Two gangs that each could hold half: capacity comes free for one task after the other, and an array
/// is there to take it.
#[test]
fn capacity_is_reserved_for_one_gang_after_the_other() {
    let mut site = Site::new(2, long_idle_timeout());
    site.submit(array(1, 4));
    site.pass(400);
    site.set(1, TaskPhase::Running, |_| true);
    site.submit(gang(2, 4));
    site.submit(gang(3, 4));
    site.pass(4_000);
    // Behind the gangs by its demand.
    site.submit(array(4, 3));
    for index in 0..4 {
        site.set(1, TaskPhase::Ended(ExitCause::Done), |i| i == index);
        site.pass(3_000);
        let begun = usize::from(index == 3);
        assert_eq!(site.live(2).len() + site.live(3).len(), begun, "after {index}");
        assert_eq!(site.live(4).len(), 0, "after {index}");
    }
}

/// A gang far down the queue, with no aim, all the same begins soon.
#[test]
fn a_gang_behind_an_endless_queue_begins() {
    let mut policy = long_idle_timeout();
    policy.completion_objectives =
        vec![CompletionObjective { class: "aimed".into(), due: Due::Within(3_600_000) }];
    let mut site = Site::new(2, policy);
    site.submit(JobSpec { class: "aimed".into(), ..array(1, 400) });
    site.pass(1_000);
    site.submit(gang(2, 3));
    let mut begun = None;
    for second in 0..90 {
        // One task of the array ends each second.
        site.set(1, TaskPhase::Running, |_| true);
        let next = site
            .tasks
            .values()
            .flatten()
            .filter(|((t, _), p)| t.job == JobId(1) && **p == TaskPhase::Running)
            .map(|((t, _), _)| t.index)
            .min();
        site.set(1, TaskPhase::Ended(ExitCause::Done), |i| Some(i) == next);
        site.pass(1_000);
        if !site.live(2).is_empty() {
            begun = Some(second);
            break;
        }
    }
    assert!(begun.is_some_and(|s| s < 60), "begun after {begun:?} s");
    only_attempt(&site, 2, 3);
}

/// Found by simulation: the machines of a gang that needs several came up one after the other, and
/// each was given back as idle before the next was there.
#[test]
fn machines_that_wait_for_the_others_of_a_gang_are_not_idle() {
    let mut site = Site::new(3, Policy { on_demand_idle_timeout_ms: 4_000, ..policy() });
    // One machine is not there yet.
    site.tasks.remove(&2);
    site.leader =
        new_leader(2, TOKEN, Policy { on_demand_idle_timeout_ms: 4_000, ..policy() }, 1_000);
    site.report_all();
    site.submit(gang(1, 6));
    site.pass(20_000);
    assert!(site.leader.machines().values().all(|m| !m.to_terminate));
    site.tasks.insert(2, BTreeMap::new());
    site.pass(3_000);
    only_attempt(&site, 1, 6);
}

/// A policy with a class of gangs that are to start within a second.
fn start_objectives() -> Policy {
    let objective = StartObjective { class: "prompt".into(), within_ms: 1_000 };
    Policy { start_objectives: vec![objective], ..long_idle_timeout() }
}

/// A gang of that class.
fn gang_with_start_objective(id: u64, tasks: u32) -> JobSpec {
    JobSpec { class: "prompt".into(), ..gang(id, tasks) }
}

#[test]
fn capacity_for_the_largest_gang_with_a_start_objective_is_reserved_while_more_may_come() {
    let mut site = Site::new(4, start_objectives());
    for (id, tasks) in [(1, 3), (2, 2)] {
        site.submit(gang_with_start_objective(id, tasks));
        site.pass(400);
        site.set(id, TaskPhase::Ended(ExitCause::Done), |_| true);
        site.pass(1_000);
    }
    // Eight tasks fit on four machines: all but three are for it.
    site.submit(array(3, 100));
    site.pass(3_000);
    assert_eq!(site.live(3).len(), 5);
    site.set(3, TaskPhase::Running, |_| true);
    site.submit(gang_with_start_objective(4, 3));
    site.pass(400);
    only_attempt(&site, 4, 3);
    // What comes free is for the next, before the array.
    site.set(3, TaskPhase::Ended(ExitCause::Done), |i| i < 3);
    site.pass(2_000);
    assert_eq!(site.live(3).len(), 2);
    site.submit(gang_with_start_objective(5, 3));
    site.pass(400);
    only_attempt(&site, 5, 3);
    // None came for long: nothing is kept any more.
    for id in [4, 5] {
        site.set(id, TaskPhase::Ended(ExitCause::Done), |_| true);
    }
    site.pass(130_000);
    assert_eq!(site.live(3).len(), 8);
}

#[test]
fn a_machine_that_is_reserved_for_gangs_to_come_is_not_idle() {
    let policy = Policy { on_demand_idle_timeout_ms: 4_000, ..start_objectives() };
    let mut site = Site::new(2, policy);
    site.submit(gang_with_start_objective(1, 2));
    site.pass(400);
    site.set(1, TaskPhase::Ended(ExitCause::Done), |_| true);
    let to_terminate =
        |site: &Site| site.leader.machines().values().filter(|m| m.to_terminate).count();
    site.pass(60_000);
    assert_eq!(to_terminate(&site), 1, "one of two is kept");
    site.pass(70_000);
    assert_eq!(to_terminate(&site), 2);
}

/// Nothing that is up could ever hold it: it is provisioned before the next one comes.
#[test]
fn what_no_machine_could_hold_is_provisioned_for_the_next_gang_with_a_start_objective() {
    let mut site = Site::new(1, start_objectives());
    site.no_capacity = true;
    site.submit(gang_with_start_objective(1, 4));
    site.pass(400);
    // For the gang itself; called off, it leaves nothing to provision for but the next.
    let before = site.provisions.len();
    assert!(before >= 1);
    site.drive(Event::JobClosed(JobId(1)));
    site.pass(15_000);
    assert!(site.provisions.len() > before);
}
