//! Failover: what a new leader may do before its machines are reconciled, and what their heartbeats
//! tell it.

mod common;

use std::sync::Arc;

use common::*;
use latchtrack_core::job::{JobId, JobSpec, Resources, RunTimes};
use latchtrack_core::machine::*;
use latchtrack_core::scheduler::*;

#[test]
fn inherited_jobs_wait_until_every_machine_is_reconciled() {
    let mut scheduler =
        Scheduler::new(policy(), TERM, types(), stored_set(0..2), Vec::new(), 1_000);
    let job = |id, revision| job_opened(id, 2, revision);
    scheduler.handle(1_000, job(1, 3));
    let mut count =
        launches(&scheduler.handle(1_100, Event::Heartbeat(heartbeat(0, 1, 7, Vec::new()))));
    // A heartbeat with an older token does not reconcile its machine.
    count += launches(&scheduler.handle(1_200, Event::Heartbeat(heartbeat(1, 1, 6, Vec::new()))));
    count += launches(&scheduler.handle(1_500, Event::Tick));
    assert_eq!(count, 0);
    // A job accepted in this term does not wait.
    scheduler.handle(1_600, job(2, 8));
    assert_eq!(launches(&scheduler.handle(1_700, Event::Tick)), 2);
    let mut count =
        launches(&scheduler.handle(2_000, Event::Heartbeat(heartbeat(1, 2, 7, Vec::new()))));
    count += launches(&scheduler.handle(2_200, Event::Tick));
    assert_eq!(count, 2, "all machines are reconciled");
}

#[test]
fn a_result_is_forgotten_only_after_it_is_stored() {
    let mut scheduler =
        Scheduler::new(policy(), TERM, types(), stored_set(0..1), Vec::new(), 1_000);
    // Eight ended attempts are enough to be forgotten without another command to send along.
    let demand = Resources { cpus: 1.0, gpus: 0.0, memory_gb: 1.0 };
    let spec = Arc::new(JobSpec { demand, ..(*spec(1, 8)).clone() });
    scheduler.handle(1_000, Event::JobOpened { spec, submitted_at: 0, revision: 8, done: None });
    let effects = scheduler.handle(1_100, Event::Heartbeat(heartbeat(0, 1, 7, Vec::new())));
    assert_eq!(launches(&effects), 8);
    let ended = |scheduler: &Scheduler| -> Vec<TaskStatus> {
        let runs = scheduler.machines()[&machine_name(0)].runs.values();
        runs.map(|run| TaskStatus { phase: TaskPhase::Ended(ExitCause::Done), ..status_of(run) })
            .collect()
    };
    let tasks = ended(&scheduler);
    let forgets = |effects: &[Effect]| {
        effects.iter().any(|effect| match effect {
            Effect::Respond { commands, .. } => {
                commands.iter().any(|command| matches!(command, Command::Forget { .. }))
            }
            _ => false,
        })
    };
    let effects = scheduler.handle(5_000, Event::Heartbeat(heartbeat(0, 2, 7, tasks.clone())));
    assert!(!forgets(&effects));
    let writes = scheduler.next_writes(5_000, 8);
    assert!(matches!(writes[0], RecordWrite::JobDone { job: JobId(1), revision: 8, tasks: 8 }));
    let failed =
        Event::WritesFinished { writes: writes.clone(), outcome: BatchOutcome::NotExecuted };
    scheduler.handle(5_100, failed);
    assert!(!forgets(
        &scheduler.handle(5_600, Event::Heartbeat(heartbeat(0, 3, 7, tasks.clone())))
    ));
    let writes = scheduler.next_writes(5_650, 8);
    scheduler.handle(5_700, Event::WritesFinished { writes, outcome: BatchOutcome::Committed(9) });
    assert!(forgets(&scheduler.handle(6_200, Event::Heartbeat(heartbeat(0, 4, 7, tasks)))));
}

/// After a failover, run times counted from when the new leader adopted the runs. They seemed
/// short, so that later runs seemed slow: eleven of forty machines were terminated, of which one
/// was slow.
#[test]
fn runs_of_an_earlier_leader_do_not_make_machines_look_slow() {
    let mut scheduler = busy_fleet(4);
    let end = |scheduler: &Scheduler, i: u64| -> Vec<TaskStatus> {
        let runs = scheduler.machines()[&machine_name(i)].runs.values();
        runs.map(|run| TaskStatus { phase: TaskPhase::Ended(ExitCause::Done), ..status_of(run) })
            .collect()
    };
    // The leader adopted these runs at 1 s and they end at 2 s, but they started before 1 s.
    for i in 0..3 {
        let tasks = end(&scheduler, i);
        scheduler.handle(2_000, Event::Heartbeat(heartbeat(i, 2, 7, tasks)));
    }
    assert_eq!(scheduler.jobs()[&JobId(1)].run_times, RunTimes::default());
    let tasks = end(&scheduler, 3);
    scheduler.handle(30_000, Event::Heartbeat(heartbeat(3, 2, 7, tasks)));
    assert_eq!(scheduler.machines()[&machine_name(3)].consecutive_slow_tasks, 0);
}

/// A new leader counted deadlines from when it first saw a job, not from when the user submitted
/// it, so that after a failover the oldest jobs had as much time left as new ones.
#[test]
fn deadlines_count_from_submission_after_a_failover() {
    let mut scheduler =
        Scheduler::new(policy(), TERM, types(), stored_set(0..1), Vec::new(), 100_000);
    let job_with_deadline = |id, deadline_s, submitted_at| {
        let spec = JobSpec { deadline_s: Some(deadline_s), ..(*spec(id, 2)).clone() };
        Event::JobOpened { spec: Arc::new(spec), submitted_at, revision: 8, done: None }
    };
    scheduler.handle(100_000, job_with_deadline(1, 60.0, 99_000));
    scheduler.handle(100_000, job_with_deadline(2, 90.0, 20_000));
    scheduler.handle(100_100, Event::Heartbeat(heartbeat(0, 1, 7, Vec::new())));
    let placed = |id| scheduler.jobs()[&JobId(id)].placed.len();
    assert_eq!((placed(1), placed(2)), (0, 2), "deadlines at 159 s and 110 s");
}

/// An unreadable value of the machine set may name any machine, so inherited jobs wait until every
/// worker lease from before the term has expired.
#[test]
fn an_unreadable_machine_set_blocks_inherited_jobs_for_a_lease() {
    let mut stored = stored_set(0..1);
    stored.push(StoredMachineSet { name: "3-2".into(), revision: 5, machines: None });
    let mut scheduler =
        Scheduler::new(long_idle_timeout(), TERM, types(), stored, Vec::new(), 1_000);
    scheduler.handle(1_000, job_opened(1, 2, 3));
    let mut first = None;
    for step in 0..20 {
        let now = 1_100 + step * 3_000;
        let mut effects =
            scheduler.handle(now, Event::Heartbeat(heartbeat(0, 1 + step, 7, Vec::new())));
        effects.extend(tick_until(&mut scheduler, now, now + 3_000, &CallOutcome::NotSent));
        if launches(&effects) > 0 {
            first.get_or_insert(now);
        }
    }
    assert!(first.is_some_and(|at| at > 1_000 + WORKER_LEASE_MS), "{first:?}");
    let writes = scheduler.next_writes(70_000, 8);
    let drops = |write: &RecordWrite| match write {
        RecordWrite::MachineSet { shard, machines } => shard.name == "3-2" && machines.is_empty(),
        _ => false,
    };
    assert!(writes.iter().any(drops), "the unreadable value is deleted: {writes:?}");
}

/// No leader can have launched a job that was accepted while there was none, so it does not wait
/// for reconciliation.
#[test]
fn a_job_accepted_without_a_leader_starts_before_reconciliation() {
    let revisions = TermRevisions { token: 7, leaderless_since: 5 };
    let mut scheduler = Scheduler::new(
        long_idle_timeout(),
        revisions,
        types(),
        stored_set(0..2),
        Vec::new(),
        1_000,
    );
    let job = |id, revision| job_opened(id, 1, revision);
    scheduler.handle(1_000, job(1, 4));
    scheduler.handle(1_000, job(2, 6));
    let count =
        launches(&scheduler.handle(1_100, Event::Heartbeat(heartbeat(0, 1, 7, Vec::new()))));
    assert_eq!((count, scheduler.jobs()[&JobId(2)].placed.len()), (1, 1));
}

/// An unanswered probe marked every run on the machine as possibly launched again, and such runs
/// are never forgotten. After a network partition the machine's heartbeats grew without bound.
#[test]
fn unanswered_probes_do_not_keep_runs_from_being_forgotten() {
    let forgets = |commands: bool| {
        let mut scheduler =
            Scheduler::new(long_idle_timeout(), TERM, types(), stored_set(0..1), Vec::new(), 1_000);
        let demand = Resources { cpus: 1.0, gpus: 0.0, memory_gb: 1.0 };
        let spec = Arc::new(JobSpec { demand, ..(*spec(1, 8)).clone() });
        let job = Event::JobOpened { spec, submitted_at: 0, revision: 8, done: None };
        if !commands {
            scheduler.handle(1_000, job.clone());
        }
        scheduler.handle(1_100, Event::Heartbeat(heartbeat(0, 1, 7, Vec::new())));
        if commands {
            scheduler.handle(1_200, job);
        }
        // The tasks are launched by a heartbeat response or by direct calls, and all direct calls
        // go unanswered.
        let running = |scheduler: &Scheduler, phase| -> Vec<TaskStatus> {
            let runs = scheduler.machines()[&machine_name(0)].runs.values();
            runs.map(|run| TaskStatus { phase, ..status_of(run) }).collect()
        };
        tick_until(&mut scheduler, 1_300, 9_000, &CallOutcome::NoAnswer);
        let tasks = running(&scheduler, TaskPhase::Running);
        scheduler.handle(9_100, Event::Heartbeat(heartbeat(0, 2, 7, tasks)));
        let tasks = running(&scheduler, TaskPhase::Ended(ExitCause::Done));
        scheduler.handle(10_000, Event::Heartbeat(heartbeat(0, 3, 7, tasks.clone())));
        let writes = scheduler.next_writes(10_100, 8);
        scheduler
            .handle(10_200, Event::WritesFinished { writes, outcome: BatchOutcome::Committed(9) });
        let effects = scheduler.handle(11_000, Event::Heartbeat(heartbeat(0, 4, 7, tasks)));
        let Some(Effect::Respond { token, commands }) = effects.first() else {
            panic!("{effects:?}")
        };
        let is_forget = |command: &&Command| matches!(command, Command::Forget { .. });
        (commands.iter().filter(is_forget).count(), *token)
    };
    assert_eq!(forgets(false), (8, 7), "only probes went unanswered");
    assert_eq!(forgets(true), (8, 8), "an unanswered launch is rejected from now on");
}
