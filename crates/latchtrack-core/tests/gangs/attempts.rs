//! Attempts of gangs: they start whole, end whole, and follow one another.

use std::collections::BTreeSet;
use std::sync::Arc;

use latchtrack_core::job::{JobId, JobSpec, Resources, TaskId};
use latchtrack_core::machine::{ExitCause, TaskPhase};
use latchtrack_core::scheduler::{AttemptState, Event, RecordWrite};

use super::common::site::{zone_of, Site, TOKEN};
use super::{gang, long_idle_timeout, only_attempt};

#[test]
fn a_gang_starts_whole_under_one_attempt_number_or_not_at_all() {
    let mut site = Site::new(2, long_idle_timeout());
    site.submit(gang(1, 5));
    site.pass(1_000);
    assert_eq!(site.launches, [], "five do not fit");
    site.submit(gang(2, 4));
    site.pass(400);
    only_attempt(&site, 2, 4);
    assert_eq!(site.state(2), AttemptState::Starting);
    site.set(2, TaskPhase::Waiting, |i| i > 0);
    site.pass(2_000);
    assert_eq!(site.state(2), AttemptState::Starting);
    let running = |site: &Site| {
        let mut progress = site.leader.progress();
        progress.find(|job| job.job.0 == 2).expect("job 2").running
    };
    assert_eq!(running(&site), 0);
    site.set(2, TaskPhase::Running, |_| true);
    site.pass(1_000);
    assert_eq!((site.state(2), running(&site)), (AttemptState::Running, 4));
}

#[test]
fn a_gang_of_one_zone_is_in_one_zone() {
    let mut site = Site::new(4, long_idle_timeout());
    site.submit(JobSpec { one_zone: true, ..gang(1, 4) });
    site.pass(400);
    only_attempt(&site, 1, 4);
    let zones: BTreeSet<&str> = site.launches.iter().map(|(i, ..)| zone_of(*i)).collect();
    assert_eq!(zones.len(), 1);
    // Half of one that is to be apart, rounded up.
    let mut site = Site::new(4, long_idle_timeout());
    site.submit(JobSpec { spread: true, ..gang(1, 5) });
    site.pass(400);
    only_attempt(&site, 1, 5);
    let in_a = site.launches.iter().filter(|(i, ..)| zone_of(*i) == "a").count();
    assert!((2..=3).contains(&in_a), "{in_a} in zone a");
}

/// Whatever the stage and the cause, the other tasks are told to go when one has, and the next
/// attempt waits until all of them have.
#[test]
fn the_next_attempt_starts_when_every_task_of_the_last_one_is_gone() {
    for stage in [TaskPhase::Fetching, TaskPhase::Waiting, TaskPhase::Running] {
        for cause in [
            ExitCause::Failed,
            ExitCause::GangIncomplete,
            ExitCause::GangPeerLost,
            ExitCause::InsufficientResources,
            ExitCause::Unrecognised,
        ] {
            let mut site = Site::new(2, long_idle_timeout());
            site.submit(gang(1, 4));
            site.pass(400);
            let first = only_attempt(&site, 1, 4);
            site.set(1, stage, |_| true);
            site.pass(1_000);
            // One machine hears nothing from here on: its tasks stay.
            site.deaf.insert(1);
            site.set(1, TaskPhase::Ended(cause), |i| i == 0);
            site.report(0);
            site.report(1);
            assert_eq!(site.state(1), AttemptState::Stopping);
            site.pass(3_000);
            assert_eq!(
                site.live(1).keys().copied().collect::<Vec<_>>(),
                [first],
                "{stage:?} {cause:?}"
            );
            site.deaf.clear();
            // A machine that failed is avoided for a while.
            site.pass(60_000);
            let second = only_attempt(&site, 1, 4);
            assert!(second > first, "{stage:?} {cause:?}");
        }
    }
}

/// The fetch would begin anew with the next attempt, and time be short again.
#[test]
fn after_a_slow_fetch_the_image_is_there_for_the_next_attempt() {
    let mut site = Site::new(2, long_idle_timeout());
    site.submit(gang(1, 4));
    site.pass(400);
    site.set(1, TaskPhase::Waiting, |i| i < 2);
    site.pass(1_000);
    site.set(1, TaskPhase::Ended(ExitCause::GangIncomplete), |i| i < 2);
    site.pass(5_000);
    let fetching = |site: &Site| {
        site.tasks.values().flatten().filter(|(_, phase)| **phase == TaskPhase::Fetching).count()
    };
    assert_eq!((fetching(&site), site.state(1)), (2, AttemptState::Stopping));
    // It has it now.
    site.set(1, TaskPhase::Waiting, |_| true);
    site.pass(3_000);
    only_attempt(&site, 1, 4);
    assert_eq!((site.launches.len(), site.state(1)), (8, AttemptState::Starting));
    // One that never comes to an end holds up nobody for ever.
    site.set(1, TaskPhase::Ended(ExitCause::GangIncomplete), |i| i < 2);
    site.pass(60_000);
    assert!(site.launches.len() >= 12, "{}", site.launches.len());
}

#[test]
fn the_first_task_that_is_done_completes_the_gang() {
    let mut site = Site::new(2, long_idle_timeout());
    site.submit(gang(1, 4));
    site.pass(400);
    site.set(1, TaskPhase::Running, |_| true);
    site.pass(1_000);
    site.set(1, TaskPhase::Ended(ExitCause::Done), |i| i == 3);
    site.pass(1_000);
    let done = RecordWrite::JobDone { job: JobId(1), revision: TOKEN + 1, tasks: 4 };
    assert!(site.writes.contains(&done), "{:?}", site.writes);
    assert_eq!(site.stops, [], "the others complete with it");
    assert!(site.leader.jobs().is_empty());
}

/// What an earlier version, which knew no gangs, stored of one.
#[test]
fn a_stored_result_of_one_task_means_that_the_gang_is_done() {
    let mut site = Site::new(2, long_idle_timeout());
    let mut done = latchtrack_core::bitmap::Bitmap::new(4);
    done.set(2);
    let spec = Arc::new(gang(1, 4));
    site.drive(Event::JobOpened { spec, submitted_at: 0, revision: 3, done: Some(done) });
    site.pass(1_000);
    assert!(site.writes.contains(&RecordWrite::JobDone { job: JobId(1), revision: 3, tasks: 4 }));
    assert_eq!(site.launches, []);
}

#[test]
fn a_cancelled_gang_is_stopped_whole_at_every_stage() {
    for stage in
        [TaskPhase::Fetching, TaskPhase::Waiting, TaskPhase::Running, TaskPhase::Checkpointing]
    {
        let mut site = Site::new(2, long_idle_timeout());
        site.submit(gang(1, 4));
        site.pass(400);
        site.set(1, stage, |_| true);
        site.pass(1_000);
        site.drive(Event::JobClosed(JobId(1)));
        assert_eq!(site.live(1).len(), 0, "{stage:?}");
        site.pass(5_000);
        assert_eq!(site.launches.len(), 4);
    }
}

/// A machine is to be taken: all tasks save, or none is told to.
#[test]
fn a_gang_that_can_save_is_stopped_whole_with_enough_grace() {
    let saving = JobSpec { checkpoint_s: 20.0, save_s: 3.0, ..gang(1, 4) };
    let mut site = Site::new(2, long_idle_timeout());
    site.submit(saving.clone());
    site.pass(400);
    site.set(1, TaskPhase::Running, |_| true);
    site.pass(1_000);
    site.notice.insert(0, 15.0);
    site.report(0);
    site.drive(Event::Tick);
    let told: BTreeSet<TaskId> = site.stops.iter().map(|(task, _)| *task).collect();
    assert_eq!((told.len(), site.stops.len()), (4, 4));
    assert!(site.stops.iter().all(|(_, grace_s)| *grace_s >= 3.0), "{:?}", site.stops);
    // One saved: the progress of all is safe, and nobody need wait.
    site.set(1, TaskPhase::Ended(ExitCause::Stopped), |i| i == 0);
    site.report_all();
    site.drive(Event::Tick);
    assert_eq!(site.live(1).len(), 0);

    let mut site = Site::new(2, long_idle_timeout());
    site.submit(saving);
    site.pass(400);
    // A waiting gang has nothing to save.
    site.notice.insert(0, 15.0);
    site.pass(2_000);
    assert_eq!(site.stops, []);
}

/// One attempt is one observation: a gang whose tasks all fail at once is not quarantined yet, and
/// no machine but the first counts the failure.
#[test]
fn the_failures_of_one_attempt_count_once() {
    let mut site = Site::new(4, long_idle_timeout());
    let demand = Resources { cpus: 8.0, gpus: 0.0, memory_gb: 8.0 };
    site.submit(JobSpec { demand, ..gang(1, 4) });
    site.pass(400);
    site.set(1, TaskPhase::Running, |_| true);
    site.pass(1_000);
    site.set(1, TaskPhase::Ended(ExitCause::Failed), |_| true);
    site.report_all();
    let job = &site.leader.jobs()[&JobId(1)];
    assert_eq!((job.failed_on.len(), job.is_quarantined), (1, false));
    let blamed =
        site.leader.machines().values().filter(|machine| !machine.failed_jobs.is_empty()).count();
    assert_eq!(blamed, 1);
}

/// The launch of one task was never answered, and may be executed later: the attempt stays until
/// that machine is known not to run it.
#[test]
fn a_launch_that_may_come_late_keeps_the_next_attempt_waiting() {
    let mut site = Site::new(2, long_idle_timeout());
    site.deaf.insert(1);
    site.submit(gang(1, 4));
    site.pass(400);
    let first = *site.live(1).keys().next().expect("an attempt");
    site.set(1, TaskPhase::Ended(ExitCause::GangIncomplete), |_| true);
    site.pass(3_000);
    assert_eq!(site.live(1).len(), 0);
    assert_eq!(site.state(1), AttemptState::Stopping);
    // It hears again: it is told of the attempt and that it is over, in one answer.
    site.deaf.clear();
    site.pass(6_000);
    let late = site.launches.iter().filter(|(i, _, attempt)| *i == 1 && *attempt == first).count();
    assert_eq!(late, 2);
    assert!(only_attempt(&site, 1, 4) > first);
}
