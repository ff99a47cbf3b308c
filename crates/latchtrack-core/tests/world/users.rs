//! Troubles, planned or by chance, and what users do and see.

use super::*;

impl World {
    pub(super) fn begin_planned(&mut self) {
        let due: Vec<Planned> =
            self.plan.iter().filter(|(at, _)| *at <= self.now).map(|(_, p)| *p).collect();
        self.plan.retain(|(at, _)| *at > self.now);
        let (now, nodes) = (self.now, self.size.nodes);
        let leader = self.leader.map_or(0, |(n, ..)| n);
        for trouble in due {
            match trouble {
                Planned::CrashAll => (0..nodes).for_each(|n| self.crash(n)),
                Planned::Roll(gap) => {
                    self.crash(leader);
                    // The leader of the time, as often as there are nodes.
                    if gap > 0 {
                        let more = (1..nodes as u64).map(|i| (now + i * gap, Planned::Roll(0)));
                        self.plan.extend(more);
                    }
                }
                Planned::StoreDown(ms) => self.store_down_until = now + ms,
                Planned::FreezeLeader(ms) => self.nodes[leader].paused_until = now + ms,
                Planned::FreezeFollower(ms) => {
                    self.nodes[(leader + 1) % nodes].paused_until = now + ms;
                }
                Planned::CutLeaders(ms) => self.zone_cut = Some((Self::zone_of(leader), now + ms)),
                Planned::CutOther(ms) => {
                    self.zone_cut = Some((Self::zone_of(leader + 1), now + ms));
                }
                Planned::Guests => self.guests(),
                Planned::NodesDown(many, ms) => {
                    for i in 0..many {
                        let n = (leader + i) % nodes;
                        self.crash(n);
                        self.nodes[n].back_at = now + ms;
                    }
                }
                Planned::Boots(times, never, ms) => self.boots = (times, never, now + ms),
                Planned::Mistakes(many) => (0..many).for_each(|_| self.submit_with(1.0)),
                Planned::Sick(share) => {
                    for name in self.workers.keys().cloned().collect::<Vec<_>>() {
                        let sick = self.rng.random_bool(share);
                        if let Some(w) = self.workers.get_mut(&name) {
                            w.sick |= sick;
                        }
                    }
                }
                Planned::Hang(share, ms) => {
                    for name in self.workers.keys().cloned().collect::<Vec<_>>() {
                        if self.rng.random_bool(share) {
                            if let Some(w) = self.workers.get_mut(&name) {
                                w.hang_until = now + ms;
                            }
                        }
                    }
                }
            }
        }
    }

    pub(super) fn trouble(&mut self) {
        if !self.chance(self.size.troubles) {
            return;
        }
        let (now, for_ms) = (self.now, self.rng.random_range(1_000..25_000));
        let until = now + for_ms;
        let nodes = self.size.nodes;
        let n = self.rng.random_range(0..nodes);
        match self.rng.random_range(0..14) {
            0 | 1 => self.crash(n),
            2 if self.chance(0.3) => (0..nodes).for_each(|n| self.crash(n)),
            3 => self.nodes[n].paused_until = until,
            4 if self.chance(0.5) => self.nodes[n].cut_until = until,
            4 => self.nodes[n].refused_until = until + for_ms,
            13 if self.chance(0.3) => {
                let zone = ZONES[self.rng.random_range(0..ZONES.len())];
                self.zone_cut = Some((zone, until + self.rng.random_range(0..LEASE)));
            }
            // The leader, which keeps hearing its workers.
            12 => {
                if let Some((leader, ..)) = self.leader {
                    self.nodes[leader].refused_until = until;
                }
            }
            5 if self.chance(0.4) => self.store_down_until = now + for_ms / 2,
            6 if self.chance(0.4) => self.cloud_down_until = until,
            _ => {
                let names: Vec<String> = self.workers.keys().cloned().collect();
                if names.is_empty() {
                    return;
                }
                let name = names[self.rng.random_range(0..names.len())].clone();
                let (what, w) = (self.rng.random_range(0..10), self.workers.get_mut(&name));
                let Some(w) = w else { return };
                match what {
                    0 => {
                        w.alive = false;
                        w.tasks.clear();
                    }
                    1 => {
                        self.workers.remove(&name);
                    }
                    2..=5 => w.cut_until = until + 10_000,
                    // A machine that hangs for longer than its lease is as good as dead.
                    6 | 7 => w.hang_until = now + for_ms / 2,
                    8 => w.sick = true,
                    _ => w.deaf_until = until + 2 * LEASE,
                }
            }
        }
    }

    pub(super) fn crash(&mut self, n: usize) {
        let now = self.now;
        let node = &mut self.nodes[n];
        node.up = false;
        node.cluster = None;
        node.token = 0;
        node.saving = false;
        node.run += 1;
        // Now and then within a fraction of a second, also in mid-election.
        let back = if self.rng.random_bool(0.4) { 150 } else { 2_000 };
        self.nodes[n].back_at = now + back;
    }

    pub(super) fn users(&mut self) {
        if self.now < self.store_down_until {
            return;
        }
        if self.chance(self.size.submits) {
            self.submit();
        }
        if self.chance(0.002) {
            let open: Vec<JobId> = self
                .jobs
                .iter()
                .filter(|(_, j)| matches!(j.state, State::Open { .. }))
                .map(|(id, _)| *id)
                .collect();
            if !open.is_empty() {
                let id = open[self.rng.random_range(0..open.len())];
                self.epoch += 1;
                let (epoch, now) = (self.epoch, self.now);
                if let Some(j) = self.jobs.get_mut(&id) {
                    j.state = State::Cancelled;
                    j.stamp = epoch;
                    j.told_cancelled = Some(now);
                }
            }
        }
    }

    pub(super) fn submit(&mut self) {
        self.submit_with(0.08);
    }

    fn submit_with(&mut self, mistakes: f64) {
        self.next_job += 1;
        let id = JobId(self.next_job);
        let rng = &mut self.rng;
        let cpus = f64::from(rng.random_range(1..=6));
        let zone =
            rng.random_bool(0.2).then(|| ZONES[rng.random_range(0..ZONES.len())].to_string());
        let spec = JobSpec {
            id,
            class: if rng.random_bool(0.5) { "c" } else { "d" }.into(),
            team: if rng.random_bool(0.5) { "free".into() } else { "limited".into() },
            priority: Priority::Normal,
            tasks: rng.random_range(1..=self.size.tasks),
            demand: Demand { cpus, gpus: 0.0, memory_gb: cpus },
            types: rng.random_bool(0.2).then(|| vec!["large".to_string()]),
            zone: zone.clone(),
            one_zone: rng.random_bool(0.2),
            spread: zone.is_none() && rng.random_bool(0.2),
            spot: rng.random_bool(0.6),
            image: "i".into(),
            image_gb: 1.0,
            estimate_s: rng.random_range(1.0..30.0),
            checkpoint_s: if rng.random_bool(0.3) { 3.0 } else { 0.0 },
            save_s: 1.0,
            deadline_s: rng.random_bool(0.4).then(|| rng.random_range(10.0..80.0)),
        };
        let mut spec = spec;
        if spec.one_zone {
            spec.spread = false;
        }
        self.accept(spec, mistakes);
    }

    /// What a guest brings: idle-time work of long tasks, an array of very many, single small tasks.
    pub(super) fn guests(&mut self) {
        let guest = |class: &str, tasks, cpus, estimate_s| JobSpec {
            id: JobId(0),
            class: class.into(),
            team: "free".into(),
            priority: Priority::Low,
            tasks,
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
        };
        let many = 4 * self.size.tasks;
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
    fn accept(&mut self, spec: JobSpec, mistakes: f64) {
        let id = spec.id;
        let mistaken = self.rng.random_bool(mistakes);
        self.epoch += 1;
        self.jobs.insert(
            id,
            Stored {
                spec: Arc::new(spec),
                state: State::Open { stored_at: self.now },
                stamp: self.epoch,
                told_cancelled: None,
                told_done: false,
                mistaken,
                submitted_at: self.now,
                begun: None,
            },
        );
    }

    /// Users read the records, as any node would show them.
    pub(super) fn tell_users(&mut self) {
        let mut bad = Vec::new();
        for (id, j) in &mut self.jobs {
            match j.state {
                State::Done => {
                    if j.told_cancelled.is_some() {
                        bad.push(("went_back", format!("{id} cancelled, then done")));
                    }
                    j.told_done = true;
                    let all = (0..j.spec.tasks)
                        .all(|index| self.completed.contains(&TaskId { job: *id, index }));
                    if !all {
                        bad.push(("not_done", format!("{id}")));
                    }
                }
                _ if j.told_done => bad.push(("went_back", format!("{id} is not done any more"))),
                State::Open { stored_at } if stored_at > self.now => {
                    bad.push(("went_back", format!("{id} from the future")));
                }
                _ => {}
            }
        }
        for (rule, what) in bad {
            self.violate(rule, what);
        }
    }

    pub(super) fn check_cancelled(&mut self) {
        let mut bad = Vec::new();
        for (name, w) in &self.workers {
            for ((task, _), t) in &w.tasks {
                if !matches!(t.phase, Phase::Running | Phase::Saving) {
                    continue;
                }
                let told = self.jobs.get(&task.job).and_then(|j| j.told_cancelled);
                if told.is_some_and(|at| self.now > at + CANCEL) {
                    bad.push(format!("{task} on {name}"));
                }
            }
        }
        for what in bad {
            self.violate("ran_cancelled", what);
        }
    }
}
