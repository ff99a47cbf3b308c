//! Attempts of gangs: all tasks of an attempt start together and end together, and an attempt
//! starts only after the previous one has ended.

use std::collections::BTreeSet;
use std::sync::Arc;

use latchtrack_core::job::{JobId, JobSpec, Resources, TaskId};
use latchtrack_core::machine::{ExitCause, TaskPhase};
use latchtrack_core::scheduler::{AttemptState, Event, RecordWrite};

use super::common::site::{zone_of, Cluster, TOKEN};
use super::{gang, long_idle_timeout, only_attempt};

#[test]
fn a_gang_starts_whole_under_one_attempt_number_or_not_at_all() {
    let mut cluster = Cluster::new(2, long_idle_timeout());
    cluster.submit(gang(1, 5));
    cluster.advance_time(1_000);
    assert_eq!(cluster.launches, [], "only four of five tasks fit");
    cluster.submit(gang(2, 4));
    cluster.advance_time(400);
    only_attempt(&cluster, 2, 4);
    assert_eq!(cluster.attempt_state(2), AttemptState::Starting);
    cluster.set_phase(2, TaskPhase::Waiting, |i| i > 0);
    cluster.advance_time(2_000);
    assert_eq!(cluster.attempt_state(2), AttemptState::Starting);
    let running = |cluster: &Cluster| {
        let mut progress = cluster.leader.progress();
        progress.find(|job| job.job.0 == 2).expect("job 2").running
    };
    assert_eq!(running(&cluster), 0);
    cluster.set_phase(2, TaskPhase::Running, |_| true);
    cluster.advance_time(1_000);
    assert_eq!((cluster.attempt_state(2), running(&cluster)), (AttemptState::Running, 4));
}

#[test]
fn gangs_respect_zone_constraints() {
    let mut cluster = Cluster::new(4, long_idle_timeout());
    cluster.submit(JobSpec { one_zone: true, ..gang(1, 4) });
    cluster.advance_time(400);
    only_attempt(&cluster, 1, 4);
    let zones: BTreeSet<&str> = cluster.launches.iter().map(|(i, ..)| zone_of(*i)).collect();
    assert_eq!(zones.len(), 1);
    // A spread gang has at most half of its tasks, rounded up, in one zone.
    let mut cluster = Cluster::new(4, long_idle_timeout());
    cluster.submit(JobSpec { spread: true, ..gang(1, 5) });
    cluster.advance_time(400);
    only_attempt(&cluster, 1, 5);
    let in_a = cluster.launches.iter().filter(|(i, ..)| zone_of(*i) == "a").count();
    assert!((2..=3).contains(&in_a), "{in_a} in zone a");
}

/// When a task ends without a result, at any stage and for any cause, the others are told to stop,
/// and the next attempt waits until all of them have ended.
#[test]
fn an_attempt_starts_after_all_tasks_of_the_previous_one_ended() {
    for stage in [TaskPhase::Fetching, TaskPhase::Waiting, TaskPhase::Running] {
        for cause in [
            ExitCause::Failed,
            ExitCause::GangIncomplete,
            ExitCause::GangPeerLost,
            ExitCause::InsufficientResources,
            ExitCause::Unrecognised,
        ] {
            let mut cluster = Cluster::new(2, long_idle_timeout());
            cluster.submit(gang(1, 4));
            cluster.advance_time(400);
            let first = only_attempt(&cluster, 1, 4);
            cluster.set_phase(1, stage, |_| true);
            cluster.advance_time(1_000);
            // Machine 1 receives no more commands, so its tasks stay.
            cluster.inbound_lost.insert(1);
            cluster.set_phase(1, TaskPhase::Ended(cause), |i| i == 0);
            cluster.send_heartbeat(0);
            cluster.send_heartbeat(1);
            assert_eq!(cluster.attempt_state(1), AttemptState::Stopping);
            cluster.advance_time(3_000);
            assert_eq!(
                cluster.live_by_attempt(1).keys().copied().collect::<Vec<_>>(),
                [first],
                "{stage:?} {cause:?}"
            );
            cluster.inbound_lost.clear();
            // For 45 s, the job avoids a machine on which it failed.
            cluster.advance_time(60_000);
            let second = only_attempt(&cluster, 1, 4);
            assert!(second > first, "{stage:?} {cause:?}");
        }
    }
}

/// An aborted fetch would start over with the next attempt, which would not be complete in time
/// either.
#[test]
fn a_slow_fetch_continues_before_the_next_attempt_starts() {
    let mut cluster = Cluster::new(2, long_idle_timeout());
    cluster.submit(gang(1, 4));
    cluster.advance_time(400);
    cluster.set_phase(1, TaskPhase::Waiting, |i| i < 2);
    cluster.advance_time(1_000);
    cluster.set_phase(1, TaskPhase::Ended(ExitCause::GangIncomplete), |i| i < 2);
    cluster.advance_time(5_000);
    let fetching = |cluster: &Cluster| {
        cluster.tasks.values().flatten().filter(|(_, phase)| **phase == TaskPhase::Fetching).count()
    };
    assert_eq!((fetching(&cluster), cluster.attempt_state(1)), (2, AttemptState::Stopping));
    // The fetch completes.
    cluster.set_phase(1, TaskPhase::Waiting, |_| true);
    cluster.advance_time(3_000);
    only_attempt(&cluster, 1, 4);
    assert_eq!((cluster.launches.len(), cluster.attempt_state(1)), (8, AttemptState::Starting));
    // A fetch that never completes delays the next attempt only for a limited time.
    cluster.set_phase(1, TaskPhase::Ended(ExitCause::GangIncomplete), |i| i < 2);
    cluster.advance_time(60_000);
    assert!(cluster.launches.len() >= 12, "{}", cluster.launches.len());
}

#[test]
fn the_first_task_that_is_done_completes_the_gang() {
    let mut cluster = Cluster::new(2, long_idle_timeout());
    cluster.submit(gang(1, 4));
    cluster.advance_time(400);
    cluster.set_phase(1, TaskPhase::Running, |_| true);
    cluster.advance_time(1_000);
    cluster.set_phase(1, TaskPhase::Ended(ExitCause::Done), |i| i == 3);
    cluster.advance_time(1_000);
    let done = RecordWrite::JobDone { job: JobId(1), revision: TOKEN + 1, tasks: 4 };
    assert!(cluster.writes.contains(&done), "{:?}", cluster.writes);
    assert_eq!(cluster.stops, [], "the other tasks complete with it");
    assert!(cluster.leader.jobs().is_empty());
}

/// Earlier versions without gang support stored results of single tasks.
#[test]
fn a_stored_result_of_one_task_means_that_the_gang_is_done() {
    let mut cluster = Cluster::new(2, long_idle_timeout());
    let mut done = latchtrack_core::bitmap::Bitmap::new(4);
    done.set(2);
    let spec = Arc::new(gang(1, 4));
    cluster.handle_event(Event::JobOpened { spec, submitted_at: 0, revision: 3, done: Some(done) });
    cluster.advance_time(1_000);
    assert!(cluster.writes.contains(&RecordWrite::JobDone {
        job: JobId(1),
        revision: 3,
        tasks: 4
    }));
    assert_eq!(cluster.launches, []);
}

#[test]
fn a_cancelled_gang_is_stopped_whole_at_every_stage() {
    for stage in
        [TaskPhase::Fetching, TaskPhase::Waiting, TaskPhase::Running, TaskPhase::Checkpointing]
    {
        let mut cluster = Cluster::new(2, long_idle_timeout());
        cluster.submit(gang(1, 4));
        cluster.advance_time(400);
        cluster.set_phase(1, stage, |_| true);
        cluster.advance_time(1_000);
        cluster.handle_event(Event::JobClosed(JobId(1)));
        assert_eq!(cluster.live_by_attempt(1).len(), 0, "{stage:?}");
        cluster.advance_time(5_000);
        assert_eq!(cluster.launches.len(), 4);
    }
}

/// If a machine is about to be preempted, either all tasks of the gang are told to save a
/// checkpoint or none is.
#[test]
fn a_gang_that_can_save_is_stopped_whole_with_enough_grace() {
    let saving = JobSpec { checkpoint_s: 20.0, save_s: 3.0, ..gang(1, 4) };
    let mut cluster = Cluster::new(2, long_idle_timeout());
    cluster.submit(saving.clone());
    cluster.advance_time(400);
    cluster.set_phase(1, TaskPhase::Running, |_| true);
    cluster.advance_time(1_000);
    cluster.preemption_notices.insert(0, 15.0);
    cluster.send_heartbeat(0);
    cluster.handle_event(Event::Tick);
    let told: BTreeSet<TaskId> = cluster.stops.iter().map(|(task, _)| *task).collect();
    assert_eq!((told.len(), cluster.stops.len()), (4, 4));
    assert!(cluster.stops.iter().all(|(_, grace_s)| *grace_s >= 3.0), "{:?}", cluster.stops);
    // Once one task has saved, the progress of the gang is safe, and the others stop immediately.
    cluster.set_phase(1, TaskPhase::Ended(ExitCause::Stopped), |i| i == 0);
    cluster.send_all_heartbeats();
    cluster.handle_event(Event::Tick);
    assert_eq!(cluster.live_by_attempt(1).len(), 0);

    let mut cluster = Cluster::new(2, long_idle_timeout());
    cluster.submit(saving);
    cluster.advance_time(400);
    // A waiting gang has nothing to save.
    cluster.preemption_notices.insert(0, 15.0);
    cluster.advance_time(2_000);
    assert_eq!(cluster.stops, []);
}

/// All failures of an attempt count as one: a gang whose tasks all fail at once is not quarantined,
/// and only the first machine counts the failure.
#[test]
fn the_failures_of_one_attempt_count_once() {
    let mut cluster = Cluster::new(4, long_idle_timeout());
    let demand = Resources { cpus: 8.0, gpus: 0.0, memory_gb: 8.0 };
    cluster.submit(JobSpec { demand, ..gang(1, 4) });
    cluster.advance_time(400);
    cluster.set_phase(1, TaskPhase::Running, |_| true);
    cluster.advance_time(1_000);
    cluster.set_phase(1, TaskPhase::Ended(ExitCause::Failed), |_| true);
    cluster.send_all_heartbeats();
    let job = &cluster.leader.jobs()[&JobId(1)];
    assert_eq!((job.failed_on.len(), job.is_quarantined), (1, false));
    let blamed = cluster
        .leader
        .machines()
        .values()
        .filter(|machine| !machine.failed_jobs.is_empty())
        .count();
    assert_eq!(blamed, 1);
}

/// An unanswered launch may be executed later, so the attempt is not over until that machine is
/// known not to run the task.
#[test]
fn an_unanswered_launch_delays_the_next_attempt() {
    let mut cluster = Cluster::new(2, long_idle_timeout());
    cluster.inbound_lost.insert(1);
    cluster.submit(gang(1, 4));
    cluster.advance_time(400);
    let first = *cluster.live_by_attempt(1).keys().next().expect("an attempt");
    cluster.set_phase(1, TaskPhase::Ended(ExitCause::GangIncomplete), |_| true);
    cluster.advance_time(3_000);
    assert_eq!(cluster.live_by_attempt(1).len(), 0);
    assert_eq!(cluster.attempt_state(1), AttemptState::Stopping);
    // Once the machine receives messages again, one response tells it to launch and to stop the
    // tasks of the old attempt.
    cluster.inbound_lost.clear();
    cluster.advance_time(6_000);
    let late =
        cluster.launches.iter().filter(|(i, _, attempt)| *i == 1 && *attempt == first).count();
    assert_eq!(late, 2);
    assert!(only_attempt(&cluster, 1, 4) > first);
}
