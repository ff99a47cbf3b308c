//! Cells that share a state service: key prefixes, shared keys, name conflicts and shared limits.

use latchtrack::actors::messages::store::StoreRequest;
use latchtrack::actors::store::namespace::Namespace;
use latchtrack::limit::{self, LimitChange, LimitError};
use latchtrack::node::{self, StartError};
use latchtrack::settings::{QuotaTuning, Tuning};
use latchtrack::wire::quota::{campaign_changes, ledger_transaction, SharedKeys};
use latchtrack::wire::store::{Change, Condition, Txn};
use latchtrack_emulator::poll_until;
use latchtrack_emulator::site::{site_with_state, Site};
use latchtrack_quota::{
    Allotment, CellRecord, DeadCell, LedgerWrite, Limit, MilliResources, TeamLedger,
};
use serde_json::json;
use tokio::net::TcpListener;

fn raw(text: &str) -> Box<serde_json::value::RawValue> {
    serde_json::value::RawValue::from_string(text.into()).unwrap()
}

#[test]
fn only_keys_of_the_cell_get_its_prefix() {
    let east = Namespace::new("cells/east/".into());
    assert_eq!(east.full_key("live/leader"), "cells/east/live/leader");
    assert_eq!(east.full_key("quota/team/t"), "quota/team/t");
    let alone = Namespace::new(String::new());
    assert_eq!(alone.full_key("live/leader"), "live/leader");
    let get = StoreRequest::Get { key: "site/types".into() };
    assert_eq!(east.full_key_of(&get).unwrap(), "cells/east/site/types");
    let txn = Txn {
        conditions: vec![Condition { key: "live/leader".into(), revision: 7 }],
        changes: vec![Change::Delete { key: "quota/team/t".into() }],
    };
    let text = serde_json::to_string(&east.with_full_keys(txn)).unwrap();
    assert_eq!(
        text,
        r#"{"if":[{"k":"cells/east/live/leader","stamp":7}],"apply":[{"drop":"quota/team/t"}]}"#
    );
}

/// The stored records and the transaction's conditions are published formats.
#[test]
fn cell_records_and_ledger_conditions_are_as_published() {
    let record =
        CellRecord { cloud: "10.0.0.1:80".into(), leader_lease_ms: 3_000, worker_lease_ms: 30_000 };
    let changes = campaign_changes("east", &record, 4).unwrap();
    assert_eq!(
        serde_json::to_string(&changes).unwrap(),
        concat!(
            r#"[{"put":"quota/live/east","data":{},"charter":4},{"put":"quota/term/east","data":"#,
            r#"{"cloud":"10.0.0.1:80","leader_lease_ms":3000,"worker_lease_ms":30000}}]"#
        )
    );
    let ledger = TeamLedger::new(Limit::of(4.0, 0.0), MilliResources::ZERO);
    let dead = vec![DeadCell { cell: "west".into(), term_revision: 9 }];
    let write = LedgerWrite { team: "t".into(), expected_revision: 12, ledger, dead };
    let txn = ledger_transaction(5, &write).unwrap();
    let conditions: Vec<(&str, u64)> =
        txn.conditions.iter().map(|c| (c.key.as_str(), c.revision)).collect();
    let expected =
        [("live/leader", 5), ("quota/team/t", 12), ("quota/live/west", 0), ("quota/term/west", 9)];
    assert_eq!(conditions, expected);
}

#[test]
fn shared_keys_keep_the_latest_revision_of_each_key() {
    let mut keys = SharedKeys::default();
    keys.put(
        "quota/term/east".into(),
        5,
        raw(r#"{"cloud":"c","leader_lease_ms":1,"worker_lease_ms":2}"#),
    );
    keys.put("quota/live/east".into(), 5, raw("{}"));
    keys.put("quota/term/west".into(), 6, raw("7"));
    keys.put("quota/team/t".into(), 8, raw(r#"{"version":1,"limit":{}}"#));
    // Changes of older revisions, which arrive late.
    keys.put("quota/team/t".into(), 7, raw("null"));
    keys.delete("quota/live/east", 4);
    let view = keys.snapshot(8);
    assert!(view.cells["east"].has_leader && view.cells["east"].term_revision == 5);
    assert!(!view.cells["west"].has_leader && view.cells["west"].record.is_none());
    assert!(view.teams["t"].ledger.is_ok());
    keys.delete("quota/live/east", 9);
    assert!(!keys.snapshot(9).cells["east"].has_leader);
}

fn cell_site(state: latchtrack_emulator::Shared<latchtrack_emulator::StateService>) -> Site {
    let mut site = site_with_state(state);
    let quota = QuotaTuning { cell: "east".into(), cells: vec!["east".into(), "west".into()] };
    site.tuning = Tuning { quota: Some(quota), ..Tuning::default() };
    site
}

#[actix_web::test]
async fn a_cell_name_used_with_another_cloud_is_rejected_at_startup() {
    let first = cell_site(Default::default());
    let url = first.start_node("one").await;
    poll_until("the first cell is ready", &format!("{url}/ready"), |response| response.0 == 200)
        .await;
    for _ in 0..200 {
        if first.state.lock().unwrap().keys.contains_key("quota/term/east") {
            break;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    assert!(first.state.lock().unwrap().keys.contains_key("cells/east/live/leader"));
    let second = cell_site(first.state.clone());
    let users = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peers = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = second.settings("two", 0, &users, &peers, &[]);
    drop((users, peers));
    let error = node::run(settings).await.unwrap_err();
    assert!(matches!(error, StartError::Cell { .. }), "{error}");
    assert!(error.to_string().starts_with("quota.cell: east: "), "{error}");
}

#[test]
fn limit_changes_set_given_values_and_reject_invalid_ones() {
    let mut ledger = TeamLedger::new(Limit::of(8.0, 2.0), MilliResources::covering(4.0, 0.0));
    let raised = LimitChange { cpus_max: Some(16.0), ..LimitChange::default() };
    raised.apply(&mut ledger).unwrap();
    assert_eq!(ledger.limit, Limit::of(16.0, 2.0));
    let removed = LimitChange { gpus_max: Some(0.0), ..LimitChange::default() };
    removed.apply(&mut ledger).unwrap();
    assert_eq!(ledger.limit, Limit::of(16.0, 0.0));
    // Without a limit on a resource, allotments of it are not tracked. Setting a limit therefore
    // resets the ledger.
    ledger.complete = true;
    ledger.allotments.insert("east".into(), Allotment::default());
    raised.apply(&mut ledger).unwrap();
    assert!(ledger.complete && ledger.allotments.len() == 1);
    LimitChange { gpus_max: Some(2.0), ..LimitChange::default() }.apply(&mut ledger).unwrap();
    assert!(!ledger.complete && ledger.allotments.is_empty());
    let below = LimitChange { cpus_max: Some(2.0), ..LimitChange::default() };
    assert!(matches!(below.apply(&mut ledger), Err(LimitError::BelowGuarantee)));
    for number in [f64::NAN, -1.0, f64::INFINITY] {
        let invalid = LimitChange { cpus: Some(number), ..LimitChange::default() };
        assert!(matches!(invalid.apply(&mut ledger), Err(LimitError::InvalidNumber("cpus", _))));
    }
}

/// A limit change on a running cell is stored and keeps the cell's entry in the ledger.
#[actix_web::test]
async fn a_limit_can_be_changed_while_a_cell_runs() {
    let mut site = cell_site(Default::default());
    site.teams = json!([{"name": "small", "cpus_max": 2.0}]);
    let (_, settings) = site.start_three_nodes_with_settings().await;
    let unknown = limit::run(&settings, "nobody", LimitChange::default()).await;
    assert!(matches!(unknown, Err(LimitError::UnknownTeam(_))));
    let lowered = LimitChange { cpus_max: Some(1.0), ..LimitChange::default() };
    for _ in 0..200 {
        // Fails until the cell has stored the ledger.
        if let Ok(shown) = limit::run(&settings, "small", lowered).await {
            assert_eq!(shown.limit.cpus, 1.0);
            let state = site.state.lock().unwrap();
            let (value, ..) = &state.keys["quota/team/small"];
            assert_eq!(value["limit"]["millicpus"], 1_000);
            assert!(value["cells"]["east"].is_object(), "{value}");
            return;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    panic!("the ledger was not stored");
}

/// The leader's status contains the ledgers of the teams that it shares with other cells.
#[actix_web::test]
async fn status_contains_limits_and_allotments_by_cell() {
    let mut site = cell_site(Default::default());
    site.teams = json!([{"name": "team"}, {"name": "small", "cpus": 1.0, "cpus_max": 2.0}]);
    let stored = json!({"version": 1, "limit": {"millicpus": 3000}, "complete": true, "cells":
        {"west": {"allotted": {"millicpus": 1500}, "term": 1, "since_ms": 1764680000000u64}}});
    site.state.lock().unwrap().put("quota/team/small", stored, None);
    let (_, settings) = site.start_three_nodes_with_settings().await;
    for _ in 0..200 {
        let status = latchtrack::status::query(&settings).await;
        let mut clusters = status.nodes.into_values().flatten().filter_map(|node| node.cluster);
        let quota = clusters.find_map(|cluster| cluster.quota).unwrap_or_default();
        if let Some(team) = quota.iter().find(|team| team.team == "small" && team.limit.cpus > 2.5)
        {
            assert!(team.differs_from_file, "the limit in the ledger applies");
            assert_eq!(team.cells["west"].allotted.cpus, 1.5);
            assert_eq!(team.cells["west"].since_ms, 1_764_680_000_000);
            return;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    panic!("no leader reported the team");
}
