//! Which tasks move, from which machines to which, and when none do.

use std::collections::BTreeSet;

use latchtrack_balance::moves::MoveStage;
use latchtrack_core::job::{JobId, JobSpec, Resources, TaskId};
use latchtrack_core::scheduler::{BalancePolicy, Event, Policy};

use crate::common::machine_type;
use crate::common::site::{new_leader, zone_of, Site, TOKEN};
use crate::fixtures::{
    advance_tasks, array_without_checkpoints, checkpointing_array, clear_faults, inject_fault,
    live_tasks_on, machines_running, moves_enabled, pass_until_stage, run_for,
    site_with_crowded_machine, Fault,
};

#[test]
fn a_crowded_machine_gives_tasks_to_idle_ones_of_its_pool_within_the_bound() {
    let mut site = site_with_crowded_machine(moves_enabled());
    run_for(&mut site, 60_000);
    // 8 tasks on 3 machines of 8 CPUs: 1.25 times the mean of 2.67, and one task.
    let loads: Vec<usize> = (0..6).map(|i| live_tasks_on(&site, i)).collect();
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
    run_for(&mut site, 60_000);
    assert_eq!(site.launches.len(), 8 + settled, "within the bound nothing moves");
}

#[test]
fn nothing_moves_while_moves_are_switched_off() {
    let mut site =
        site_with_crowded_machine(Policy { balance: BalancePolicy::default(), ..moves_enabled() });
    run_for(&mut site, 60_000);
    assert_eq!((live_tasks_on(&site, 0), site.stops.len()), (8, 0));
    assert_eq!(site.leader.balance_summary(), None);
}

#[test]
fn tasks_without_checkpoints_or_with_little_left_to_run_stay() {
    for spec in [
        JobSpec { checkpoint_s: 0.0, ..checkpointing_array(1, 8) },
        JobSpec { estimate_s: 10.0, ..checkpointing_array(1, 8) },
    ] {
        let mut site = Site::new(6, moves_enabled());
        site.submit(spec);
        site.pass(400);
        run_for(&mut site, 30_000);
        assert_eq!((live_tasks_on(&site, 0), site.stops.len()), (8, 0));
    }
}

#[test]
fn nothing_moves_under_overload_or_right_after_a_failover() {
    // A task of eight CPUs in a zone whose machines all run tasks: it waits for one to be empty.
    let mut site = site_with_crowded_machine(moves_enabled());
    for machine in [2, 4] {
        let one = JobSpec { zone: Some("a".into()), ..checkpointing_array(10 + machine, 7) };
        site.submit(one);
        site.pass(400);
        advance_tasks(&mut site);
    }
    let large = Resources { cpus: 8.0, gpus: 0.0, memory_gb: 8.0 };
    site.no_capacity = true;
    site.submit(JobSpec { demand: large, zone: Some("a".into()), ..checkpointing_array(3, 1) });
    run_for(&mut site, 20_000);
    assert_eq!(site.stops, [], "overload");
    let balance = BalancePolicy { moves_delay_ms: 30_000, ..moves_enabled().balance };
    let mut site = site_with_crowded_machine(Policy { balance, ..moves_enabled() });
    run_for(&mut site, 28_000);
    assert_eq!(site.stops, [], "after a failover");
    run_for(&mut site, 10_000);
    assert_ne!(site.stops, []);
}

/// While a machine of the earlier leader has not been heard, neither what runs there is known nor
/// who waits.
#[test]
fn nothing_moves_while_a_machine_is_unreconciled() {
    let mut site = site_with_crowded_machine(moves_enabled());
    site.silent.insert(5);
    site.leader = new_leader(6, TOKEN + 1, moves_enabled(), site.now);
    let job = Event::JobOpened {
        spec: std::sync::Arc::new(checkpointing_array(1, 8)),
        submitted_at: 1_000,
        revision: TOKEN,
        done: None,
    };
    site.drive(job);
    run_for(&mut site, 8_000);
    assert_eq!(site.stops, [], "it is given up after nine seconds");
    run_for(&mut site, 60_000);
    assert_ne!(site.stops, []);
}

#[test]
fn tasks_that_fetch_their_image_do_not_count_as_movable() {
    let mut site = Site::new(6, moves_enabled());
    site.submit(checkpointing_array(1, 8));
    site.pass(10_000);
    let over_bound = |site: &Site| site.leader.balance_summary().unwrap().over_bound;
    assert_eq!((live_tasks_on(&site, 0), over_bound(&site)), (8, 0), "eight tasks, all fetching");
    advance_tasks(&mut site);
    site.pass(2_000);
    assert_eq!(over_bound(&site), 1);
}

/// Tasks of a cancelled job run on where the stop does not arrive: they are not to be moved.
#[test]
fn tasks_that_are_stopping_already_are_not_moved() {
    let mut site = site_with_crowded_machine(moves_enabled());
    site.pass(1_000);
    site.deaf.insert(0);
    site.drive(Event::JobClosed(JobId(1)));
    site.pass(12_000);
    assert_eq!(live_tasks_on(&site, 0), 8, "the stop has not arrived");
    assert_eq!(site.leader.balance_summary().unwrap().counts.begun, 0, "{:?}", site.notes);
}

#[test]
fn an_unhealthy_machine_is_no_target() {
    for fault in [Fault::PreemptionNotice, Fault::Failed, Fault::Silent] {
        let mut site = site_with_crowded_machine(moves_enabled());
        // Another machine with fewer tasks than the third of the zone.
        site.submit(array_without_checkpoints(10, 1, "a"));
        site.pass(400);
        inject_fault(&mut site, 2, Fault::PreemptionNotice);
        site.report(2);
        site.submit(array_without_checkpoints(11, 2, "a"));
        site.pass(400);
        assert_eq!((live_tasks_on(&site, 2), live_tasks_on(&site, 4)), (1, 2));
        clear_faults(&mut site);
        inject_fault(&mut site, 2, fault);
        site.report(2);
        // Longer than the heartbeat timeout for moves.
        site.pass(5_000);
        advance_tasks(&mut site);
        let (.., target) = pass_until_stage(&mut site, MoveStage::Stopping);
        assert_eq!(target, 4, "{fault:?}");
    }
}

/// A leader that was paused has received no heartbeats meanwhile: what it knows of the machines is
/// old.
#[test]
fn nothing_moves_right_after_a_leader_was_paused() {
    let mut site = site_with_crowded_machine(moves_enabled());
    site.pass(2_000);
    site.now += 4_000;
    site.pass(5_000);
    assert_eq!(site.stops, []);
    run_for(&mut site, 6_000);
    assert_ne!(site.stops, []);
}

#[test]
fn moves_respect_zone_constraints() {
    // One zone, spread, and a given zone: each with tasks in zone a on a crowded machine.
    for spec in [
        JobSpec { one_zone: true, ..checkpointing_array(1, 8) },
        JobSpec { spread: true, ..checkpointing_array(1, 16) },
        JobSpec { zone: Some("a".into()), ..checkpointing_array(1, 8) },
    ] {
        let what = format!("{spec:?}");
        let (one_zone, tasks) = (spec.one_zone, spec.tasks);
        let mut site = Site::new(6, moves_enabled());
        site.submit(spec);
        site.pass(400);
        run_for(&mut site, 40_000);
        assert!(site.leader.balance_summary().unwrap().counts.settled > 0, "{what}");
        let zone_of_task =
            |index| zone_of(machines_running(&site, TaskId { job: JobId(1), index })[0]);
        let zones: Vec<&str> = (0..tasks).map(zone_of_task).collect();
        let different: BTreeSet<&&str> = zones.iter().collect();
        assert!(!one_zone || different.len() == 1, "{what}: {zones:?}");
        let in_a = zones.iter().filter(|zone| **zone == "a").count() as u32;
        assert!(tasks == 8 || in_a <= tasks.div_ceil(2), "{what}: {zones:?}");
    }
}

/// Machine types with invalid amounts are logged once, and nothing is planned with them.
#[test]
fn machine_types_with_invalid_amounts_are_logged_once_and_left_out() {
    let mut site = site_with_crowded_machine(moves_enabled());
    let mut odd = machine_type(vec!["a".into(), "b".into()]);
    (odd.memory_gb, odd.fetch_gb_per_s) = (f64::NAN, -3.0);
    site.drive(Event::MachineTypes(vec![odd]));
    run_for(&mut site, 20_000);
    assert_eq!(site.notes.iter().filter(|n| n.contains("invalid amounts")).count(), 1);
    assert_eq!(site.stops, []);
}
