//! Messages to the actor that speaks to the other nodes.

use std::sync::Arc;

use actix::prelude::*;
use futures_util::future::LocalBoxFuture;

use super::scheduler::OverdueMachines;
use crate::wire::peers::{Answer, Frame, PeerRequest};

/// Send a frame to every other node; one that is away does not get it.
#[derive(Message)]
#[rtype(result = "()")]
pub struct BroadcastFrame(pub Frame);

/// Which node is to answer a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardTarget {
    /// The node of this name.
    Node(String),
    /// Any node that the state service serves.
    AnyServed,
}

/// Have another node answer a request. None if no such node is connected or it does not answer in
/// time.
#[derive(Message)]
#[rtype(result = "Option<Answer>")]
pub struct ForwardRequest {
    /// Who is to answer.
    pub target: ForwardTarget,
    /// The request.
    pub request: PeerRequest,
}

/// Whether another node has been heard lately.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct HasConnectedPeers;

/// Answers a request that another node has forwarded.
pub type ForwardedRequestHandler =
    Arc<dyn Fn(PeerRequest) -> LocalBoxFuture<'static, Answer> + Send + Sync>;

/// Start to accept the connections of other nodes.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ServePeers {
    /// Answers what they forward.
    pub handler: ForwardedRequestHandler,
    /// Hears which machines the leader misses.
    pub scheduler: Recipient<OverdueMachines>,
}
