//! A team as the caller sees it: its settings, its usage in this cell, its launch limit and its
//! summary.

use std::collections::BTreeMap;

use crate::ledger::Allotment;
use crate::resources::{Limit, MilliResources};

/// A team's limit and guarantee as this cell's settings have them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct TeamQuota {
    /// What all cells together may use.
    pub limit: Limit,
    /// What the team is to get in any case.
    pub guarantee: MilliResources,
}

/// What a team uses in this cell, and what it waits for here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LocalUsage {
    /// Whether `used` covers all that may be on machines. If not, nothing is given back or taken.
    pub is_reconciled: bool,
    /// All that may be on machines.
    pub used: MilliResources,
    /// What its waiting tasks would use.
    pub waiting: MilliResources,
    /// What the next of them to start needs: a task, a slice or a gang.
    pub next_start: MilliResources,
    /// All that was started in this term.
    pub started: MilliResources,
}

/// What a cell may use of a team's limit; None is no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LaunchLimit {
    /// Thousandths of a CPU.
    pub millicpus: Option<u64>,
    /// Thousandths of a GPU.
    pub milligpus: Option<u64>,
}

impl LaunchLimit {
    /// Nothing may be launched.
    pub(crate) const ZERO: LaunchLimit = LaunchLimit { millicpus: Some(0), milligpus: Some(0) };

    /// `amount` of the resources that have a limit.
    pub(crate) fn of(limit: &Limit, amount: MilliResources) -> LaunchLimit {
        LaunchLimit {
            millicpus: limit.millicpus.map(|_| amount.millicpus),
            milligpus: limit.milligpus.map(|_| amount.milligpus),
        }
    }
}

/// A team's quota for an operator.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamSummary {
    /// The team.
    pub team: String,
    /// Why its ledger can't be used, if so.
    pub problem: Option<String>,
    /// Whether the ledger, which counts, has another limit or guarantee than the settings.
    pub settings_differ: bool,
    /// The limit in force.
    pub limit: Limit,
    /// The guarantee in force.
    pub guarantee: MilliResources,
    /// What may be on this cell's machines.
    pub used: MilliResources,
    /// What this cell may use at the moment.
    pub launch_limit: MilliResources,
    /// The allotments by cell.
    pub cells: BTreeMap<String, Allotment>,
}
