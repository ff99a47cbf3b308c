//! Gangs on the workers: the tasks of an attempt wait for each other, run together and end together.

use super::*;

/// ms a task waits for the others of its attempt, and within which it notices that one is gone.
pub const GANG_WAIT_MS: u64 = 8_000;
pub const GANG_PEER_MS: u64 = 2_000;

/// An attempt of which all tasks have run.
pub(super) struct GangRun {
    /// When its tasks complete.
    until: u64,
    /// Since when a task has been missing.
    broken_at: Option<u64>,
}

/// Where a task of an attempt is, and whether its machine executes it.
struct Member {
    worker: String,
    key: (TaskId, u64),
    phase: TaskPhase,
    executes: bool,
}

impl World {
    pub(super) fn is_gang(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|j| j.spec.gang)
    }

    /// The tasks that wait, run or save, by attempt.
    fn members(&self) -> BTreeMap<(JobId, u64), Vec<Member>> {
        let mut attempts: BTreeMap<(JobId, u64), Vec<Member>> = BTreeMap::new();
        for (name, w) in self.workers.iter().filter(|(_, w)| w.alive) {
            for (key, task) in &w.tasks {
                let on = matches!(
                    task.phase,
                    TaskPhase::Waiting | TaskPhase::Running | TaskPhase::Checkpointing
                );
                if !on || !self.is_gang(key.0.job) {
                    continue;
                }
                attempts.entry((key.0.job, key.1)).or_default().push(Member {
                    worker: name.clone(),
                    key: *key,
                    phase: task.phase,
                    executes: self.now >= w.hung_until,
                });
            }
        }
        attempts
    }

    fn set_phase(&mut self, member: &Member, phase: TaskPhase) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(&member.worker) else { return };
        if let Some(task) = w.tasks.get_mut(&member.key) {
            (task.phase, task.until) = (phase, u64::MAX);
        }
        w.next_report = w.next_report.min(now + 500);
    }

    /// Starts the attempts that are complete, and ends those that are over.
    pub(super) fn step_gangs(&mut self) {
        let attempts = self.members();
        self.gang_runs.retain(|attempt, _| attempts.contains_key(attempt));
        for (attempt, members) in attempts {
            let tasks = self.jobs[&attempt.0].spec.tasks as usize;
            let all = members.len() == tasks && members.iter().all(|m| m.executes);
            match self.gang_runs.get(&attempt) {
                None if all => self.start_gang(attempt, &members),
                None => {}
                Some(_) => {
                    let runs = all && members.iter().all(|m| m.phase == TaskPhase::Running);
                    self.step_running_gang(attempt, &members, runs);
                }
            }
        }
    }

    fn start_gang(&mut self, attempt: (JobId, u64), members: &[Member]) {
        let run = self.rng.random_range(1_500..20_000);
        for member in members {
            self.set_phase(member, TaskPhase::Running);
        }
        self.record("gang started");
        if let Some(j) = self.jobs.get_mut(&attempt.0) {
            j.begun.get_or_insert(self.now);
        }
        self.gang_runs.insert(attempt, GangRun { until: self.now + run, broken_at: None });
    }

    fn step_running_gang(&mut self, attempt: (JobId, u64), members: &[Member], runs: bool) {
        let now = self.now;
        let Some(run) = self.gang_runs.get_mut(&attempt) else { return };
        if !runs {
            run.broken_at.get_or_insert(now);
        }
        if let Some(at) = run.broken_at {
            if now >= at + GANG_PEER_MS {
                self.record("gang lost a task");
                for member in members.iter().filter(|m| m.executes && m.phase == TaskPhase::Running)
                {
                    self.set_phase(member, TaskPhase::Ended(ExitCause::GangPeerLost));
                }
            }
            return;
        }
        if now < run.until {
            return;
        }
        let always_fails = self.jobs[&attempt.0].always_fails;
        let fails_tasks = |m: &&Member| always_fails || self.workers[&m.worker].fails_tasks;
        if let Some(member) = members.iter().find(fails_tasks) {
            self.failures += 1;
            self.set_phase(member, TaskPhase::Ended(ExitCause::Failed));
            return;
        }
        self.record("gang done");
        for member in members {
            self.completed.insert(member.key.0);
            self.set_phase(member, TaskPhase::Ended(ExitCause::Done));
            if let Some(w) = self.workers.get_mut(&member.worker) {
                w.completed_here.insert(member.key.0);
            }
        }
        self.cancel_at_end(attempt.0);
    }

    /// The referee: while a task of one attempt is on a machine, none of another starts.
    pub(super) fn check_attempt(&mut self, name: &str, key: (TaskId, u64)) {
        let on = |t: &WorkerTask| {
            matches!(t.phase, TaskPhase::Waiting | TaskPhase::Running | TaskPhase::Checkpointing)
        };
        let other = |((task, attempt), state): (&(TaskId, u64), &WorkerTask)| {
            task.job == key.0.job && *attempt != key.1 && on(state)
        };
        let beside: Vec<String> = self
            .workers
            .iter()
            .filter(|(_, w)| w.tasks.iter().any(other))
            .map(|(worker, _)| worker.clone())
            .collect();
        if !beside.is_empty() {
            self.violate("two_attempts", format!("{} on {name} beside {beside:?}", key.0));
        }
    }

    /// Whether a whole gang would fit into what is free, in one zone if it must be in one.
    pub(super) fn gang_fits(&self, spec: &JobSpec, rooms: &[(&Worker, f64)]) -> bool {
        let mut by_zone: BTreeMap<&str, u32> = BTreeMap::new();
        for (w, free) in rooms {
            if rules::may_start(spec, w.machine_type, w.zone, w.spot, std::iter::empty()) {
                *by_zone.entry(w.zone).or_default() += ((free + 1e-6) / spec.demand.cpus) as u32;
            }
        }
        let most = if spec.spread { rules::zone_share(spec.tasks) } else { u32::MAX };
        let counts = by_zone.values().map(|n| (*n).min(most));
        match spec.one_zone {
            true => counts.max().unwrap_or(0) >= spec.tasks,
            false => counts.sum::<u32>() >= spec.tasks,
        }
    }
}
