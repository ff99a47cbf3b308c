//! The ledger of a team: its limit, its guarantee and the allotments of the cells. Its JSON is a
//! published format, whose names are those of the first version.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::constants::LEDGER_VERSION;
use crate::resources::{Limit, MilliResources};

/// Why a stored ledger can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum LedgerError {
    /// It does not have the form of a ledger.
    #[error("is garbled: {0}")]
    Malformed(String),
    /// A later version wrote it.
    #[error("has version {0}, this one reads up to {LEDGER_VERSION}")]
    NewerVersion(u32),
}

/// A cell's request for more.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    /// Requests are granted in the order of their numbers.
    #[serde(rename = "ticket")]
    pub number: u64,
    /// The allotment with which its next task, slice or gang can start.
    pub need: MilliResources,
    /// All that the cell could use.
    pub want: MilliResources,
}

/// What a cell holds of a team's limit. The name for serde is part of the text of its errors, which
/// operators see.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename = "Account")]
pub struct Allotment {
    /// What the cell may use. It counts against the limit whether it is used or not.
    #[serde(rename = "allotted")]
    pub amount: MilliResources,
    /// Fencing token of the leader that last changed the amount.
    pub term: u64,
    /// Time of day of that change, ms since the epoch; for operators only.
    #[serde(default)]
    pub since_ms: u64,
    /// What the cell asks for, if it asks for more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<Request>,
    /// Fields of later versions.
    #[serde(flatten)]
    pub extra: BTreeMap<String, Value>,
}

/// The stored ledger of a team.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TeamLedger {
    /// Version of the format.
    pub version: u32,
    /// What all cells together may use.
    pub limit: Limit,
    /// What the team is to get in any case.
    #[serde(default)]
    pub guarantee: MilliResources,
    /// The number of the next request.
    #[serde(rename = "next_ticket", default)]
    pub next_request_number: u64,
    /// Whether every cell has recorded what it uses. Until then no cell takes more.
    #[serde(default)]
    pub complete: bool,
    /// The allotments by cell. A cell without one holds nothing.
    #[serde(rename = "cells", default)]
    pub allotments: BTreeMap<String, Allotment>,
    /// Fields of later versions.
    #[serde(flatten)]
    pub extra: BTreeMap<String, Value>,
}

impl TeamLedger {
    /// The ledger with which a team begins, or begins again after its ledger was lost.
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

    /// Reads a stored ledger.
    pub fn parse(text: &str) -> Result<TeamLedger, LedgerError> {
        // The version first: a later one may have another form.
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

    /// Has every cell record anew what it uses, before any takes more: needed when a resource gets
    /// a limit that had none, since no allotment says what is used of it.
    pub fn restart_rebuild(&mut self) {
        self.allotments.clear();
        self.complete = false;
    }

    /// What is allotted to all cells together.
    pub fn allotted(&self) -> MilliResources {
        self.allotments
            .values()
            .fold(MilliResources::ZERO, |sum, allotment| sum.plus(allotment.amount))
    }

    /// Whether more is allotted than the limit: it was lowered, or the ledger is wrong.
    pub fn is_overallotted(&self) -> bool {
        !self.limit.counted(self.allotted()).fits_in(self.limit.total())
    }

    /// What of the limit is allotted to no cell.
    pub fn unallotted(&self) -> MilliResources {
        self.limit.total().minus(self.limit.counted(self.allotted()))
    }

    /// What a cell holds.
    pub fn allotted_to(&self, cell: &str) -> MilliResources {
        self.allotments.get(cell).map_or(MilliResources::ZERO, |allotment| allotment.amount)
    }

    /// The request of a cell, if it asks for more.
    pub fn request_of(&self, cell: &str) -> Option<&Request> {
        self.allotments.get(cell)?.request.as_ref()
    }

    /// Sets what a cell holds and asks for. The term of its allotment changes with the amount
    /// alone.
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

    /// Removes the requests of these cells.
    pub(crate) fn remove_requests(&mut self, cells: &[String]) {
        for cell in cells {
            if let Some(allotment) = self.allotments.get_mut(cell) {
                allotment.request = None;
            }
        }
    }
}
