//! What `latchtrack status` tells.

use latchtrack_emulator::*;
use serde_json::json;

use crate::fixtures::{bound, job, leader, ready};

/// From outside nothing answered, and nobody could tell what was running: the status tells it by
/// way of the leader, and without one by way of the state service and the workers.
#[actix_web::test]
async fn the_status_tells_what_runs_with_a_leader_and_without() {
    let site = site();
    let [users, peers] = [bound().await, bound().await];
    let settings = site.settings("one", 0, &users, &peers, &[]);
    let at = format!("http://{}", users.local_addr().unwrap());
    let away = latchtrack::status::query(&settings).await;
    assert!(away.nodes["one"].is_none());
    let stored = away.without_leader.unwrap();
    assert_eq!((stored.jobs_open, stored.machines, stored.leader), (0, 0, None));
    // Now the node runs, with a job and a machine.
    actix_web::rt::spawn(latchtrack::node::serve(settings.clone(), users, peers));
    ready(&at).await;
    leader(&site).await;
    assert_eq!(post(&format!("{at}/api/jobs"), &job("req-000001")).await.0, 201);
    let mut seen = None;
    for _ in 0..200 {
        let status = latchtrack::status::query(&settings).await;
        seen = status.nodes["one"].clone().and_then(|n| n.cluster.map(|p| (n.served, p)));
        if seen.as_ref().is_some_and(|(_, p)| p.jobs_open == 1 && p.machines_booting > 0) {
            assert!(status.without_leader.is_none());
            break;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    let (served, cluster) = seen.unwrap();
    assert!(served && cluster.acting && cluster.quarantined_jobs.is_empty());
    assert_eq!((cluster.jobs_open, cluster.tasks_waiting), (1, 3));
    // A worker of the stored set answers for itself when no node does.
    let site2 = self::site();
    let door = actix_web::HttpServer::new(|| {
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
    let addr = door.addrs()[0].to_string();
    actix_web::rt::spawn(door.run());
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
    site2.state.lock().unwrap().put("fleet/7-1", value, None);
    let [users, peers] = [bound().await, bound().await];
    let settings = site2.settings("one", 0, &users, &peers, &[]);
    drop((users, peers));
    let stored = latchtrack::status::query(&settings).await.without_leader.unwrap();
    assert_eq!((stored.machines, stored.silent), (2, 1));
    assert_eq!(stored.running, [("req-000001".to_string(), 1)].into());
    // And when nobody answers at all, that is said.
    let mut lost = settings.clone();
    lost.platform.services.state = "127.0.0.1:9".parse().unwrap();
    let nobody = latchtrack::status::query(&lost).await;
    assert!(!nobody.has_answer() && nobody.store_error.is_some());
}
