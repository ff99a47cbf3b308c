//! A manager by itself: teams that are not shared, what it launches by before it has looked, writes at a time.

use std::collections::BTreeMap;

use latchtrack_quota::*;

fn manager(teams: &[(&str, f64, f64)]) -> AllotmentManager {
    let terms = |limit: f64, guarantee: f64| TeamQuota {
        limit: Limit::of(limit, 0.0),
        guarantee: MilliResources::covering(guarantee, 0.0),
    };
    let teams =
        teams.iter().map(|(name, limit, guarantee)| (name.to_string(), terms(*limit, *guarantee)));
    AllotmentManager::new(AllotmentManagerSettings {
        cell: "east".into(),
        term: 5,
        teams: teams.collect(),
    })
}

fn settled(names: &[&str]) -> BTreeMap<String, LocalUsage> {
    let usage = LocalUsage { is_reconciled: true, ..LocalUsage::default() };
    names.iter().map(|name| (name.to_string(), usage)).collect()
}

fn snapshot(revision: u64) -> LedgerSnapshot {
    LedgerSnapshot { revision, ..LedgerSnapshot::default() }
}

#[test]
fn a_team_without_a_limit_is_not_shared_once_its_ledger_is_seen_missing() {
    let mut manager = manager(&[("free", 0.0, 4.0)]);
    let nothing = Some(LaunchLimit { millicpus: Some(0), milligpus: Some(0) });
    assert_eq!(manager.launch_limit("free"), nothing, "not looked at yet");
    manager.observe(0, snapshot(4));
    assert_eq!(manager.launch_limit("free"), nothing, "a look from before the term");
    manager.observe(0, snapshot(5));
    assert_eq!((manager.launch_limit("free"), manager.guarantee("free")), (None, None));
    assert_eq!(manager.step(0, &settled(&["free"])), []);
}

#[test]
fn a_stored_limit_counts_for_a_cell_whose_settings_have_none() {
    let mut manager = manager(&[("free", 0.0, 0.0)]);
    let mut ledger = TeamLedger::new(Limit::of(8.0, 0.0), MilliResources::NONE);
    ledger.complete = true;
    let mut snapshot = snapshot(9);
    snapshot.teams.insert("free".into(), StoredLedger { revision: 7, ledger: Ok(ledger) });
    manager.observe(0, snapshot);
    assert_eq!(manager.launch_limit("free").unwrap().millicpus, Some(0));
    let told = |manager: &mut AllotmentManager| manager.take_notices();
    assert!(matches!(told(&mut manager)[..], [Notice::Differs { .. }]));
    assert_eq!(told(&mut manager), [], "once");
}

#[test]
fn four_writes_are_in_flight_at_a_time_and_every_team_gets_its_turn() {
    let names: Vec<String> = (0..50).map(|i| format!("t{i:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let teams: Vec<(&str, f64, f64)> = names.iter().map(|name| (*name, 4.0, 0.0)).collect();
    let mut manager = manager(&teams);
    manager.observe(0, snapshot(5));
    let mut written = std::collections::BTreeSet::new();
    let mut revision = 5;
    for round in 0..13 {
        let writes = manager.step(round * 1_000, &settled(&names));
        assert!(writes.len() <= 4, "{} writes", writes.len());
        assert_eq!(
            manager.step(round * 1_000 + 1, &settled(&names)).len() + writes.len(),
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
