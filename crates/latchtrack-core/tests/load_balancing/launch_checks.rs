//! The launch on the target is checked like any other launch.

use latchtrack_balance::moves::MoveStage;
use latchtrack_core::job::{JobId, JobSpec, Resources, TaskId};
use latchtrack_core::machine::{ExitCause, TaskPhase};
use latchtrack_core::scheduler::{Policy, Team};

use crate::common::site::Site;
use crate::fixtures::{
    advance_tasks, array_without_checkpoints, checkpointing_array, finish_checkpoints,
    live_tasks_on, machines_running, moves_enabled, pass_until_stage, run_for,
    site_with_crowded_machine,
};

/// An unknown task run brings the team to its limit while a task moves.
#[test]
fn a_moved_task_is_not_launched_beyond_its_teams_limit() {
    let team = Team { name: "t".into(), cpus: 0.0, cpus_max: 8.0, gpus: 0.0, gpus_max: 0.0 };
    let mut site = site_with_crowded_machine(Policy { teams: vec![team], ..moves_enabled() });
    site.submit(checkpointing_array(2, 1));
    let (task, ..) = pass_until_stage(&mut site, MoveStage::Stopping);
    let stray = (TaskId { job: JobId(2), index: 0 }, 1);
    site.tasks.get_mut(&5).unwrap().insert(stray, TaskPhase::Running);
    site.report(5);
    finish_checkpoints(&mut site);
    site.pass(2_000);
    assert_eq!(
        machines_running(&site, task),
        Vec::<u64>::new(),
        "the unknown run has its part of the limit"
    );
    assert!(site.notes.iter().any(|n| n.contains("team at its limit")), "{:?}", site.notes);
    let running: usize = (0..6).map(|i| live_tasks_on(&site, i)).sum();
    assert!(running <= 8, "{running} CPUs of 8");
}

/// An unknown task run is the last that a spread job may have in its zone.
#[test]
fn a_moved_task_is_not_launched_where_its_zone_constraints_no_longer_allow_it() {
    let mut site = Site::new(6, moves_enabled());
    site.no_capacity = true;
    site.submit(array_without_checkpoints(10, 24, "b"));
    site.pass(400);
    site.submit(JobSpec { spread: true, ..checkpointing_array(1, 4) });
    site.pass(400);
    site.submit(array_without_checkpoints(11, 6, "a"));
    site.pass(400);
    advance_tasks(&mut site);
    assert_eq!(
        (live_tasks_on(&site, 0), site.live(1).len()),
        (8, 2),
        "two of four in zone a, none in b"
    );
    let (task, ..) = pass_until_stage(&mut site, MoveStage::Stopping);
    let stray = (TaskId { job: JobId(1), index: 3 }, 1);
    site.tasks.get_mut(&4).unwrap().insert(stray, TaskPhase::Running);
    site.report(4);
    finish_checkpoints(&mut site);
    site.pass(2_000);
    let in_zone_a = (0..4).filter(|index| {
        !machines_running(&site, TaskId { job: JobId(1), index: *index }).is_empty()
    });
    assert_eq!(in_zone_a.count(), 2, "{task} waits: {:?}", site.notes);
}

/// An unknown task run takes the capacity that was reserved.
#[test]
fn a_moved_task_is_not_launched_on_a_target_that_is_full() {
    let mut site = Site::new(14, moves_enabled());
    site.no_capacity = true;
    site.submit(checkpointing_array(1, 8));
    site.pass(400);
    advance_tasks(&mut site);
    // Seven machines in zone b for eight tasks.
    let all = Resources { cpus: 8.0, gpus: 0.0, memory_gb: 8.0 };
    let whole = JobSpec {
        demand: all,
        zone: Some("b".into()),
        checkpoint_s: 0.0,
        ..checkpointing_array(2, 8)
    };
    site.submit(whole);
    site.pass(400);
    let (task, _, target) = pass_until_stage(&mut site, MoveStage::Stopping);
    let stray = (TaskId { job: JobId(2), index: 7 }, 1);
    site.tasks.get_mut(&target).unwrap().insert(stray, TaskPhase::Running);
    site.report(target);
    finish_checkpoints(&mut site);
    site.pass(1_000);
    assert!(site.notes.iter().any(|n| n.contains("target full")), "{:?}", site.notes);
    assert_ne!(machines_running(&site, task), [target]);
}

/// On a silent machine the task would wait until that is given up.
#[test]
fn a_moved_task_is_not_launched_on_a_target_that_is_silent() {
    let mut site = site_with_crowded_machine(moves_enabled());
    let (task, _, target) = pass_until_stage(&mut site, MoveStage::Stopping);
    site.silent.insert(target);
    site.pass(5_000);
    finish_checkpoints(&mut site);
    site.pass(1_000);
    assert!(site.notes.iter().any(|n| n.contains("target lost")), "{:?}", site.notes);
    let on = machines_running(&site, task);
    assert!(on.len() == 1 && on != [target], "placed elsewhere at once: {on:?}");
}

/// A job avoids a machine on which it failed for longer than the probation of that machine.
#[test]
fn a_moved_task_is_not_launched_where_its_job_failed_lately() {
    let mut site = site_with_crowded_machine(moves_enabled());
    // The third machine of the zone has little free capacity.
    site.submit(array_without_checkpoints(10, 6, "a"));
    site.pass(400);
    let (task, _, target) = pass_until_stage(&mut site, MoveStage::Launching);
    assert_eq!(live_tasks_on(&site, target), 1, "the one that was empty");
    advance_tasks(&mut site);
    site.pass(1_000);
    for ((t, _), phase) in site.tasks.get_mut(&target).unwrap().iter_mut() {
        if *t == task {
            *phase = TaskPhase::Ended(ExitCause::Failed);
        }
    }
    let failed_at = site.now;
    site.report(target);
    let launches = |site: &Site| site.launches.iter().filter(|(i, ..)| *i == target).count();
    let before = launches(&site);
    while site.now < failed_at + 44_000 {
        run_for(&mut site, 1_000);
        assert_eq!(launches(&site), before, "{} ms later: {:?}", site.now - failed_at, site.notes);
    }
    assert!(site.notes.iter().any(|n| n.contains("not allowed")), "{:?}", site.notes);
}

/// Other tasks of the team take up its limit between the stop and the launch.
#[test]
fn a_team_at_its_limit_launches_no_moved_task_beyond_it() {
    let team = Team { name: "t".into(), cpus: 0.0, cpus_max: 8.0, gpus: 0.0, gpus_max: 0.0 };
    let mut site = site_with_crowded_machine(Policy { teams: vec![team], ..moves_enabled() });
    for second in 0..60u64 {
        if second % 7 == 0 {
            site.submit(checkpointing_array(100 + second, 2));
        }
        site.pass(1_000);
        advance_tasks(&mut site);
        let running: usize = (0..6).map(|i| live_tasks_on(&site, i)).sum();
        assert!(running <= 8, "{running} CPUs of 8 at {second} s");
    }
    assert_eq!(site.ran_twice, Vec::<String>::new());
    assert!(site.leader.balance_summary().unwrap().counts.begun > 0, "{:?}", site.notes);
}
