//! `latchtrack status`: what runs where, as the nodes tell it, or, when no leader answers, as the state
//! service and the workers do. It only reads.

use std::collections::BTreeMap;

use actix::prelude::*;
use futures_util::StreamExt;
use latchtrack_core::machine::TaskPhase;
use serde::Serialize;

use crate::actors::peers;
use crate::actors::store::{self, Store, StoreError};
use crate::constants::*;
use crate::net::{finish, http_client};
use crate::settings::Settings;
use crate::wire::peers::PeerRequest;
use crate::wire::records::{read_fleet, Record, FLEET, JOBS, LEADER, LIVE};
use crate::wire::status::NodeView;
use crate::wire::workers::parse_report;

/// What could be learnt.
#[derive(Serialize, Debug)]
pub struct Status {
    /// Each node by its name; none if it did not answer.
    pub nodes: BTreeMap<String, Option<NodeView>>,
    /// Only if no node answered as the leader.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub without_leader: Option<Stored>,
    /// Why the state service told nothing, if it was asked in vain.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub trouble: Option<String>,
}

impl Status {
    /// Whether anybody answered at all.
    pub fn heard(&self) -> bool {
        self.without_leader.is_some() || self.nodes.values().any(Option::is_some)
    }
}

/// What the state service and the workers say.
#[derive(Serialize, Debug, Default)]
pub struct Stored {
    /// The leader's key, if there is one.
    pub leader: Option<String>,
    pub jobs_open: usize,
    pub machines: usize,
    /// Machines of which the worker did not answer.
    pub silent: usize,
    /// Tasks that run, by job.
    pub running: BTreeMap<String, usize>,
}

/// Asks everybody.
pub async fn ask(settings: &Settings) -> Status {
    let p = &settings.platform;
    let own = std::iter::once((p.node_name.clone(), p.peer_bind));
    let all = own.chain(p.peers.iter().map(|peer| (peer.node_name.clone(), peer.addr)));
    let mut nodes = BTreeMap::new();
    for (name, addr) in all {
        let answer = peers::request_once(addr, PeerRequest::Status).await;
        let view = answer.and_then(|a| serde_json::from_slice::<NodeView>(&a.body).ok());
        nodes.insert(name, view);
    }
    let led = nodes.values().flatten().any(|n| n.cluster.is_some());
    let (mut without_leader, mut trouble) = (None, None);
    if !led {
        match stored(settings).await {
            Ok(found) => without_leader = Some(found),
            Err(e) => trouble = Some(format!("the state service: {e}")),
        }
    }
    Status { nodes, without_leader, trouble }
}

async fn stored(settings: &Settings) -> Result<Stored, StoreError> {
    let store = Store::new(settings).start();
    let (live, _) = store::read_all(&store, LIVE).await?;
    let (fleet, _) = store::read_all(&store, FLEET).await?;
    let mut found = Stored::default();
    for item in live {
        if item.key == LEADER {
            found.leader = Some(item.value.get().to_string());
        } else if let Some(id) = item.key.strip_prefix(JOBS).and_then(|id| id.parse().ok()) {
            let record = Record::parse(id, item.value.get());
            found.jobs_open += usize::from(matches!(record, Ok(Record::Open { .. })));
        }
    }
    let mut addrs = Vec::new();
    for item in fleet {
        let name = item.key.strip_prefix(FLEET).unwrap_or_default();
        let machines = read_fleet(name, item.value.get()).unwrap_or_default();
        addrs.extend(machines.into_iter().map(|m| m.addr));
    }
    found.machines = addrs.len();
    let client = http_client(STATUS_OPEN);
    let asked = futures_util::stream::iter(addrs).map(|addr| {
        let request = client.get(format!("http://{addr}/status")).force_close();
        finish(request.timeout(CALL_TIMEOUT).send())
    });
    let mut answers = asked.buffer_unordered(STATUS_OPEN);
    while let Some(answer) = answers.next().await {
        let Some(report) = answer.ok().and_then(|(_, body)| parse_report(&body).ok()) else {
            found.silent += 1;
            continue;
        };
        for task in report.tasks.iter().filter(|t| matches!(t.phase, TaskPhase::Running)) {
            *found.running.entry(task.task.job.to_string()).or_default() += 1;
        }
    }
    Ok(found)
}
