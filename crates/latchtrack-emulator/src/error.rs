//! Why an experiment could not be carried out.

/// An experiment did not get as far as its measurement.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// Some cell had no leader, or some team's ledger was not complete, for two minutes.
    #[error("the cells never had leaders and complete ledgers")]
    CellsNotReady,
    /// Not every machine booted and ran its task of the warm-up.
    #[error("the fleet never came up: {up} of {machines} machines, {done} tasks done")]
    FleetNotUp {
        /// Machines that were up at last.
        up: usize,
        /// Machines of the fleet.
        machines: usize,
        /// Tasks of the warm-up that had completed.
        done: usize,
    },
    /// No node accepted a job.
    #[error("job {job} was not accepted; the last status was {status}")]
    JobNotAccepted {
        /// The job's id.
        job: String,
        /// HTTP status of the last response.
        status: u16,
    },
}
