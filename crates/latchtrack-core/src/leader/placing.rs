//! One round of placing: the queue, the rooms, the rentals.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::limits::TeamUsage;
use super::messages::Effect;
use super::order::Turn;
use super::renting::fill_promised;
use super::rooms::Round;
use super::shapes::KEPT;
use super::Cluster;
use crate::constants::*;
use crate::job::{Job, JobId, JobSpec, Place, TaskId};
use crate::machine::{Phase, Run};
use crate::placement;
use crate::placement::Room;
use crate::rules;
use crate::Millis;

impl Cluster {
    pub(super) fn plan_due(&self, now: Millis) -> bool {
        // Rounds are apart, so that many changes in a row cost one.
        self.last_plan
            .is_none_or(|t| now >= t + ROUND_MS && (self.replan || now >= t + ROUND_IDLE_MS))
    }

    /// Whether a job has waited long enough to take room that is kept for others.
    fn impatient(&self, now: Millis, job: &Job) -> bool {
        job.passed_since.is_some_and(|since| now >= since.saturating_add(HELD_MOST_MS))
    }

    /// How many of its tasks a job may put into this room, by size and by whom it is kept for.
    pub(super) fn open_here(&self, now: Millis, job: &Job, room: &Room) -> u32 {
        match &room.held {
            Some(h) if h.shape != KEPT && self.impatient(now, job) => room.holds(&job.spec.demand),
            _ => room.open_to(&job.spec.demand, job.shape),
        }
    }

    pub(super) fn plan(&mut self, now: Millis) {
        // What is on its way to a target that is kept for it goes there, not into the queue.
        self.advance_moves(now);
        self.last_plan = Some(now);
        self.rounds += 1;
        self.replan = false;
        if self.images_at.is_none_or(|at| now >= at + ROUND_IDLE_MS) {
            self.images_at = Some(now);
            let up = self.machines.values().filter(|m| m.up() && !m.leaving);
            self.held_images = up.flat_map(|m| m.images.names().map(str::to_string)).collect();
        }
        let (rooms, total) = self.rooms(now);
        let used = self.used_by_teams();
        let expected = used.clone();
        let shapes = self.shapes.nothing_found();
        let mut round = Round { rooms, total, shapes, used, expected };
        let unsettled = !self.all_settled();
        self.gathering.clear();
        self.next_of_teams.clear();
        let mut order = self.order(now, &round.total, unsettled);
        for turn in &order {
            let Some(job) = self.jobs.get(&turn.job) else { continue };
            if !job.is_suspect {
                round.shapes[job.shape].to_come += job.wanted().min(turn.most);
            }
        }
        // The oldest first.
        let mut begin: Vec<(Millis, JobId)> = order
            .iter()
            .filter_map(|t| Some((self.jobs.get(&t.job)?.submitted_at, t.job)))
            .filter(|(_, id)| self.is_to_begin(now, &self.jobs[id]))
            .collect();
        begin.sort();
        self.begin = begin.into_iter().map(|(_, id)| id).collect();
        for id in self.begin.clone() {
            let spec = self.jobs[&id].spec.clone();
            let slice = self.slice_of(&spec);
            self.note_next(&spec, slice);
            let most = slice.min(self.limit_left(&spec, &round.used));
            // A gang starts whole or not at all.
            let may_start = most == slice || !spec.gang;
            if may_start && self.fill_ready(now, id, &spec, most, &mut round) > 0 {
                continue;
            }
            // What is missing is kept for it: of its team's limit from the team's other jobs, or a
            // machine from all others.
            let since = self.jobs[&id].submitted_at.saturating_add(BEGIN_MS + BEGIN_KEEP_MS);
            if most < slice {
                self.count_use(&spec, slice, &mut round);
                continue;
            }
            if spec.gang {
                self.hold_for_gang(now, &spec, KEPT, true, &mut round);
            } else if now >= since {
                self.hold(now, &spec, KEPT, 1, &mut round);
            }
            // In its turn the limit may be gone, and nothing would ever be rented for it.
            self.place_job(now, &mut Turn { job: id, most: slice }, &mut round);
            if self.keeps_limit_for_gang(now, id) {
                self.count_use(&spec, slice, &mut round);
            }
        }
        self.hold_reserves(now, &mut round);
        for turn in &mut order {
            self.place_job(now, turn, &mut round);
        }
        // What single reports free until the next round goes to these, in this order.
        order.retain(|t| t.most > 0 && self.jobs.get(&t.job).is_some_and(|j| j.wanted() > 0));
        self.queue = order;
        let held = round.rooms.into_iter().filter_map(|r| Some((r.machine?, r.held?)));
        let (kept, held): (Vec<_>, Vec<_>) = held.partition(|(_, h)| h.shape == KEPT);
        self.kept = kept.into_iter().map(|(machine, _)| machine).collect();
        self.held = held.into_iter().collect();
    }

    /// Whether a gang that has its limit and waits for machines keeps that limit from its team's other jobs,
    /// which else take it while the machines boot, so that both are never there at once.
    fn keeps_limit_for_gang(&self, now: Millis, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|job| job.spec.gang && job.wanted() > 0) else {
            return false;
        };
        let until = GANG_BEGIN_MS + GANG_LIMIT_KEPT_MS;
        job.passed_since.is_some_and(|since| now < since.saturating_add(until))
    }

    /// Tasks of a job that start together.
    pub(super) fn slice_of(&self, spec: &JobSpec) -> u32 {
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
    fn is_to_begin(&self, now: Millis, job: &Job) -> bool {
        // Nothing is kept for a suspect job.
        if job.is_suspect {
            return false;
        }
        if job.spec.gang {
            return job.passed_since.is_some_and(|since| now >= since + GANG_BEGIN_MS);
        }
        now >= job.submitted_at.saturating_add(BEGIN_MS) && job.untouched()
    }

    fn place_job(&mut self, now: Millis, turn: &mut Turn, round: &mut Round) {
        let id = turn.job;
        let Some(job) = self.jobs.get(&id) else { return };
        let (spec, shape) = (job.spec.clone(), job.shape);
        let all = job.wanted().min(turn.most);
        let is_suspect = job.is_suspect;
        if !is_suspect {
            round.shapes[shape].to_come = round.shapes[shape].to_come.saturating_sub(all);
        }
        let waiting = all.min(self.limit_left(&spec, &round.used));
        if spec.gang && waiting < all {
            // Whole or not at all: it waits for its team's limit.
            if let Some(job) = self.jobs.get_mut(&id).filter(|_| !is_suspect) {
                job.passed_since.get_or_insert(now);
            }
            return;
        }
        if waiting == 0 {
            return;
        }
        let mut left = waiting;
        let impatient = self.impatient(now, job);
        if !round.shapes[shape].no_ready || impatient && !round.shapes[shape].no_held {
            left -= self.fill_ready(now, id, &spec, waiting, round);
        }
        turn.most = turn.most.saturating_sub(waiting - left);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        // Nothing is rented or held for a suspect job.
        if left == 0 || is_suspect {
            job.passed_since = None;
            return;
        }
        if left < waiting {
            job.passed_since = Some(now);
        }
        let passed = now.saturating_sub(*job.passed_since.get_or_insert(now));
        let job = &self.jobs[&id];
        if self.waits_on_any_type(now, job) {
            // It passed over room, which others of its shape may take; a second is soon over.
            return;
        }
        // What a job finds that is bound by where its other tasks are says nothing of its like, nor does
        // that a gang does not fit whole.
        let says_nothing = spec.zoned() || spec.gang;
        let live = self.live_zones(job).into_iter().next();
        let bound = live.is_some();
        let only = match spec.one_zone {
            // Where nothing runs yet, one zone all the same: rented in several, a slice fits in none.
            true => live.or_else(|| {
                let open = |r: &Room| placement::allowed(&spec, &r.kind, &r.zone, r.spot);
                let rooms = round.rooms.iter().enumerate().filter(|(_, r)| open(r));
                roomiest(rooms.map(|(i, _)| i), &spec, round)
            }),
            false => None,
        };
        if spec.gang && (self.prompt_ms(&spec).is_some() || passed >= self.policy.pass_over_ms) {
            self.hold_for_gang(now, &spec, shape, false, round);
        }
        let job = &self.jobs[&id];
        if !says_nothing && job.failed_on.is_empty() {
            round.shapes[shape].no_ready = true;
            round.shapes[shape].no_held |= impatient;
        }
        // No machine is rented for what the team's limit would hold back once the others are up.
        left = left.min(self.limit_left(&spec, &round.expected));
        if left == 0 {
            return;
        }
        if !round.shapes[shape].no_promise {
            let promised = fill_promised(&spec, only.as_deref(), left, round);
            self.count_expected(&spec, promised, round);
            left -= promised;
            if left == 0 {
                return;
            }
            round.shapes[shape].no_promise |= only.is_none();
        }
        if !round.shapes[shape].no_offer {
            let mut rented = self.rent(now, &spec, only.as_deref(), left, passed, round);
            if rented == 0 && !bound && only.is_some() {
                rented = self.rent(now, &spec, None, left, passed, round);
            }
            self.count_expected(&spec, rented, round);
            left -= rented;
            if left == 0 {
                return;
            }
            round.shapes[shape].no_offer |= only.is_none();
        }
        if !spec.gang && passed >= self.policy.pass_over_ms && !round.shapes[shape].held {
            // Once for all of the shape that wait.
            round.shapes[shape].held = true;
            let alike = round.shapes[shape].to_come;
            self.hold(now, &spec, shape, left.saturating_add(alike), round);
        }
    }

    /// The rooms in which a job may start tasks, with their places in the round.
    pub(super) fn open_to<'a>(
        &'a self,
        now: Millis,
        job: &'a Job,
        rooms: &'a [Room],
    ) -> impl Iterator<Item = (usize, &'a Room)> {
        let spec = &*job.spec;
        rooms.iter().enumerate().filter(move |(_, r)| {
            r.ready
                && placement::allowed(spec, &r.kind, &r.zone, r.spot)
                && !r.machine.as_ref().is_some_and(|m| self.avoids(now, job, m))
        })
    }

    /// Places whole slices on machines that are up, by rising score; returns how many tasks.
    fn fill_ready(
        &mut self,
        now: Millis,
        id: JobId,
        spec: &Arc<JobSpec>,
        want: u32,
        round: &mut Round,
    ) -> u32 {
        let Some(job) = self.jobs.get(&id) else { return 0 };
        let live = self.live_zones(job);
        let mut candidates = self.by_score(now, job, want, round);
        if spec.one_zone {
            let zone =
                live.first().cloned().or_else(|| roomiest(candidates.iter().copied(), spec, round));
            candidates.retain(|i| Some(&round.rooms[*i].zone) == zone.as_ref());
        }
        // How many on which machine, before anything is placed: a slice starts whole.
        let mut in_zone: HashMap<Arc<str>, u32> = HashMap::new();
        for zone in live {
            *in_zone.entry(zone).or_default() += 1;
        }
        let mut counts: Vec<(usize, u32)> = Vec::new();
        let mut left = want;
        for i in candidates {
            let r = &round.rooms[i];
            let mut n = self.open_here(now, job, r).min(left);
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
        let slice = self.slice_of(spec);
        let mut n = if left == 0 { found } else { found / slice * slice };
        let placed = n;
        for (i, most) in counts {
            let here = most.min(n);
            if here == 0 {
                break;
            }
            n -= here;
            round.rooms[i].take(&spec.demand, here);
            if let Some(machine) = round.rooms[i].machine.clone() {
                self.assign(now, id, spec, &machine, here);
            }
        }
        self.count_use(spec, placed, round);
        placed
    }

    /// The zones of a job's live tasks, one entry a task, if they have a say in where others may start.
    pub(super) fn live_zones(&self, job: &Job) -> Vec<Arc<str>> {
        if !job.spec.zoned() {
            return Vec::new();
        }
        let on = job.placed.values().filter_map(|p| self.machines.get(&*p.machine));
        on.map(|m| m.zone.clone()).collect()
    }

    /// Rooms that take a task of the job at least, the best first: with its image, the smallest types,
    /// spot machines, then by rising score. Without a say of the zones the first so many are enough.
    fn by_score(&self, now: Millis, job: &Job, want: u32, round: &Round) -> Vec<usize> {
        let spec = &job.spec;
        let cold = |r: &Room| !r.images.contains(&spec.image);
        let cost = |r: &Room| self.place_cost(spec, r);
        let waits = self.waits_on_any_type(now, job);
        let weights = self.policy.weights;
        type Key = (f64, f64, bool, f64);
        let mut keyed: Vec<(Key, usize)> = self
            .open_to(now, job, &round.rooms)
            .filter(|(_, r)| self.open_here(now, job, r) > 0)
            .filter(|(_, r)| !(waits && !r.may_hold && cold(r)))
            .map(|(i, r)| {
                let score = placement::score(&r.free, &round.total, &weights);
                ((cost(r), r.size, !r.spot, score), i)
            })
            .collect();
        let by_key = |a: &(Key, usize), b: &(Key, usize)| {
            a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal)
        };
        if !spec.zoned() && keyed.len() > want as usize {
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
        if !self.machines.contains_key(machine) {
            return;
        }
        let age = now.saturating_sub(job.submitted_at);
        if age > BEGIN_MS && job.untouched() {
            self.out.push(Effect::Note(format!("job {id} begins after {age} ms")));
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
        let Some(m) = self.machines.get_mut(machine) else { return };
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
            job.place(index, Place { machine: m.name.clone(), attempt });
            m.runs.insert(
                (task, attempt),
                Run {
                    task,
                    attempt,
                    spec: Some(spec.clone()),
                    phase: Phase::Assigned,
                    stop: None,
                    sends: 0,
                    first_sent: 0,
                    lost_call: false,
                    running_since: None,
                },
            );
        }
        m.empty_since = None;
        self.wake.insert(machine.to_string());
        self.note_started(spec, tasks.len() as u32);
    }
}

/// The zone in which most tasks of a job fit.
pub(super) fn roomiest(
    rooms: impl Iterator<Item = usize>,
    spec: &JobSpec,
    round: &Round,
) -> Option<Arc<str>> {
    let mut by_zone: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
    for r in rooms.map(|i| &round.rooms[i]) {
        *by_zone.entry(&r.zone).or_default() += u64::from(r.holds(&spec.demand));
    }
    let most = by_zone.into_iter().max_by_key(|(_, n)| *n).filter(|(_, n)| *n > 0);
    most.map(|(zone, _)| zone.clone())
}
