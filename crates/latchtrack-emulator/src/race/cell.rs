//! One cell of a race: two controllers, a cloud and workers of its own.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use latchtrack::settings::{QuotaTuning, Tuning};
use serde_json::{json, Value};

use super::outcome::SubmittedJob;
use super::{RaceOptions, GUARANTEE_CPUS, LIMIT_CPUS};
use crate::fleet::{self, FleetSettings, FleetState, JobProfile, NodeEndpoint};
use crate::site::{site_with_state, Site};
use crate::state::StateService;
use crate::{lock, Shared};

/// Workers of a cell.
const WORKERS: usize = 8;
/// Mean ms between two heartbeats of a worker.
const HEARTBEAT_INTERVAL_MS: u64 = 400;
/// The worker lease, ms: short, so that allotments are reclaimed within a race.
const WORKER_LEASE_MS: u64 = 2_000;
/// Probability that a response to a worker is lost in a race with faults.
const RESPONSE_LOSS: f64 = 0.01;

/// The name of a cell.
pub(super) fn cell_name(cell: usize) -> String {
    format!("cell{cell}")
}

/// Which controllers of a cell the state service refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RefusedNodes {
    None,
    First,
    Both,
}

/// A job as it is submitted.
pub(super) struct NewJob {
    pub id: String,
    /// The request's body, in the words of the protocol.
    pub body: Value,
}

/// The size of a new job.
pub(super) struct JobSize {
    pub team: usize,
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// ms that each task runs.
    pub run_ms: u64,
}

/// One cell of a race. All times are in ms since the race began.
pub(super) struct Cell {
    site: Site,
    /// Base URLs of its controllers.
    pub urls: Vec<String>,
    pub fleet: Shared<FleetState>,
    pub jobs: BTreeMap<String, SubmittedJob>,
    /// Until when it has a fault; 0: it has none.
    pub faulty_until_ms: u64,
    /// When it died, until its allotments are reclaimed.
    pub died_at_ms: Option<u64>,
}

impl Cell {
    /// Starts a cell at a state service that all cells share.
    pub async fn start(index: usize, options: &RaceOptions, state: Shared<StateService>) -> Cell {
        let site = cell_site(index, options, state);
        lock(&site.cloud).lists_machines = true;
        let urls = site.start_two_nodes().await.to_vec();
        let nodes = ["one", "two"].into_iter().zip(&urls);
        let settings = FleetSettings {
            seed: options.seed + index as u64,
            machines: WORKERS,
            heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
            lease_ms: WORKER_LEASE_MS,
            boot_ms: 200,
            fetch_ms: 50,
            response_loss: if options.faults { RESPONSE_LOSS } else { 0.0 },
            nodes: nodes
                .map(|(name, url)| NodeEndpoint { name: name.into(), url: url.clone() })
                .collect(),
        };
        let fleet = fleet::start(settings, site.cloud.clone());
        Cell { site, urls, fleet, jobs: BTreeMap::new(), faulty_until_ms: 0, died_at_ms: None }
    }

    /// Makes a new job and tells the workers of it.
    pub fn new_job(&mut self, size: &JobSize) -> NewJob {
        let JobSize { team, tasks, cpus, run_ms } = *size;
        let id = format!("req-{:06}", self.jobs.len() + 1);
        self.jobs.insert(id.clone(), SubmittedJob { team, cpus });
        let image = String::from("image");
        let profile = JobProfile { cpus, image: image.clone(), run_ms, checkpoint_ms: None };
        lock(&self.fleet).register_job(&id, profile);
        let body = json!({"name_id": id, "lane": "race", "crew": format!("t{team}"),
            "shape": "batch", "urgency": "standard", "pieces": tasks, "cores": cpus, "cards": 0.0,
            "memory_gb": cpus, "kit": image, "pull_gb": 0.1, "one_zone": false, "apart": false,
            "loaners": true, "expected_s": run_ms as f64 / 1e3, "snapshot_s": 0.0, "stow_s": 0.0});
        NewJob { id, body }
    }

    /// Has the state service refuse these controllers, and no others.
    pub fn set_refused(&self, nodes: RefusedNodes) {
        let refused = match nodes {
            RefusedNodes::None => [false, false],
            RefusedNodes::First => [true, false],
            RefusedNodes::Both => [true, true],
        };
        for (flag, refused) in self.site.refused_nodes.iter().zip(refused) {
            flag.store(refused, Ordering::Relaxed);
        }
    }

    /// Cuts all workers off from the controllers for so many ms.
    pub fn partition_workers(&self, ms: u64) {
        let mut fleet = lock(&self.fleet);
        for machine in fleet.running_machines() {
            fleet.partition(&machine, ms);
        }
    }
}

fn cell_site(index: usize, options: &RaceOptions, state: Shared<StateService>) -> Site {
    let mut site = site_with_state(state);
    let teams = (0..options.teams).map(
        |team| json!({"name": format!("t{team}"), "cpus": GUARANTEE_CPUS, "cpus_max": LIMIT_CPUS}),
    );
    site.teams = teams.collect();
    site.workers = json!({"report_s": HEARTBEAT_INTERVAL_MS as f64 / 1e3,
        "lease_s": WORKER_LEASE_MS as f64 / 1e3, "cancel_s": 10.0});
    // Eight allotments of the longest form fit in.
    site.next_value_kb = 4.0;
    let quota =
        QuotaTuning { cell: cell_name(index), cells: (0..options.cells).map(cell_name).collect() };
    site.tuning = Tuning {
        spot_idle_timeout_s: 60.0,
        on_demand_idle_timeout_s: 60.0,
        leader_lease_s: Some(1.0),
        quota: Some(quota),
        ..Tuning::default()
    };
    site
}
