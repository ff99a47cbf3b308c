//! Outages of the cloud, and cloud requests of expired leader terms.

use latchtrack_emulator::*;
use serde_json::json;

use crate::fixtures::{bind_listener, job, wait_until_ready};

/// Regression test: a node started during a cloud outage accepted no jobs, and after a restart of
/// all nodes none could lead. The machine types stored by a leader are used during the outage.
#[actix_web::test]
async fn a_node_started_while_the_cloud_is_down_accepts_jobs() {
    let site = site();
    let one = site.start_node("one").await;
    wait_until_ready(&one).await;
    while !site.state.lock().unwrap().keys.contains_key("site/types") {
        actix_web::rt::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    site.cloud.lock().unwrap().down = true;
    let two = site.start_node("two").await;
    wait_until_ready(&two).await;
    assert_eq!(post(&format!("{two}/api/jobs"), &job("req-000001")).await.0, 201);
    let mut oversized = job("req-000002");
    oversized["cores"] = json!(9.0);
    assert_eq!(
        post(&format!("{two}/api/jobs"), &oversized).await.0,
        422,
        "the stored types are known"
    );
}

/// Regression test: after a pause of the process, cloud requests queued by rate limiting were sent
/// although their leader term had expired, and terminated machines that the next leader used.
#[actix_web::test]
async fn cloud_requests_of_an_expired_term_are_not_sent() {
    use actix::Actor;
    use latchtrack::actors::admission::Admission;
    use latchtrack::actors::cloud::Cloud;
    use latchtrack::actors::job_cache::JobCache;
    use latchtrack::actors::messages::cloud::{CloudRequest, ConnectCloud};
    use latchtrack::actors::messages::scheduler::{LeaderTerm, Leadership};
    use latchtrack::actors::peers::Peers;
    use latchtrack::actors::scheduler_driver::SchedulerDriver;
    use latchtrack::actors::store::Store;
    use latchtrack::clock::now_ms;
    let site = site();
    let [users, listener] = [bind_listener().await, bind_listener().await];
    let settings = site.settings("one", 0, &users, &listener, &[]);
    let store = Store::new(&settings).start();
    let cache = JobCache::new(store.clone()).start();
    let peers = Peers::new(&settings, listener, cache.clone()).start();
    let cloud = Cloud::new(store.clone(), &settings).start();
    let admission = Admission::new(store.clone(), cache.clone(), &settings).start();
    let scheduler = SchedulerDriver::new(store, cache, cloud.clone(), peers, &settings).start();
    cloud.do_send(ConnectCloud {
        admission_types: admission.recipient(),
        scheduler_types: scheduler.clone().recipient(),
        scheduler_events: scheduler.recipient(),
    });
    let terminate = |token, name: &str| CloudRequest::Terminate { token, names: vec![name.into()] };
    let later = now_ms() + 600_000;
    let term = |token, valid_until| Some(LeaderTerm { token, valid_until });
    cloud.do_send(Leadership(term(7, later)));
    cloud.do_send(terminate(7, "n-000001"));
    cloud.do_send(Leadership(term(7, now_ms())));
    cloud.do_send(terminate(7, "n-000002"));
    cloud.do_send(Leadership(None));
    cloud.do_send(terminate(7, "n-000003"));
    cloud.do_send(Leadership(term(9, later)));
    cloud.do_send(terminate(7, "n-000004"));
    cloud.do_send(terminate(9, "n-000005"));
    for _ in 0..600 {
        let terminated = site.cloud.lock().unwrap().terminated.clone();
        let has = |name: &str| terminated.iter().any(|other| other == name);
        if has("n-000005") && has("n-000001") {
            assert_eq!(terminated.len(), 2, "{terminated:?}");
            return;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    panic!("expected two terminations, not {:?}", site.cloud.lock().unwrap().terminated);
}
