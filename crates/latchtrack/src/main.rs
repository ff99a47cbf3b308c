//! The `latchtrack` command.

use std::collections::BTreeMap;
use std::process::ExitCode;

use clap::Parser;
use latchtrack::cli::{Cli, Command, Files, LimitArgs};
use latchtrack::limit::{LimitChange, LimitError};
use latchtrack::node::{self, StartError};
use latchtrack::settings::{Settings, SettingsError};

/// Error of a command. Its text is printed to standard error.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Start(#[from] StartError),
    #[error(transparent)]
    Limit(#[from] LimitError),
    #[error(transparent)]
    Yaml(#[from] serde_yaml_ng::Error),
    #[error("neither the nodes nor the state service responded")]
    NoAnswer,
    #[error("LOG_LEVEL: {0:?} is not a log level")]
    LogLevel(String),
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Serve(files) => serve(&files),
        Command::Check(files) => check(&files),
        Command::Status(files) => status(&files),
        Command::Limit(args) => limit(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("latchtrack: {error}");
            ExitCode::FAILURE
        }
    }
}

fn load(files: &Files) -> Result<Settings, SettingsError> {
    Settings::load(&files.config, files.operator.as_deref())
}

fn check(files: &Files) -> Result<(), CommandError> {
    let settings = load(files)?;
    print!("{}", serde_yaml_ng::to_string(&settings)?);
    print!("{}", serde_yaml_ng::to_string(&BTreeMap::from([("derived", settings.derived())]))?);
    Ok(())
}

fn status(files: &Files) -> Result<(), CommandError> {
    let settings = load(files)?;
    let status = actix::System::new().block_on(latchtrack::status::query(&settings));
    print!("{}", serde_yaml_ng::to_string(&status)?);
    if status.has_answer() {
        Ok(())
    } else {
        Err(CommandError::NoAnswer)
    }
}

fn limit(args: &LimitArgs) -> Result<(), CommandError> {
    let settings = load(&args.files)?;
    let change = LimitChange {
        cpus_max: args.cpus_max,
        gpus_max: args.gpus_max,
        cpus: args.cpus,
        gpus: args.gpus,
    };
    let limit = latchtrack::limit::run(&settings, &args.team, change);
    let ledger = actix::System::new().block_on(limit)?;
    print!("{}", serde_yaml_ng::to_string(&ledger)?);
    Ok(())
}

fn serve(files: &Files) -> Result<(), CommandError> {
    let settings = load(files)?;
    init_log()?;
    actix::System::new().block_on(node::run(settings))?;
    Ok(())
}

/// Logs to standard error at the level in the environment variable `LOG_LEVEL`, or at `error` if it
/// is not set.
fn init_log() -> Result<(), CommandError> {
    let level = match std::env::var("LOG_LEVEL") {
        Err(_) => tracing::Level::ERROR,
        Ok(text) => match text.parse() {
            Ok(level) => level,
            Err(_) => return Err(CommandError::LogLevel(text)),
        },
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .without_time()
        .with_ansi(false)
        .init();
    Ok(())
}
