//! Moves of gangs: either all tasks move or none.

use latchtrack_balance::moves::MoveStage;
use latchtrack_core::job::{JobId, JobSpec, Resources, TaskId};
use latchtrack_core::machine::{ExitCause, TaskPhase};

use crate::common::site::Cluster;
use crate::fixtures::{
    advance_tasks, array_without_checkpoints, checkpointing_array, live_tasks_on, moves_enabled,
    pass_until_stage, run_for,
};

/// A gang does not move while one of its machines is on probation, since no task may be moved off
/// that machine.
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
    // Counts only stops with a grace period for saving. A task that is slower to save than the
    // first gets a second stop without one.
    let gang_stops_with_grace = |cluster: &Cluster| {
        let saves = |stop: &&(TaskId, f64)| stop.0.job == JobId(1) && stop.1 >= 2.0;
        cluster.stops.iter().filter(saves).count()
    };
    assert_eq!(gang_stops_with_grace(&cluster), 0, "the machine is on probation for 15 s");
    run_for(&mut cluster, 30_000);
    assert_eq!(
        gang_stops_with_grace(&cluster),
        2,
        "both tasks move after it: {:?}",
        cluster.log_lines
    );
}

/// Both tasks of a gang move together, in a new attempt, after one of them has saved a checkpoint.
#[test]
fn a_gang_moves_whole_or_not_at_all() {
    let gang = |id| JobSpec { gang: true, ..checkpointing_array(id, 2) };
    let mut cluster = Cluster::new(6, moves_enabled());
    cluster.submit(gang(1));
    cluster.advance_time(400);
    // Six tasks without checkpoints, which cannot move, fill up the machine.
    cluster.submit(JobSpec { checkpoint_s: 0.0, ..checkpointing_array(2, 6) });
    cluster.advance_time(400);
    advance_tasks(&mut cluster);
    assert_eq!(live_tasks_on(&cluster, 0), 8);
    pass_until_stage(&mut cluster, MoveStage::Stopping);
    let first = cluster.live_by_attempt(1);
    // One task has saved, so the gang's progress is safe and the other is told to stop immediately.
    // The next attempt waits until it has.
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
    assert_eq!(now.values().copied().collect::<Vec<_>>(), [2], "both tasks are in one attempt");
    assert_ne!(now.keys().next(), first.keys().next());
    assert_eq!(live_tasks_on(&cluster, 0), 6, "the gang has left the loaded machine");
    assert!(cluster.stops.iter().any(|(task, grace)| task.job == JobId(1) && *grace >= 2.0));
    assert_eq!(cluster.concurrent_runs, Vec::<String>::new());
}
