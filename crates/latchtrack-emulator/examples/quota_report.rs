//! Runs races of cells for shared limits over many seeds, and writes an HTML report with the usage
//! and allotments over time, the latency of grants, and optionally a table by number of cells and
//! teams.
//!
//!     cargo run --release -p latchtrack-emulator --example quota_report -- --out target/quota.html

mod chart;

use std::error::Error;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

use clap::Parser;
use hdrhistogram::Histogram;
use latchtrack_emulator::error::ExperimentError;
use latchtrack_emulator::race::{run, RaceOptions, RaceOutcome, CLOCK_OFFSET_MS, LIMIT_CPUS};
use latchtrack_emulator::{lock, Shared};
use plotters::element::Rectangle;
use plotters::style::{Color, RGBColor, BLACK, BLUE, GREEN, RED};

/// Runs races of cells for shared team limits over real sockets on loopback.
#[derive(Parser, Debug)]
struct Options {
    /// Number of races with cell failures, each with its own seed
    #[arg(long, default_value_t = 200)]
    seeds: u64,
    /// First seed
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of races to run concurrently
    #[arg(long, default_value_t = 4)]
    parallel: usize,
    /// Duration of the submissions, in seconds
    #[arg(long, default_value_t = 8)]
    run_s: u64,
    /// Also run the races for the table by number of cells and teams
    #[arg(long, default_value_t = false)]
    table: bool,
    /// Output file of the report
    #[arg(long, default_value = "target/quota.html")]
    out: PathBuf,
}

/// The outcome of the race with a seed.
struct SeedOutcome {
    seed: u64,
    outcome: RaceOutcome,
}

/// Statistics over races with the same parameters.
struct Summary {
    name: String,
    races: usize,
    launches: usize,
    overshoots: usize,
    grants: Histogram<u64>,
    grants_per_s: f64,
    writes_per_100_launches: f64,
    guarantee_unmet_ms: u64,
    reclaim_latencies_ms: Vec<u64>,
}

impl Summary {
    fn of(name: String, races: &[SeedOutcome]) -> Result<Summary, Box<dyn Error>> {
        let outcomes = || races.iter().map(|race| &race.outcome);
        let mut grants = Histogram::new(3)?;
        for ms in outcomes().flat_map(|outcome| &outcome.grant_latencies_ms) {
            grants.record((*ms).max(1))?;
        }
        let launches: usize = outcomes().map(RaceOutcome::launches).sum();
        let writes: u64 = outcomes().map(|outcome| outcome.ledger_writes).sum();
        let duration_ms: u64 = outcomes().map(|outcome| outcome.duration_ms).sum();
        let mut reclaim_latencies_ms: Vec<u64> =
            outcomes().flat_map(|outcome| outcome.reclaim_latencies_ms.clone()).collect();
        reclaim_latencies_ms.sort_unstable();
        let unmet_ms = outcomes().map(|outcome| outcome.guarantee_unmet_ms);
        Ok(Summary {
            name,
            races: races.len(),
            launches,
            overshoots: outcomes().map(|outcome| outcome.overshoots().len()).sum(),
            grants_per_s: grants.len() as f64 * 1e3 / duration_ms as f64,
            grants,
            writes_per_100_launches: 100.0 * writes as f64 / launches.max(1) as f64,
            guarantee_unmet_ms: unmet_ms.max().unwrap_or(0),
            reclaim_latencies_ms,
        })
    }

    /// Formats the statistics as a table row, in the order of [`COLUMNS`].
    fn row(&self) -> Vec<String> {
        let reclaim = match (
            self.reclaim_latencies_ms.get(self.reclaim_latencies_ms.len() / 2),
            self.reclaim_latencies_ms.last(),
        ) {
            (Some(median), Some(max)) => {
                format!(
                    "{:.1} / {:.1} ({})",
                    *median as f64 / 1e3,
                    *max as f64 / 1e3,
                    self.reclaim_latencies_ms.len()
                )
            }
            _ => "no cell died".into(),
        };
        vec![
            self.name.clone(),
            self.races.to_string(),
            self.launches.to_string(),
            self.overshoots.to_string(),
            format!("{:.1}", self.grants_per_s),
            format!("{:.0}", self.writes_per_100_launches),
            self.grants.value_at_quantile(0.5).to_string(),
            self.grants.value_at_quantile(0.99).to_string(),
            self.guarantee_unmet_ms.to_string(),
            reclaim,
        ]
    }
}

/// Races per row of the table by number of cells and teams.
const TABLE_SEEDS: u64 = 3;
/// Number of races with charts in the report.
const CHARTED_RACES: usize = 4;

const COLUMNS: [&str; 10] = [
    "scenario",
    "races",
    "launches",
    "limit overshoots",
    "grants per second per race",
    "ledger writes per 100 launches",
    "grant p50, ms",
    "grant p99, ms",
    "guarantee unmet, maximum, ms",
    "reclaim latency, median / maximum (count), s",
];

fn main() -> Result<(), Box<dyn Error>> {
    let options = Options::parse();
    let mut summaries = Vec::new();
    let kind =
        RaceOptions { seed: options.first, cells: 3, teams: 2, run_s: options.run_s, faults: true };
    let races = run_races(&kind, options.seeds, options.parallel)?;
    summaries.push(Summary::of("3 cells, 2 teams, with cell failures".into(), &races)?);
    println!("{}", summaries[0].row().join(" | "));
    for SeedOutcome { seed, outcome } in &races {
        if let Some(first) = outcome.overshoots().first() {
            println!("seed {seed}: {first:?} {:?}", outcome.faults);
        }
    }
    if options.table {
        for cells in [1, 3, 8] {
            for teams in [3, 50] {
                let kind = RaceOptions { cells, teams, faults: false, ..kind };
                let races = run_races(&kind, TABLE_SEEDS, 1)?;
                summaries.push(Summary::of(format!("{cells} cells, {teams} teams"), &races)?);
                println!("{}", summaries[summaries.len() - 1].row().join(" | "));
            }
        }
    }
    std::fs::write(&options.out, report(&summaries, &races)?)?;
    println!("{}", options.out.display());
    Ok(())
}

/// Runs races with consecutive seeds, starting from that in `kind`, on `parallel` threads.
fn run_races(
    kind: &RaceOptions,
    seeds: u64,
    parallel: usize,
) -> Result<Vec<SeedOutcome>, ExperimentError> {
    let next_seed = AtomicU64::new(kind.seed);
    let end = kind.seed + seeds;
    let outcomes: Shared<Vec<(u64, Result<RaceOutcome, ExperimentError>)>> = Default::default();
    let work = || loop {
        let seed = next_seed.fetch_add(1, Ordering::SeqCst);
        if seed >= end {
            return;
        }
        let race = run(RaceOptions { seed, ..kind.clone() });
        let outcome = actix_web::rt::System::new().block_on(race);
        lock(&outcomes).push((seed, outcome));
    };
    std::thread::scope(|scope| {
        for _ in 0..parallel {
            scope.spawn(work);
        }
    });
    let mut outcomes = std::mem::take(&mut *lock(&outcomes));
    outcomes.sort_by_key(|(seed, _)| *seed);
    let races = outcomes.into_iter();
    races.map(|(seed, outcome)| Ok(SeedOutcome { seed, outcome: outcome? })).collect()
}

fn report(summaries: &[Summary], races: &[SeedOutcome]) -> Result<String, Box<dyn Error>> {
    let mut html = String::from(
        "<!DOCTYPE html><html><head><meta charset=\"utf-8\"><title>Shared limits</title></head>\
         <body>\n\
         <h1>Races of cells for shared limits on loopback</h1>\n<table border=\"1\">\n",
    );
    html += &row("th", COLUMNS.iter().map(|name| name.to_string()));
    for summary in summaries {
        html += &row("td", summary.row().into_iter());
    }
    html += "</table>\n<h2>Grant latency with cell failures</h2>\n";
    html += &histogram(&summaries[0].grants)?;
    for SeedOutcome { seed, outcome } in races.iter().take(CHARTED_RACES) {
        html += &format!("<h2>Seed {seed}, team t0</h2>\n{}", usage_chart(outcome)?);
        html += &format!("<pre>{}</pre>\n", outcome.faults.join("\n"));
    }
    Ok(html + "</body></html>\n")
}

fn row(tag: &str, cells: impl Iterator<Item = String>) -> String {
    let cells: String = cells.map(|cell| format!("<{tag}>{cell}</{tag}>")).collect();
    format!("<tr>{cells}</tr>\n")
}

/// Draws a histogram of grant latencies.
fn histogram(grants: &Histogram<u64>) -> Result<String, Box<dyn Error>> {
    const STEP_MS: u64 = 100;
    let counts: Vec<(u64, u64)> = grants
        .iter_linear(STEP_MS)
        .map(|step| (step.value_iterated_to(), step.count_since_last_iteration()))
        .collect();
    let max_count = counts.iter().map(|(_, count)| *count).max().unwrap_or(1).max(1);
    let end_ms = counts.last().map_or(STEP_MS, |(ms, _)| *ms + STEP_MS);
    chart::svg(240, |area| {
        let mut chart = chart::builder(area, 56).build_cartesian_2d(0..end_ms, 0..max_count)?;
        chart.configure_mesh().x_desc("ms").y_desc("requests").draw()?;
        chart.draw_series(counts.iter().map(|(ms, count)| {
            Rectangle::new([(ms.saturating_sub(STEP_MS), 0), (*ms, *count)], BLUE.filled())
        }))?;
        Ok(())
    })
}

/// Draws the first team's usage in all cells and its allotment in each cell over time.
fn usage_chart(outcome: &RaceOutcome) -> Result<String, Box<dyn Error>> {
    const COLORS: [RGBColor; 3] = [RED, BLUE, GREEN];
    let seconds = |at_ms: u64| at_ms as f64 / 1e3;
    let used = outcome.usage(0, None);
    let used =
        used.iter().map(|usage| (seconds(usage.at_ms.saturating_sub(CLOCK_OFFSET_MS)), usage.cpus));
    chart::over_time(
        300,
        0.0..seconds(outcome.duration_ms),
        0.0..LIMIT_CPUS * 1.2,
        "CPUs",
        |chart| {
            chart::add_line(chart, "usage in all cells", BLACK, used)?;
            for cell in 0..outcome.entries.len() {
                let samples = outcome.samples.iter().filter(|sample| sample.team == 0);
                let points = samples.map(|sample| (seconds(sample.at_ms), sample.allotted[cell]));
                let color = COLORS[cell % COLORS.len()];
                chart::add_line(chart, &format!("allotted to cell{cell}"), color, points)?;
            }
            Ok(())
        },
    )
}
