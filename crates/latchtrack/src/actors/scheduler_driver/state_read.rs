//! Whether the stored state of a term is being read.

use crate::actors::messages::scheduler::JobChange;

/// Whether the stored state is being read.
pub(super) enum StateRead {
    /// It is not.
    Idle,
    /// It is.
    InProgress {
        /// Changes of the job cache that have come meanwhile.
        changes: Vec<JobChange>,
    },
}
