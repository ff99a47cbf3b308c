//! Shared fixtures: a job, listeners, and waits until a node is ready or leads.

use latchtrack_emulator::*;
use serde_json::{json, Value};

/// A submission of a batch job with three tasks of 2 CPUs.
pub fn job(id: &str) -> Value {
    json!({"name_id": id, "lane": "l", "crew": "team", "shape": "batch", "urgency": "high",
        "pieces": 3, "cores": 2.0, "cards": 0.0, "memory_gb": 4.0, "kit": "i", "pull_gb": 1.0,
        "one_zone": false, "apart": false, "loaners": true, "expected_s": 5.0, "snapshot_s": 0.0,
        "stow_s": 0.0})
}

/// Waits until a node is ready.
pub async fn wait_until_ready(node: &str) {
    poll_until("ready", &format!("{node}/ready"), |response| response.0 == 200).await;
}

/// Waits until a node leads, and returns its name, fencing token and lease.
pub async fn wait_for_leader(site: &Site) -> (String, u64, Option<u64>) {
    loop {
        if let Some(leader) = site.state.lock().unwrap().leader() {
            return (leader.node, leader.revision, leader.lease);
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// A listener on a free loopback port.
pub async fn bind_listener() -> tokio::net::TcpListener {
    tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap()
}
