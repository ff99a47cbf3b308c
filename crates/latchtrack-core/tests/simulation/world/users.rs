//! The users, who submit and cancel jobs.

use std::sync::Arc;

use latchtrack_core::job::{JobId, JobSpec, Priority, Resources, TaskId};
use rand::Rng;

use super::state::{JobState, StoredJob};
use super::{World, ZONES};

/// Probability that a random job fails on every machine.
const BROKEN_PROBABILITY: f64 = 0.08;
/// Mean time between two jobs of a stream of small jobs, ms.
const SMALL_JOB_INTERVAL_MS: f64 = 250.0;
/// Most tasks of a gang and most CPUs of its tasks, so that it fits on the machines of one zone.
const MAX_GANG_TASKS: u32 = 4;
const MAX_GANG_CPUS: f64 = 4.0;

/// A best-effort job of the team without a limit. The caller sets its id.
fn best_effort_job(class: &str, tasks: u32, cpus: f64, estimate_s: f64) -> JobSpec {
    JobSpec {
        id: JobId(0),
        class: class.into(),
        team: "free".into(),
        priority: Priority::Low,
        tasks,
        gang: false,
        demand: Resources { cpus, gpus: 0.0, memory_gb: cpus },
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: "guest".into(),
        image_gb: 0.5,
        estimate_s,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

/// Turns a job into a gang that fits on the machines of one zone and within its team's limit.
fn make_gang(spec: &mut JobSpec, limit: f64) {
    spec.gang = true;
    spec.tasks = spec.tasks.clamp(2, MAX_GANG_TASKS);
    spec.demand.cpus = spec.demand.cpus.min(MAX_GANG_CPUS);
    if spec.team == "limited" {
        spec.demand.cpus = spec.demand.cpus.min((limit / f64::from(spec.tasks)).floor());
    }
    spec.demand.memory_gb = spec.demand.cpus;
}

impl World {
    /// Stores the cancellation of a job, and confirms it to the user at once.
    pub(super) fn cancel(&mut self, id: JobId) {
        self.revision += 1;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.state = JobState::Cancelled;
            job.revision = self.revision;
            job.cancel_confirmed_at = Some(self.now);
        }
    }

    /// Cancels all open jobs.
    pub fn cancel_all(&mut self) {
        for id in self.open_jobs() {
            self.cancel(id);
        }
    }

    /// While the fault is active, cancels a share of the jobs as their last task completes.
    pub(super) fn maybe_cancel_completed(&mut self, id: JobId) {
        let fault = self.faults.cancelled_at_completion;
        if self.now >= fault.until || self.now < self.faults.store_down_until {
            return;
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let mut tasks = (0..job.spec.tasks).map(|index| TaskId { job: id, index });
        let is_complete = job.is_open() && tasks.all(|task| self.completed.contains(&task));
        if is_complete && self.chance(fault.share) {
            self.cancel(id);
            self.record_occurrence("cancelled at completion");
        }
    }

    fn open_jobs(&self) -> Vec<JobId> {
        self.jobs.iter().filter(|(_, job)| job.is_open()).map(|(id, _)| *id).collect()
    }

    /// With the configured probabilities, submits a job, cancels one, and submits a small job.
    pub(super) fn step_users(&mut self) {
        if self.now < self.faults.store_down_until {
            return;
        }
        if self.chance(self.size.submit_probability) {
            self.submit();
        }
        if self.chance(self.size.cancel_probability) {
            let open = self.open_jobs();
            if !open.is_empty() {
                let id = open[self.rng.random_range(0..open.len())];
                self.cancel(id);
            }
        }
        let is_streaming = self.now < self.faults.small_jobs_until;
        if is_streaming && self.chance(self.size.step_ms as f64 / SMALL_JOB_INTERVAL_MS) {
            self.submit_small_job();
        }
    }

    /// Submits one small job, and cancels an earlier one so often that about a quarter is
    /// cancelled.
    fn submit_small_job(&mut self) {
        self.submit_spec(best_effort_job("swarm", 1, 0.25, 5.0));
        self.record_occurrence("small job");
        // One of the last 60 jobs: some of them wait, some run and some are just done.
        let ago = self.rng.random_range(0..60);
        let earlier = JobId(self.last_job.saturating_sub(ago));
        let is_open = self.jobs.get(&earlier).is_some_and(StoredJob::is_open);
        if is_open && self.chance(0.4) {
            self.cancel(earlier);
            self.record_occurrence("small job cancelled");
        }
    }

    /// Submits one-task jobs of the limited team, and cancels a quarter of them at the same time.
    pub(super) fn submit_limited_burst(&mut self, count: usize) {
        if self.now < self.faults.store_down_until {
            return;
        }
        for i in 0..count {
            self.submit_limited(1, 1.0);
            if i % 4 == 0 {
                self.cancel(JobId(self.last_job));
                self.record_occurrence("burst cancelled");
            }
        }
    }

    /// Submits this many random jobs.
    pub fn submit_many(&mut self, count: usize) {
        for _ in 0..count {
            self.submit();
        }
    }

    /// Submits a job of the limited team.
    pub fn submit_limited(&mut self, tasks: u32, cpus: f64) {
        let spec = best_effort_job("limited", tasks, cpus, 10.0);
        self.submit_spec(JobSpec { team: "limited".into(), ..spec });
    }

    /// Submits a gang of the limited team.
    pub fn submit_limited_gang(&mut self, tasks: u32, cpus: f64) {
        let spec = best_effort_job("limited", tasks, cpus, 10.0);
        self.submit_spec(JobSpec { team: "limited".into(), gang: true, ..spec });
    }

    /// Submits a job of the team without a limit.
    pub fn submit_free(&mut self, tasks: u32, cpus: f64) {
        self.submit_spec(best_effort_job("free", tasks, cpus, 10.0));
    }

    /// Submits best-effort jobs of three kinds: long tasks, very many tasks in one job, and many
    /// jobs of one small task.
    pub(super) fn submit_best_effort_jobs(&mut self) {
        let count = 4 * self.size.max_tasks;
        for _ in 0..3 {
            self.submit_spec(best_effort_job("idle", count, 2.0, 60.0));
        }
        self.submit_spec(best_effort_job("huge", 20 * count, 0.25, 5.0));
        for _ in 0..10 * count {
            self.submit_spec(best_effort_job("swarm", 1, 0.25, 20.0));
        }
    }

    /// Submits a random job, which may be one that always fails.
    pub(super) fn submit(&mut self) {
        self.submit_random_job(BROKEN_PROBABILITY);
    }

    /// Submits a random job, which fails on every machine with this probability.
    pub(super) fn submit_random_job(&mut self, broken_probability: f64) {
        let id = self.next_job_id();
        let size = self.size;
        let rng = &mut self.rng;
        let cpus = f64::from(rng.random_range(1..=size.max_task_cpus));
        let zone =
            rng.random_bool(0.2).then(|| ZONES[rng.random_range(0..ZONES.len())].to_string());
        let mut spec = JobSpec {
            id,
            class: if rng.random_bool(0.5) { "c" } else { "d" }.into(),
            team: if rng.random_bool(0.5) { "free".into() } else { "limited".into() },
            priority: Priority::Normal,
            tasks: rng.random_range(1..=size.max_tasks),
            gang: false,
            demand: Resources { cpus, gpus: 0.0, memory_gb: cpus },
            types: rng.random_bool(0.2).then(|| vec!["large".to_string()]),
            zone: zone.clone(),
            one_zone: rng.random_bool(0.2),
            spread: zone.is_none() && rng.random_bool(0.2),
            spot: rng.random_bool(0.6),
            image: "i".into(),
            image_gb: 1.0,
            estimate_s: rng.random_range(1.0..30.0),
            checkpoint_s: if rng.random_bool(size.checkpoint_probability) { 3.0 } else { 0.0 },
            save_s: 1.0,
            deadline_s: rng.random_bool(0.4).then(|| rng.random_range(10.0..80.0)),
        };
        if spec.one_zone {
            spec.spread = false;
        }
        if size.gang_probability > 0.0 && self.chance(size.gang_probability) {
            make_gang(&mut spec, size.limited_team_cpus);
        }
        self.store_job(spec, broken_probability);
    }

    /// Submits a job with a new id that can complete.
    fn submit_spec(&mut self, spec: JobSpec) {
        let id = self.next_job_id();
        self.store_job(JobSpec { id, ..spec }, 0.0);
    }

    fn next_job_id(&mut self) -> JobId {
        self.last_job += 1;
        JobId(self.last_job)
    }

    /// Stores an open job, which fails on every machine with this probability.
    fn store_job(&mut self, spec: JobSpec, broken_probability: f64) {
        let id = spec.id;
        let always_fails = self.rng.random_bool(broken_probability);
        self.revision += 1;
        self.jobs.insert(
            id,
            StoredJob {
                spec: Arc::new(spec),
                state: JobState::Open { stored_at: self.now },
                revision: self.revision,
                cancel_confirmed_at: None,
                done_confirmed: false,
                always_fails,
                submitted_at: self.now,
                started_at: None,
                unschedulable_since: None,
            },
        );
    }
}
