//! Fixtures that the tests share; each test file uses its part of them.

#![allow(dead_code)]

use latchtrack_quota::{
    AllotmentManager, AllotmentManagerSettings, Limit, MilliResources, TeamQuota,
};

/// Thousandths of a CPU, and no GPU.
pub fn millicpus(millicpus: u64) -> MilliResources {
    MilliResources { millicpus, milligpus: 0 }
}

/// A limit of CPUs alone, in thousandths.
pub fn millicpu_limit(millicpus: u64) -> Limit {
    Limit { millicpus: Some(millicpus), milligpus: None }
}

/// The manager of a cell for a new leader.
pub fn manager_of(cell: &str, term: u64, teams: &[(&str, TeamQuota)]) -> AllotmentManager {
    let teams = teams.iter().map(|(name, quota)| (name.to_string(), *quota)).collect();
    AllotmentManager::new(AllotmentManagerSettings { cell: cell.into(), term, teams })
}
