//! Messages to the scheduler driver, which runs the scheduler while this node leads.

use actix::prelude::*;
use latchtrack_core::job::JobId;
use latchtrack_core::machine::{Command, Heartbeat};
use latchtrack_core::scheduler::Event;

use super::election::{LeaderKeyLost, Resign};
use super::quota::{ChangeLedger, QuotaTerm};
use super::OpenJob;
use crate::wire::status::NodeView;

/// A term in which this node leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderTerm {
    /// Fencing token of every write and command: the revision of the leader key.
    pub token: u64,
    /// Time until which the lease is certain to be valid, in ms of the steady clock.
    pub valid_until: u64,
}

/// Sets the term in which this node leads, or `None` if it does not lead.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Leadership(pub Option<LeaderTerm>);

/// A change of a job record in the cache.
#[derive(Debug, Clone)]
pub enum JobChange {
    /// The job is new to the cache, or its record has changed and is open.
    Opened(OpenJob),
    /// The job is done or was cancelled.
    Closed(JobId),
}

/// Reports that the job cache has applied a refresh or a record that this node wrote.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CacheUpdated {
    /// When the read was sent, in ms of the steady clock; 0 for a record that this node wrote.
    pub observed_at: u64,
    /// The job records that have changed.
    pub changes: Vec<JobChange>,
    /// Name of the leader, if any.
    pub leader: Option<String>,
}

/// How a heartbeat reached this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatRoute {
    /// Sent by the worker itself.
    Direct,
    /// Forwarded by another node.
    Forwarded,
}

/// A worker's heartbeat.
#[derive(Message)]
#[rtype(result = "HeartbeatResponse")]
pub struct HeartbeatReceived {
    /// The heartbeat as parsed from the request.
    pub heartbeat: Heartbeat,
    /// How the heartbeat reached this node.
    pub route: HeartbeatRoute,
}

/// The response to a heartbeat.
#[derive(Debug, MessageResponse)]
pub enum HeartbeatResponse {
    /// Commands for the worker to execute.
    Commands {
        /// Fencing token of the term.
        token: u64,
        /// The commands in the order of execution.
        commands: Vec<Command>,
    },
    /// This node does not lead. Contains the name of the leader, if known.
    NotLeader(Option<String>),
    /// This node does not lead, and the worker can't reach the leader. The heartbeat must be
    /// forwarded to the leader of this name.
    ForwardTo(String),
    /// This node leads but may not issue commands at the moment.
    NotReady,
}

/// Sets the machines whose heartbeats are overdue at the leader, so that this node forwards them.
#[derive(Message)]
#[rtype(result = "()")]
pub struct OverdueMachines(pub Vec<String>);

/// Passes an event to the scheduler of a term. Ignored once that term has ended.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SchedulerEvent {
    /// Fencing token of the term that the event belongs to.
    pub token: u64,
    /// The event to handle.
    pub event: Event,
}

/// Asks for this node's view of the cluster, for an operator.
#[derive(Message)]
#[rtype(result = "NodeDescription")]
pub struct DescribeNode {
    /// Whether the state service serves this node, which the view includes.
    pub is_served: bool,
}

/// The response to [`DescribeNode`].
#[derive(MessageResponse)]
pub struct NodeDescription(pub NodeView);

/// Sets the recipients of messages to the election.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConnectElection {
    /// Receives requests of the scheduler to stop leading.
    pub resign: Recipient<Resign>,
    /// Receives reports of writes refused because the leader key has changed.
    pub key_lost: Recipient<LeaderKeyLost>,
}

/// Sets the recipients of messages to the quota actor, if cells share teams.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ConnectQuota {
    /// Receives the start and the end of each term.
    pub term: Recipient<QuotaTerm>,
    /// Receives the ledgers to write.
    pub changes: Recipient<ChangeLedger>,
}
