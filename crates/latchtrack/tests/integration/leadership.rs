//! Who leads, and when a leader stops.

use latchtrack_emulator::*;
use serde_json::json;

use crate::fixtures::{leader, ready};

/// Users' check: the leader loses the state service and the other nodes, but not its workers. It
/// must let them go when its lease ends, and the other must lead and have them settle with it.
#[actix_web::test]
async fn a_leader_without_the_state_service_lets_its_workers_go() {
    use std::sync::atomic::Ordering::Relaxed;
    let site = site();
    let [one, two] = site.start_two_nodes().await;
    ready(&one).await;
    ready(&two).await;
    let (first, token, lease) = leader(&site).await;
    let (old, new, door) = if first == "one" { (&one, &two, 0) } else { (&two, &one, 1) };
    let worker = Worker::new("n-000777");
    let mut heard = 0;
    for _ in 0..200 {
        let (status, _, body) = worker.send_heartbeat(old).await;
        if status == 200 {
            heard = body["baton"].as_u64().unwrap();
            break;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(30)).await;
    }
    assert_eq!(heard, token);
    site.refused_nodes[door].store(true, Relaxed);
    // It goes on for what is left of its lease at the most, and then answers at once that it may
    // not act.
    let mut answers = Vec::new();
    for _ in 0..400 {
        let (status, ..) = worker.send_heartbeat(old).await;
        answers.push(status);
        if status != 200 {
            break;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(30)).await;
    }
    assert!(matches!(answers.last(), Some(503 | 421)), "{answers:?}");
    site.state.lock().unwrap().end_lease(lease.unwrap());
    for _ in 0..200 {
        let (status, _, body) = worker.send_heartbeat(new).await;
        if status == 200 {
            assert!(body["baton"].as_u64().unwrap() > token, "a newer token");
            let (status, ..) = worker.send_heartbeat(old).await;
            assert_ne!(status, 200, "the old leader stays silent");
            return;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(30)).await;
    }
    panic!("nobody led");
}

/// A node back within a fraction of a second, in mid-election: the key of its earlier run's
/// campaign comes late. It is not that run's term that it may take up.
#[actix_web::test]
async fn a_late_campaign_of_an_earlier_run_is_not_taken_for_its_own() {
    let site = site();
    site.state.lock().unwrap().put(
        "live/leader",
        json!({"node": "one", "run": 1, "lease": 900}),
        Some(900),
    );
    let stale = site.state.lock().unwrap().leader().unwrap().revision;
    let node = site.start_node("one").await;
    ready(&node).await;
    let worker = Worker::new("n-000777");
    for _ in 0..300 {
        let (status, _, body) = worker.send_heartbeat(&node).await;
        if status == 200 {
            assert!(body["baton"].as_u64().unwrap() > stale, "acts in a term of its own");
            return;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    panic!("it never led");
}
