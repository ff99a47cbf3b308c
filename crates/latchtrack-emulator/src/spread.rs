//! A loopback fleet through both hot cases of load spread: two teams turn hot in the same second, and
//! targets of moves fill up, are cut, pause and crash while tasks are on their way to them; in the middle of
//! it the leader changes.

use std::collections::BTreeSet;
use std::time::Duration;

use actix_web::rt::time::sleep;
use latchtrack::settings::{BalanceTuning, Settings, Tuning};
use latchtrack::wire::status::BalanceView;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::client::{get, post};
use crate::fleet::{self, FleetSettings, FleetState, JobShape, MACHINE_CPUS};
use crate::history::History;
use crate::site::{site, Site};
use crate::Shared;

/// ms between two looks at the fleet.
const LOOK: Duration = Duration::from_millis(250);
/// ms between two troubles.
const TROUBLES_APART_MS: u64 = 1_500;
/// ms for which a target that is full refuses launches.
const FULL_MS: u64 = 10_000;
/// Tasks of a hot job.
const HOT_TASKS: usize = 40;
/// The bound of latchtrack-balance for tasks of one CPU: see docs/balance.md.
const FACTOR: f64 = 1.25;

/// What fails while tasks move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Troubles {
    None,
    /// Machines that take part in moves.
    Machines,
    /// Those, and the leader in their midst.
    MachinesAndLeader,
}

/// What is to be run.
#[derive(Clone, Debug)]
pub struct SpreadOptions {
    pub seed: u64,
    pub workers: usize,
    pub balance: BalanceTuning,
    /// Part of the fleet's CPUs that the hot teams ask for.
    pub demand: f64,
    /// s that a hot task runs.
    pub run_s: u64,
    pub troubles: Troubles,
    /// s after which the run ends, whatever is left.
    pub most_s: u64,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct SpreadOutcome {
    pub history: History,
    /// When the hot teams began, ms.
    pub hot_at_ms: u64,
    /// Tasks that were submitted and have not completed.
    pub lost: Vec<String>,
    /// What the last leader said of its balance.
    pub view: Option<BalanceView>,
    pub troubles: Vec<String>,
}

impl SpreadOutcome {
    /// Whether a sample is within the bound.
    fn within(sample: &crate::history::LoadSample) -> bool {
        sample.greatest <= FACTOR * sample.mean + 1.0 / MACHINE_CPUS + 1e-6
    }

    /// ms from when the hot teams began until the spread was first within the bound again after it was
    /// over it; None if it never was.
    pub fn restored_ms(&self) -> Option<u64> {
        let after = self.history.loads.iter().filter(|sample| sample.at_ms > self.hot_at_ms);
        let mut over = after.skip_while(|sample| Self::within(sample));
        over.find(|sample| Self::within(sample)).map(|sample| sample.at_ms - self.hot_at_ms)
    }

    /// Part of the samples within the bound while the hot teams had work, after this moment.
    pub fn within_share(&self, from_ms: u64) -> f64 {
        let last_start = self.history.entries.iter().map(|entry| entry.at_ms).max().unwrap_or(0);
        let range = from_ms..last_start;
        let samples: Vec<bool> = self
            .history
            .loads
            .iter()
            .filter(|sample| range.contains(&sample.at_ms) && sample.mean > 0.02)
            .map(Self::within)
            .collect();
        samples.iter().filter(|within| **within).count() as f64 / samples.len().max(1) as f64
    }
}

/// A run under way.
struct SpreadRun {
    options: SpreadOptions,
    site: Site,
    nodes: Vec<(String, String)>,
    settings: Settings,
    fleet: Shared<FleetState>,
    submitted: Vec<(String, usize)>,
    rng: StdRng,
    troubles: Vec<String>,
}

/// Runs a fleet through the hot cases.
pub async fn run(options: SpreadOptions) -> SpreadOutcome {
    let mut run = SpreadRun::start(options).await;
    run.warm_up().await;
    let hot_at_ms = run.fleet.lock().unwrap().now_ms();
    run.two_teams_turn_hot().await;
    let view = run.until_done().await;
    let fleet = run.fleet.lock().unwrap();
    let completed = fleet.history.completed();
    let tasks = run.submitted.iter().flat_map(|(id, n)| (0..*n).map(move |i| format!("{id}/{i}")));
    SpreadOutcome {
        history: fleet.history.clone(),
        hot_at_ms,
        lost: tasks.filter(|task| !completed.contains(task)).collect(),
        view,
        troubles: run.troubles.clone(),
    }
}

impl SpreadRun {
    async fn start(options: SpreadOptions) -> SpreadRun {
        let mut site = site();
        site.max_sockets = 4 * options.workers + 400;
        site.tuning = Tuning {
            idle_wait_s: 3_600.0,
            ordinary_idle_wait_s: 3_600.0,
            balance: options.balance.clone(),
            ..Tuning::default()
        };
        site.cloud.lock().unwrap().lists = true;
        site.state.lock().unwrap().page = Some(500);
        let (urls, settings) = site.trio_with_settings().await;
        let names = ["one", "two", "three"].map(String::from);
        let nodes: Vec<(String, String)> = names.into_iter().zip(urls).collect();
        let fleet = fleet::start(
            FleetSettings {
                seed: options.seed,
                machines: options.workers,
                report_ms: 1_000,
                lease_ms: 10_000,
                boot_ms: 300,
                fetch_ms: 400,
                loss: if options.troubles == Troubles::None { 0.0 } else { 0.01 },
                nodes: nodes.clone(),
            },
            site.cloud.clone(),
        );
        let rng = StdRng::seed_from_u64(options.seed ^ 0x5eed);
        let (submitted, troubles) = (Vec::new(), Vec::new());
        SpreadRun { options, site, nodes, settings, fleet, submitted, rng, troubles }
    }

    /// Submits a job to any node, as users do, until it is accepted.
    async fn submit(&mut self, team: &str, tasks: usize, cpus: f64, run_s: u64, saves: bool) {
        let id = format!("req-{:06}", self.submitted.len() + 1);
        let save_ms = saves.then_some(500);
        let shape = JobShape { cpus, image: team.into(), run_ms: run_s * 1_000, save_ms };
        self.fleet.lock().unwrap().upload(&id, shape);
        let body = json!({"name_id": id, "lane": team, "crew": team, "shape": "batch",
            "urgency": "standard", "pieces": tasks, "cores": cpus, "cards": 0.0, "memory_gb": cpus,
            "kit": team, "pull_gb": 0.4, "one_zone": false, "apart": false, "loaners": true,
            "expected_s": run_s, "snapshot_s": if saves { 5.0 } else { 0.0 }, "stow_s": 0.5});
        self.submitted.push((id, tasks));
        for attempt in 0.. {
            let node = &self.nodes[attempt % self.nodes.len()].1;
            let (status, ..) = post(&format!("{node}/api/jobs"), &body).await;
            if status == 201 || status == 200 {
                return;
            }
            assert!(attempt < 600, "not accepted: {status}");
            sleep(LOOK).await;
        }
    }

    /// Has every machine rented and up.
    async fn warm_up(&mut self) {
        let workers = self.options.workers;
        self.submit("team", workers, MACHINE_CPUS, 1, false).await;
        for _ in 0..600 {
            let up = self.fleet.lock().unwrap().up().len();
            let done = self.fleet.lock().unwrap().history.completed().len();
            if up == workers && done == workers {
                return;
            }
            sleep(LOOK).await;
        }
        panic!("the fleet never came up");
    }

    async fn two_teams_turn_hot(&mut self) {
        let cpus = self.options.workers as f64 * MACHINE_CPUS * self.options.demand;
        let jobs = (cpus / HOT_TASKS as f64 / 2.0).ceil().max(1.0) as usize;
        for _ in 0..jobs {
            for team in ["team", "other"] {
                self.submit(team, HOT_TASKS, 1.0, self.options.run_s, true).await;
            }
        }
    }

    /// Looks on, with troubles, until all jobs are done; returns what the last leader said.
    async fn until_done(&mut self) -> Option<BalanceView> {
        let began = self.fleet.lock().unwrap().now_ms();
        let most_ms = self.options.most_s * 1_000;
        let mut view = None;
        let mut next_trouble = 0;
        let mut tried = BTreeSet::new();
        loop {
            let now = self.fleet.lock().unwrap().now_ms() - began;
            if let Some(seen) = self.balance_view().await {
                if self.options.troubles != Troubles::None
                    && now >= next_trouble
                    && now < most_ms / 2
                {
                    if let Some(target) = seen.moves.iter().find_map(|line| target_of(line)) {
                        next_trouble = now + TROUBLES_APART_MS;
                        self.befall(&target, tried.len());
                        tried.insert(now);
                    }
                }
                view = Some(seen);
            }
            if self.all_done().await || now >= most_ms {
                return view;
            }
            sleep(LOOK).await;
        }
    }

    /// Troubles one after the other at a machine that is the target of a move.
    fn befall(&mut self, target: &str, turn: usize) {
        let mut fleet = self.fleet.lock().unwrap();
        let source = fleet.saving().first().cloned().unwrap_or_else(|| target.to_string());
        let at_ms = fleet.now_ms();
        let what = match turn % 6 {
            0 => {
                fleet.refuse(target, FULL_MS);
                format!("target {target} is full for {} s", FULL_MS / 1_000)
            }
            1 => {
                fleet.cut(target, 3_000);
                format!("target {target} is cut off for 3 s")
            }
            2 if self.options.troubles == Troubles::MachinesAndLeader => {
                let leader = self.site.state.lock().unwrap().leader();
                if let Some((_, _, Some(lease))) = leader {
                    self.site.state.lock().unwrap().end(lease);
                }
                "the leader loses its lease".to_string()
            }
            3 => {
                fleet.crash(target);
                format!("target {target} crashes")
            }
            4 => {
                fleet.pause(&source, 3_000);
                format!("source {source} pauses for 3 s")
            }
            _ => {
                let ms = self.rng.random_range(500..6_000);
                fleet.cut(&source, ms);
                format!("source {source} is cut off for {ms} ms")
            }
        };
        self.troubles.push(format!("{at_ms} ms: {what}"));
    }

    async fn balance_view(&self) -> Option<BalanceView> {
        let status = latchtrack::status::ask(&self.settings).await;
        let clusters = status.nodes.into_values().flatten().filter_map(|node| node.cluster);
        clusters.filter(|cluster| cluster.acting).find_map(|cluster| cluster.balance)
    }

    async fn all_done(&self) -> bool {
        let tasks: usize = self.submitted.iter().map(|(_, n)| n).sum();
        if self.fleet.lock().unwrap().history.completed().len() < tasks {
            return false;
        }
        for (id, _) in &self.submitted {
            let (status, _, body) = get(&format!("{}/api/jobs/{id}", self.nodes[0].1)).await;
            if status != 200 || body["status"] != "done" {
                return false;
            }
        }
        true
    }
}

/// The target that a line of the status names.
fn target_of(line: &str) -> Option<String> {
    let (_, after) = line.split_once(" to ")?;
    after.split(',').next().map(str::to_string)
}
