//! Troubles, planned or by chance, and what users do and see.

use super::*;

/// Idle-time work of a guest.
fn guest(class: &str, tasks: u32, cpus: f64, estimate_s: f64) -> JobSpec {
    JobSpec {
        id: JobId(0),
        class: class.into(),
        team: "free".into(),
        priority: Priority::Low,
        tasks,
        gang: false,
        demand: Demand { cpus, gpus: 0.0, memory_gb: cpus },
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

/// Makes a gang of a job, small enough for the machines of one zone and its team's limit.
fn make_gang(spec: &mut JobSpec, limit: f64) {
    spec.gang = true;
    spec.tasks = spec.tasks.clamp(2, 4);
    spec.demand.cpus = spec.demand.cpus.min(4.0);
    if spec.team == "limited" {
        spec.demand.cpus = spec.demand.cpus.min((limit / f64::from(spec.tasks)).floor());
    }
    spec.demand.memory_gb = spec.demand.cpus;
}

impl World {
    /// A node stores the cancellation of an open job and tells the user.
    pub(super) fn cancel(&mut self, id: JobId) {
        self.revision += 1;
        let (epoch, now) = (self.revision, self.now);
        if let Some(j) = self.jobs.get_mut(&id) {
            j.state = JobState::Cancelled;
            j.revision = epoch;
            j.cancel_confirmed_at = Some(now);
        }
    }

    pub(super) fn users(&mut self) {
        if self.now < self.store_down_until {
            return;
        }
        if self.chance(self.size.submit_probability) {
            self.submit();
        }
        if self.chance(self.size.cancel_probability) {
            let open: Vec<JobId> = self
                .jobs
                .iter()
                .filter(|(_, j)| matches!(j.state, JobState::Open { .. }))
                .map(|(id, _)| *id)
                .collect();
            if !open.is_empty() {
                let id = open[self.rng.random_range(0..open.len())];
                self.cancel(id);
            }
        }
        if self.now < self.small_jobs_until && self.chance(self.size.step_ms as f64 / 250.0) {
            self.swarm();
        }
    }

    /// One of many small jobs; a quarter of them is cancelled, some at once.
    fn swarm(&mut self) {
        self.next_job += 1;
        let id = JobId(self.next_job);
        let spec = JobSpec { id, ..guest("swarm", 1, 0.25, 5.0) };
        self.accept(spec, 0.0);
        self.record("swarm");
        // One that came a while ago, so that some wait, some run and some are just done.
        let ago = self.rng.random_range(0..60);
        let old = JobId(self.next_job.saturating_sub(ago));
        let open = self.jobs.get(&old).is_some_and(|j| matches!(j.state, JobState::Open { .. }));
        if open && self.chance(0.4) {
            self.cancel(old);
            self.record("swarm cancelled");
        }
    }

    /// Jobs of one task each of the limited team, of which a quarter is cancelled in the same moment.
    pub(super) fn limited_burst(&mut self, many: usize) {
        if self.now < self.store_down_until {
            return;
        }
        for i in 0..many {
            self.submit_limited(1, 1.0);
            if i % 4 == 0 {
                self.cancel(JobId(self.next_job));
                self.record("burst cancelled");
            }
        }
    }

    /// So many jobs as chance has them.
    pub fn submit_many(&mut self, many: usize) {
        for _ in 0..many {
            self.submit();
        }
    }

    /// A job of the limited team.
    pub fn submit_limited(&mut self, tasks: u32, cpus: f64) {
        self.next_job += 1;
        let spec = guest("limited", tasks, cpus, 10.0);
        self.accept(JobSpec { id: JobId(self.next_job), team: "limited".into(), ..spec }, 0.0);
    }

    /// A gang of the limited team.
    pub fn submit_limited_gang(&mut self, tasks: u32, cpus: f64) {
        self.next_job += 1;
        let spec = guest("limited", tasks, cpus, 10.0);
        let id = JobId(self.next_job);
        self.accept(JobSpec { id, team: "limited".into(), gang: true, ..spec }, 0.0);
    }

    /// A job of the team without a limit.
    pub fn submit_free(&mut self, tasks: u32, cpus: f64) {
        self.next_job += 1;
        self.accept(JobSpec { id: JobId(self.next_job), ..guest("free", tasks, cpus, 10.0) }, 0.0);
    }

    /// Users cancel all jobs that are open.
    pub fn cancel_all(&mut self) {
        let open = |job: &StoredJob| matches!(job.state, JobState::Open { .. });
        let ids: Vec<JobId> =
            self.jobs.iter().filter(|(_, job)| open(job)).map(|(id, _)| *id).collect();
        for id in ids {
            self.cancel(id);
        }
    }

    pub(super) fn submit(&mut self) {
        self.submit_with(0.08);
    }

    pub(super) fn submit_with(&mut self, broken_probability: f64) {
        self.next_job += 1;
        let id = JobId(self.next_job);
        let (saving, task_cpus) = (self.size.checkpoint_probability, self.size.max_task_cpus);
        let rng = &mut self.rng;
        let cpus = f64::from(rng.random_range(1..=task_cpus));
        let zone =
            rng.random_bool(0.2).then(|| ZONES[rng.random_range(0..ZONES.len())].to_string());
        let spec = JobSpec {
            id,
            class: if rng.random_bool(0.5) { "c" } else { "d" }.into(),
            team: if rng.random_bool(0.5) { "free".into() } else { "limited".into() },
            priority: Priority::Normal,
            tasks: rng.random_range(1..=self.size.max_tasks),
            gang: false,
            demand: Demand { cpus, gpus: 0.0, memory_gb: cpus },
            types: rng.random_bool(0.2).then(|| vec!["large".to_string()]),
            zone: zone.clone(),
            one_zone: rng.random_bool(0.2),
            spread: zone.is_none() && rng.random_bool(0.2),
            spot: rng.random_bool(0.6),
            image: "i".into(),
            image_gb: 1.0,
            estimate_s: rng.random_range(1.0..30.0),
            checkpoint_s: if rng.random_bool(saving) { 3.0 } else { 0.0 },
            save_s: 1.0,
            deadline_s: rng.random_bool(0.4).then(|| rng.random_range(10.0..80.0)),
        };
        let mut spec = spec;
        if spec.one_zone {
            spec.spread = false;
        }
        if self.size.gang_probability > 0.0 && self.rng.random_bool(self.size.gang_probability) {
            make_gang(&mut spec, self.size.limited_team_cpus);
        }
        self.accept(spec, broken_probability);
    }

    /// What a guest brings: idle-time work of long tasks, an array of very many, single small tasks.
    pub(super) fn guests(&mut self) {
        let many = 4 * self.size.max_tasks;
        for _ in 0..3 {
            self.next_job += 1;
            self.accept(
                JobSpec { id: JobId(self.next_job), ..guest("idle", many, 2.0, 60.0) },
                0.0,
            );
        }
        self.next_job += 1;
        self.accept(
            JobSpec { id: JobId(self.next_job), ..guest("huge", 20 * many, 0.25, 5.0) },
            0.0,
        );
        for _ in 0..10 * many {
            self.next_job += 1;
            self.accept(JobSpec { id: JobId(self.next_job), ..guest("swarm", 1, 0.25, 20.0) }, 0.0);
        }
    }

    /// A job is accepted; with this chance it was submitted with a mistake.
    fn accept(&mut self, spec: JobSpec, broken_probability: f64) {
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
                begun: None,
                unschedulable_since: None,
            },
        );
    }
}
