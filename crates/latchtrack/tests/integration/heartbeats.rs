//! Heartbeats of workers to the leader and to followers.

use latchtrack_emulator::*;
use serde_json::json;

use crate::fixtures::{job, wait_for_leader, wait_until_ready};

#[actix_web::test]
async fn machines_are_stored_before_use_and_followers_redirect() {
    let site = site();
    let one = site.start_node("one").await;
    wait_until_ready(&one).await;
    wait_for_leader(&site).await;
    let two = site.start_node("two").await;
    wait_until_ready(&two).await;
    // The follower accepts the job, and the leader provisions a machine for it.
    let jobs = format!("{two}/api/jobs");
    assert_eq!(post(&jobs, &job("req-000001")).await.0, 201);
    let machine = loop {
        let first = site.cloud.lock().unwrap().provisioned.first().cloned();
        if let Some(name) = first {
            break name;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(20)).await;
    };
    let worker = Worker::new(&machine);
    let (status, _, body) = worker.send_heartbeat(&two).await;
    assert_eq!((status, &body["foreman"]), (421, &json!("one")));
    // Nothing is launched before the machine is stored.
    let mut launched = false;
    for _ in 0..200 {
        let is_stored = {
            let state = site.state.lock().unwrap();
            let mut sets = state.keys.iter().filter(|(key, _)| key.starts_with("fleet/"));
            sets.any(|(_, v)| v.0.to_string().contains(&machine))
        };
        let (status, _, body) = worker.send_heartbeat(&one).await;
        assert_eq!(status, 200);
        let has_launch = body["orders"].as_array().unwrap().iter().any(|o| o["verb"] == "launch");
        assert!(!has_launch || launched || is_stored, "launched before the machine was stored");
        launched |= has_launch;
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
    panic!("the job did not complete");
}

#[actix_web::test]
async fn invalid_heartbeats_change_nothing() {
    let site = site();
    let node = site.start_node("one").await;
    wait_until_ready(&node).await;
    let url = format!("{node}/v1/report");
    for body in [&b"{}"[..], b"", b"null", b"{\"host\":3}", &[b'x'; 300]] {
        assert_eq!(call("POST", &url, Some(body)).await.0, 400);
    }
    assert_eq!(call("POST", &url, Some(&vec![b' '; 70_000])).await.0, 413);
    let worker = Worker::new("n-000777");
    let mut heartbeat = worker.next_heartbeat();
    heartbeat["pieces"] = json!([{"piece": "req-1", "try": 1, "status": "running"}]);
    assert_eq!(post(&url, &heartbeat).await.0, 400);
    assert!(site.state.lock().unwrap().keys.keys().all(|k| !k.starts_with("fleet/")));
}

#[actix_web::test]
async fn followers_forward_heartbeats_of_redirected_workers() {
    let site = site();
    let [one, two] = site.start_two_nodes().await;
    wait_until_ready(&one).await;
    wait_until_ready(&two).await;
    let (leader, ..) = wait_for_leader(&site).await;
    let follower = if leader == "one" { &two } else { &one };
    assert_eq!(post(&format!("{follower}/api/jobs"), &job("req-000001")).await.0, 201);
    // A worker that comes back after the redirect gets its commands through the follower.
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
    panic!("the job did not complete");
}
