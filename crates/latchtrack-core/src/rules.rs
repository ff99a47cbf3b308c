//! The checks behind the protocol's rules. The leader asks them before every launch; the tests
//! ask them of a simulated world after every step.

use crate::constants::AMOUNT_ROUNDING;
use crate::job::JobSpec;
use crate::placement::allowed;

/// `quota`: whether a team may use this much more of a resource. A limit of 0 is none.
pub fn within_limit(used: f64, more: f64, limit: f64) -> bool {
    limit <= 0.0 || used + more <= limit + AMOUNT_ROUNDING
}

/// Most tasks of a job that may be in one zone when it is to be spread: half, rounded up.
pub fn zone_share(tasks: u32) -> u32 {
    tasks.div_ceil(2)
}

/// `wrong_place`: whether one more task of the job may start on a machine like this, its other
/// live tasks being in `zones` (one entry a task).
pub fn may_start<'a>(
    spec: &JobSpec,
    kind: &str,
    zone: &str,
    spot: bool,
    zones: impl Iterator<Item = &'a str>,
) -> bool {
    if !allowed(spec, kind, zone, spot) {
        return false;
    }
    if !spec.is_zone_constrained() {
        return true;
    }
    let (mut here, mut elsewhere) = (0u32, 0u32);
    for z in zones {
        if z == zone {
            here += 1;
        } else {
            elsewhere += 1;
        }
    }
    (!spec.one_zone || elsewhere == 0) && (!spec.spread || here < zone_share(spec.tasks))
}
