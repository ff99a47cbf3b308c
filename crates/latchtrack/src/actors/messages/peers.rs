//! Messages to the actor that communicates with the other nodes.

use std::sync::Arc;

use actix::prelude::*;
use futures_util::future::LocalBoxFuture;

use super::scheduler::OverdueMachines;
use crate::wire::peers::{Answer, Frame, PeerRequest};

/// Sends a frame to every other node. It is lost for nodes that are unreachable.
#[derive(Message)]
#[rtype(result = "()")]
pub struct BroadcastFrame(pub Frame);

/// The node to which a request is forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardTarget {
    /// The node with this name.
    Node(String),
    /// Any node that can currently use the state service.
    AnyServed,
}

/// Forwards a request to another node. The result is `None` if no such node is connected or it does
/// not answer in time.
#[derive(Message)]
#[rtype(result = "Option<Answer>")]
pub struct ForwardRequest {
    /// The node that should answer.
    pub target: ForwardTarget,
    /// The request to forward.
    pub request: PeerRequest,
}

/// Asks whether any other node has reported its health recently.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct HasConnectedPeers;

/// A function that answers requests forwarded by other nodes.
pub type ForwardedRequestHandler =
    Arc<dyn Fn(PeerRequest) -> LocalBoxFuture<'static, Answer> + Send + Sync>;

/// Starts accepting connections from other nodes.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ServePeers {
    /// Answers the forwarded requests.
    pub handler: ForwardedRequestHandler,
    /// Receives the machines whose heartbeats are overdue at the leader.
    pub scheduler: Recipient<OverdueMachines>,
}
