//! Gangs move whole or not at all.

use latchtrack_balance::moves::MoveStage;
use latchtrack_core::job::{JobId, JobSpec, Resources, TaskId};
use latchtrack_core::machine::{ExitCause, TaskPhase};

use crate::common::site::Cluster;
use crate::fixtures::{
    advance_tasks, array_without_checkpoints, checkpointing_array, live_tasks_on, moves_enabled,
    pass_until_stage, run_for,
};

/// A gang with a task on a machine that may not give tasks stays whole where it is.
#[test]
fn a_gang_with_a_task_on_a_machine_on_probation_stays() {
    let mut cluster = Cluster::new(6, moves_enabled());
    cluster.submit(array_without_checkpoints(10, 6, "a"));
    cluster.advance_time(400);
    let two_cpus = Resources { cpus: 2.0, gpus: 0.0, memory_gb: 2.0 };
    cluster.submit(JobSpec {
        gang: true,
        zone: Some("a".into()),
        demand: two_cpus,
        ..checkpointing_array(1, 2)
    });
    cluster.advance_time(400);
    cluster.submit(array_without_checkpoints(11, 1, "a"));
    cluster.advance_time(400);
    assert_eq!(
        (live_tasks_on(&cluster, 0), live_tasks_on(&cluster, 2)),
        (7, 2),
        "the gang is on two machines"
    );
    advance_tasks(&mut cluster);
    cluster.advance_time(1_000);
    cluster.set_phase(11, TaskPhase::Ended(ExitCause::Failed), |_| true);
    cluster.advance_time(12_000);
    // Stops with time to save: a task that is slower than the first gets a second stop, without
    // time.
    let of_gang = |cluster: &Cluster| {
        let saves = |stop: &&(TaskId, f64)| stop.0.job == JobId(1) && stop.1 >= 2.0;
        cluster.stops.iter().filter(saves).count()
    };
    assert_eq!(of_gang(&cluster), 0, "fifteen seconds of probation");
    run_for(&mut cluster, 30_000);
    assert_eq!(of_gang(&cluster), 2, "both, when it is over: {:?}", cluster.log_lines);
}

/// A gang of two tasks moves whole, under a new attempt, when both have saved.
#[test]
fn a_gang_moves_whole_or_not_at_all() {
    let gang = |id| JobSpec { gang: true, ..checkpointing_array(id, 2) };
    let mut cluster = Cluster::new(6, moves_enabled());
    cluster.submit(gang(1));
    cluster.advance_time(400);
    // Six tasks without checkpoints crowd the machine for good.
    cluster.submit(JobSpec { checkpoint_s: 0.0, ..checkpointing_array(2, 6) });
    cluster.advance_time(400);
    advance_tasks(&mut cluster);
    assert_eq!(live_tasks_on(&cluster, 0), 8);
    pass_until_stage(&mut cluster, MoveStage::Stopping);
    let first = cluster.live_by_attempt(1);
    // One has saved, so the progress of the gang is safe and the other is told to stop at once. The
    // next attempt waits for that.
    let tasks = cluster.tasks.get_mut(&0).unwrap();
    for ((task, _), phase) in tasks.iter_mut() {
        if task.job == JobId(1) && task.index == 0 {
            *phase = TaskPhase::Ended(ExitCause::Stopped);
        }
    }
    for _ in 0..40 {
        cluster.advance_time(200);
        assert!(cluster.live_by_attempt(1).len() <= 1, "{:?}", cluster.live_by_attempt(1));
        advance_tasks(&mut cluster);
    }
    let now = cluster.live_by_attempt(1);
    assert_eq!(now.values().copied().collect::<Vec<_>>(), [2], "whole, in one attempt");
    assert_ne!(now.keys().next(), first.keys().next());
    assert_eq!(live_tasks_on(&cluster, 0), 6, "off the crowded machine");
    assert!(cluster.stops.iter().any(|(task, grace)| task.job == JobId(1) && *grace >= 2.0));
    assert_eq!(cluster.concurrent_runs, Vec::<String>::new());
}
