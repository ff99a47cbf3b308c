//! What users and workers see, over real sockets on loopback.

mod answers;
mod gangs;

use latchtrack_emulator::*;
use serde_json::{json, Value};

fn job(id: &str) -> Value {
    json!({"name_id": id, "lane": "l", "crew": "team", "shape": "batch", "urgency": "high",
        "pieces": 3, "cores": 2.0, "cards": 0.0, "memory_gb": 4.0, "kit": "i", "pull_gb": 1.0,
        "one_zone": false, "apart": false, "loaners": true, "expected_s": 5.0, "snapshot_s": 0.0,
        "stow_s": 0.0})
}

async fn ready(node: &str) {
    until("ready", &format!("{node}/ready"), |g| g.0 == 200).await;
}

#[actix_web::test]
async fn submissions_are_judged_in_the_right_order() {
    let site = site();
    let node = site.node("one").await;
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

#[actix_web::test]
async fn without_the_state_service_the_answer_is_503_and_final_states_stay() {
    let site = site();
    let node = site.node("one").await;
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
    let known = until("back", &format!("{jobs}/req-000001"), |g| g.0 == 200).await;
    assert_eq!(known.2["status"], "pending");
    // A submission whose outcome is unknown is not guessed: it was stored, so it is known.
    site.state.lock().unwrap().lose_next_txn = true;
    assert_eq!(post(&jobs, &job("req-000004")).await.0, 503);
    assert_eq!(post(&jobs, &job("req-000004")).await.0, 200);
}

#[actix_web::test]
async fn machines_are_rented_stored_and_used_and_followers_point_to_the_leader() {
    let site = site();
    let one = site.node("one").await;
    ready(&one).await;
    leader(&site).await;
    let two = site.node("two").await;
    ready(&two).await;
    // Accepted by a follower, placed by the leader.
    let jobs = format!("{two}/api/jobs");
    assert_eq!(post(&jobs, &job("req-000001")).await.0, 201);
    let rented = loop {
        let first = site.cloud.lock().unwrap().provisioned.first().cloned();
        if let Some(name) = first {
            break name;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(20)).await;
    };
    let worker = Worker::new(&rented);
    let (status, _, body) = worker.report(&two).await;
    assert_eq!((status, &body["foreman"]), (421, &json!("one")));
    // Nothing is launched before the machine is in the stored set.
    let mut launched = false;
    for _ in 0..200 {
        let before = {
            let state = site.state.lock().unwrap();
            let mut fleet = state.keys.iter().filter(|(k, _)| k.starts_with("fleet/"));
            fleet.any(|(_, v)| v.0.to_string().contains(&rented))
        };
        let (status, _, body) = worker.report(&one).await;
        assert_eq!(status, 200);
        let any = body["orders"].as_array().unwrap().iter().any(|o| o["verb"] == "launch");
        assert!(!any || launched || before, "launched before it was stored");
        launched |= any;
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
    panic!("the job was not done");
}

#[actix_web::test]
async fn nonsense_reports_change_nothing() {
    let site = site();
    let node = site.node("one").await;
    ready(&node).await;
    let url = format!("{node}/v1/report");
    for body in [&b"{}"[..], b"", b"null", b"{\"host\":3}", &[b'x'; 300]] {
        assert_eq!(call("POST", &url, Some(body)).await.0, 400);
    }
    assert_eq!(call("POST", &url, Some(&vec![b' '; 70_000])).await.0, 413);
    let worker = Worker::new("n-000777");
    let mut report = worker.body();
    report["pieces"] = json!([{"piece": "req-1", "try": 1, "status": "running"}]);
    assert_eq!(post(&url, &report).await.0, 400);
    assert!(site.state.lock().unwrap().keys.keys().all(|k| !k.starts_with("fleet/")));
}

#[actix_web::test]
async fn a_node_refused_by_the_state_service_alone_passes_users_on() {
    use std::sync::atomic::Ordering::Relaxed;
    let site = site();
    let [one, two] = site.pair().await;
    ready(&one).await;
    ready(&two).await;
    let jobs = format!("{one}/api/jobs");
    assert_eq!(post(&jobs, &job("req-000001")).await.0, 201);
    site.refused[0].store(true, Relaxed);
    let at = format!("{jobs}/req-000001");
    until("passed on", &at, |g| g.0 == 200).await;
    assert_eq!(post(&jobs, &job("req-000002")).await.0, 201, "accepted by the other");
    assert_eq!(get(&format!("{two}/api/jobs/req-000002")).await.0, 200);
    assert_eq!(post(&format!("{at}/withdraw"), &Value::Null).await.2["status"], "aborted");
    assert_eq!(get(&format!("{jobs}/req-000099")).await.0, 404);
    assert_eq!(get(&format!("{one}/ready")).await.0, 200);
    // When both are refused, nothing is passed round; the answer comes at once.
    site.refused[1].store(true, Relaxed);
    let got = until("refused", &format!("{jobs}/req-000002"), |g| g.0 == 503).await;
    assert_eq!(got.1.as_deref(), Some("1"));
    assert_eq!(get(&format!("{two}/ready")).await.0, 200, "they hear each other and stay");
}

#[actix_web::test]
async fn a_worker_that_cannot_reach_the_leader_is_relayed() {
    let site = site();
    let [one, two] = site.pair().await;
    ready(&one).await;
    ready(&two).await;
    let (leader, ..) = leader(&site).await;
    let follower = if leader == "one" { &two } else { &one };
    assert_eq!(post(&format!("{follower}/api/jobs"), &job("req-000001")).await.0, 201);
    // It is sent to the leader, comes back, and then gets its work through the follower.
    let worker = Worker::new("n-000777");
    let mut first = worker.report(follower).await;
    while first.2["foreman"].is_null() {
        first = worker.report(follower).await;
    }
    assert_eq!((first.0, first.2["foreman"].as_str()), (421, Some(leader.as_str())));
    let at = format!("{follower}/api/jobs/req-000001");
    for _ in 0..200 {
        worker.report(follower).await;
        if get(&at).await.2["status"] == "done" {
            return;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(30)).await;
    }
    panic!("the job was not done");
}

/// Waits until somebody leads.
async fn leader(site: &Site) -> (String, u64, Option<u64>) {
    loop {
        if let Some(leader) = site.state.lock().unwrap().leader() {
            return (leader.node, leader.revision, leader.lease);
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

/// Users' check: the leader loses the state service and the other nodes, but not its workers. It
/// must let them go when its lease ends, and the other must lead and have them settle with it.
#[actix_web::test]
async fn a_leader_without_the_state_service_lets_its_workers_go() {
    use std::sync::atomic::Ordering::Relaxed;
    let site = site();
    let [one, two] = site.pair().await;
    ready(&one).await;
    ready(&two).await;
    let (first, token, lease) = leader(&site).await;
    let (old, new, door) = if first == "one" { (&one, &two, 0) } else { (&two, &one, 1) };
    let worker = Worker::new("n-000777");
    let mut heard = 0;
    for _ in 0..200 {
        let (status, _, body) = worker.report(old).await;
        if status == 200 {
            heard = body["baton"].as_u64().unwrap();
            break;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(30)).await;
    }
    assert_eq!(heard, token);
    site.refused[door].store(true, Relaxed);
    // It goes on for what is left of its lease at the most, and then answers at once that it may
    // not act.
    let mut answers = Vec::new();
    for _ in 0..400 {
        let (status, ..) = worker.report(old).await;
        answers.push(status);
        if status != 200 {
            break;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(30)).await;
    }
    assert!(matches!(answers.last(), Some(503 | 421)), "{answers:?}");
    site.state.lock().unwrap().end_lease(lease.unwrap());
    for _ in 0..200 {
        let (status, _, body) = worker.report(new).await;
        if status == 200 {
            assert!(body["baton"].as_u64().unwrap() > token, "a newer token");
            let (status, ..) = worker.report(old).await;
            assert_ne!(status, 200, "the old leader stays silent");
            return;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(30)).await;
    }
    panic!("nobody led");
}

/// A node back within a fraction of a second, in mid-election: the key of its earlier run's
/// campaign comes late. It is not that run's term that it may take up.
#[actix_web::test]
async fn a_late_campaign_of_an_earlier_run_is_not_taken_for_its_own() {
    let site = site();
    site.state.lock().unwrap().put(
        "live/leader",
        json!({"node": "one", "run": 1, "lease": 900}),
        Some(900),
    );
    let stale = site.state.lock().unwrap().leader().unwrap().revision;
    let node = site.node("one").await;
    ready(&node).await;
    let worker = Worker::new("n-000777");
    for _ in 0..300 {
        let (status, _, body) = worker.report(&node).await;
        if status == 200 {
            assert!(body["baton"].as_u64().unwrap() > stale, "acts in a term of its own");
            return;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    panic!("it never led");
}

/// Users' check: once troubles are over, no job may go without an answer for 75 s; users ask every
/// 5 s, so each must be answered among fifteen questions, at every node, one started since too.
#[actix_web::test]
async fn after_an_outage_every_job_is_answered_again() {
    let site = site();
    let [one, two] = site.pair().await;
    ready(&one).await;
    ready(&two).await;
    let ids: Vec<String> = (1..=40).map(|i| format!("req-{i:06}")).collect();
    for (i, id) in ids.iter().enumerate() {
        let node = if i % 2 == 0 { &one } else { &two };
        assert_eq!(post(&format!("{node}/api/jobs"), &job(id)).await.0, 201);
    }
    site.state.lock().unwrap().down = true;
    let at = format!("{one}/api/jobs/{}", ids[0]);
    let got = until("the outage shows", &at, |g| g.0 == 503).await;
    assert_eq!(got.1.as_deref(), Some("1"), "at once, with the time to come back");
    site.state.lock().unwrap().down = false;
    let three = site.node("three").await;
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

/// A flood is answered, not kept: what can't be taken gets its 503 at once and says when to come
/// back, and what is taken is known.
#[actix_web::test]
async fn a_flood_of_submissions_is_answered() {
    let site = site();
    let node = site.node("one").await;
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
    until("it serves again", &format!("{node}/api/jobs/req-999999"), |g| g.0 == 404).await;
    assert_eq!(post(&url, &job("req-000001")).await.0, 201);
}

/// As many connections as the settings allow are kept, and stay of use; the next are told at once to
/// come back, and once some are gone others have their places.
#[actix_web::test]
async fn connections_beyond_the_bound_are_told_so_and_the_others_go_on() {
    use std::io::{Read, Write};
    let site = site();
    let node = site.node("one").await;
    ready(&node).await;
    let at = node.strip_prefix("http://").unwrap().to_string();
    let rounds = actix_web::rt::task::spawn_blocking(move || {
        let ask = |c: &mut std::net::TcpStream| {
            let mut answer = vec![0; 4096];
            c.set_read_timeout(Some(std::time::Duration::from_secs(30))).unwrap();
            c.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
            let n = c.read(&mut answer).unwrap();
            String::from_utf8_lossy(&answer[..n]).to_string()
        };
        let open = || std::net::TcpStream::connect(&at).unwrap();
        let mut kept: Vec<_> = Vec::new();
        // The settings allow 200 sockets.
        let refused = loop {
            assert!(kept.len() < 200, "no bound");
            let mut c = open();
            let answer = ask(&mut c);
            if !answer.starts_with("HTTP/1.1 200") {
                break answer;
            }
            kept.push(c);
        };
        let on: Vec<String> = kept.iter_mut().map(ask).collect();
        let many = kept.len();
        kept.truncate(many / 2);
        // Places are free once the node has seen the ends.
        let again = (0..1_000).map(|_| ask(&mut open())).find(|a| a.starts_with("HTTP/1.1 200"));
        (refused, on, many, again)
    });
    let (refused, on, many, again) = rounds.await.unwrap();
    assert!(refused.starts_with("HTTP/1.1 503") && refused.contains("Retry-After: 1"), "{refused}");
    assert!(on.iter().all(|a| a.starts_with("HTTP/1.1 200")), "those that were there go on");
    assert!(many > 100, "{many}");
    assert!(again.is_some(), "others have their places");
}

/// Found in review: a node that started while the cloud's interface was down took no job, and after
/// a restart of all of them nobody could lead. What a leader stored of the types serves meanwhile.
#[actix_web::test]
async fn a_node_started_while_the_cloud_is_down_takes_jobs() {
    let site = site();
    let one = site.node("one").await;
    ready(&one).await;
    while !site.state.lock().unwrap().keys.contains_key("site/types") {
        actix_web::rt::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    site.cloud.lock().unwrap().down = true;
    let two = site.node("two").await;
    ready(&two).await;
    assert_eq!(post(&format!("{two}/api/jobs"), &job("req-000001")).await.0, 201);
    let mut odd = job("req-000002");
    odd["cores"] = json!(9.0);
    assert_eq!(post(&format!("{two}/api/jobs"), &odd).await.0, 422, "it knows what fits");
}

/// Found in review: requests that waited for their turn at the cloud went out after a standstill, for
/// a term that was over, and returned machines that the next leader used.
#[actix_web::test]
async fn requests_of_a_term_that_is_over_are_not_run() {
    use actix::Actor;
    use latchtrack::actors::cloud::{Cloud, CloudRequest, Customers};
    use latchtrack::actors::intake::Intake;
    use latchtrack::actors::job_cache::JobCache;
    use latchtrack::actors::leader::{Leader, LeaderTerm, Leadership};
    use latchtrack::actors::peers::Peers;
    use latchtrack::actors::store::Store;
    use latchtrack::clock::now_ms;
    let site = site();
    let [users, listener] = [bound().await, bound().await];
    let settings = site.settings("one", 0, &users, &listener, &[]);
    let store = Store::new(&settings).start();
    let cache = JobCache::new(store.clone()).start();
    let peers = Peers::new(&settings, listener, cache.clone()).start();
    let cloud = Cloud::new(store.clone(), &settings).start();
    let intake = Intake::new(store.clone(), cache.clone(), &settings).start();
    let leader = Leader::new(store, cache, cloud.clone(), peers, &settings).start();
    cloud.do_send(Customers { intake, leader });
    let back = |token, name: &str| CloudRequest::Return { token, names: vec![name.into()] };
    let later = now_ms() + 600_000;
    let term = |token, valid_until| Some(LeaderTerm { token, valid_until });
    cloud.do_send(Leadership(term(7, later)));
    cloud.do_send(back(7, "n-000001"));
    cloud.do_send(Leadership(term(7, now_ms())));
    cloud.do_send(back(7, "n-000002"));
    cloud.do_send(Leadership(None));
    cloud.do_send(back(7, "n-000003"));
    cloud.do_send(Leadership(term(9, later)));
    cloud.do_send(back(7, "n-000004"));
    cloud.do_send(back(9, "n-000005"));
    for _ in 0..600 {
        let deleted = site.cloud.lock().unwrap().terminated.clone();
        if deleted.iter().any(|n| n == "n-000005") && deleted.iter().any(|n| n == "n-000001") {
            assert_eq!(deleted.len(), 2, "{deleted:?}");
            return;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    panic!("not run: {:?}", site.cloud.lock().unwrap().terminated);
}

/// From outside nothing answered, and nobody could tell what was running: the status tells it by way of
/// the leader, and without one by way of the state service and the workers.
#[actix_web::test]
async fn the_status_tells_what_runs_with_a_leader_and_without() {
    let site = site();
    let [users, peers] = [bound().await, bound().await];
    let settings = site.settings("one", 0, &users, &peers, &[]);
    let at = format!("http://{}", users.local_addr().unwrap());
    let away = latchtrack::status::ask(&settings).await;
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
        let status = latchtrack::status::ask(&settings).await;
        seen = status.nodes["one"].clone().and_then(|n| n.cluster.map(|p| (n.served, p)));
        if seen.as_ref().is_some_and(|(_, p)| p.jobs_open == 1 && p.machines_booting > 0) {
            assert!(status.without_leader.is_none());
            break;
        }
        actix_web::rt::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    let (served, cluster) = seen.unwrap();
    assert!(served && cluster.acting && cluster.suspect_jobs.is_empty());
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
        kind: "t1".into(),
        zone: "a".into(),
        spot: true,
        addr: addr.into(),
    };
    let machines = [machine("n-000001", &addr), machine("n-000002", "127.0.0.1:9")];
    let value = latchtrack::wire::records::fleet(&machines).unwrap();
    let value = serde_json::from_str(value.get()).unwrap();
    site2.state.lock().unwrap().put("fleet/7-1", value, None);
    let [users, peers] = [bound().await, bound().await];
    let settings = site2.settings("one", 0, &users, &peers, &[]);
    drop((users, peers));
    let stored = latchtrack::status::ask(&settings).await.without_leader.unwrap();
    assert_eq!((stored.machines, stored.silent), (2, 1));
    assert_eq!(stored.running, [("req-000001".to_string(), 1)].into());
    // And when nobody answers at all, that is said.
    let mut lost = settings.clone();
    lost.platform.services.state = "127.0.0.1:9".parse().unwrap();
    let nobody = latchtrack::status::ask(&lost).await;
    assert!(!nobody.heard() && nobody.trouble.is_some());
}

/// Users asking many times as often, for open, finished and unknown jobs alike: whatever can't be answered
/// is refused at once with `Retry-After`, no answer is older than one given, and reports and the leader's
/// lease go on meanwhile.
#[actix_web::test]
async fn a_flood_of_questions_holds_up_neither_reports_nor_the_lease() {
    let site = site();
    let node = site.node("one").await;
    ready(&node).await;
    let led = leader(&site).await;
    let jobs = format!("{node}/api/jobs");
    for id in ["req-000001", "req-000002"] {
        assert_eq!(post(&jobs, &job(id)).await.0, 201);
    }
    let withdrawn = post(&format!("{jobs}/req-000002/withdraw"), &json!({})).await;
    assert_eq!((withdrawn.0, &withdrawn.2["status"]), (200, &json!("aborted")));
    let worker = Worker::new("n-000009");
    while worker.report(&node).await.0 != 200 {
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
        let (polls, report) = futures_util::future::join(polls, worker.report(&node)).await;
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

async fn bound() -> tokio::net::TcpListener {
    tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap()
}
