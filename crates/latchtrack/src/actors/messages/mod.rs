//! The messages of the actors, with one module for each receiving actor.
//!
//! They are separate from the actors to avoid import cycles between actors that exchange messages:
//! an actor is given each of its listeners as an [`actix::Recipient`] of one message type.

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

/// Role of this node in the current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeRole {
    /// This node holds the leader key.
    Leader,
    /// Another node holds the leader key, or none does.
    Follower,
}

/// An open job in the cache.
#[derive(Clone, Debug)]
pub struct OpenJob {
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// Wall-clock time of the submission, in ms of Unix time.
    pub submitted_at_wall_ms: u64,
    /// Revision of the job record.
    pub revision: u64,
}
