//! Faults of machines, leaders and messages during a move. Each task must run on one machine only.

use latchtrack_balance::moves::MoveStage;
use latchtrack_core::job::{JobId, JobSpec, TaskId};
use latchtrack_core::machine::{ExitCause, TaskPhase};
use latchtrack_core::scheduler::{BalancePolicy, Event, Policy};

use crate::common::site::{Cluster, TOKEN};
use crate::common::{machine_name, WORKER_LEASE_MS};
use crate::fixtures::{
    assert_each_task_runs_once, checkpointing_array, clear_faults, finish_checkpoints,
    inject_fault, live_tasks_on, machines_running, moves_enabled, pass_until_stage, run_for,
    unbalanced_cluster, FAULTS,
};

/// While the source is silent, the outcome of the stop is unknown, so the target's capacity is no
/// longer reserved.
#[test]
fn a_silent_source_ends_the_move_before_the_stop_times_out() {
    let mut cluster = unbalanced_cluster(moves_enabled());
    let (_, source, target) = pass_until_stage(&mut cluster, MoveStage::Stopping);
    cluster.silent.insert(source);
    cluster.advance_time(8_000);
    assert!(cluster.log_lines.iter().any(|n| n.contains("source lost")), "{:?}", cluster.log_lines);
    assert!(cluster
        .leader
        .moves()
        .iter()
        .all(|m| *m.task_moves[0].target != *machine_name(target)));
}

#[test]
fn each_task_runs_once_under_any_fault_at_any_stage() {
    for stage in [MoveStage::Stopping, MoveStage::Launching] {
        for at_target in [true, false] {
            for fault in FAULTS {
                let what = format!(
                    "{fault:?} at the {} while {stage}",
                    if at_target { "target" } else { "source" }
                );
                let mut cluster = unbalanced_cluster(moves_enabled());
                cluster.confirms_terminations = true;
                let (task, source, target) = pass_until_stage(&mut cluster, stage);
                inject_fault(&mut cluster, if at_target { target } else { source }, fault);
                run_for(&mut cluster, 2 * WORKER_LEASE_MS + 30_000);
                assert_each_task_runs_once(&cluster, &[(1, 8)], &what);
                clear_faults(&mut cluster);
                run_for(&mut cluster, 2 * WORKER_LEASE_MS);
                assert_each_task_runs_once(&cluster, &[(1, 8)], &what);
                let done = cluster.leader.balance_summary().unwrap();
                assert!(
                    cluster
                        .leader
                        .moves()
                        .iter()
                        .all(|m| m.unit.task != Some(task.index) || m.since + 60_000 > cluster.now),
                    "{what}: the move of {task} has not ended, {done:?}"
                );
            }
        }
    }
}

#[test]
fn each_task_runs_once_when_source_and_target_fail_together() {
    for stage in [MoveStage::Stopping, MoveStage::Launching] {
        for faults in FAULTS.windows(2) {
            let mut cluster = unbalanced_cluster(moves_enabled());
            cluster.confirms_terminations = true;
            let (_, source, target) = pass_until_stage(&mut cluster, stage);
            inject_fault(&mut cluster, target, faults[0]);
            inject_fault(&mut cluster, source, faults[1]);
            run_for(&mut cluster, 2 * WORKER_LEASE_MS + 30_000);
            clear_faults(&mut cluster);
            run_for(&mut cluster, 2 * WORKER_LEASE_MS);
            assert_each_task_runs_once(&cluster, &[(1, 8)], &format!("{faults:?} while {stage}"));
        }
    }
}

#[test]
fn a_job_cancelled_at_any_stage_ends_its_move() {
    for stage in [MoveStage::Stopping, MoveStage::Launching] {
        let mut cluster = unbalanced_cluster(moves_enabled());
        pass_until_stage(&mut cluster, stage);
        cluster.handle_event(Event::JobClosed(JobId(1)));
        run_for(&mut cluster, 5_000);
        assert_eq!(cluster.leader.moves(), [], "while {stage}");
        assert_eq!(
            (0..6).map(|i| live_tasks_on(&cluster, i)).sum::<usize>(),
            0,
            "all tasks are stopped"
        );
        // The reserved capacity is free again.
        cluster.submit(JobSpec { zone: Some("a".into()), ..checkpointing_array(2, 24) });
        cluster.advance_time(400);
        assert_eq!((0..6).map(|i| live_tasks_on(&cluster, i)).sum::<usize>(), 24);
    }
}

/// The leader changes during a move, to one with or without moves enabled, and then to one with the
/// opposite setting.
#[test]
fn a_failover_at_any_stage_only_requeues_the_task() {
    for stage in [MoveStage::Stopping, MoveStage::Launching] {
        for next_moves in [true, false] {
            let what = format!("while {stage}, the next moves: {next_moves}");
            let mut cluster = unbalanced_cluster(moves_enabled());
            pass_until_stage(&mut cluster, stage);
            for moves in [next_moves, !next_moves] {
                let balance = BalancePolicy { moves, ..moves_enabled().balance };
                let policy = Policy { balance, ..moves_enabled() };
                cluster.fail_over(6, policy);
                // The job was accepted in an earlier term.
                let job = Event::JobOpened {
                    spec: std::sync::Arc::new(checkpointing_array(1, 8)),
                    submitted_at: 1_000,
                    revision: TOKEN + 1,
                    done: None,
                };
                cluster.handle_event(job);
                cluster.advance_time(600);
                assert_no_task_runs_twice(&cluster, &what);
                run_for(&mut cluster, 8_000);
            }
            run_for(&mut cluster, 40_000);
            assert_each_task_runs_once(&cluster, &[(1, 8)], &what);
            assert_eq!(cluster.leader.jobs()[&JobId(1)].waiting(), 0, "{what}");
        }
    }
}

/// Asserts that no task of job 1 is, or ever was, live on two machines at once.
#[track_caller]
fn assert_no_task_runs_twice(cluster: &Cluster, what: &str) {
    assert_eq!(cluster.concurrent_runs, Vec::<String>::new(), "{what}");
    for index in 0..8 {
        let on = machines_running(cluster, TaskId { job: JobId(1), index });
        assert!(on.len() <= 1, "{what}: {index} on {on:?}");
    }
}

#[test]
fn a_stop_that_times_out_abandons_the_move_and_frees_the_target() {
    let mut cluster = unbalanced_cluster(moves_enabled());
    let (task, source, target) = pass_until_stage(&mut cluster, MoveStage::Stopping);
    // The checkpoint is not complete after 40 s.
    for _ in 0..40 {
        cluster.advance_time(1_000);
        for phase in cluster.tasks.values_mut().flat_map(|tasks| tasks.values_mut()) {
            if *phase == TaskPhase::Fetching {
                *phase = TaskPhase::Running;
            }
        }
    }
    assert!(cluster.log_lines.iter().any(|n| n.contains("stop late")), "{:?}", cluster.log_lines);
    assert_eq!(machines_running(&cluster, task), [source], "the task is only on its source");
    cluster.submit(JobSpec { zone: Some("a".into()), ..checkpointing_array(2, 16) });
    cluster.advance_time(400);
    assert_eq!(
        live_tasks_on(&cluster, target),
        8,
        "the capacity is no longer reserved: {:#?}",
        cluster.log_lines
    );
    finish_checkpoints(&mut cluster);
    run_for(&mut cluster, 5_000);
    assert_eq!(cluster.concurrent_runs, Vec::<String>::new());
}

/// A duplicate of a heartbeat from before the stop arrives after the task was launched on its
/// target.
#[test]
fn a_late_duplicate_heartbeat_of_the_source_is_ignored() {
    let mut cluster = unbalanced_cluster(moves_enabled());
    let (task, source, _) = pass_until_stage(&mut cluster, MoveStage::Stopping);
    let duplicate = cluster.next_heartbeat(source);
    cluster.send_heartbeat(source);
    let (launched, ..) = pass_until_stage(&mut cluster, MoveStage::Launching);
    assert_eq!(launched, task);
    cluster.handle_event(Event::Heartbeat(duplicate.clone()));
    run_for(&mut cluster, 3_000);
    cluster.handle_event(Event::Heartbeat(duplicate));
    run_for(&mut cluster, 20_000);
    assert_each_task_runs_once(&cluster, &[(1, 8)], "a late duplicate");
}

#[test]
fn a_task_that_completes_before_it_stops_is_done_and_not_moved() {
    let mut cluster = unbalanced_cluster(moves_enabled());
    let (task, source, _) = pass_until_stage(&mut cluster, MoveStage::Stopping);
    let launches = cluster.launches.iter().filter(|(_, t, _)| *t == task).count();
    let tasks = cluster.tasks.get_mut(&source).unwrap();
    for ((t, _), phase) in tasks.iter_mut() {
        if *t == task {
            *phase = TaskPhase::Ended(ExitCause::Done);
        }
    }
    cluster.advance_time(3_000);
    assert!(cluster.leader.jobs()[&JobId(1)].done.get(task.index));
    assert!(
        cluster.log_lines.iter().any(|n| n.contains("completed first")),
        "{:?}",
        cluster.log_lines
    );
    assert_eq!(cluster.launches.iter().filter(|(_, t, _)| *t == task).count(), launches);
}
