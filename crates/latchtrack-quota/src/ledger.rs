//! The ledger of a team: its limit, its guarantee and the allotments of the cells. Its JSON form is
//! a published format; the serialized names are those of the first version.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::constants::LEDGER_VERSION;
use crate::resources::{Limit, MilliResources};

/// Error of parsing a stored ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum LedgerError {
    /// The JSON is invalid or does not match the format: the cause.
    #[error("is garbled: {0}")]
    Malformed(String),
    /// The ledger was written by a newer version: its format version.
    #[error("has version {0}, this one reads up to {LEDGER_VERSION}")]
    NewerVersion(u32),
}

/// A cell's request for a larger allotment.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    /// Rank of the request; lower numbers are granted first.
    #[serde(rename = "ticket")]
    pub number: u64,
    /// Total allotment that the cell needs to start its next task, slice or gang.
    pub need: MilliResources,
    /// Total allotment that the cell could use.
    pub want: MilliResources,
}

/// A cell's share of a team's limit. The serde name appears in the text of parse errors, which
/// operators see.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename = "Account")]
pub struct Allotment {
    /// Resources that the cell may use. They count against the limit whether in use or not.
    #[serde(rename = "allotted")]
    pub amount: MilliResources,
    /// Fencing token of the leader that last changed the amount.
    pub term: u64,
    /// Unix time of that change in ms, for operators only.
    #[serde(default)]
    pub since_ms: u64,
    /// Pending request of the cell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<Request>,
    /// Fields of newer versions, preserved when the ledger is stored.
    #[serde(flatten)]
    pub extra: BTreeMap<String, Value>,
}

/// The stored ledger of a team.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TeamLedger {
    /// Version of the format, at most [`LEDGER_VERSION`].
    pub version: u32,
    /// Limit on the sum of the allotments of all cells.
    pub limit: Limit,
    /// Resources that are guaranteed to the team.
    #[serde(default)]
    pub guarantee: MilliResources,
    /// Number that the next new request gets.
    #[serde(rename = "next_ticket", default)]
    pub next_request_number: u64,
    /// Whether every cell that is not dead has recorded its usage. Until then, no allotment is
    /// raised.
    #[serde(default)]
    pub complete: bool,
    /// Allotments by cell name. A cell without an entry has no allotment.
    #[serde(rename = "cells", default)]
    pub allotments: BTreeMap<String, Allotment>,
    /// Fields of newer versions, preserved when the ledger is stored.
    #[serde(flatten)]
    pub extra: BTreeMap<String, Value>,
}

impl TeamLedger {
    /// Creates an incomplete ledger without allotments, for a new team or to replace a lost ledger.
    pub fn new(limit: Limit, guarantee: MilliResources) -> TeamLedger {
        TeamLedger {
            version: LEDGER_VERSION,
            limit,
            guarantee,
            next_request_number: 0,
            complete: false,
            allotments: BTreeMap::new(),
            extra: BTreeMap::new(),
        }
    }

    /// Parses a stored ledger.
    pub fn parse(text: &str) -> Result<TeamLedger, LedgerError> {
        // The version is checked first because a newer version may have a different format.
        #[derive(Deserialize)]
        struct Version {
            version: u32,
        }
        let malformed = |e: serde_json::Error| LedgerError::Malformed(e.to_string());
        let Version { version } = serde_json::from_str(text).map_err(malformed)?;
        if version > LEDGER_VERSION {
            return Err(LedgerError::NewerVersion(version));
        }
        serde_json::from_str(text).map_err(malformed)
    }

    /// Discards all allotments, so that every cell records its usage again before any allotment is
    /// raised. Required when a resource gets its first limit: the allotments don't cover its usage.
    pub fn restart_rebuild(&mut self) {
        self.allotments.clear();
        self.complete = false;
    }

    /// Returns the sum of the allotments of all cells.
    pub fn allotted(&self) -> MilliResources {
        self.allotments
            .values()
            .fold(MilliResources::ZERO, |sum, allotment| sum.plus(allotment.amount))
    }

    /// Whether the allotments exceed the limit: it was lowered, or the ledger is wrong.
    pub fn is_overallotted(&self) -> bool {
        !self.limit.counted(self.allotted()).fits_in(self.limit.total())
    }

    /// Returns the part of the limit that is not allotted; zero for a resource without a limit.
    pub fn unallotted(&self) -> MilliResources {
        self.limit.total().minus(self.limit.counted(self.allotted()))
    }

    /// Returns the allotment of a cell, zero if it has none.
    pub fn allotted_to(&self, cell: &str) -> MilliResources {
        self.allotments.get(cell).map_or(MilliResources::ZERO, |allotment| allotment.amount)
    }

    /// Returns the pending request of a cell.
    pub fn request_of(&self, cell: &str) -> Option<&Request> {
        self.allotments.get(cell)?.request.as_ref()
    }

    /// Sets the allotment and the request of a cell. The term of the allotment is updated only if
    /// the amount changes.
    pub(crate) fn set_allotment(
        &mut self,
        cell: &str,
        term: u64,
        amount: MilliResources,
        request: Option<Request>,
    ) {
        let allotment = self.allotments.entry(cell.to_string()).or_default();
        if allotment.amount != amount {
            allotment.term = term;
        }
        allotment.amount = amount;
        allotment.request = request;
    }

    /// Removes the pending requests of these cells; their allotments remain.
    pub(crate) fn remove_requests(&mut self, cells: &[String]) {
        for cell in cells {
            if let Some(allotment) = self.allotments.get_mut(cell) {
                allotment.request = None;
            }
        }
    }
}
