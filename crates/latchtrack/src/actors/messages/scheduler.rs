//! Messages to the scheduler driver, which runs the scheduling core while this node leads.

use actix::prelude::*;
use latchtrack_core::job::JobId;
use latchtrack_core::machine::{Command, Heartbeat};
use latchtrack_core::scheduler::Event;

use super::election::{LeaderKeyLost, Resign};
use super::quota::{ChangeLedger, QuotaTerm};
use super::OpenJob;
use crate::wire::status::NodeView;

/// A term of this node as the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderTerm {
    /// The revision of the leader key, which fences every write and every command.
    pub token: u64,
    /// Until when the lease is surely valid, in ms of the steady clock.
    pub valid_until: u64,
}

/// Whether this node leads, and in which term.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leadership(pub Option<LeaderTerm>);

/// A change of a job record in the cache.
#[derive(Debug, Clone)]
pub enum JobChange {
    /// The job is open.
    Opened(OpenJob),
    /// The job is done or cancelled.
    Closed(JobId),
}

/// The job cache has taken in a refresh or a record of this node's own.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CacheAdvanced {
    /// When the read was sent, in ms of the steady clock; 0 for a record of this node's own.
    pub observed_at: u64,
    /// What has changed.
    pub changes: Vec<JobChange>,
    /// Name of the node that leads, if one does.
    pub leader: Option<String>,
}

/// The way that a heartbeat took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatRoute {
    /// From the worker to this node.
    Direct,
    /// By way of another node, which forwarded it.
    Forwarded,
}

/// A worker's heartbeat.
#[derive(Message)]
#[rtype(result = "HeartbeatResponse")]
pub struct HeartbeatReceived {
    /// What the worker says.
    pub heartbeat: Heartbeat,
    /// How it came here.
    pub route: HeartbeatRoute,
}

/// The answer to a heartbeat.
#[derive(Debug, MessageResponse)]
pub enum HeartbeatResponse {
    /// What the worker is to do.
    Commands {
        /// Fencing token of the term.
        token: u64,
        /// The commands, in order.
        commands: Vec<Command>,
    },
    /// Another node leads: this one, if it is known.
    NotLeader(Option<String>),
    /// This node leads, but the worker did not reach it: the heartbeat is to be forwarded.
    ForwardTo(String),
    /// This node leads but may not act now.
    NotReady,
}

/// Machines of which the leader waits for a heartbeat; theirs are forwarded to it.
#[derive(Message)]
#[rtype(result = "()")]
pub struct OverdueMachines(pub Vec<String>);

/// An event for the scheduler, in the term of this fencing token.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SchedulerEvent {
    /// Fencing token of the term that it belongs to.
    pub token: u64,
    /// The event.
    pub event: Event,
}

/// What this node sees, for an operator.
#[derive(Message)]
#[rtype(result = "NodeDescription")]
pub struct DescribeNode {
    /// Whether the state service serves this node.
    pub is_served: bool,
}

/// The answer to [`DescribeNode`].
#[derive(MessageResponse)]
pub struct NodeDescription(pub NodeView);

/// Tells the scheduler driver where the election is.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConnectElection {
    /// For the scheduler's wish to stop leading.
    pub resign: Recipient<Resign>,
    /// For refused writes.
    pub key_lost: Recipient<LeaderKeyLost>,
}

/// Tells the scheduler driver where the ledgers are read and written, if cells share teams.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConnectQuota {
    /// For changes of the term.
    pub term: Recipient<QuotaTerm>,
    /// For changes of ledgers.
    pub changes: Recipient<ChangeLedger>,
}
