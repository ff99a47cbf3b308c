//! Runs the load spread experiment with moves off and on, and writes an HTML report with charts of
//! the loads.
//!
//!     cargo run --release -p latchtrack-emulator --example spread_report -- \
//!         --out target/spread.html

mod chart;

use std::error::Error;
use std::path::PathBuf;

use clap::Parser;
use latchtrack::settings::BalanceTuning;
use latchtrack_emulator::history::{LoadSample, StartCounts};
use latchtrack_emulator::spread::{load_bound, run, FaultScope, SpreadOptions, SpreadOutcome};
use plotters::style::{RGBColor, BLACK, BLUE, RED};

/// Runs the load spread experiment on a loopback fleet, with moves off and on.
#[derive(Parser, Debug)]
struct Options {
    /// Number of workers in the fleet
    #[arg(long, default_value_t = 200)]
    workers: usize,
    /// Seed for the fleet and the faults
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Run time of a task of a hot team, in seconds
    #[arg(long, default_value_t = 150)]
    run_s: u64,
    /// Run only the cases whose name contains this text
    #[arg(long, default_value = "")]
    only: String,
    /// Output file of the report
    #[arg(long, default_value = "target/spread.html")]
    out: PathBuf,
}

/// A configuration to run and report.
struct Case {
    name: &'static str,
    moves: bool,
    placement: bool,
    faults: FaultScope,
}

const CASES: [Case; 5] = [
    Case { name: "all off", moves: false, placement: false, faults: FaultScope::None },
    Case { name: "moves on", moves: true, placement: false, faults: FaultScope::None },
    Case {
        name: "moves on, machines that take part fail",
        moves: true,
        placement: false,
        faults: FaultScope::Machines,
    },
    Case {
        name: "moves and placement on, machines that take part fail",
        moves: true,
        placement: true,
        faults: FaultScope::Machines,
    },
    Case {
        name: "moves on, machines fail and leaders change",
        moves: true,
        placement: false,
        faults: FaultScope::MachinesAndLeader,
    },
];

/// The outcome of a case.
struct CaseOutcome {
    name: &'static str,
    outcome: SpreadOutcome,
}

#[actix_web::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let options = Options::parse();
    let mut outcomes = Vec::new();
    for Case { name, moves, placement, faults } in CASES {
        if !name.contains(&options.only) {
            continue;
        }
        let spread = SpreadOptions {
            seed: options.seed,
            workers: options.workers,
            balance: BalanceTuning {
                moves,
                placement,
                moves_per_minute: 300,
                ..BalanceTuning::default()
            },
            demand: 0.4,
            run_s: options.run_s,
            faults,
            max_s: 4 * options.run_s,
        };
        let outcome = run(spread).await?;
        println!("{name}: {}", summary(&outcome));
        outcomes.push(CaseOutcome { name, outcome });
    }
    std::fs::write(&options.out, report(&options, &outcomes)?)?;
    println!("{}", options.out.display());
    Ok(())
}

/// Summarizes an outcome in one line.
fn summary(outcome: &SpreadOutcome) -> String {
    let StartCounts { starts, tasks } = outcome.history.start_counts();
    let balance = outcome.balance.as_ref();
    let restored = match outcome.restored_ms() {
        Some(ms) => format!("{:.1} s", ms as f64 / 1000.0),
        None => "never".to_string(),
    };
    format!(
        "{tasks} tasks, {starts} starts, {} duplicate runs, {} tasks unfinished; moves of the last \
         leader: {} settled, {} abandoned; load back within the bound after {restored}, then \
         within it in {:.0}% of the samples",
        outcome.history.duplicate_runs().len(),
        outcome.unfinished.len(),
        balance.map_or(0, |balance| balance.moves_settled),
        balance.map_or(0, |balance| balance.moves_abandoned),
        100.0 * outcome.within_bound_share(outcome.hot_at_ms + outcome.restored_ms().unwrap_or(0)),
    )
}

fn report(options: &Options, outcomes: &[CaseOutcome]) -> Result<String, Box<dyn Error>> {
    let mut html = format!(
        "<!DOCTYPE html><html><head><meta charset=\"utf-8\"><title>Load spread</title></head>\
         <body>\n\
         <h1>Load spread on a loopback fleet</h1>\n<p>{} emulated workers of 8 CPUs, three nodes, \
         seed {}. Two teams become hot in the same second and request 40% of the CPUs with tasks \
         of one CPU and {} s. Load: the fraction of a machine's CPUs in use. Bound: 1.25 times the \
         mean load plus one task.</p>\n",
        options.workers, options.seed, options.run_s
    );
    for case in outcomes {
        html += &format!("<h2>{}</h2>\n<p>{}</p>\n", case.name, summary(&case.outcome));
        html += &chart_of(&case.outcome)?;
        if !case.outcome.faults.is_empty() {
            html += &format!("<pre>{}</pre>\n", case.outcome.faults.join("\n"));
        }
    }
    Ok(html + "</body></html>\n")
}

/// A series of a chart, with the value that it shows of a sample.
struct Line {
    name: &'static str,
    color: RGBColor,
    value: fn(&LoadSample) -> f64,
}

const LINES: [Line; 3] = [
    Line { name: "greatest load", color: RED, value: |sample| sample.max },
    Line { name: "mean load", color: BLUE, value: |sample| sample.mean },
    Line { name: "bound", color: BLACK, value: load_bound },
];

/// Draws the greatest load, the mean load and the bound over time.
fn chart_of(outcome: &SpreadOutcome) -> Result<String, Box<dyn Error>> {
    let seconds = |sample: &LoadSample| sample.at_ms as f64 / 1000.0;
    let loads = &outcome.history.loads;
    let end_s = loads.last().map_or(1.0, seconds);
    chart::over_time(320, 0.0..end_s, 0.0..1.05, "load, fraction of a machine", |chart| {
        for Line { name, color, value } in LINES {
            let points = loads.iter().map(|sample| (seconds(sample), value(sample)));
            chart::add_line(chart, name, color, points)?;
        }
        Ok(())
    })
}
