//! Limits and guarantees of teams that several cells share. A cell is a group of controllers with a
//! leader, workers and a cloud account of its own. Each cell holds an allotment of a team's limit
//! (escrow) and launches within it without asking anybody.
//!
//! Pure and deterministic: no sockets, clocks, threads or random numbers. Time comes in as an
//! argument. [`AllotmentManager`] decides for one cell; the caller reads and writes the state
//! service. docs/quota.md says why no limit is passed.

#![deny(missing_docs)]

mod apportionment;
mod cells;
pub mod constants;
mod decision;
mod leaderless_cells;
mod ledger;
mod manager;
mod notices;
mod resources;
mod snapshot;
mod stale_requests;
mod targets;
mod team;
mod team_state;

pub use cells::{CellRecord, CellStatus, DeadCell};
pub use ledger::{Allotment, LedgerError, Request, TeamLedger};
pub use manager::{AllotmentManager, AllotmentManagerSettings};
pub use notices::{LedgerProblem, Notice};
pub use resources::{Limit, MilliResources};
pub use snapshot::{LedgerSnapshot, LedgerWrite, StoredLedger, WriteOutcome};
pub use targets::{targets, DemandClaim, Target};
pub use team::{LaunchLimit, LocalUsage, TeamQuota, TeamSummary};

/// Milliseconds on the local steady clock.
pub type Millis = u64;
