//! Messages to the state service client.

use std::time::Duration;

use actix::prelude::*;

use super::NodeRole;
use crate::actors::store::error::StoreError;
use crate::constants::{READ_TIMEOUT, RENEW_TIMEOUT, WRITE_TIMEOUT};
use crate::wire::store::{Item, Page, Txn, WatchAnswer};

/// Priority class of a request, from highest to lowest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// Lease requests and campaigns.
    Lease = 0,
    /// Submissions and cancellations.
    Admission = 1,
    /// Reads of any kind.
    Read = 2,
    /// Writes that are not urgent, such as those of the leader's records and of quota ledgers.
    Background = 3,
}

impl RequestClass {
    /// Number of classes.
    pub const COUNT: usize = 4;
}

/// A request to the state service.
#[derive(Clone, Debug)]
pub enum StoreRequest {
    /// Lists a page of the items under a prefix.
    List {
        /// Prefix of the keys.
        prefix: &'static str,
        /// Last key of the previous page; `None` for the first page.
        from: Option<String>,
    },
    /// Applies all changes of a transaction if its conditions hold.
    Txn(Txn),
    /// Grants a lease.
    GrantLease {
        /// Duration of the lease in ms.
        ttl_ms: u64,
    },
    /// Renews a lease for its original duration.
    RenewLease {
        /// Id of the lease.
        lease: u64,
    },
    /// Revokes a lease, which deletes the keys attached to it.
    RevokeLease {
        /// Id of the lease.
        lease: u64,
    },
    /// Reads the changes under a prefix after a revision.
    Changes {
        /// Prefix of the keys.
        prefix: &'static str,
        /// Last known revision.
        from: u64,
    },
    /// Reads one item.
    Get {
        /// Key of the item.
        key: String,
    },
}

impl StoreRequest {
    /// Returns the number of writes that count against the write limit.
    pub fn write_count(&self) -> f64 {
        match self {
            StoreRequest::Txn(txn) => txn.changes.len() as f64,
            _ => 0.0,
        }
    }

    /// Returns how long to wait for the response once the request is sent.
    pub fn timeout(&self) -> Duration {
        match self {
            StoreRequest::RenewLease { .. }
            | StoreRequest::GrantLease { .. }
            | StoreRequest::RevokeLease { .. } => RENEW_TIMEOUT,
            StoreRequest::Txn(_) => WRITE_TIMEOUT,
            _ => READ_TIMEOUT,
        }
    }
}

/// The content of a successful response, or of a refused transaction.
#[derive(Debug)]
pub enum Reply {
    /// A page of items.
    Page(Page),
    /// Revision of an applied transaction.
    Applied(u64),
    /// Keys whose conditions did not hold, so that a transaction was not applied.
    Conflict(Vec<String>),
    /// Id of a granted lease.
    Lease(u64),
    /// The request succeeded and returns no data.
    Done,
    /// The changes after a revision.
    Changes(WatchAnswer),
    /// One item.
    Item(Item),
}

/// Queues a request until the rate limits allow it to be sent.
#[derive(Message, Debug)]
#[rtype(result = "Result<StoreAnswer, StoreError>")]
pub struct PacedRequest {
    /// Priority class.
    pub class: RequestClass,
    /// The request to send.
    pub request: StoreRequest,
    /// Time after which the request is not sent any more, in ms of the steady clock.
    pub deadline: u64,
}

/// A response of the state service.
#[derive(Debug)]
pub struct StoreAnswer {
    /// The content of the response.
    pub reply: Reply,
    /// When the request was sent, in ms of the steady clock.
    pub sent_at: u64,
}

/// Sets the role of this node, which determines its share of the limits.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SetStoreRole(pub NodeRole);
