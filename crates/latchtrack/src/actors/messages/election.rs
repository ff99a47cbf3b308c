//! Messages to the election actor.

use actix::prelude::*;

use crate::wire::records::LeaderRecord;

/// The leader key with its value and revision.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaderKey {
    /// Value of the key, which names the leader.
    pub record: LeaderRecord,
    /// Revision of the key, which is the fencing token of its term.
    pub revision: u64,
}

/// The leader key after a refresh of the job cache. `None` if no node leads.
#[derive(Message)]
#[rtype(result = "()")]
pub struct LeaderKeyObserved(pub Option<LeaderKey>);

/// Ends the term, and keeps this node from campaigning for a while.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Resign {
    /// Reason to log.
    pub reason: String,
}

/// Reports that a write of a term was refused because the leader key has changed.
#[derive(Message)]
#[rtype(result = "()")]
pub struct LeaderKeyLost {
    /// Fencing token of the refused write.
    pub token: u64,
}
