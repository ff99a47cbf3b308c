//! The output of `latchtrack status`.

use latchtrack_emulator::*;
use serde_json::json;

use crate::fixtures::{bind_listener, job, wait_for_leader, wait_until_ready};

/// Regression test: in an outage, operators could not find out what was running. The status comes
/// from the leader if there is one, and otherwise from the state service and the workers.
#[actix_web::test]
async fn status_reports_running_jobs_with_and_without_a_leader() {
    let site = site();
    let [users, peers] = [bind_listener().await, bind_listener().await];
    let settings = site.settings("one", 0, &users, &peers, &[]);
    let url = format!("http://{}", users.local_addr().unwrap());
    let offline = latchtrack::status::query(&settings).await;
    assert!(offline.nodes["one"].is_none());
    let stored = offline.without_leader.unwrap();
    assert_eq!((stored.jobs_open, stored.machines, stored.leader), (0, 0, None));
    // With the node running, a job and a machine.
    actix_web::rt::spawn(latchtrack::node::serve(settings.clone(), users, peers));
    wait_until_ready(&url).await;
    wait_for_leader(&site).await;
    assert_eq!(post(&format!("{url}/api/jobs"), &job("req-000001")).await.0, 201);
    let mut seen = None;
    for _ in 0..200 {
        let status = latchtrack::status::query(&settings).await;
        seen = status.nodes["one"]
            .clone()
            .and_then(|node| node.cluster.map(|cluster| (node.served, cluster)));
        if seen
            .as_ref()
            .is_some_and(|(_, cluster)| cluster.jobs_open == 1 && cluster.machines_booting > 0)
        {
            assert!(status.without_leader.is_none());
            break;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    let (served, cluster) = seen.unwrap();
    assert!(served && cluster.acting && cluster.quarantined_jobs.is_empty());
    assert_eq!((cluster.jobs_open, cluster.tasks_waiting), (1, 3));
    // Without a node, the workers in the stored machine sets are queried.
    let other_site = self::site();
    let worker = actix_web::HttpServer::new(|| {
        actix_web::App::new().route(
            "/status",
            actix_web::web::get().to(|| async {
                actix_web::HttpResponse::Ok().json(json!({"host": "n-000001", "addr": "x",
                    "build": "t1", "yard": "a", "loaners": true, "shift": 1, "tally": 3, "baton": 1,
                    "pieces": [{"piece": "req-000001/0", "try": 2, "status": "running"},
                        {"piece": "req-000001/1", "try": 3, "status": "ended", "cause": "done"}]}))
            }),
        )
    })
    .workers(1)
    .bind("127.0.0.1:0")
    .unwrap();
    let addr = worker.addrs()[0].to_string();
    actix_web::rt::spawn(worker.run());
    let machine = |name: &str, addr: &str| latchtrack_core::scheduler::StoredMachine {
        name: name.into(),
        machine_type: "t1".into(),
        zone: "a".into(),
        spot: true,
        addr: addr.into(),
    };
    let machines = [machine("n-000001", &addr), machine("n-000002", "127.0.0.1:9")];
    let value = latchtrack::wire::records::encode_machine_set(&machines).unwrap();
    let value = serde_json::from_str(value.get()).unwrap();
    other_site.state.lock().unwrap().put("fleet/7-1", value, None);
    let [users, peers] = [bind_listener().await, bind_listener().await];
    let settings = other_site.settings("one", 0, &users, &peers, &[]);
    drop((users, peers));
    let stored = latchtrack::status::query(&settings).await.without_leader.unwrap();
    assert_eq!((stored.machines, stored.silent), (2, 1));
    assert_eq!(stored.running, [("req-000001".to_string(), 1)].into());
    // If neither a node nor the state service can be reached, the status contains the error.
    let mut unreachable = settings.clone();
    unreachable.platform.services.state = "127.0.0.1:9".parse().unwrap();
    let status = latchtrack::status::query(&unreachable).await;
    assert!(!status.has_answer() && status.store_error.is_some());
}
