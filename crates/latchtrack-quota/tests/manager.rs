//! A single allotment manager: teams that are not shared, launch limits before the first snapshot,
//! and the limit on writes in flight.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::manager_of;
use latchtrack_quota::{
    AllotmentManager, LaunchLimit, LedgerSnapshot, Limit, LocalUsage, MilliResources, Notice,
    StoredLedger, TeamLedger, TeamQuota, WriteOutcome,
};

/// Creates a manager in term 5 for teams given by name, limit and guarantee, both in CPUs.
fn manager(teams: &[(&str, f64, f64)]) -> AllotmentManager {
    let quota = |limit: f64, guarantee: f64| TeamQuota {
        limit: Limit::of(limit, 0.0),
        guarantee: MilliResources::covering(guarantee, 0.0),
    };
    let teams: Vec<(&str, TeamQuota)> =
        teams.iter().map(|(name, limit, guarantee)| (*name, quota(*limit, *guarantee))).collect();
    manager_of("east", 5, &teams)
}

fn reconciled_usages(names: &[&str]) -> BTreeMap<String, LocalUsage> {
    let usage = LocalUsage { is_reconciled: true, ..LocalUsage::default() };
    names.iter().map(|name| (name.to_string(), usage)).collect()
}

fn snapshot(revision: u64) -> LedgerSnapshot {
    LedgerSnapshot { revision, ..LedgerSnapshot::default() }
}

#[test]
fn a_team_without_a_limit_and_a_ledger_is_unlimited() {
    let mut manager = manager(&[("free", 0.0, 4.0)]);
    let nothing = Some(LaunchLimit { millicpus: Some(0), milligpus: Some(0) });
    assert_eq!(manager.launch_limit("free"), nothing, "before the first snapshot");
    manager.observe(0, snapshot(4));
    assert_eq!(manager.launch_limit("free"), nothing, "after a snapshot from before the term");
    manager.observe(0, snapshot(5));
    assert_eq!((manager.launch_limit("free"), manager.guarantee("free")), (None, None));
    assert_eq!(manager.step(0, &reconciled_usages(&["free"])), []);
}

#[test]
fn a_stored_limit_applies_if_the_settings_have_none() {
    let mut manager = manager(&[("free", 0.0, 0.0)]);
    let mut ledger = TeamLedger::new(Limit::of(8.0, 0.0), MilliResources::ZERO);
    ledger.complete = true;
    let mut snapshot = snapshot(9);
    snapshot.teams.insert("free".into(), StoredLedger { revision: 7, ledger: Ok(ledger) });
    manager.observe(0, snapshot);
    assert_eq!(manager.launch_limit("free").unwrap().millicpus, Some(0));
    assert!(matches!(manager.take_notices()[..], [Notice::SettingsDiffer { .. }]));
    assert_eq!(manager.take_notices(), [], "the notice is not repeated");
}

#[test]
fn writes_in_flight_are_limited_and_teams_take_turns() {
    let names: Vec<String> = (0..50).map(|i| format!("t{i:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let teams: Vec<(&str, f64, f64)> = names.iter().map(|name| (*name, 4.0, 0.0)).collect();
    let mut manager = manager(&teams);
    manager.observe(0, snapshot(5));
    let mut written = BTreeSet::new();
    let mut revision = 5;
    for round in 0..13 {
        let writes = manager.step(round * 1_000, &reconciled_usages(&names));
        assert!(writes.len() <= 4, "{} writes", writes.len());
        assert_eq!(
            manager.step(round * 1_000 + 1, &reconciled_usages(&names)).len() + writes.len(),
            writes.len()
        );
        for write in writes {
            revision += 1;
            manager.handle_write_outcome(round * 1_000, &write, WriteOutcome::Stored(revision));
            written.insert(write.team.clone());
        }
    }
    assert!(written.len() >= 26, "{} teams", written.len());
}
