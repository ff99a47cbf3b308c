//! Fixtures shared by the tests; no test file uses all of them.

#![allow(dead_code)]

use latchtrack_quota::{
    AllotmentManager, AllotmentManagerSettings, Limit, MilliResources, TeamQuota,
};

/// Returns an amount in thousandths of a CPU, without GPUs.
pub fn millicpus(millicpus: u64) -> MilliResources {
    MilliResources { millicpus, milligpus: 0 }
}

/// Returns a limit in thousandths of a CPU, without a limit on GPUs.
pub fn millicpu_limit(millicpus: u64) -> Limit {
    Limit { millicpus: Some(millicpus), milligpus: None }
}

/// Creates the manager of a cell for a leader that starts in `term`.
pub fn manager_of(cell: &str, term: u64, teams: &[(&str, TeamQuota)]) -> AllotmentManager {
    let teams = teams.iter().map(|(name, quota)| (name.to_string(), *quota)).collect();
    AllotmentManager::new(AllotmentManagerSettings { cell: cell.into(), term, teams })
}
