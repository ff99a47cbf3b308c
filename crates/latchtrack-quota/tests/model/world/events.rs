//! Events of the model: tasks start and end, leaders are lost and elected, and time passes.

use super::*;

impl World {
    /// Lets less time pass than the leases last.
    pub(super) fn pause(&self) -> Option<World> {
        let mut next = self.after_action("a pause".into());
        next.budget.pauses = self.budget.pauses.checked_sub(1)?;
        next.now += PAUSE_MS;
        Some(next)
    }

    /// Adds waiting tasks to the first cell, east.
    pub(super) fn add_work(&self) -> Option<World> {
        let mut next = self.after_action("work arrives in east".into());
        next.budget.arrivals = self.budget.arrivals.checked_sub(1)?;
        next.cells[0].waiting += 2;
        Some(next)
    }

    /// Starts a task, if the cell's launch limit allows it and its leader knows all running tasks.
    pub(super) fn start_task(&self, i: usize) -> Option<World> {
        let cell = &self.cells[i];
        let may_launch =
            cell.has_leader && (cell.known_running + 1) * TASK_MILLICPUS <= cell.launch_limit;
        if cell.manager.is_none()
            || cell.waiting == 0
            || !may_launch
            || cell.known_running != cell.running
        {
            return None;
        }
        let mut next = self.after_action(format!("{} starts a task", CELL_NAMES[i]));
        let cell = &mut next.cells[i];
        cell.waiting -= 1;
        cell.running += 1;
        cell.known_running += 1;
        Some(next)
    }

    /// Ends a task, if the cell's leader knows all running tasks.
    pub(super) fn end_task(&self, i: usize) -> Option<World> {
        let cell = &self.cells[i];
        if cell.running == 0 || cell.known_running != cell.running || !cell.has_leader {
            return None;
        }
        let mut next = self.after_action(format!("a task of {} ends", CELL_NAMES[i]));
        next.cells[i].running -= 1;
        next.cells[i].known_running -= 1;
        Some(next)
    }

    /// Removes the leader of a cell, as if it crashed or its lease expired.
    pub(super) fn lose_leader(&self, i: usize) -> Option<World> {
        if self.budget.leader_losses == 0 || !self.cells[i].has_leader {
            return None;
        }
        let mut next = self.after_action(format!("{} loses its leader", CELL_NAMES[i]));
        next.budget.leader_losses -= 1;
        next.revision += 1;
        let cell = &mut next.cells[i];
        (cell.has_leader, cell.manager) = (false, None);
        Some(next)
    }

    /// Elects a new leader, which initially does not know the running tasks.
    pub(super) fn elect_leader(&self, i: usize) -> Option<World> {
        if self.cells[i].has_leader {
            return None;
        }
        let mut next = self.after_action(format!("{} has a new leader", CELL_NAMES[i]));
        next.revision += 1;
        let term = next.revision;
        let cell = &mut next.cells[i];
        (cell.has_leader, cell.term, cell.launch_limit, cell.known_running) = (true, term, 0, 0);
        cell.manager = Some(manager(CELL_NAMES[i], term));
        Some(next)
    }

    /// Lets more time pass than the leases last, if the budget allows: tasks of cells without a
    /// leader end. Leaders learn which tasks are running in any case.
    pub(super) fn wait(&self) -> Option<World> {
        if self.budget.waits == 0
            && self.cells.iter().all(|cell| cell.known_running == cell.running)
        {
            return None;
        }
        let mut next = self.after_action("time passes".into());
        if self.budget.waits > 0 {
            next.budget.waits -= 1;
            next.now += WAIT_MS;
            for cell in next.cells.iter_mut().filter(|cell| !cell.has_leader) {
                cell.running = 0;
            }
        }
        for cell in next.cells.iter_mut().filter(|cell| cell.has_leader) {
            cell.known_running = cell.running;
        }
        Some(next)
    }
}
