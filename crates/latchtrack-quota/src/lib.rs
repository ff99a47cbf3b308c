//! Limits and guarantees of teams that several cells share. A cell is a group of controllers with a leader,
//! workers and a cloud account of its own; each holds an allotment of a team's limit and launches within it.
//!
//! Pure and deterministic: no sockets, clocks, threads or random numbers. Time comes in as an argument.
//! [`Keeper`] decides for one cell; the caller reads and writes the state service. docs/quota.md says why no
//! limit is passed.

#![deny(missing_docs)]

mod amounts;
mod cells;
pub mod constants;
mod decisions;
mod keeper;
mod ledger;
mod notices;
mod requests;
mod targets;
mod team;
mod view;

pub use amounts::{Amounts, Limit};
pub use cells::CellRecord;
pub use keeper::{Keeper, KeeperSettings};
pub use ledger::{Account, LedgerError, Request, TeamLedger};
pub use notices::Notice;
pub use targets::{guarantee_parts, targets, Claim, Target};
pub use team::{LaunchLimit, TeamSummary, TeamTerms, TeamUse};
pub use view::{DeadCell, LedgerWrite, Presence, SeenLedger, View, WriteOutcome};

/// Milliseconds on the local steady clock.
pub type Millis = u64;
