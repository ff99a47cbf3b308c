//! The scheduling cycle places the whole queue on the free capacity of all machines. Between two
//! cycles, `backfill` fills the capacity that individual heartbeats free.

use super::cycle_state::SchedulingCycle;
use super::queue::QueueEntry;
use super::Scheduler;
use crate::constants::{MAX_CYCLE_INTERVAL_MS, MIN_CYCLE_INTERVAL_MS};
use crate::job::{JobSpec, Resources};
use crate::Millis;

/// Decides when the next scheduling cycle is due.
#[derive(Clone, Debug)]
pub(super) struct CycleTimer {
    /// The time at which the last cycle started; `None` before the first one.
    last_at: Option<Millis>,
    /// Cycles started in this term.
    count: u64,
    /// Whether something has changed since the last cycle started.
    requested: bool,
}

impl Default for CycleTimer {
    fn default() -> Self {
        CycleTimer { last_at: None, count: 0, requested: true }
    }
}

impl CycleTimer {
    /// Requests a cycle because something has changed that affects scheduling.
    pub fn request(&mut self) {
        self.requested = true;
    }

    /// Returns the number of cycles started in this term.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Whether a cycle is due. Changes in quick succession share one cycle. Without changes there
    /// is still one every [`MAX_CYCLE_INTERVAL_MS`], since deadlines approach.
    fn is_due(&self, now: Millis) -> bool {
        self.last_at.is_none_or(|last_at| {
            now >= last_at + MIN_CYCLE_INTERVAL_MS
                && (self.requested || now >= last_at + MAX_CYCLE_INTERVAL_MS)
        })
    }

    fn start(&mut self, now: Millis) {
        self.last_at = Some(now);
        self.count += 1;
        self.requested = false;
    }
}

impl Scheduler {
    /// Whether [`Self::run_cycle`] should be called now.
    pub(super) fn cycle_due(&self, now: Millis) -> bool {
        self.cycle_timer.is_due(now)
    }

    /// Runs a scheduling cycle over the whole queue, and keeps the entries with waiting tasks for
    /// backfill.
    pub(super) fn run_cycle(&mut self, now: Millis) {
        // Moved tasks start on the targets reserved for them, without going through the queue.
        self.advance_moves(now);
        self.cycle_timer.start(now);
        self.refresh_image_locality(now);
        let mut cycle = self.start_cycle(now);
        let mut entries = self.order_queue(now, &cycle);
        self.count_waiting_tasks(&entries, &mut cycle);
        self.schedule_starving_jobs(now, &entries, &mut cycle);
        self.fill_gang_reserves(now, &mut cycle);
        for entry in &mut entries {
            self.schedule_entry(now, entry, &mut cycle);
        }
        self.queue.keep_for_backfill(entries, &self.jobs);
        self.reservations.replace(cycle.into_reservations());
    }

    /// Takes a snapshot of the free capacity and of the teams' usage.
    fn start_cycle(&mut self, now: Millis) -> SchedulingCycle {
        let (capacities, total) = self.free_capacities(now);
        let searches = self.equivalence_classes.new_searches();
        self.queue.start_cycle();
        self.quota.start_cycle();
        SchedulingCycle::new(capacities, total, searches, self.limited_usage())
    }

    /// Counts the waiting tasks of each equivalence class, since capacity is provisioned and
    /// reserved for a class as a whole.
    fn count_waiting_tasks(&self, entries: &[QueueEntry], cycle: &mut SchedulingCycle) {
        for entry in entries {
            let Some(job) = self.jobs.get(&entry.job) else { continue };
            if !job.is_quarantined {
                let tasks = job.schedulable_tasks().min(entry.max_tasks);
                cycle.search_mut(job.equivalence_class).add_tasks_behind(tasks);
            }
        }
    }

    /// Returns how many tasks of a job must start together.
    pub(super) fn slice_size(&self, spec: &JobSpec) -> u32 {
        if spec.gang {
            return spec.tasks;
        }
        // A slice larger than the team's limit could never start.
        let max_tasks =
            self.policy.slice.min(self.tasks_allowed_besides(spec, Resources::default()));
        max_tasks.clamp(1, spec.tasks)
    }
}
