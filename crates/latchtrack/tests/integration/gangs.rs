//! Gangs as users and workers meet them.

use std::collections::BTreeSet;
use std::time::Duration;

use actix_web::rt::time::sleep;
use serde_json::{json, Value};

use crate::fixtures::{job, leader, ready};
use latchtrack_emulator::*;

/// A gang of tasks that have a machine each.
fn gang(id: &str, tasks: u32) -> Value {
    let mut gang = job(id);
    gang["shape"] = json!("gang");
    gang["pieces"] = json!(tasks);
    gang["cores"] = json!(6.0);
    gang
}

#[actix_web::test]
async fn gangs_that_can_never_run_whole_are_refused_by_name() {
    let site = site();
    let node = site.start_node("one").await;
    ready(&node).await;
    let jobs = format!("{node}/api/jobs");
    let mut small = gang("req-000001", 3);
    (small["crew"], small["cores"]) = (json!("small"), json!(1.0));
    let (status, _, body) = post(&jobs, &small).await;
    assert_eq!(status, 422, "each task is within the limit, all together are not");
    assert!(body["error"].as_str().unwrap().contains("limit of team small"), "{body}");
    small["pieces"] = json!(2);
    assert_eq!(post(&jobs, &small).await.0, 201, "two are just within it");
    let mut array = small.clone();
    (array["name_id"], array["shape"], array["pieces"]) =
        (json!("req-000002"), json!("batch"), json!(3));
    assert_eq!(post(&jobs, &array).await.0, 201, "of an array one task counts");
    let mut apart = gang("req-000003", 2);
    apart["apart"] = json!(true);
    assert_eq!(post(&jobs, &apart).await.0, 422, "half of it in one zone, of which there is one");
    apart["pieces"] = json!(1);
    assert_eq!(post(&jobs, &apart).await.0, 201);
    let mut other = gang("req-000004", 2);
    other["shape"] = json!("daemon");
    let (status, _, body) = post(&jobs, &other).await;
    assert_eq!(status, 400);
    assert!(body["error"].as_str().unwrap().contains("shape"), "{body}");
    assert_eq!(get(&format!("{jobs}/req-000004")).await.0, 404);
}

/// The workers of the machines that are rented, once there are so many.
async fn rented(site: &Site, least: usize) -> Vec<Worker> {
    loop {
        let names = site.cloud.lock().unwrap().provisioned.clone();
        if names.len() >= least {
            return names.iter().map(|name| Worker::new(name)).collect();
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Launches of a job in an answer: attempt numbers.
fn launched(orders: &Value, id: &str) -> Vec<u64> {
    let of_job = |o: &&Value| {
        o["verb"] == "launch" && o["piece"].as_str().unwrap().starts_with(&format!("{id}/"))
    };
    let orders = orders["orders"].as_array().unwrap().iter();
    orders.filter(of_job).map(|o| o["try"].as_u64().unwrap()).collect()
}

#[actix_web::test]
async fn a_gang_is_launched_when_all_its_machines_are_there_and_done_with_its_first_task() {
    let site = site();
    let node = site.start_node("one").await;
    ready(&node).await;
    leader(&site).await;
    let jobs = format!("{node}/api/jobs");
    let id = "req-000001";
    assert_eq!(post(&jobs, &gang(id, 3)).await.0, 201);
    assert_eq!(post(&jobs, &gang(id, 3)).await.0, 200, "repeated");
    let workers = rented(&site, 3).await;
    // Two of three machines are up: nothing starts.
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
    panic!("the gang was not done");
}

#[actix_web::test]
async fn a_heartbeat_with_the_phases_of_gangs_counts_and_a_cancelled_gang_is_stopped() {
    let site = site();
    let node = site.start_node("one").await;
    ready(&node).await;
    leader(&site).await;
    let jobs = format!("{node}/api/jobs");
    let id = "req-000001";
    assert_eq!(post(&jobs, &gang(id, 1)).await.0, 201);
    let worker = rented(&site, 1).await.remove(0);
    let url = format!("{node}/v1/report");
    let (mut token, mut attempt) = (0, None);
    for _ in 0..200 {
        let mut body = worker.next_heartbeat();
        body["baton"] = json!(token);
        let (status, _, answer) = post(&url, &body).await;
        assert_eq!(status, 200);
        token = answer["baton"].as_u64().unwrap();
        attempt = launched(&answer, id).first().copied();
        if attempt.is_some() {
            break;
        }
        sleep(Duration::from_millis(30)).await;
    }
    let attempt = attempt.expect("launched");
    let say = |state: &str| {
        let mut body = worker.next_heartbeat();
        body["baton"] = json!(token);
        body["pieces"] = json!([{"piece": format!("{id}/0"), "try": attempt, "status": state}]);
        body
    };
    for state in ["waiting", "a state of a later version"] {
        let (status, _, answer) = post(&url, &say(state)).await;
        assert_eq!((status, &answer["orders"]), (200, &json!([])), "{state}");
        assert_eq!(get(&format!("{jobs}/{id}")).await.2["status"], "pending", "{state}");
    }
    post(&url, &say("running")).await;
    poll_until("running", &format!("{jobs}/{id}"), |got| got.2["status"] == "running").await;
    let (status, _, body) = post(&format!("{jobs}/{id}/withdraw"), &Value::Null).await;
    assert_eq!((status, &body["status"]), (200, &json!("aborted")));
    for _ in 0..100 {
        let (_, _, answer) = post(&url, &say("running")).await;
        let stops = answer["orders"].as_array().unwrap().iter().any(|o| o["verb"] == "stop");
        if stops {
            return;
        }
        sleep(Duration::from_millis(30)).await;
    }
    panic!("never told to stop");
}
