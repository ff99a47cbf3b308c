//! The job queue: which jobs are placed, in which order, and on which machines.

mod common;

use std::sync::Arc;

use common::*;
use latchtrack_core::job::{JobId, JobSpec, Priority, Resources};
use latchtrack_core::machine::*;
use latchtrack_core::scheduler::*;

#[test]
fn many_large_jobs_take_bounded_memory_and_short_cycles() {
    let mut scheduler =
        Scheduler::new(policy(), TERM, types(), stored_set(0..30), Vec::new(), 1_000);
    for i in 0..30 {
        scheduler.handle(1_000, Event::Heartbeat(heartbeat(i, 1, 7, Vec::new())));
    }
    for id in 1..=200 {
        let spec = spec(id, 100_000);
        scheduler
            .handle(1_000, Event::JobOpened { spec, submitted_at: 0, revision: 8, done: None });
    }
    scheduler.handle(2_000, Event::Tick);
    // Two tasks fit on each machine. No job keeps a list of its waiting tasks.
    let placed: usize =
        scheduler.jobs().values().map(|job| job.placed.len() + job.requeued.len()).sum();
    assert_eq!(placed, 60);
}

#[test]
fn extreme_numbers_in_input_cause_no_panic() {
    let mut scheduler = busy_fleet(2);
    let extreme = JobSpec { deadline_s: Some(1e300), estimate_s: 1e300, ..(*spec(2, 3)).clone() };
    let job = Event::JobOpened {
        spec: Arc::new(extreme),
        submitted_at: u64::MAX,
        revision: u64::MAX,
        done: None,
    };
    scheduler.handle(2_000, job);
    let mut heartbeat = heartbeat(0, u64::MAX, 7, Vec::new());
    (heartbeat.agent_epoch, heartbeat.notice_s) = (u64::MAX, Some(1e300));
    scheduler.handle(2_100, Event::Heartbeat(heartbeat));
    let listed = ListedMachine {
        name: machine_name(9),
        machine_type: "unknown".into(),
        zone: "z".into(),
        spot: false,
        failed: false,
        running: false,
        age_ms: u64::MAX,
    };
    scheduler.handle(2_200, Event::MachinesListed(vec![listed]));
    for step in 0..50 {
        scheduler.handle(3_000 + step * 200, Event::Tick);
    }
    // The machine's new agent epoch ended its task, which waits again.
    assert_eq!(scheduler.jobs()[&JobId(1)].placed.len(), 1);
}

/// Large jobs that could not meet their objective made the small ones behind them late too.
#[test]
fn a_small_job_passes_a_large_one_that_cannot_be_on_time() {
    let mut policy = policy();
    for ms in [30_000, 100_000] {
        policy
            .completion_objectives
            .push(CompletionObjective { class: "c".into(), due: Due::Within(ms) });
    }
    let mut scheduler = Scheduler::new(policy, TERM, types(), stored_set(0..1), Vec::new(), 1_000);
    // No job is placed before the machine is up. Job 1 takes 80 s on it: 8 tasks of 20 s, two at a
    // time.
    for (id, tasks) in [(1, 8), (2, 1)] {
        let spec = spec(id, tasks);
        scheduler.handle(
            1_000 + id,
            Event::JobOpened { spec, submitted_at: 0, revision: 8, done: None },
        );
    }
    scheduler.handle(2_000, Event::Heartbeat(heartbeat(0, 1, 7, Vec::new())));
    let placed = |id| scheduler.jobs()[&JobId(id)].placed.len();
    assert_eq!((placed(1), placed(2)), (1, 1));
}

/// A task that should start within a second must not be placed where the fetch of its image takes
/// four, while another machine holds the image and may be free in time. After that second it uses
/// any machine.
#[test]
fn a_start_objective_job_waits_for_a_machine_with_its_image() {
    let policy = Policy {
        start_objectives: vec![StartObjective { class: "p".into(), within_ms: 1_000 }],
        ..long_idle_timeout()
    };
    let mut scheduler = Scheduler::new(policy, TERM, types(), Vec::new(), Vec::new(), 1_000);
    // Two machines of this term; one of them runs the first job and so holds the image.
    for i in 0..2 {
        scheduler.handle(1_000, Event::Heartbeat(heartbeat(i, 1, 7, Vec::new())));
    }
    let writes = scheduler.next_writes(1_000, 8);
    scheduler.handle(1_000, Event::WritesFinished { writes, outcome: BatchOutcome::Committed(9) });
    let job_with_start_objective = |id, tasks, submitted_at| {
        let spec = JobSpec {
            class: "p".into(),
            image: "x".into(),
            image_gb: 2.0,
            ..(*spec(id, tasks)).clone()
        };
        Event::JobOpened { spec: Arc::new(spec), submitted_at, revision: 8, done: None }
    };
    scheduler.handle(2_000, job_with_start_objective(1, 1, 2_000));
    scheduler.handle(2_100, Event::Tick);
    let on = scheduler.jobs()[&JobId(1)].placed[&0].machine.to_string();
    let i = u64::from(on == machine_name(1));
    let running = scheduler.machines()[&on]
        .runs
        .values()
        .map(|run| TaskStatus { phase: TaskPhase::Running, ..status_of(run) });
    let running = running.collect();
    scheduler.handle(3_000, Event::Heartbeat(heartbeat(i, 2, 7, running)));
    // One more task fits on that machine, and two on the machine without the image.
    scheduler.handle(5_000, job_with_start_objective(2, 2, 5_000));
    scheduler.handle(5_100, Event::Tick);
    let placed: Vec<String> = scheduler.jobs()[&JobId(2)]
        .placed
        .values()
        .map(|assignment| assignment.machine.to_string())
        .collect();
    assert_eq!(placed, [on]);
    scheduler.handle(6_100, Event::Tick);
    assert_eq!(scheduler.jobs()[&JobId(2)].placed.len(), 2);
}

#[test]
fn images_are_evicted_in_order_of_last_use() {
    let mut images = ImageCache::default();
    for (name, gb) in [("a", 2.0), ("b", 2.0), ("a", 2.0), ("c", 1.5)] {
        images.record_use(name, gb, 4.0);
    }
    assert!(images.contains("a") && images.contains("c") && !images.contains("b"));
    images.record_use("huge", 9.0, 4.0);
    assert!(images.contains("huge") && !images.contains("a"), "an image in use is always cached");
}

/// Best-effort jobs without an objective went before all jobs that could not meet theirs, and kept
/// a whole fleet from them for minutes.
#[test]
fn best_effort_jobs_yield_to_late_ones_and_provision_only_spot() {
    let mut scheduler =
        Scheduler::new(late_class_policy(), TERM, types(), stored_set(0..1), Vec::new(), 1_000);
    let best_effort =
        JobSpec { class: "idle".into(), priority: Priority::Low, ..(*spec(1, 40)).clone() };
    let job = |spec| Event::JobOpened { spec, submitted_at: 0, revision: 9, done: None };
    scheduler.handle(1_000, job(Arc::new(best_effort.clone())));
    scheduler.handle(1_000, job(spec(2, 2)));
    scheduler.handle(2_000, Event::Heartbeat(heartbeat(0, 1, 7, Vec::new())));
    let placed = |scheduler: &Scheduler, id| scheduler.jobs()[&JobId(id)].placed.len();
    assert_eq!((placed(&scheduler, 1), placed(&scheduler, 2)), (0, 2), "the late job goes first");
    let mut provisioned_spot = Vec::new();
    for now in (2_200..60_000).step_by(200) {
        for effect in scheduler.handle(now, Event::Tick) {
            let Effect::Provision { request_id, offer, .. } = effect else { continue };
            provisioned_spot.push(offer.spot);
            scheduler.handle(
                now,
                Event::ProvisionFinished { request_id, outcome: ProvisionOutcome::NoCapacity },
            );
        }
    }
    assert!(
        !provisioned_spot.is_empty() && provisioned_spot.iter().all(|spot| *spot),
        "{provisioned_spot:?}"
    );

    // While other jobs are always late, it still gets a quarter of the cluster.
    let mut scheduler =
        Scheduler::new(late_class_policy(), TERM, types(), stored_set(0..40), Vec::new(), 200_000);
    scheduler.handle(200_000, job(Arc::new(best_effort)));
    scheduler.handle(200_000, job(spec(2, 1_000)));
    for i in 0..40 {
        let now = 200_000 + 200 * i;
        scheduler.handle(now, Event::Tick);
        scheduler.handle(now, Event::Heartbeat(heartbeat(i, 1, 7, Vec::new())));
    }
    // Eighty tasks fit in all.
    assert!((15..=20).contains(&placed(&scheduler, 1)), "{}", placed(&scheduler, 1));
    assert_eq!(placed(&scheduler, 1) + placed(&scheduler, 2), 80);
}

/// Six best-effort jobs shared the remaining capacity, so that none was complete by the end of the
/// day.
#[test]
fn best_effort_jobs_run_one_after_the_other() {
    let mut scheduler =
        Scheduler::new(long_idle_timeout(), TERM, types(), stored_set(0..3), Vec::new(), 1_000);
    for id in [1, 2] {
        let low = JobSpec { priority: Priority::Low, ..(*spec(id, 5)).clone() };
        let job =
            Event::JobOpened { spec: Arc::new(low), submitted_at: id, revision: 8, done: None };
        scheduler.handle(1_000, job);
    }
    for i in 0..3 {
        let now = 1_200 + 200 * i;
        scheduler.handle(now, Event::Tick);
        scheduler.handle(now, Event::Heartbeat(heartbeat(i, 1, 7, Vec::new())));
    }
    let placed = |id| scheduler.jobs()[&JobId(id)].placed.len();
    assert_eq!((placed(1), placed(2)), (5, 1));
}

/// A job of 25 tasks that missed its deadline by a second was queued, largest jobs first, behind
/// hundreds that could not meet theirs, and started 500 s later.
#[test]
fn a_small_job_past_its_deadline_is_not_placed_last() {
    let mut scheduler =
        Scheduler::new(long_idle_timeout(), TERM, types(), stored_set(0..1), Vec::new(), 100_000);
    let late = |id, tasks| {
        let spec = JobSpec { deadline_s: Some(1.0), ..(*spec(id, tasks)).clone() };
        Event::JobOpened { spec: Arc::new(spec), submitted_at: 90_000, revision: 8, done: None }
    };
    scheduler.handle(100_000, late(1, 50));
    scheduler.handle(100_000, late(2, 2));
    scheduler.handle(100_000, Event::Heartbeat(heartbeat(0, 1, 7, Vec::new())));
    assert_eq!(scheduler.jobs()[&JobId(2)].placed.len(), 2, "the smallest job goes first");
}

/// A machine of eight CPUs runs a task of four CPUs and is reserved for a task of six. Returns the
/// time in ms at which a later one-task job of `cpus` CPUs starts there, if it is before `within`.
fn start_beside_reservation(cpus: f64, within: u64) -> Option<u64> {
    let job_with_cpus = |id, cpus| {
        let demand = Resources { cpus, gpus: 0.0, memory_gb: 1.0 };
        let spec = Arc::new(JobSpec { demand, ..(*spec(id, 1)).clone() });
        Event::JobOpened { spec, submitted_at: 0, revision: 8, done: None }
    };
    let mut scheduler = Scheduler::new(
        long_idle_timeout(),
        TERM,
        types_without_zones(),
        stored_set(0..1),
        Vec::new(),
        1_000,
    );
    scheduler.handle(1_000, job_with_cpus(1, 4.0));
    let phase = TaskPhase::Running;
    let long = TaskStatus { task: "req-000001/0".parse().expect("a task id"), attempt: 5, phase };
    for now in (1_000..within).step_by(200) {
        if now == 1_200 {
            scheduler.handle(now, job_with_cpus(2, 6.0));
        } else if now == 6_000 {
            scheduler.handle(now, job_with_cpus(3, cpus));
        }
        scheduler.handle(now, Event::Heartbeat(heartbeat(0, now, 7, vec![long])));
        scheduler.handle(now, Event::Tick);
        let placed =
            |id| scheduler.jobs().get(&JobId(id)).is_some_and(|job| !job.placed.is_empty());
        assert!(!placed(2), "only four CPUs are free");
        if placed(3) {
            return Some(now);
        }
    }
    None
}

/// During an overload, whole machines stayed empty because they were reserved for a job that could
/// not use them, and others kept two of eight CPUs free because they were reserved for tasks of
/// six.
#[test]
fn a_reserved_machine_is_open_to_small_and_long_waiting_jobs() {
    let (small, large) =
        (start_beside_reservation(2.0, 90_000), start_beside_reservation(4.0, 90_000));
    assert!(small.is_some_and(|at| at < 7_000), "beside the reservation: {small:?}");
    assert!(large.is_some_and(|at| (60_000..80_000).contains(&at)), "in its place: {large:?}");
}

/// A one-zone job whose tasks run in one zone reserves no machines in another.
#[test]
fn a_job_that_may_not_use_a_machine_does_not_reserve_it() {
    let mut fleet = stored_set(0..2);
    fleet[0].machines.as_mut().expect("a machine set that was read")[1].zone = "b".into();
    let mut scheduler =
        Scheduler::new(long_idle_timeout(), TERM, types_without_zones(), fleet, Vec::new(), 1_000);
    let one_zone_job = JobSpec { one_zone: true, ..(*spec(1, 9)).clone() };
    scheduler.handle(
        1_000,
        Event::JobOpened { spec: Arc::new(one_zone_job), submitted_at: 0, revision: 8, done: None },
    );
    let in_b = |sequence| Heartbeat { zone: "b".into(), ..heartbeat(1, sequence, 7, Vec::new()) };
    for now in (1_000..20_000).step_by(200) {
        let tasks = scheduler.machines()[&machine_name(0)].runs.values().map(status_of).collect();
        scheduler.handle(now, Event::Heartbeat(heartbeat(0, now, 7, tasks)));
        if now >= 8_000 {
            let tasks =
                scheduler.machines()[&machine_name(1)].runs.values().map(status_of).collect();
            scheduler.handle(now, Event::Heartbeat(Heartbeat { tasks, ..in_b(now) }));
        }
        if now == 14_000 {
            let demand = Resources { cpus: 3.0, gpus: 0.0, memory_gb: 4.0 };
            let spec = Arc::new(JobSpec { demand, ..(*spec(2, 1)).clone() });
            scheduler
                .handle(now, Event::JobOpened { spec, submitted_at: now, revision: 9, done: None });
        }
        scheduler.handle(now, Event::Tick);
    }
    assert_eq!(
        scheduler.jobs()[&JobId(1)].placed.len(),
        2,
        "as many tasks as fit on the machine in its zone"
    );
    assert_eq!(
        scheduler.jobs()[&JobId(2)].placed.len(),
        1,
        "the machine in the other zone is not reserved"
    );
}

/// When a task of a team at its limit ended, the quota it freed was used only in the next cycle, up
/// to a second later. The team stayed below its limit while its jobs waited and capacity was free.
#[test]
fn capacity_freed_under_a_team_limit_is_reused_at_once() {
    let limit = Team { cpus_max: 4.0, ..long_idle_timeout().teams.remove(0) };
    let policy = Policy { teams: vec![limit], ..long_idle_timeout() };
    let mut scheduler = Scheduler::new(policy, TERM, types(), stored_set(0..1), Vec::new(), 1_000);
    scheduler.handle(1_000, job_opened(1, 2, 8));
    scheduler.handle(1_000, Event::Heartbeat(heartbeat(0, 1, 7, Vec::new())));
    for now in (1_200..10_000).step_by(200) {
        let runs = scheduler.machines()[&machine_name(0)].runs.values();
        let tasks =
            runs.map(|run| TaskStatus { phase: TaskPhase::Running, ..status_of(run) }).collect();
        scheduler.handle(now, Event::Heartbeat(heartbeat(0, now, 7, tasks)));
        scheduler.handle(now, Event::Tick);
    }
    let runs = |scheduler: &Scheduler| {
        scheduler.machines()[&machine_name(0)].runs.values().filter(|run| run.is_live()).count()
    };
    assert_eq!(runs(&scheduler), 1, "the team's limit is four CPUs");
    // A cycle has just run, so the next one may not be due for up to a second.
    scheduler.handle(10_000, Event::Tick);
    let run = scheduler.machines()[&machine_name(0)].runs.values().next().expect("a run");
    let done = TaskStatus { phase: TaskPhase::Ended(ExitCause::Done), ..status_of(run) };
    scheduler.handle(10_050, Event::Heartbeat(heartbeat(0, 10_050, 7, vec![done])));
    scheduler.handle(10_200, Event::Tick);
    assert_eq!(runs(&scheduler), 1, "the other task has started");
}
