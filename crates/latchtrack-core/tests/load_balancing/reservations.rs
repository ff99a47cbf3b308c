//! Capacity that moves reserve on their targets, which no other task may use.

use latchtrack_balance::moves::MoveStage;
use latchtrack_core::job::JobSpec;
use latchtrack_core::scheduler::Policy;

use crate::fixtures::{
    advance_tasks, checkpointing_array, finish_checkpoints, live_tasks_on, machines_running,
    moves_enabled, pass_until_stage, unbalanced_cluster,
};

#[test]
fn capacity_reserved_on_a_target_is_kept_from_other_tasks() {
    let mut cluster = unbalanced_cluster(moves_enabled());
    let (_, source, target) = pass_until_stage(&mut cluster, MoveStage::Stopping);
    assert_eq!(source, 0);
    // The zone has capacity for 15 of these 16 tasks beside the reservation.
    cluster.submit(JobSpec { zone: Some("a".into()), ..checkpointing_array(2, 16) });
    cluster.advance_time(400);
    let others: usize = (0..6).map(|i| live_tasks_on(&cluster, i)).sum::<usize>() - 8;
    assert_eq!(
        (others, live_tasks_on(&cluster, target)),
        (15, 7),
        "one CPU of the zone is reserved"
    );
    advance_tasks(&mut cluster);
    cluster.advance_time(1_000);
    assert_eq!(live_tasks_on(&cluster, target), 8, "the moved task gets the reserved CPU");
    assert_eq!(cluster.concurrent_runs, Vec::<String>::new());
}

#[test]
fn a_reserved_target_is_not_terminated_as_idle() {
    let mut cluster =
        unbalanced_cluster(Policy { on_demand_idle_timeout_ms: 12_000, ..moves_enabled() });
    cluster.confirms_terminations = true;
    let (_, _, target) = pass_until_stage(&mut cluster, MoveStage::Stopping);
    // Tasks take longer to save than the idle timeout.
    cluster.advance_time(15_000);
    assert!(!cluster.tasks.contains_key(&1), "an empty machine of the other zone is terminated");
    assert!(cluster.tasks.contains_key(&target), "the target is not");
    advance_tasks(&mut cluster);
    cluster.advance_time(1_000);
    assert!(live_tasks_on(&cluster, target) > 0);
}

/// The source may report the task's end between two ticks, and a cycle may follow immediately. The
/// task must still be launched on its target.
#[test]
fn a_stopped_task_goes_to_its_target_and_not_into_the_queue() {
    let mut cluster = unbalanced_cluster(moves_enabled());
    let (task, source, target) = pass_until_stage(&mut cluster, MoveStage::Stopping);
    cluster.now += 150;
    finish_checkpoints(&mut cluster);
    cluster.send_heartbeat(source);
    cluster.send_heartbeat(target);
    assert_eq!(machines_running(&cluster, task), [target]);
}
