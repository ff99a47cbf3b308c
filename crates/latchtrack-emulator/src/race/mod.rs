//! An experiment in which cells compete for shared team limits over real sockets. Each cell has two
//! nodes, a cloud and workers of its own; all use one state service. Faults of cells are drawn from
//! a seeded generator. Task events, allotments and request latencies are recorded and checked.

mod cell;
mod observer;
mod outcome;

use std::time::{Duration, Instant};

use actix_web::rt::time::sleep;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};

use crate::client::post;
use crate::error::ExperimentError;
use crate::history::HistoryEntry;
use crate::state::StateService;
use crate::{lock, Shared};
use cell::{cell_name, Cell, JobSize, RefusedNodes};
use observer::LedgerObserver;
pub use outcome::{AllotmentSample, Overshoot, RaceOutcome, SubmittedJob};

/// Limit of each team, in CPUs over all cells.
pub const LIMIT_CPUS: f64 = 16.0;
/// Guarantee of each team, in CPUs.
pub const GUARANTEE_CPUS: f64 = 4.0;
/// Maximum run time of a task, ms.
pub const MAX_TASK_MS: u64 = 1_500;
/// Offset of the times in [`RaceOutcome::entries`], ms. It keeps the times of events before the
/// start of the race positive.
pub const CLOCK_OFFSET_MS: u64 = 1_000_000;
/// Time between two samples of the stored ledgers, ms.
const SAMPLE_INTERVAL_MS: u64 = 25;
/// Maximum polls until every ledger is complete, four sampling intervals apart: two minutes.
const MAX_READY_POLLS: u32 = 1_200;
/// Time between two submissions to a cell after the initial burst, ms.
const SUBMIT_INTERVAL_MS: u64 = 150;
/// Jobs submitted to each cell at once at the start.
const BURST_JOBS: usize = 20;
/// Probability that a job is cancelled immediately after it is accepted.
const CANCEL_PROBABILITY: f64 = 0.25;
/// Maximum duration of a temporary fault, as a fraction of the run.
const MAX_FAULT_FRACTION: f64 = 0.6;
/// How long the workers of a dead cell are partitioned, as a multiple of the longest temporary
/// fault.
const DEAD_CELL_FACTOR: u64 = 10;

/// Parameters of a race.
#[derive(Clone, Debug)]
pub struct RaceOptions {
    /// Seed for the submissions and faults.
    pub seed: u64,
    /// Number of cells.
    pub cells: usize,
    /// Number of teams, all shared by all cells.
    pub teams: usize,
    /// Duration of the submissions, s.
    pub run_s: u64,
    /// Whether to inject faults into cells and drop responses to workers.
    pub faults: bool,
}

struct Race {
    options: RaceOptions,
    started_at: Instant,
    rng: StdRng,
    state: Shared<StateService>,
    cells: Vec<Cell>,
    observer: LedgerObserver,
    outcome: RaceOutcome,
}

/// Runs a race.
///
/// # Errors
///
/// Fails if the cells do not become ready within two minutes.
pub async fn run(options: RaceOptions) -> Result<RaceOutcome, ExperimentError> {
    let mut race = Race::start(options).await;
    race.wait_until_ready().await?;
    race.run_load().await;
    Ok(race.end())
}

impl Race {
    async fn start(options: RaceOptions) -> Race {
        let state: Shared<StateService> = Default::default();
        {
            let mut state = lock(&state);
            (state.leases_expire, state.page_size) = (true, Some(1_000));
        }
        let mut cells = Vec::new();
        for i in 0..options.cells {
            cells.push(Cell::start(i, &options, state.clone()).await);
        }
        let rng = StdRng::seed_from_u64(options.seed);
        Race {
            started_at: Instant::now(),
            rng,
            state,
            cells,
            observer: LedgerObserver::default(),
            outcome: RaceOutcome::default(),
            options,
        }
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Waits until every team's ledger is complete, which requires a leader in every cell. Submits
    /// jobs meanwhile.
    async fn wait_until_ready(&mut self) -> Result<(), ExperimentError> {
        for _ in 0..MAX_READY_POLLS {
            let is_complete = |ledger: &Value| ledger["complete"] == true;
            let ledgers: Vec<Value> =
                (0..self.options.teams).filter_map(|team| self.ledger(team)).collect();
            if ledgers.len() == self.options.teams && ledgers.iter().all(is_complete) {
                return Ok(());
            }
            self.submit_everywhere();
            sleep(Duration::from_millis(4 * SAMPLE_INTERVAL_MS)).await;
        }
        Err(ExperimentError::CellsNotReady)
    }

    /// Submits jobs, injects faults and samples the ledgers, until the last tasks have had time to
    /// end.
    async fn run_load(&mut self) {
        let from = self.now_ms();
        let run_ms = self.options.run_s * 1_000;
        for _ in 0..BURST_JOBS {
            self.submit_everywhere();
        }
        let fault_at = self.rng.random_range(500..2_500);
        let (mut next_submit, mut has_failed) = (0, false);
        while self.now_ms() < from + run_ms + MAX_TASK_MS {
            let now = self.now_ms() - from;
            if now >= next_submit && now < run_ms {
                next_submit = now + SUBMIT_INTERVAL_MS;
                self.submit_everywhere();
            }
            if self.options.faults && !has_failed && now >= fault_at {
                has_failed = true;
                self.fail_cells((run_ms as f64 * MAX_FAULT_FRACTION) as u64);
            }
            self.end_faults();
            self.observe_ledgers();
            sleep(Duration::from_millis(SAMPLE_INTERVAL_MS)).await;
        }
    }

    /// Returns the stored ledger of a team.
    fn ledger(&self, team: usize) -> Option<Value> {
        lock(&self.state).value(&format!("quota/team/t{team}"))
    }

    /// Submits a job to every cell concurrently, and cancels some of them once they are accepted.
    fn submit_everywhere(&mut self) {
        let mut submissions = Vec::new();
        for cell in &mut self.cells {
            let size = JobSize {
                team: self.rng.random_range(0..self.options.teams),
                tasks: self.rng.random_range(1..=4),
                cpus: f64::from(self.rng.random_range(1..=3)),
                run_ms: self.rng.random_range(300..=MAX_TASK_MS),
            };
            let is_cancelled = self.rng.random_bool(CANCEL_PROBABILITY);
            let job = cell.new_job(&size);
            let url = cell.urls[self.rng.random_range(0..cell.urls.len())].clone();
            submissions.push(async move {
                let (status, ..) = post(&format!("{url}/api/jobs"), &job.body).await;
                if is_cancelled && status < 300 {
                    let id = job.id;
                    post(&format!("{url}/api/jobs/{id}/withdraw"), &json!({})).await;
                }
            });
        }
        for submission in submissions {
            actix_web::rt::spawn(submission);
        }
    }

    /// Injects concurrent faults into at least one cell, and not into all cells if there are
    /// several. Temporary faults last at most `max_ms`.
    fn fail_cells(&mut self, max_ms: u64) {
        let now = self.now_ms();
        let count = self.rng.random_range(1..=(self.cells.len() - 1).max(1));
        let first = self.rng.random_range(0..self.cells.len());
        for i in 0..count {
            let index = (first + i) % self.cells.len();
            let ms = self.rng.random_range(500..max_ms);
            let fault = self.rng.random_range(0..4);
            let cell = &mut self.cells[index];
            cell.faulty_until_ms = now + ms;
            let what = match fault {
                0 => {
                    cell.set_refused(RefusedNodes::Both);
                    "all nodes refused by the state service"
                }
                1 => {
                    cell.set_refused(RefusedNodes::First);
                    "first node refused by the state service"
                }
                2 => {
                    cell.partition_workers(ms);
                    "workers partitioned"
                }
                _ => {
                    cell.set_refused(RefusedNodes::Both);
                    cell.partition_workers(max_ms * DEAD_CELL_FACTOR);
                    cell.faulty_until_ms = u64::MAX;
                    cell.died_at_ms = Some(now);
                    "all nodes and workers lost for good"
                }
            };
            self.outcome.faults.push(format!("{now} ms: {}: {what}, {ms} ms", cell_name(index)));
        }
    }

    fn end_faults(&mut self) {
        let now = self.now_ms();
        for cell in &mut self.cells {
            if cell.faulty_until_ms != 0 && now >= cell.faulty_until_ms {
                cell.faulty_until_ms = 0;
                cell.set_refused(RefusedNodes::None);
            }
        }
    }

    fn observe_ledgers(&mut self) {
        let now = self.now_ms();
        for team in 0..self.options.teams {
            let Some(ledger) = self.ledger(team) else { continue };
            self.observer.observe(now, team, &ledger, &mut self.cells, &mut self.outcome);
        }
    }

    fn end(mut self) -> RaceOutcome {
        for cell in &self.cells {
            let fleet = lock(&cell.fleet);
            let head_start = self.started_at.saturating_duration_since(fleet.started_at());
            let head_start_ms = head_start.as_millis() as u64;
            let on_one_clock = |entry: &HistoryEntry| HistoryEntry {
                at_ms: (entry.at_ms + CLOCK_OFFSET_MS).saturating_sub(head_start_ms),
                ..entry.clone()
            };
            self.outcome.entries.push(fleet.history.entries.iter().map(on_one_clock).collect());
            self.outcome.jobs.push(cell.jobs.clone());
        }
        self.outcome.ledger_writes = lock(&self.state).ledger_writes();
        self.outcome.duration_ms = self.now_ms();
        self.outcome
    }
}
