//! One round of placing: the queue, the rooms, the rentals.

use super::cycle_state::SchedulingCycle;
use super::equivalence_classes::KEPT;
use super::provisioning::place_on_pending;
use super::queue::QueueEntry;
use super::task_placement::zone_with_most_capacity;
use super::team_limits::TeamUsage;
use super::Scheduler;
use crate::constants::*;
use crate::job::{Job, JobId, JobSpec};
use crate::placement;
use crate::placement::FreeCapacity;
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
}
