//! The state that the steps of one scheduling cycle share.

use std::sync::Arc;

use super::team_limits::UsageByTeam;
use crate::job::{ClassId, JobSpec, Resources};
use crate::placement::{FreeCapacity, Reservation};

/// The state of one scheduling cycle: free capacity and team usage after the placements so far, and
/// the search results of each equivalence class.
pub(super) struct SchedulingCycle {
    /// Ready and pending machines, including reserved ones.
    capacities: Vec<FreeCapacity>,
    /// Total resources of all machines that are up.
    total: Resources,
    /// The search results of each equivalence class, indexed by [`ClassId`].
    searches: Vec<ClassSearch>,
    /// Usage by team; empty if no team has a limit.
    used: UsageByTeam,
    /// `used` plus the tasks counted on pending machines.
    expected: UsageByTeam,
}

impl SchedulingCycle {
    /// Creates a cycle in which nothing has been placed. `total` covers the machines that are up;
    /// `used` is empty if no team has a limit.
    pub fn new(
        capacities: Vec<FreeCapacity>,
        total: Resources,
        searches: Vec<ClassSearch>,
        used: UsageByTeam,
    ) -> Self {
        SchedulingCycle { capacities, total, searches, expected: used.clone(), used }
    }

    /// Returns the ready and pending capacities. An index into them stays valid for the whole
    /// cycle.
    pub fn capacities(&self) -> &[FreeCapacity] {
        &self.capacities
    }

    /// Returns the total resources of all machines that are up, whether free or in use.
    pub fn total(&self) -> &Resources {
        &self.total
    }

    /// Returns the capacities of machines that are not ready for tasks yet.
    pub fn pending_mut(&mut self) -> impl Iterator<Item = &mut FreeCapacity> {
        self.capacities.iter_mut().filter(|capacity| !capacity.ready)
    }

    /// Adds newly requested machines. Jobs of all classes may use the capacity that is left over by
    /// the job for which they were requested.
    pub fn add_pending(&mut self, capacity: &FreeCapacity, machines: u32) {
        self.capacities.extend((0..machines).map(|_| capacity.clone()));
        for search in &mut self.searches {
            search.pending_exhausted = false;
        }
    }

    /// Subtracts the demand of `tasks` tasks from a capacity. Returns its machine, or `None` if the
    /// machine has only been requested.
    pub fn take(&mut self, index: usize, demand: &Resources, tasks: u32) -> Option<Arc<str>> {
        let capacity = &mut self.capacities[index];
        capacity.take(demand, tasks);
        capacity.machine.clone()
    }

    /// Reserves a capacity; other jobs may use only the spare part of the reservation.
    pub fn reserve(&mut self, index: usize, reservation: Reservation) {
        self.capacities[index].reservation = Some(reservation);
    }

    /// Returns the reservations made in this cycle, by machine. Machines that have only been
    /// requested are left out.
    pub fn into_reservations(self) -> impl Iterator<Item = (Arc<str>, Reservation)> {
        self.capacities
            .into_iter()
            .filter_map(|capacity| Some((capacity.machine?, capacity.reservation?)))
    }

    /// Returns the search results of an equivalence class.
    pub fn search(&self, class: ClassId) -> &ClassSearch {
        &self.searches[class.0]
    }

    /// Returns a mutable reference to the search results of an equivalence class.
    pub fn search_mut(&mut self, class: ClassId) -> &mut ClassSearch {
        &mut self.searches[class.0]
    }

    /// Returns the usage by team, including the tasks placed in this cycle.
    pub fn used(&self) -> &UsageByTeam {
        &self.used
    }

    /// Returns the usage by team once the tasks counted on pending machines run too.
    pub fn expected(&self) -> &UsageByTeam {
        &self.expected
    }

    /// Counts tasks that were placed, or for which part of their team's limit is reserved.
    pub fn count_used(&mut self, spec: &JobSpec, tasks: u32) {
        self.used.add(spec, tasks);
        self.expected.add(spec, tasks);
    }

    /// Counts tasks that were assigned to pending capacity.
    pub fn count_expected(&mut self, spec: &JobSpec, tasks: u32) {
        self.expected.add(spec, tasks);
    }
}

/// A capacity of the cycle with a number of tasks: those to place there, or those that fit.
#[derive(Clone, Copy, Debug)]
pub(super) struct TasksAt {
    /// Index into [`SchedulingCycle::capacities`].
    pub index: usize,
    /// Number of tasks.
    pub tasks: u32,
}

/// Whether a job may use capacity that is reserved for jobs of other classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReservationAccess {
    /// Reservations for other classes apply to the job.
    Respects,
    /// The job has waited so long that only exclusive reservations apply to it.
    Ignores,
}

/// What a cycle has found out about an equivalence class, so that a search that failed for one job
/// is not repeated for the others.
#[derive(Clone, Copy, Default)]
pub(super) struct ClassSearch {
    /// No ready machine has capacity left for the class, except what is reserved for other classes.
    ready_exhausted: bool,
    /// No ready machine has capacity left for the class, even where it is reserved for other
    /// classes.
    reserved_exhausted: bool,
    /// No pending machine has capacity left for the class.
    pending_exhausted: bool,
    /// No machine can be provisioned for the class.
    offers_exhausted: bool,
    /// Capacity was reserved for the waiting jobs of the class.
    has_reservation: bool,
    /// Waiting tasks of the class's jobs that the cycle has not reached yet.
    tasks_behind: u32,
}

impl ClassSearch {
    /// Adds the waiting tasks of a job that the cycle has not reached yet.
    pub fn add_tasks_behind(&mut self, tasks: u32) {
        self.tasks_behind += tasks;
    }

    /// Removes the waiting tasks of a job that the cycle has reached. Saturates at 0.
    pub fn remove_tasks_behind(&mut self, tasks: u32) {
        self.tasks_behind = self.tasks_behind.saturating_sub(tasks);
    }

    /// Returns the number of waiting tasks of the class's jobs further back in the queue.
    pub fn tasks_behind(&self) -> u32 {
        self.tasks_behind
    }

    /// Whether a search for ready machines is worthwhile for a job with this access.
    pub fn may_find_ready(&self, access: ReservationAccess) -> bool {
        !self.ready_exhausted || access == ReservationAccess::Ignores && !self.reserved_exhausted
    }

    /// Records that no ready machine has capacity for jobs with this access.
    pub fn mark_ready_exhausted(&mut self, access: ReservationAccess) {
        self.ready_exhausted = true;
        self.reserved_exhausted |= access == ReservationAccess::Ignores;
    }

    /// Whether a search for pending capacity is worthwhile.
    pub fn may_find_pending(&self) -> bool {
        !self.pending_exhausted
    }

    /// Records that no pending capacity is left. [`SchedulingCycle::add_pending`] resets this.
    pub fn mark_pending_exhausted(&mut self) {
        self.pending_exhausted = true;
    }

    /// Whether a search for a machine to provision is worthwhile.
    pub fn may_find_offer(&self) -> bool {
        !self.offers_exhausted
    }

    /// Records that no machine can be provisioned for the rest of the cycle.
    pub fn mark_offers_exhausted(&mut self) {
        self.offers_exhausted = true;
    }

    /// Records that capacity is reserved for the waiting jobs of the class. Returns false if that
    /// was recorded before.
    pub fn claim_reservation(&mut self) -> bool {
        !std::mem::replace(&mut self.has_reservation, true)
    }
}
