//! The command line. The doc comments of the commands and arguments are the `--help` texts.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// A cluster scheduler for cloud machines that come and go.
#[derive(Parser, Debug)]
#[command(version, about, arg_required_else_help = true)]
pub struct Cli {
    /// Subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Subcommand, Debug)]
pub enum Command {
    /// Run one node of the service until it is killed
    Serve(Files),
    /// Validate the settings and print the effective values
    Check(Files),
    /// Print the state of the cluster as reported by the nodes, or by the state service and the
    /// workers if there is no leader
    Status(Files),
    /// Show the ledger of a team that cells share, or change its stored limit and guarantee while
    /// the cells run
    Limit(LimitArgs),
}

/// Arguments of `latchtrack limit`.
#[derive(Args, Debug)]
pub struct LimitArgs {
    /// Settings files.
    #[command(flatten)]
    pub files: Files,
    /// Name of the team
    pub team: String,
    /// New limit on the CPUs that all cells together may use; 0 for no limit
    #[arg(long)]
    pub cpus_max: Option<f64>,
    /// New limit on the GPUs that all cells together may use; 0 for no limit
    #[arg(long)]
    pub gpus_max: Option<f64>,
    /// New number of guaranteed CPUs
    #[arg(long)]
    pub cpus: Option<f64>,
    /// New number of guaranteed GPUs
    #[arg(long)]
    pub gpus: Option<f64>,
}

/// Paths of the settings files.
#[derive(Args, Debug)]
pub struct Files {
    /// Settings of the platform (JSON)
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// Settings of the operators (YAML); defaults apply if omitted
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
}
