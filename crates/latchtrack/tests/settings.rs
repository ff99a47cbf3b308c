//! Validation of a node's settings, and the values derived from them.

use latchtrack::constants as c;
use latchtrack::settings::{parse_tuning, Objective, Peer, Platform, Settings, Tuning};
use latchtrack_core::scheduler::StartObjective;

const SAMPLE: &str = r#"{"node_name":"one","domain":"a","bind":"127.0.0.1:0",
    "peer_bind":"127.0.0.1:0","others":[],
    "external":{"cloud":"127.0.0.1:1","state":"127.0.0.1:2"},"future":{"x":1},
    "params":{"zones":["a"],"teams":[{"name":"t"}],
    "workers":{"report_s":3.0,"lease_s":30.0,"cancel_s":60.0},
    "state":{"rps":100.0,"write_rps":30.0,"value_kb":4.0,"txn_ops":8},
    "cloud":{"rps":4.0,"list_lag_s":3.0},
    "machine_limits":{"cpu":0.1,"mem_mb":64.0,"max_sockets":900}}}"#;

fn sample() -> Settings {
    Settings { platform: serde_json::from_str(SAMPLE).unwrap(), tuning: Tuning::default() }
}

/// Regression test: if a class had several objectives, the first one listed applied instead of the
/// tightest, and every class counted as prompt on fleet sites.
#[test]
fn the_tightest_start_objective_of_a_class_applies() {
    let objective = |class: &str, s| Objective {
        kind: "wait".into(),
        class: class.into(),
        within_s: Some(s),
        times: None,
    };
    let mut s = sample();
    let mut objectives = vec![
        objective("u", 70.0),
        objective("u", 2.0),
        objective("slow", 180.0),
        objective("u", 5.0),
    ];
    for _ in 0..2 {
        s.platform.params.objectives = objectives.clone();
        assert_eq!(
            s.policy().start_objectives,
            [StartObjective { class: "u".to_string(), within_ms: 2_000 }]
        );
        objectives.reverse();
    }
}

#[test]
fn settings_of_all_site_sizes_are_valid() {
    for nodes in 1..=7 {
        for (report_s, lease_s) in [(0.5, 5.0), (3.0, 24.0), (8.0, 45.0), (30.0, 300.0)] {
            let mut s = sample();
            let p = &mut s.platform;
            let peer = |i| Peer { node_name: format!("n{i}"), addr: p.peer_bind };
            p.peers = (1..nodes).map(peer).collect();
            p.params.zones = (0..nodes).map(|i| format!("z{i}")).collect();
            let w = &mut p.params.workers;
            (w.heartbeat_interval_s, w.lease_s, w.cancel_s) =
                (report_s, lease_s, lease_s * 1.001 + 1.7);
            s.check().unwrap();
            assert!(s.heartbeat_timeout_s() > report_s * 1.25, "{report_s}");
            let d = s.derived();
            // Sockets that the node opens itself: direct calls, state service, cloud, refusals,
            // both directions to each node, and two listeners.
            let own_sockets = d.direct_calls
                + c::MAX_STORE_CALLS
                + c::MAX_CLOUD_CALLS
                + c::MAX_OPEN_REFUSALS
                + 2 * nodes
                + 2;
            assert!(d.connections + own_sockets <= s.platform.params.limits.max_sockets);
        }
    }
}

#[test]
fn errors_name_the_invalid_setting() {
    sample().check().unwrap();
    for (from, to, name) in [
        ("\"cancel_s\":60.0", "\"cancel_s\":31.4", "params.workers.cancel_s"),
        ("\"rps\":100.0", "\"rps\":0.0", "params.state.rps"),
        ("\"txn_ops\":8", "\"txn_ops\":0", "params.state.txn_ops"),
        ("\"max_sockets\":900", "\"max_sockets\":3", "params.machine_limits.max_sockets"),
    ] {
        let mut s = sample();
        s.platform = serde_json::from_str(&SAMPLE.replace(from, to)).unwrap();
        let err = s.check().unwrap_err().to_string();
        assert!(err.starts_with(name), "{err}");
    }
    let mut s = sample();
    s.platform.params.workers.cancel_s = 33.0;
    s.check().unwrap();
    assert!(s.leader_lease_ms() < 2_300, "the lease is bounded by the rest of cancel_s");
    s.tuning.leader_lease_s = Some(3.0);
    assert!(s.check().unwrap_err().to_string().starts_with("leader_lease_s"));
    let missing = SAMPLE.replace("\"zones\":[\"a\"],", "");
    let err = serde_json::from_str::<Platform>(&missing).unwrap_err().to_string();
    assert!(err.contains("zones"), "{err}");
    let err = parse_tuning("alpha: 0.5\nalfa: 1").unwrap_err().to_string();
    assert!(err.contains("alfa"), "{err}");
    let mut s = sample();
    s.tuning = parse_tuning("alpha: 1.5").unwrap();
    assert!(s.check().unwrap_err().to_string().starts_with("alpha"));
    for moves in [0, 601] {
        let text = format!("balance: {{moves: true, moves_per_minute: {moves}}}");
        s.tuning = parse_tuning(&text).unwrap();
        let err = s.check().unwrap_err().to_string();
        assert!(err.starts_with("balance.moves_per_minute"), "{err}");
    }
    let err = parse_tuning("balance: {move: true}").unwrap_err().to_string();
    assert!(err.contains("move"), "{err}");
    let off = parse_tuning("").unwrap().balance;
    assert!(!off.placement && !off.teams && !off.moves, "balancing is off by default");
    assert_eq!(parse_tuning("").unwrap().slice, Tuning::default().slice);
}

/// Checks the sample settings with this operators' file.
fn with_cells(yaml: &str) -> Result<(), String> {
    let tuning = parse_tuning(yaml).map_err(|e| e.to_string())?;
    Settings { tuning, ..sample() }.check().map_err(|e| e.to_string())
}

#[test]
fn errors_name_the_invalid_cell_setting() {
    assert_eq!(with_cells("quota: {cell: east, cells: [east, west]}"), Ok(()));
    let refused = [
        ("quota: {cell: '', cells: ['']}", "quota.cell"),
        ("quota: {cell: a/b, cells: [a/b]}", "quota.cell"),
        ("quota: {cell: 'a b', cells: ['a b']}", "quota.cell"),
        ("quota: {cell: east, cells: [east, 'x/y']}", "quota.cells"),
        ("quota: {cell: east, cells: [west]}", "lacks this cell, east"),
        ("quota: {cell: east, cells: [east, west, east]}", "twice"),
        ("quota: {cell: east}", "cells"),
        ("quota: {cell: east, cells: [east], limit: 4}", "limit"),
        ("quota: 7", "quota"),
    ];
    for (yaml, named) in refused {
        let error = with_cells(yaml).unwrap_err();
        assert!(error.contains(named), "{yaml}: {error}");
    }
    let many: Vec<String> = (0..40).map(|i| format!("cell{i}")).collect();
    let error = with_cells(&format!("quota: {{cell: cell0, cells: [{}]}}", many.join(", ")));
    assert!(error.unwrap_err().contains("bytes"), "a ledger of 40 cells does not fit into a value");
}

#[test]
fn errors_name_the_team_setting_that_cells_cannot_share() {
    let check = |change: fn(&mut Settings)| {
        let mut s = sample();
        s.tuning = parse_tuning("quota: {cell: east, cells: [east]}").unwrap();
        change(&mut s);
        s.check().map_err(|e| e.to_string())
    };
    assert_eq!(check(|_| ()), Ok(()));
    let below = check(|s| {
        let team = &mut s.platform.params.teams[0];
        (team.cpus, team.cpus_max) = (8.0, 4.0);
    });
    assert!(below.unwrap_err().contains("below its guarantee"));
    let slash = check(|s| s.platform.params.teams[0].name = "a/b".into());
    assert!(slash.unwrap_err().contains("params.teams"));
    let small = check(|s| s.platform.params.state.txn_ops = 2);
    assert!(small.unwrap_err().contains("params.state.txn_ops"));
}

#[test]
fn keys_have_a_prefix_only_with_cells() {
    let mut s = sample();
    assert_eq!((s.key_prefix().as_str(), s.cell_count()), ("", 1));
    s.tuning = parse_tuning("quota: {cell: east, cells: [west, east]}").unwrap();
    assert_eq!((s.key_prefix().as_str(), s.cell_count()), ("cells/east/", 2));
}

#[test]
fn settings_files_in_deploy_are_valid() {
    let deploy = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy");
    for (file, shares) in [("run.yaml", false), ("cells.yaml", true)] {
        let text = std::fs::read_to_string(format!("{deploy}/{file}")).unwrap();
        let tuning = parse_tuning(&text).unwrap();
        assert_eq!(tuning.quota.is_some(), shares, "{file}");
        Settings { tuning, ..sample() }.check().unwrap();
    }
}
