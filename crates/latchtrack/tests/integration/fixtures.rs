//! What the tests share: jobs, and waits until a node is ready or leads.

use latchtrack_emulator::*;
use serde_json::{json, Value};

pub fn job(id: &str) -> Value {
    json!({"name_id": id, "lane": "l", "crew": "team", "shape": "batch", "urgency": "high",
        "pieces": 3, "cores": 2.0, "cards": 0.0, "memory_gb": 4.0, "kit": "i", "pull_gb": 1.0,
        "one_zone": false, "apart": false, "loaners": true, "expected_s": 5.0, "snapshot_s": 0.0,
        "stow_s": 0.0})
}

pub async fn ready(node: &str) {
    poll_until("ready", &format!("{node}/ready"), |g| g.0 == 200).await;
}

/// Waits until somebody leads.
pub async fn leader(site: &Site) -> (String, u64, Option<u64>) {
    loop {
        if let Some(leader) = site.state.lock().unwrap().leader() {
            return (leader.node, leader.revision, leader.lease);
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

pub async fn bound() -> tokio::net::TcpListener {
    tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap()
}
