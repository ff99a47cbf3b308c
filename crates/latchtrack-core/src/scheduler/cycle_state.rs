//! The state of one scheduling cycle, shared by its steps.

use std::sync::Arc;

use super::team_limits::UsageByTeam;
use crate::job::{ClassId, JobSpec, Resources};
use crate::placement::{FreeCapacity, Reservation};

/// The state of one scheduling cycle: the free capacity and the usage of the teams as the jobs
/// placed so far leave them, and what was found for each equivalence class.
pub(super) struct SchedulingCycle {
    /// Of machines that are ready and of pending ones; reservations are among it.
    capacities: Vec<FreeCapacity>,
    /// What all machines that are up have.
    total: Resources,
    /// By the id of the class.
    searches: Vec<ClassSearch>,
    /// What teams use, if any has a limit.
    used: UsageByTeam,
    /// The same with the tasks counted on pending machines.
    expected: UsageByTeam,
}

impl SchedulingCycle {
    /// A cycle in which nothing has been placed: `total` is what the machines that are up have,
    /// `used` what the teams use, if any has a limit.
    pub fn new(
        capacities: Vec<FreeCapacity>,
        total: Resources,
        searches: Vec<ClassSearch>,
        used: UsageByTeam,
    ) -> Self {
        SchedulingCycle { capacities, total, searches, expected: used.clone(), used }
    }

    /// The capacities, ready ones and pending ones. An index into them is valid for the whole
    /// cycle.
    pub fn capacities(&self) -> &[FreeCapacity] {
        &self.capacities
    }

    /// What all machines that are up have.
    pub fn total(&self) -> &Resources {
        &self.total
    }

    /// The capacity of machines that are not ready for tasks yet.
    pub fn pending_mut(&mut self) -> impl Iterator<Item = &mut FreeCapacity> {
        self.capacities.iter_mut().filter(|capacity| !capacity.ready)
    }

    /// Adds machines that were just requested. What the job they are for leaves of them is pending
    /// capacity for jobs of all classes.
    pub fn add_pending(&mut self, capacity: &FreeCapacity, machines: u32) {
        self.capacities.extend((0..machines).map(|_| capacity.clone()));
        for search in &mut self.searches {
            search.pending_exhausted = false;
        }
    }

    /// Takes the demand of tasks out of a capacity; returns its machine, if it has been
    /// provisioned.
    pub fn take(&mut self, index: usize, demand: &Resources, tasks: u32) -> Option<Arc<str>> {
        let capacity = &mut self.capacities[index];
        capacity.take(demand, tasks);
        capacity.machine.clone()
    }

    /// Keeps a capacity from all but the jobs for which it is reserved.
    pub fn reserve(&mut self, index: usize, reservation: Reservation) {
        self.capacities[index].reservation = Some(reservation);
    }

    /// The reservations made in this cycle, by machine.
    pub fn into_reservations(self) -> impl Iterator<Item = (Arc<str>, Reservation)> {
        self.capacities
            .into_iter()
            .filter_map(|capacity| Some((capacity.machine?, capacity.reservation?)))
    }

    /// What was found for an equivalence class.
    pub fn search(&self, class: ClassId) -> &ClassSearch {
        &self.searches[class.0]
    }

    /// What was found for an equivalence class, to note more.
    pub fn search_mut(&mut self, class: ClassId) -> &mut ClassSearch {
        &mut self.searches[class.0]
    }

    /// What the teams use.
    pub fn used(&self) -> &UsageByTeam {
        &self.used
    }

    /// What the teams will use once the tasks counted on pending machines run too.
    pub fn expected(&self) -> &UsageByTeam {
        &self.expected
    }

    /// Counts tasks that were placed, or for which a part of their team's limit is reserved.
    pub fn count_used(&mut self, spec: &JobSpec, tasks: u32) {
        self.used.add(spec, tasks);
        self.expected.add(spec, tasks);
    }

    /// Counts tasks that pending machines are to take.
    pub fn count_expected(&mut self, spec: &JobSpec, tasks: u32) {
        self.expected.add(spec, tasks);
    }
}

/// Tasks that a capacity of the cycle takes, or could take.
#[derive(Clone, Copy, Debug)]
pub(super) struct TasksAt {
    /// The index of the capacity in the cycle.
    pub index: usize,
    /// How many tasks.
    pub tasks: u32,
}

/// Whether a job may use what is reserved for jobs of other classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReservationAccess {
    /// The reservations of others bind it.
    Respects,
    /// It has waited so long that they don't, unless they are exclusive.
    Ignores,
}

/// What a cycle has found for an equivalence class: a search that failed for one of its jobs is not
/// repeated for the others.
#[derive(Clone, Copy, Default)]
pub(super) struct ClassSearch {
    /// No ready machine has capacity that is not reserved for others.
    ready_exhausted: bool,
    /// Nor has one capacity that is reserved for jobs of other classes.
    reserved_exhausted: bool,
    /// No pending machine has capacity.
    pending_exhausted: bool,
    /// Nothing can be provisioned.
    offers_exhausted: bool,
    /// Capacity was reserved for the waiting jobs of the class.
    has_reservation: bool,
    /// Waiting tasks of its jobs further back in the queue.
    tasks_behind: u32,
}

impl ClassSearch {
    /// Counts waiting tasks of a job further back in the queue.
    pub fn add_behind(&mut self, tasks: u32) {
        self.tasks_behind += tasks;
    }

    /// A job with these waiting tasks is up now, and no longer further back.
    pub fn reached(&mut self, tasks: u32) {
        self.tasks_behind = self.tasks_behind.saturating_sub(tasks);
    }

    /// The waiting tasks of the class's jobs further back in the queue.
    pub fn tasks_behind(&self) -> u32 {
        self.tasks_behind
    }

    /// Whether a ready machine may be found.
    pub fn may_find_ready(&self, access: ReservationAccess) -> bool {
        !self.ready_exhausted || access == ReservationAccess::Ignores && !self.reserved_exhausted
    }

    /// No ready machine has capacity that jobs with this access may use.
    pub fn exhaust_ready(&mut self, access: ReservationAccess) {
        self.ready_exhausted = true;
        self.reserved_exhausted |= access == ReservationAccess::Ignores;
    }

    /// Whether pending capacity may be found.
    pub fn may_find_pending(&self) -> bool {
        !self.pending_exhausted
    }

    /// No pending capacity is left.
    pub fn exhaust_pending(&mut self) {
        self.pending_exhausted = true;
    }

    /// Whether an offer to provision may be found.
    pub fn may_find_offer(&self) -> bool {
        !self.offers_exhausted
    }

    /// Nothing can be provisioned any more.
    pub fn exhaust_offers(&mut self) {
        self.offers_exhausted = true;
    }

    /// Notes that capacity is reserved for all waiting jobs of the class; false if it was before.
    pub fn claim_reservation(&mut self) -> bool {
        !std::mem::replace(&mut self.has_reservation, true)
    }
}
