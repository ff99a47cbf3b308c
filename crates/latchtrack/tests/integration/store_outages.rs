//! Outages of the state service for one node or for all.

use latchtrack_emulator::*;
use serde_json::Value;

use crate::fixtures::{job, wait_until_ready};

#[actix_web::test]
async fn requests_in_an_outage_get_503_except_for_final_states() {
    let site = site();
    let node = site.start_node("one").await;
    wait_until_ready(&node).await;
    let jobs = format!("{node}/api/jobs");
    post(&jobs, &job("req-000001")).await;
    post(&jobs, &job("req-000002")).await;
    post(&format!("{jobs}/req-000002/withdraw"), &Value::Null).await;
    site.state.lock().unwrap().down = true;
    for response in [
        post(&jobs, &job("req-000003")).await,
        get(&format!("{jobs}/req-000001")).await,
        get(&format!("{jobs}/req-000003")).await,
        post(&format!("{jobs}/req-000001/withdraw"), &Value::Null).await,
    ] {
        assert_eq!(response.0, 503, "{response:?}");
        assert_eq!(response.1.as_deref(), Some("1"), "Retry-After");
    }
    assert_eq!(get(&format!("{jobs}/req-000002")).await.2["status"], "aborted");
    assert_eq!(
        get(&format!("{node}/ready")).await.0,
        200,
        "a node stays ready if the outage affects all nodes"
    );
    site.state.lock().unwrap().down = false;
    let known =
        poll_until("the state service is back", &format!("{jobs}/req-000001"), |response| {
            response.0 == 200
        })
        .await;
    assert_eq!(known.2["status"], "pending");
    // The outcome of the first submission is unknown to the node, but it was stored. The repeated
    // submission finds it.
    site.state.lock().unwrap().lose_next_job_response = true;
    assert_eq!(post(&jobs, &job("req-000004")).await.0, 503);
    assert_eq!(post(&jobs, &job("req-000004")).await.0, 200);
}

#[actix_web::test]
async fn a_node_refused_by_the_state_service_forwards_requests() {
    use std::sync::atomic::Ordering::Relaxed;
    let site = site();
    let [one, two] = site.start_two_nodes().await;
    wait_until_ready(&one).await;
    wait_until_ready(&two).await;
    let jobs = format!("{one}/api/jobs");
    assert_eq!(post(&jobs, &job("req-000001")).await.0, 201);
    site.refused_nodes[0].store(true, Relaxed);
    let job_url = format!("{jobs}/req-000001");
    poll_until("the query is forwarded", &job_url, |response| response.0 == 200).await;
    assert_eq!(post(&jobs, &job("req-000002")).await.0, 201, "accepted by the other node");
    assert_eq!(get(&format!("{two}/api/jobs/req-000002")).await.0, 200);
    assert_eq!(post(&format!("{job_url}/withdraw"), &Value::Null).await.2["status"], "aborted");
    assert_eq!(get(&format!("{jobs}/req-000099")).await.0, 404);
    assert_eq!(get(&format!("{one}/ready")).await.0, 200);
    // If both nodes are refused, requests are not forwarded in a circle but get 503.
    site.refused_nodes[1].store(true, Relaxed);
    let response =
        poll_until("both nodes are refused", &format!("{jobs}/req-000002"), |response| {
            response.0 == 503
        })
        .await;
    assert_eq!(response.1.as_deref(), Some("1"));
    assert_eq!(
        get(&format!("{two}/ready")).await.0,
        200,
        "the nodes know that the outage affects both and stay ready"
    );
}

/// After an outage, every node must answer for every job within 75 s. Users query every 5 s, so one
/// of 15 queries must be answered, also by a node started later.
#[actix_web::test]
async fn every_node_answers_for_every_job_after_an_outage() {
    let site = site();
    let [one, two] = site.start_two_nodes().await;
    wait_until_ready(&one).await;
    wait_until_ready(&two).await;
    let ids: Vec<String> = (1..=40).map(|i| format!("req-{i:06}")).collect();
    for (i, id) in ids.iter().enumerate() {
        let node = if i % 2 == 0 { &one } else { &two };
        assert_eq!(post(&format!("{node}/api/jobs"), &job(id)).await.0, 201);
    }
    site.state.lock().unwrap().down = true;
    let job_url = format!("{one}/api/jobs/{}", ids[0]);
    let response =
        poll_until("the node notices the outage", &job_url, |response| response.0 == 503).await;
    assert_eq!(response.1.as_deref(), Some("1"), "Retry-After");
    site.state.lock().unwrap().down = false;
    let three = site.start_node("three").await;
    wait_until_ready(&three).await;
    for node in [&one, &two, &three] {
        let mut unanswered: Vec<&String> = ids.iter().collect();
        for _ in 0..15 {
            let mut remaining = Vec::new();
            for id in unanswered {
                let (status, ..) = get(&format!("{node}/api/jobs/{id}")).await;
                assert_ne!(status, 404, "{id} at {node}");
                if status != 200 {
                    remaining.push(id);
                }
            }
            unanswered = remaining;
            if unanswered.is_empty() {
                break;
            }
            actix_web::rt::time::sleep(std::time::Duration::from_millis(100)).await;
        }
        assert_eq!(unanswered, Vec::<&String>::new(), "at {node}");
    }
}
