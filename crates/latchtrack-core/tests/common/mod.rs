//! Fixtures of the small cases: policies, jobs, machines, heartbeats, and a leader with machines
//! that run. The machines are `n-000000`, `n-000001` and so on; tests name them by their number.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod site;

use std::sync::Arc;

use latchtrack_core::job::{JobId, JobSpec, Priority, Resources};
use latchtrack_core::machine::*;
use latchtrack_core::placement::ScoreWeights;
use latchtrack_core::scheduler::*;

/// The worker lease, ms.
pub const WORKER_LEASE_MS: u64 = 24_000;

/// A policy with one team, `t`, that has neither limit nor guarantee.
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

/// The machine type `g` of eight CPUs, in these zones.
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

/// The name of a machine.
pub fn machine_name(number: u64) -> String {
    format!("n-{number:06}")
}

/// A job of team `t` and class `c` whose tasks take four CPUs, half a machine.
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

/// The term of token 7; until then there was an earlier leader.
pub const TERM: TermRevisions = TermRevisions { token: 7, leaderless_since: 7 };

/// A job of that many tasks, submitted at time 0, opened at a revision of the state service.
pub fn job_opened(id: u64, tasks: u32, revision: u64) -> Event {
    Event::JobOpened { spec: spec(id, tasks), submitted_at: 0, revision, done: None }
}

/// Machine type `g` in zone `a` only.
pub fn types() -> Vec<MachineType> {
    vec![machine_type(vec!["a".into()])]
}

/// The stored machine set of these machines, in one value.
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

/// A heartbeat of a spot machine in zone `a`, in its first agent epoch.
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

/// The machines that the cloud is asked to take back.
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

/// Launches in responses and direct calls.
pub fn launches(effects: &[Effect]) -> usize {
    let counts = effects.iter().map(|effect| match effect {
        Effect::Respond(commands) | Effect::CallWorker { commands, .. } => {
            commands.iter().filter(|command| matches!(command, Command::Launch { .. })).count()
        }
        _ => 0,
    });
    counts.sum()
}

/// A leader with so many reconciled machines, each running one task of job 1, all heard at 1,000
/// ms.
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

/// A run as its machine reports it, in the phase that the scheduler knows.
pub fn status_of(run: &TaskRun) -> TaskStatus {
    TaskStatus { task: run.task, attempt: run.attempt, phase: run.phase }
}

/// ms after which direct calls end in [`tick_until`].
const CALL_DURATION_MS: u64 = 1_000;

/// A direct call that has not ended.
struct OpenCall {
    ends_at: u64,
    machine: String,
    call: CallId,
}

/// Ticks from one time to another, every 200 ms; every direct call ends with this outcome 1 s
/// later, at the latest at the end.
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

/// A policy that keeps spot machines however long they are idle.
pub fn long_idle_timeout() -> Policy {
    Policy { spot_idle_timeout_ms: 1_000_000, ..policy() }
}

/// Whether all runs on a machine have ended, as far as the scheduler knows.
pub fn all_runs_ended(scheduler: &Scheduler, number: u64) -> bool {
    let mut runs = scheduler.machines()[&machine_name(number)].runs.values();
    runs.all(|run| matches!(run.phase, TaskPhase::Ended(_)))
}

/// A policy by which all jobs of class `c` are late from the start.
pub fn late_class_policy() -> Policy {
    let completion_objectives =
        vec![CompletionObjective { class: "c".into(), due: Due::Within(1) }];
    Policy {
        completion_objectives,
        classes_with_objectives: ["c".to_string()].into(),
        ..long_idle_timeout()
    }
}

/// A machine type that no zone offers any more: while something can be provisioned, a job reserves
/// no machines.
pub fn types_without_zones() -> Vec<MachineType> {
    vec![MachineType { zones: Vec::new(), ..types().remove(0) }]
}
