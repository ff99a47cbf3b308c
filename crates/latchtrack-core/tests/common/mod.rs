//! Fixtures for scheduler tests: policies, jobs, machines, heartbeats, and leaders with a fleet of
//! machines. Machines are named `n-000000`, `n-000001` and so on; tests refer to them by number.

#![allow(dead_code, reason = "each test target uses only some of the fixtures")]

pub mod site;

use std::sync::Arc;

use latchtrack_core::job::{JobId, JobSpec, Priority, Resources};
use latchtrack_core::machine::*;
use latchtrack_core::placement::ScoreWeights;
use latchtrack_core::scheduler::*;

/// The worker lease in ms.
pub const WORKER_LEASE_MS: u64 = 24_000;

/// Returns a policy with one team, `t`, that has neither a limit nor a guarantee.
pub fn policy() -> Policy {
    Policy {
        weights: ScoreWeights::default(),
        slice: 1,
        spot_idle_timeout_ms: 20_000,
        on_demand_idle_timeout_ms: 4_000,
        reserve_after_ms: 2_000,
        spot_provision_delay_ms: 0,
        on_demand_provision_delay_ms: 10_000,
        heartbeat_timeout_ms: 12_000,
        reconcile_timeout_ms: 9_000,
        heartbeat_interval_ms: 3_000,
        worker_lease_ms: WORKER_LEASE_MS,
        list_lag_ms: 3_000,
        max_open_calls: 64,
        value_bytes: 4_096,
        teams: vec![Team { name: "t".into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 }],
        quota_cell: None,
        completion_objectives: Vec::new(),
        classes_with_objectives: Default::default(),
        start_objectives: Vec::new(),
        balance: BalancePolicy::default(),
    }
}

/// Returns machine type `g`, which has eight CPUs, offered in these zones.
pub fn machine_type(zones: Vec<String>) -> MachineType {
    MachineType {
        name: "g".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        price: 1.0,
        spot_price: 0.3,
        boot_s: 10.0,
        cache_gb: 4.0,
        fetch_gb_per_s: 0.5,
        zones,
    }
}

/// Returns the name of the machine with this number.
pub fn machine_name(number: u64) -> String {
    format!("n-{number:06}")
}

/// Returns a job of team `t` and class `c` whose tasks each take four CPUs, half a machine.
pub fn spec(id: u64, tasks: u32) -> Arc<JobSpec> {
    Arc::new(JobSpec {
        id: JobId(id),
        class: "c".into(),
        team: "t".into(),
        priority: Priority::Normal,
        tasks,
        gang: false,
        demand: Resources { cpus: 4.0, gpus: 0.0, memory_gb: 4.0 },
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: "i".into(),
        image_gb: 1.0,
        estimate_s: 20.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    })
}

/// The term with token 7, which follows the previous leader without a gap.
pub const TERM: TermRevisions = TermRevisions { token: 7, leaderless_since: 7 };

/// Returns the event for a job submitted at time 0 and stored at this revision of the state
/// service. In [`TERM`], a revision below 7 makes it an inherited job.
pub fn job_opened(id: u64, tasks: u32, revision: u64) -> Event {
    Event::JobOpened { spec: spec(id, tasks), submitted_at: 0, revision, done: None }
}

/// Returns machine type `g`, offered in zone `a` only.
pub fn types() -> Vec<MachineType> {
    vec![machine_type(vec!["a".into()])]
}

/// Returns the stored machine set of these machines, all spot machines in zone `a`, in one value.
pub fn stored_set(numbers: std::ops::Range<u64>) -> Vec<StoredMachineSet> {
    let machine = |number| StoredMachine {
        name: machine_name(number),
        machine_type: "g".into(),
        zone: "a".into(),
        spot: true,
        addr: machine_name(number),
    };
    let machines = Some(numbers.map(machine).collect());
    vec![StoredMachineSet { name: "3-1".into(), revision: 4, machines }]
}

/// Returns a heartbeat of a spot machine in zone `a`, in its first agent epoch.
pub fn heartbeat(number: u64, sequence: u64, token: u64, tasks: Vec<TaskStatus>) -> Heartbeat {
    Heartbeat {
        machine: machine_name(number),
        addr: machine_name(number),
        machine_type: "g".into(),
        zone: "a".into(),
        spot: true,
        agent_epoch: 1,
        sequence,
        token,
        notice_s: None,
        tasks,
    }
}

/// Returns the names of the machines that the cloud is asked to terminate.
pub fn terminated(effects: &[Effect]) -> Vec<String> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Terminate(names) => Some(names.clone()),
            _ => None,
        })
        .flatten()
        .collect()
}

/// Counts the launches in heartbeat responses and direct calls.
pub fn launches(effects: &[Effect]) -> usize {
    let counts = effects.iter().map(|effect| match effect {
        Effect::Respond { commands, .. } | Effect::CallWorker { commands, .. } => {
            commands.iter().filter(|command| matches!(command, Command::Launch { .. })).count()
        }
        _ => 0,
    });
    counts.sum()
}

/// Returns a leader with this many reconciled machines, each running one task of job 1, that all
/// sent a heartbeat at 1,000 ms.
pub fn busy_fleet(machines: u64) -> Scheduler {
    let mut scheduler =
        Scheduler::new(policy(), TERM, types(), stored_set(0..machines), Vec::new(), 1_000);
    let job = job_opened(1, machines as u32, 3);
    scheduler.handle(1_000, job);
    for number in 0..machines {
        let task = TaskStatus {
            task: format!("req-000001/{number}").parse().expect("a task id"),
            attempt: 5,
            phase: TaskPhase::Running,
        };
        scheduler.handle(1_000, Event::Heartbeat(heartbeat(number, 1, 7, vec![task])));
    }
    scheduler
}

/// Returns the status that a machine reports for a run whose phase has not changed.
pub fn status_of(run: &TaskRun) -> TaskStatus {
    TaskStatus { task: run.task, attempt: run.attempt, phase: run.phase }
}

/// Time in ms after which direct calls end in [`tick_until`].
const CALL_DURATION_MS: u64 = 1_000;

/// A direct call in flight.
struct OpenCall {
    ends_at: u64,
    machine: String,
    call: CallId,
}

/// Ticks every 200 ms from `from` until before `to`, and returns all effects. Every direct call
/// ends with `outcome` after [`CALL_DURATION_MS`], or at `to` if that is earlier.
pub fn tick_until(
    scheduler: &mut Scheduler,
    from: u64,
    to: u64,
    outcome: &CallOutcome,
) -> Vec<Effect> {
    let mut all = Vec::new();
    let mut open: Vec<OpenCall> = Vec::new();
    for now in (from..to).step_by(200) {
        for open_call in std::mem::take(&mut open) {
            if open_call.ends_at > now {
                open.push(open_call);
                continue;
            }
            let OpenCall { machine, call, .. } = open_call;
            let outcome = outcome.clone();
            all.extend(scheduler.handle(now, Event::CallFinished { machine, call, outcome }));
        }
        let effects = scheduler.handle(now, Event::Tick);
        for effect in &effects {
            if let Effect::CallWorker { machine, call, .. } = effect {
                let (ends_at, machine, call) = (now + CALL_DURATION_MS, machine.clone(), *call);
                open.push(OpenCall { ends_at, machine, call });
            }
        }
        all.extend(effects);
    }
    for OpenCall { machine, call, .. } in open {
        all.extend(
            scheduler.handle(to, Event::CallFinished { machine, call, outcome: outcome.clone() }),
        );
    }
    all
}

/// Returns a policy by which no idle spot machine is terminated during a test.
pub fn long_idle_timeout() -> Policy {
    Policy { spot_idle_timeout_ms: 1_000_000, ..policy() }
}

/// Whether the scheduler considers all runs on a machine as ended.
pub fn all_runs_ended(scheduler: &Scheduler, number: u64) -> bool {
    let mut runs = scheduler.machines()[&machine_name(number)].runs.values();
    runs.all(|run| matches!(run.phase, TaskPhase::Ended(_)))
}

/// Returns a policy by which all jobs of class `c` miss their objective from the start.
pub fn late_class_policy() -> Policy {
    let completion_objectives =
        vec![CompletionObjective { class: "c".into(), due: Due::Within(1) }];
    Policy {
        completion_objectives,
        classes_with_objectives: ["c".to_string()].into(),
        ..long_idle_timeout()
    }
}

/// Returns machine type `g`, which no zone offers, so that nothing can be provisioned: a job
/// reserves machines only if none can be provisioned for it.
pub fn types_without_zones() -> Vec<MachineType> {
    vec![MachineType { zones: Vec::new(), ..types().remove(0) }]
}
