//! Runs a loopback fleet with moves off and on, and writes an HTML report with plots of the spread.
//!
//!     cargo run --release -p latchtrack-emulator --example spread_report -- --out target/spread.html

use std::error::Error;
use std::path::PathBuf;

use clap::Parser;
use latchtrack::settings::BalanceTuning;
use latchtrack_emulator::history::LoadSample;
use latchtrack_emulator::spread::{run, SpreadOptions, SpreadOutcome, Troubles};
use plotters::prelude::*;

/// Runs a loopback fleet of stand-in workers through both hot cases, with moves off and on.
#[derive(Parser, Debug)]
struct Options {
    /// Workers of the fleet
    #[arg(long, default_value_t = 200)]
    workers: usize,
    /// Seed of the troubles
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seconds that a task of the hot teams runs
    #[arg(long, default_value_t = 150)]
    run_s: u64,
    /// Only the cases with this in their name
    #[arg(long, default_value = "")]
    only: String,
    /// Where the report goes
    #[arg(long, default_value = "target/spread.html")]
    out: PathBuf,
}

/// One run with what it is called in the report.
struct Shown {
    name: &'static str,
    outcome: SpreadOutcome,
}

#[actix_web::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let options = Options::parse();
    let mut shown = Vec::new();
    let cases = [
        ("all off", false, false, Troubles::None),
        ("moves on", true, false, Troubles::None),
        ("moves on, machines that take part fail", true, false, Troubles::Machines),
        ("moves and placement on, machines that take part fail", true, true, Troubles::Machines),
        ("moves on, machines fail and leaders change", true, false, Troubles::MachinesAndLeader),
    ];
    for (name, moves, placement, troubles) in cases {
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
            troubles,
            most_s: 4 * options.run_s,
        };
        let outcome = run(spread).await;
        println!("{name}: {}", summary(&outcome));
        shown.push(Shown { name, outcome });
    }
    std::fs::write(&options.out, report(&options, &shown)?)?;
    println!("{}", options.out.display());
    Ok(())
}

/// What came of a run, in one line.
fn summary(outcome: &SpreadOutcome) -> String {
    let (starts, tasks) = outcome.history.starts();
    let view = outcome.view.as_ref();
    let restored = match outcome.restored_ms() {
        Some(ms) => format!("{:.1} s", ms as f64 / 1000.0),
        None => "never".to_string(),
    };
    format!(
        "{tasks} tasks, {starts} starts, {} on two machines at once, {} lost; moves settled {}, abandoned \
         {} (last leader); within the bound after {restored}, {:.0}% of the time from then on",
        outcome.history.ran_twice().len(),
        outcome.lost.len(),
        view.map_or(0, |view| view.moves_settled),
        view.map_or(0, |view| view.moves_abandoned),
        100.0 * outcome.within_share(outcome.hot_at_ms + outcome.restored_ms().unwrap_or(0)),
    )
}

fn report(options: &Options, shown: &[Shown]) -> Result<String, Box<dyn Error>> {
    let mut html = format!(
        "<!DOCTYPE html><html><head><meta charset=\"utf-8\"><title>Load spread</title></head><body>\n\
         <h1>Load spread on a loopback fleet</h1>\n<p>{} stand-in workers of 8 CPUs, three controllers, \
         seed {}. Two teams turn hot in the same second and ask for 40% of the CPUs with tasks of one CPU \
         and {} s. Load: the part of a machine that is in use. Bound: 1.25 times the mean load and one \
         task.</p>\n",
        options.workers, options.seed, options.run_s
    );
    for run in shown {
        html += &format!("<h2>{}</h2>\n<p>{}</p>\n", run.name, summary(&run.outcome));
        html += &plot(&run.outcome)?;
        if !run.outcome.troubles.is_empty() {
            html += &format!("<pre>{}</pre>\n", run.outcome.troubles.join("\n"));
        }
    }
    Ok(html + "</body></html>\n")
}

/// A line of a plot: its name, its colour, and what it shows of a sample.
type Line = (&'static str, RGBColor, fn(&LoadSample) -> f64);

/// The greatest load, the mean load and the bound over time.
fn plot(outcome: &SpreadOutcome) -> Result<String, Box<dyn Error>> {
    let mut svg = String::new();
    let loads = &outcome.history.loads;
    let end_s = loads.last().map_or(1.0, |sample| sample.at_ms as f64 / 1000.0);
    {
        let root = SVGBackend::with_string(&mut svg, (900, 320)).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..end_s, 0.0..1.05)?;
        chart.configure_mesh().x_desc("s").y_desc("load, parts of a machine").draw()?;
        let lines: [Line; 3] = [
            ("greatest load", RED, |sample| sample.greatest),
            ("mean load", BLUE, |sample| sample.mean),
            ("bound", BLACK, |sample| 1.25 * sample.mean + 0.125),
        ];
        for (name, color, value) in lines {
            let points = loads.iter().map(|sample| (sample.at_ms as f64 / 1000.0, value(sample)));
            let line = chart.draw_series(LineSeries::new(points, &color))?;
            line.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        let mut labels = chart.configure_series_labels();
        labels
            .position(SeriesLabelPosition::UpperRight)
            .background_style(WHITE)
            .border_style(BLACK);
        labels.draw()?;
        root.present()?;
    }
    Ok(svg + "\n")
}
