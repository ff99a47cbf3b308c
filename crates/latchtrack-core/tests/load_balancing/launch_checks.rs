//! A moved task is launched on its target only if all checks for ordinary launches pass.

use latchtrack_balance::moves::MoveStage;
use latchtrack_core::job::{JobId, JobSpec, Resources, TaskId};
use latchtrack_core::machine::{ExitCause, TaskPhase};
use latchtrack_core::scheduler::{Policy, Team};

use crate::common::site::Cluster;
use crate::fixtures::{
    advance_tasks, array_without_checkpoints, checkpointing_array, finish_checkpoints,
    live_tasks_on, machines_running, moves_enabled, pass_until_stage, run_for, unbalanced_cluster,
};

/// A run that the leader did not know of brings the team to its limit during the move.
#[test]
fn a_moved_task_is_not_launched_beyond_its_teams_limit() {
    let team = Team { name: "t".into(), cpus: 0.0, cpus_max: 8.0, gpus: 0.0, gpus_max: 0.0 };
    let mut cluster = unbalanced_cluster(Policy { teams: vec![team], ..moves_enabled() });
    cluster.submit(checkpointing_array(2, 1));
    let (task, ..) = pass_until_stage(&mut cluster, MoveStage::Stopping);
    let unknown_run = (TaskId { job: JobId(2), index: 0 }, 1);
    cluster.tasks.get_mut(&5).unwrap().insert(unknown_run, TaskPhase::Running);
    cluster.send_heartbeat(5);
    finish_checkpoints(&mut cluster);
    cluster.advance_time(2_000);
    assert_eq!(
        machines_running(&cluster, task),
        Vec::<u64>::new(),
        "the unknown run counts against the limit"
    );
    assert!(
        cluster.log_lines.iter().any(|n| n.contains("team at its limit")),
        "{:?}",
        cluster.log_lines
    );
    let running: usize = (0..6).map(|i| live_tasks_on(&cluster, i)).sum();
    assert!(running <= 8, "{running} CPUs of 8");
}

/// A run that the leader did not know of brings a spread job to its maximum number of tasks in the
/// zone.
#[test]
fn a_moved_task_is_not_launched_against_its_zone_constraints() {
    let mut cluster = Cluster::new(6, moves_enabled());
    cluster.no_capacity = true;
    cluster.submit(array_without_checkpoints(10, 24, "b"));
    cluster.advance_time(400);
    cluster.submit(JobSpec { spread: true, ..checkpointing_array(1, 4) });
    cluster.advance_time(400);
    cluster.submit(array_without_checkpoints(11, 6, "a"));
    cluster.advance_time(400);
    advance_tasks(&mut cluster);
    assert_eq!(
        (live_tasks_on(&cluster, 0), cluster.live_by_attempt(1).len()),
        (8, 2),
        "two of four tasks run, both in zone a"
    );
    let (task, ..) = pass_until_stage(&mut cluster, MoveStage::Stopping);
    let unknown_run = (TaskId { job: JobId(1), index: 3 }, 1);
    cluster.tasks.get_mut(&4).unwrap().insert(unknown_run, TaskPhase::Running);
    cluster.send_heartbeat(4);
    finish_checkpoints(&mut cluster);
    cluster.advance_time(2_000);
    let in_zone_a = (0..4).filter(|index| {
        !machines_running(&cluster, TaskId { job: JobId(1), index: *index }).is_empty()
    });
    assert_eq!(in_zone_a.count(), 2, "{task} waits: {:?}", cluster.log_lines);
}

/// A run that the leader did not know of takes the capacity reserved on the target.
#[test]
fn a_moved_task_is_not_launched_on_a_target_that_is_full() {
    let mut cluster = Cluster::new(14, moves_enabled());
    cluster.no_capacity = true;
    cluster.submit(checkpointing_array(1, 8));
    cluster.advance_time(400);
    advance_tasks(&mut cluster);
    // Seven machines in zone b for eight tasks.
    let all = Resources { cpus: 8.0, gpus: 0.0, memory_gb: 8.0 };
    let whole = JobSpec {
        demand: all,
        zone: Some("b".into()),
        checkpoint_s: 0.0,
        ..checkpointing_array(2, 8)
    };
    cluster.submit(whole);
    cluster.advance_time(400);
    let (task, _, target) = pass_until_stage(&mut cluster, MoveStage::Stopping);
    let unknown_run = (TaskId { job: JobId(2), index: 7 }, 1);
    cluster.tasks.get_mut(&target).unwrap().insert(unknown_run, TaskPhase::Running);
    cluster.send_heartbeat(target);
    finish_checkpoints(&mut cluster);
    cluster.advance_time(1_000);
    assert!(cluster.log_lines.iter().any(|n| n.contains("target full")), "{:?}", cluster.log_lines);
    assert_ne!(machines_running(&cluster, task), [target]);
}

/// On a silent target the task would wait until the machine is terminated.
#[test]
fn a_moved_task_is_not_launched_on_a_target_that_is_silent() {
    let mut cluster = unbalanced_cluster(moves_enabled());
    let (task, _, target) = pass_until_stage(&mut cluster, MoveStage::Stopping);
    cluster.silent.insert(target);
    cluster.advance_time(5_000);
    finish_checkpoints(&mut cluster);
    cluster.advance_time(1_000);
    assert!(cluster.log_lines.iter().any(|n| n.contains("target lost")), "{:?}", cluster.log_lines);
    let on = machines_running(&cluster, task);
    assert!(on.len() == 1 && on != [target], "launched elsewhere immediately: {on:?}");
}

/// For 45 s, longer than the machine's probation, a job avoids a machine on which it failed.
#[test]
fn a_moved_task_is_not_launched_where_its_job_failed_recently() {
    let mut cluster = unbalanced_cluster(moves_enabled());
    // The third machine of the zone gets little free capacity, so that it is not the target.
    cluster.submit(array_without_checkpoints(10, 6, "a"));
    cluster.advance_time(400);
    let (task, _, target) = pass_until_stage(&mut cluster, MoveStage::Launching);
    assert_eq!(live_tasks_on(&cluster, target), 1, "the target was empty");
    advance_tasks(&mut cluster);
    cluster.advance_time(1_000);
    for ((t, _), phase) in cluster.tasks.get_mut(&target).unwrap().iter_mut() {
        if *t == task {
            *phase = TaskPhase::Ended(ExitCause::Failed);
        }
    }
    let failed_at = cluster.now;
    cluster.send_heartbeat(target);
    let launches =
        |cluster: &Cluster| cluster.launches.iter().filter(|(i, ..)| *i == target).count();
    let before = launches(&cluster);
    while cluster.now < failed_at + 44_000 {
        run_for(&mut cluster, 1_000);
        assert_eq!(
            launches(&cluster),
            before,
            "{} ms later: {:?}",
            cluster.now - failed_at,
            cluster.log_lines
        );
    }
    assert!(cluster.log_lines.iter().any(|n| n.contains("not allowed")), "{:?}", cluster.log_lines);
}

/// Other tasks of the team use up its limit between the stop and the launch of a moved task.
#[test]
fn a_team_at_its_limit_launches_no_moved_task_beyond_it() {
    let team = Team { name: "t".into(), cpus: 0.0, cpus_max: 8.0, gpus: 0.0, gpus_max: 0.0 };
    let mut cluster = unbalanced_cluster(Policy { teams: vec![team], ..moves_enabled() });
    for second in 0..60u64 {
        if second % 7 == 0 {
            cluster.submit(checkpointing_array(100 + second, 2));
        }
        cluster.advance_time(1_000);
        advance_tasks(&mut cluster);
        let running: usize = (0..6).map(|i| live_tasks_on(&cluster, i)).sum();
        assert!(running <= 8, "{running} CPUs of 8 at {second} s");
    }
    assert_eq!(cluster.concurrent_runs, Vec::<String>::new());
    assert!(cluster.leader.balance_summary().unwrap().counts.begun > 0, "{:?}", cluster.log_lines);
}
