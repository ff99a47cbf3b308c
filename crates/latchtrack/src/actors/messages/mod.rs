//! The messages of the actors, one module for each receiving service.
//!
//! They stand apart from the actors so that two actors that speak to each other don't import each
//! other: an actor gets each of its listeners as a [`actix::Recipient`] of one message.

pub mod admission;
pub mod cloud;
pub mod election;
pub mod job_cache;
pub mod peers;
pub mod quota;
pub mod scheduler;
pub mod store;

use std::sync::Arc;

use latchtrack_core::job::JobSpec;

/// What this node is in the current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeRole {
    /// It holds the leader key.
    Leader,
    /// Another node does, or none.
    Follower,
}

/// An open job of the cache.
#[derive(Clone, Debug)]
pub struct OpenJob {
    /// What was submitted.
    pub spec: Arc<JobSpec>,
    /// Time of day of the submission, ms.
    pub submitted_at_wall_ms: u64,
    /// Revision of the record.
    pub revision: u64,
}
