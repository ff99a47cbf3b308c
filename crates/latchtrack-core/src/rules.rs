//! The checks behind the protocol's rules. The leader asks them before every launch; the tests
//! ask them of a simulated world after every step.

use crate::job::JobSpec;
use crate::placement::allowed;

/// Slack for sums of decimal amounts.
const HAIR: f64 = 1e-6;

/// `quota`: whether a team may use this much more of a resource. A limit of 0 is none.
pub fn within_limit(used: f64, more: f64, limit: f64) -> bool {
    limit <= 0.0 || used + more <= limit + HAIR
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
    if !spec.zoned() {
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::job::{Demand, JobId, Priority};

    #[test]
    fn zone_rules() {
        let mut spec = JobSpec {
            id: JobId(1),
            class: String::new(),
            team: String::new(),
            priority: Priority::Normal,
            tasks: 5,
            gang: false,
            demand: Demand::default(),
            types: Some(vec!["g".into()]),
            zone: None,
            one_zone: true,
            spread: false,
            spot: false,
            image: String::new(),
            image_gb: 0.0,
            estimate_s: 1.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
        };
        let none = || std::iter::empty();
        assert!(may_start(&spec, "g", "a", false, none()));
        assert!(!may_start(&spec, "h", "a", false, none()), "type");
        assert!(!may_start(&spec, "g", "a", true, none()), "spot");
        assert!(!may_start(&spec, "g", "a", false, ["b"].into_iter()), "one zone");
        spec.one_zone = false;
        spec.spread = true;
        assert!(may_start(&spec, "g", "a", false, ["a", "a", "b"].into_iter()), "3 of 5");
        assert!(!may_start(&spec, "g", "a", false, ["a", "a", "a"].into_iter()), "4 of 5");
        spec.zone = Some("b".into());
        assert!(!may_start(&spec, "g", "a", false, none()), "zone");
        assert!(within_limit(3.0, 1.0, 4.0) && !within_limit(3.5, 1.0, 4.0));
        assert!(within_limit(1e9, 1.0, 0.0), "0 is no limit");
    }
}
