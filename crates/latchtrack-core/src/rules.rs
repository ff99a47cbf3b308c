//! The protocol's rules of placement. The scheduler checks them before every launch; the tests
//! check them in a simulated world after every step.

use crate::constants::AMOUNT_TOLERANCE;
use crate::job::JobSpec;
use crate::placement::allowed;

/// The rule `quota`: whether a team may use this much more of a resource. A limit of 0 is none.
pub fn within_limit(used: f64, more: f64, limit: f64) -> bool {
    limit <= 0.0 || used + more <= limit + AMOUNT_TOLERANCE
}

/// How many tasks of a job that is to be spread may be in one zone: half of them, rounded up.
pub fn max_tasks_per_zone(tasks: u32) -> u32 {
    tasks.div_ceil(2)
}

/// The rule `wrong_place`: whether one more task of the job may start on a machine of this type,
/// zone and kind, while its other live tasks are in `zones` (one entry a task).
pub fn may_start<'a>(
    spec: &JobSpec,
    machine_type: &str,
    zone: &str,
    spot: bool,
    zones: impl Iterator<Item = &'a str>,
) -> bool {
    if !allowed(spec, machine_type, zone, spot) {
        return false;
    }
    if !spec.is_zone_constrained() {
        return true;
    }
    let (mut here, mut elsewhere) = (0u32, 0u32);
    for other in zones {
        if other == zone {
            here += 1;
        } else {
            elsewhere += 1;
        }
    }
    (!spec.one_zone || elsewhere == 0) && (!spec.spread || here < max_tasks_per_zone(spec.tasks))
}
