//! Consistency of the answers to users of all nodes while the state service delays and drops
//! responses, commits transactions late and refuses single nodes: no node returns an older state
//! than one already returned.

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

/// Number of users, each with one job.
const JOBS: u64 = 36;

/// The state of a job as returned to users. A job may only move to later states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ObservedState {
    Unknown,
    Accepted,
    Done,
    Cancelled,
}

/// A response that returned a job's state.
struct Observation {
    requested_at: Instant,
    received_at: Instant,
    state: ObservedState,
    /// The node and the request.
    source: String,
}

/// The responses to one user about one job.
#[derive(Default)]
struct JobObservations {
    observations: Vec<Observation>,
    /// Whether the user has sent a cancellation.
    sent_cancel: bool,
    /// Number of 503 responses.
    unavailable: u32,
}

impl JobObservations {
    /// Records a response. 503 returns no state, but must have `Retry-After`.
    fn record(&mut self, requested_at: Instant, source: &str, response: &Response) {
        let state = match (response.0, response.2["status"].as_str()) {
            (404, _) => ObservedState::Unknown,
            (200 | 201, Some("pending" | "running")) => ObservedState::Accepted,
            (200, Some("done")) => ObservedState::Done,
            (200, Some("aborted")) => ObservedState::Cancelled,
            (503, _) => {
                assert!(response.1.is_some(), "{source}: 503 without Retry-After");
                self.unavailable += 1;
                return;
            }
            other => panic!("{source}: unexpected response {other:?}"),
        };
        let received_at = Instant::now();
        let source = source.into();
        self.observations.push(Observation { requested_at, received_at, state, source });
    }

    fn latest_state(&self) -> Option<ObservedState> {
        self.observations.iter().map(|observation| observation.state).max()
    }

    /// Checks that no request sent after a response gets an older state, that final states do not
    /// change, and that no job is cancelled without a request.
    fn check(&self) {
        for (i, early) in self.observations.iter().enumerate() {
            let later = self.observations.iter().skip(i + 1);
            for late in later.filter(|late| late.requested_at > early.received_at) {
                let is_older = late.state < early.state;
                let is_changed = early.state >= ObservedState::Done && late.state != early.state;
                assert!(
                    !is_older && !is_changed,
                    "{} returned {:?}, then {} returned {:?}",
                    early.source,
                    early.state,
                    late.source,
                    late.state
                );
            }
            let is_unrequested = early.state == ObservedState::Cancelled && !self.sent_cancel;
            assert!(!is_unrequested, "{} returned a cancellation that nobody sent", early.source);
        }
    }
}

/// Submits, queries and possibly cancels one job at all nodes. Goes on until it has seen the final
/// state in eight rounds and `has_faults` is false.
async fn run_user(n: u64, nodes: [String; 3], has_faults: Rc<Cell<bool>>) -> JobObservations {
    let mut rng = StdRng::seed_from_u64(n);
    let id = format!("req-{n:06}");
    let observations = Rc::new(RefCell::new(JobObservations::default()));
    // One third of the users never cancel, one third immediately, and one third later.
    let cancel_after = [None, Some(0), Some(rng.random_range(5..120))][n as usize % 3];
    let mut final_rounds = 0;
    for step in 0.. {
        let mut requests = Vec::new();
        for (i, node) in nodes.iter().enumerate() {
            let (observations, id, node) = (observations.clone(), id.clone(), node.clone());
            let cancels = cancel_after.is_some_and(|after| step >= after)
                && (i == n as usize % 3 || step % 7 == 0);
            let submits = step < 3 || step % 5 == 0;
            let pause = rng.random_range(0..6);
            requests.push(spawn(async move {
                sleep(Duration::from_millis(pause)).await;
                let jobs = format!("{node}/api/jobs");
                let job_url = format!("{jobs}/{id}");
                if submits {
                    let requested_at = Instant::now();
                    let response = post(&jobs, &job(&id)).await;
                    let source = format!("{node} submit {id}");
                    observations.borrow_mut().record(requested_at, &source, &response);
                }
                if cancels {
                    let requested_at = Instant::now();
                    observations.borrow_mut().sent_cancel = true;
                    let response = post(&format!("{job_url}/withdraw"), &Value::Null).await;
                    let source = format!("{node} cancel {id}");
                    observations.borrow_mut().record(requested_at, &source, &response);
                }
                let requested_at = Instant::now();
                let response = get(&job_url).await;
                let source = format!("{node} query {id}");
                observations.borrow_mut().record(requested_at, &source, &response);
            }));
        }
        for request in requests {
            request.await.unwrap();
        }
        final_rounds +=
            u32::from(observations.borrow().latest_state() >= Some(ObservedState::Done));
        if final_rounds >= 8 && !has_faults.get() {
            break;
        }
        sleep(Duration::from_millis(rng.random_range(0..60))).await;
    }
    observations.take()
}

/// Runs a worker on each provisioned machine. After a redirect, it sends its heartbeats to the
/// leader named there; after any other error, to the next node.
async fn run_workers(site: Rc<Site>, nodes: [String; 3]) {
    let mut all: BTreeMap<String, (Rc<Worker>, usize)> = BTreeMap::new();
    loop {
        let provisioned = site.cloud.lock().unwrap().provisioned.clone();
        let terminated = site.cloud.lock().unwrap().terminated.clone();
        for name in provisioned {
            all.entry(name.clone()).or_insert_with(|| (Rc::new(Worker::new(&name)), 0));
        }
        all.retain(|name, _| !terminated.contains(name));
        let heartbeats: Vec<_> = all
            .iter()
            .map(|(name, (worker, node_index))| {
                let (name, worker, node) =
                    (name.clone(), worker.clone(), nodes[*node_index].clone());
                spawn(async move { (name, worker.send_heartbeat(&node).await) })
            })
            .collect();
        for heartbeat in heartbeats {
            let (name, response) = heartbeat.await.unwrap();
            let Some((_, node_index)) = all.get_mut(&name) else { continue };
            let leader = response.2["foreman"].as_str().map(str::to_string);
            *node_index = match leader.as_deref() {
                _ if response.0 == 200 => *node_index,
                Some("one") => 0,
                Some("two") => 1,
                Some("three") => 2,
                _ => (*node_index + 1) % 3,
            };
        }
        sleep(Duration::from_millis(30)).await;
    }
}

/// Injects faults: the leader alone loses the state service, then all nodes do, then the leader's
/// lease ends. Repeated once.
async fn inject_faults(site: Rc<Site>) {
    let wait_ms = |ms| sleep(Duration::from_millis(ms));
    let leader = |site: &Site| site.state.lock().unwrap().leader();
    let node_index = |name: &str| ["one", "two", "three"].iter().position(|n| *n == name).unwrap();
    for _ in 0..2 {
        wait_ms(900).await;
        // The state service refuses the leader alone, and then is down for all nodes.
        let refused = leader(&site).map(|leader| node_index(&leader.node)).unwrap_or(0);
        site.refused_nodes[refused].store(true, Relaxed);
        wait_ms(400).await;
        site.state.lock().unwrap().down = true;
        wait_ms(700).await;
        site.state.lock().unwrap().down = false;
        wait_ms(300).await;
        site.refused_nodes[refused].store(false, Relaxed);
        wait_ms(800).await;
        // Another node takes over.
        let lease = leader(&site).and_then(|leader| leader.lease);
        if let Some(lease) = lease {
            site.state.lock().unwrap().end_lease(lease);
        }
        wait_ms(500).await;
    }
}

#[actix_web::test]
async fn no_node_answers_with_an_older_state_during_faults() {
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
    let has_faults = Rc::new(Cell::new(true));
    let workers = spawn(run_workers(site.clone(), nodes.clone()));
    let users: Vec<_> =
        (1..=JOBS).map(|n| spawn(run_user(n, nodes.clone(), has_faults.clone()))).collect();
    inject_faults(site.clone()).await;
    // Once the faults are over, every job reaches a final state that all nodes return.
    let counts = site.state.lock().unwrap().faults.take().unwrap().counts;
    has_faults.set(false);
    let mut final_states = BTreeMap::new();
    for user in users {
        let observations = user.await.unwrap();
        observations.check();
        *final_states.entry(format!("{:?}", observations.latest_state().unwrap())).or_insert(0) +=
            1;
    }
    workers.abort();
    let is_final = |state: &String| state == "Done" || state == "Cancelled";
    assert!(final_states.keys().all(is_final), "{final_states:?}");
    // One third of the jobs is never cancelled; some of the others may be done before.
    let (done, cancelled) = (final_states["Done"], final_states["Cancelled"]);
    assert!(done >= JOBS / 3 && cancelled >= JOBS / 6, "{final_states:?}");
    assert!(counts.lost_responses >= 5 && counts.late_transactions >= 5, "{counts:?}");
}
