//! Limits and guarantees of teams that several cells share. A cell is a group of controllers with a leader,
//! workers and a cloud allotment of its own; each holds an allotment of a team's limit and launches within it.
//!
//! Pure and deterministic: no sockets, clocks, threads or random numbers. Time comes in as an argument.
//! [`AllotmentManager`] decides for one cell; the caller reads and writes the state service. docs/quota.md says why no
//! limit is passed.

#![deny(missing_docs)]

mod apportionment;
mod cells;
pub mod constants;
mod decision;
mod ledger;
mod manager;
mod notices;
mod resources;
mod snapshot;
mod targets;
mod team;

pub use cells::CellRecord;
pub use ledger::{Allotment, LedgerError, Request, TeamLedger};
pub use manager::{AllotmentManager, AllotmentManagerSettings};
pub use notices::Notice;
pub use resources::{Limit, MilliResources};
pub use snapshot::{CellStatus, DeadCell, LedgerSnapshot, LedgerWrite, StoredLedger, WriteOutcome};
pub use targets::{guarantee_parts, targets, DemandClaim, Target};
pub use team::{LaunchLimit, LocalUsage, TeamQuota, TeamSummary};

/// Milliseconds on the local steady clock.
pub type Millis = u64;
