//! Frames between the nodes, in bincode.
//!
//! A published format (`tests/published_formats.rs`): nodes of two versions speak to each other during an
//! upgrade. Variants and fields are told apart by their order alone, which never changes, and a node that
//! can't decode a frame drops the connection, so a new variant may go only to a peer known to read it.

use bincode::{Decode, Encode};

/// What one node says to another.
#[derive(Encode, Decode, Debug, PartialEq, Clone)]
pub enum Frame {
    /// The leader's counts of tasks done and running, for display, and the machines it misses.
    Progress { token: u64, jobs: Vec<(u64, u32, u32)>, overdue: Vec<String> },
    /// Whether the sender is served by the state service.
    Health { store: bool },
    /// A user's request, passed on by a node that the state service does not serve.
    Request { id: u64, request: PeerRequest },
    /// Its answer.
    Answer { id: u64, answer: Answer },
}

/// A user's request, or a worker's.
#[derive(Encode, Decode, Debug, PartialEq, Clone)]
pub enum PeerRequest {
    Submit(Vec<u8>),
    Query(String),
    Withdraw(String),
    /// A report of a worker that can't reach the leader itself.
    Heartbeat(Vec<u8>),
    /// An operator's question: see [`super::status::NodeView`].
    Status,
}

/// The answer to a user's request.
#[derive(Encode, Decode, Debug, PartialEq, Clone)]
pub struct Answer {
    pub status: u16,
    /// s to wait before the next try.
    pub retry_after: Option<u64>,
    pub body: Vec<u8>,
}

/// Writes a frame.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, bincode::error::EncodeError> {
    bincode::encode_to_vec(frame, bincode::config::standard())
}

/// Reads a frame; nothing may be left over, and lengths are bounded before memory is taken.
pub fn decode(bytes: &[u8]) -> Option<Frame> {
    let config = bincode::config::standard().with_limit::<{ crate::constants::FRAME_BYTES }>();
    match bincode::decode_from_slice(bytes, config) {
        Ok((frame, used)) if used == bytes.len() => Some(frame),
        _ => None,
    }
}
