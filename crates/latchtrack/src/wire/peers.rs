//! Frames between the nodes, in bincode.
//!
//! A published format (`tests/published_formats.rs`): nodes of two versions speak to each other
//! during an upgrade. Variants and fields are identified by their order alone, which never
//! changes, and a node that can't decode a frame drops the connection, so a new variant may go
//! only to a peer known to read it.

use bincode::{Decode, Encode};

/// What one node says to another.
#[derive(Encode, Decode, Debug, PartialEq, Clone)]
pub enum Frame {
    /// What the leader tells all nodes.
    Progress {
        /// Fencing token of its term.
        token: u64,
        /// For display, the counts of each job.
        jobs: Vec<JobCounts>,
        /// Machines of which it waits for a heartbeat.
        overdue: Vec<String>,
    },
    /// The health of the sender.
    Health {
        /// Whether the state service serves it.
        store: bool,
    },
    /// A forwarded request.
    Request {
        /// Tells the requests on a connection apart.
        id: u64,
        /// The request.
        request: PeerRequest,
    },
    /// The answer to a forwarded request.
    Answer {
        /// Id of the request.
        id: u64,
        /// The answer.
        answer: Answer,
    },
}

/// How many tasks of a job are done and run.
#[derive(Encode, Decode, Debug, PartialEq, Eq, Clone, Copy)]
pub struct JobCounts {
    /// Number of the job's id.
    pub job: u64,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}

/// A request of a user, a worker or an operator that one node forwards to another.
#[derive(Encode, Decode, Debug, PartialEq, Clone)]
pub enum PeerRequest {
    /// A submission: the body as the user sent it.
    Submit(Vec<u8>),
    /// A query of a job: its id as the user sent it.
    Query(String),
    /// A cancellation of a job: its id as the user sent it.
    Cancel(String),
    /// A heartbeat of a worker that can't reach the leader itself: the body as it was sent.
    Heartbeat(Vec<u8>),
    /// An operator's request for what the node sees: see [`super::status::NodeView`].
    Status,
}

/// The HTTP answer to a forwarded request.
#[derive(Encode, Decode, Debug, PartialEq, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// s to wait before the next attempt.
    pub retry_after: Option<u64>,
    /// Body, JSON.
    pub body: Vec<u8>,
}

/// Encodes a frame.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, bincode::error::EncodeError> {
    bincode::encode_to_vec(frame, bincode::config::standard())
}

/// Decodes a frame; None for any other bytes. Nothing may be left over, and lengths are checked
/// before memory is allocated.
pub fn decode(bytes: &[u8]) -> Option<Frame> {
    let config = bincode::config::standard().with_limit::<{ crate::constants::MAX_FRAME_BYTES }>();
    match bincode::decode_from_slice(bytes, config) {
        Ok((frame, used)) if used == bytes.len() => Some(frame),
        _ => None,
    }
}
