//! What a new leader makes of the attempts that it finds.

use std::sync::Arc;

use latchtrack_core::job::{JobId, TaskId};
use latchtrack_core::machine::{ExitCause, TaskPhase};
use latchtrack_core::scheduler::{AttemptState, Event};

use super::common::site::{new_leader, Site, TOKEN};
use super::{gang, long_idle_timeout, only_attempt};

/// The next leader finds an attempt at some stage.
fn after_failover(phase_of: impl Fn(u32) -> TaskPhase, forgotten: Option<u32>) -> Site {
    let mut site = Site::new(2, long_idle_timeout());
    site.submit(gang(1, 4));
    site.pass(400);
    for index in 0..4 {
        site.set(1, phase_of(index), |i| i == index);
    }
    for tasks in site.tasks.values_mut() {
        tasks.retain(|(task, _), _| Some(task.index) != forgotten);
    }
    site.leader = new_leader(2, TOKEN + 9, long_idle_timeout(), site.now);
    let spec = Arc::new(gang(1, 4));
    site.drive(Event::JobOpened { spec, submitted_at: 0, revision: TOKEN + 1, done: None });
    site.report(0);
    site.pass(600);
    site
}

#[test]
fn a_new_leader_leaves_a_whole_attempt_alone() {
    for phase in [TaskPhase::Running, TaskPhase::Waiting, TaskPhase::Fetching] {
        let mut site = after_failover(|_| phase, None);
        site.pass(10_000);
        only_attempt(&site, 1, 4);
        assert_eq!((site.launches.len(), site.stops.len()), (4, 0), "{phase:?}");
    }
}

#[test]
fn a_new_leader_ends_an_attempt_that_is_not_whole_and_makes_a_new_one() {
    for forgotten in 0..4 {
        let mut site = after_failover(|_| TaskPhase::Waiting, Some(forgotten));
        site.pass(10_000);
        let attempt = only_attempt(&site, 1, 4);
        assert_eq!(attempt >> latchtrack_core::constants::ATTEMPT_BITS, TOKEN + 9);
        assert_eq!((site.launches.len(), site.stops.len()), (8, 3));
    }
}

/// A line of an older attempt that was not forgotten yet says nothing of the one that runs.
#[test]
fn an_ended_task_of_an_older_attempt_does_not_end_the_next() {
    let mut site = after_failover(|_| TaskPhase::Running, None);
    for tasks in site.tasks.values_mut() {
        for index in 0..4 {
            let old = (TaskId { job: JobId(1), index }, 1);
            tasks.insert(old, TaskPhase::Ended(ExitCause::GangIncomplete));
        }
    }
    site.leader = new_leader(2, TOKEN + 20, long_idle_timeout(), site.now);
    let spec = Arc::new(gang(1, 4));
    site.drive(Event::JobOpened { spec, submitted_at: 0, revision: TOKEN + 1, done: None });
    site.pass(5_000);
    assert_eq!((site.state(1), site.stops.len()), (AttemptState::Running, 0));
}
