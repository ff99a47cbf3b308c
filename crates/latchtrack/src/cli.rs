//! The command line. Comments here are the texts of `--help`.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// A cluster scheduler for cloud machines that come and go.
#[derive(Parser, Debug)]
#[command(version, about, arg_required_else_help = true)]
pub struct Cli {
    /// What is to be done.
    #[command(subcommand)]
    pub command: Command,
}

/// What is to be done.
#[derive(Subcommand, Debug)]
pub enum Command {
    /// Run one node of the service until it is killed
    Serve(Files),
    /// Check the settings and print them as they take effect
    Check(Files),
    /// Tell what runs where, as the nodes see it, or without a leader as the state service and the
    /// workers do
    Status(Files),
    /// Show what cells share of a team, or change its stored limit and guarantee while they run
    Limit(LimitArgs),
}

/// Arguments of `latchtrack limit`.
#[derive(Args, Debug)]
pub struct LimitArgs {
    /// The settings.
    #[command(flatten)]
    pub files: Files,
    /// The team
    pub team: String,
    /// CPUs that all cells together may use; 0 for no limit
    #[arg(long)]
    pub cpus_max: Option<f64>,
    /// GPUs that all cells together may use; 0 for no limit
    #[arg(long)]
    pub gpus_max: Option<f64>,
    /// CPUs of the guarantee
    #[arg(long)]
    pub cpus: Option<f64>,
    /// GPUs of the guarantee
    #[arg(long)]
    pub gpus: Option<f64>,
}

/// The files with the settings.
#[derive(Args, Debug)]
pub struct Files {
    /// The platform's settings (JSON)
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// The operators' own settings (YAML)
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
}
