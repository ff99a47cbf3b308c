//! Fixtures for the load balancing tests: clusters, policies, and machine faults.

use latchtrack_balance::balancer::MoveLimits;
use latchtrack_balance::moves::MoveStage;
use latchtrack_core::job::{JobId, JobSpec, Resources, TaskId};
use latchtrack_core::machine::{ExitCause, TaskPhase};
use latchtrack_core::scheduler::{BalancePolicy, Event, ListedMachine, Policy};

use crate::common::site::{machine_number, zone_of, Cluster};
use crate::common::{machine_name, policy, spec};

/// Limits on moves that are shorter than the defaults but ordered by length in the same way.
pub const LIMITS: MoveLimits = MoveLimits {
    over_bound_ms: 2_000,
    min_run_ms: 3_000,
    task_cooldown_ms: 20_000,
    machine_gap_ms: 1_000,
    machine_cooldown_ms: 20_000,
    moves_per_minute: 60,
    min_remaining_to_cost: 3.0,
};

/// Returns a policy with moves enabled, by which no idle machine is terminated during a test.
pub fn moves_enabled() -> Policy {
    let balance = BalancePolicy {
        moves: true,
        limits: LIMITS,
        moves_delay_ms: 1_000,
        ..BalancePolicy::default()
    };
    Policy { on_demand_idle_timeout_ms: 600_000, balance, ..policy() }
}

/// Returns an array job of one-CPU tasks that save checkpoints and run for ten minutes.
pub fn checkpointing_array(id: u64, tasks: u32) -> JobSpec {
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

/// Returns an array job of one-CPU tasks without checkpoints, bound to a zone.
pub fn array_without_checkpoints(id: u64, tasks: u32, zone: &str) -> JobSpec {
    JobSpec { checkpoint_s: 0.0, zone: Some(zone.into()), ..checkpointing_array(id, tasks) }
}

/// Completes all image fetches, so that the tasks run, and all checkpoints, so that they stop.
pub fn advance_tasks(cluster: &mut Cluster) {
    for tasks in cluster.tasks.values_mut() {
        for phase in tasks.values_mut() {
            match phase {
                TaskPhase::Fetching => *phase = TaskPhase::Running,
                TaskPhase::Checkpointing => *phase = TaskPhase::Ended(ExitCause::Stopped),
                _ => {}
            }
        }
    }
}

/// Advances the time, and the tasks once a second. The time is rounded down to whole seconds.
pub fn run_for(cluster: &mut Cluster, ms: u64) {
    for _ in 0..ms / 1_000 {
        cluster.advance_time(1_000);
        advance_tasks(cluster);
    }
}

/// Returns a cluster of six machines, three in each zone, that runs eight one-CPU tasks, all on
/// machine 0.
pub fn unbalanced_cluster(policy: Policy) -> Cluster {
    let mut cluster = Cluster::new(6, policy);
    cluster.submit(checkpointing_array(1, 8));
    cluster.advance_time(400);
    advance_tasks(&mut cluster);
    assert_eq!(live_tasks_on(&cluster, 0), 8, "all tasks are packed on one machine");
    cluster
}

/// Returns the number of live tasks on a machine.
pub fn live_tasks_on(cluster: &Cluster, machine: u64) -> usize {
    let tasks = cluster.tasks.get(&machine).into_iter().flatten();
    tasks.filter(|(_, phase)| !matches!(phase, TaskPhase::Ended(_))).count()
}

/// Returns the machines on which a task is live.
pub fn machines_running(cluster: &Cluster, task: TaskId) -> Vec<u64> {
    let on = |tasks: &std::collections::BTreeMap<(TaskId, u64), TaskPhase>| {
        tasks.iter().any(|((t, _), phase)| *t == task && !matches!(phase, TaskPhase::Ended(_)))
    };
    cluster.tasks.iter().filter(|(_, tasks)| on(tasks)).map(|(i, _)| *i).collect()
}

/// Advances the time until a move is in this stage, and returns its task, source and target.
/// Checkpoints complete meanwhile, except when waiting for [`MoveStage::Stopping`].
#[track_caller]
pub fn pass_until_stage(cluster: &mut Cluster, stage: MoveStage) -> (TaskId, u64, u64) {
    for _ in 0..200 {
        if let Some(m) = cluster.leader.moves().iter().find(|m| m.stage == stage) {
            let task_move = &m.task_moves[0];
            let task = TaskId { job: JobId(m.unit.job), index: task_move.task };
            return (task, machine_number(&task_move.source), machine_number(&task_move.target));
        }
        let saving =
            cluster.tasks.values().flatten().any(|(_, phase)| *phase == TaskPhase::Checkpointing);
        if saving && stage != MoveStage::Stopping {
            finish_checkpoints(cluster);
        }
        cluster.advance_time(200);
    }
    panic!("no move reached stage {stage}: {:?}", cluster.log_lines);
}

/// Completes all checkpoints, so that the tasks stop. Image fetches continue.
pub fn finish_checkpoints(cluster: &mut Cluster) {
    for phase in cluster.tasks.values_mut().flat_map(|tasks| tasks.values_mut()) {
        if *phase == TaskPhase::Checkpointing {
            *phase = TaskPhase::Ended(ExitCause::Stopped);
        }
    }
}

/// A machine fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// It sends no heartbeats and answers no calls: partitioned, hanging, or dead.
    Silent,
    /// It sends heartbeats but receives nothing.
    InboundLost,
    /// It reports a preemption notice of 30 s.
    PreemptionNotice,
    /// The cloud lists it as failed, and it is silent.
    Failed,
    /// Its agent epoch advanced, and all its tasks were killed.
    NewAgentEpoch,
    /// It rejects all launches.
    RejectsLaunches,
}

pub const FAULTS: [Fault; 6] = [
    Fault::Silent,
    Fault::InboundLost,
    Fault::PreemptionNotice,
    Fault::Failed,
    Fault::NewAgentEpoch,
    Fault::RejectsLaunches,
];

pub fn inject_fault(cluster: &mut Cluster, machine: u64, fault: Fault) {
    match fault {
        Fault::Silent => {
            cluster.silent.insert(machine);
        }
        Fault::InboundLost => {
            cluster.inbound_lost.insert(machine);
        }
        Fault::PreemptionNotice => {
            cluster.preemption_notices.insert(machine, 30.0);
        }
        Fault::Failed => {
            let listed = cluster.tasks.keys().map(|i| ListedMachine {
                name: machine_name(*i),
                machine_type: "g".into(),
                zone: zone_of(*i).into(),
                spot: false,
                failed: *i == machine,
                running: *i != machine,
                age_ms: 60_000,
            });
            let listed = Event::MachinesListed(listed.collect());
            cluster.handle_event(listed);
            cluster.silent.insert(machine);
        }
        Fault::NewAgentEpoch => {
            *cluster.agent_epoch.entry(machine).or_default() += 1;
            if let Some(tasks) = cluster.tasks.get_mut(&machine) {
                tasks.clear();
            }
        }
        Fault::RejectsLaunches => {
            cluster.rejecting_launches.insert(machine);
        }
    }
}

pub fn clear_faults(cluster: &mut Cluster) {
    cluster.silent.clear();
    cluster.inbound_lost.clear();
    cluster.preemption_notices.clear();
    cluster.rejecting_launches.clear();
}

/// Asserts that every task of the jobs is live on one reachable machine, and that no task ever ran
/// on two machines at once.
#[track_caller]
pub fn assert_each_task_runs_once(cluster: &Cluster, jobs: &[(u64, u32)], what: &str) {
    assert_eq!(cluster.concurrent_runs, Vec::<String>::new(), "{what}");
    for (id, tasks) in jobs {
        for index in 0..*tasks {
            let task = TaskId { job: JobId(*id), index };
            let on = machines_running(cluster, task);
            let reachable: Vec<&u64> = on.iter().filter(|i| !cluster.silent.contains(i)).collect();
            assert_eq!(reachable.len(), 1, "{what}: {task} on {on:?}: {:#?}", cluster.log_lines);
        }
    }
}
