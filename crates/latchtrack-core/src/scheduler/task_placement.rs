//! Which machines take the tasks of a job, and the numbers of their attempts.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::cycle_state::SchedulingCycle;
use super::log_events::LogEvent;
use super::messages::Effect;
use super::Scheduler;
use crate::constants::{ATTEMPT_BITS, STARVATION_MS};
use crate::job::{Assignment, Job, JobId, JobSpec, TaskId};
use crate::machine::{TaskPhase, TaskRun};
use crate::placement;
use crate::placement::FreeCapacity;
use crate::rules;
use crate::Millis;

impl Scheduler {
    /// The rooms in which a job may start tasks, with their places in the round.
    pub(super) fn admits<'a>(
        &'a self,
        now: Millis,
        job: &'a Job,
        rooms: &'a [FreeCapacity],
    ) -> impl Iterator<Item = (usize, &'a FreeCapacity)> {
        let spec = &*job.spec;
        rooms.iter().enumerate().filter(move |(_, r)| {
            r.ready
                && placement::allowed(spec, &r.kind, &r.zone, r.spot)
                && !r.machine.as_ref().is_some_and(|m| self.avoids_machine(now, job, m))
        })
    }

    /// Places whole slices on machines that are up, by rising score; returns how many tasks.
    pub(super) fn place_on_ready(
        &mut self,
        now: Millis,
        id: JobId,
        spec: &Arc<JobSpec>,
        want: u32,
        cycle: &mut SchedulingCycle,
    ) -> u32 {
        let Some(job) = self.jobs.get(&id) else { return 0 };
        let live = self.zones_in_use(job);
        let mut candidates = self.rank_candidates(now, job, want, cycle);
        if spec.one_zone {
            let zone = live
                .first()
                .cloned()
                .or_else(|| zone_with_most_capacity(candidates.iter().copied(), spec, cycle));
            candidates.retain(|i| Some(&cycle.rooms[*i].zone) == zone.as_ref());
        }
        // How many on which machine, before anything is placed: a slice starts whole.
        let mut in_zone: HashMap<Arc<str>, u32> = HashMap::new();
        for zone in live {
            *in_zone.entry(zone).or_default() += 1;
        }
        let mut counts: Vec<(usize, u32)> = Vec::new();
        let mut left = want;
        for i in candidates {
            let r = &cycle.rooms[i];
            let mut n = self.tasks_admitted(now, job, r).min(left);
            if spec.spread {
                let here = in_zone.entry(r.zone.clone()).or_default();
                n = n.min(rules::zone_share(spec.tasks).saturating_sub(*here));
                *here += n;
            }
            if n > 0 {
                counts.push((i, n));
                left -= n;
            }
            if left == 0 {
                break;
            }
        }
        let found = want - left;
        let slice = self.slice_size(spec);
        let mut n = if left == 0 { found } else { found / slice * slice };
        let placed = n;
        for (i, most) in counts {
            let here = most.min(n);
            if here == 0 {
                break;
            }
            n -= here;
            cycle.rooms[i].take(&spec.demand, here);
            if let Some(machine) = cycle.rooms[i].machine.clone() {
                self.assign(now, id, spec, &machine, here);
            }
        }
        self.count_usage(spec, placed, cycle);
        placed
    }

    /// The zones of a job's live tasks, one entry a task, if they have a say in where others may start.
    pub(super) fn zones_in_use(&self, job: &Job) -> Vec<Arc<str>> {
        if !job.spec.is_zone_constrained() {
            return Vec::new();
        }
        let on = job.placed.values().filter_map(|p| self.inventory.get(&p.machine));
        on.map(|m| m.zone.clone()).collect()
    }

    /// Rooms that take a task of the job at least, the best first: with its image, the smallest types,
    /// spot machines, then by rising score. Without a say of the zones the first so many are enough.
    fn rank_candidates(
        &self,
        now: Millis,
        job: &Job,
        want: u32,
        cycle: &SchedulingCycle,
    ) -> Vec<usize> {
        let spec = &job.spec;
        let cold = |r: &FreeCapacity| !r.images.contains(&spec.image);
        let cost = |r: &FreeCapacity| self.placement_cost(spec, r);
        let waits = self.waits_for_image_anywhere(now, job);
        let weights = self.policy.weights;
        type Key = (f64, f64, bool, f64);
        let mut keyed: Vec<(Key, usize)> = self
            .admits(now, job, &cycle.rooms)
            .filter(|(_, r)| self.tasks_admitted(now, job, r) > 0)
            .filter(|(_, r)| !(waits && !r.may_hold && cold(r)))
            .map(|(i, r)| {
                let score = placement::score(&r.free, &cycle.total, &weights);
                ((cost(r), r.size, !r.spot, score), i)
            })
            .collect();
        let by_key = |a: &(Key, usize), b: &(Key, usize)| {
            a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal)
        };
        if !spec.is_zone_constrained() && keyed.len() > want as usize {
            keyed.select_nth_unstable_by(want as usize, by_key);
            keyed.truncate(want as usize);
        }
        keyed.sort_by(by_key);
        keyed.into_iter().map(|(_, i)| i).collect()
    }

    pub(super) fn assign(
        &mut self,
        now: Millis,
        id: JobId,
        spec: &Arc<JobSpec>,
        machine: &str,
        n: u32,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if !self.inventory.contains(machine) {
            return;
        }
        let age = now.saturating_sub(job.submitted_at);
        if age > STARVATION_MS && job.never_started() {
            self.out.push(Effect::Log(LogEvent::StarvingJobStarted { job: id, age_ms: age }));
        }
        let tasks = job.take(n);
        self.assign_tasks(id, spec, machine, &tasks);
    }

    /// Gives these tasks, which were taken from their job, to a machine.
    pub(super) fn assign_tasks(
        &mut self,
        id: JobId,
        spec: &Arc<JobSpec>,
        machine: &str,
        tasks: &[u32],
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(m) = self.inventory.get_mut(machine) else { return };
        // All tasks of a gang are in one attempt.
        let mut gang_attempt = job.placed.values().next().map(|p| p.attempt).filter(|_| spec.gang);
        job.attempt_ended_at = None;
        for index in tasks.iter().copied() {
            let attempt = gang_attempt.unwrap_or_else(|| {
                self.next_attempt += 1;
                (self.token << ATTEMPT_BITS) | self.next_attempt
            });
            gang_attempt = spec.gang.then_some(attempt);
            let task = TaskId { job: id, index };
            job.place(index, Assignment { machine: m.name.clone(), attempt });
            m.runs.insert(
                (task, attempt),
                TaskRun {
                    task,
                    attempt,
                    spec: Some(spec.clone()),
                    phase: TaskPhase::Assigned,
                    stop: None,
                    launch_sends: 0,
                    first_launch_at: 0,
                    launch_outcome_unknown: false,
                    running_since: None,
                },
            );
        }
        m.idle_since = None;
        self.dispatcher.wake(machine);
        self.note_launched(spec, tasks.len() as u32);
    }
}

/// The zone in which most tasks of a job fit.
pub(super) fn zone_with_most_capacity(
    rooms: impl Iterator<Item = usize>,
    spec: &JobSpec,
    cycle: &SchedulingCycle,
) -> Option<Arc<str>> {
    let mut by_zone: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
    for r in rooms.map(|i| &cycle.rooms[i]) {
        *by_zone.entry(&r.zone).or_default() += u64::from(r.holds(&spec.demand));
    }
    let most = by_zone.into_iter().max_by_key(|(_, n)| *n).filter(|(_, n)| *n > 0);
    most.map(|(zone, _)| zone.clone())
}
