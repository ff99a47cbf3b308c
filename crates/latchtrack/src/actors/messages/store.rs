//! Messages to the client of the state service.

use std::time::Duration;

use actix::prelude::*;

use super::NodeRole;
use crate::actors::store::error::StoreError;
use crate::constants::{READ_TIMEOUT, RENEW_TIMEOUT, WRITE_TIMEOUT};
use crate::wire::store::{Item, Page, Txn, WatchAnswer};

/// Which requests go first: the classes in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// Leases and campaigns.
    Lease = 0,
    /// Submissions and cancellations.
    Admission = 1,
    /// Reads.
    Read = 2,
    /// What the leader writes of its progress.
    Progress = 3,
}

impl RequestClass {
    /// How many classes there are.
    pub const COUNT: usize = 4;
}

/// What the state service can be asked.
#[derive(Clone, Debug)]
pub enum StoreRequest {
    /// A page of the items under a prefix.
    List {
        /// Prefix of the keys.
        prefix: &'static str,
        /// Last key of the page before.
        from: Option<String>,
    },
    /// A compare-and-swap.
    Txn(Txn),
    /// Grant a lease of this length.
    Grant {
        /// ms until it expires.
        ttl_ms: u64,
    },
    /// Renew a lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// End a lease, and with it the keys under it.
    End {
        /// The lease.
        lease: u64,
    },
    /// The changes under a prefix after a revision.
    Changes {
        /// Prefix of the keys.
        prefix: &'static str,
        /// The last revision that is known.
        from: u64,
    },
    /// One item.
    Get {
        /// Its key.
        key: String,
    },
}

impl StoreRequest {
    /// Writes that the request counts as against the write limit.
    pub fn write_count(&self) -> f64 {
        match self {
            StoreRequest::Txn(txn) => txn.changes.len() as f64,
            _ => 0.0,
        }
    }

    /// Time after which an answer is given up.
    pub fn timeout(&self) -> Duration {
        match self {
            StoreRequest::Renew { .. } | StoreRequest::Grant { .. } | StoreRequest::End { .. } => {
                RENEW_TIMEOUT
            }
            StoreRequest::Txn(_) => WRITE_TIMEOUT,
            _ => READ_TIMEOUT,
        }
    }
}

/// What the state service answers.
#[derive(Debug)]
pub enum Reply {
    /// A page of items.
    Page(Page),
    /// The revision of a transaction that took effect.
    Applied(u64),
    /// Keys whose conditions did not hold.
    Conflict(Vec<String>),
    /// A granted lease.
    Lease(u64),
    /// Done, with nothing to tell.
    Done,
    /// Changes after a revision.
    Changes(WatchAnswer),
    /// One item.
    Item(Item),
}

/// A request that waits for its turn.
#[derive(Message, Debug)]
#[rtype(result = "Result<StoreAnswer, StoreError>")]
pub struct PacedRequest {
    /// Its class.
    pub class: RequestClass,
    /// What is asked.
    pub request: StoreRequest,
    /// When it is of no use any more, in ms of the steady clock.
    pub deadline: u64,
}

/// An answer of the state service.
#[derive(Debug)]
pub struct StoreAnswer {
    /// What it says.
    pub reply: Reply,
    /// When its request was sent, in ms of the steady clock.
    pub sent_at: u64,
}

/// Whether this node leads, which decides its share of the limits.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SetStoreShare(pub NodeRole);
