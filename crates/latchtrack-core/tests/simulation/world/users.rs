//! Troubles, planned or by chance, and what users do and see.

use super::*;

/// ms after the last trouble begins until all of them are over, and that a job may wait with room.
const SETTLED: u64 = 60_000;
const WAITS_MOST: u64 = 90_000;

/// Idle-time work of a guest.
fn guest(class: &str, tasks: u32, cpus: f64, estimate_s: f64) -> JobSpec {
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
                Planned::BootTracker(times, never, ms) => self.boots = (times, never, now + ms),
                Planned::Mistakes(many) => (0..many).for_each(|_| self.submit_with(1.0)),
                Planned::Sick(share) => self.some(share, |w| w.sick = true),
                Planned::Hang(share, ms) => self.some(share, |w| w.hang_until = now + ms),
                Planned::RefuseAll(ms) => {
                    for node in &mut self.nodes {
                        node.refused_until = now + ms;
                    }
                }
                Planned::LimitedBurst(many) => self.limited_burst(many),
                Planned::RefuseLeader(ms) => self.nodes[leader].refused_until = now + ms,
                Planned::Deaf(share, ms) => self.some(share, |w| w.deaf_until = now + ms),
                Planned::Mute(share, ms) => self.some(share, |w| w.mute_until = now + ms),
                Planned::Cut(share, ms) => self.some(share, |w| w.cut_until = now + ms),
                Planned::CancelNow(most, hang) => self.cancel_running(most, hang),
                Planned::CancelAtEnd(share, ms) => self.cancels_at_end = (share, now + ms),
                Planned::LateWrites(share, ms) => self.late_writes = (share, now + ms),
                Planned::LostAnswers(share, ms) => self.lost_answers = (share, now + ms),
                Planned::CopiesForNext(share, ms) => self.copies_kept = (share, now + ms),
                Planned::KeepTo(bytes, changes) => self.kept_to = (bytes, changes),
                Planned::Lower(bytes, changes) => self.taken = (bytes, changes),
                Planned::Swarm(ms) => self.swarm_until = now + ms,
                Planned::LoseZone(share) => {
                    let bound = self
                        .workers
                        .values()
                        .find(|w| w.tasks.keys().any(|(t, _)| self.jobs[&t.job].spec.one_zone));
                    let zone = bound.map_or(ZONES[0], |w| w.zone);
                    self.some(share, |w| {
                        if w.zone == zone {
                            w.alive = false;
                            w.tasks.clear();
                        }
                    });
                }
            }
        }
    }

    /// Does something to a part of the machines.
    fn some(&mut self, share: f64, what: impl Fn(&mut Worker)) {
        for w in self.workers.values_mut() {
            if self.rng.random_bool(share) {
                what(w);
            }
        }
    }

    /// Users cancel jobs of which tasks run, of the limited team first, and machines of theirs hang.
    fn cancel_running(&mut self, most: usize, hang_ms: u64) {
        if self.now < self.store_down_until {
            return;
        }
        let on = |(t, _): &(TaskId, u64)| t.job;
        let mut running: Vec<JobId> =
            self.workers.values().flat_map(|w| w.tasks.keys().map(on)).collect();
        running.sort_by_key(|id| (self.jobs[id].spec.team != "limited", *id));
        running.dedup();
        running.retain(|id| matches!(self.jobs[id].state, State::Open { .. }));
        running.truncate(most);
        let mut hang = 8;
        for id in running {
            self.cancel(id);
            self.meets("cancelled while running");
            let until = self.now + hang_ms;
            let theirs = |w: &&mut Worker| w.tasks.keys().any(|(t, _)| t.job == id);
            for w in self.workers.values_mut().filter(theirs).take(hang) {
                w.hang_until = w.hang_until.max(until);
                hang -= 1;
            }
        }
    }

    /// A node stores the cancellation of an open job and tells the user.
    pub(super) fn cancel(&mut self, id: JobId) {
        self.epoch += 1;
        let (epoch, now) = (self.epoch, self.now);
        if let Some(j) = self.jobs.get_mut(&id) {
            j.state = State::Cancelled;
            j.revision = epoch;
            j.told_cancelled = Some(now);
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
        if self.chance(self.size.cancels) {
            let open: Vec<JobId> = self
                .jobs
                .iter()
                .filter(|(_, j)| matches!(j.state, State::Open { .. }))
                .map(|(id, _)| *id)
                .collect();
            if !open.is_empty() {
                let id = open[self.rng.random_range(0..open.len())];
                self.cancel(id);
            }
        }
        if self.now < self.swarm_until && self.chance(self.size.step as f64 / 250.0) {
            self.swarm();
        }
    }

    /// One of many small jobs; a quarter of them is cancelled, some at once.
    fn swarm(&mut self) {
        self.next_job += 1;
        let id = JobId(self.next_job);
        let spec = JobSpec { id, ..guest("swarm", 1, 0.25, 5.0) };
        self.accept(spec, 0.0);
        self.meets("swarm");
        // One that came a while ago, so that some wait, some run and some are just done.
        let ago = self.rng.random_range(0..60);
        let old = JobId(self.next_job.saturating_sub(ago));
        let open = self.jobs.get(&old).is_some_and(|j| matches!(j.state, State::Open { .. }));
        if open && self.chance(0.4) {
            self.cancel(old);
            self.meets("swarm cancelled");
        }
    }

    /// Jobs of one task each of the limited team, of which a quarter is cancelled in the same moment.
    fn limited_burst(&mut self, many: usize) {
        if self.now < self.store_down_until {
            return;
        }
        for i in 0..many {
            self.submit_limited(1, 1.0);
            if i % 4 == 0 {
                self.cancel(JobId(self.next_job));
                self.meets("burst cancelled");
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
        let open = |job: &Stored| matches!(job.state, State::Open { .. });
        let ids: Vec<JobId> =
            self.jobs.iter().filter(|(_, job)| open(job)).map(|(id, _)| *id).collect();
        for id in ids {
            self.cancel(id);
        }
    }

    pub(super) fn submit(&mut self) {
        self.submit_with(0.08);
    }

    fn submit_with(&mut self, mistakes: f64) {
        self.next_job += 1;
        let id = JobId(self.next_job);
        let (saving, task_cpus) = (self.size.saving, self.size.task_cpus);
        let rng = &mut self.rng;
        let cpus = f64::from(rng.random_range(1..=task_cpus));
        let zone =
            rng.random_bool(0.2).then(|| ZONES[rng.random_range(0..ZONES.len())].to_string());
        let spec = JobSpec {
            id,
            class: if rng.random_bool(0.5) { "c" } else { "d" }.into(),
            team: if rng.random_bool(0.5) { "free".into() } else { "limited".into() },
            priority: Priority::Normal,
            tasks: rng.random_range(1..=self.size.tasks),
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
            checkpoint_s: if rng.random_bool(saving) { 3.0 } else { 0.0 },
            save_s: 1.0,
            deadline_s: rng.random_bool(0.4).then(|| rng.random_range(10.0..80.0)),
        };
        let mut spec = spec;
        if spec.one_zone {
            spec.spread = false;
        }
        if self.size.gangs > 0.0 && self.rng.random_bool(self.size.gangs) {
            make_gang(&mut spec, self.size.limit);
        }
        self.accept(spec, mistakes);
    }

    /// What a guest brings: idle-time work of long tasks, an array of very many, single small tasks.
    pub(super) fn guests(&mut self) {
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
                revision: self.epoch,
                told_cancelled: None,
                told_done: false,
                mistaken,
                submitted_at: self.now,
                begun: None,
                unschedulable_since: None,
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
                if !matches!(
                    t.phase,
                    TaskPhase::Waiting | TaskPhase::Running | TaskPhase::Checkpointing
                ) {
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

    /// Once the troubles are over, no job waits for long while a machine that fits has room and its
    /// team is under its limit: what leaves people waiting for nothing.
    pub(super) fn check_waiting(&mut self) {
        if self.now < self.size.troubled + SETTLED || self.now % 1_000 != 0 {
            return;
        }
        let room = |w: &Worker| {
            let used = |s: &BTreeMap<(TaskId, u64), WTask>| -> f64 {
                let live = s.iter().filter(|(_, t)| !matches!(t.phase, TaskPhase::Ended(_)));
                live.map(|((t, _), _)| self.jobs[&t.job].spec.demand.cpus).sum()
            };
            let cpus = types().iter().find(|t| t.name == w.kind).map_or(0.0, |t| t.cpus);
            cpus - used(&w.tasks)
        };
        let well =
            |w: &&Worker| w.alive && w.agent_epoch > 0 && !w.sick && self.now >= w.hang_until;
        let rooms: Vec<(&Worker, f64)> =
            self.workers.values().filter(well).map(|w| (w, room(w))).collect();
        let live: Vec<(TaskId, &str, f64)> = self
            .workers
            .values()
            .flat_map(|w| w.tasks.iter().map(move |((t, _), s)| (t, s, w.zone)))
            .filter(|(_, s, _)| !matches!(s.phase, TaskPhase::Ended(_)))
            .map(|(t, _, zone)| (*t, zone, self.jobs[&t.job].spec.demand.cpus))
            .collect();
        let has_team_limit = |t: &JobId| self.jobs[t].spec.team == "limited";
        let here: f64 = live.iter().filter(|(t, ..)| has_team_limit(&t.job)).map(|(.., c)| c).sum();
        let used = here + self.taken_elsewhere;
        let mut passed = BTreeSet::new();
        for (id, j) in &self.jobs {
            if !matches!(j.state, State::Open { .. }) || j.mistaken {
                continue;
            }
            let mine: Vec<_> = live.iter().filter(|(t, ..)| t.job == *id).collect();
            let done = |index| self.completed.contains(&TaskId { job: *id, index });
            let over = (0..j.spec.tasks).filter(|i| done(*i)).count();
            if mine.len() + over >= j.spec.tasks as usize {
                continue;
            }
            if j.spec.gang {
                let cpus = j.spec.demand.cpus * f64::from(j.spec.tasks);
                let may =
                    j.spec.team != "limited" || rules::within_limit(used, cpus, self.size.limit);
                if mine.is_empty() && may && self.gang_fits(&j.spec, &rooms) {
                    passed.insert(*id);
                }
                continue;
            }
            let cpus = j.spec.demand.cpus;
            let may = j.spec.team != "limited" || rules::within_limit(used, cpus, self.size.limit);
            let fits = rooms.iter().any(|(w, free)| {
                let zones = mine.iter().map(|(_, zone, _)| *zone);
                *free + 1e-6 >= cpus && rules::may_start(&j.spec, w.kind, w.zone, w.spot, zones)
            });
            if may && fits {
                passed.insert(*id);
            }
        }
        let now = self.now;
        let mut bad = Vec::new();
        for (id, j) in &mut self.jobs {
            if !passed.contains(id) {
                j.unschedulable_since = None;
            } else if now > *j.unschedulable_since.get_or_insert(now) + WAITS_MOST {
                bad.push(format!("{id} while a machine has room"));
            }
        }
        for what in bad {
            self.violate("waited", what);
        }
    }
}
