//! One deployment on loopback: emulated state service and cloud, and nodes of latchtrack itself.

use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use latchtrack::node;
use latchtrack::settings::{Platform, Settings, Tuning};
use serde_json::{json, Value};
use tokio::net::TcpListener;

use crate::cloud::{serve_cloud, CloudState};
use crate::state::{serve_state, StateService};
use crate::Shared;

/// The names of up to three nodes, each behind a port of the state service of its own.
const NODE_NAMES: [&str; 3] = ["one", "two", "three"];
/// Sockets that a node may use unless a test says otherwise.
const MAX_SOCKETS: usize = 200;

/// Another node of the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Peer<'a> {
    /// Its name.
    pub name: &'a str,
    /// Where it listens for nodes, as `host:port`.
    pub endpoint: &'a str,
}

/// State service and cloud of a deployment of up to three nodes.
pub struct Site {
    /// The state service, which several deployments may share.
    pub state: Shared<StateService>,
    /// The cloud.
    pub cloud: Shared<CloudState>,
    /// Whether the state service refuses the node behind each of its ports.
    pub refused_nodes: [Arc<AtomicBool>; 3],
    /// The operators' settings of the nodes that are started.
    pub tuning: Tuning,
    /// Sockets that a node may use.
    pub max_sockets: usize,
    /// The teams, in the form of the platform's file.
    pub teams: Value,
    /// The workers' times, in the form of the platform's file.
    pub workers: Value,
    /// KiB of a value that the state service is announced to take from some moment on.
    pub next_value_kb: f64,
    state_ports: [u16; 3],
    cloud_port: u16,
}

/// A node that was started.
struct StartedNode {
    /// Base URL for users and workers.
    url: String,
    settings: Settings,
}

/// Starts a state service and a cloud.
pub fn site() -> Site {
    site_with_state(Default::default())
}

/// Starts a cloud, and ports of a state service that others may use too.
pub fn site_with_state(state: Shared<StateService>) -> Site {
    let cloud: Shared<CloudState> = Default::default();
    let refused_nodes: [Arc<AtomicBool>; 3] = Default::default();
    Site {
        state_ports: [0, 1, 2].map(|i| serve_state(state.clone(), refused_nodes[i].clone())),
        cloud_port: serve_cloud(cloud.clone()),
        state,
        cloud,
        refused_nodes,
        tuning: Tuning::default(),
        max_sockets: MAX_SOCKETS,
        teams: json!([{"name": "team"}, {"name": "small", "cpus_max": 2.0}, {"name": "other"}]),
        workers: json!({"report_s": 1.0, "lease_s": 10.0, "cancel_s": 20.0,
            "gang_wait_s": 5.0, "gang_peer_s": 2.0}),
        next_value_kb: 2.0,
    }
}

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a free port on loopback")
}

fn addr_of(listener: &TcpListener) -> String {
    listener.local_addr().expect("a bound socket").to_string()
}

impl Site {
    /// Starts a node that knows no other; returns its base URL for users and workers.
    pub async fn start_node(&self, name: &str) -> String {
        self.spawn_node(name, 0, listen().await, &[]).await.url
    }

    /// Starts two nodes that know each other, each behind a port of the state service; returns
    /// their base URLs.
    pub async fn start_two_nodes(&self) -> [String; 2] {
        self.start_nodes::<2>().await.map(|node| node.url)
    }

    /// Starts three nodes that know each other, each behind a port of the state service; returns
    /// their base URLs.
    pub async fn start_three_nodes(&self) -> [String; 3] {
        self.start_nodes::<3>().await.map(|node| node.url)
    }

    /// Like [`start_three_nodes`](Self::start_three_nodes); also returns the first node's settings.
    pub async fn start_three_nodes_with_settings(&self) -> ([String; 3], Settings) {
        let nodes = self.start_nodes::<3>().await;
        let settings = nodes[0].settings.clone();
        (nodes.map(|node| node.url), settings)
    }

    /// Starts so many nodes that know each other.
    async fn start_nodes<const N: usize>(&self) -> [StartedNode; N] {
        let mut listeners = Vec::new();
        for _ in 0..N {
            listeners.push(listen().await);
        }
        let endpoints: Vec<String> = listeners.iter().map(addr_of).collect();
        let mut nodes = Vec::new();
        for (i, listener) in listeners.into_iter().enumerate() {
            let peer = |other: usize| Peer { name: NODE_NAMES[other], endpoint: &endpoints[other] };
            let others: Vec<Peer> = (0..N).filter(|other| *other != i).map(peer).collect();
            nodes.push(self.spawn_node(NODE_NAMES[i], i, listener, &others).await);
        }
        nodes.try_into().unwrap_or_else(|_| unreachable!("one node for each listener"))
    }

    async fn spawn_node(
        &self,
        name: &str,
        port: usize,
        peers: TcpListener,
        others: &[Peer<'_>],
    ) -> StartedNode {
        let users = listen().await;
        let url = format!("http://{}", addr_of(&users));
        let settings = self.settings(name, port, &users, &peers, others);
        actix_web::rt::spawn(node::serve(settings.clone(), users, peers));
        StartedNode { url, settings }
    }

    /// The settings of a node that listens there, behind the port of the state service with this
    /// index.
    pub fn settings(
        &self,
        name: &str,
        port: usize,
        users: &TcpListener,
        peers: &TcpListener,
        others: &[Peer<'_>],
    ) -> Settings {
        let others: Vec<Value> = others
            .iter()
            .map(|peer| json!({"node_name": peer.name, "domain": "a", "endpoint": peer.endpoint}))
            .collect();
        let platform: Platform = serde_json::from_value(json!({
            "node_name": name, "domain": "a",
            "bind": addr_of(users),
            "peer_bind": addr_of(peers),
            "others": others,
            "external": {"state": format!("127.0.0.1:{}", self.state_ports[port]),
                         "cloud": format!("127.0.0.1:{}", self.cloud_port)},
            "params": {"zones": ["a"],
                "teams": self.teams,
                "workers": self.workers,
                "state": {"rps": 1000.0, "write_rps": 1000.0, "value_kb": 4.0, "txn_ops": 8,
                    "next": {"value_kb": self.next_value_kb, "txn_ops": 4}},
                "cloud": {"rps": 100.0, "list_lag_s": 1.0},
                "machine_limits": {"cpu": 1.0, "mem_mb": 100.0, "max_sockets": self.max_sockets}}
        }))
        .expect("the form of the platform's file");
        let settings = Settings { platform, tuning: self.tuning.clone() };
        settings.check().expect("settings that make sense");
        settings
    }
}
