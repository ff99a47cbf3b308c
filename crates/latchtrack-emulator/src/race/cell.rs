//! A cell of a race: two nodes, a cloud and workers of its own.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use latchtrack::settings::{QuotaTuning, Tuning};
use serde_json::{json, Value};

use super::outcome::SubmittedJob;
use super::{RaceOptions, GUARANTEE_CPUS, LIMIT_CPUS};
use crate::fleet::{self, CallCopyFault, FleetSettings, FleetState, JobProfile, NodeEndpoint};
use crate::site::{site_with_state, Site};
use crate::state::StateService;
use crate::{lock, Shared};

/// Number of workers of a cell.
const WORKERS: usize = 8;
/// Mean time between two heartbeats of a worker, ms.
const HEARTBEAT_INTERVAL_MS: u64 = 400;
/// Duration of the worker lease, ms. It is short so that allotments are reclaimed within a race.
const WORKER_LEASE_MS: u64 = 2_000;
/// Probability that a response to a worker is lost in a race with faults.
const RESPONSE_LOSS: f64 = 0.01;
/// Copies of direct calls in a race with faults.
const CALL_COPIES: CallCopyFault =
    CallCopyFault { probability: 0.3, max_delay_ms: 3 * WORKER_LEASE_MS };

/// Returns the name of the cell with this index.
pub(super) fn cell_name(cell: usize) -> String {
    format!("cell{cell}")
}

/// The nodes of a cell that the state service refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RefusedNodes {
    None,
    First,
    Both,
}

/// A job to submit.
pub(super) struct NewJob {
    pub id: String,
    /// The body of the submission, in the protocol's format.
    pub body: Value,
}

/// The team and size of a new job.
pub(super) struct JobSize {
    pub team: usize,
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// Run time of each task, ms.
    pub run_ms: u64,
}

/// A cell of a race. All times are in ms since the start of the race.
pub(super) struct Cell {
    site: Site,
    /// Base URLs of its nodes.
    pub urls: Vec<String>,
    pub fleet: Shared<FleetState>,
    pub jobs: BTreeMap<String, SubmittedJob>,
    /// When its fault ends; 0 if it has none, `u64::MAX` if it is dead.
    pub faulty_until_ms: u64,
    /// When it died; `None` again once its allotments are reclaimed.
    pub died_at_ms: Option<u64>,
}

impl Cell {
    /// Starts a cell on the state service that all cells share.
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
            call_copies: if options.faults { CALL_COPIES } else { CallCopyFault::default() },
            nodes: nodes
                .map(|(name, url)| NodeEndpoint { name: name.into(), url: url.clone() })
                .collect(),
        };
        let fleet = fleet::start(settings, site.cloud.clone());
        Cell { site, urls, fleet, jobs: BTreeMap::new(), faulty_until_ms: 0, died_at_ms: None }
    }

    /// Creates a job and registers its profile with the workers.
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

    /// Makes the state service refuse exactly these nodes.
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

    /// Partitions all running workers from the nodes for `ms` milliseconds.
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
    // Large enough for a ledger with eight allotments of maximum length.
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
