//! Nodes that the state service does not serve, one or all of them.

use latchtrack_emulator::*;
use serde_json::Value;

use crate::fixtures::{job, ready};

#[actix_web::test]
async fn without_the_state_service_the_answer_is_503_and_final_states_stay() {
    let site = site();
    let node = site.start_node("one").await;
    ready(&node).await;
    let jobs = format!("{node}/api/jobs");
    post(&jobs, &job("req-000001")).await;
    post(&jobs, &job("req-000002")).await;
    post(&format!("{jobs}/req-000002/withdraw"), &Value::Null).await;
    site.state.lock().unwrap().down = true;
    for got in [
        post(&jobs, &job("req-000003")).await,
        get(&format!("{jobs}/req-000001")).await,
        get(&format!("{jobs}/req-000003")).await,
        post(&format!("{jobs}/req-000001/withdraw"), &Value::Null).await,
    ] {
        assert_eq!(got.0, 503, "{got:?}");
        assert_eq!(got.1.as_deref(), Some("1"), "says when to come back");
    }
    assert_eq!(get(&format!("{jobs}/req-000002")).await.2["status"], "aborted");
    assert_eq!(get(&format!("{node}/ready")).await.0, 200, "no flapping when all lack it");
    site.state.lock().unwrap().down = false;
    let known = poll_until("back", &format!("{jobs}/req-000001"), |g| g.0 == 200).await;
    assert_eq!(known.2["status"], "pending");
    // A submission whose outcome is unknown is not guessed: it was stored, so it is known.
    site.state.lock().unwrap().lose_next_job_response = true;
    assert_eq!(post(&jobs, &job("req-000004")).await.0, 503);
    assert_eq!(post(&jobs, &job("req-000004")).await.0, 200);
}

#[actix_web::test]
async fn a_node_refused_by_the_state_service_alone_forwards_users_requests() {
    use std::sync::atomic::Ordering::Relaxed;
    let site = site();
    let [one, two] = site.start_two_nodes().await;
    ready(&one).await;
    ready(&two).await;
    let jobs = format!("{one}/api/jobs");
    assert_eq!(post(&jobs, &job("req-000001")).await.0, 201);
    site.refused_nodes[0].store(true, Relaxed);
    let at = format!("{jobs}/req-000001");
    poll_until("passed on", &at, |g| g.0 == 200).await;
    assert_eq!(post(&jobs, &job("req-000002")).await.0, 201, "accepted by the other");
    assert_eq!(get(&format!("{two}/api/jobs/req-000002")).await.0, 200);
    assert_eq!(post(&format!("{at}/withdraw"), &Value::Null).await.2["status"], "aborted");
    assert_eq!(get(&format!("{jobs}/req-000099")).await.0, 404);
    assert_eq!(get(&format!("{one}/ready")).await.0, 200);
    // When both are refused, nothing is passed round; the answer comes at once.
    site.refused_nodes[1].store(true, Relaxed);
    let got = poll_until("refused", &format!("{jobs}/req-000002"), |g| g.0 == 503).await;
    assert_eq!(got.1.as_deref(), Some("1"));
    assert_eq!(get(&format!("{two}/ready")).await.0, 200, "they hear each other and stay");
}

/// Users' check: once troubles are over, no job may go without an answer for 75 s; users ask every
/// 5 s, so each must be answered among fifteen questions, at every node, one started since too.
#[actix_web::test]
async fn after_an_outage_every_job_is_answered_again() {
    let site = site();
    let [one, two] = site.start_two_nodes().await;
    ready(&one).await;
    ready(&two).await;
    let ids: Vec<String> = (1..=40).map(|i| format!("req-{i:06}")).collect();
    for (i, id) in ids.iter().enumerate() {
        let node = if i % 2 == 0 { &one } else { &two };
        assert_eq!(post(&format!("{node}/api/jobs"), &job(id)).await.0, 201);
    }
    site.state.lock().unwrap().down = true;
    let at = format!("{one}/api/jobs/{}", ids[0]);
    let got = poll_until("the outage shows", &at, |g| g.0 == 503).await;
    assert_eq!(got.1.as_deref(), Some("1"), "at once, with the time to come back");
    site.state.lock().unwrap().down = false;
    let three = site.start_node("three").await;
    ready(&three).await;
    for node in [&one, &two, &three] {
        let mut forgotten: Vec<&String> = ids.iter().collect();
        for _ in 0..15 {
            let mut still = Vec::new();
            for id in forgotten {
                let (status, ..) = get(&format!("{node}/api/jobs/{id}")).await;
                assert_ne!(status, 404, "{id} at {node}");
                if status != 200 {
                    still.push(id);
                }
            }
            forgotten = still;
            if forgotten.is_empty() {
                break;
            }
            actix_web::rt::time::sleep(std::time::Duration::from_millis(100)).await;
        }
        assert_eq!(forgotten, Vec::<&String>::new(), "at {node}");
    }
}
