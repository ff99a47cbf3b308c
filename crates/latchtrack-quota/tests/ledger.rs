//! The stored ledger format, which is published, and the rejection of invalid ledgers.

use latchtrack_quota::{LedgerError, Limit, MilliResources, TeamLedger};

/// A ledger as stored by the first version with shared limits.
const STORED: &str = concat!(
    r#"{"version":1,"limit":{"millicpus":40000,"milligpus":8000},"guarantee":{"millicpus":4000},"#,
    r#""next_ticket":8,"complete":true,"cells":{"#,
    r#""east":{"allotted":{"millicpus":12500,"milligpus":2000},"term":431,"since_ms":1764680000000},"#,
    r#""west":{"allotted":{},"term":433,"since_ms":1764680000500,"request":{"ticket":7,"#,
    r#""need":{"millicpus":4000},"want":{"millicpus":40000,"milligpus":1000}}}}}"#
);

#[test]
fn a_ledger_round_trips_byte_for_byte() {
    let ledger = TeamLedger::parse(STORED).unwrap();
    assert_eq!(ledger.limit, Limit::of(40.0, 8.0));
    assert_eq!(ledger.allotted_to("east"), MilliResources { millicpus: 12_500, milligpus: 2_000 });
    assert_eq!(ledger.allotted_to("north"), MilliResources::ZERO);
    assert_eq!(ledger.unallotted(), MilliResources { millicpus: 27_500, milligpus: 6_000 });
    assert_eq!(serde_json::to_string(&ledger).unwrap(), STORED);
}

#[test]
fn unknown_fields_are_kept() {
    let text = STORED
        .replace(r#""next_ticket":8"#, r#""next_ticket":8,"later":[1]"#)
        .replace(r#""term":431"#, r#""term":431,"colour":"red""#);
    let stored = serde_json::to_string(&TeamLedger::parse(&text).unwrap()).unwrap();
    assert!(stored.contains(r#""later":[1]"#) && stored.contains(r#""colour":"red""#), "{stored}");
}

#[test]
fn unusable_ledgers_are_rejected_with_a_reason() {
    let newer = STORED.replace(r#""version":1"#, r#""version":2"#);
    assert_eq!(TeamLedger::parse(&newer), Err(LedgerError::NewerVersion(2)));
    for text in ["", "null", "{}", "7", r#"{"version":1}"#, &STORED.replace("12500", "-1")] {
        let error = TeamLedger::parse(text).unwrap_err();
        assert!(matches!(error, LedgerError::Malformed(_)), "{text}: {error}");
    }
}

#[test]
fn a_resource_without_a_limit_is_not_counted() {
    let mut ledger = TeamLedger::parse(STORED).unwrap();
    ledger.limit.milligpus = None;
    assert!(!ledger.is_overallotted());
    assert_eq!(ledger.unallotted(), MilliResources { millicpus: 27_500, milligpus: 0 });
    ledger.limit.millicpus = Some(12_499);
    assert!(ledger.is_overallotted());
}

#[test]
fn rounding_never_exceeds_the_limit() {
    assert_eq!(Limit::of(1.9999, 0.0).millicpus, Some(1_999));
    assert_eq!(Limit::of(0.0, 0.0), Limit::default());
    assert_eq!(MilliResources::covering(1.0001, 0.1 + 0.2).millicpus, 1_001);
    assert_eq!(MilliResources::covering(0.0, 0.1 + 0.2).milligpus, 300);
}
