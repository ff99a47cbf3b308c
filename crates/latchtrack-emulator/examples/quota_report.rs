//! Runs races of cells for shared limits over many seeds, and writes an HTML report: what was used and allotted
//! over time, how long requests waited, and a table against the numbers of cells and teams.
//!
//!     cargo run --release -p latchtrack-emulator --example quota_report -- --out target/quota.html

use std::error::Error;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use clap::Parser;
use hdrhistogram::Histogram;
use latchtrack_emulator::race::{run, RaceOptions, RaceOutcome, LIMIT};
use plotters::prelude::*;

/// Races cells for the limits of the teams that they share, through real sockets on loopback.
#[derive(Parser, Debug, Clone)]
struct Options {
    /// Races with failing cells, each with a seed of its own
    #[arg(long, default_value_t = 200)]
    seeds: u64,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Races that run at the same time
    #[arg(long, default_value_t = 4)]
    parallel: usize,
    /// Seconds that jobs are submitted for
    #[arg(long, default_value_t = 8)]
    run_s: u64,
    /// Whether the table against the numbers of cells and teams is made too
    #[arg(long, default_value_t = false)]
    table: bool,
    /// Where the report goes
    #[arg(long, default_value = "target/quota.html")]
    out: PathBuf,
}

/// What races of one kind came to.
struct Summary {
    name: String,
    races: usize,
    launches: usize,
    overshoots: usize,
    grants: Histogram<u64>,
    grants_a_second: f64,
    puts_a_hundred: f64,
    guarantee_unmet_ms: u64,
    reclaims_ms: Vec<u64>,
}

impl Summary {
    fn of(name: String, outcomes: &[(u64, RaceOutcome)]) -> Result<Summary, Box<dyn Error>> {
        let mut grants = Histogram::new(3)?;
        for ms in outcomes.iter().flat_map(|(_, outcome)| &outcome.grants_ms) {
            grants.record((*ms).max(1))?;
        }
        let launches: usize = outcomes.iter().map(|(_, outcome)| outcome.launches()).sum();
        let puts: u64 = outcomes.iter().map(|(_, outcome)| outcome.puts).sum();
        let took_ms: u64 = outcomes.iter().map(|(_, outcome)| outcome.took_ms).sum();
        let mut reclaims_ms: Vec<u64> =
            outcomes.iter().flat_map(|(_, outcome)| outcome.reclaims_ms.clone()).collect();
        reclaims_ms.sort_unstable();
        let unmet = outcomes.iter().map(|(_, outcome)| outcome.guarantee_unmet_ms);
        Ok(Summary {
            name,
            races: outcomes.len(),
            launches,
            overshoots: outcomes.iter().map(|(_, outcome)| outcome.overshoots().len()).sum(),
            grants_a_second: grants.len() as f64 * 1e3 / took_ms as f64,
            grants,
            puts_a_hundred: 100.0 * puts as f64 / launches.max(1) as f64,
            guarantee_unmet_ms: unmet.max().unwrap_or(0),
            reclaims_ms,
        })
    }

    /// The cells of a row of a table.
    fn row(&self) -> Vec<String> {
        let reclaim =
            match (self.reclaims_ms.get(self.reclaims_ms.len() / 2), self.reclaims_ms.last()) {
                (Some(median), Some(most)) => {
                    format!(
                        "{:.1} / {:.1} ({})",
                        *median as f64 / 1e3,
                        *most as f64 / 1e3,
                        self.reclaims_ms.len()
                    )
                }
                _ => "none died".into(),
            };
        vec![
            self.name.clone(),
            self.races.to_string(),
            self.launches.to_string(),
            self.overshoots.to_string(),
            format!("{:.1}", self.grants_a_second),
            format!("{:.0}", self.puts_a_hundred),
            self.grants.value_at_quantile(0.5).to_string(),
            self.grants.value_at_quantile(0.99).to_string(),
            self.guarantee_unmet_ms.to_string(),
            reclaim,
        ]
    }
}

const COLUMNS: [&str; 10] = [
    "races",
    "number",
    "launches",
    "moments over a limit",
    "grants a second and race",
    "puts per 100 launches",
    "grant p50, ms",
    "grant p99, ms",
    "guarantee unmet, at most, ms",
    "reclaimed after, median / most, s",
];

fn main() -> Result<(), Box<dyn Error>> {
    let options = Options::parse();
    let mut summaries = Vec::new();
    let kind = RaceOptions {
        seed: options.first,
        cells: 3,
        teams: 2,
        run_s: options.run_s,
        troubles: true,
    };
    let outcomes = races(&options, &kind, options.seeds);
    summaries.push(Summary::of("3 cells, 2 teams, cells fail".into(), &outcomes)?);
    println!("{}", summaries[0].row().join(" | "));
    for (seed, outcome) in outcomes.iter().filter(|(_, outcome)| !outcome.overshoots().is_empty()) {
        println!("seed {seed}: {:?} {:?}", outcome.overshoots().first(), outcome.troubles);
    }
    if options.table {
        for cells in [1, 3, 8] {
            for teams in [3, 50] {
                let kind = RaceOptions { cells, teams, troubles: false, ..kind };
                let outcomes = races(&Options { parallel: 1, ..options.clone() }, &kind, 3);
                summaries.push(Summary::of(format!("{cells} cells, {teams} teams"), &outcomes)?);
                println!("{}", summaries[summaries.len() - 1].row().join(" | "));
            }
        }
    }
    std::fs::write(&options.out, report(&summaries, &outcomes)?)?;
    println!("{}", options.out.display());
    Ok(())
}

/// Runs so many races, some at a time, each on a thread of its own.
fn races(options: &Options, kind: &RaceOptions, many: u64) -> Vec<(u64, RaceOutcome)> {
    let next = Arc::new(AtomicU64::new(kind.seed));
    let end = kind.seed + many;
    let done: Arc<Mutex<Vec<(u64, RaceOutcome)>>> = Default::default();
    let work = |next: Arc<AtomicU64>, done: Arc<Mutex<Vec<_>>>, kind: RaceOptions| loop {
        let seed = next.fetch_add(1, Ordering::SeqCst);
        if seed >= end {
            return;
        }
        let outcome =
            actix_web::rt::System::new().block_on(run(RaceOptions { seed, ..kind.clone() }));
        done.lock().unwrap().push((seed, outcome));
    };
    std::thread::scope(|scope| {
        for _ in 0..options.parallel {
            let (next, done) = (next.clone(), done.clone());
            scope.spawn(move || work(next, done, kind.clone()));
        }
    });
    let mut outcomes = std::mem::take(&mut *done.lock().unwrap());
    outcomes.sort_by_key(|(seed, _)| *seed);
    outcomes
}

fn report(
    summaries: &[Summary],
    outcomes: &[(u64, RaceOutcome)],
) -> Result<String, Box<dyn Error>> {
    let mut html = String::from(
        "<!DOCTYPE html><html><head><meta charset=\"utf-8\"><title>Shared limits</title></head><body>\n\
         <h1>Cells that race for shared limits on loopback</h1>\n<table border=\"1\">\n",
    );
    html += &row("th", COLUMNS.iter().map(|name| name.to_string()));
    for summary in summaries {
        html += &row("td", summary.row().into_iter());
    }
    html += "</table>\n<h2>Grant latency, cells fail</h2>\n";
    html += &histogram(&summaries[0].grants)?;
    for (seed, outcome) in outcomes.iter().take(4) {
        html += &format!("<h2>Seed {seed}, team t0</h2>\n{}", plot(outcome)?);
        html += &format!("<pre>{}</pre>\n", outcome.troubles.join("\n"));
    }
    Ok(html + "</body></html>\n")
}

fn row(tag: &str, cells: impl Iterator<Item = String>) -> String {
    let cells: String = cells.map(|cell| format!("<{tag}>{cell}</{tag}>")).collect();
    format!("<tr>{cells}</tr>\n")
}

/// How many requests waited for how long.
fn histogram(grants: &Histogram<u64>) -> Result<String, Box<dyn Error>> {
    const STEP_MS: u64 = 100;
    let counts: Vec<(u64, u64)> = grants
        .iter_linear(STEP_MS)
        .map(|step| (step.value_iterated_to(), step.count_since_last_iteration()))
        .collect();
    let most = counts.iter().map(|(_, count)| *count).max().unwrap_or(1).max(1);
    let end_ms = counts.last().map_or(STEP_MS, |(ms, _)| *ms + STEP_MS);
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (900, 240)).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(0..end_ms, 0..most)?;
        chart.configure_mesh().x_desc("ms").y_desc("requests").draw()?;
        chart.draw_series(counts.iter().map(|(ms, count)| {
            Rectangle::new([(ms.saturating_sub(STEP_MS), 0), (*ms, *count)], BLUE.filled())
        }))?;
        root.present()?;
    }
    Ok(svg + "\n")
}

/// What a team used in all cells and what was allotted to each, over time.
fn plot(outcome: &RaceOutcome) -> Result<String, Box<dyn Error>> {
    const COLORS: [RGBColor; 3] = [RED, BLUE, GREEN];
    let origin = 1_000_000;
    let seconds = |at_ms: u64| at_ms.saturating_sub(origin) as f64 / 1e3;
    let used: Vec<(f64, f64)> =
        outcome.usage(0, None).iter().map(|usage| (seconds(usage.at_ms), usage.cpus)).collect();
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (900, 300)).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..outcome.took_ms as f64 / 1e3, 0.0..LIMIT * 1.2)?;
        chart.configure_mesh().x_desc("s").y_desc("CPUs").draw()?;
        let all = chart.draw_series(LineSeries::new(used, &BLACK))?;
        all.label("used in all cells")
            .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], BLACK));
        for cell in 0..outcome.entries.len() {
            let color = COLORS[cell % COLORS.len()];
            let samples = outcome.samples.iter().filter(|sample| sample.team == 0);
            let points = samples.map(|sample| (sample.at_ms as f64 / 1e3, sample.allotted[cell]));
            let line = chart.draw_series(LineSeries::new(points, &color))?;
            line.label(format!("allotted to cell{cell}"))
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
        root.present()?;
    }
    Ok(svg + "\n")
}
