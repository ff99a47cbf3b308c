//! Limits and guarantees of teams that are shared by several cells. A cell is a group of
//! controllers with its own leader, workers and cloud account. Each cell holds an allotment of a
//! team's limit (escrow) and launches tasks within it without coordinating with other cells.
//!
//! The crate is pure and deterministic: it uses no sockets, clocks, threads or random numbers, and
//! receives the time as an argument. [`AllotmentManager`] decides for one cell; the caller reads
//! and writes the state service. See docs/quota.md for why usage never exceeds a limit.

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

/// Milliseconds on the local monotonic clock.
pub type Millis = u64;
