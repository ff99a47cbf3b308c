//! Submissions, queries and cancellations as users see them.

use latchtrack_emulator::*;
use serde_json::{json, Value};

use crate::fixtures::{job, leader, ready};

#[actix_web::test]
async fn submissions_are_judged_in_the_right_order() {
    let site = site();
    let node = site.start_node("one").await;
    ready(&node).await;
    let jobs = format!("{node}/api/jobs");
    let id = "req-000001";
    let at = format!("{jobs}/{id}");
    assert_eq!(get(&at).await.0, 404, "unknown");
    assert_eq!(get(&format!("{jobs}/nonsense")).await.0, 404);
    let (status, _, body) = post(&jobs, &job(id)).await;
    assert_eq!((status, &body["status"]), (201, &json!("pending")));
    assert_eq!(post(&jobs, &job(id)).await.0, 200, "repeated");
    // A known id is answered with its state, whatever the body says.
    assert_eq!(post(&jobs, &json!({"name_id": id, "pieces": -1})).await.0, 200);
    let (status, _, body) = post(&jobs, &json!({"name_id": "req-000002", "pieces": -1})).await;
    assert_eq!(status, 400, "{body}");
    let mut bad = job("req-000002");
    bad["cores"] = json!(-2);
    let (status, _, body) = post(&jobs, &bad).await;
    assert_eq!(status, 400);
    assert!(body["error"].as_str().unwrap().contains("cores"), "{body}");
    for (field, value) in [
        ("crew", json!("nobody")),
        ("cores", json!(9.0)),
        ("builds", json!(["t2"])),
        ("yard", json!("b")),
    ] {
        let mut never = job("req-000002");
        never[field] = value;
        assert_eq!(post(&jobs, &never).await.0, 422, "{field}");
    }
    let mut over = job("req-000002");
    over["crew"] = json!("small");
    assert_eq!(post(&jobs, &over).await.0, 201, "2 CPUs are just within the limit");
    let mut over = job("req-000003");
    (over["crew"], over["cores"]) = (json!("small"), json!(3.0));
    assert_eq!(post(&jobs, &over).await.0, 422);
    let mut large = job("req-000003");
    large["builds"] = (0..900).map(|i| json!(format!("t{i}"))).collect();
    assert_eq!(post(&jobs, &large).await.0, 400, "does not fit its record");
    for body in [&b"{"[..], b"[]", b"", b"\xff\xfe", b"{\"name_id\":1e999}"] {
        assert_eq!(call("POST", &jobs, Some(body)).await.0, 400);
    }
    assert_eq!(call("POST", &jobs, Some(&vec![b' '; 70_000])).await.0, 413);
    // Cancelled once, cancelled for good.
    let withdraw = format!("{at}/withdraw");
    for _ in 0..2 {
        let (status, _, body) = post(&withdraw, &Value::Null).await;
        assert_eq!((status, &body["status"]), (200, &json!("aborted")));
    }
    assert_eq!(get(&at).await.2["status"], "aborted");
    assert_eq!(post(&jobs, &job(id)).await.2["status"], "aborted");
    assert_eq!(post(&format!("{jobs}/req-000099/withdraw"), &Value::Null).await.0, 404);
}

/// A flood is answered, not kept: what can't be taken gets its 503 at once and says when to come
/// back, and what is taken is known.
#[actix_web::test]
async fn a_flood_of_submissions_is_answered() {
    let site = site();
    let node = site.start_node("one").await;
    ready(&node).await;
    let url = format!("{node}/api/jobs");
    site.state.lock().unwrap().down = true;
    let flood = (0..600).map(|i| {
        let (url, body) = (url.clone(), job(&format!("req-{i:06}")));
        async move { post(&url, &body).await }
    });
    let answers = futures_util::future::join_all(flood).await;
    assert!(answers.iter().all(|a| a.0 == 503 && a.1.is_some()));
    site.state.lock().unwrap().down = false;
    poll_until("it serves again", &format!("{node}/api/jobs/req-999999"), |g| g.0 == 404).await;
    assert_eq!(post(&url, &job("req-000001")).await.0, 201);
}

/// Users asking many times as often, for open, finished and unknown jobs alike: whatever can't be
/// answered is refused at once with `Retry-After`, no answer is older than one given, and reports
/// and the leader's lease go on meanwhile.
#[actix_web::test]
async fn a_flood_of_queries_delays_neither_heartbeats_nor_the_lease() {
    let site = site();
    let node = site.start_node("one").await;
    ready(&node).await;
    let led = leader(&site).await;
    let jobs = format!("{node}/api/jobs");
    for id in ["req-000001", "req-000002"] {
        assert_eq!(post(&jobs, &job(id)).await.0, 201);
    }
    let withdrawn = post(&format!("{jobs}/req-000002/withdraw"), &json!({})).await;
    assert_eq!((withdrawn.0, &withdrawn.2["status"]), (200, &json!("aborted")));
    let worker = Worker::new("n-000009");
    while worker.send_heartbeat(&node).await.0 != 200 {
        actix_web::rt::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    let (mut answered, mut refused, mut done) = (0, 0, false);
    for _ in 0..20 {
        let was_done = done;
        // As many at once as a node of this size has connections for, but a few.
        let polls = (0..150).map(|i| {
            let id = ["req-000001", "req-000002", "req-000404"][i % 3];
            let url = format!("{jobs}/{id}");
            async move { (i % 3, get(&url).await) }
        });
        let polls = futures_util::future::join_all(polls);
        let (polls, report) = futures_util::future::join(polls, worker.send_heartbeat(&node)).await;
        assert_eq!(report.0, 200, "the worker is answered");
        for (which, (status, retry, body)) in polls {
            match (which, status) {
                (_, 503) => {
                    assert!(retry.is_some(), "told when to come back");
                    refused += 1;
                    continue;
                }
                (0, 200) => {
                    done |= body["status"] == "done";
                    assert!(!was_done || body["status"] == "done", "older than one given: {body}");
                }
                (1, 200) => assert_eq!(body["status"], "aborted"),
                (2, 404) => {}
                other => panic!("{other:?}: {body}"),
            }
            answered += 1;
        }
    }
    assert!(answered > 20 * 75, "{answered} answered, {refused} refused");
    assert_eq!(leader(&site).await, led, "the same leader all along");
}
