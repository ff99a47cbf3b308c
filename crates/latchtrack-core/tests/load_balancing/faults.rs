//! Faults of machines, leaders and messages while a move is under way: each task runs once.

use latchtrack_balance::moves::MoveStage;
use latchtrack_core::job::{JobId, JobSpec, TaskId};
use latchtrack_core::machine::{ExitCause, TaskPhase};
use latchtrack_core::scheduler::{BalancePolicy, Event, Policy};

use crate::common::site::{new_leader, Site, TOKEN};
use crate::common::{name, LEASE};
use crate::fixtures::{
    assert_each_task_runs_once, checkpointing_array, clear_faults, finish_checkpoints,
    inject_fault, live_tasks_on, machines_running, moves_enabled, pass_until_stage, run_for,
    site_with_crowded_machine, FAULTS,
};

/// While the source is silent the outcome of the stop is unknown; the target is not reserved
/// meanwhile.
#[test]
fn a_silent_source_ends_the_move_before_the_stop_times_out() {
    let mut site = site_with_crowded_machine(moves_enabled());
    let (_, source, target) = pass_until_stage(&mut site, MoveStage::Stopping);
    site.silent.insert(source);
    site.pass(8_000);
    assert!(site.notes.iter().any(|n| n.contains("source lost")), "{:?}", site.notes);
    assert!(site.leader.moves().iter().all(|m| *m.task_moves[0].target != *name(target)));
}

#[test]
fn each_task_runs_once_whatever_fault_hits_source_or_target_at_any_stage() {
    for stage in [MoveStage::Stopping, MoveStage::Launching] {
        for at_target in [true, false] {
            for fault in FAULTS {
                let what = format!(
                    "{fault:?} at the {} while {stage}",
                    if at_target { "target" } else { "source" }
                );
                let mut site = site_with_crowded_machine(moves_enabled());
                site.deletes = true;
                let (task, source, target) = pass_until_stage(&mut site, stage);
                inject_fault(&mut site, if at_target { target } else { source }, fault);
                run_for(&mut site, 2 * LEASE + 30_000);
                assert_each_task_runs_once(&site, &[(1, 8)], &what);
                clear_faults(&mut site);
                run_for(&mut site, 2 * LEASE);
                assert_each_task_runs_once(&site, &[(1, 8)], &what);
                let done = site.leader.balance_summary().unwrap();
                assert!(
                    site.leader
                        .moves()
                        .iter()
                        .all(|m| m.unit.task != Some(task.index) || m.since + 60_000 > site.now),
                    "{what}: the move of {task} is over, {done:?}"
                );
            }
        }
    }
}

#[test]
fn source_and_target_that_fail_together_lose_and_repeat_nothing() {
    for stage in [MoveStage::Stopping, MoveStage::Launching] {
        for faults in FAULTS.windows(2) {
            let mut site = site_with_crowded_machine(moves_enabled());
            site.deletes = true;
            let (_, source, target) = pass_until_stage(&mut site, stage);
            inject_fault(&mut site, target, faults[0]);
            inject_fault(&mut site, source, faults[1]);
            run_for(&mut site, 2 * LEASE + 30_000);
            clear_faults(&mut site);
            run_for(&mut site, 2 * LEASE);
            assert_each_task_runs_once(&site, &[(1, 8)], &format!("{faults:?} while {stage}"));
        }
    }
}

#[test]
fn a_job_cancelled_at_any_stage_ends_its_move() {
    for stage in [MoveStage::Stopping, MoveStage::Launching] {
        let mut site = site_with_crowded_machine(moves_enabled());
        pass_until_stage(&mut site, stage);
        site.drive(Event::JobClosed(JobId(1)));
        run_for(&mut site, 5_000);
        assert_eq!(site.leader.moves(), [], "while {stage}");
        assert_eq!(
            (0..6).map(|i| live_tasks_on(&site, i)).sum::<usize>(),
            0,
            "all of it is stopped"
        );
        // What was reserved is free again.
        site.submit(JobSpec { zone: Some("a".into()), ..checkpointing_array(2, 24) });
        site.pass(400);
        assert_eq!((0..6).map(|i| live_tasks_on(&site, i)).sum::<usize>(), 24);
    }
}

/// The leader changes at each stage, to one with moves or to one without, and back.
#[test]
fn a_failover_at_any_stage_costs_a_place_in_the_queue_and_nothing_else() {
    for stage in [MoveStage::Stopping, MoveStage::Launching] {
        for next_moves in [true, false] {
            let what = format!("while {stage}, the next moves: {next_moves}");
            let mut site = site_with_crowded_machine(moves_enabled());
            pass_until_stage(&mut site, stage);
            for (token, moves) in [(TOKEN + 1, next_moves), (TOKEN + 2, !next_moves)] {
                let balance = BalancePolicy { moves, ..moves_enabled().balance };
                let policy = Policy { balance, ..moves_enabled() };
                site.leader = new_leader(6, token, policy, site.now);
                // Accepted under an earlier leader.
                let job = Event::JobOpened {
                    spec: std::sync::Arc::new(checkpointing_array(1, 8)),
                    submitted_at: 1_000,
                    revision: TOKEN + 1,
                    done: None,
                };
                site.drive(job);
                site.pass(600);
                assert_no_task_runs_twice(&site, &what);
                run_for(&mut site, 8_000);
            }
            run_for(&mut site, 40_000);
            assert_each_task_runs_once(&site, &[(1, 8)], &what);
            assert_eq!(site.leader.jobs()[&JobId(1)].waiting(), 0, "{what}");
        }
    }
}

/// No task is on two machines.
#[track_caller]
fn assert_no_task_runs_twice(site: &Site, what: &str) {
    assert_eq!(site.ran_twice, Vec::<String>::new(), "{what}");
    for index in 0..8 {
        let on = machines_running(site, TaskId { job: JobId(1), index });
        assert!(on.len() <= 1, "{what}: {index} on {on:?}");
    }
}

#[test]
fn a_stop_that_times_out_abandons_the_move_and_frees_the_target() {
    let mut site = site_with_crowded_machine(moves_enabled());
    let (task, source, target) = pass_until_stage(&mut site, MoveStage::Stopping);
    // The checkpoint takes 40 s.
    for _ in 0..40 {
        site.pass(1_000);
        for phase in site.tasks.values_mut().flat_map(|tasks| tasks.values_mut()) {
            if *phase == TaskPhase::Fetching {
                *phase = TaskPhase::Running;
            }
        }
    }
    assert!(site.notes.iter().any(|n| n.contains("stop late")), "{:?}", site.notes);
    assert_eq!(machines_running(&site, task), [source], "still there, and nowhere else");
    site.submit(JobSpec { zone: Some("a".into()), ..checkpointing_array(2, 16) });
    site.pass(400);
    assert_eq!(
        live_tasks_on(&site, target),
        8,
        "nothing is reserved any longer: {:#?}",
        site.notes
    );
    finish_checkpoints(&mut site);
    run_for(&mut site, 5_000);
    assert_eq!(site.ran_twice, Vec::<String>::new());
}

/// A heartbeat from before the stop arrives once more, when the task already runs on its target.
#[test]
fn a_late_duplicate_of_the_sources_heartbeat_brings_nothing_back() {
    let mut site = site_with_crowded_machine(moves_enabled());
    let (task, source, _) = pass_until_stage(&mut site, MoveStage::Stopping);
    let duplicate = site.report_of(source);
    site.report(source);
    let (launched, ..) = pass_until_stage(&mut site, MoveStage::Launching);
    assert_eq!(launched, task);
    site.drive(Event::Heartbeat(duplicate.clone()));
    run_for(&mut site, 3_000);
    site.drive(Event::Heartbeat(duplicate));
    run_for(&mut site, 20_000);
    assert_each_task_runs_once(&site, &[(1, 8)], "a late duplicate");
}

#[test]
fn a_task_that_completes_before_it_stops_is_done_and_not_moved() {
    let mut site = site_with_crowded_machine(moves_enabled());
    let (task, source, _) = pass_until_stage(&mut site, MoveStage::Stopping);
    let launches = site.launches.iter().filter(|(_, t, _)| *t == task).count();
    let tasks = site.tasks.get_mut(&source).unwrap();
    for ((t, _), phase) in tasks.iter_mut() {
        if *t == task {
            *phase = TaskPhase::Ended(ExitCause::Done);
        }
    }
    site.pass(3_000);
    assert!(site.leader.jobs()[&JobId(1)].done.get(task.index));
    assert!(site.notes.iter().any(|n| n.contains("completed first")), "{:?}", site.notes);
    assert_eq!(site.launches.iter().filter(|(_, t, _)| *t == task).count(), launches);
}
