//! How a new leader treats the attempts of gangs that are in progress.

use std::sync::Arc;

use latchtrack_core::job::{JobId, TaskId};
use latchtrack_core::machine::{ExitCause, TaskPhase};
use latchtrack_core::scheduler::{AttemptState, Event};

use super::common::site::{Cluster, TOKEN};
use super::{gang, long_idle_timeout, only_attempt};

/// Returns a cluster with a gang of four tasks in these phases after a failover. One task's machine
/// may have no record of it.
fn after_failover(phase_of: impl Fn(u32) -> TaskPhase, forgotten: Option<u32>) -> Cluster {
    let mut cluster = Cluster::new(2, long_idle_timeout());
    cluster.submit(gang(1, 4));
    cluster.advance_time(400);
    for index in 0..4 {
        cluster.set_phase(1, phase_of(index), |i| i == index);
    }
    for tasks in cluster.tasks.values_mut() {
        tasks.retain(|(task, _), _| Some(task.index) != forgotten);
    }
    cluster.fail_over(2, long_idle_timeout());
    let spec = Arc::new(gang(1, 4));
    cluster.handle_event(Event::JobOpened {
        spec,
        submitted_at: 0,
        revision: TOKEN + 1,
        done: None,
    });
    cluster.send_heartbeat(0);
    cluster.advance_time(600);
    cluster
}

#[test]
fn a_new_leader_keeps_a_complete_attempt() {
    for phase in [TaskPhase::Running, TaskPhase::Waiting, TaskPhase::Fetching] {
        let mut cluster = after_failover(|_| phase, None);
        cluster.advance_time(10_000);
        only_attempt(&cluster, 1, 4);
        assert_eq!((cluster.launches.len(), cluster.stops.len()), (4, 0), "{phase:?}");
    }
}

#[test]
fn a_new_leader_replaces_an_incomplete_attempt() {
    for forgotten in 0..4 {
        let mut cluster = after_failover(|_| TaskPhase::Waiting, Some(forgotten));
        cluster.advance_time(10_000);
        let attempt = only_attempt(&cluster, 1, 4);
        assert_eq!(attempt >> latchtrack_core::constants::ATTEMPT_BITS, cluster.leader.token());
        assert_eq!((cluster.launches.len(), cluster.stops.len()), (8, 3));
    }
}

/// Ended tasks of an older attempt that machines still report do not affect the running attempt.
#[test]
fn an_ended_task_of_an_older_attempt_does_not_end_the_next() {
    let mut cluster = after_failover(|_| TaskPhase::Running, None);
    for tasks in cluster.tasks.values_mut() {
        for index in 0..4 {
            let old = (TaskId { job: JobId(1), index }, 1);
            tasks.insert(old, TaskPhase::Ended(ExitCause::GangIncomplete));
        }
    }
    cluster.fail_over(2, long_idle_timeout());
    let spec = Arc::new(gang(1, 4));
    cluster.handle_event(Event::JobOpened {
        spec,
        submitted_at: 0,
        revision: TOKEN + 1,
        done: None,
    });
    cluster.advance_time(5_000);
    assert_eq!((cluster.attempt_state(1), cluster.stops.len()), (AttemptState::Running, 0));
}
