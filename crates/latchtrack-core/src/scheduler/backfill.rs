//! What a single report frees is filled in its answer, by the order of the last round.

use super::Scheduler;
use crate::constants::*;
use crate::job::Job;
use crate::placement;
use crate::placement::FreeCapacity;
use crate::Millis;

/// Which turn of the queue takes a room next.
struct BackfillChoice {
    /// Its place in the queue, and with how many tasks.
    turn: Option<(usize, u32)>,
    /// How many turns of the queue had nothing left.
    empty: usize,
    /// A gang that lacks room comes before the rest of the queue.
    awaited_by_gang: bool,
}

impl Scheduler {
    /// Fills what a machine's own report has freed, by the order of the last round: as that round
    /// would have done, had it come now. Jobs whose room depends on more than this machine wait for
    /// the next round.
    pub(super) fn backfill(&mut self, now: Millis, machine: &str) {
        if self.queue.entries.is_empty() {
            return;
        }
        let Some(mut room) =
            self.inventory.get(machine).and_then(|m| self.free_capacity_of(now, m))
        else {
            return;
        };
        if !room.ready {
            return;
        }
        for id in std::mem::take(&mut self.queue.starving) {
            let Some(job) = self.jobs.get(&id).filter(|j| j.schedulable_tasks() > 0) else {
                continue;
            };
            if !job.spec.gang && !job.never_started() {
                continue;
            }
            let (spec, slice) = (job.spec.clone(), self.slice_size(&job.spec));
            if self.tasks_fitting(now, job, machine, &room) < slice {
                self.queue.starving.push(id);
                continue;
            }
            room.take(&spec.demand, slice);
            self.assign(now, id, &spec, machine, slice);
        }
        if self.reservations.exclusive.contains(machine) {
            return;
        }
        if self.wanted_by_gang_reserve(&room) {
            self.cycle_timer.requested = true;
            return;
        }
        let mut empty = 0;
        while room.free.cpus > 0.0 {
            let next = self.next_for_machine(now, machine, &room);
            empty = next.empty;
            self.cycle_timer.requested |= next.awaited_by_gang;
            let Some((i, n)) = next.turn else { break };
            let turn = &mut self.queue.entries[i];
            turn.most -= n;
            let id = turn.job;
            let Some(job) = self.jobs.get(&id) else { break };
            let spec = job.spec.clone();
            room.take(&spec.demand, n);
            let equivalence_class = job.equivalence_class;
            if let Some(held) = self
                .reservations
                .by_machine
                .get_mut(machine)
                .filter(|h| h.equivalence_class != equivalence_class)
            {
                held.spare.take(&spec.demand, n);
            }
            self.assign(now, id, &spec, machine, n);
        }
        if empty * 2 > self.queue.entries.len() {
            let jobs = &self.jobs;
            self.queue.entries.retain(|t| {
                t.most > 0 && jobs.get(&t.job).is_some_and(|j| j.schedulable_tasks() > 0)
            });
        }
    }

    /// The turn of the queue that takes this room next, with how many tasks: the first that fits, or
    /// one of the next few whose image the machine holds, unless that passes a job that is to start
    /// promptly. Also how many of the queue had nothing left.
    fn next_for_machine(&self, now: Millis, machine: &str, room: &FreeCapacity) -> BackfillChoice {
        let mut empty = 0;
        let mut first = None;
        let mut looked = 0;
        // It is kept from those that come after the jobs for which it is held.
        let held = self.reservations.by_machine.get(machine).copied();
        let reserved_exclusively =
            held.map(|h| (h.equivalence_class, FreeCapacity { held, ..room.clone() }));
        // What is kept for gangs to come is kept from all.
        let mut room = match &reserved_exclusively {
            Some((equivalence_class, reserved_exclusively))
                if self.reservations.gang_reserves.contains_key(equivalence_class) =>
            {
                reserved_exclusively
            }
            _ => room,
        };
        for (i, turn) in self.queue.entries.iter().enumerate() {
            let Some(job) =
                self.jobs.get(&turn.job).filter(|j| turn.most > 0 && j.schedulable_tasks() > 0)
            else {
                empty += 1;
                continue;
            };
            if let Some((_, reserved_exclusively)) = reserved_exclusively
                .as_ref()
                .filter(|(equivalence_class, _)| *equivalence_class == job.equivalence_class)
            {
                room = reserved_exclusively;
            }
            let slice = self.slice_size(&job.spec);
            let fits = self.tasks_fitting(now, job, machine, room);
            let want = job.schedulable_tasks().min(turn.most);
            let n = if fits < want { fits / slice * slice } else { want };
            if n == 0 {
                if self.queue.gangs_lacking_capacity.contains(&turn.job)
                    && self.useful_to_gang(now, job, machine, room)
                {
                    // The next round keeps it for that gang.
                    return BackfillChoice { turn: first, empty, awaited_by_gang: true };
                }
                continue;
            }
            if room.images.contains(&job.spec.image) {
                return BackfillChoice { turn: Some((i, n)), empty, awaited_by_gang: false };
            }
            first.get_or_insert((i, n));
            looked += 1;
            if looked >= IMAGE_LOOKAHEAD_JOBS || self.start_objective_ms(&job.spec).is_some() {
                break;
            }
        }
        BackfillChoice { turn: first, empty, awaited_by_gang: false }
    }

    /// How many tasks of a job may go into this room, if that depends on nothing else.
    fn tasks_fitting(&self, now: Millis, job: &Job, machine: &str, room: &FreeCapacity) -> u32 {
        let spec = &job.spec;
        // A gang goes whole onto this machine or not at all, and so in one zone.
        let zones_matter = spec.spread || (spec.one_zone && !spec.gang);
        if job.backoff_until > now
            || zones_matter
            || !placement::allowed(spec, &room.kind, &room.zone, room.spot)
            || self.avoids_machine(now, job, machine)
            || self.has_team_limit(spec)
            || (!room.may_hold
                && !room.images.contains(&spec.image)
                && self.waits_for_image(now, job, &room.kind))
        {
            return 0;
        }
        self.tasks_admitted(now, job, room)
    }

    /// Whether a task of a gang that lacks room could be on this machine.
    fn useful_to_gang(&self, now: Millis, job: &Job, machine: &str, room: &FreeCapacity) -> bool {
        placement::allowed(&job.spec, &room.kind, &room.zone, room.spot)
            && !self.avoids_machine(now, job, machine)
            && room.admits(&job.spec.demand, job.equivalence_class) > 0
    }
}
