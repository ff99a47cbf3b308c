//! Errors of the experiments.

/// The reason why an experiment failed before its measurement began.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// Within two minutes, some cell elected no leader or some team's ledger was not complete.
    #[error("timed out waiting for every cell to elect a leader and every ledger to be complete")]
    CellsNotReady,
    /// Not every machine booted and completed its warm-up task in time.
    #[error(
        "timed out starting the fleet: {up}/{machines} machines up, {done} warm-up tasks done"
    )]
    FleetNotUp {
        /// Machines that were up at the timeout.
        up: usize,
        /// Machines in the fleet.
        machines: usize,
        /// Warm-up tasks completed at the timeout.
        done: usize,
    },
    /// No node accepted a job before the attempts ran out.
    #[error("no node accepted job {job}; last HTTP status: {status}")]
    JobNotAccepted {
        /// The job's id, such as `req-000412`.
        job: String,
        /// The HTTP status of the last response.
        status: u16,
    },
}
