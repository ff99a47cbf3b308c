//! Interface types of a team: its settings, its usage in this cell, its launch limit and its
//! summary for operators.

use std::collections::BTreeMap;

use crate::ledger::Allotment;
use crate::resources::{Limit, MilliResources};

/// A team's limit and guarantee according to the settings of this cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct TeamQuota {
    /// Limit on the usage of all cells together.
    pub limit: Limit,
    /// Resources that are guaranteed to the team.
    pub guarantee: MilliResources,
}

/// A team's usage and pending demand in this cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LocalUsage {
    /// Whether `used` covers all tasks that may be on machines. Until it does, the allotment is
    /// neither raised nor returned.
    pub is_reconciled: bool,
    /// Resources of all tasks that may be on machines.
    pub used: MilliResources,
    /// Resources that the waiting tasks would use.
    pub waiting: MilliResources,
    /// Resources that the next start needs: those of a task, a slice or a gang.
    pub next_start: MilliResources,
    /// Total resources of all tasks started in this term, including those that have ended.
    pub started: MilliResources,
}

/// Resources that a cell may use of a team's limit; `None` means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LaunchLimit {
    /// CPUs, in thousandths.
    pub millicpus: Option<u64>,
    /// GPUs, in thousandths.
    pub milligpus: Option<u64>,
}

impl LaunchLimit {
    /// No task may be launched.
    pub(crate) const ZERO: LaunchLimit = LaunchLimit { millicpus: Some(0), milligpus: Some(0) };

    /// Returns `amount` for each resource that has a limit, and no limit for the others.
    pub(crate) fn of(limit: &Limit, amount: MilliResources) -> LaunchLimit {
        LaunchLimit {
            millicpus: limit.millicpus.map(|_| amount.millicpus),
            milligpus: limit.milligpus.map(|_| amount.milligpus),
        }
    }
}

/// Summary of a team's quota for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamSummary {
    /// Name of the team.
    pub team: String,
    /// Problem with the ledger because of which no task of the team is launched, if any.
    pub problem: Option<String>,
    /// Whether the limit or guarantee in the ledger, which takes precedence, differs from the
    /// settings.
    pub settings_differ: bool,
    /// Effective limit: that in the ledger, or that in the settings while there is no ledger.
    pub limit: Limit,
    /// Effective guarantee, chosen in the same way.
    pub guarantee: MilliResources,
    /// Resources of the tasks that may be on machines of this cell.
    pub used: MilliResources,
    /// Resources that this cell may currently use.
    pub launch_limit: MilliResources,
    /// Allotments by cell name.
    pub cells: BTreeMap<String, Allotment>,
}
