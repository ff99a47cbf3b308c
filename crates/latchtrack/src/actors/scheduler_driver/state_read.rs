//! Progress of the read of the stored state at the start of a term.

use crate::actors::messages::scheduler::JobChange;

/// Whether the stored state is being read, and the changes to apply after the read.
pub(super) enum StateRead {
    /// No read is in progress.
    Idle,
    /// A read is in progress.
    InProgress {
        /// Changes of the job cache received since the read began.
        changes: Vec<JobChange>,
    },
}
