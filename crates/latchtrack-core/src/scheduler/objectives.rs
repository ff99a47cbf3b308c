//! Start objectives: a job that has one may wait for a machine that holds its image.

use std::collections::HashSet;

use super::Scheduler;
use crate::constants::MAX_CYCLE_INTERVAL_MS;
use crate::job::{Job, JobSpec};
use crate::Millis;

/// The images held by machines, refreshed periodically.
#[derive(Clone, Debug, Default)]
pub(super) struct ImageLocality {
    /// Names of images that at least one machine holds.
    cached: HashSet<String>,
    /// The time at which `cached` was last refreshed; `None` before the first time.
    updated_at: Option<Millis>,
}

impl Scheduler {
    /// Collects the images held by machines that are up. Runs at most once per
    /// [`MAX_CYCLE_INTERVAL_MS`].
    pub(super) fn refresh_image_locality(&mut self, now: Millis) {
        let locality = &mut self.image_locality;
        if locality.updated_at.is_some_and(|at| now < at + MAX_CYCLE_INTERVAL_MS) {
            return;
        }
        locality.updated_at = Some(now);
        let machines_up =
            self.inventory.iter().filter(|machine| machine.is_up() && !machine.to_terminate);
        locality.cached =
            machines_up.flat_map(|machine| machine.images.names().map(str::to_string)).collect();
    }

    /// Returns the start objective of a job's class, in ms from submission, if it has one.
    pub(super) fn start_objective_ms(&self, spec: &JobSpec) -> Option<Millis> {
        let mut objectives = self.policy.start_objectives.iter();
        let objective = objectives.find(|objective| objective.class == spec.class)?;
        Some(objective.within_ms)
    }

    /// Whether a job with a start objective waits for a machine that holds its image instead of
    /// starting on a machine of this type. It does if some machine holds the image and fetching it
    /// would miss the objective.
    pub(super) fn waits_for_image(&self, now: Millis, job: &Job, machine_type: &str) -> bool {
        let spec = &job.spec;
        let Some(within_ms) = self.start_objective_ms(spec) else { return false };
        let start_by = job.submitted_at.saturating_add(within_ms);
        let gb_per_s = self.inventory.type_named(machine_type).map_or(0.0, |t| t.fetch_gb_per_s);
        gb_per_s > 0.0
            && now < start_by
            && self.image_locality.cached.contains(&spec.image)
            && (spec.image_gb / gb_per_s * 1000.0) > (start_by - now) as f64
    }

    /// Whether [`Self::waits_for_image`] holds for any of the machine types.
    pub(super) fn waits_for_image_anywhere(&self, now: Millis, job: &Job) -> bool {
        self.inventory.types().iter().any(|t| self.waits_for_image(now, job, &t.name))
    }
}
