//! Faults of machines, leaders and messages while a move is under way: each task runs once.

use latchtrack_balance::moves::MoveStage;
use latchtrack_core::job::{JobId, JobSpec, TaskId};
use latchtrack_core::machine::{ExitCause, TaskPhase};
use latchtrack_core::scheduler::{BalancePolicy, Event, Policy};

use crate::common::site::{new_leader, Site, TOKEN};
use crate::common::{name, LEASE};
use crate::fixtures::{
    befall, crowded, ends_well, go_on, heal, load, moving, places, saving, until, work_saved,
    TROUBLES,
};

/// What its stop came to is not known while the source is silent; the target is not kept for it meanwhile.
#[test]
fn a_source_that_falls_silent_ends_the_move_before_the_stop_is_late() {
    let mut site = crowded(moving());
    let (_, source, target) = until(&mut site, MoveStage::Stopping);
    site.silent.insert(source);
    site.pass(8_000);
    assert!(site.notes.iter().any(|n| n.contains("source lost")), "{:?}", site.notes);
    assert!(site.leader.moves().iter().all(|m| *m.task_moves[0].target != *name(target)));
}

#[test]
fn whatever_befalls_target_or_source_at_whatever_stage_each_task_runs_once() {
    for stage in [MoveStage::Stopping, MoveStage::Launching] {
        for at_target in [true, false] {
            for trouble in TROUBLES {
                let what = format!(
                    "{trouble:?} at the {} while {stage}",
                    if at_target { "target" } else { "source" }
                );
                let mut site = crowded(moving());
                site.deletes = true;
                let (task, source, target) = until(&mut site, stage);
                befall(&mut site, if at_target { target } else { source }, trouble);
                go_on(&mut site, 2 * LEASE + 30_000);
                ends_well(&site, &[(1, 8)], &what);
                heal(&mut site);
                go_on(&mut site, 2 * LEASE);
                ends_well(&site, &[(1, 8)], &what);
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
fn several_machines_that_fail_together_lose_and_repeat_nothing() {
    for stage in [MoveStage::Stopping, MoveStage::Launching] {
        for troubles in TROUBLES.windows(2) {
            let mut site = crowded(moving());
            site.deletes = true;
            let (_, source, target) = until(&mut site, stage);
            befall(&mut site, target, troubles[0]);
            befall(&mut site, source, troubles[1]);
            go_on(&mut site, 2 * LEASE + 30_000);
            heal(&mut site);
            go_on(&mut site, 2 * LEASE);
            ends_well(&site, &[(1, 8)], &format!("{troubles:?} while {stage}"));
        }
    }
}

#[test]
fn a_job_cancelled_at_any_stage_ends_its_move() {
    for stage in [MoveStage::Stopping, MoveStage::Launching] {
        let mut site = crowded(moving());
        until(&mut site, stage);
        site.drive(Event::JobClosed(JobId(1)));
        go_on(&mut site, 5_000);
        assert_eq!(site.leader.moves(), [], "while {stage}");
        assert_eq!((0..6).map(|i| load(&site, i)).sum::<usize>(), 0, "all of it is stopped");
        // What was reserved is free again.
        site.submit(JobSpec { zone: Some("a".into()), ..saving(2, 24) });
        site.pass(400);
        assert_eq!((0..6).map(|i| load(&site, i)).sum::<usize>(), 24);
    }
}

/// The leader changes at each stage, to a version that moves or to one that knows no moves, and back.
#[test]
fn a_leader_change_at_any_stage_costs_a_place_in_the_queue_and_nothing_else() {
    for stage in [MoveStage::Stopping, MoveStage::Launching] {
        for next_moves in [true, false] {
            let what = format!("while {stage}, the next moves: {next_moves}");
            let mut site = crowded(moving());
            until(&mut site, stage);
            for (token, moves) in [(TOKEN + 1, next_moves), (TOKEN + 2, !next_moves)] {
                let balance = BalancePolicy { moves, ..moving().balance };
                let policy = Policy { balance, ..moving() };
                site.leader = new_leader(6, token, policy, site.now);
                // Accepted under an earlier leader.
                let job = Event::JobOpened {
                    spec: std::sync::Arc::new(saving(1, 8)),
                    submitted_at: 1_000,
                    revision: TOKEN + 1,
                    done: None,
                };
                site.drive(job);
                site.pass(600);
                ends_well_or_waits(&site, &what);
                go_on(&mut site, 8_000);
            }
            go_on(&mut site, 40_000);
            ends_well(&site, &[(1, 8)], &what);
            assert_eq!(site.leader.jobs()[&JobId(1)].waiting(), 0, "{what}");
        }
    }
}

/// No task is on two machines.
#[track_caller]
fn ends_well_or_waits(site: &Site, what: &str) {
    assert_eq!(site.ran_twice, Vec::<String>::new(), "{what}");
    for index in 0..8 {
        let on = places(site, TaskId { job: JobId(1), index });
        assert!(on.len() <= 1, "{what}: {index} on {on:?}");
    }
}

#[test]
fn a_stop_that_does_not_end_in_time_abandons_the_move_and_frees_the_target() {
    let mut site = crowded(moving());
    let (task, source, target) = until(&mut site, MoveStage::Stopping);
    // What is told to save takes 40 s; the next one would be told to stop then.
    for _ in 0..40 {
        site.pass(1_000);
        for phase in site.tasks.values_mut().flat_map(|tasks| tasks.values_mut()) {
            if *phase == TaskPhase::Fetching {
                *phase = TaskPhase::Running;
            }
        }
    }
    assert!(site.notes.iter().any(|n| n.contains("stop late")), "{:?}", site.notes);
    assert_eq!(places(&site, task), [source], "still there, and nowhere else");
    site.submit(JobSpec { zone: Some("a".into()), ..saving(2, 16) });
    site.pass(400);
    assert_eq!(load(&site, target), 8, "nothing is reserved any more: {:#?}", site.notes);
    work_saved(&mut site);
    go_on(&mut site, 5_000);
    assert_eq!(site.ran_twice, Vec::<String>::new());
}

/// A report of before the stop arrives once more, late, when the task already runs on its target.
#[test]
fn a_late_copy_of_the_sources_report_brings_nothing_back() {
    let mut site = crowded(moving());
    let (task, source, _) = until(&mut site, MoveStage::Stopping);
    let copy = site.report_of(source);
    site.report(source);
    let (launched, ..) = until(&mut site, MoveStage::Launching);
    assert_eq!(launched, task);
    site.drive(Event::Heartbeat(copy.clone()));
    go_on(&mut site, 3_000);
    site.drive(Event::Heartbeat(copy));
    go_on(&mut site, 20_000);
    ends_well(&site, &[(1, 8)], "a late copy");
}

#[test]
fn a_task_that_completes_before_it_stops_is_done_and_not_moved() {
    let mut site = crowded(moving());
    let (task, source, _) = until(&mut site, MoveStage::Stopping);
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
