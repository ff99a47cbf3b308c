//! Load balancing by its leader: each hard case of a move, placement between locality and balance, and the
//! order among teams.

mod common;

use std::collections::BTreeSet;

use common::site::*;
use common::{name, policy, spec, LEASE};
use latchtrack_balance::balancer::MoveLimits;
use latchtrack_balance::moves::MoveStage;
use latchtrack_core::job::{JobId, JobSpec, Resources, TaskId};
use latchtrack_core::machine::*;
use latchtrack_core::scheduler::*;

/// Quick enough for small cases; the order of the times is that of the defaults.
const LIMITS: MoveLimits = MoveLimits {
    over_bound_ms: 2_000,
    min_run_ms: 3_000,
    task_cooldown_ms: 20_000,
    machine_gap_ms: 1_000,
    machine_cooldown_ms: 20_000,
    moves_per_minute: 60,
    worth_factor: 3.0,
};

fn moving() -> Policy {
    let balance =
        BalancePolicy { moves: true, limits: LIMITS, calm_ms: 1_000, ..BalancePolicy::default() };
    Policy { on_demand_idle_timeout_ms: 600_000, balance, ..policy() }
}

/// An array of tasks of one CPU that save, with ten minutes to run.
fn saving(id: u64, tasks: u32) -> JobSpec {
    JobSpec {
        spot: false,
        demand: Resources { cpus: 1.0, gpus: 0.0, memory_gb: 1.0 },
        checkpoint_s: 10.0,
        save_s: 2.0,
        estimate_s: 600.0,
        image_gb: 0.5,
        ..(*spec(id, tasks)).clone()
    }
}

/// Tasks of one CPU that never save, in a zone.
fn filler(id: u64, tasks: u32, zone: &str) -> JobSpec {
    JobSpec { checkpoint_s: 0.0, zone: Some(zone.into()), ..saving(id, tasks) }
}

/// Tasks that fetch run, and those that save have saved.
fn work(site: &mut Site) {
    for tasks in site.tasks.values_mut() {
        for phase in tasks.values_mut() {
            match phase {
                TaskPhase::Fetching => *phase = TaskPhase::Running,
                TaskPhase::Checkpointing => *phase = TaskPhase::Ended(ExitCause::Stopped),
                _ => {}
            }
        }
    }
}

/// Time passes and the machines work.
fn go_on(site: &mut Site, ms: u64) {
    for _ in 0..ms / 1_000 {
        site.pass(1_000);
        work(site);
    }
}

/// Six machines, three in each zone, of which the first carries eight tasks of one CPU.
fn crowded(policy: Policy) -> Site {
    let mut site = Site::new(6, policy);
    site.submit(saving(1, 8));
    site.pass(400);
    work(&mut site);
    assert_eq!(load(&site, 0), 8, "packed by rising score");
    site
}

/// Live tasks on a machine.
fn load(site: &Site, machine: u64) -> usize {
    let tasks = site.tasks.get(&machine).into_iter().flatten();
    tasks.filter(|(_, phase)| !matches!(phase, TaskPhase::Ended(_))).count()
}

/// Where a task is that has not ended, by what the machines list.
fn places(site: &Site, task: TaskId) -> Vec<u64> {
    let on = |tasks: &std::collections::BTreeMap<(TaskId, u64), TaskPhase>| {
        tasks.iter().any(|((t, _), phase)| *t == task && !matches!(phase, TaskPhase::Ended(_)))
    };
    site.tasks.iter().filter(|(_, tasks)| on(tasks)).map(|(i, _)| *i).collect()
}

/// Passes time in small steps until a move is in this stage; its task, source and target.
#[track_caller]
fn until(site: &mut Site, stage: MoveStage) -> (TaskId, u64, u64) {
    for _ in 0..200 {
        if let Some(m) = site.leader.moves().iter().find(|m| m.stage == stage) {
            let task_move = &m.task_moves[0];
            let task = TaskId { job: JobId(m.unit.job), index: task_move.task };
            return (task, number(&task_move.source), number(&task_move.target));
        }
        let saving =
            site.tasks.values().flatten().any(|(_, phase)| *phase == TaskPhase::Checkpointing);
        if saving && stage != MoveStage::Stopping {
            work_saved(site);
        }
        site.pass(200);
    }
    panic!("no move is {stage}: {:?}", site.notes);
}

fn work_saved(site: &mut Site) {
    for phase in site.tasks.values_mut().flat_map(|tasks| tasks.values_mut()) {
        if *phase == TaskPhase::Checkpointing {
            *phase = TaskPhase::Ended(ExitCause::Stopped);
        }
    }
}

#[test]
fn a_crowded_machine_gives_tasks_to_idle_ones_of_its_cell_within_the_bound() {
    let mut site = crowded(moving());
    go_on(&mut site, 60_000);
    // 8 tasks on 3 machines of 8 CPUs: 1.25 times the mean of 2.67, and one task.
    let loads: Vec<usize> = (0..6).map(|i| load(&site, i)).collect();
    assert!(loads.iter().all(|n| *n <= 4), "{loads:?}");
    assert_eq!(loads.iter().sum::<usize>(), 8);
    assert_eq!((loads[1], loads[3], loads[5]), (0, 0, 0), "the other zone is another pool");
    assert_eq!(site.ran_twice, Vec::<String>::new());
    let summary = site.leader.balance_summary().unwrap();
    assert_eq!(summary.counts.settled, summary.counts.begun);
    assert!(summary.counts.settled >= 4, "{summary:?}");
    assert!(site.stops.iter().all(|(_, grace)| *grace >= 2.0), "time to save: {:?}", site.stops);
    // Each moved task was launched twice, no other more than once.
    let settled = summary.counts.settled as usize;
    assert_eq!(site.launches.len(), 8 + settled);
    go_on(&mut site, 60_000);
    assert_eq!(site.launches.len(), 8 + settled, "within the bound nothing moves");
}

#[test]
fn without_the_switch_nothing_moves() {
    let mut site = crowded(Policy { balance: BalancePolicy::default(), ..moving() });
    go_on(&mut site, 60_000);
    assert_eq!((load(&site, 0), site.stops.len()), (8, 0));
    assert_eq!(site.leader.balance_summary(), None);
}

#[test]
fn what_does_not_save_or_has_little_left_stays() {
    for spec in [
        JobSpec { checkpoint_s: 0.0, ..saving(1, 8) },
        JobSpec { estimate_s: 10.0, ..saving(1, 8) },
    ] {
        let mut site = Site::new(6, moving());
        site.submit(spec);
        site.pass(400);
        go_on(&mut site, 30_000);
        assert_eq!((load(&site, 0), site.stops.len()), (8, 0));
    }
}

#[test]
fn nothing_moves_while_somebody_waits_for_room_or_the_leader_is_new() {
    // A task of eight CPUs in a zone whose machines all carry something: it waits for one to be empty.
    let mut site = crowded(moving());
    for machine in [2, 4] {
        let one = JobSpec { zone: Some("a".into()), ..saving(10 + machine, 7) };
        site.submit(one);
        site.pass(400);
        work(&mut site);
    }
    let large = Resources { cpus: 8.0, gpus: 0.0, memory_gb: 8.0 };
    site.no_capacity = true;
    site.submit(JobSpec { demand: large, zone: Some("a".into()), ..saving(3, 1) });
    go_on(&mut site, 20_000);
    assert_eq!(site.stops, [], "overload");
    let balance = BalancePolicy { calm_ms: 30_000, ..moving().balance };
    let mut site = crowded(Policy { balance, ..moving() });
    go_on(&mut site, 28_000);
    assert_eq!(site.stops, [], "a new leader");
    go_on(&mut site, 10_000);
    assert_ne!(site.stops, []);
}

#[test]
fn a_reserved_target_is_kept_from_others() {
    let mut site = crowded(moving());
    let (_, source, target) = until(&mut site, MoveStage::Stopping);
    assert_eq!(source, 0);
    // As many tasks of one CPU as the zone has room for, but for the one that is reserved.
    site.submit(JobSpec { zone: Some("a".into()), ..saving(2, 16) });
    site.pass(400);
    let others: usize = (0..6).map(|i| load(&site, i)).sum::<usize>() - 8;
    assert_eq!((others, load(&site, target)), (15, 7), "one CPU of the zone is reserved");
    work(&mut site);
    site.pass(1_000);
    assert_eq!(load(&site, target), 8, "the moved task has it");
    assert_eq!(site.ran_twice, Vec::<String>::new());
}

#[test]
fn a_reserved_target_is_not_given_back_as_idle() {
    let mut site = crowded(Policy { on_demand_idle_timeout_ms: 12_000, ..moving() });
    site.deletes = true;
    let (_, _, target) = until(&mut site, MoveStage::Stopping);
    // The tasks take their time to save.
    site.pass(15_000);
    assert!(!site.tasks.contains_key(&1), "an empty machine of the other zone has gone back");
    assert!(site.tasks.contains_key(&target), "the target has not");
    work(&mut site);
    site.pass(1_000);
    assert!(load(&site, target) > 0);
}

/// A machine of the earlier leader has not been heard: what runs there is not known, and who waits for it
/// is not either.
#[test]
fn nothing_moves_while_a_machine_of_an_earlier_leader_is_unsettled() {
    let mut site = crowded(moving());
    site.silent.insert(5);
    site.leader = new_leader(6, TOKEN + 1, moving(), site.now);
    let job = Event::JobOpened {
        spec: std::sync::Arc::new(saving(1, 8)),
        submitted_at: 1_000,
        revision: TOKEN,
        done: None,
    };
    site.drive(job);
    go_on(&mut site, 8_000);
    assert_eq!(site.stops, [], "it is given up after nine seconds");
    go_on(&mut site, 60_000);
    assert_ne!(site.stops, []);
}

#[test]
fn tasks_that_fetch_their_image_do_not_count_as_movable() {
    let mut site = Site::new(6, moving());
    site.submit(saving(1, 8));
    site.pass(10_000);
    let over_bound = |site: &Site| site.leader.balance_summary().unwrap().over_bound;
    assert_eq!((load(&site, 0), over_bound(&site)), (8, 0), "eight tasks, all fetching");
    work(&mut site);
    site.pass(2_000);
    assert_eq!(over_bound(&site), 1);
}

/// A cancelled job's tasks run on where the stop does not arrive: they are no work to move.
#[test]
fn tasks_that_are_told_to_stop_already_are_not_moved() {
    let mut site = crowded(moving());
    site.pass(1_000);
    site.deaf.insert(0);
    site.drive(Event::JobClosed(JobId(1)));
    site.pass(12_000);
    assert_eq!(load(&site, 0), 8, "it has not heard of it");
    assert_eq!(site.leader.balance_summary().unwrap().counts.begun, 0, "{:?}", site.notes);
}

/// The end of a task on its source may come with a report between two rounds, and be planned in the same
/// moment: its target is its own all the same.
#[test]
fn a_task_that_has_saved_goes_to_its_target_and_not_into_the_queue() {
    let mut site = crowded(moving());
    let (task, source, target) = until(&mut site, MoveStage::Stopping);
    site.now += 150;
    work_saved(&mut site);
    site.report(source);
    site.report(target);
    assert_eq!(places(&site, task), [target]);
}

/// A run that nobody knew of brings the team to its limit while a task is on its way.
#[test]
fn a_moved_task_is_not_launched_beyond_its_teams_limit() {
    let team = Team { name: "t".into(), cpus: 0.0, cpus_max: 8.0, gpus: 0.0, gpus_max: 0.0 };
    let mut site = crowded(Policy { teams: vec![team], ..moving() });
    site.submit(saving(2, 1));
    let (task, ..) = until(&mut site, MoveStage::Stopping);
    let stray = (TaskId { job: JobId(2), index: 0 }, 1);
    site.tasks.get_mut(&5).unwrap().insert(stray, TaskPhase::Running);
    site.report(5);
    work_saved(&mut site);
    site.pass(2_000);
    assert_eq!(places(&site, task), Vec::<u64>::new(), "the stray run has its place");
    assert!(site.notes.iter().any(|n| n.contains("team at its limit")), "{:?}", site.notes);
    let running: usize = (0..6).map(|i| load(&site, i)).sum();
    assert!(running <= 8, "{running} CPUs of 8");
}

/// A run that nobody knew of takes the last place that a job which is to be apart has in its zone.
#[test]
fn a_moved_task_is_not_launched_where_its_job_may_not_be_any_more() {
    let mut site = Site::new(6, moving());
    site.no_capacity = true;
    site.submit(filler(10, 24, "b"));
    site.pass(400);
    site.submit(JobSpec { spread: true, ..saving(1, 4) });
    site.pass(400);
    site.submit(filler(11, 6, "a"));
    site.pass(400);
    work(&mut site);
    assert_eq!((load(&site, 0), site.live(1).len()), (8, 2), "two of four in zone a, none in b");
    let (task, ..) = until(&mut site, MoveStage::Stopping);
    let stray = (TaskId { job: JobId(1), index: 3 }, 1);
    site.tasks.get_mut(&4).unwrap().insert(stray, TaskPhase::Running);
    site.report(4);
    work_saved(&mut site);
    site.pass(2_000);
    let in_zone_a =
        (0..4).filter(|index| !places(&site, TaskId { job: JobId(1), index: *index }).is_empty());
    assert_eq!(in_zone_a.count(), 2, "{task} waits: {:?}", site.notes);
}

/// A gang of which one task is on a machine that may not give stays whole where it is.
#[test]
fn a_gang_with_a_task_on_a_machine_on_probation_stays() {
    let mut site = Site::new(6, moving());
    site.submit(filler(10, 6, "a"));
    site.pass(400);
    let two_cpus = Resources { cpus: 2.0, gpus: 0.0, memory_gb: 2.0 };
    site.submit(JobSpec { gang: true, zone: Some("a".into()), demand: two_cpus, ..saving(1, 2) });
    site.pass(400);
    site.submit(filler(11, 1, "a"));
    site.pass(400);
    assert_eq!((load(&site, 0), load(&site, 2)), (7, 2), "the gang is on two machines");
    work(&mut site);
    site.pass(1_000);
    site.set(11, TaskPhase::Ended(ExitCause::Failed), |_| true);
    site.pass(12_000);
    // With time to save; a task that is slower than the first is told once more, to go at once.
    let of_gang = |site: &Site| {
        let saves = |stop: &&(TaskId, f64)| stop.0.job == JobId(1) && stop.1 >= 2.0;
        site.stops.iter().filter(saves).count()
    };
    assert_eq!(of_gang(&site), 0, "fifteen seconds of probation");
    go_on(&mut site, 30_000);
    assert_eq!(of_gang(&site), 2, "both, when it is over: {:?}", site.notes);
}

#[test]
fn a_machine_that_is_not_well_is_no_target() {
    for trouble in [Trouble::Notice, Trouble::Failed, Trouble::Silent] {
        let mut site = crowded(moving());
        // Another one with less on it than the third of the zone.
        site.submit(filler(10, 1, "a"));
        site.pass(400);
        befall(&mut site, 2, Trouble::Notice);
        site.report(2);
        site.submit(filler(11, 2, "a"));
        site.pass(400);
        assert_eq!((load(&site, 2), load(&site, 4)), (1, 2));
        heal(&mut site);
        befall(&mut site, 2, trouble);
        site.report(2);
        // Long enough for its silence to show.
        site.pass(5_000);
        work(&mut site);
        let (.., target) = until(&mut site, MoveStage::Stopping);
        assert_eq!(target, 4, "{trouble:?}");
    }
}

/// A run that nobody knew of takes the room that was reserved.
#[test]
fn a_moved_task_is_not_launched_on_a_target_that_is_full() {
    let mut site = Site::new(14, moving());
    site.no_capacity = true;
    site.submit(saving(1, 8));
    site.pass(400);
    work(&mut site);
    // Seven machines in zone b for eight tasks.
    let all = Resources { cpus: 8.0, gpus: 0.0, memory_gb: 8.0 };
    let whole = JobSpec { demand: all, zone: Some("b".into()), checkpoint_s: 0.0, ..saving(2, 8) };
    site.submit(whole);
    site.pass(400);
    let (task, _, target) = until(&mut site, MoveStage::Stopping);
    let stray = (TaskId { job: JobId(2), index: 7 }, 1);
    site.tasks.get_mut(&target).unwrap().insert(stray, TaskPhase::Running);
    site.report(target);
    work_saved(&mut site);
    site.pass(1_000);
    assert!(site.notes.iter().any(|n| n.contains("target full")), "{:?}", site.notes);
    assert_ne!(places(&site, task), [target]);
}

/// Given to a machine that is not heard, the task would wait until that is given up.
#[test]
fn a_moved_task_is_not_launched_on_a_target_that_is_silent() {
    let mut site = crowded(moving());
    let (task, _, target) = until(&mut site, MoveStage::Stopping);
    site.silent.insert(target);
    site.pass(5_000);
    work_saved(&mut site);
    site.pass(1_000);
    assert!(site.notes.iter().any(|n| n.contains("target lost")), "{:?}", site.notes);
    let on = places(&site, task);
    assert!(on.len() == 1 && on != [target], "placed elsewhere at once: {on:?}");
}

/// A job keeps off a machine on which it failed for longer than that machine is on probation.
#[test]
fn a_moved_task_is_not_launched_where_its_job_failed_lately() {
    let mut site = crowded(moving());
    // The third machine of the zone has little room.
    site.submit(filler(10, 6, "a"));
    site.pass(400);
    let (task, _, target) = until(&mut site, MoveStage::Launching);
    assert_eq!(load(&site, target), 1, "the one that was empty");
    work(&mut site);
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
        go_on(&mut site, 1_000);
        assert_eq!(launches(&site), before, "{} ms later: {:?}", site.now - failed_at, site.notes);
    }
    assert!(site.notes.iter().any(|n| n.contains("not allowed")), "{:?}", site.notes);
}

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

/// A leader that stood still has heard nothing meanwhile: what it knows of the machines is old.
#[test]
fn nothing_moves_right_after_a_leader_stood_still() {
    let mut site = crowded(moving());
    site.pass(2_000);
    site.now += 4_000;
    site.pass(5_000);
    assert_eq!(site.stops, []);
    go_on(&mut site, 6_000);
    assert_ne!(site.stops, []);
}

/// What may happen to a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// It neither reports nor answers: cut off, hanging, or dead.
    Silent,
    /// It reports, and hears nothing.
    Deaf,
    Notice,
    /// The cloud's list has it as failed.
    Failed,
    /// Its session ended, with all that ran there.
    NewSession,
    /// It refuses launches.
    Refusing,
}

const TROUBLES: [Trouble; 6] = [
    Trouble::Silent,
    Trouble::Deaf,
    Trouble::Notice,
    Trouble::Failed,
    Trouble::NewSession,
    Trouble::Refusing,
];

fn befall(site: &mut Site, machine: u64, trouble: Trouble) {
    match trouble {
        Trouble::Silent => {
            site.silent.insert(machine);
        }
        Trouble::Deaf => {
            site.deaf.insert(machine);
        }
        Trouble::Notice => {
            site.notice.insert(machine, 30.0);
        }
        Trouble::Failed => {
            let listed = site.tasks.keys().map(|i| ListedMachine {
                name: name(*i),
                kind: "g".into(),
                zone: zone_of(*i).into(),
                spot: false,
                failed: *i == machine,
                running: *i != machine,
                age_ms: 60_000,
            });
            let listed = Event::MachinesListed(listed.collect());
            site.drive(listed);
            site.silent.insert(machine);
        }
        Trouble::NewSession => {
            *site.agent_epoch.entry(machine).or_default() += 1;
            if let Some(tasks) = site.tasks.get_mut(&machine) {
                tasks.clear();
            }
        }
        Trouble::Refusing => {
            site.refusing.insert(machine);
        }
    }
}

fn heal(site: &mut Site) {
    site.silent.clear();
    site.deaf.clear();
    site.notice.clear();
    site.refusing.clear();
}

/// Every task of the jobs is on one machine or done, no move is open, and nothing ever ran twice.
#[track_caller]
fn ends_well(site: &Site, jobs: &[(u64, u32)], what: &str) {
    assert_eq!(site.ran_twice, Vec::<String>::new(), "{what}");
    for (id, tasks) in jobs {
        for index in 0..*tasks {
            let task = TaskId { job: JobId(*id), index };
            let on = places(site, task);
            let reachable: Vec<&u64> = on.iter().filter(|i| !site.silent.contains(i)).collect();
            assert_eq!(reachable.len(), 1, "{what}: {task} on {on:?}: {:#?}", site.notes);
        }
    }
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

/// The team's limit is lowered by another task of the team between the stop and the launch.
#[test]
fn a_team_at_its_limit_launches_no_moved_task_beyond_it() {
    let team = Team { name: "t".into(), cpus: 0.0, cpus_max: 8.0, gpus: 0.0, gpus_max: 0.0 };
    let mut site = crowded(Policy { teams: vec![team], ..moving() });
    for second in 0..60u64 {
        if second % 7 == 0 {
            site.submit(saving(100 + second, 2));
        }
        site.pass(1_000);
        work(&mut site);
        let running: usize = (0..6).map(|i| load(&site, i)).sum();
        assert!(running <= 8, "{running} CPUs of 8 at {second} s");
    }
    assert_eq!(site.ran_twice, Vec::<String>::new());
    assert!(site.leader.balance_summary().unwrap().counts.begun > 0, "{:?}", site.notes);
}

/// A gang of two tasks moves whole, under a new attempt, when both have saved.
#[test]
fn a_gang_moves_whole_or_not_at_all() {
    let gang = |id| JobSpec { gang: true, ..saving(id, 2) };
    let mut site = Site::new(6, moving());
    site.submit(gang(1));
    site.pass(400);
    // Six that do not save crowd the machine for good.
    site.submit(JobSpec { checkpoint_s: 0.0, ..saving(2, 6) });
    site.pass(400);
    work(&mut site);
    assert_eq!(load(&site, 0), 8);
    until(&mut site, MoveStage::Stopping);
    let first = site.live(1);
    // One has saved: its gang's progress is safe, and the other is told to go. The next attempt waits
    // for that.
    let tasks = site.tasks.get_mut(&0).unwrap();
    for ((task, _), phase) in tasks.iter_mut() {
        if task.job == JobId(1) && task.index == 0 {
            *phase = TaskPhase::Ended(ExitCause::Stopped);
        }
    }
    for _ in 0..40 {
        site.pass(200);
        assert!(site.live(1).len() <= 1, "{:?}", site.live(1));
        work(&mut site);
    }
    let now = site.live(1);
    assert_eq!(now.values().copied().collect::<Vec<_>>(), [2], "whole, in one attempt");
    assert_ne!(now.keys().next(), first.keys().next());
    assert_eq!(load(&site, 0), 6, "off the crowded machine");
    assert!(site.stops.iter().any(|(task, grace)| task.job == JobId(1) && *grace >= 2.0));
    assert_eq!(site.ran_twice, Vec::<String>::new());
}

#[test]
fn moves_respect_where_a_job_may_be() {
    // One zone, and apart: each with tasks in zone a on a crowded machine.
    for spec in [
        JobSpec { one_zone: true, ..saving(1, 8) },
        JobSpec { spread: true, ..saving(1, 16) },
        JobSpec { zone: Some("a".into()), ..saving(1, 8) },
    ] {
        let what = format!("{spec:?}");
        let (one_zone, tasks) = (spec.one_zone, spec.tasks);
        let mut site = Site::new(6, moving());
        site.submit(spec);
        site.pass(400);
        go_on(&mut site, 40_000);
        assert!(site.leader.balance_summary().unwrap().counts.settled > 0, "{what}");
        let zone_of_task = |index| zone_of(places(&site, TaskId { job: JobId(1), index })[0]);
        let zones: Vec<&str> = (0..tasks).map(zone_of_task).collect();
        let different: BTreeSet<&&str> = zones.iter().collect();
        assert!(!one_zone || different.len() == 1, "{what}: {zones:?}");
        let in_a = zones.iter().filter(|zone| **zone == "a").count() as u32;
        assert!(tasks == 8 || in_a <= tasks.div_ceil(2), "{what}: {zones:?}");
    }
}

/// Amounts from the cloud that make no sense: named once, and nothing is planned with them.
#[test]
fn machine_types_with_nonsense_are_named_once_and_left_out() {
    let mut site = crowded(moving());
    let mut odd = common::machine_type(vec!["a".into(), "b".into()]);
    (odd.memory_gb, odd.fetch_gb_per_s) = (f64::NAN, -3.0);
    site.drive(Event::MachineTypes(vec![odd]));
    go_on(&mut site, 20_000);
    assert_eq!(site.notes.iter().filter(|n| n.contains("invalid amounts")).count(), 1);
    assert_eq!(site.stops, []);
}

/// Images on one machine: by the present order everything goes there; with balanced placement the machine
/// is preferred until it is crowded by more than the fetch is worth.
#[test]
fn balanced_placement_fetches_an_image_rather_than_crowd_its_holder() {
    let loads = |placement| {
        let balance = BalancePolicy { placement, ..BalancePolicy::default() };
        let mut site = Site::new(6, Policy { balance, ..moving() });
        site.submit(saving(1, 1));
        site.pass(400);
        work(&mut site);
        site.pass(2_000);
        // One after the other, as users submit them.
        for id in 2..9 {
            site.submit(saving(id, 1));
            site.pass(1_000);
        }
        let mut loads: Vec<usize> = (0..6).map(|i| load(&site, i)).collect();
        loads.sort();
        loads
    };
    assert_eq!(loads(false), [0, 0, 0, 0, 0, 8]);
    let balanced = loads(true);
    assert!(balanced[5] < 8 && balanced[4] > 0, "{balanced:?}");
}

/// Two teams on the same machines, one turns hot: what comes free goes to the other first, until it has
/// its share. Without the switch the earlier jobs of the hot team keep it out.
#[test]
fn a_team_within_its_share_is_not_kept_out_by_a_hot_one() {
    let team =
        |name: &str| Team { name: name.into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 };
    let begun = |teams| {
        let balance = BalancePolicy { teams, ..BalancePolicy::default() };
        let teams = vec![team("hot"), team("calm")];
        let mut site = Site::new(2, Policy { balance, teams, ..moving() });
        site.no_capacity = true;
        let task = |id, team: &str| JobSpec {
            team: team.into(),
            checkpoint_s: 0.0,
            estimate_s: 20.0,
            ..saving(id, 8)
        };
        for id in 1..40 {
            site.submit(task(id, "hot"));
        }
        go_on(&mut site, 5_000);
        site.submit(task(100, "calm"));
        // One task ends each second, the longest running first.
        for _ in 0..20 {
            let oldest = site.tasks.iter().flat_map(|(i, tasks)| {
                let running = tasks.iter().filter(|(_, phase)| **phase == TaskPhase::Running);
                running.map(|(key, _)| (key.1, *i, *key))
            });
            if let Some((_, machine, key)) = oldest.min() {
                site.tasks
                    .get_mut(&machine)
                    .unwrap()
                    .insert(key, TaskPhase::Ended(ExitCause::Done));
            }
            go_on(&mut site, 1_000);
        }
        site.launches.iter().filter(|(_, t, _)| t.job == JobId(100)).count()
    };
    assert_eq!(begun(false), 0);
    assert_eq!(begun(true), 8);
}

/// Two teams of sixteen CPUs together, the first of which turns hot or brings a burst of so many jobs, and
/// then a job of the other. Tasks of each that were launched in the first round.
fn first_round(jobs: u64, deadline_s: Option<f64>, calm_tasks: u32) -> (usize, usize) {
    let team =
        |name: &str| Team { name: name.into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 };
    let balance = BalancePolicy { teams: true, ..BalancePolicy::default() };
    let teams = vec![team("first"), team("calm")];
    let mut site = Site::new(2, Policy { balance, teams, ..moving() });
    site.no_capacity = true;
    let plain = |id, team: &str, tasks| JobSpec {
        team: team.into(),
        checkpoint_s: 0.0,
        estimate_s: 20.0,
        ..saving(id, tasks)
    };
    for id in 0..jobs {
        site.submit(JobSpec { deadline_s, ..plain(id + 1, "first", 8) });
    }
    // Many tasks, of which its owner thinks that they are short: no hot team.
    site.submit(JobSpec { estimate_s: 1.0, ..plain(1_000, "calm", calm_tasks) });
    site.pass(400);
    let of =
        |calm| site.launches.iter().filter(|(_, t, _)| (t.job == JobId(1_000)) == calm).count();
    (of(false), of(true))
}

#[test]
fn a_burst_puts_nobody_behind() {
    // In the order of their names the two jobs of the burst go first, and fill the machines.
    assert_eq!(first_round(2, None, 8), (16, 0));
}

#[test]
fn a_hot_team_has_its_share_before_others() {
    assert_eq!(first_round(40, Some(600.0), 40), (8, 8), "half of the cluster each");
}

/// Two teams turn hot in the same second on the same machines, one of them with its limit reached, and both
/// cool in the same second; again and again.
#[test]
fn two_teams_that_turn_hot_and_cool_together_keep_limit_and_budget() {
    let team = |name: &str, cpus_max| Team {
        name: name.into(),
        cpus: 0.0,
        cpus_max,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    let balance = BalancePolicy { teams: true, ..moving().balance };
    let limits = MoveLimits { moves_per_minute: 12, ..LIMITS };
    let balance = BalancePolicy { limits, ..balance };
    let teams = vec![team("bound", 6.0), team("free", 0.0)];
    let mut site = Site::new(12, Policy { balance, teams, ..moving() });
    site.no_capacity = true;
    let mut moved: std::collections::BTreeMap<TaskId, Vec<u64>> = Default::default();
    let mut begun = Vec::new();
    for wave in 0..4u64 {
        let (bound, free) = (2 * wave + 1, 2 * wave + 2);
        site.submit(JobSpec { team: "bound".into(), zone: Some("a".into()), ..saving(bound, 12) });
        site.submit(JobSpec { team: "free".into(), zone: Some("a".into()), ..saving(free, 14) });
        for _ in 0..40 {
            let known = site.leader.balance_summary().unwrap().counts.begun;
            go_on(&mut site, 1_000);
            let now = site.leader.balance_summary().unwrap().counts.begun;
            begun.extend((known..now).map(|_| site.now));
            let used = site.live(bound).values().sum::<usize>();
            assert!(used <= 6, "{used} of 6 CPUs at {}", site.now);
            for (task, _) in std::mem::take(&mut site.stops) {
                moved.entry(task).or_default().push(site.now);
            }
        }
        site.drive(Event::JobClosed(JobId(bound)));
        site.drive(Event::JobClosed(JobId(free)));
        go_on(&mut site, 5_000);
        site.stops.clear();
    }
    assert_eq!(site.ran_twice, Vec::<String>::new());
    assert!(begun.len() >= 8, "{} moves begun", begun.len());
    for at in &begun {
        let in_minute = begun.iter().filter(|t| (*at..*at + 60_000).contains(*t)).count();
        assert!(in_minute <= 12, "{in_minute} moves within a minute");
    }
    for (task, times) in moved {
        let apart = times.windows(2).all(|pair| pair[1] >= pair[0] + LIMITS.task_cooldown_ms);
        assert!(apart, "{task} moved at {times:?}");
    }
}
