//! Frames exchanged between nodes, encoded with bincode.
//!
//! This is a published format (`tests/published_formats.rs`), because nodes of two versions
//! communicate during an upgrade. Variants and fields are identified only by their order, which
//! must not change. A node that can't decode a frame drops the connection, so a new variant may be
//! sent only to a peer that is known to support it.

use bincode::{Decode, Encode};

/// A message from one node to another.
#[derive(Encode, Decode, Debug, PartialEq, Clone)]
pub enum Frame {
    /// Progress report of the leader to all nodes.
    Progress {
        /// Fencing token of the leader's term.
        token: u64,
        /// Task counts by job, for display only.
        jobs: Vec<JobCounts>,
        /// Machines whose heartbeat is overdue.
        overdue: Vec<String>,
    },
    /// Health of the sender.
    Health {
        /// Whether the state service serves the sender.
        store: bool,
    },
    /// A forwarded request.
    Request {
        /// Identifies the request on its connection.
        id: u64,
        /// The request to answer.
        request: PeerRequest,
    },
    /// The answer to a forwarded request.
    Answer {
        /// Id of the answered request.
        id: u64,
        /// The HTTP answer.
        answer: Answer,
    },
}

/// Number of done and running tasks of a job.
#[derive(Encode, Decode, Debug, PartialEq, Eq, Clone, Copy)]
pub struct JobCounts {
    /// Numeric part of the job id.
    pub job: u64,
    /// Number of done tasks.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
}

/// A request of a user, worker or operator that one node forwards to another.
#[derive(Encode, Decode, Debug, PartialEq, Clone)]
pub enum PeerRequest {
    /// Submission; contains the request body as received.
    Submit(Vec<u8>),
    /// Query of a job; contains the id as received.
    Query(String),
    /// Cancellation of a job; contains the id as received.
    Cancel(String),
    /// Heartbeat of a worker that can't reach the leader; contains the request body as received.
    Heartbeat(Vec<u8>),
    /// Status request of an operator, answered with a [`super::status::NodeView`].
    Status,
}

/// The HTTP answer to a forwarded request.
#[derive(Encode, Decode, Debug, PartialEq, Clone)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Retry-After` header, in s.
    pub retry_after: Option<u64>,
    /// Response body (JSON).
    pub body: Vec<u8>,
}

/// Encodes a frame with bincode's standard configuration.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, bincode::error::EncodeError> {
    bincode::encode_to_vec(frame, bincode::config::standard())
}

/// Decodes a frame; `None` if the bytes are not exactly one valid frame. Lengths are checked before
/// memory is allocated.
pub fn decode(bytes: &[u8]) -> Option<Frame> {
    let config = bincode::config::standard().with_limit::<{ crate::constants::MAX_FRAME_BYTES }>();
    match bincode::decode_from_slice(bytes, config) {
        Ok((frame, used)) if used == bytes.len() => Some(frame),
        _ => None,
    }
}
