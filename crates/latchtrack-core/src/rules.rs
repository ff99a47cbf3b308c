//! The placement rules of the protocol. The scheduler checks them before every launch, and the
//! simulation tests check them after every step.

use crate::constants::AMOUNT_TOLERANCE;
use crate::job::JobSpec;
use crate::placement::is_allowed;

/// The rule `quota`: whether a team that uses `used` of a resource may use `more`. A limit of 0
/// means no limit.
pub fn within_limit(used: f64, more: f64, limit: f64) -> bool {
    limit <= 0.0 || used + more <= limit + AMOUNT_TOLERANCE
}

/// Returns how many tasks of a spread job may be in one zone: half of them, rounded up.
pub fn max_tasks_per_zone(tasks: u32) -> u32 {
    tasks.div_ceil(2)
}

/// The rule `wrong_place`: whether another task of the job may start on a machine of this type,
/// zone and kind. `zones` has the zone of each of the job's other live tasks.
pub fn may_start<'a>(
    spec: &JobSpec,
    machine_type: &str,
    zone: &str,
    spot: bool,
    zones: impl Iterator<Item = &'a str>,
) -> bool {
    if !is_allowed(spec, machine_type, zone, spot) {
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
