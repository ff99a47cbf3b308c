//! Several cells race for the limits of the teams that they share, through real sockets: each has
//! two controllers, a cloud and workers of its own, at one state service. Cells fail by seed; what
//! ran, what was allotted and how long requests waited is recorded and checked.

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

/// CPUs that each team may use.
pub const LIMIT_CPUS: f64 = 16.0;
/// CPUs of each team's guarantee.
pub const GUARANTEE_CPUS: f64 = 4.0;
/// The longest that a task runs, ms.
pub const MAX_TASK_MS: u64 = 1_500;
/// Added to the times of [`RaceOutcome::entries`], so that what ran before the race began has
/// positive times too; ms.
pub const CLOCK_OFFSET_MS: u64 = 1_000_000;
/// ms between two samples of the stored ledgers.
const SAMPLE_INTERVAL_MS: u64 = 25;
/// Attempts to see every cell led and every ledger complete, four sampling intervals apart.
const MAX_READY_POLLS: u32 = 1_200;
/// ms between two submissions to a cell after the first burst.
const SUBMIT_INTERVAL_MS: u64 = 150;
/// Jobs that are submitted to each cell in the same moment.
const BURST_JOBS: usize = 20;
/// Probability that a job is cancelled as soon as it is accepted.
const CANCEL_PROBABILITY: f64 = 0.25;
/// Fraction of the run that a fault lasts at most, unless the cell dies.
const MAX_FAULT_FRACTION: f64 = 0.6;
/// How much longer than the longest fault the workers of a dead cell stay cut off.
const DEAD_CELL_FACTOR: u64 = 10;

/// What is to be run.
#[derive(Clone, Debug)]
pub struct RaceOptions {
    /// Seed of submissions and faults.
    pub seed: u64,
    /// Cells that race.
    pub cells: usize,
    /// Teams that they share.
    pub teams: usize,
    /// Seconds that jobs are submitted for.
    pub run_s: u64,
    /// Whether cells fail.
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

/// Runs a race. Fails if the cells never become ready.
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

    /// Waits until every cell has a leader and every team's ledger is complete.
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

    /// Submits jobs and injects faults, and observes until what runs has ended.
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

    /// The stored ledger of a team.
    fn ledger(&self, team: usize) -> Option<Value> {
        lock(&self.state).value(&format!("quota/team/t{team}"))
    }

    /// Submits a job to every cell in the same moment; users cancel some of them at once.
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

    /// Has one or more cells fail at the same time, all but one at most, for up to so many ms.
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
                    "loses the state service"
                }
                1 => {
                    cell.set_refused(RefusedNodes::First);
                    "one controller loses the state service"
                }
                2 => {
                    cell.partition_workers(ms);
                    "loses its workers"
                }
                _ => {
                    cell.set_refused(RefusedNodes::Both);
                    cell.partition_workers(max_ms * DEAD_CELL_FACTOR);
                    cell.faulty_until_ms = u64::MAX;
                    cell.died_at_ms = Some(now);
                    "dies"
                }
            };
            self.outcome.faults.push(format!("{now} ms: {} {what}, {ms} ms", cell_name(index)));
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
