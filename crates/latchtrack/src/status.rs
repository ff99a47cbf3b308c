//! `latchtrack status`: the state of the cluster as reported by the nodes or, if no leader answers,
//! by the state service and the workers. It changes nothing.

use std::collections::BTreeMap;

use actix::prelude::*;
use futures_util::StreamExt;
use latchtrack_core::machine::TaskPhase;
use serde::Serialize;

use crate::actors::peers;
use crate::actors::store::{self, Store, StoreError};
use crate::constants::{CALL_TIMEOUT, MAX_STATUS_CALLS};
use crate::net::{http_client, read_response};
use crate::settings::Settings;
use crate::wire::peers::PeerRequest;
use crate::wire::records::{
    parse_machine_set, Record, JOBS_PREFIX, LEADER_KEY, LIVE_PREFIX, MACHINE_SETS_PREFIX,
};
use crate::wire::status::NodeView;
use crate::wire::store::Item;
use crate::wire::workers::parse_heartbeat;

/// The state of the cluster, as printed by the command.
#[derive(Serialize, Debug)]
pub struct Status {
    /// Views by node name; `None` if the node did not answer.
    pub nodes: BTreeMap<String, Option<NodeView>>,
    /// Status from the state service and the workers, if no node answered as the leader.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub without_leader: Option<LeaderlessStatus>,
    /// Why the state service could not be read, if that failed.
    #[serde(rename = "trouble", skip_serializing_if = "Option::is_none")]
    pub store_error: Option<String>,
}

impl Status {
    /// Whether a node or the state service answered.
    pub fn has_answer(&self) -> bool {
        self.without_leader.is_some() || self.nodes.values().any(Option::is_some)
    }
}

/// The state of a cluster without a leader, from the state service and the workers.
#[derive(Serialize, Debug, Default)]
pub struct LeaderlessStatus {
    /// Value of the leader key, if it exists.
    pub leader: Option<String>,
    /// Number of jobs that are neither done nor cancelled.
    pub jobs_open: usize,
    /// Number of machines in the stored machine set.
    pub machines: usize,
    /// Number of machines whose worker did not answer.
    pub silent: usize,
    /// Number of running tasks by job.
    pub running: BTreeMap<String, usize>,
}

/// Queries all nodes and, if none of them is the leader, the state service and the workers.
pub async fn query(settings: &Settings) -> Status {
    let nodes = query_nodes(settings).await;
    let has_leader = nodes.values().flatten().any(|node| node.cluster.is_some());
    let (mut without_leader, mut store_error) = (None, None);
    if !has_leader {
        match query_store_and_workers(settings).await {
            Ok(status) => without_leader = Some(status),
            Err(error) => store_error = Some(format!("state service: {error}")),
        }
    }
    Status { nodes, without_leader, store_error }
}

async fn query_nodes(settings: &Settings) -> BTreeMap<String, Option<NodeView>> {
    let platform = &settings.platform;
    let own = std::iter::once((platform.node_name.clone(), platform.peer_bind));
    let others = platform.peers.iter().map(|peer| (peer.node_name.clone(), peer.addr));
    let mut nodes = BTreeMap::new();
    for (name, addr) in own.chain(others) {
        let answer = peers::request_once(addr, PeerRequest::Status).await;
        let view = answer.and_then(|answer| serde_json::from_slice::<NodeView>(&answer.body).ok());
        nodes.insert(name, view);
    }
    nodes
}

async fn query_store_and_workers(settings: &Settings) -> Result<LeaderlessStatus, StoreError> {
    let store = Store::new(settings).start();
    let (live, _) = store::read_all(&store, LIVE_PREFIX).await?;
    let (machine_sets, _) = store::read_all(&store, MACHINE_SETS_PREFIX).await?;
    let mut status = LeaderlessStatus::default();
    count_records(&live, &mut status);
    let mut addrs = Vec::new();
    for item in machine_sets {
        let name = item.key.strip_prefix(MACHINE_SETS_PREFIX).unwrap_or_default();
        let machines = parse_machine_set(name, item.value.get()).unwrap_or_default();
        addrs.extend(machines.into_iter().map(|machine| machine.addr));
    }
    status.machines = addrs.len();
    query_workers(addrs, &mut status).await;
    Ok(status)
}

/// Sets the leader and the number of open jobs.
fn count_records(live: &[Item], status: &mut LeaderlessStatus) {
    for item in live {
        if item.key == LEADER_KEY {
            status.leader = Some(item.value.get().to_string());
        } else if let Some(id) = item.key.strip_prefix(JOBS_PREFIX).and_then(|id| id.parse().ok()) {
            let record = Record::parse(id, item.value.get());
            status.jobs_open += usize::from(matches!(record, Ok(Record::Open { .. })));
        }
    }
}

/// Counts the running tasks of the workers at these addresses, and the workers that don't answer.
async fn query_workers(addrs: Vec<String>, status: &mut LeaderlessStatus) {
    let client = http_client(MAX_STATUS_CALLS);
    let calls = futures_util::stream::iter(addrs).map(|addr| {
        let request = client.get(format!("http://{addr}/status")).force_close();
        read_response(request.timeout(CALL_TIMEOUT).send())
    });
    let mut answers = calls.buffer_unordered(MAX_STATUS_CALLS);
    while let Some(answer) = answers.next().await {
        let heartbeat = answer.ok().and_then(|(_, body)| parse_heartbeat(&body).ok());
        let Some(heartbeat) = heartbeat else {
            status.silent += 1;
            continue;
        };
        for task in &heartbeat.tasks {
            if matches!(task.phase, TaskPhase::Running) {
                *status.running.entry(task.task.job.to_string()).or_default() += 1;
            }
        }
    }
}
