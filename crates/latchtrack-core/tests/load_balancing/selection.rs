//! Selection of moves: which tasks move, between which machines, and when none do.

use std::collections::BTreeSet;

use latchtrack_balance::moves::MoveStage;
use latchtrack_core::job::{JobId, JobSpec, Resources, TaskId};
use latchtrack_core::scheduler::{BalancePolicy, Event, Policy};

use crate::common::machine_type;
use crate::common::site::{zone_of, Cluster, TOKEN};
use crate::fixtures::{
    advance_tasks, array_without_checkpoints, checkpointing_array, clear_faults, inject_fault,
    live_tasks_on, machines_running, moves_enabled, pass_until_stage, run_for, unbalanced_cluster,
    Fault,
};

#[test]
fn tasks_move_from_a_loaded_machine_to_idle_ones_of_its_pool() {
    let mut cluster = unbalanced_cluster(moves_enabled());
    run_for(&mut cluster, 60_000);
    // 8 tasks on 3 machines of 8 CPUs: the bound is 1.25 times the mean of 2.67, plus one task.
    let loads: Vec<usize> = (0..6).map(|i| live_tasks_on(&cluster, i)).collect();
    assert!(loads.iter().all(|n| *n <= 4), "{loads:?}");
    assert_eq!(loads.iter().sum::<usize>(), 8);
    assert_eq!((loads[1], loads[3], loads[5]), (0, 0, 0), "zone b is a different pool");
    assert_eq!(cluster.concurrent_runs, Vec::<String>::new());
    let summary = cluster.leader.balance_summary().unwrap();
    assert_eq!(summary.counts.settled, summary.counts.begun);
    assert!(summary.counts.settled >= 4, "{summary:?}");
    assert!(
        cluster.stops.iter().all(|(_, grace)| *grace >= 2.0),
        "each stop leaves time to save: {:?}",
        cluster.stops
    );
    // Each move adds one launch to the first launch of each task.
    let settled = summary.counts.settled as usize;
    assert_eq!(cluster.launches.len(), 8 + settled);
    run_for(&mut cluster, 60_000);
    assert_eq!(cluster.launches.len(), 8 + settled, "nothing moves within the bound");
}

#[test]
fn nothing_moves_while_moves_are_switched_off() {
    let mut cluster =
        unbalanced_cluster(Policy { balance: BalancePolicy::default(), ..moves_enabled() });
    run_for(&mut cluster, 60_000);
    assert_eq!((live_tasks_on(&cluster, 0), cluster.stops.len()), (8, 0));
    assert_eq!(cluster.leader.balance_summary(), None);
}

#[test]
fn tasks_without_checkpoints_or_with_little_left_to_run_stay() {
    for spec in [
        JobSpec { checkpoint_s: 0.0, ..checkpointing_array(1, 8) },
        JobSpec { estimate_s: 10.0, ..checkpointing_array(1, 8) },
    ] {
        let mut cluster = Cluster::new(6, moves_enabled());
        cluster.submit(spec);
        cluster.advance_time(400);
        run_for(&mut cluster, 30_000);
        assert_eq!((live_tasks_on(&cluster, 0), cluster.stops.len()), (8, 0));
    }
}

#[test]
fn nothing_moves_under_overload_or_right_after_a_failover() {
    // Overload: a task that needs all eight CPUs of a machine, in a zone where no machine is empty.
    let mut cluster = unbalanced_cluster(moves_enabled());
    for machine in [2, 4] {
        let one = JobSpec { zone: Some("a".into()), ..checkpointing_array(10 + machine, 7) };
        cluster.submit(one);
        cluster.advance_time(400);
        advance_tasks(&mut cluster);
    }
    let large = Resources { cpus: 8.0, gpus: 0.0, memory_gb: 8.0 };
    cluster.no_capacity = true;
    cluster.submit(JobSpec { demand: large, zone: Some("a".into()), ..checkpointing_array(3, 1) });
    run_for(&mut cluster, 20_000);
    assert_eq!(cluster.stops, [], "under overload");
    let balance = BalancePolicy { moves_delay_ms: 30_000, ..moves_enabled().balance };
    let mut cluster = unbalanced_cluster(Policy { balance, ..moves_enabled() });
    run_for(&mut cluster, 28_000);
    assert_eq!(cluster.stops, [], "within 30 s of a failover");
    run_for(&mut cluster, 10_000);
    assert_ne!(cluster.stops, []);
}

/// While an inherited machine is unreconciled, the leader knows neither what runs there nor which
/// tasks are waiting.
#[test]
fn nothing_moves_while_a_machine_is_unreconciled() {
    let mut cluster = unbalanced_cluster(moves_enabled());
    cluster.silent.insert(5);
    cluster.fail_over(6, moves_enabled());
    let job = Event::JobOpened {
        spec: std::sync::Arc::new(checkpointing_array(1, 8)),
        submitted_at: 1_000,
        revision: TOKEN,
        done: None,
    };
    cluster.handle_event(job);
    run_for(&mut cluster, 8_000);
    assert_eq!(cluster.stops, [], "the silent machine is terminated only after 9 s");
    run_for(&mut cluster, 60_000);
    assert_ne!(cluster.stops, []);
}

#[test]
fn tasks_that_fetch_their_image_do_not_count_as_movable() {
    let mut cluster = Cluster::new(6, moves_enabled());
    cluster.submit(checkpointing_array(1, 8));
    cluster.advance_time(10_000);
    let over_bound = |cluster: &Cluster| cluster.leader.balance_summary().unwrap().over_bound;
    assert_eq!(
        (live_tasks_on(&cluster, 0), over_bound(&cluster)),
        (8, 0),
        "all tasks are fetching"
    );
    advance_tasks(&mut cluster);
    cluster.advance_time(2_000);
    assert_eq!(over_bound(&cluster), 1);
}

/// Tasks of a cancelled job continue to run where the stop does not arrive. They must not be moved.
#[test]
fn tasks_that_are_stopping_already_are_not_moved() {
    let mut cluster = unbalanced_cluster(moves_enabled());
    cluster.advance_time(1_000);
    cluster.inbound_lost.insert(0);
    cluster.handle_event(Event::JobClosed(JobId(1)));
    cluster.advance_time(12_000);
    assert_eq!(live_tasks_on(&cluster, 0), 8, "the stop has not arrived");
    assert_eq!(
        cluster.leader.balance_summary().unwrap().counts.begun,
        0,
        "{:?}",
        cluster.log_lines
    );
}

#[test]
fn an_unhealthy_machine_is_no_target() {
    for fault in [Fault::PreemptionNotice, Fault::Failed, Fault::Silent] {
        let mut cluster = unbalanced_cluster(moves_enabled());
        // Machine 2 gets one task and machine 4 two, so that machine 2 would be the target.
        cluster.submit(array_without_checkpoints(10, 1, "a"));
        cluster.advance_time(400);
        inject_fault(&mut cluster, 2, Fault::PreemptionNotice);
        cluster.send_heartbeat(2);
        cluster.submit(array_without_checkpoints(11, 2, "a"));
        cluster.advance_time(400);
        assert_eq!((live_tasks_on(&cluster, 2), live_tasks_on(&cluster, 4)), (1, 2));
        clear_faults(&mut cluster);
        inject_fault(&mut cluster, 2, fault);
        cluster.send_heartbeat(2);
        // Longer than the heartbeat timeout for moves.
        cluster.advance_time(5_000);
        advance_tasks(&mut cluster);
        let (.., target) = pass_until_stage(&mut cluster, MoveStage::Stopping);
        assert_eq!(target, 4, "{fault:?}");
    }
}

/// A leader that was paused has missed heartbeats, so that its view of the machines is outdated.
#[test]
fn nothing_moves_right_after_a_leader_was_paused() {
    let mut cluster = unbalanced_cluster(moves_enabled());
    cluster.advance_time(2_000);
    cluster.now += 4_000;
    cluster.advance_time(5_000);
    assert_eq!(cluster.stops, []);
    run_for(&mut cluster, 6_000);
    assert_ne!(cluster.stops, []);
}

#[test]
fn moves_respect_zone_constraints() {
    // A one-zone job, a spread job, and a job bound to zone a. Each loads a machine in zone a.
    for spec in [
        JobSpec { one_zone: true, ..checkpointing_array(1, 8) },
        JobSpec { spread: true, ..checkpointing_array(1, 16) },
        JobSpec { zone: Some("a".into()), ..checkpointing_array(1, 8) },
    ] {
        let what = format!("{spec:?}");
        let (one_zone, tasks) = (spec.one_zone, spec.tasks);
        let mut cluster = Cluster::new(6, moves_enabled());
        cluster.submit(spec);
        cluster.advance_time(400);
        run_for(&mut cluster, 40_000);
        assert!(cluster.leader.balance_summary().unwrap().counts.settled > 0, "{what}");
        let zone_of_task =
            |index| zone_of(machines_running(&cluster, TaskId { job: JobId(1), index })[0]);
        let zones: Vec<&str> = (0..tasks).map(zone_of_task).collect();
        let different: BTreeSet<&&str> = zones.iter().collect();
        assert!(!one_zone || different.len() == 1, "{what}: {zones:?}");
        let in_a = zones.iter().filter(|zone| **zone == "a").count() as u32;
        assert!(tasks == 8 || in_a <= tasks.div_ceil(2), "{what}: {zones:?}");
    }
}

/// Machine types with invalid amounts are logged once, and no moves are planned for their machines.
#[test]
fn machine_types_with_invalid_amounts_are_logged_and_ignored() {
    let mut cluster = unbalanced_cluster(moves_enabled());
    let mut invalid_type = machine_type(vec!["a".into(), "b".into()]);
    (invalid_type.memory_gb, invalid_type.fetch_gb_per_s) = (f64::NAN, -3.0);
    cluster.handle_event(Event::MachineTypes(vec![invalid_type]));
    run_for(&mut cluster, 20_000);
    assert_eq!(cluster.log_lines.iter().filter(|n| n.contains("invalid amounts")).count(), 1);
    assert_eq!(cluster.stops, []);
}
