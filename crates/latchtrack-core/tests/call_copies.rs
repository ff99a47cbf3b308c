//! Copies of direct calls that were executed and answered: however late one arrives, it changes no
//! task.

mod common;

use common::site::Cluster;
use common::{policy, spec};
use latchtrack_core::job::{JobId, JobSpec, Resources, TaskId};
use latchtrack_core::machine::{ExitCause, TaskPhase};
use latchtrack_core::scheduler::{Event, Policy};

/// Tasks of an array in these tests, all of which fit on one machine.
const TASKS: u32 = 8;

/// Returns a policy by which no idle machine is terminated during a test.
fn long_idle_timeout() -> Policy {
    Policy { on_demand_idle_timeout_ms: 600_000, ..policy() }
}

/// Returns an array whose tasks fill one machine and save checkpoints.
fn array(id: u64) -> JobSpec {
    JobSpec {
        spot: false,
        demand: Resources { cpus: 1.0, gpus: 0.0, memory_gb: 1.0 },
        checkpoint_s: 10.0,
        save_s: 1.0,
        ..(*spec(id, TASKS)).clone()
    }
}

/// Returns a cluster of three machines on which the tasks of this job run.
fn running(job: JobSpec) -> Cluster {
    let id = job.id.0;
    let mut cluster = Cluster::new(3, long_idle_timeout());
    cluster.submit(job);
    cluster.advance_time(600);
    cluster.set_phase(id, TaskPhase::Running, |_| true);
    cluster.advance_time(1_000);
    cluster
}

/// Returns the number of attempts in these phases that machines know, ended ones included.
fn count(cluster: &Cluster, is_counted: impl Fn(&TaskPhase) -> bool) -> usize {
    cluster.tasks.values().flatten().filter(|(_, phase)| is_counted(phase)).count()
}

/// Delivers a copy of every direct call so far, and asserts that no task changes.
#[track_caller]
fn assert_copies_change_nothing(cluster: &mut Cluster) {
    let before = cluster.tasks.clone();
    let calls = cluster.executed_calls.clone();
    assert!(!calls.is_empty(), "no direct call was executed");
    for call in &calls {
        cluster.deliver_copy(call);
    }
    assert_eq!(cluster.tasks, before);
}

/// Ends the first attempts with this cause and runs the next ones, with copies after each step.
#[track_caller]
fn assert_ended_attempts_stay_ended(job: JobSpec, cause: ExitCause) {
    let id = job.id.0;
    let mut cluster = running(job);
    let is_ended = |phase: &TaskPhase| *phase == TaskPhase::Ended(cause);
    cluster.set_phase(id, TaskPhase::Ended(cause), |_| true);
    for _ in 0..60 {
        cluster.advance_time(200);
        assert_copies_change_nothing(&mut cluster);
        cluster.set_phase(id, TaskPhase::Running, |_| true);
    }
    assert_eq!(count(&cluster, is_ended), 0, "{cause:?}: all ended attempts are forgotten");
    assert_eq!(cluster.concurrent_runs, Vec::<String>::new());
}

#[test]
fn a_failed_attempt_does_not_start_again_beside_its_successor() {
    assert_ended_attempts_stay_ended(array(1), ExitCause::Failed);
}

#[test]
fn a_refused_attempt_does_not_start_once_there_is_room() {
    for cause in
        [ExitCause::InsufficientResources, ExitCause::DuplicateTask, ExitCause::UnknownTask]
    {
        assert_ended_attempts_stay_ended(array(1), cause);
    }
}

#[test]
fn a_task_of_an_ended_gang_attempt_does_not_start_again() {
    for cause in [ExitCause::GangPeerLost, ExitCause::GangIncomplete] {
        assert_ended_attempts_stay_ended(JobSpec { gang: true, ..array(1) }, cause);
    }
}

#[test]
fn a_preempted_attempt_does_not_start_again() {
    let mut cluster = running(array(1));
    cluster.preemption_notices.insert(0, 60.0);
    for _ in 0..60 {
        cluster.advance_time(200);
        assert_copies_change_nothing(&mut cluster);
        for phase in cluster.tasks.values_mut().flat_map(|tasks| tasks.values_mut()) {
            match phase {
                TaskPhase::Checkpointing => *phase = TaskPhase::Ended(ExitCause::Stopped),
                TaskPhase::Fetching => *phase = TaskPhase::Running,
                _ => {}
            }
        }
    }
    let moved = cluster.launches.iter().filter(|(machine, ..)| *machine != 0).count();
    assert_eq!(moved, TASKS as usize);
    assert_eq!(cluster.concurrent_runs, Vec::<String>::new());
}

#[test]
fn a_completed_attempt_whose_result_is_stored_does_not_start_again() {
    let mut cluster = running(array(1));
    cluster.set_phase(1, TaskPhase::Ended(ExitCause::Done), |_| true);
    for _ in 0..30 {
        cluster.advance_time(200);
        assert_copies_change_nothing(&mut cluster);
    }
    assert_eq!(cluster.leader.jobs().len(), 0, "the job is stored as done");
    assert_eq!(count(&cluster, |_| true), 0, "all attempts are forgotten");
}

#[test]
fn an_attempt_of_a_cancelled_job_does_not_start_again() {
    let mut cluster = running(array(1));
    cluster.handle_event(Event::JobClosed(JobId(1)));
    for _ in 0..300 {
        cluster.advance_time(200);
        assert_copies_change_nothing(&mut cluster);
    }
    assert_eq!(count(&cluster, |_| true), 0, "all attempts are forgotten");
}

#[test]
fn a_copy_before_the_next_leader_has_reached_the_machine_starts_nothing() {
    let mut cluster = running(array(1));
    cluster.set_phase(1, TaskPhase::Ended(ExitCause::Failed), |_| true);
    cluster.advance_time(4_000);
    cluster.fail_over(3, long_idle_timeout());
    let revision = cluster.leader.token() - 1;
    let (spec, submitted_at) = (std::sync::Arc::new(array(1)), 1_000);
    cluster.handle_event(Event::JobOpened { spec, submitted_at, revision, done: None });
    assert_copies_change_nothing(&mut cluster);
    cluster.advance_time(4_000);
    assert_copies_change_nothing(&mut cluster);
}

#[test]
fn a_copy_after_a_leader_came_back_with_the_same_key_starts_nothing() {
    let mut cluster = running(array(1));
    cluster.set_phase(1, TaskPhase::Ended(ExitCause::Failed), |_| true);
    cluster.advance_time(4_000);
    // Nothing happens on the leader for a while that ends within the workers' lease.
    cluster.now += 10_000;
    assert_copies_change_nothing(&mut cluster);
    cluster.advance_time(2_000);
    assert_copies_change_nothing(&mut cluster);
    let is_live = |task| {
        let attempts = cluster.tasks.values().flatten();
        attempts
            .filter(|((t, _), phase)| *t == task && !matches!(phase, TaskPhase::Ended(_)))
            .count()
    };
    for index in 0..TASKS {
        assert_eq!(is_live(TaskId { job: JobId(1), index }), 1);
    }
}
