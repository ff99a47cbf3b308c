//! What users are told, by all nodes at once, while the state service loses answers, is slow,
//! carries transactions out late and refuses nodes alone: after an answer nobody gives an older
//! one.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use actix_web::rt::{spawn, time::sleep};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;

use crate::fixtures::job;
use latchtrack_emulator::*;

const JOBS: u64 = 36;

/// How a job stands, in the order in which users may be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Told {
    Unknown,
    Accepted,
    Done,
    Cancelled,
}

/// One answer that said something, and when it was asked for and given.
struct Said {
    asked: Instant,
    given: Instant,
    told: Told,
    what: String,
}

/// What one user was told of one job.
#[derive(Default)]
struct Log {
    said: Vec<Said>,
    /// It was asked to cancel.
    cancels: bool,
    unclear: u32,
}

impl Log {
    /// Notes an answer; 503 and the like say nothing.
    fn note(&mut self, asked: Instant, what: &str, got: &Response) {
        let told = match (got.0, got.2["status"].as_str()) {
            (404, _) => Told::Unknown,
            (200 | 201, Some("pending" | "running")) => Told::Accepted,
            (200, Some("done")) => Told::Done,
            (200, Some("aborted")) => Told::Cancelled,
            (503, _) => {
                assert!(got.1.is_some(), "{what}: 503 says when to come back");
                self.unclear += 1;
                return;
            }
            other => panic!("{what}: {other:?}"),
        };
        self.said.push(Said { asked, given: Instant::now(), told, what: what.into() });
    }

    fn last(&self) -> Option<Told> {
        self.said.iter().map(|s| s.told).max()
    }

    /// Whatever was asked after an answer was given is not answered with something older, and a
    /// final answer stays what it is.
    fn check(&self) {
        for (i, early) in self.said.iter().enumerate() {
            for late in self.said.iter().skip(i + 1).filter(|l| l.asked > early.given) {
                let older = late.told < early.told;
                let other = early.told >= Told::Done && late.told != early.told;
                let (first, then) = (&early.what, &late.what);
                assert!(
                    !older && !other,
                    "{first} said {:?}, then {then}: {:?}",
                    early.told,
                    late.told
                );
            }
            let uncalled = early.told == Told::Cancelled && !self.cancels;
            assert!(!uncalled, "nobody cancelled what {} says", early.what);
        }
    }
}

/// One user and one job: submits and asks at all nodes, cancels or not, asks on when it is over.
async fn user(n: u64, nodes: [String; 3], on: Rc<Cell<bool>>) -> Log {
    let mut rng = StdRng::seed_from_u64(n);
    let id = format!("req-{n:06}");
    let log = Rc::new(RefCell::new(Log::default()));
    // A third never cancels, a third at once, a third some time later.
    let cancel_after = [None, Some(0), Some(rng.random_range(5..120))][n as usize % 3];
    let mut over = 0;
    for step in 0.. {
        let mut asked = Vec::new();
        for (i, node) in nodes.iter().enumerate() {
            let (log, id, node) = (log.clone(), id.clone(), node.clone());
            let cancels = cancel_after.is_some_and(|after| step >= after)
                && (i == n as usize % 3 || step % 7 == 0);
            let submits = step < 3 || step % 5 == 0;
            let pause = rng.random_range(0..6);
            asked.push(spawn(async move {
                sleep(Duration::from_millis(pause)).await;
                let jobs = format!("{node}/api/jobs");
                let at = format!("{jobs}/{id}");
                if submits {
                    let asked = Instant::now();
                    let got = post(&jobs, &job(&id)).await;
                    log.borrow_mut().note(asked, &format!("{node} submit {id}"), &got);
                }
                if cancels {
                    let asked = Instant::now();
                    log.borrow_mut().cancels = true;
                    let got = post(&format!("{at}/withdraw"), &Value::Null).await;
                    log.borrow_mut().note(asked, &format!("{node} cancel {id}"), &got);
                }
                let asked = Instant::now();
                let got = get(&at).await;
                log.borrow_mut().note(asked, &format!("{node} ask {id}"), &got);
            }));
        }
        for a in asked {
            a.await.unwrap();
        }
        over += u32::from(log.borrow().last() >= Some(Told::Done));
        if over >= 8 && !on.get() {
            break;
        }
        sleep(Duration::from_millis(rng.random_range(0..60))).await;
    }
    log.take()
}

/// A worker of each machine that is rented, which reports wherever it is sent.
async fn workers(site: Rc<Site>, nodes: [String; 3]) {
    let mut all: BTreeMap<String, (Rc<Worker>, usize)> = BTreeMap::new();
    loop {
        let rented = site.cloud.lock().unwrap().provisioned.clone();
        let deleted = site.cloud.lock().unwrap().terminated.clone();
        for name in rented {
            all.entry(name.clone()).or_insert_with(|| (Rc::new(Worker::new(&name)), 0));
        }
        all.retain(|name, _| !deleted.contains(name));
        let reports: Vec<_> = all
            .iter()
            .map(|(name, (worker, at))| {
                let (name, worker, node) = (name.clone(), worker.clone(), nodes[*at].clone());
                spawn(async move { (name, worker.send_heartbeat(&node).await) })
            })
            .collect();
        for r in reports {
            let (name, got) = r.await.unwrap();
            let Some((_, at)) = all.get_mut(&name) else { continue };
            let foreman = got.2["foreman"].as_str().map(str::to_string);
            *at = match foreman.as_deref() {
                _ if got.0 == 200 => *at,
                Some("one") => 0,
                Some("two") => 1,
                Some("three") => 2,
                _ => (*at + 1) % 3,
            };
        }
        sleep(Duration::from_millis(30)).await;
    }
}

/// Troubles one after the other, some of them at once.
async fn troubles(site: Rc<Site>) {
    let ms = |ms| sleep(Duration::from_millis(ms));
    let led = |site: &Site| site.state.lock().unwrap().leader();
    let door = |name: &str| ["one", "two", "three"].iter().position(|n| *n == name).unwrap();
    for _ in 0..2 {
        ms(900).await;
        // The leader is refused alone, and then everybody for a while.
        let refused = led(&site).map(|leader| door(&leader.node)).unwrap_or(0);
        site.refused_nodes[refused].store(true, Relaxed);
        ms(400).await;
        site.state.lock().unwrap().down = true;
        ms(700).await;
        site.state.lock().unwrap().down = false;
        ms(300).await;
        site.refused_nodes[refused].store(false, Relaxed);
        ms(800).await;
        // Another node leads now.
        let lease = led(&site).and_then(|leader| leader.lease);
        if let Some(lease) = lease {
            site.state.lock().unwrap().end_lease(lease);
        }
        ms(500).await;
    }
}

#[actix_web::test]
async fn users_who_ask_all_nodes_at_once_are_told_nothing_older() {
    let site = Rc::new(site());
    let nodes = site.start_three_nodes().await;
    for node in &nodes {
        poll_until("ready", &format!("{node}/ready"), |g| g.0 == 200).await;
    }
    site.state.lock().unwrap().faults = Some(TransactionFaults {
        rng: StdRng::seed_from_u64(1),
        max_delay_ms: 30,
        response_loss: 0.2,
        late_commit: 0.2,
        max_late_ms: 900,
        counts: FaultCounts::default(),
    });
    let on = Rc::new(Cell::new(true));
    let work = spawn(workers(site.clone(), nodes.clone()));
    let users: Vec<_> = (1..=JOBS).map(|n| spawn(user(n, nodes.clone(), on.clone()))).collect();
    troubles(site.clone()).await;
    // Once the troubles are over, every job comes to its end and is known everywhere.
    let met = site.state.lock().unwrap().faults.take().unwrap().counts;
    on.set(false);
    let mut ends = BTreeMap::new();
    for u in users {
        let log = u.await.unwrap();
        log.check();
        *ends.entry(format!("{:?}", log.last().unwrap())).or_insert(0) += 1;
    }
    work.abort();
    assert!(ends.keys().all(|e| e == "Done" || e == "Cancelled"), "{ends:?}");
    // A third is never cancelled; of those that are some may be done before.
    assert!(ends["Done"] >= JOBS / 3 && ends["Cancelled"] >= JOBS / 6, "{ends:?}");
    assert!(met.lost_responses >= 5 && met.late_transactions >= 5, "{met:?}");
}
