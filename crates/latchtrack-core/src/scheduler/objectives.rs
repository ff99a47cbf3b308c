//! Jobs that are to start promptly, and whether they wait for a machine that holds their image.

use std::collections::HashSet;

use super::Scheduler;
use crate::job::{Job, JobSpec};
use crate::Millis;

/// Which images some machine holds, looked up once a second.
#[derive(Clone, Debug, Default)]
pub(super) struct ImageLocality {
    pub cached: HashSet<String>,
    pub updated_at: Option<Millis>,
}

impl Scheduler {
    /// Within how many ms the tasks of this job's class are to start, if that is an aim.
    pub(super) fn start_objective_ms(&self, spec: &JobSpec) -> Option<Millis> {
        self.policy
            .start_objectives
            .iter()
            .find(|(class, _)| *class == spec.class)
            .map(|(_, ms)| *ms)
    }

    /// Whether a job whose tasks are to start promptly had rather wait for a machine that holds its
    /// image: while the fetch would miss the aim in any case, and some machine has it.
    pub(super) fn waits_for_image(&self, now: Millis, job: &Job, kind: &str) -> bool {
        let spec = &job.spec;
        let Some(within) = self.start_objective_ms(spec) else { return false };
        let until = job.submitted_at.saturating_add(within);
        let speed = self.inventory.type_named(kind).map_or(0.0, |t| t.fetch_gb_per_s);
        speed > 0.0
            && now < until
            && self.image_locality.cached.contains(&spec.image)
            && (spec.image_gb / speed * 1000.0) > (until - now) as f64
    }

    /// The same for machines of any type: by the slowest, so that one answer does for all.
    pub(super) fn waits_for_image_anywhere(&self, now: Millis, job: &Job) -> bool {
        self.inventory.types().iter().any(|t| self.waits_for_image(now, job, &t.name))
    }
}
