//! One round of placing: the queue, the rooms, the rentals.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::equivalence_classes::KEPT;
use super::free_capacity::SchedulingCycle;
use super::log_events::LogEvent;
use super::messages::Effect;
use super::provisioning::place_on_pending;
use super::queue::QueueEntry;
use super::team_limits::TeamUsage;
use super::Scheduler;
use crate::constants::*;
use crate::job::{Assignment, Job, JobId, JobSpec, TaskId};
use crate::machine::{TaskPhase, TaskRun};
use crate::placement;
use crate::placement::FreeCapacity;
use crate::rules;
use crate::Millis;

/// When the next scheduling cycle is due.
#[derive(Clone, Debug)]
pub(super) struct CycleTimer {
    pub last_at: Option<Millis>,
    /// Cycles in this term.
    pub count: u64,
    /// Something has changed since the last one.
    pub requested: bool,
}

impl Default for CycleTimer {
    fn default() -> Self {
        CycleTimer { last_at: None, count: 0, requested: true }
    }
}

impl Scheduler {
    pub(super) fn cycle_due(&self, now: Millis) -> bool {
        // Rounds are apart, so that many changes in a row cost one.
        self.cycle_timer.last_at.is_none_or(|t| {
            now >= t + MIN_CYCLE_INTERVAL_MS
                && (self.cycle_timer.requested || now >= t + MAX_CYCLE_INTERVAL_MS)
        })
    }

    /// Whether a job has waited long enough to take room that is kept for others.
    fn ignores_reservations(&self, now: Millis, job: &Job) -> bool {
        job.unschedulable_since
            .is_some_and(|since| now >= since.saturating_add(RESERVATION_IGNORED_AFTER_MS))
    }

    /// How many of its tasks a job may put into this room, by size and by whom it is kept for.
    pub(super) fn tasks_admitted(&self, now: Millis, job: &Job, room: &FreeCapacity) -> u32 {
        match &room.held {
            Some(h) if h.equivalence_class != KEPT && self.ignores_reservations(now, job) => {
                room.holds(&job.spec.demand)
            }
            _ => room.admits(&job.spec.demand, job.equivalence_class),
        }
    }

    pub(super) fn run_cycle(&mut self, now: Millis) {
        // What is on its way to a target that is kept for it goes there, not into the queue.
        self.advance_moves(now);
        self.cycle_timer.last_at = Some(now);
        self.cycle_timer.count += 1;
        self.cycle_timer.requested = false;
        if self.image_locality.updated_at.is_none_or(|at| now >= at + MAX_CYCLE_INTERVAL_MS) {
            self.image_locality.updated_at = Some(now);
            let up = self.inventory.iter().filter(|m| m.is_up() && !m.to_terminate);
            self.image_locality.cached =
                up.flat_map(|m| m.images.names().map(str::to_string)).collect();
        }
        let (rooms, total) = self.rooms(now);
        let used = self.limited_usage();
        let expected = used.clone();
        let searches = self.equivalence_classes.new_searches();
        let mut cycle = SchedulingCycle { rooms, total, searches, used, expected };
        let unsettled = !self.all_reconciled();
        self.queue.gangs_lacking_capacity.clear();
        self.quota.next_of_team.clear();
        let mut order = self.order(now, &cycle.total, unsettled);
        for turn in &order {
            let Some(job) = self.jobs.get(&turn.job) else { continue };
            if !job.is_quarantined {
                cycle.searches[job.equivalence_class].to_come +=
                    job.schedulable_tasks().min(turn.most);
            }
        }
        // The oldest first.
        let mut begin: Vec<(Millis, JobId)> = order
            .iter()
            .filter_map(|t| Some((self.jobs.get(&t.job)?.submitted_at, t.job)))
            .filter(|(_, id)| self.is_starving(now, &self.jobs[id]))
            .collect();
        begin.sort();
        self.queue.starving = begin.into_iter().map(|(_, id)| id).collect();
        for id in self.queue.starving.clone() {
            let spec = self.jobs[&id].spec.clone();
            let slice = self.slice_size(&spec);
            self.note_next_to_start(&spec, slice);
            let most = slice.min(self.tasks_within_limit(&spec, &cycle.used));
            // A gang starts whole or not at all.
            let may_start = most == slice || !spec.gang;
            if may_start && self.place_on_ready(now, id, &spec, most, &mut cycle) > 0 {
                continue;
            }
            // What is missing is kept for it: of its team's limit from the team's other jobs, or a
            // machine from all others.
            let since = self.jobs[&id]
                .submitted_at
                .saturating_add(STARVATION_MS + STARVATION_RESERVE_DELAY_MS);
            if most < slice {
                self.count_usage(&spec, slice, &mut cycle);
                continue;
            }
            if spec.gang {
                self.reserve_for_gang(now, &spec, KEPT, true, &mut cycle);
            } else if now >= since {
                self.reserve(now, &spec, KEPT, 1, &mut cycle);
            }
            // In its turn the limit may be gone, and nothing would ever be rented for it.
            self.schedule_job(now, &mut QueueEntry { job: id, most: slice }, &mut cycle);
            if self.reserves_quota_for_gang(now, id) {
                self.count_usage(&spec, slice, &mut cycle);
            }
        }
        self.fill_gang_reserves(now, &mut cycle);
        for turn in &mut order {
            self.schedule_job(now, turn, &mut cycle);
        }
        // What single reports free until the next round goes to these, in this order.
        order.retain(|t| {
            t.most > 0 && self.jobs.get(&t.job).is_some_and(|j| j.schedulable_tasks() > 0)
        });
        self.queue.entries = order;
        let held = cycle.rooms.into_iter().filter_map(|r| Some((r.machine?, r.held?)));
        let (reserved_exclusively, held): (Vec<_>, Vec<_>) =
            held.partition(|(_, h)| h.equivalence_class == KEPT);
        self.reservations.exclusive =
            reserved_exclusively.into_iter().map(|(machine, _)| machine).collect();
        self.reservations.by_machine = held.into_iter().collect();
    }

    /// Whether a gang that has its limit and waits for machines keeps that limit from its team's other jobs,
    /// which else take it while the machines boot, so that both are never there at once.
    fn reserves_quota_for_gang(&self, now: Millis, id: JobId) -> bool {
        let Some(job) =
            self.jobs.get(&id).filter(|job| job.spec.gang && job.schedulable_tasks() > 0)
        else {
            return false;
        };
        let until = GANG_STARVATION_MS + GANG_QUOTA_RESERVATION_MS;
        job.unschedulable_since.is_some_and(|since| now < since.saturating_add(until))
    }

    /// Tasks of a job that start together.
    pub(super) fn slice_size(&self, spec: &JobSpec) -> u32 {
        match spec.gang {
            true => spec.tasks,
            // A slice above what its team may ever use would never start.
            false => self
                .policy
                .slice
                .min(self.within_limit(spec, TeamUsage::default()))
                .clamp(1, spec.tasks),
        }
    }

    /// Whether a job goes before all others, since nothing of it has begun for long.
    fn is_starving(&self, now: Millis, job: &Job) -> bool {
        // Nothing is kept for a suspect job.
        if job.is_quarantined {
            return false;
        }
        if job.spec.gang {
            return job.unschedulable_since.is_some_and(|since| now >= since + GANG_STARVATION_MS);
        }
        now >= job.submitted_at.saturating_add(STARVATION_MS) && job.never_started()
    }

    fn schedule_job(&mut self, now: Millis, turn: &mut QueueEntry, cycle: &mut SchedulingCycle) {
        let id = turn.job;
        let Some(job) = self.jobs.get(&id) else { return };
        let (spec, equivalence_class) = (job.spec.clone(), job.equivalence_class);
        let all = job.schedulable_tasks().min(turn.most);
        let is_quarantined = job.is_quarantined;
        if !is_quarantined {
            cycle.searches[equivalence_class].to_come =
                cycle.searches[equivalence_class].to_come.saturating_sub(all);
        }
        let waiting = all.min(self.tasks_within_limit(&spec, &cycle.used));
        if spec.gang && waiting < all {
            // Whole or not at all: it waits for its team's limit.
            if let Some(job) = self.jobs.get_mut(&id).filter(|_| !is_quarantined) {
                job.unschedulable_since.get_or_insert(now);
            }
            return;
        }
        if waiting == 0 {
            return;
        }
        let mut left = waiting;
        let ignores_reservations = self.ignores_reservations(now, job);
        if !cycle.searches[equivalence_class].no_ready
            || ignores_reservations && !cycle.searches[equivalence_class].no_reserved
        {
            left -= self.place_on_ready(now, id, &spec, waiting, cycle);
        }
        turn.most = turn.most.saturating_sub(waiting - left);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        // Nothing is rented or held for a suspect job.
        if left == 0 || is_quarantined {
            job.unschedulable_since = None;
            return;
        }
        if left < waiting {
            job.unschedulable_since = Some(now);
        }
        let passed = now.saturating_sub(*job.unschedulable_since.get_or_insert(now));
        let job = &self.jobs[&id];
        if self.waits_for_image_anywhere(now, job) {
            // It passed over room, which others of its shape may take; a second is soon over.
            return;
        }
        // What a job finds that is bound by where its other tasks are says nothing of its like, nor does
        // that a gang does not fit whole.
        let says_nothing = spec.is_zone_constrained() || spec.gang;
        let live = self.zones_in_use(job).into_iter().next();
        let bound = live.is_some();
        let only = match spec.one_zone {
            // Where nothing runs yet, one zone all the same: rented in several, a slice fits in none.
            true => live.or_else(|| {
                let open = |r: &FreeCapacity| placement::allowed(&spec, &r.kind, &r.zone, r.spot);
                let rooms = cycle.rooms.iter().enumerate().filter(|(_, r)| open(r));
                zone_with_most_capacity(rooms.map(|(i, _)| i), &spec, cycle)
            }),
            false => None,
        };
        if spec.gang
            && (self.start_objective_ms(&spec).is_some() || passed >= self.policy.reserve_after_ms)
        {
            self.reserve_for_gang(now, &spec, equivalence_class, false, cycle);
        }
        let job = &self.jobs[&id];
        if !says_nothing && job.failed_on.is_empty() {
            cycle.searches[equivalence_class].no_ready = true;
            cycle.searches[equivalence_class].no_reserved |= ignores_reservations;
        }
        // No machine is rented for what the team's limit would hold back once the others are up.
        left = left.min(self.tasks_within_limit(&spec, &cycle.expected));
        if left == 0 {
            return;
        }
        if !cycle.searches[equivalence_class].no_pending {
            let pending_capacity = place_on_pending(&spec, only.as_deref(), left, cycle);
            self.count_expected_usage(&spec, pending_capacity, cycle);
            left -= pending_capacity;
            if left == 0 {
                return;
            }
            cycle.searches[equivalence_class].no_pending |= only.is_none();
        }
        if !cycle.searches[equivalence_class].no_offer {
            let mut rented = self.provision(now, &spec, only.as_deref(), left, passed, cycle);
            if rented == 0 && !bound && only.is_some() {
                rented = self.provision(now, &spec, None, left, passed, cycle);
            }
            self.count_expected_usage(&spec, rented, cycle);
            left -= rented;
            if left == 0 {
                return;
            }
            cycle.searches[equivalence_class].no_offer |= only.is_none();
        }
        if !spec.gang
            && passed >= self.policy.reserve_after_ms
            && !cycle.searches[equivalence_class].held
        {
            // Once for all of the shape that wait.
            cycle.searches[equivalence_class].held = true;
            let alike = cycle.searches[equivalence_class].to_come;
            self.reserve(now, &spec, equivalence_class, left.saturating_add(alike), cycle);
        }
    }

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
    fn place_on_ready(
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
