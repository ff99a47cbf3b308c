//! Announced future limits of the state service (`params.state.next`).

use latchtrack::settings::{Platform, Settings, Tuning};
use serde_json::{json, Value};

fn platform() -> Value {
    json!({"node_name": "one", "domain": "a", "bind": "127.0.0.1:0", "peer_bind": "127.0.0.1:0",
        "others": [], "external": {"cloud": "127.0.0.1:1", "state": "127.0.0.1:2"},
        "params": {"zones": ["a"], "teams": [{"name": "t"}],
            "workers": {"report_s": 3.0, "lease_s": 30.0, "cancel_s": 60.0},
            "state": {"rps": 100.0, "write_rps": 30.0, "value_kb": 4.0, "txn_ops": 8},
            "cloud": {"rps": 4.0, "list_lag_s": 3.0},
            "machine_limits": {"cpu": 0.1, "mem_mb": 64.0, "max_sockets": 900}}})
}

fn settings(platform: &Value) -> Settings {
    let platform: Platform = serde_json::from_value(platform.clone()).unwrap();
    Settings { platform, tuning: Tuning::default() }
}

#[test]
fn the_lower_of_current_and_announced_limits_applies() {
    let mut file = platform();
    let state = |file: &Value| settings(file).platform.params.state;
    assert_eq!((state(&file).value_bytes(), state(&file).txn_ops()), (4_096, 8));
    assert_eq!(state(&file).lower_write_rps(), 30.0);
    file["params"]["state"]["next"] = json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 24.0});
    assert_eq!((state(&file).value_bytes(), state(&file).txn_ops()), (2_048, 4));
    assert_eq!((state(&file).lower_write_rps(), state(&file).lower_rps()), (24.0, 100.0));
    assert_eq!(settings(&file).policy().value_bytes, 2_048);
    file["params"]["state"]["next"] = json!({"value_kb": 9.0, "txn_ops": 16, "future": 1});
    assert_eq!((state(&file).value_bytes(), state(&file).txn_ops()), (4_096, 8));
}

#[test]
fn errors_name_the_invalid_setting() {
    for (part, field, value) in [
        ("state", "next", json!({"value_kb": 0.0})),
        ("state", "next", json!({"txn_ops": 0})),
        ("state", "next", json!({"write_rps": -1.0})),
        ("state", "next", json!({"rps": 0.5})),
        ("workers", "gang_wait_s", json!(0.0)),
        ("workers", "gang_wait_s", json!(1e9)),
        ("workers", "gang_peer_s", json!(-6.0)),
    ] {
        let mut file = platform();
        settings(&file).check().unwrap();
        file["params"][part][field] = value.clone();
        let error = settings(&file).check().unwrap_err().to_string();
        assert!(error.contains(&format!("params.{part}.{field}")), "{value}: {error}");
    }
    let mut file = platform();
    file["params"]["workers"]["gang_wait_s"] = json!(30.0);
    file["params"]["workers"]["gang_peer_s"] = json!(6.0);
    settings(&file).check().unwrap();
}
