//! The protocol's rules on where tasks may start and on team limits.

use latchtrack_core::job::{JobId, JobSpec, Priority, Resources};
use latchtrack_core::rules::{may_start, within_limit};

#[test]
fn zone_type_spot_and_limit_rules() {
    let mut spec = JobSpec {
        id: JobId(1),
        class: String::new(),
        team: String::new(),
        priority: Priority::Normal,
        tasks: 5,
        gang: false,
        demand: Resources::default(),
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
    assert!(within_limit(1e9, 1.0, 0.0), "a limit of 0 means no limit");
}
