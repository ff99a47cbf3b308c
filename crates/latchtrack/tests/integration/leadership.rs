//! Leader election, and the end of a leader's term.

use latchtrack_emulator::*;
use serde_json::json;

use crate::fixtures::{wait_for_leader, wait_until_ready};

/// The state service refuses the leader, but its workers still reach it. It must stop acting when
/// its lease ends, and the other node must take over the workers.
#[actix_web::test]
async fn a_leader_cut_off_from_the_state_service_stops_acting() {
    use std::sync::atomic::Ordering::Relaxed;
    let site = site();
    let [one, two] = site.start_two_nodes().await;
    wait_until_ready(&one).await;
    wait_until_ready(&two).await;
    let (first, token, lease) = wait_for_leader(&site).await;
    let (old, new, old_index) = if first == "one" { (&one, &two, 0) } else { (&two, &one, 1) };
    let worker = Worker::new("n-000777");
    let mut accepted_token = 0;
    for _ in 0..200 {
        let (status, _, body) = worker.send_heartbeat(old).await;
        if status == 200 {
            accepted_token = body["baton"].as_u64().unwrap();
            break;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(30)).await;
    }
    assert_eq!(accepted_token, token);
    site.refused_nodes[old_index].store(true, Relaxed);
    // It acts at most until its lease ends, and then rejects heartbeats immediately.
    let mut statuses = Vec::new();
    for _ in 0..400 {
        let (status, ..) = worker.send_heartbeat(old).await;
        statuses.push(status);
        if status != 200 {
            break;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(30)).await;
    }
    assert!(matches!(statuses.last(), Some(503 | 421)), "{statuses:?}");
    site.state.lock().unwrap().end_lease(lease.unwrap());
    for _ in 0..200 {
        let (status, _, body) = worker.send_heartbeat(new).await;
        if status == 200 {
            assert!(body["baton"].as_u64().unwrap() > token, "the new leader has a higher token");
            let (status, ..) = worker.send_heartbeat(old).await;
            assert_ne!(status, 200, "the old leader must not accept heartbeats");
            return;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(30)).await;
    }
    panic!("no node took over");
}

/// A node that restarts during an election may find the leader key of its previous run's campaign,
/// written late. It must not act in that run's term.
#[actix_web::test]
async fn a_node_does_not_adopt_the_term_of_its_previous_run() {
    let site = site();
    site.state.lock().unwrap().put(
        "live/leader",
        json!({"node": "one", "run": 1, "lease": 900}),
        Some(900),
    );
    let stale = site.state.lock().unwrap().leader().unwrap().revision;
    let node = site.start_node("one").await;
    wait_until_ready(&node).await;
    let worker = Worker::new("n-000777");
    for _ in 0..300 {
        let (status, _, body) = worker.send_heartbeat(&node).await;
        if status == 200 {
            assert!(body["baton"].as_u64().unwrap() > stale, "the node acts in a term of its own");
            return;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    panic!("the node did not become leader");
}
