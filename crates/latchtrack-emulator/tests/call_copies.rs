//! Copies of answered direct calls reach workers over real sockets, while machines refuse launches,
//! jobs are cancelled and the leader changes.

use std::time::Duration;

use actix_web::rt::time::sleep;
use latchtrack_emulator::fleet::{
    self, CallCopyFault, FleetSettings, FleetState, JobProfile, NodeEndpoint,
};
use latchtrack_emulator::{get, lock, post, site, Shared, Site};
use serde_json::json;

/// Number of workers, of eight CPUs each.
const WORKERS: usize = 4;
/// Tasks of a job; each takes one CPU.
const TASKS: usize = 16;
/// Run time of a task, ms.
const RUN_MS: u64 = 400;
/// Time between two submissions.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of jobs.
const JOBS: usize = 40;
/// Time after the last submission within which all jobs must be done.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);

fn job_id(number: usize) -> String {
    format!("req-{number:06}")
}

async fn submit(url: &str, fleet: &Shared<FleetState>, number: usize) {
    let id = job_id(number);
    let profile =
        JobProfile { cpus: 1.0, image: "image".into(), run_ms: RUN_MS, checkpoint_ms: None };
    lock(fleet).register_job(&id, profile);
    let body = json!({"name_id": id, "lane": "c", "crew": "team", "shape": "batch",
        "urgency": "standard", "pieces": TASKS, "cores": 1.0, "cards": 0.0, "memory_gb": 1.0,
        "kit": "image", "pull_gb": 0.1, "one_zone": false, "apart": false, "loaners": true,
        "expected_s": 0.4, "snapshot_s": 0.0, "stow_s": 0.0});
    for _ in 0..20 {
        let (status, ..) = post(&format!("{url}/api/jobs"), &body).await;
        if status == 201 || status == 200 {
            return;
        }
        sleep(SUBMIT_INTERVAL).await;
    }
    panic!("{id} was not accepted");
}

/// Injects the fault that is due when this job has been submitted.
async fn inject_fault(site: &Site, url: &str, fleet: &Shared<FleetState>, number: usize) {
    match number % 8 {
        2 => {
            let machines = lock(fleet).running_machines();
            if let Some(machine) = machines.get(number / 8 % WORKERS) {
                lock(fleet).reject_launches(machine, 1_500);
            }
        }
        4 => {
            post(&format!("{url}/api/jobs/{}/withdraw", job_id(number)), &json!({})).await;
        }
        6 if number == 22 => {
            let mut state = lock(&site.state);
            if let Some(lease) = state.leader().and_then(|leader| leader.lease) {
                state.end_lease(lease);
            }
        }
        _ => {}
    }
}

async fn is_over(url: &str, number: usize) -> bool {
    let (status, _, body) = get(&format!("{url}/api/jobs/{}", job_id(number))).await;
    status == 200 && (body["status"] == "done" || body["status"] == "aborted")
}

#[actix_web::test]
async fn no_copy_of_an_answered_launch_starts_a_forgotten_attempt() {
    let site = site();
    lock(&site.cloud).lists_machines = true;
    let urls = site.start_three_nodes().await;
    let nodes = ["one", "two", "three"].into_iter().zip(&urls);
    let settings = FleetSettings {
        seed: 5,
        machines: WORKERS,
        heartbeat_interval_ms: 1_000,
        lease_ms: 10_000,
        boot_ms: 200,
        fetch_ms: 50,
        response_loss: 0.01,
        call_copies: CallCopyFault { probability: 0.8, max_delay_ms: 10_000 },
        nodes: nodes
            .map(|(name, url)| NodeEndpoint { name: name.into(), url: url.clone() })
            .collect(),
    };
    let fleet = fleet::start(settings, site.cloud.clone());
    for number in 1..=JOBS {
        let url = &urls[number % urls.len()];
        submit(url, &fleet, number).await;
        inject_fault(&site, url, &fleet, number).await;
        sleep(SUBMIT_INTERVAL).await;
    }
    let finish = async {
        for number in 1..=JOBS {
            while !is_over(&urls[0], number).await {
                sleep(SUBMIT_INTERVAL).await;
            }
        }
    };
    actix_web::rt::time::timeout(FINISH_TIMEOUT, finish).await.expect("all jobs are over");
    let fleet = lock(&fleet);
    assert_eq!(fleet.history.duplicate_runs(), Vec::<String>::new());
    let copies = fleet.history.call_copies;
    assert!(copies.rejected >= 20, "{copies:?}");
}
