//! Heartbeats of workers, at the leader and at followers.

use latchtrack_emulator::*;
use serde_json::json;

use crate::fixtures::{job, leader, ready};

#[actix_web::test]
async fn machines_are_provisioned_stored_and_used_and_followers_redirect_to_the_leader() {
    let site = site();
    let one = site.start_node("one").await;
    ready(&one).await;
    leader(&site).await;
    let two = site.start_node("two").await;
    ready(&two).await;
    // Accepted by a follower, placed by the leader.
    let jobs = format!("{two}/api/jobs");
    assert_eq!(post(&jobs, &job("req-000001")).await.0, 201);
    let rented = loop {
        let first = site.cloud.lock().unwrap().provisioned.first().cloned();
        if let Some(name) = first {
            break name;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(20)).await;
    };
    let worker = Worker::new(&rented);
    let (status, _, body) = worker.send_heartbeat(&two).await;
    assert_eq!((status, &body["foreman"]), (421, &json!("one")));
    // Nothing is launched before the machine is in the stored set.
    let mut launched = false;
    for _ in 0..200 {
        let before = {
            let state = site.state.lock().unwrap();
            let mut fleet = state.keys.iter().filter(|(k, _)| k.starts_with("fleet/"));
            fleet.any(|(_, v)| v.0.to_string().contains(&rented))
        };
        let (status, _, body) = worker.send_heartbeat(&one).await;
        assert_eq!(status, 200);
        let any = body["orders"].as_array().unwrap().iter().any(|o| o["verb"] == "launch");
        assert!(!any || launched || before, "launched before it was stored");
        launched |= any;
        let (_, _, state) = get(&format!("{jobs}/req-000001")).await;
        if state["status"] == "done" {
            assert!(launched);
            assert_eq!(state["done"], 3);
            let record = &site.state.lock().unwrap().keys["live/job/req-000001"].0;
            assert_eq!(record["state"], "done");
            return;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(30)).await;
    }
    panic!("the job was not done");
}

#[actix_web::test]
async fn invalid_heartbeats_change_nothing() {
    let site = site();
    let node = site.start_node("one").await;
    ready(&node).await;
    let url = format!("{node}/v1/report");
    for body in [&b"{}"[..], b"", b"null", b"{\"host\":3}", &[b'x'; 300]] {
        assert_eq!(call("POST", &url, Some(body)).await.0, 400);
    }
    assert_eq!(call("POST", &url, Some(&vec![b' '; 70_000])).await.0, 413);
    let worker = Worker::new("n-000777");
    let mut report = worker.next_heartbeat();
    report["pieces"] = json!([{"piece": "req-1", "try": 1, "status": "running"}]);
    assert_eq!(post(&url, &report).await.0, 400);
    assert!(site.state.lock().unwrap().keys.keys().all(|k| !k.starts_with("fleet/")));
}

#[actix_web::test]
async fn heartbeats_of_a_worker_that_cannot_reach_the_leader_are_forwarded() {
    let site = site();
    let [one, two] = site.start_two_nodes().await;
    ready(&one).await;
    ready(&two).await;
    let (leader, ..) = leader(&site).await;
    let follower = if leader == "one" { &two } else { &one };
    assert_eq!(post(&format!("{follower}/api/jobs"), &job("req-000001")).await.0, 201);
    // It is sent to the leader, comes back, and then gets its work through the follower.
    let worker = Worker::new("n-000777");
    let mut first = worker.send_heartbeat(follower).await;
    while first.2["foreman"].is_null() {
        first = worker.send_heartbeat(follower).await;
    }
    assert_eq!((first.0, first.2["foreman"].as_str()), (421, Some(leader.as_str())));
    let at = format!("{follower}/api/jobs/req-000001");
    for _ in 0..200 {
        worker.send_heartbeat(follower).await;
        if get(&at).await.2["status"] == "done" {
            return;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(30)).await;
    }
    panic!("the job was not done");
}
