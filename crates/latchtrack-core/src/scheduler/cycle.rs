//! The scheduling cycle: the whole queue is placed on what all machines have free. Between two
//! cycles, `backfill` fills what single heartbeats have freed.

use super::cycle_state::SchedulingCycle;
use super::queue::QueueEntry;
use super::Scheduler;
use crate::constants::{MAX_CYCLE_INTERVAL_MS, MIN_CYCLE_INTERVAL_MS};
use crate::job::{JobSpec, Resources};
use crate::Millis;

/// When the next scheduling cycle is due.
#[derive(Clone, Debug)]
pub(super) struct CycleTimer {
    /// When the last one began.
    last_at: Option<Millis>,
    /// Cycles in this term.
    count: u64,
    /// Something has changed since the last one.
    requested: bool,
}

impl Default for CycleTimer {
    fn default() -> Self {
        CycleTimer { last_at: None, count: 0, requested: true }
    }
}

impl CycleTimer {
    /// Something has changed that the next cycle should take into account.
    pub fn request(&mut self) {
        self.requested = true;
    }

    /// Cycles in this term.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Whether a cycle is due: many changes in a row share one, and without any change there is one
    /// now and then, since deadlines come closer.
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
    /// Whether a scheduling cycle is due.
    pub(super) fn cycle_due(&self, now: Millis) -> bool {
        self.cycle_timer.is_due(now)
    }

    /// Runs a scheduling cycle.
    pub(super) fn run_cycle(&mut self, now: Millis) {
        // Tasks that move start on the targets reserved for them, outside of the queue.
        self.advance_moves(now);
        self.cycle_timer.start(now);
        self.refresh_image_locality(now);
        let mut cycle = self.start_cycle(now);
        let mut entries = self.order_queue(now, &cycle);
        self.count_waiting_tasks(&entries, &mut cycle);
        self.serve_starving_jobs(now, &entries, &mut cycle);
        self.fill_gang_reserves(now, &mut cycle);
        for entry in &mut entries {
            self.schedule_entry(now, entry, &mut cycle);
        }
        self.queue.keep_for_backfill(entries, &self.jobs);
        self.reservations.replace(cycle.into_reservations());
    }

    /// A snapshot of the free capacity and of what the teams use.
    fn start_cycle(&mut self, now: Millis) -> SchedulingCycle {
        let (capacities, total) = self.free_capacities(now);
        let searches = self.equivalence_classes.new_searches();
        self.queue.start_cycle();
        self.quota.start_cycle();
        SchedulingCycle::new(capacities, total, searches, self.limited_usage())
    }

    /// Counts the waiting tasks of each equivalence class: capacity is provisioned and reserved for
    /// all of them together.
    fn count_waiting_tasks(&self, entries: &[QueueEntry], cycle: &mut SchedulingCycle) {
        for entry in entries {
            let Some(job) = self.jobs.get(&entry.job) else { continue };
            if !job.is_quarantined {
                let tasks = job.schedulable_tasks().min(entry.max_tasks);
                cycle.search_mut(job.equivalence_class).add_behind(tasks);
            }
        }
    }

    /// How many tasks of a job start together.
    pub(super) fn slice_size(&self, spec: &JobSpec) -> u32 {
        if spec.gang {
            return spec.tasks;
        }
        // A slice above what its team may ever use would never start.
        let most = self.policy.slice.min(self.within_limit(spec, Resources::default()));
        most.clamp(1, spec.tasks)
    }
}
