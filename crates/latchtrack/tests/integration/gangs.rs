//! Gangs: submission, launch and cancellation.

use std::collections::BTreeSet;
use std::time::Duration;

use actix_web::rt::time::sleep;
use serde_json::{json, Value};

use crate::fixtures::{job, wait_for_leader, wait_until_ready};
use latchtrack_emulator::*;

/// A submission of a gang whose tasks need a machine each.
fn gang(id: &str, tasks: u32) -> Value {
    let mut gang = job(id);
    gang["shape"] = json!("gang");
    gang["pieces"] = json!(tasks);
    gang["cores"] = json!(6.0);
    gang
}

#[actix_web::test]
async fn gangs_that_can_never_run_are_rejected_with_the_reason() {
    let site = site();
    let node = site.start_node("one").await;
    wait_until_ready(&node).await;
    let jobs = format!("{node}/api/jobs");
    let mut small = gang("req-000001", 3);
    (small["crew"], small["cores"]) = (json!("small"), json!(1.0));
    let (status, _, body) = post(&jobs, &small).await;
    assert_eq!(status, 422, "each task is within the limit, but the gang is not");
    assert!(body["error"].as_str().unwrap().contains("limit of team small"), "{body}");
    small["pieces"] = json!(2);
    assert_eq!(post(&jobs, &small).await.0, 201, "two tasks are exactly at the limit");
    let mut array = small.clone();
    (array["name_id"], array["shape"], array["pieces"]) =
        (json!("req-000002"), json!("batch"), json!(3));
    assert_eq!(
        post(&jobs, &array).await.0,
        201,
        "only single tasks of a batch job must fit the limit"
    );
    let mut apart = gang("req-000003", 2);
    apart["apart"] = json!(true);
    assert_eq!(
        post(&jobs, &apart).await.0,
        422,
        "a gang that is apart needs two zones, and there is one"
    );
    apart["pieces"] = json!(1);
    assert_eq!(post(&jobs, &apart).await.0, 201);
    let mut invalid = gang("req-000004", 2);
    invalid["shape"] = json!("daemon");
    let (status, _, body) = post(&jobs, &invalid).await;
    assert_eq!(status, 400);
    assert!(body["error"].as_str().unwrap().contains("shape"), "{body}");
    assert_eq!(get(&format!("{jobs}/req-000004")).await.0, 404);
}

/// Waits until at least `min` machines are provisioned, and returns their workers.
async fn provisioned_workers(site: &Site, min: usize) -> Vec<Worker> {
    loop {
        let names = site.cloud.lock().unwrap().provisioned.clone();
        if names.len() >= min {
            return names.iter().map(|name| Worker::new(name)).collect();
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the attempt numbers of a job's launches in the response to a heartbeat.
fn launched(response: &Value, id: &str) -> Vec<u64> {
    let of_job = |o: &&Value| {
        o["verb"] == "launch" && o["piece"].as_str().unwrap().starts_with(&format!("{id}/"))
    };
    let orders = response["orders"].as_array().unwrap().iter();
    orders.filter(of_job).map(|o| o["try"].as_u64().unwrap()).collect()
}

/// The gang waits for all its machines, and is done as soon as its first task is.
#[actix_web::test]
async fn a_gang_launches_only_once_all_its_machines_are_up() {
    let site = site();
    let node = site.start_node("one").await;
    wait_until_ready(&node).await;
    wait_for_leader(&site).await;
    let jobs = format!("{node}/api/jobs");
    let id = "req-000001";
    assert_eq!(post(&jobs, &gang(id, 3)).await.0, 201);
    assert_eq!(post(&jobs, &gang(id, 3)).await.0, 200, "repeated submission");
    let workers = provisioned_workers(&site, 3).await;
    // With two of three machines up, nothing is launched.
    for _ in 0..20 {
        for worker in &workers[..2] {
            let (status, _, body) = worker.send_heartbeat(&node).await;
            assert_eq!(status, 200);
            assert_eq!(launched(&body, id), Vec::<u64>::new());
        }
        sleep(Duration::from_millis(30)).await;
    }
    assert_eq!(get(&format!("{jobs}/{id}")).await.2["status"], "pending");
    let mut attempts = BTreeSet::new();
    let mut launches = 0;
    for _ in 0..200 {
        for worker in &workers {
            let (_, _, body) = worker.send_heartbeat(&node).await;
            let new = launched(&body, id);
            launches += new.len();
            attempts.extend(new);
        }
        let (_, _, state) = get(&format!("{jobs}/{id}")).await;
        if state["status"] == "done" {
            assert_eq!(state["done"], 3);
            assert!(launches >= 3, "{launches} launches");
            assert_eq!(attempts.len(), 1, "{attempts:?}");
            return;
        }
        sleep(Duration::from_millis(30)).await;
    }
    panic!("the gang did not complete");
}

#[actix_web::test]
async fn heartbeats_accept_gang_phases_and_cancelled_gangs_stop() {
    let site = site();
    let node = site.start_node("one").await;
    wait_until_ready(&node).await;
    wait_for_leader(&site).await;
    let jobs = format!("{node}/api/jobs");
    let id = "req-000001";
    assert_eq!(post(&jobs, &gang(id, 1)).await.0, 201);
    let worker = provisioned_workers(&site, 1).await.remove(0);
    let url = format!("{node}/v1/report");
    let (mut token, mut attempt) = (0, None);
    for _ in 0..200 {
        let mut body = worker.next_heartbeat();
        body["baton"] = json!(token);
        let (status, _, response) = post(&url, &body).await;
        assert_eq!(status, 200);
        token = response["baton"].as_u64().unwrap();
        attempt = launched(&response, id).first().copied();
        if attempt.is_some() {
            break;
        }
        sleep(Duration::from_millis(30)).await;
    }
    let attempt = attempt.expect("the gang is launched");
    let heartbeat = |phase: &str| {
        let mut body = worker.next_heartbeat();
        body["baton"] = json!(token);
        body["pieces"] = json!([{"piece": format!("{id}/0"), "try": attempt, "status": phase}]);
        body
    };
    for phase in ["waiting", "a phase of a later version"] {
        let (status, _, response) = post(&url, &heartbeat(phase)).await;
        assert_eq!((status, &response["orders"]), (200, &json!([])), "{phase}");
        assert_eq!(get(&format!("{jobs}/{id}")).await.2["status"], "pending", "{phase}");
    }
    post(&url, &heartbeat("running")).await;
    poll_until("running", &format!("{jobs}/{id}"), |response| response.2["status"] == "running")
        .await;
    let (status, _, body) = post(&format!("{jobs}/{id}/withdraw"), &Value::Null).await;
    assert_eq!((status, &body["status"]), (200, &json!("aborted")));
    for _ in 0..100 {
        let (_, _, response) = post(&url, &heartbeat("running")).await;
        let stops = response["orders"].as_array().unwrap().iter().any(|o| o["verb"] == "stop");
        if stops {
            return;
        }
        sleep(Duration::from_millis(30)).await;
    }
    panic!("the cancelled gang was not stopped");
}
