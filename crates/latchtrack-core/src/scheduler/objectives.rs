//! Start objectives, and whether a job with one waits for a machine that holds its image.

use std::collections::HashSet;

use super::Scheduler;
use crate::constants::MAX_CYCLE_INTERVAL_MS;
use crate::job::{Job, JobSpec};
use crate::Millis;

/// Which images some machine holds, looked up now and then.
#[derive(Clone, Debug, Default)]
pub(super) struct ImageLocality {
    /// The images by name.
    cached: HashSet<String>,
    /// When they were looked up.
    updated_at: Option<Millis>,
}

impl Scheduler {
    /// Looks up which images machines that are up hold, at most once in [`MAX_CYCLE_INTERVAL_MS`].
    pub(super) fn refresh_image_locality(&mut self, now: Millis) {
        let locality = &mut self.image_locality;
        if locality.updated_at.is_some_and(|at| now < at + MAX_CYCLE_INTERVAL_MS) {
            return;
        }
        locality.updated_at = Some(now);
        let up = self.inventory.iter().filter(|machine| machine.is_up() && !machine.to_terminate);
        locality.cached =
            up.flat_map(|machine| machine.images.names().map(str::to_string)).collect();
    }

    /// Within how many ms the tasks of this job are to start, if its class has a start objective.
    pub(super) fn start_objective_ms(&self, spec: &JobSpec) -> Option<Millis> {
        let mut objectives = self.policy.start_objectives.iter();
        let objective = objectives.find(|objective| objective.class == spec.class)?;
        Some(objective.within_ms)
    }

    /// Whether a job with a start objective waits for a machine that holds its image rather than
    /// start on one of this type: while some machine has the image, and fetching it would miss the
    /// objective.
    pub(super) fn waits_for_image(&self, now: Millis, job: &Job, machine_type: &str) -> bool {
        let spec = &job.spec;
        let Some(within_ms) = self.start_objective_ms(spec) else { return false };
        let until = job.submitted_at.saturating_add(within_ms);
        let gb_per_s = self.inventory.type_named(machine_type).map_or(0.0, |t| t.fetch_gb_per_s);
        gb_per_s > 0.0
            && now < until
            && self.image_locality.cached.contains(&spec.image)
            && (spec.image_gb / gb_per_s * 1000.0) > (until - now) as f64
    }

    /// The same for machines of any type: by the slowest, so that one answer serves for all.
    pub(super) fn waits_for_image_anywhere(&self, now: Millis, job: &Job) -> bool {
        self.inventory.types().iter().any(|t| self.waits_for_image(now, job, &t.name))
    }
}
