//! The command.

use std::collections::BTreeMap;
use std::process::ExitCode;

use clap::Parser;
use latchtrack::cli::{Cli, Command, Files, LimitArgs};
use latchtrack::limit::NewTerms;
use latchtrack::node;
use latchtrack::settings::Settings;

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Serve(files) => serve(&files),
        Command::Check(files) => check(&files),
        Command::Status(files) => status(&files),
        Command::Limit(args) => limit(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("latchtrack: {e}");
            ExitCode::FAILURE
        }
    }
}

fn load(files: &Files) -> Result<Settings, Box<dyn std::error::Error>> {
    Ok(Settings::load(&files.config, files.operator.as_deref())?)
}

fn check(files: &Files) -> Result<(), Box<dyn std::error::Error>> {
    let settings = load(files)?;
    print!("{}", serde_yaml_ng::to_string(&settings)?);
    print!("{}", serde_yaml_ng::to_string(&BTreeMap::from([("derived", settings.derived())]))?);
    Ok(())
}

fn status(files: &Files) -> Result<(), Box<dyn std::error::Error>> {
    let settings = load(files)?;
    let status = actix::System::new().block_on(latchtrack::status::ask(&settings));
    print!("{}", serde_yaml_ng::to_string(&status)?);
    match status.heard() {
        true => Ok(()),
        false => Err("nobody answers".into()),
    }
}

fn limit(args: &LimitArgs) -> Result<(), Box<dyn std::error::Error>> {
    let settings = load(&args.files)?;
    let terms = NewTerms {
        cpus_max: args.cpus_max,
        gpus_max: args.gpus_max,
        cpus: args.cpus,
        gpus: args.gpus,
    };
    let shown =
        actix::System::new().block_on(latchtrack::limit::limit(&settings, &args.team, terms))?;
    print!("{}", serde_yaml_ng::to_string(&shown)?);
    Ok(())
}

fn serve(files: &Files) -> Result<(), Box<dyn std::error::Error>> {
    let settings = load(files)?;
    log_level()?;
    actix::System::new().block_on(node::run(settings))?;
    Ok(())
}

/// Logs to standard error at the level that `LOG_LEVEL` names; `error` if it is not set.
fn log_level() -> Result<(), String> {
    let level = match std::env::var("LOG_LEVEL") {
        Err(_) => tracing::Level::ERROR,
        Ok(text) => text.parse().map_err(|_| format!("LOG_LEVEL: {text} is no level"))?,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .without_time()
        .with_ansi(false)
        .init();
    Ok(())
}
