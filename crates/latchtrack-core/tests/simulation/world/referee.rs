//! The referee checks the rules against the tasks that actually run and the records that users see.

use std::collections::{BTreeMap, BTreeSet};

use latchtrack_core::job::{JobId, JobSpec, TaskId};
use latchtrack_core::rules;

use super::state::{JobState, StoredJob, Worker};
use super::{World, CANCEL_MS, CPU_TOLERANCE};

/// Time after the fault period by which all random faults have ended, ms.
const FAULTS_OVER_MS: u64 = 60_000;
/// Time that a job may wait although a machine has free capacity for it, ms.
const MAX_WAIT_MS: u64 = 90_000;
/// Time between two checks of waiting jobs, ms.
const WAIT_CHECK_INTERVAL_MS: u64 = 1_000;
/// Time within which the largest jobs of a class must start, ms.
const MAX_START_MS: u64 = 240_000;
/// One in this many jobs of a class counts as one of its largest.
const LARGEST_JOBS_DIVISOR: usize = 10;
/// The team that has a limit.
const LIMITED_TEAM: &str = "limited";

/// A live task, with the data that the rules need.
struct LiveTask {
    task: TaskId,
    zone: &'static str,
    cpus: f64,
}

/// The free and used capacity of all machines.
struct Capacity<'a> {
    /// Free CPUs of each healthy machine.
    free: Vec<(&'a Worker, f64)>,
    live: Vec<LiveTask>,
    /// CPUs of the limited team's live tasks in all cells.
    limited_team_cpus: f64,
}

impl World {
    /// Records a violation of a rule, which ends the run.
    pub(super) fn report_violation(&mut self, rule: &str, what: String) {
        self.violations.push(format!("{rule}: {what} at {}", self.now));
    }

    /// Number of jobs that are done.
    pub fn jobs_done(&self) -> usize {
        self.jobs.values().filter(|job| matches!(job.state, JobState::Done)).count()
    }

    /// Number of tasks that have completed.
    pub fn tasks_done(&self) -> usize {
        self.completed.len()
    }

    /// Ids of the open jobs, except those that always fail.
    pub fn unfinished(&self) -> Vec<String> {
        let open = self.jobs.iter().filter(|(_, job)| job.is_open() && !job.always_fails);
        open.map(|(id, _)| id.to_string()).collect()
    }

    /// Describes each team, each class and each class's largest jobs of which less than half are
    /// done, and each largest job that had not started within four minutes.
    pub fn poorly_served(&self) -> Vec<String> {
        let mut groups: BTreeMap<String, Vec<&StoredJob>> = BTreeMap::new();
        let mut failures = Vec::new();
        let counts =
            |job: &&StoredJob| !job.always_fails && !matches!(job.state, JobState::Cancelled);
        for job in self.jobs.values().filter(counts) {
            groups.entry(format!("team {}", job.spec.team)).or_default().push(job);
            groups.entry(format!("class {}", job.spec.class)).or_default().push(job);
        }
        for class in ["c", "d", "idle", "huge"] {
            let Some(all) = groups.get(&format!("class {class}")) else { continue };
            let largest = largest_jobs(all);
            for job in &largest {
                let (started_at, due) =
                    (job.started_at.unwrap_or(u64::MAX), job.submitted_at + MAX_START_MS);
                if started_at > due && self.now > due {
                    failures.push(format!("{} did not start in time", job.spec.id));
                }
            }
            groups.insert(format!("largest of {class}"), largest);
        }
        for (name, jobs) in groups {
            let done = jobs.iter().filter(|job| matches!(job.state, JobState::Done)).count();
            if done * 2 < jobs.len() {
                failures.push(format!("{name}: {done} of {} jobs done", jobs.len()));
            }
        }
        failures
    }

    /// Checks the job records as a user reads them from any node: a done job has all tasks
    /// completed and stays done, and a cancelled job never becomes done.
    pub(super) fn check_user_view(&mut self) {
        let mut broken = Vec::new();
        for (id, job) in &mut self.jobs {
            match job.state {
                JobState::Done => {
                    if job.cancel_confirmed_at.is_some() {
                        broken.push(("went_back", format!("{id} cancelled, then done")));
                    }
                    job.done_confirmed = true;
                    let mut tasks = (0..job.spec.tasks).map(|index| TaskId { job: *id, index });
                    if !tasks.all(|task| self.completed.contains(&task)) {
                        broken.push(("not_done", format!("{id} is done, but not all its tasks")));
                    }
                }
                _ if job.done_confirmed => {
                    broken.push(("went_back", format!("{id} is no longer done")));
                }
                JobState::Open { stored_at } if stored_at > self.now => {
                    broken.push(("went_back", format!("{id} was stored in the future")));
                }
                _ => {}
            }
        }
        for (rule, what) in broken {
            self.report_violation(rule, what);
        }
    }

    /// Checks a task that starts on a machine: it runs nowhere else, may be placed there, and stays
    /// within its team's limit.
    pub(super) fn check_start(&mut self, name: &str, task: TaskId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if !job.spec.gang {
            job.started_at.get_or_insert(now);
        }
        let spec = job.spec.clone();
        let mut zones = Vec::new();
        let mut used = self.used_elsewhere;
        let mut broken = Vec::new();
        for (other, worker) in &self.workers {
            let started = worker.tasks.iter().filter(|(_, state)| state.is_started());
            for ((started, _), _) in started {
                if *started == task && other != name {
                    broken.push(("ran_twice", format!("{task} on {other} and {name}")));
                } else if started.job == task.job && *started != task {
                    zones.push(worker.zone);
                }
                let job = self.jobs.get(&started.job);
                if let Some(job) = job.filter(|job| job.spec.team == spec.team) {
                    used += job.spec.demand.cpus;
                }
            }
        }
        let worker = &self.workers[name];
        let Worker { machine_type, zone, spot, .. } = *worker;
        if !rules::may_start(&spec, machine_type, zone, spot, zones.into_iter()) {
            broken.push(("wrong_place", format!("{task} on {name}")));
        }
        let is_limited = spec.team == LIMITED_TEAM;
        let limit = self.size.limited_team_cpus;
        if is_limited && !rules::within_limit(used, spec.demand.cpus, limit) {
            broken.push(("quota", format!("{task} started with {used} CPUs in use")));
        }
        for (rule, what) in broken {
            self.report_violation(rule, what);
        }
    }

    /// Checks that no task runs [`CANCEL_MS`] after the cancellation of its job was confirmed.
    pub(super) fn check_cancelled(&mut self) {
        let mut broken = Vec::new();
        for (name, worker) in &self.workers {
            for ((task, _), state) in &worker.tasks {
                if !state.is_started() {
                    continue;
                }
                let confirmed_at = self.jobs.get(&task.job).and_then(|job| job.cancel_confirmed_at);
                if confirmed_at.is_some_and(|at| self.now > at + CANCEL_MS) {
                    broken.push(format!("{task} on {name}"));
                }
            }
        }
        for what in broken {
            self.report_violation("ran_cancelled", what);
        }
    }

    /// Checks, once the faults have ended, that no job waits for longer than [`MAX_WAIT_MS`]
    /// although it fits on a machine with free capacity and its team is under its limit.
    pub(super) fn check_waiting(&mut self) {
        let faults_over_at = self.size.fault_period_ms + FAULTS_OVER_MS;
        if self.now < faults_over_at || self.now % WAIT_CHECK_INTERVAL_MS != 0 {
            return;
        }
        let capacity = self.capacity();
        let could_start: BTreeSet<JobId> = self
            .jobs
            .iter()
            .filter(|(id, job)| self.could_start(**id, job, &capacity))
            .map(|(id, _)| *id)
            .collect();
        let now = self.now;
        let mut broken = Vec::new();
        for (id, job) in &mut self.jobs {
            if !could_start.contains(id) {
                job.unschedulable_since = None;
            } else if now > *job.unschedulable_since.get_or_insert(now) + MAX_WAIT_MS {
                broken.push(format!("{id} although a machine has free capacity"));
            }
        }
        for what in broken {
            self.report_violation("waited", what);
        }
    }

    fn capacity(&self) -> Capacity<'_> {
        let is_healthy = |worker: &&Worker| {
            worker.alive
                && worker.agent_epoch > 0
                && !worker.fails_tasks
                && self.now >= worker.hung_until
        };
        let healthy = self.workers.values().filter(is_healthy);
        let free = healthy.map(|worker| (worker, self.free_cpus(worker))).collect();
        let tasks = self
            .workers
            .values()
            .flat_map(|worker| worker.tasks.iter().map(move |task| (worker.zone, task)));
        let live: Vec<LiveTask> = tasks
            .filter(|(_, (_, state))| state.is_live())
            .map(|(zone, ((task, _), _))| LiveTask {
                task: *task,
                zone,
                cpus: self.jobs[&task.job].spec.demand.cpus,
            })
            .collect();
        let is_limited = |live: &&LiveTask| self.jobs[&live.task.job].spec.team == LIMITED_TEAM;
        let here: f64 = live.iter().filter(is_limited).map(|live| live.cpus).sum();
        Capacity { free, live, limited_team_cpus: here + self.claimed_elsewhere }
    }

    /// Whether a task of a job, or the whole gang, waits although it fits.
    fn could_start(&self, id: JobId, job: &StoredJob, capacity: &Capacity) -> bool {
        if !job.is_open() || job.always_fails {
            return false;
        }
        let spec = &job.spec;
        let live: Vec<&LiveTask> =
            capacity.live.iter().filter(|live| live.task.job == id).collect();
        let is_done = |index: &u32| self.completed.contains(&TaskId { job: id, index: *index });
        let done = (0..spec.tasks).filter(is_done).count();
        if live.len() + done >= spec.tasks as usize {
            return false;
        }
        if spec.gang {
            let cpus = spec.demand.cpus * f64::from(spec.tasks);
            return live.is_empty()
                && self.is_within_limit(spec, cpus, capacity)
                && self.gang_fits(spec, &capacity.free);
        }
        let cpus = spec.demand.cpus;
        let fits = |(worker, free): &(&Worker, f64)| {
            let zones = live.iter().map(|live| live.zone);
            let Worker { machine_type, zone, spot, .. } = **worker;
            *free + CPU_TOLERANCE >= cpus && rules::may_start(spec, machine_type, zone, spot, zones)
        };
        self.is_within_limit(spec, cpus, capacity) && capacity.free.iter().any(fits)
    }

    fn is_within_limit(&self, spec: &JobSpec, cpus: f64, capacity: &Capacity) -> bool {
        let limit = self.size.limited_team_cpus;
        spec.team != LIMITED_TEAM || rules::within_limit(capacity.limited_team_cpus, cpus, limit)
    }
}

/// The tenth of the jobs with the most tasks, rounded up.
fn largest_jobs<'a>(jobs: &[&'a StoredJob]) -> Vec<&'a StoredJob> {
    let mut largest = jobs.to_vec();
    largest.sort_by_key(|job| std::cmp::Reverse(job.spec.tasks));
    largest.truncate(largest.len().div_ceil(LARGEST_JOBS_DIVISOR));
    largest
}
