//! Gangs, each rule as a small case of its own. The simulation has them in all its troubles.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use common::site::*;
use common::{policy, spec};
use latchtrack_core::job::{JobId, JobSpec, Resources, TaskId};
use latchtrack_core::machine::*;
use latchtrack_core::scheduler::*;

/// Nothing is given back while a case lasts.
fn patient() -> Policy {
    Policy { on_demand_idle_timeout_ms: 600_000, ..policy() }
}

/// A gang of tasks of four CPUs, two to a machine.
fn gang(id: u64, tasks: u32) -> JobSpec {
    JobSpec { gang: true, spot: false, ..(*spec(id, tasks)).clone() }
}

fn array(id: u64, tasks: u32) -> JobSpec {
    JobSpec { spot: false, ..(*spec(id, tasks)).clone() }
}

/// The attempt in which all tasks of the job are, and no other.
#[track_caller]
fn only_attempt(site: &Site, id: u64, tasks: usize) -> u64 {
    let live = site.live(id);
    assert_eq!(live.len(), 1, "{live:?}");
    let (attempt, n) = live.into_iter().next().unwrap();
    assert_eq!(n, tasks);
    attempt
}

#[test]
fn a_gang_starts_whole_under_one_attempt_number_or_not_at_all() {
    let mut site = Site::new(2, patient());
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
    let running = |site: &Site| site.leader.progress().find(|job| job.job.0 == 2).unwrap().running;
    assert_eq!(running(&site), 0);
    site.set(2, TaskPhase::Running, |_| true);
    site.pass(1_000);
    assert_eq!((site.state(2), running(&site)), (AttemptState::Running, 4));
}

#[test]
fn a_gang_of_one_zone_is_in_one_zone() {
    let mut site = Site::new(4, patient());
    site.submit(JobSpec { one_zone: true, ..gang(1, 4) });
    site.pass(400);
    only_attempt(&site, 1, 4);
    let zones: BTreeSet<&str> = site.launches.iter().map(|(i, ..)| zone_of(*i)).collect();
    assert_eq!(zones.len(), 1);
    // Half of one that is to be apart, rounded up.
    let mut site = Site::new(4, patient());
    site.submit(JobSpec { spread: true, ..gang(1, 5) });
    site.pass(400);
    only_attempt(&site, 1, 5);
    let in_a = site.launches.iter().filter(|(i, ..)| zone_of(*i) == "a").count();
    assert!((2..=3).contains(&in_a), "{in_a} in zone a");
}

/// Whatever the stage and the cause, the other tasks are told to go when one has, and the next attempt
/// waits until all of them have.
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
            let mut site = Site::new(2, patient());
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
    let mut site = Site::new(2, patient());
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
    let mut site = Site::new(2, patient());
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
    let mut site = Site::new(2, patient());
    let mut done = latchtrack_core::bitmap::Bitmap::new(4);
    done.set(2);
    let spec = Arc::new(gang(1, 4));
    site.drive(Event::JobOpened { spec, submitted_at: 0, revision: 3, done: Some(done) });
    site.pass(1_000);
    assert!(site.writes.contains(&RecordWrite::JobDone { job: JobId(1), revision: 3, tasks: 4 }));
    assert_eq!(site.launches, []);
}

/// The next leader finds an attempt at some stage.
fn after_take_over(phase_of: impl Fn(u32) -> TaskPhase, forgotten: Option<u32>) -> Site {
    let mut site = Site::new(2, patient());
    site.submit(gang(1, 4));
    site.pass(400);
    for index in 0..4 {
        site.set(1, phase_of(index), |i| i == index);
    }
    for tasks in site.tasks.values_mut() {
        tasks.retain(|(task, _), _| Some(task.index) != forgotten);
    }
    site.leader = new_leader(2, TOKEN + 9, patient(), site.now);
    let spec = Arc::new(gang(1, 4));
    site.drive(Event::JobOpened { spec, submitted_at: 0, revision: TOKEN + 1, done: None });
    site.report(0);
    site.pass(600);
    site
}

#[test]
fn a_new_leader_leaves_a_whole_attempt_alone() {
    for phase in [TaskPhase::Running, TaskPhase::Waiting, TaskPhase::Fetching] {
        let mut site = after_take_over(|_| phase, None);
        site.pass(10_000);
        only_attempt(&site, 1, 4);
        assert_eq!((site.launches.len(), site.stops.len()), (4, 0), "{phase:?}");
    }
}

#[test]
fn a_new_leader_ends_an_attempt_that_is_not_whole_and_makes_a_new_one() {
    for forgotten in 0..4 {
        let mut site = after_take_over(|_| TaskPhase::Waiting, Some(forgotten));
        site.pass(10_000);
        let attempt = only_attempt(&site, 1, 4);
        assert_eq!(attempt >> latchtrack_core::constants::ATTEMPT_BITS, TOKEN + 9);
        assert_eq!((site.launches.len(), site.stops.len()), (8, 3));
    }
}

/// A line of an older attempt that was not forgotten yet says nothing of the one that runs.
#[test]
fn an_ended_task_of_an_older_attempt_does_not_end_the_next() {
    let mut site = after_take_over(|_| TaskPhase::Running, None);
    for tasks in site.tasks.values_mut() {
        for index in 0..4 {
            let old = (TaskId { job: JobId(1), index }, 1);
            tasks.insert(old, TaskPhase::Ended(ExitCause::GangIncomplete));
        }
    }
    site.leader = new_leader(2, TOKEN + 20, patient(), site.now);
    let spec = Arc::new(gang(1, 4));
    site.drive(Event::JobOpened { spec, submitted_at: 0, revision: TOKEN + 1, done: None });
    site.pass(5_000);
    assert_eq!((site.state(1), site.stops.len()), (AttemptState::Running, 0));
}

#[test]
fn a_cancelled_gang_is_stopped_whole_at_every_stage() {
    for stage in
        [TaskPhase::Fetching, TaskPhase::Waiting, TaskPhase::Running, TaskPhase::Checkpointing]
    {
        let mut site = Site::new(2, patient());
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
    let mut site = Site::new(2, patient());
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

    let mut site = Site::new(2, patient());
    site.submit(saving);
    site.pass(400);
    // A waiting gang has nothing to save.
    site.notice.insert(0, 15.0);
    site.pass(2_000);
    assert_eq!(site.stops, []);
}

#[test]
fn a_gang_counts_whole_against_its_teams_limit() {
    let mut policy = patient();
    policy.teams[0].cpus_max = 16.0;
    let mut site = Site::new(4, policy);
    site.submit(gang(1, 4));
    site.submit(gang(2, 4));
    site.pass(2_000);
    let (first, second) = (site.live(1), site.live(2));
    assert_eq!(first.len() + second.len(), 1, "{first:?} {second:?}");
    // Not before the last task of the first is gone.
    let (begun, waits) = if first.is_empty() { (2, 1) } else { (1, 2) };
    site.set(begun, TaskPhase::Running, |_| true);
    site.pass(1_000);
    site.set(begun, TaskPhase::Ended(ExitCause::Done), |i| i < 3);
    site.pass(2_000);
    assert_eq!(site.live(waits).len(), 0);
    site.set(begun, TaskPhase::Ended(ExitCause::Done), |_| true);
    site.pass(2_000);
    only_attempt(&site, waits, 4);
}

/// Two gangs that each could hold half: room comes free for one task after the other, and an array is
/// there to take it.
#[test]
fn room_is_gathered_for_one_gang_after_the_other() {
    let mut site = Site::new(2, patient());
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
    let mut policy = patient();
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

/// One attempt is one observation: a gang whose tasks all fail at once is not yet a suspect, and its
/// machines are not suspected beyond the first.
#[test]
fn the_failures_of_one_attempt_count_once() {
    let mut site = Site::new(4, patient());
    let demand = Resources { cpus: 8.0, gpus: 0.0, memory_gb: 8.0 };
    site.submit(JobSpec { demand, ..gang(1, 4) });
    site.pass(400);
    site.set(1, TaskPhase::Running, |_| true);
    site.pass(1_000);
    site.set(1, TaskPhase::Ended(ExitCause::Failed), |_| true);
    site.report_all();
    let job = &site.leader.jobs()[&JobId(1)];
    assert_eq!((job.failed_on.len(), job.is_quarantined), (1, false));
    let suspected = site.leader.machines().values().filter(|m| !m.failed_jobs.is_empty()).count();
    assert_eq!(suspected, 1);
}

/// The launch of one task was never answered, and may be executed later: the attempt stays until that
/// machine is known not to run it.
#[test]
fn a_launch_that_may_come_late_keeps_the_next_attempt_waiting() {
    let mut site = Site::new(2, patient());
    site.deaf.insert(1);
    site.submit(gang(1, 4));
    site.pass(400);
    let first = *site.live(1).keys().next().unwrap();
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

/// Found by simulation: an operator's slice of two tasks was more than the team's limit allows. Of a job
/// that had not begun for long it was counted as used, and with it the whole limit.
#[test]
fn a_slice_above_its_teams_limit_holds_up_nobody() {
    let mut policy = Policy { slice: 2, ..patient() };
    policy.teams[0].cpus_max = 4.0;
    let mut site = Site::new(2, policy);
    // There is no machine for it just now.
    site.submit(JobSpec { types: Some(vec!["h".into()]), ..array(1, 2) });
    site.pass(200_000);
    let demand = Resources { cpus: 1.0, gpus: 0.0, memory_gb: 1.0 };
    site.submit(JobSpec { demand, ..gang(2, 4) });
    site.pass(2_000);
    only_attempt(&site, 2, 4);
}

/// A class of gangs that are to start within a second.
fn start_objectives() -> Policy {
    Policy {
        start_objectives: vec![StartObjective { class: "prompt".into(), within_ms: 1_000 }],
        ..patient()
    }
}

fn prompt_gang(id: u64, tasks: u32) -> JobSpec {
    JobSpec { class: "prompt".into(), ..gang(id, tasks) }
}

#[test]
fn room_for_the_largest_prompt_gang_is_kept_from_others_while_more_may_come() {
    let mut site = Site::new(4, start_objectives());
    for (id, tasks) in [(1, 3), (2, 2)] {
        site.submit(prompt_gang(id, tasks));
        site.pass(400);
        site.set(id, TaskPhase::Ended(ExitCause::Done), |_| true);
        site.pass(1_000);
    }
    // Eight tasks fit on four machines: all but three are for it.
    site.submit(array(3, 100));
    site.pass(3_000);
    assert_eq!(site.live(3).len(), 5);
    site.set(3, TaskPhase::Running, |_| true);
    site.submit(prompt_gang(4, 3));
    site.pass(400);
    only_attempt(&site, 4, 3);
    // What comes free is for the next, before the array.
    site.set(3, TaskPhase::Ended(ExitCause::Done), |i| i < 3);
    site.pass(2_000);
    assert_eq!(site.live(3).len(), 2);
    site.submit(prompt_gang(5, 3));
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
fn a_machine_that_is_kept_for_prompt_gangs_is_not_idle() {
    let policy = Policy { on_demand_idle_timeout_ms: 4_000, ..start_objectives() };
    let mut site = Site::new(2, policy);
    site.submit(prompt_gang(1, 2));
    site.pass(400);
    site.set(1, TaskPhase::Ended(ExitCause::Done), |_| true);
    let to_terminate =
        |site: &Site| site.leader.machines().values().filter(|m| m.to_terminate).count();
    site.pass(60_000);
    assert_eq!(to_terminate(&site), 1, "one of two is kept");
    site.pass(70_000);
    assert_eq!(to_terminate(&site), 2);
}

/// Nothing that is up could ever hold it: it is rented before the next one comes.
#[test]
fn what_no_machine_could_hold_is_rented_for_the_next_prompt_gang() {
    let mut site = Site::new(1, start_objectives());
    site.no_capacity = true;
    site.submit(prompt_gang(1, 4));
    site.pass(400);
    // For the gang itself; called off, it leaves nothing to rent for but the next.
    let before = site.hired.len();
    assert!(before >= 1);
    site.drive(Event::JobClosed(JobId(1)));
    site.pass(15_000);
    assert!(site.hired.len() > before);
}

/// Found by simulation: a gang submitted with a mistake was to begin before all others for ever, and kept
/// its team's limit from a good one.
#[test]
fn nothing_is_kept_for_a_suspect_gang() {
    let mut policy = patient();
    policy.teams[0].cpus_max = 16.0;
    let mut site = Site::new(4, policy);
    site.submit(gang(1, 4));
    for _ in 0..200 {
        site.set(1, TaskPhase::Ended(ExitCause::Failed), |_| true);
        site.pass(1_000);
    }
    assert!(site.leader.jobs()[&JobId(1)].is_quarantined);
    site.submit(array(2, 1));
    site.pass(1_000);
    site.set(2, TaskPhase::Running, |_| true);
    // It takes the rest of the limit, and the suspect gang waits.
    site.submit(gang(3, 3));
    site.pass(120_000);
    assert_eq!((site.live(2).len(), site.live(1).len()), (1, 0));
    only_attempt(&site, 3, 3);
    assert_eq!(site.leader.jobs()[&JobId(1)].unschedulable_since, None);
}

/// Found by simulation: the machines of a gang that needs several came up one after the other, and each
/// was given back as idle before the next was there.
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

/// Found by simulation: a job that was to begin before all others needed a machine that was not there, and
/// in its turn, behind the team's other jobs, their limit was used up: none was rented.
#[test]
fn a_machine_is_rented_for_a_job_that_is_to_begin_before_its_team_uses_its_limit() {
    let mut policy = patient();
    policy.teams[0].cpus_max = 8.0;
    policy.completion_objectives =
        vec![CompletionObjective { class: "aimed".into(), due: Due::Within(3_600_000) }];
    // One machine, in zone a.
    let mut site = Site::new(1, policy);
    site.no_capacity = true;
    let zone = |zone: &str| Some(zone.to_string());
    site.submit(JobSpec { class: "aimed".into(), zone: zone("a"), ..array(1, 400) });
    site.pass(1_000);
    site.submit(JobSpec { zone: zone("b"), ..array(2, 1) });
    for _ in 0..200 {
        // One task of the two that run ends each second.
        site.set(1, TaskPhase::Running, |_| true);
        let running = site.tasks[&0].iter().filter(|(_, phase)| **phase == TaskPhase::Running);
        let first = running.map(|((task, _), _)| task.index).min();
        site.set(1, TaskPhase::Ended(ExitCause::Done), |i| Some(i) == first);
        let before = site.hired.len();
        site.pass(1_000);
        if site.hired[before..].iter().any(|offer| offer.zone == "b") {
            return;
        }
    }
    panic!("never rented");
}

/// Found by simulation: a gang that was to begin before all others was launched in part, as far as its team's
/// limit went, and stopped again, over and over.
#[test]
fn a_gang_is_never_launched_in_part_under_its_teams_limit() {
    let mut policy = patient();
    policy.teams[0].cpus_max = 16.0;
    let mut site = Site::new(4, policy);
    site.submit(array(1, 2));
    site.pass(1_000);
    site.set(1, TaskPhase::Running, |_| true);
    site.submit(gang(2, 4));
    for _ in 0..60 {
        site.pass(1_000);
        assert_eq!(site.live(2).len(), 0);
    }
    assert_eq!(site.stops, []);
    site.set(1, TaskPhase::Ended(ExitCause::Done), |_| true);
    site.pass(2_000);
    only_attempt(&site, 2, 4);
}

/// Found by simulation: a gang had its team's limit, but while the machines for it booted the team's other
/// jobs took that, and when it had the limit again its machines had been given back.
#[test]
fn a_gang_keeps_its_teams_limit_while_its_machines_boot() {
    let mut policy = patient();
    policy.teams[0].cpus_max = 16.0;
    let mut site = Site::new(2, policy);
    site.no_capacity = true;
    // There is no machine for it yet.
    site.submit(JobSpec { types: Some(vec!["h".into()]), ..gang(1, 4) });
    site.pass(31_000);
    let small = Resources { cpus: 1.0, gpus: 0.0, memory_gb: 1.0 };
    site.submit(JobSpec { demand: small, ..array(2, 8) });
    site.pass(10_000);
    assert_eq!(site.live(2).len(), 0, "its limit is kept");
    site.pass(60_000);
    assert_eq!(site.live(2).len(), 8, "but not for ever");
}
