//! Chooses the machines for the tasks of a job, and issues attempt numbers.
//!
//! Candidates are ranked by cost, machine size, price and the score of the paper. Then the number
//! of tasks for each is chosen, and finally the tasks are assigned.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::cycle_state::{SchedulingCycle, TasksAt};
use super::log_events::LogEvent;
use super::messages::Effect;
use super::Scheduler;
use crate::constants::{ATTEMPT_BITS, STARVATION_MS};
use crate::job::{Assignment, Job, JobId, JobSpec, TaskId};
use crate::machine::{TaskPhase, TaskRun};
use crate::placement::{self, FreeCapacity};
use crate::rules;
use crate::Millis;

/// Issues attempt numbers. They contain the fencing token, so no two leaders issue the same number.
#[derive(Clone, Debug)]
pub(super) struct AttemptNumbers {
    /// Fencing token of the term.
    token: u64,
    /// The last number issued in the term, without the token.
    last: u64,
}

impl AttemptNumbers {
    /// Starts the numbers of the term with this fencing token.
    pub fn new(token: u64) -> Self {
        AttemptNumbers { token, last: 0 }
    }

    fn next(&mut self) -> u64 {
        self.last += 1;
        (self.token << ATTEMPT_BITS) | self.last
    }

    /// Whether an attempt number was issued in this term.
    pub fn is_of_this_term(&self, attempt: u64) -> bool {
        attempt >> ATTEMPT_BITS == self.token
    }
}

/// The rank of a candidate machine. Compared field by field; the smallest goes first.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct CandidateRank {
    /// Cost of placing the job there, from the image fetch or the load of the machine.
    cost: f64,
    /// CPUs of the whole machine, so that small machine types go first.
    total_cpus: f64,
    /// Whether it is an on-demand machine: spot machines go first.
    is_on_demand: bool,
    /// Score by Eq. 8 of the paper: the machine with the least free resources goes first.
    score: f64,
    /// Index of the capacity in the cycle.
    index: usize,
}

impl Scheduler {
    /// Returns the ready capacities that a job may use, regardless of its size, with their indices
    /// in the cycle.
    pub(super) fn usable_capacities<'a>(
        &'a self,
        now: Millis,
        job: &'a Job,
        cycle: &'a SchedulingCycle,
    ) -> impl Iterator<Item = (usize, &'a FreeCapacity)> {
        let spec = &*job.spec;
        cycle.capacities().iter().enumerate().filter(move |(_, capacity)| {
            capacity.ready
                && placement::is_allowed(
                    spec,
                    &capacity.machine_type,
                    &capacity.zone,
                    capacity.spot,
                )
                && !capacity
                    .machine
                    .as_ref()
                    .is_some_and(|machine| self.avoids_machine(now, job, machine))
        })
    }

    /// Places tasks of a job on machines that are up, in whole slices unless all `wanted` tasks
    /// fit. Returns how many were placed.
    pub(super) fn place_on_ready_machines(
        &mut self,
        now: Millis,
        spec: &Arc<JobSpec>,
        wanted: u32,
        cycle: &mut SchedulingCycle,
    ) -> u32 {
        let Some(job) = self.jobs.get(&spec.id) else { return 0 };
        let zones_in_use = self.zones_in_use(job);
        let mut candidates = self.rank_candidates(now, job, wanted, cycle);
        if spec.one_zone {
            let zone = zones_in_use.first().cloned().or_else(|| {
                let capacities = candidates.iter().map(|index| &cycle.capacities()[*index]);
                zone_with_most_capacity(capacities, spec)
            });
            candidates.retain(|index| Some(&cycle.capacities()[*index].zone) == zone.as_ref());
        }
        // Counted before placing anything, since a slice starts as a whole.
        let counts = self.choose_counts(now, job, zones_in_use, candidates, wanted, cycle);
        let found: u32 = counts.iter().map(|count| count.tasks).sum();
        let slice = self.slice_size(spec);
        let placed = if found == wanted { found } else { found / slice * slice };
        self.assign_counts(now, spec, counts, placed, cycle);
        self.count_usage(spec, placed, cycle);
        placed
    }

    /// Returns the zones of a job's assigned tasks, one entry per task. Empty if they don't
    /// restrict where other tasks may start.
    pub(super) fn zones_in_use(&self, job: &Job) -> Vec<Arc<str>> {
        if !job.spec.is_zone_constrained() {
            return Vec::new();
        }
        job.placed
            .values()
            .filter_map(|assignment| self.inventory.get(&assignment.machine))
            .map(|machine| machine.zone.clone())
            .collect()
    }

    /// Returns the indices of the capacities that can take at least one task of the job, best
    /// first. Limited to `wanted` candidates unless zones restrict the choice.
    fn rank_candidates(
        &self,
        now: Millis,
        job: &Job,
        wanted: u32,
        cycle: &SchedulingCycle,
    ) -> Vec<usize> {
        let spec = &job.spec;
        let waits_for_image = self.waits_for_image_anywhere(now, job);
        let weights = self.policy.weights;
        let mut candidates: Vec<CandidateRank> = self
            .usable_capacities(now, job, cycle)
            .filter(|(_, capacity)| self.tasks_admitted(now, job, capacity) > 0)
            .filter(|(_, capacity)| !(waits_for_image && capacity.must_fetch(&spec.image)))
            .map(|(index, capacity)| CandidateRank {
                cost: self.placement_cost(spec, capacity),
                total_cpus: capacity.total_cpus,
                is_on_demand: !capacity.spot,
                score: placement::score(&capacity.free, cycle.total(), &weights),
                index,
            })
            .collect();
        let by_rank =
            |a: &CandidateRank, b: &CandidateRank| a.partial_cmp(b).unwrap_or(Ordering::Equal);
        if !spec.is_zone_constrained() && candidates.len() > wanted as usize {
            candidates.select_nth_unstable_by(wanted as usize, by_rank);
            candidates.truncate(wanted as usize);
        }
        candidates.sort_by(by_rank);
        candidates.into_iter().map(|candidate| candidate.index).collect()
    }

    /// Returns how many tasks each candidate takes, in the given order, up to `wanted` in total. A
    /// job that must be spread gets at most its share in each zone.
    fn choose_counts(
        &self,
        now: Millis,
        job: &Job,
        zones_in_use: Vec<Arc<str>>,
        candidates: Vec<usize>,
        wanted: u32,
        cycle: &SchedulingCycle,
    ) -> Vec<TasksAt> {
        let spec = &job.spec;
        let mut tasks_in_zone: HashMap<Arc<str>, u32> = HashMap::new();
        for zone in zones_in_use {
            *tasks_in_zone.entry(zone).or_default() += 1;
        }
        let mut counts: Vec<TasksAt> = Vec::new();
        let mut remaining = wanted;
        for index in candidates {
            let capacity = &cycle.capacities()[index];
            let mut tasks = self.tasks_admitted(now, job, capacity).min(remaining);
            if spec.spread {
                let here = tasks_in_zone.entry(capacity.zone.clone()).or_default();
                tasks = tasks.min(rules::max_tasks_per_zone(spec.tasks).saturating_sub(*here));
                *here += tasks;
            }
            if tasks > 0 {
                counts.push(TasksAt { index, tasks });
                remaining -= tasks;
            }
            if remaining == 0 {
                break;
            }
        }
        counts
    }

    /// Assigns `tasks` tasks to the counted candidates, in their order.
    fn assign_counts(
        &mut self,
        now: Millis,
        spec: &Arc<JobSpec>,
        counts: Vec<TasksAt>,
        tasks: u32,
        cycle: &mut SchedulingCycle,
    ) {
        let mut remaining = tasks;
        for TasksAt { index, tasks } in counts {
            let here = tasks.min(remaining);
            if here == 0 {
                break;
            }
            remaining -= here;
            if let Some(machine) = cycle.take(index, &spec.demand, here) {
                self.assign(now, spec, &machine, here);
            }
        }
    }

    /// Assigns the next `count` waiting tasks of a job to a machine.
    pub(super) fn assign(&mut self, now: Millis, spec: &Arc<JobSpec>, machine: &str, count: u32) {
        let id = spec.id;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if !self.inventory.contains(machine) {
            return;
        }
        let age = now.saturating_sub(job.submitted_at);
        if age > STARVATION_MS && job.never_started() {
            self.effects.push(Effect::Log(LogEvent::StarvingJobStarted { job: id, age_ms: age }));
        }
        let tasks = job.take(count);
        self.assign_tasks(id, spec, machine, &tasks);
    }

    /// Assigns tasks to a machine. They must have been taken from their job.
    pub(super) fn assign_tasks(
        &mut self,
        id: JobId,
        spec: &Arc<JobSpec>,
        machine: &str,
        tasks: &[u32],
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(m) = self.inventory.get_mut(machine) else { return };
        // All tasks of a gang share one attempt number.
        let mut gang_attempt = job.placed.values().next().map(|p| p.attempt).filter(|_| spec.gang);
        job.attempt_ended_at = None;
        for index in tasks.iter().copied() {
            let attempt = gang_attempt.unwrap_or_else(|| self.attempt_numbers.next());
            gang_attempt = spec.gang.then_some(attempt);
            let task = TaskId { job: id, index };
            job.place(index, Assignment { machine: m.name.clone(), attempt });
            m.runs.insert((task, attempt), assigned_run(task, attempt, spec));
        }
        m.idle_since = None;
        self.dispatcher.wake(machine);
        self.quota.note_launched(spec, tasks.len() as u32);
    }
}

/// Creates a run for which nothing has been sent to its machine yet.
fn assigned_run(task: TaskId, attempt: u64, spec: &Arc<JobSpec>) -> TaskRun {
    TaskRun {
        task,
        attempt,
        spec: Some(spec.clone()),
        phase: TaskPhase::Assigned,
        stop: None,
        launch_sends: 0,
        first_launch_at: 0,
        direct_launch_token: None,
        running_since: None,
    }
}

/// Returns the zone in which most tasks of a job fit; `None` if none fits anywhere.
pub(super) fn zone_with_most_capacity<'a>(
    capacities: impl Iterator<Item = &'a FreeCapacity>,
    spec: &JobSpec,
) -> Option<Arc<str>> {
    let mut tasks_by_zone: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
    for capacity in capacities {
        *tasks_by_zone.entry(&capacity.zone).or_default() +=
            u64::from(capacity.fitting_tasks(&spec.demand));
    }
    let (zone, tasks) = tasks_by_zone.into_iter().max_by_key(|(_, tasks)| *tasks)?;
    (tasks > 0).then(|| zone.clone())
}
