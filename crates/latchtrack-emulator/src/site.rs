//! A deployment on loopback: an emulated state service, an emulated cloud and latchtrack nodes.

use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use latchtrack::node;
use latchtrack::settings::{Platform, Settings, Tuning};
use serde_json::{json, Value};
use tokio::net::TcpListener;

use crate::cloud::{serve_cloud, CloudState};
use crate::state::{serve_state, StateService};
use crate::Shared;

/// Names of the nodes, by index. Each node uses its own port of the state service.
const NODE_NAMES: [&str; 3] = ["one", "two", "three"];
/// Default limit on the sockets of a node.
const MAX_SOCKETS: usize = 200;

/// A peer of a node in the same deployment.
#[derive(Clone, Copy, Debug)]
pub struct Peer<'a> {
    /// Its `node_name`.
    pub name: &'a str,
    /// The address on which it accepts connections from other nodes, as `host:port`.
    pub endpoint: &'a str,
}

/// The state service and the cloud of a deployment, with the settings of up to three nodes.
pub struct Site {
    /// The state service, which several deployments may share.
    pub state: Shared<StateService>,
    /// The cloud, which no other deployment uses.
    pub cloud: Shared<CloudState>,
    /// For each port of the state service, whether it refuses the node that uses it.
    pub refused_nodes: [Arc<AtomicBool>; 3],
    /// The operators' settings for nodes started from now on.
    pub tuning: Tuning,
    /// Maximum number of sockets of a node.
    pub max_sockets: usize,
    /// `params.teams` in the platform's settings file.
    pub teams: Value,
    /// `params.workers` in the platform's settings file.
    pub workers: Value,
    /// `params.state.next.value_kb`: the announced limit on values in the state service, KiB.
    pub next_value_kb: f64,
    state_ports: [u16; 3],
    cloud_port: u16,
}

/// A started node.
struct StartedNode {
    /// Base URL for users and workers.
    url: String,
    settings: Settings,
}

/// Starts a new state service and a cloud, without nodes.
pub fn site() -> Site {
    site_with_state(Default::default())
}

/// Starts a cloud, and three ports on an existing state service that may be shared.
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
    /// Starts a node without peers on the first port of the state service, and returns its base URL
    /// for users and workers.
    pub async fn start_node(&self, name: &str) -> String {
        self.spawn_node(name, 0, listen().await, &[]).await.url
    }

    /// Starts two nodes that are peers, each on its own port of the state service, and returns
    /// their base URLs.
    pub async fn start_two_nodes(&self) -> [String; 2] {
        self.start_nodes::<2>().await.map(|node| node.url)
    }

    /// Starts three nodes that are peers, each on its own port of the state service, and returns
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

    /// Starts `N` nodes that are peers of each other.
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
        nodes.try_into().unwrap_or_else(|_| unreachable!("there is one node per listener"))
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

    /// Builds the settings of a node with these listeners and peers. `port` is the index of the
    /// state service's port that it uses.
    ///
    /// # Panics
    ///
    /// Panics if the settings are invalid.
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
        .expect("valid platform settings");
        let settings = Settings { platform, tuning: self.tuning.clone() };
        settings.check().expect("settings that pass the check");
        settings
    }
}
