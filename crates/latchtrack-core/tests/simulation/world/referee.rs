//! The referee: the rules that are checked after each step.

use super::*;

/// ms after the last trouble begins until all of them are over, and that a job may wait with room.
const FAULTS_OVER_MS: u64 = 60_000;

const MAX_WAIT_MS: u64 = 90_000;

impl World {
    pub fn jobs_done(&self) -> usize {
        self.jobs.values().filter(|j| matches!(j.state, JobState::Done)).count()
    }

    pub fn tasks_done(&self) -> usize {
        self.completed.len()
    }

    pub fn unfinished(&self) -> Vec<String> {
        let open = self
            .jobs
            .iter()
            .filter(|(_, j)| matches!(j.state, JobState::Open { .. }) && !j.always_fails);
        open.map(|(id, _)| id.to_string()).collect()
    }

    /// Classes, teams and largest jobs of a class of which less than half was served, and largest
    /// jobs that had not begun within four minutes: what fails a day in the users' eyes.
    pub fn poorly_served(&self) -> Vec<String> {
        type Group<'a> = BTreeMap<String, Vec<&'a StoredJob>>;
        let mut groups = Group::new();
        let mut bad = Vec::new();
        let counted = |j: &&StoredJob| !j.always_fails && !matches!(j.state, JobState::Cancelled);
        for j in self.jobs.values().filter(counted) {
            groups.entry(format!("team {}", j.spec.team)).or_default().push(j);
            groups.entry(format!("class {}", j.spec.class)).or_default().push(j);
        }
        for class in ["c", "d", "idle", "huge"] {
            let Some(all) = groups.get(&format!("class {class}")) else { continue };
            let mut all = all.clone();
            all.sort_by_key(|j| std::cmp::Reverse(j.spec.tasks));
            all.truncate(all.len().div_ceil(10));
            for j in &all {
                let begun = j.begun.unwrap_or(u64::MAX);
                if begun > j.submitted_at + 240_000 && self.now > j.submitted_at + 240_000 {
                    bad.push(format!("{} has not begun in time", j.spec.id));
                }
            }
            groups.insert(format!("largest of {class}"), all);
        }
        for (name, jobs) in groups {
            let done = jobs.iter().filter(|j| matches!(j.state, JobState::Done)).count();
            if done * 2 < jobs.len() {
                bad.push(format!("{name}: {done} of {}", jobs.len()));
            }
        }
        bad
    }

    pub(super) fn violate(&mut self, rule: &str, what: String) {
        self.violations.push(format!("{rule}: {what} at {}", self.now));
    }

    /// Users read the records, as any node would show them.
    pub(super) fn tell_users(&mut self) {
        let mut bad = Vec::new();
        for (id, j) in &mut self.jobs {
            match j.state {
                JobState::Done => {
                    if j.cancel_confirmed_at.is_some() {
                        bad.push(("went_back", format!("{id} cancelled, then done")));
                    }
                    j.done_confirmed = true;
                    let all = (0..j.spec.tasks)
                        .all(|index| self.completed.contains(&TaskId { job: *id, index }));
                    if !all {
                        bad.push(("not_done", format!("{id}")));
                    }
                }
                _ if j.done_confirmed => {
                    bad.push(("went_back", format!("{id} is not done any more")))
                }
                JobState::Open { stored_at } if stored_at > self.now => {
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
                let told = self.jobs.get(&task.job).and_then(|j| j.cancel_confirmed_at);
                if told.is_some_and(|at| self.now > at + CANCEL_MS) {
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
        if self.now < self.size.fault_period_ms + FAULTS_OVER_MS || self.now % 1_000 != 0 {
            return;
        }
        let room = |w: &Worker| {
            let used = |s: &BTreeMap<(TaskId, u64), WorkerTask>| -> f64 {
                let live = s.iter().filter(|(_, t)| !matches!(t.phase, TaskPhase::Ended(_)));
                live.map(|((t, _), _)| self.jobs[&t.job].spec.demand.cpus).sum()
            };
            let cpus = types().iter().find(|t| t.name == w.machine_type).map_or(0.0, |t| t.cpus);
            cpus - used(&w.tasks)
        };
        let well = |w: &&Worker| {
            w.alive && w.agent_epoch > 0 && !w.fails_tasks && self.now >= w.hung_until
        };
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
        let used = here + self.claimed_elsewhere;
        let mut passed = BTreeSet::new();
        for (id, j) in &self.jobs {
            if !matches!(j.state, JobState::Open { .. }) || j.always_fails {
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
                let may = j.spec.team != "limited"
                    || rules::within_limit(used, cpus, self.size.limited_team_cpus);
                if mine.is_empty() && may && self.gang_fits(&j.spec, &rooms) {
                    passed.insert(*id);
                }
                continue;
            }
            let cpus = j.spec.demand.cpus;
            let may = j.spec.team != "limited"
                || rules::within_limit(used, cpus, self.size.limited_team_cpus);
            let fits = rooms.iter().any(|(w, free)| {
                let zones = mine.iter().map(|(_, zone, _)| *zone);
                *free + 1e-6 >= cpus
                    && rules::may_start(&j.spec, w.machine_type, w.zone, w.spot, zones)
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
            } else if now > *j.unschedulable_since.get_or_insert(now) + MAX_WAIT_MS {
                bad.push(format!("{id} while a machine has room"));
            }
        }
        for what in bad {
            self.violate("waited", what);
        }
    }

    /// The referee sees a task start.
    pub(super) fn check_start(&mut self, name: &str, task: TaskId) {
        let now = self.now;
        let Some(j) = self.jobs.get_mut(&task.job) else { return };
        if !j.spec.gang {
            j.begun.get_or_insert(now);
        }
        let spec = j.spec.clone();
        let on = |t: &WorkerTask| {
            matches!(t.phase, TaskPhase::Waiting | TaskPhase::Running | TaskPhase::Checkpointing)
        };
        let mut zones = Vec::new();
        let mut used = self.used_elsewhere;
        let mut bad = Vec::new();
        for (other, w) in &self.workers {
            for ((t, _), state) in w.tasks.iter().filter(|(_, t)| on(t)) {
                if *t == task && other != name {
                    bad.push(("ran_twice", format!("{task} on {other} and {name}")));
                } else if t.job == task.job && *t != task {
                    zones.push(w.zone);
                }
                let team = self.jobs.get(&t.job).map(|j| (j.spec.team.clone(), &j.spec.demand));
                if team.as_ref().is_some_and(|(n, _)| *n == spec.team) {
                    used += team.map_or(0.0, |(_, d)| d.cpus);
                }
                let _ = state;
            }
        }
        let w = &self.workers[name];
        if !rules::may_start(&spec, w.machine_type, w.zone, w.spot, zones.into_iter()) {
            bad.push(("wrong_place", format!("{task} on {name}")));
        }
        if spec.team == "limited"
            && !rules::within_limit(used, spec.demand.cpus, self.size.limited_team_cpus)
        {
            bad.push(("quota", format!("{task}: {used} in use")));
        }
        for (rule, what) in bad {
            self.violate(rule, what);
        }
    }
}
