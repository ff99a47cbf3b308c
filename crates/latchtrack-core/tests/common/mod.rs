//! What the small cases share; each test file uses its part of it.

#![allow(dead_code)]

pub mod site;

use std::sync::Arc;

use latchtrack_core::job::{Demand, JobId, JobSpec, Priority};
use latchtrack_core::machine::*;
use latchtrack_core::placement::ScoreWeights;
use latchtrack_core::scheduler::*;

/// The workers' lease.
pub const LEASE: u64 = 24_000;

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
        worker_lease_ms: LEASE,
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

/// A type of eight CPUs, in these zones.
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

pub fn name(i: u64) -> String {
    format!("n-{i:06}")
}

pub fn spec(id: u64, tasks: u32) -> Arc<JobSpec> {
    Arc::new(JobSpec {
        id: JobId(id),
        class: "c".into(),
        team: "t".into(),
        priority: Priority::Normal,
        tasks,
        gang: false,
        demand: Demand { cpus: 4.0, gpus: 0.0, memory_gb: 4.0 },
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

pub const TERM: TermRevisions = TermRevisions { token: 7, leaderless_since: 7 };

pub fn types() -> Vec<MachineType> {
    vec![machine_type(vec!["a".into()])]
}

/// The stored set of so many machines, in one value.
pub fn stored_set(which: std::ops::Range<u64>) -> Vec<StoredMachineSet> {
    let machine = |i| StoredMachine {
        name: name(i),
        kind: "g".into(),
        zone: "a".into(),
        spot: true,
        addr: name(i),
    };
    let machines = Some(which.map(machine).collect());
    vec![StoredMachineSet { name: "3-1".into(), revision: 4, machines }]
}

pub fn heartbeat(i: u64, sequence: u64, token: u64, tasks: Vec<TaskStatus>) -> Heartbeat {
    Heartbeat {
        machine: name(i),
        addr: name(i),
        kind: "g".into(),
        zone: "a".into(),
        spot: true,
        agent_epoch: 1,
        sequence,
        token,
        notice_s: None,
        tasks,
    }
}

pub fn terminated(effects: &[Effect]) -> Vec<String> {
    effects
        .iter()
        .filter_map(|e| match e {
            Effect::Terminate(names) => Some(names.clone()),
            _ => None,
        })
        .flatten()
        .collect()
}

pub fn launches(effects: &[Effect]) -> usize {
    let all = effects.iter().map(|e| match e {
        Effect::Respond(commands) | Effect::CallWorker { commands, .. } => {
            commands.iter().filter(|command| matches!(command, Command::Launch { .. })).count()
        }
        _ => 0,
    });
    all.sum()
}

/// A leader with `n` settled machines, each running one task of a job, all heard at 1,000 ms.
pub fn busy_fleet(n: u64) -> Scheduler {
    let mut scheduler =
        Scheduler::new(policy(), TERM, types(), stored_set(0..n), Vec::new(), 1_000);
    let job =
        Event::JobOpened { spec: spec(1, n as u32), submitted_at: 0, revision: 3, done: None };
    scheduler.handle(1_000, job);
    for i in 0..n {
        let task = TaskStatus {
            task: format!("req-000001/{i}").parse().unwrap(),
            attempt: 5,
            phase: TaskPhase::Running,
        };
        scheduler.handle(1_000, Event::Heartbeat(heartbeat(i, 1, 7, vec![task])));
    }
    scheduler
}

pub fn status_of(run: &TaskRun) -> TaskStatus {
    TaskStatus { task: run.task, attempt: run.attempt, phase: run.phase }
}

/// Ticks from one time to another, every direct call ending as `outcome` says 1 s later.
pub fn tick_until(
    scheduler: &mut Scheduler,
    from: u64,
    to: u64,
    outcome: &CallOutcome,
) -> Vec<Effect> {
    let mut out = Vec::new();
    let mut open: Vec<(u64, String, u64)> = Vec::new();
    for now in (from..to).step_by(200) {
        for (at, machine, call) in std::mem::take(&mut open) {
            if at > now {
                open.push((at, machine, call));
                continue;
            }
            let outcome = outcome.clone();
            out.extend(scheduler.handle(now, Event::CallFinished { machine, call, outcome }));
        }
        let effects = scheduler.handle(now, Event::Tick);
        for e in &effects {
            if let Effect::CallWorker { machine, call, .. } = e {
                open.push((now + 1_000, machine.clone(), *call));
            }
        }
        out.extend(effects);
    }
    for (_, machine, call) in open {
        out.extend(
            scheduler.handle(to, Event::CallFinished { machine, call, outcome: outcome.clone() }),
        );
    }
    out
}

/// Machines are kept however long they are empty.
pub fn long_idle_timeout() -> Policy {
    Policy { spot_idle_timeout_ms: 1_000_000, ..policy() }
}

/// Whether all runs that a machine lists have ended.
pub fn has_only_ended(scheduler: &Scheduler, i: u64) -> bool {
    scheduler.machines()[&name(i)].runs.values().all(|r| matches!(r.phase, TaskPhase::Ended(_)))
}

/// All jobs of class scheduler are late from the start.
pub fn late_class_policy() -> Policy {
    let completion_objectives =
        vec![CompletionObjective { class: "c".into(), due: Due::Within(1) }];
    Policy {
        completion_objectives,
        classes_with_objectives: ["c".to_string()].into(),
        ..long_idle_timeout()
    }
}

/// A type that no zone has any more: with something to rent, a job keeps no machines meanwhile.
pub fn types_out_of_stock() -> Vec<MachineType> {
    vec![MachineType { zones: Vec::new(), ..types().remove(0) }]
}
