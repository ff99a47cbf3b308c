//! Several cells race for the limits of the teams that they share, through real sockets: each with two
//! controllers, a cloud and workers of its own, at one state service. Cells fail by seed; what ran, what was
//! allotted and how long requests waited is recorded and checked.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use actix_web::rt::time::sleep;
use latchtrack::settings::{QuotaTuning, Tuning};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};

use crate::client::post;
use crate::fleet::{self, FleetSettings, FleetState, JobShape};
use crate::history::{usage, Entry, Usage};
use crate::site::{site_at, Site};
use crate::state::State;
use crate::Shared;

/// CPUs that each team may use, and those of its guarantee.
pub const LIMIT: f64 = 16.0;
pub const GUARANTEE: f64 = 4.0;
/// The longest that a task runs, ms.
pub const RUN_MOST_MS: u64 = 1_500;
/// ms between two looks at the stored values.
const SAMPLE_MS: u64 = 25;
/// ms between two submissions of a cell after the first burst.
const SUBMIT_MS: u64 = 150;
/// Jobs that each cell submits in the same moment.
const BURST: usize = 20;
/// Part of the run after which nothing new fails.
const TROUBLED_PART: f64 = 0.6;
const WORKERS: usize = 8;
const REPORT_MS: u64 = 400;
const LEASE_MS: u64 = 2_000;

/// What is to be run.
#[derive(Clone, Debug)]
pub struct RaceOptions {
    pub seed: u64,
    pub cells: usize,
    pub teams: usize,
    /// s that jobs are submitted for.
    pub run_s: u64,
    /// Whether cells fail.
    pub troubles: bool,
}

/// What was allotted of a team at a moment.
#[derive(Clone, Debug)]
pub struct AllotmentSample {
    pub at_ms: u64,
    pub team: usize,
    /// CPUs by cell.
    pub allotted: Vec<f64>,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct RaceOutcome {
    /// What ran in each cell, on one clock.
    pub entries: Vec<Vec<Entry>>,
    /// The team of each job and the CPUs of each of its tasks, by cell.
    pub jobs: Vec<BTreeMap<String, (usize, f64)>>,
    pub samples: Vec<AllotmentSample>,
    /// ms from each request until its need was met, of cells that were well meanwhile.
    pub grants_ms: Vec<u64>,
    /// ms for which a cell that was well lacked something of its team's guarantee, the longest.
    pub guarantee_unmet_ms: u64,
    /// ms from the death of a cell until its allotments were reclaimed.
    pub reclaims_ms: Vec<u64>,
    /// Puts of the teams' values.
    pub puts: u64,
    pub troubles: Vec<String>,
    pub took_ms: u64,
}

impl RaceOutcome {
    /// What a team uses over time, in one cell or in all together.
    pub fn usage(&self, team: usize, cell: Option<usize>) -> Vec<Usage> {
        let mut entries = Vec::new();
        for (i, of_cell) in self.entries.iter().enumerate() {
            if cell.is_none_or(|cell| cell == i) {
                let named =
                    |entry: &Entry| Entry { task: format!("{i} {}", entry.task), ..entry.clone() };
                entries.extend(of_cell.iter().map(named));
            }
        }
        usage(&entries, |task| self.cpus_of(task, team))
    }

    /// CPUs of a task, named with its cell, if it is of this team.
    fn cpus_of(&self, task: &str, team: usize) -> f64 {
        let found = task.split_once(' ').and_then(|(cell, task)| {
            let (job, _) = task.split_once('/')?;
            self.jobs.get(cell.parse::<usize>().ok()?)?.get(job)
        });
        found.filter(|(of, _)| *of == team).map_or(0.0, |(_, cpus)| *cpus)
    }

    /// Moments at which a team used more than its limit in all cells together.
    pub fn overshoots(&self) -> Vec<(usize, Usage)> {
        let teams = self.jobs.iter().flatten().map(|(_, (team, _))| *team).max().unwrap_or(0);
        let over = |team| {
            let all = self.usage(team, None).into_iter();
            all.filter(|usage| usage.cpus > LIMIT + 1e-6).map(move |usage| (team, usage))
        };
        (0..=teams).flat_map(over).collect()
    }

    /// Tasks that were started.
    pub fn launches(&self) -> usize {
        let started = |entry: &&Entry| entry.happened == crate::history::Happened::Started;
        self.entries.iter().flatten().filter(started).count()
    }
}

/// One cell of a race.
struct Cell {
    site: Site,
    urls: Vec<String>,
    fleet: Shared<FleetState>,
    jobs: BTreeMap<String, (usize, f64)>,
    /// Until when it fails, ms since the race began.
    unwell_until: u64,
    /// When it died, if its allotments are to be reclaimed.
    died_at: Option<u64>,
}

/// A request that stands, as it was first seen.
#[derive(Clone, Copy)]
struct Standing {
    ticket: u64,
    since: u64,
    is_met: bool,
}

struct Race {
    options: RaceOptions,
    began: Instant,
    rng: StdRng,
    state: Shared<State>,
    cells: Vec<Cell>,
    requests: BTreeMap<(usize, usize), Standing>,
    unmet_since: BTreeMap<(usize, usize), u64>,
    outcome: RaceOutcome,
}

/// Runs a race.
pub async fn run(options: RaceOptions) -> RaceOutcome {
    let mut race = Race::start(options).await;
    race.race().await;
    race.end()
}

fn cell_name(cell: usize) -> String {
    format!("cell{cell}")
}

impl Race {
    async fn start(options: RaceOptions) -> Race {
        let state: Shared<State> = Default::default();
        {
            let mut state = state.lock().unwrap();
            (state.expires, state.page) = (true, Some(1_000));
        }
        let mut cells = Vec::new();
        for i in 0..options.cells {
            cells.push(Cell::start(i, &options, state.clone()).await);
        }
        let rng = StdRng::seed_from_u64(options.seed);
        Race {
            began: Instant::now(),
            rng,
            state,
            cells,
            requests: BTreeMap::new(),
            unmet_since: BTreeMap::new(),
            outcome: RaceOutcome::default(),
            options,
        }
    }

    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    async fn race(&mut self) {
        self.wait_for_leaders().await;
        let from = self.now_ms();
        let run_ms = self.options.run_s * 1_000;
        for _ in 0..BURST {
            self.submit_everywhere().await;
        }
        let trouble_at = self.rng.random_range(500..2_500);
        let (mut next_submit, mut is_troubled) = (0, false);
        // To the end of what runs, and of what is to be reclaimed.
        while self.now_ms() < from + run_ms + RUN_MOST_MS {
            let now = self.now_ms() - from;
            if now >= next_submit && now < run_ms {
                next_submit = now + SUBMIT_MS;
                self.submit_everywhere().await;
            }
            if self.options.troubles && !is_troubled && now >= trouble_at {
                is_troubled = true;
                self.befall((run_ms as f64 * TROUBLED_PART) as u64);
            }
            self.heal();
            self.sample();
            sleep(Duration::from_millis(SAMPLE_MS)).await;
        }
    }

    /// Every cell has a leader, and every team's value is complete.
    async fn wait_for_leaders(&mut self) {
        for _ in 0..1_200 {
            let complete = |value: &Value| value["complete"] == true;
            let values: Vec<Value> =
                (0..self.options.teams).filter_map(|team| self.value(team)).collect();
            if values.len() == self.options.teams && values.iter().all(complete) {
                return;
            }
            self.submit_everywhere().await;
            sleep(Duration::from_millis(4 * SAMPLE_MS)).await;
        }
        panic!("the cells never began");
    }

    fn value(&self, team: usize) -> Option<Value> {
        let state = self.state.lock().unwrap();
        state.keys.get(&format!("quota/team/t{team}")).map(|(value, ..)| value.clone())
    }

    /// Every cell gets a job in the same moment; users cancel a quarter of them at once.
    async fn submit_everywhere(&mut self) {
        let mut sent = Vec::new();
        for cell in &mut self.cells {
            let team = self.rng.random_range(0..self.options.teams);
            let tasks = self.rng.random_range(1..=4);
            let cpus = f64::from(self.rng.random_range(1..=3));
            let run_ms = self.rng.random_range(300..=RUN_MOST_MS);
            let withdraws = self.rng.random_bool(0.25);
            let (id, body) = cell.job(team, tasks, cpus, run_ms);
            let url = cell.urls[self.rng.random_range(0..cell.urls.len())].clone();
            sent.push(async move {
                let (status, ..) = post(&format!("{url}/api/jobs"), &body).await;
                if withdraws && status < 300 {
                    post(&format!("{url}/api/jobs/{id}/withdraw"), &json!({})).await;
                }
            });
        }
        for submission in sent {
            actix_web::rt::spawn(submission);
        }
    }

    /// Cells fail at the same time, all but one at most.
    fn befall(&mut self, most_ms: u64) {
        let now = self.now_ms();
        let many = self.rng.random_range(1..=(self.cells.len() - 1).max(1));
        let first = self.rng.random_range(0..self.cells.len());
        for i in 0..many {
            let index = (first + i) % self.cells.len();
            let ms = self.rng.random_range(500..most_ms);
            let what = self.rng.random_range(0..4);
            let cell = &mut self.cells[index];
            cell.unwell_until = now + ms;
            let what = match what {
                0 => {
                    cell.refuse(&[true, true]);
                    "loses the state service"
                }
                1 => {
                    cell.refuse(&[true, false]);
                    "one controller loses the state service"
                }
                2 => {
                    cell.cut(ms);
                    "loses its workers"
                }
                _ => {
                    cell.refuse(&[true, true]);
                    cell.cut(most_ms * 10);
                    cell.unwell_until = u64::MAX;
                    cell.died_at = Some(now);
                    "dies"
                }
            };
            self.outcome.troubles.push(format!("{now} ms: {} {what}, {ms} ms", cell_name(index)));
        }
    }

    fn heal(&mut self) {
        let now = self.now_ms();
        for cell in &mut self.cells {
            if cell.unwell_until != 0 && now >= cell.unwell_until {
                cell.unwell_until = 0;
                cell.refuse(&[false, false]);
            }
        }
    }

    /// Looks at the stored values.
    fn sample(&mut self) {
        let now = self.now_ms();
        for team in 0..self.options.teams {
            let Some(value) = self.value(team) else { continue };
            let account = |cell: usize| &value["cells"][cell_name(cell)];
            let cpus = |amounts: &Value| amounts["millicpus"].as_f64().unwrap_or(0.0) / 1_000.0;
            let allotted: Vec<f64> =
                (0..self.cells.len()).map(|cell| cpus(&account(cell)["allotted"])).collect();
            for (cell, held) in allotted.iter().enumerate() {
                let request = &account(cell)["request"];
                let ticket = request["ticket"].as_u64();
                self.sample_request(now, (team, cell), ticket, cpus(&request["need"]) <= *held);
                let want = cpus(&request["want"]);
                let lacks = ticket.is_some() && want <= GUARANTEE && *held < want;
                self.sample_guarantee(now, (team, cell), lacks);
                let died = self.cells[cell].died_at.filter(|_| account(cell).is_null());
                if let Some(died_at) = died.filter(|_| team == 0) {
                    self.cells[cell].died_at = None;
                    self.outcome.reclaims_ms.push(now - died_at);
                }
            }
            self.outcome.samples.push(AllotmentSample { at_ms: now, team, allotted });
        }
    }

    fn sample_request(&mut self, now: u64, key: (usize, usize), ticket: Option<u64>, is_met: bool) {
        let Some(ticket) = ticket else {
            // Met and struck off in one write.
            if let Some(standing) = self.requests.remove(&key) {
                self.granted(now, key.1, standing);
            }
            return;
        };
        let known = self.requests.get(&key).copied().filter(|known| known.ticket == ticket);
        if let (None, Some(old)) = (known, self.requests.get(&key).copied()) {
            self.granted(now, key.1, old);
        }
        let mut standing = known.unwrap_or(Standing { ticket, since: now, is_met: false });
        if is_met {
            self.granted(now, key.1, standing);
            standing.is_met = true;
        }
        self.requests.insert(key, standing);
    }

    fn granted(&mut self, now: u64, cell: usize, standing: Standing) {
        if !standing.is_met && self.cells[cell].unwell_until == 0 {
            self.outcome.grants_ms.push(now - standing.since);
        }
    }

    fn sample_guarantee(&mut self, now: u64, key: (usize, usize), lacks: bool) {
        // While any cell fails, what it holds has to be reclaimed first.
        if !lacks || self.cells.iter().any(|cell| cell.unwell_until != 0) {
            self.unmet_since.remove(&key);
            return;
        }
        let since = *self.unmet_since.entry(key).or_insert(now);
        self.outcome.guarantee_unmet_ms = self.outcome.guarantee_unmet_ms.max(now - since);
    }

    fn end(mut self) -> RaceOutcome {
        for cell in &self.cells {
            let fleet = cell.fleet.lock().unwrap();
            // All on the clock of the race.
            let before = self.began.saturating_duration_since(fleet.began()).as_millis() as u64;
            let on_one_clock = |entry: &Entry| Entry {
                at_ms: (entry.at_ms + 1_000_000).saturating_sub(before),
                ..entry.clone()
            };
            self.outcome.entries.push(fleet.history.entries.iter().map(on_one_clock).collect());
            self.outcome.jobs.push(cell.jobs.clone());
        }
        self.outcome.puts = self.state.lock().unwrap().shared_puts;
        self.outcome.took_ms = self.now_ms();
        self.outcome
    }
}

impl Cell {
    async fn start(index: usize, options: &RaceOptions, state: Shared<State>) -> Cell {
        let mut site = site_at(state);
        let teams = (0..options.teams)
            .map(|team| json!({"name": format!("t{team}"), "cpus": GUARANTEE, "cpus_max": LIMIT}));
        site.teams = teams.collect();
        site.workers = json!({"report_s": REPORT_MS as f64 / 1e3, "lease_s": LEASE_MS as f64 / 1e3,
            "cancel_s": 10.0});
        // Eight accounts of the longest fit in.
        site.next_value_kb = 4.0;
        let quota = QuotaTuning {
            cell: cell_name(index),
            cells: (0..options.cells).map(cell_name).collect(),
        };
        site.tuning = Tuning {
            idle_wait_s: 60.0,
            ordinary_idle_wait_s: 60.0,
            leader_lease_s: Some(1.0),
            quota: Some(quota),
            ..Tuning::default()
        };
        site.cloud.lock().unwrap().lists = true;
        let urls = site.pair().await.to_vec();
        let names = ["one", "two"].map(String::from);
        let settings = FleetSettings {
            seed: options.seed + index as u64,
            machines: WORKERS,
            report_ms: REPORT_MS,
            lease_ms: LEASE_MS,
            boot_ms: 200,
            fetch_ms: 50,
            loss: if options.troubles { 0.01 } else { 0.0 },
            nodes: names.into_iter().zip(urls.clone()).collect(),
        };
        let fleet = fleet::start(settings, site.cloud.clone());
        Cell { site, urls, fleet, jobs: BTreeMap::new(), unwell_until: 0, died_at: None }
    }

    /// A new job, of which the workers are told.
    fn job(&mut self, team: usize, tasks: u32, cpus: f64, run_ms: u64) -> (String, Value) {
        let id = format!("req-{:06}", self.jobs.len() + 1);
        self.jobs.insert(id.clone(), (team, cpus));
        let image = String::from("image");
        let shape = JobShape { cpus, image: image.clone(), run_ms, save_ms: None };
        self.fleet.lock().unwrap().upload(&id, shape);
        let body = json!({"name_id": id, "lane": "race", "crew": format!("t{team}"),
            "shape": "batch", "urgency": "standard", "pieces": tasks, "cores": cpus, "cards": 0.0,
            "memory_gb": cpus, "kit": image, "pull_gb": 0.1, "one_zone": false, "apart": false,
            "loaners": true, "expected_s": run_ms as f64 / 1e3, "snapshot_s": 0.0, "stow_s": 0.0});
        (id, body)
    }

    /// Whether the state service refuses each of the two controllers.
    fn refuse(&self, refused: &[bool; 2]) {
        for (flag, refused) in self.site.refused.iter().zip(refused) {
            flag.store(*refused, Ordering::Relaxed);
        }
    }

    /// Nothing passes between the workers and the controllers for so long.
    fn cut(&self, ms: u64) {
        let mut fleet = self.fleet.lock().unwrap();
        for machine in fleet.up() {
            fleet.cut(&machine, ms);
        }
    }
}
