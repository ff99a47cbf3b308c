//! Failure attribution: whether a failed task counts against its job or its machine.

mod common;

use common::*;
use latchtrack_core::job::{JobId, TaskId};
use latchtrack_core::machine::*;
use latchtrack_core::scheduler::*;

/// Failures on three machines used to quarantine any job. A large array runs into three faulty
/// machines of a large fleet at once; it was then delayed by up to a minute, and the failures did
/// not count against the machines.
#[test]
fn a_large_job_on_a_few_faulty_machines_is_not_quarantined() {
    let phases = |scheduler: &Scheduler, i: u64, phase| -> Vec<TaskStatus> {
        let runs = scheduler.machines()[&machine_name(i)].runs.values();
        runs.map(|run| TaskStatus { phase, ..status_of(run) }).collect()
    };
    let run = |tasks: u32| {
        let mut scheduler = Scheduler::new(
            long_idle_timeout(),
            TERM,
            types(),
            stored_set(0..20),
            Vec::new(),
            1_000,
        );
        for i in 0..20 {
            scheduler.handle(1_000, Event::Heartbeat(heartbeat(i, 1, 7, Vec::new())));
        }
        let job = job_opened(1, tasks, 8);
        scheduler.handle(1_100, job);
        scheduler.handle(1_300, Event::Tick);
        // All tasks on three of the job's machines fail.
        let on: Vec<u64> = (0..20)
            .filter(|i| !scheduler.machines()[&machine_name(*i)].runs.is_empty())
            .take(3)
            .collect();
        for i in on {
            let failed = phases(&scheduler, i, TaskPhase::Ended(ExitCause::Failed));
            scheduler.handle(2_000, Event::Heartbeat(heartbeat(i, 2, 7, failed)));
        }
        scheduler
    };
    let mut large = run(30);
    // Three failures don't count against the job while its other tasks run for longer.
    let rest: Vec<u64> = (0..20).filter(|i| !all_runs_ended(&large, *i)).collect();
    for (sequence, now) in [(3, 2_500), (4, 6_000)] {
        for i in &rest {
            let running = phases(&large, *i, TaskPhase::Running);
            large.handle(now, Event::Heartbeat(heartbeat(*i, sequence, 7, running)));
        }
    }
    large.handle(6_200, Event::Tick);
    assert!(!large.jobs()[&JobId(1)].is_quarantined);
    assert_eq!(large.jobs()[&JobId(1)].waiting(), 0, "its failed tasks run elsewhere");
    let small = run(6);
    assert!(small.jobs()[&JobId(1)].is_quarantined, "it has failed on all its machines");
}

/// Two broken arrays ran on the same machines, which therefore counted as faulty and were
/// terminated with the other tasks on them. All tasks of the arrays were launched again every
/// minute, which led to 28,000 failed starts in a day.
#[test]
fn two_failing_arrays_do_not_mark_sound_machines_as_faulty() {
    let machines = 20u64;
    let mut scheduler = Scheduler::new(
        long_idle_timeout(),
        TERM,
        types(),
        stored_set(0..machines),
        Vec::new(),
        1_000,
    );
    let mut sequences = vec![1; machines as usize];
    let job = |id, tasks, at| Event::JobOpened {
        spec: spec(id, tasks),
        submitted_at: at,
        revision: 8,
        done: None,
    };
    let (mut failed, mut marked_faulty, mut good_done) = (0, Vec::new(), 0);
    let mut running: std::collections::BTreeMap<(TaskId, u64), u64> = Default::default();
    for step in 0..1_200u64 {
        let now = 1_000 + step * 500;
        match step {
            4 => drop(scheduler.handle(now, job(1, 100, now))),
            5 => drop(scheduler.handle(now, job(2, 100, now))),
            _ if step % 40 == 10 => drop(scheduler.handle(now, job(10 + step, 8, now))),
            _ => {}
        }
        let mut effects = scheduler.handle(now, Event::Tick);
        for i in 0..machines {
            sequences[i as usize] += 1;
            let runs = scheduler.machines()[&machine_name(i)].runs.clone();
            let tasks = runs.iter().map(|(key, run)| {
                let phase = match run.phase {
                    TaskPhase::Assigned | TaskPhase::Fetching if key.0.job.0 < 3 => {
                        failed += 1;
                        TaskPhase::Ended(ExitCause::Failed)
                    }
                    TaskPhase::Assigned => {
                        running.insert(*key, now);
                        TaskPhase::Running
                    }
                    TaskPhase::Running if now >= running[key] + 10_000 => {
                        good_done += 1;
                        TaskPhase::Ended(ExitCause::Done)
                    }
                    other => other,
                };
                TaskStatus { phase, ..status_of(run) }
            });
            let heartbeat = heartbeat(i, sequences[i as usize], 7, tasks.collect());
            effects.extend(scheduler.handle(now, Event::Heartbeat(heartbeat)));
        }
        for effect in &effects {
            if let Effect::Log(LogEvent::JobsFailedOnMachine { machine }) = effect {
                marked_faulty.push(machine.clone());
            }
        }
    }
    assert_eq!(marked_faulty, Vec::<String>::new(), "sound machines count as faulty");
    // Launches in flight when the third machine failed the job, then at most one a minute.
    assert!(failed < 2 * 40 + 2 * 20, "{failed} failed starts");
    assert!(good_done >= 8 * 28, "{good_done} tasks of good jobs done");
}

/// A sound job whose first tasks all fail on faulty machines is quarantined, tried on machines
/// where other jobs succeed, and restored; its failures then count against the faulty machines.
#[test]
fn a_job_quarantined_by_faulty_machines_completes() {
    let mut scheduler =
        Scheduler::new(long_idle_timeout(), TERM, types(), stored_set(0..5), Vec::new(), 1_000);
    let send_all_heartbeats = |scheduler: &mut Scheduler, now: u64, sequence: u64| {
        for i in 0..5 {
            let runs = scheduler.machines()[&machine_name(i)].runs.clone();
            let tasks = runs.values().map(|run| {
                let phase = match run.phase {
                    TaskPhase::Assigned if i < 3 => TaskPhase::Ended(ExitCause::Failed),
                    TaskPhase::Assigned => TaskPhase::Running,
                    TaskPhase::Running => TaskPhase::Ended(ExitCause::Done),
                    other => other,
                };
                TaskStatus { phase, ..status_of(run) }
            });
            let heartbeat = heartbeat(i, sequence, 7, tasks.collect());
            scheduler.handle(now, Event::Heartbeat(heartbeat));
        }
    };
    for i in 0..5 {
        scheduler.handle(1_000, Event::Heartbeat(heartbeat(i, 1, 7, Vec::new())));
    }
    // Machines 0 to 2 are faulty. Job 2 arrives 2 s after job 1.
    let job = |id, tasks| job_opened(id, tasks, 8);
    scheduler.handle(1_100, job(1, 6));
    scheduler.handle(1_300, Event::Tick);
    let mut was_quarantined = false;
    for step in 1..400 {
        let now = 1_300 + step * 500;
        scheduler.handle(now, Event::Tick);
        send_all_heartbeats(&mut scheduler, now, 1 + step);
        if step == 4 {
            scheduler.handle(now, job(2, 2));
        }
        was_quarantined |= scheduler.jobs().get(&JobId(1)).is_some_and(|job| job.is_quarantined);
    }
    assert!(was_quarantined);
    let done = scheduler.jobs().get(&JobId(1)).map_or(6, |job| job.done.count_ones());
    assert_eq!(done, 6);
}

/// A job fits only one machine, which was faulty for a while and is kept because it runs another
/// job. The job is tried there again soon enough that no job waits 90 s while there is capacity.
#[test]
fn a_job_retries_a_machine_that_has_recovered() {
    let mut scheduler = Scheduler::new(
        long_idle_timeout(),
        TERM,
        types_without_zones(),
        stored_set(0..1),
        Vec::new(),
        1_000,
    );
    for (id, tasks) in [(1, 2), (2, 1)] {
        let spec = spec(id, tasks);
        scheduler
            .handle(1_000, Event::JobOpened { spec, submitted_at: 0, revision: 3, done: None });
    }
    let task = |task: &str, phase| TaskStatus {
        task: task.parse().expect("a task id"),
        attempt: 5,
        phase,
    };
    let long = task("req-000002/0", TaskPhase::Running);
    let first = task("req-000001/0", TaskPhase::Ended(ExitCause::Done));
    scheduler.handle(1_000, Event::Heartbeat(heartbeat(0, 1, 7, vec![long, first])));
    let mut failed_at = None;
    for now in (1_200..120_000).step_by(200) {
        let mut tasks = vec![long];
        for run in
            scheduler.machines()[&machine_name(0)].runs.values().filter(|r| r.task.job == JobId(1))
        {
            // The first attempt of task 1 fails immediately.
            let fails = run.is_live() && failed_at.is_none_or(|at| at == now);
            if fails {
                failed_at = Some(now);
                tasks.push(TaskStatus {
                    phase: TaskPhase::Ended(ExitCause::Failed),
                    ..status_of(run)
                });
            } else if run.phase == TaskPhase::Assigned {
                let at = failed_at.expect("a failure before the next attempt");
                assert!((at + 10_000..at + 80_000).contains(&now), "{at}, {now}");
                return;
            } else {
                tasks.push(status_of(run));
            }
        }
        scheduler.handle(now, Event::Heartbeat(heartbeat(0, now, 7, tasks)));
        scheduler.handle(now, Event::Tick);
    }
    panic!("the job was not tried again after its failure at {failed_at:?}");
}
