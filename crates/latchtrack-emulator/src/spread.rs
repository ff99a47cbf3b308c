//! An experiment on load spread with a loopback fleet. Two teams become hot in the same second.
//! Optionally, machines that take part in moves reject launches, are partitioned, pause or crash
//! during the moves, and the leader changes.

use std::time::Duration;

use actix_web::rt::time::sleep;
use latchtrack::settings::{BalanceTuning, Settings, Tuning};
use latchtrack::wire::status::BalanceView;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::client::{get, post};
use crate::error::ExperimentError;
use crate::fleet::{
    self, CallCopyFault, FleetSettings, FleetState, JobProfile, NodeEndpoint, MACHINE_CPUS,
};
use crate::history::{History, LoadSample};
use crate::site::{site, Site};
use crate::{lock, Shared};

/// Time between two polls of the fleet, and between two attempts to submit a job.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum polls until the fleet is up, and maximum retries until a job is accepted.
const MAX_POLLS: usize = 600;
/// Minimum time between two faults, ms.
const FAULT_INTERVAL_MS: u64 = 1_500;
/// How long the target of a move rejects launches, ms.
const REJECT_LAUNCHES_MS: u64 = 10_000;
/// How long a target is partitioned or a source is paused, ms.
const SHORT_FAULT_MS: u64 = 3_000;
/// Probability that a response to a worker is lost in a run with faults.
const RESPONSE_LOSS: f64 = 0.01;
/// Copies of direct calls in a run with faults.
const CALL_COPIES: CallCopyFault = CallCopyFault { probability: 0.3, max_delay_ms: 30_000 };
/// Number of tasks of a job of a hot team.
const HOT_JOB_TASKS: usize = 40;
/// Time that a task of a hot team takes to save a checkpoint, ms.
const CHECKPOINT_MS: u64 = 500;
/// The bound of latchtrack-balance on the greatest load, as a multiple of the mean load. One task
/// is added to it; see docs/balance.md.
const BOUND_FACTOR: f64 = 1.25;
/// Tolerance for rounding errors in loads.
const LOAD_TOLERANCE: f64 = 1e-6;
/// Mean load below which the hot teams are considered to have no work left.
const IDLE_LOAD: f64 = 0.02;
/// Changes the seed of the experiment's generator, so that it differs from the fleet's.
const SEED_MASK: u64 = 0x5eed;

/// What fails during moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultScope {
    /// Nothing.
    None,
    /// Machines that take part in moves.
    Machines,
    /// Machines that take part in moves, and the leader.
    MachinesAndLeader,
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct SpreadOptions {
    /// Seed for the fleet and the faults.
    pub seed: u64,
    /// Number of workers in the fleet.
    pub workers: usize,
    /// The operators' settings for balancing.
    pub balance: BalanceTuning,
    /// Total CPUs of the hot teams' tasks, as a fraction of the fleet's CPUs.
    pub demand: f64,
    /// Run time of a task of a hot team, s.
    pub run_s: u64,
    /// Faults to inject.
    pub faults: FaultScope,
    /// Time limit for the hot jobs, s.
    pub max_s: u64,
}

/// The outcome of a run.
#[derive(Clone, Debug)]
pub struct SpreadOutcome {
    /// The recorded history of the fleet.
    pub history: History,
    /// When the hot teams submitted their first job, in ms on the history's clock.
    pub hot_at_ms: u64,
    /// Ids of submitted tasks that did not complete.
    pub unfinished: Vec<String>,
    /// The last balance status reported by a leader; `None` if balancing is off.
    pub balance: Option<BalanceView>,
    /// A description of each fault, with its time.
    pub faults: Vec<String>,
}

/// Returns the bound on the greatest load, given the mean load of the sample.
pub fn load_bound(sample: &LoadSample) -> f64 {
    BOUND_FACTOR * sample.mean + 1.0 / MACHINE_CPUS
}

fn is_within_bound(sample: &LoadSample) -> bool {
    sample.max <= load_bound(sample) + LOAD_TOLERANCE
}

impl SpreadOutcome {
    /// Returns the ms from [`hot_at_ms`](Self::hot_at_ms) until the greatest load, after exceeding
    /// the bound, first returned within it; `None` if it never did.
    pub fn restored_ms(&self) -> Option<u64> {
        let after = self.history.loads.iter().filter(|sample| sample.at_ms > self.hot_at_ms);
        let mut over = after.skip_while(|sample| is_within_bound(sample));
        over.find(|sample| is_within_bound(sample)).map(|sample| sample.at_ms - self.hot_at_ms)
    }

    /// Returns the fraction of samples within the bound from `from_ms` on, while the hot teams had
    /// work. The time is in ms on the history's clock.
    pub fn within_bound_share(&self, from_ms: u64) -> f64 {
        let last_event = self.history.entries.iter().map(|entry| entry.at_ms).max().unwrap_or(0);
        let range = from_ms..last_event;
        let samples: Vec<bool> = self
            .history
            .loads
            .iter()
            .filter(|sample| range.contains(&sample.at_ms) && sample.mean > IDLE_LOAD)
            .map(is_within_bound)
            .collect();
        samples.iter().filter(|within| **within).count() as f64 / samples.len().max(1) as f64
    }
}

/// A submitted job.
struct SubmittedJob {
    id: String,
    tasks: usize,
}

/// A job to submit.
struct NewJob {
    team: &'static str,
    tasks: usize,
    /// CPUs of each task.
    cpus: f64,
    /// Run time of each task, s.
    run_s: u64,
    /// Time to save a checkpoint, ms; `None` if the tasks have no checkpoints.
    checkpoint_ms: Option<u64>,
}

/// A run in progress.
struct SpreadRun {
    options: SpreadOptions,
    site: Site,
    nodes: Vec<NodeEndpoint>,
    settings: Settings,
    fleet: Shared<FleetState>,
    submitted: Vec<SubmittedJob>,
    rng: StdRng,
    faults: Vec<String>,
}

/// Starts a fleet, makes two teams hot and observes it.
///
/// # Errors
///
/// Fails if the fleet does not come up in time or a job is not accepted.
pub async fn run(options: SpreadOptions) -> Result<SpreadOutcome, ExperimentError> {
    let mut run = SpreadRun::start(options).await;
    run.warm_up().await?;
    let hot_at_ms = lock(&run.fleet).now_ms();
    run.submit_hot_jobs().await?;
    let balance = run.observe_until_done().await;
    let fleet = lock(&run.fleet);
    let completed = fleet.history.completed();
    let tasks_of = |job: &SubmittedJob| {
        let id = job.id.clone();
        (0..job.tasks).map(move |index| format!("{id}/{index}"))
    };
    let tasks = run.submitted.iter().flat_map(tasks_of);
    Ok(SpreadOutcome {
        history: fleet.history.clone(),
        hot_at_ms,
        unfinished: tasks.filter(|task| !completed.contains(task)).collect(),
        balance,
        faults: run.faults.clone(),
    })
}

impl SpreadRun {
    async fn start(options: SpreadOptions) -> SpreadRun {
        let mut site = site();
        site.max_sockets = 4 * options.workers + 400;
        site.tuning = Tuning {
            spot_idle_timeout_s: 3_600.0,
            on_demand_idle_timeout_s: 3_600.0,
            balance: options.balance.clone(),
            ..Tuning::default()
        };
        lock(&site.cloud).lists_machines = true;
        lock(&site.state).page_size = Some(500);
        let (urls, settings) = site.start_three_nodes_with_settings().await;
        let names = ["one", "two", "three"].map(String::from);
        let nodes = names.into_iter().zip(urls);
        let nodes: Vec<NodeEndpoint> =
            nodes.map(|(name, url)| NodeEndpoint { name, url }).collect();
        let has_faults = options.faults != FaultScope::None;
        let fleet = fleet::start(
            FleetSettings {
                seed: options.seed,
                machines: options.workers,
                heartbeat_interval_ms: 1_000,
                lease_ms: 10_000,
                boot_ms: 300,
                fetch_ms: 400,
                response_loss: if has_faults { RESPONSE_LOSS } else { 0.0 },
                call_copies: if has_faults { CALL_COPIES } else { CallCopyFault::default() },
                nodes: nodes.clone(),
            },
            site.cloud.clone(),
        );
        let rng = StdRng::seed_from_u64(options.seed ^ SEED_MASK);
        let (submitted, faults) = (Vec::new(), Vec::new());
        SpreadRun { options, site, nodes, settings, fleet, submitted, rng, faults }
    }

    /// Submits a job to the nodes in turn until one accepts it.
    async fn submit(&mut self, job: NewJob) -> Result<(), ExperimentError> {
        let NewJob { team, tasks, cpus, run_s, checkpoint_ms } = job;
        let id = format!("req-{:06}", self.submitted.len() + 1);
        let profile = JobProfile { cpus, image: team.into(), run_ms: run_s * 1_000, checkpoint_ms };
        lock(&self.fleet).register_job(&id, profile);
        let checkpoint_interval_s = if checkpoint_ms.is_some() { 5.0 } else { 0.0 };
        let body = json!({"name_id": id, "lane": team, "crew": team, "shape": "batch",
            "urgency": "standard", "pieces": tasks, "cores": cpus, "cards": 0.0, "memory_gb": cpus,
            "kit": team, "pull_gb": 0.4, "one_zone": false, "apart": false, "loaners": true,
            "expected_s": run_s, "snapshot_s": checkpoint_interval_s, "stow_s": 0.5});
        self.submitted.push(SubmittedJob { id: id.clone(), tasks });
        let mut attempt = 0;
        loop {
            let node = &self.nodes[attempt % self.nodes.len()];
            let (status, ..) = post(&format!("{}/api/jobs", node.url), &body).await;
            if status == 201 || status == 200 {
                return Ok(());
            }
            if attempt >= MAX_POLLS {
                return Err(ExperimentError::JobNotAccepted { job: id, status });
            }
            attempt += 1;
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Brings up every machine with a job whose tasks fill a machine each, and waits for it.
    async fn warm_up(&mut self) -> Result<(), ExperimentError> {
        let machines = self.options.workers;
        let team = "team";
        self.submit(NewJob {
            team,
            tasks: machines,
            cpus: MACHINE_CPUS,
            run_s: 1,
            checkpoint_ms: None,
        })
        .await?;
        let (mut up, mut done) = (0, 0);
        for _ in 0..MAX_POLLS {
            {
                let fleet = lock(&self.fleet);
                (up, done) = (fleet.running_machines().len(), fleet.history.completed().len());
            }
            if up == machines && done == machines {
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
        Err(ExperimentError::FleetNotUp { up, machines, done })
    }

    /// Submits the jobs of the two hot teams alternately, as fast as they are accepted.
    async fn submit_hot_jobs(&mut self) -> Result<(), ExperimentError> {
        let cpus = self.options.workers as f64 * MACHINE_CPUS * self.options.demand;
        let jobs = (cpus / HOT_JOB_TASKS as f64 / 2.0).ceil().max(1.0) as usize;
        for _ in 0..jobs {
            for team in ["team", "other"] {
                self.submit(NewJob {
                    team,
                    tasks: HOT_JOB_TASKS,
                    cpus: 1.0,
                    run_s: self.options.run_s,
                    checkpoint_ms: Some(CHECKPOINT_MS),
                })
                .await?;
            }
        }
        Ok(())
    }

    /// Observes the fleet and injects faults until all jobs are done or the time limit is reached.
    /// Returns the last balance status reported by a leader.
    async fn observe_until_done(&mut self) -> Option<BalanceView> {
        let began = lock(&self.fleet).now_ms();
        let max_ms = self.options.max_s * 1_000;
        let mut balance = None;
        let mut next_fault = 0;
        loop {
            let now = lock(&self.fleet).now_ms() - began;
            if let Some(seen) = self.balance_view().await {
                let is_due = now >= next_fault && now < max_ms / 2;
                let target = seen.moves.iter().find_map(|line| target_of(line));
                if let Some(target) = target.filter(|_| is_due && self.has_faults()) {
                    next_fault = now + FAULT_INTERVAL_MS;
                    self.inject_fault(&target);
                }
                balance = Some(seen);
            }
            if self.is_all_done().await || now >= max_ms {
                return balance;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn has_faults(&self) -> bool {
        self.options.faults != FaultScope::None
    }

    /// Injects the next of six faults in rotation. `target` is the target machine of a move.
    fn inject_fault(&mut self, target: &str) {
        let mut fleet = lock(&self.fleet);
        let sources = fleet.checkpointing_machines();
        let source = sources.first().cloned().unwrap_or_else(|| target.to_string());
        let at_ms = fleet.now_ms();
        let what = match self.faults.len() % 6 {
            0 => {
                fleet.reject_launches(target, REJECT_LAUNCHES_MS);
                format!("target {target} rejects launches for {} s", REJECT_LAUNCHES_MS / 1_000)
            }
            1 => {
                fleet.partition(target, SHORT_FAULT_MS);
                format!("target {target} is partitioned for {} s", SHORT_FAULT_MS / 1_000)
            }
            2 if self.options.faults == FaultScope::MachinesAndLeader => {
                let mut state = lock(&self.site.state);
                if let Some(lease) = state.leader().and_then(|leader| leader.lease) {
                    state.end_lease(lease);
                }
                "the leader's lease ends".to_string()
            }
            3 => {
                fleet.crash(target);
                format!("target {target} crashes")
            }
            4 => {
                fleet.pause(&source, SHORT_FAULT_MS);
                format!("source {source} is paused for {} s", SHORT_FAULT_MS / 1_000)
            }
            _ => {
                let ms = self.rng.random_range(500..6_000);
                fleet.partition(&source, ms);
                format!("source {source} is partitioned for {ms} ms")
            }
        };
        self.faults.push(format!("{at_ms} ms: {what}"));
    }

    /// Queries the balance status of the acting leader.
    async fn balance_view(&self) -> Option<BalanceView> {
        let status = latchtrack::status::query(&self.settings).await;
        let clusters = status.nodes.into_values().flatten().filter_map(|node| node.cluster);
        clusters.filter(|cluster| cluster.acting).find_map(|cluster| cluster.balance)
    }

    /// Returns whether all tasks have completed and the first node reports every job as done.
    async fn is_all_done(&self) -> bool {
        let tasks: usize = self.submitted.iter().map(|job| job.tasks).sum();
        if lock(&self.fleet).history.completed().len() < tasks {
            return false;
        }
        for job in &self.submitted {
            let url = format!("{}/api/jobs/{}", self.nodes[0].url, job.id);
            let (status, _, body) = get(&url).await;
            if status != 200 || body["status"] != "done" {
                return false;
            }
        }
        true
    }
}

/// Returns the target machine in a move's status line, which has the form `{} to {}, {}`.
fn target_of(line: &str) -> Option<String> {
    let (_, after) = line.split_once(" to ")?;
    after.split(',').next().map(str::to_string)
}
