//! Gangs on the workers: the tasks of an attempt wait for each other, start together and end
//! together.

use std::collections::BTreeMap;

use latchtrack_core::job::{JobId, JobSpec, TaskId};
use latchtrack_core::machine::{ExitCause, TaskPhase};
use latchtrack_core::rules;
use rand::Rng;

use super::messages::EARLY_HEARTBEAT_MS;
use super::state::{is_started, AttemptKey, Worker, WorkerTask};
use super::{World, CPU_TOLERANCE};

/// Time that a task waits for the other tasks of its attempt, ms.
pub(super) const GANG_WAIT_MS: u64 = 8_000;
/// Time after which a task notices that another task of its attempt is gone, ms.
const GANG_PEER_MS: u64 = 2_000;

/// An attempt of a gang: its job and the attempt's number.
pub(super) type GangAttempt = (JobId, u64);

/// An attempt whose tasks have all started.
pub(super) struct GangRun {
    /// When its tasks complete, ms.
    completes_at: u64,
    /// Since when one of its tasks has been missing or not running, ms.
    incomplete_since: Option<u64>,
}

/// A task of a gang attempt on a worker.
struct GangMember {
    worker: String,
    key: AttemptKey,
    phase: TaskPhase,
    /// Whether the worker is not hung.
    executes: bool,
}

impl World {
    pub(super) fn is_gang(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.spec.gang)
    }

    /// The gang tasks that wait, run or write a checkpoint, by attempt.
    fn gang_members(&self) -> BTreeMap<GangAttempt, Vec<GangMember>> {
        let mut attempts: BTreeMap<GangAttempt, Vec<GangMember>> = BTreeMap::new();
        for (name, worker) in self.workers.iter().filter(|(_, worker)| worker.alive) {
            for (key, task) in worker.tasks.iter().filter(|(_, task)| task.is_started()) {
                let (TaskId { job, .. }, attempt) = *key;
                if !self.is_gang(job) {
                    continue;
                }
                attempts.entry((job, attempt)).or_default().push(GangMember {
                    worker: name.clone(),
                    key: *key,
                    phase: task.phase,
                    executes: self.now >= worker.hung_until,
                });
            }
        }
        attempts
    }

    fn set_phase(&mut self, member: &GangMember, phase: TaskPhase) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&member.worker) else { return };
        if let Some(task) = worker.tasks.get_mut(&member.key) {
            (task.phase, task.phase_ends_at) = (phase, u64::MAX);
        }
        worker.heartbeat_by(now + EARLY_HEARTBEAT_MS);
    }

    /// Starts the attempts whose tasks are all on executing workers, and advances those that run.
    pub(super) fn step_gangs(&mut self) {
        let attempts = self.gang_members();
        self.gang_runs.retain(|attempt, _| attempts.contains_key(attempt));
        for (attempt, members) in attempts {
            let tasks = self.jobs[&attempt.0].spec.tasks as usize;
            let is_complete =
                members.len() == tasks && members.iter().all(|member| member.executes);
            match self.gang_runs.get(&attempt) {
                None if is_complete => self.start_gang(attempt, &members),
                None => {}
                Some(_) => {
                    let runs = is_complete
                        && members.iter().all(|member| member.phase == TaskPhase::Running);
                    self.step_running_gang(attempt, &members, runs);
                }
            }
        }
    }

    fn start_gang(&mut self, attempt: GangAttempt, members: &[GangMember]) {
        let run_ms = self.rng.random_range(1_500..20_000);
        for member in members {
            self.set_phase(member, TaskPhase::Running);
        }
        self.record_occurrence("gang started");
        if let Some(job) = self.jobs.get_mut(&attempt.0) {
            job.started_at.get_or_insert(self.now);
        }
        self.gang_runs
            .insert(attempt, GangRun { completes_at: self.now + run_ms, incomplete_since: None });
    }

    fn step_running_gang(&mut self, attempt: GangAttempt, members: &[GangMember], runs: bool) {
        let now = self.now;
        let Some(run) = self.gang_runs.get_mut(&attempt) else { return };
        if !runs {
            run.incomplete_since.get_or_insert(now);
        }
        if let Some(at) = run.incomplete_since {
            if now >= at + GANG_PEER_MS {
                self.record_occurrence("gang lost a task");
                let notices =
                    |member: &&GangMember| member.executes && member.phase == TaskPhase::Running;
                for member in members.iter().filter(notices) {
                    self.set_phase(member, TaskPhase::Ended(ExitCause::GangPeerLost));
                }
            }
            return;
        }
        if now < run.completes_at {
            return;
        }
        let always_fails = self.jobs[&attempt.0].always_fails;
        let fails = |member: &&GangMember| always_fails || self.workers[&member.worker].fails_tasks;
        if let Some(member) = members.iter().find(fails) {
            self.stats.failures += 1;
            self.set_phase(member, TaskPhase::Ended(ExitCause::Failed));
            return;
        }
        self.record_occurrence("gang done");
        for member in members {
            self.set_phase(member, TaskPhase::Ended(ExitCause::Done));
            self.complete(&member.worker, member.key.0);
        }
        self.maybe_cancel_completed(attempt.0);
    }

    /// Checks that no task of another attempt of the same gang has started on any machine.
    pub(super) fn check_gang_attempt(&mut self, name: &str, key: AttemptKey) {
        let other = |((task, attempt), state): (&AttemptKey, &WorkerTask)| {
            task.job == key.0.job && *attempt != key.1 && is_started(state.phase)
        };
        let beside: Vec<String> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.tasks.iter().any(other))
            .map(|(name, _)| name.clone())
            .collect();
        if !beside.is_empty() {
            self.report_violation("two_attempts", format!("{} on {name} beside {beside:?}", key.0));
        }
    }

    /// Whether a whole gang fits into the free CPUs, in one zone if its job requires that.
    pub(super) fn gang_fits(&self, spec: &JobSpec, free: &[(&Worker, f64)]) -> bool {
        let mut by_zone: BTreeMap<&str, u32> = BTreeMap::new();
        for (worker, free) in free {
            let Worker { machine_type, zone, spot, .. } = **worker;
            if rules::may_start(spec, machine_type, zone, spot, std::iter::empty()) {
                *by_zone.entry(zone).or_default() +=
                    ((free + CPU_TOLERANCE) / spec.demand.cpus) as u32;
            }
        }
        let max_in_zone =
            if spec.spread { rules::max_tasks_per_zone(spec.tasks) } else { u32::MAX };
        let counts = by_zone.values().map(|count| (*count).min(max_in_zone));
        if spec.one_zone {
            counts.max().unwrap_or(0) >= spec.tasks
        } else {
            counts.sum::<u32>() >= spec.tasks
        }
    }
}
