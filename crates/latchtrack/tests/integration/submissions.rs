//! Submissions, queries and cancellations by users.

use latchtrack_emulator::*;
use serde_json::{json, Value};

use crate::fixtures::{job, wait_for_leader, wait_until_ready};

#[actix_web::test]
async fn submissions_are_checked_in_order() {
    let site = site();
    let node = site.start_node("one").await;
    wait_until_ready(&node).await;
    let jobs = format!("{node}/api/jobs");
    let id = "req-000001";
    let job_url = format!("{jobs}/{id}");
    assert_eq!(get(&job_url).await.0, 404, "unknown job");
    assert_eq!(get(&format!("{jobs}/nonsense")).await.0, 404);
    let (status, _, body) = post(&jobs, &job(id)).await;
    assert_eq!((status, &body["status"]), (201, &json!("pending")));
    assert_eq!(post(&jobs, &job(id)).await.0, 200, "repeated submission");
    // A known id returns the job's state, even if the body is invalid.
    assert_eq!(post(&jobs, &json!({"name_id": id, "pieces": -1})).await.0, 200);
    let (status, _, body) = post(&jobs, &json!({"name_id": "req-000002", "pieces": -1})).await;
    assert_eq!(status, 400, "{body}");
    let mut invalid = job("req-000002");
    invalid["cores"] = json!(-2);
    let (status, _, body) = post(&jobs, &invalid).await;
    assert_eq!(status, 400);
    assert!(body["error"].as_str().unwrap().contains("cores"), "{body}");
    for (field, value) in [
        ("crew", json!("nobody")),
        ("cores", json!(9.0)),
        ("builds", json!(["t2"])),
        ("yard", json!("b")),
    ] {
        let mut infeasible = job("req-000002");
        infeasible[field] = value;
        assert_eq!(post(&jobs, &infeasible).await.0, 422, "{field}");
    }
    let mut at_limit = job("req-000002");
    at_limit["crew"] = json!("small");
    assert_eq!(post(&jobs, &at_limit).await.0, 201, "a task of 2 CPUs is exactly at the limit");
    let mut over_limit = job("req-000003");
    (over_limit["crew"], over_limit["cores"]) = (json!("small"), json!(3.0));
    assert_eq!(post(&jobs, &over_limit).await.0, 422);
    let mut large = job("req-000003");
    large["builds"] = (0..900).map(|i| json!(format!("t{i}"))).collect();
    assert_eq!(post(&jobs, &large).await.0, 400, "the job does not fit into a record");
    for body in [&b"{"[..], b"[]", b"", b"\xff\xfe", b"{\"name_id\":1e999}"] {
        assert_eq!(call("POST", &jobs, Some(body)).await.0, 400);
    }
    assert_eq!(call("POST", &jobs, Some(&vec![b' '; 70_000])).await.0, 413);
    // Cancellation is idempotent and final.
    let cancel_url = format!("{job_url}/withdraw");
    for _ in 0..2 {
        let (status, _, body) = post(&cancel_url, &Value::Null).await;
        assert_eq!((status, &body["status"]), (200, &json!("aborted")));
    }
    assert_eq!(get(&job_url).await.2["status"], "aborted");
    assert_eq!(post(&jobs, &job(id)).await.2["status"], "aborted");
    assert_eq!(post(&format!("{jobs}/req-000099/withdraw"), &Value::Null).await.0, 404);
}

/// Submissions that cannot be accepted get 503 with `Retry-After` instead of being queued. After
/// the outage, submissions are accepted again.
#[actix_web::test]
async fn concurrent_submissions_in_an_outage_get_503() {
    let site = site();
    let node = site.start_node("one").await;
    wait_until_ready(&node).await;
    let url = format!("{node}/api/jobs");
    site.state.lock().unwrap().down = true;
    let submissions = (0..600).map(|i| {
        let (url, body) = (url.clone(), job(&format!("req-{i:06}")));
        async move { post(&url, &body).await }
    });
    let responses = futures_util::future::join_all(submissions).await;
    assert!(responses.iter().all(|response| response.0 == 503 && response.1.is_some()));
    site.state.lock().unwrap().down = false;
    let unknown = format!("{node}/api/jobs/req-999999");
    poll_until("the outage is over", &unknown, |response| response.0 == 404).await;
    assert_eq!(post(&url, &job("req-000001")).await.0, 201);
}

/// Under an overload of queries for open, finished and unknown jobs, excess queries get 503 with
/// `Retry-After`, no answer is older than a previous one, and heartbeats and the leader's lease are
/// not affected.
#[actix_web::test]
async fn query_overload_delays_neither_heartbeats_nor_the_lease() {
    let site = site();
    let node = site.start_node("one").await;
    wait_until_ready(&node).await;
    let first_leader = wait_for_leader(&site).await;
    let jobs = format!("{node}/api/jobs");
    for id in ["req-000001", "req-000002"] {
        assert_eq!(post(&jobs, &job(id)).await.0, 201);
    }
    let cancelled = post(&format!("{jobs}/req-000002/withdraw"), &json!({})).await;
    assert_eq!((cancelled.0, &cancelled.2["status"]), (200, &json!("aborted")));
    let worker = Worker::new("n-000009");
    while worker.send_heartbeat(&node).await.0 != 200 {
        actix_web::rt::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    let (mut answered, mut refused, mut done) = (0, 0, false);
    for _ in 0..20 {
        let was_done = done;
        // Slightly fewer than the connections that the node accepts.
        let polls = (0..150).map(|i| {
            let id = ["req-000001", "req-000002", "req-000404"][i % 3];
            let url = format!("{jobs}/{id}");
            async move { (i % 3, get(&url).await) }
        });
        let polls = futures_util::future::join_all(polls);
        let (polls, heartbeat) =
            futures_util::future::join(polls, worker.send_heartbeat(&node)).await;
        assert_eq!(heartbeat.0, 200, "heartbeats are answered");
        for (which, (status, retry, body)) in polls {
            match (which, status) {
                (_, 503) => {
                    assert!(retry.is_some(), "503 without Retry-After");
                    refused += 1;
                    continue;
                }
                (0, 200) => {
                    done |= body["status"] == "done";
                    assert!(
                        !was_done || body["status"] == "done",
                        "older than a previous answer: {body}"
                    );
                }
                (1, 200) => assert_eq!(body["status"], "aborted"),
                (2, 404) => {}
                other => panic!("{other:?}: {body}"),
            }
            answered += 1;
        }
    }
    assert!(answered > 20 * 75, "{answered} answered, {refused} refused");
    assert_eq!(wait_for_leader(&site).await, first_leader, "the leader must not change");
}
