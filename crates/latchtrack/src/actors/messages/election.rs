//! Messages to the election.

use actix::prelude::*;

use crate::wire::records::LeaderRecord;

/// The leader key with its value and revision.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaderKey {
    /// Who holds it.
    pub record: LeaderRecord,
    /// Revision of the key: the fencing token of its term.
    pub revision: u64,
}

/// The leader key as the job cache has it after a refresh; None if no node leads.
#[derive(Message)]
#[rtype(result = "()")]
pub struct LeaderKeyObserved(pub Option<LeaderKey>);

/// Stop leading, and leave the lead to other nodes for a while.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Resign {
    /// Why, for the log.
    pub reason: String,
}

/// A write of the term with this fencing token was refused because the leader key has changed.
#[derive(Message)]
#[rtype(result = "()")]
pub struct LeaderKeyLost {
    /// Fencing token of the refused write.
    pub token: u64,
}
