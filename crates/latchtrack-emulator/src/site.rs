//! State service, cloud and nodes of one deployment, on loopback.

use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use latchtrack::node;
use latchtrack::settings::{Platform, Settings, Tuning};
use serde_json::{json, Value};
use tokio::net::TcpListener;

use crate::cloud::{serve_cloud, CloudState};
use crate::state::{serve_state, State};
use crate::Shared;

/// State service and cloud of a deployment of up to three nodes.
pub struct Site {
    pub state: Shared<State>,
    pub cloud: Shared<CloudState>,
    /// Refuses the nodes behind each port of the state service.
    pub refused: [Arc<AtomicBool>; 3],
    /// The operators' settings of the nodes that are started.
    pub tuning: Tuning,
    /// Sockets of a node.
    pub max_sockets: usize,
    /// The teams and the workers' times, as the platform's file has them.
    pub teams: Value,
    pub workers: Value,
    /// KiB of a value that the state service is to take from some moment on.
    pub next_value_kb: f64,
    state_ports: [u16; 3],
    cloud_port: u16,
}

/// Starts state service and cloud.
pub fn site() -> Site {
    site_at(Default::default())
}

/// Starts a cloud, and ports of a state service that others share.
pub fn site_at(state: Shared<State>) -> Site {
    let cloud: Shared<CloudState> = Default::default();
    let refused: [Arc<AtomicBool>; 3] = Default::default();
    Site {
        state_ports: [0, 1, 2].map(|i| serve_state(state.clone(), refused[i].clone())),
        cloud_port: serve_cloud(cloud.clone()),
        state,
        cloud,
        refused,
        tuning: Tuning::default(),
        max_sockets: 200,
        teams: json!([{"name": "team"}, {"name": "small", "cpus_max": 2.0}, {"name": "other"}]),
        workers: json!({"report_s": 1.0, "lease_s": 10.0, "cancel_s": 20.0,
            "gang_wait_s": 5.0, "gang_peer_s": 2.0}),
        next_value_kb: 2.0,
    }
}

impl Site {
    /// Starts a node; returns where users and workers find it.
    pub async fn node(&self, name: &str) -> String {
        let peers = TcpListener::bind("127.0.0.1:0").await.unwrap();
        self.start(name, 0, peers, &[]).await.0
    }

    /// Starts two nodes that know each other, each behind a port of the state service.
    pub async fn pair(&self) -> [String; 2] {
        let one = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let two = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = |l: &TcpListener| l.local_addr().unwrap().to_string();
        let (a, b) = (at(&one), at(&two));
        [
            self.start("one", 0, one, &[("two", &b)]).await.0,
            self.start("two", 1, two, &[("one", &a)]).await.0,
        ]
    }

    /// Starts three nodes that know each other, each behind a port of the state service.
    pub async fn trio(&self) -> [String; 3] {
        self.trio_with_settings().await.0
    }

    /// The same, with the settings of the first of them.
    pub async fn trio_with_settings(&self) -> ([String; 3], Settings) {
        let names = ["one", "two", "three"];
        let mut peers = Vec::new();
        for _ in names {
            peers.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let at: Vec<String> = peers.iter().map(|l| l.local_addr().unwrap().to_string()).collect();
        let mut nodes = Vec::new();
        let mut first = None;
        for (i, listener) in peers.into_iter().enumerate() {
            let others: Vec<(&str, &String)> =
                (0..names.len()).filter(|o| *o != i).map(|o| (names[o], &at[o])).collect();
            let (at, settings) = self.start(names[i], i, listener, &others).await;
            nodes.push(at);
            first.get_or_insert(settings);
        }
        (nodes.try_into().unwrap(), first.unwrap())
    }

    async fn start(
        &self,
        name: &str,
        port: usize,
        peers: TcpListener,
        others: &[(&str, &String)],
    ) -> (String, Settings) {
        let users = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = format!("http://{}", users.local_addr().unwrap());
        let settings = self.settings(name, port, &users, &peers, others);
        actix_web::rt::spawn(node::serve(settings.clone(), users, peers));
        (at, settings)
    }

    /// The settings of a node that listens there.
    pub fn settings(
        &self,
        name: &str,
        port: usize,
        users: &TcpListener,
        peers: &TcpListener,
        others: &[(&str, &String)],
    ) -> Settings {
        let others: Vec<Value> = others
            .iter()
            .map(|(name, at)| json!({"node_name": name, "domain": "a", "endpoint": at}))
            .collect();
        let platform: Platform = serde_json::from_value(json!({
            "node_name": name, "domain": "a",
            "bind": users.local_addr().unwrap().to_string(),
            "peer_bind": peers.local_addr().unwrap().to_string(),
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
        .unwrap();
        let settings = Settings { platform, tuning: self.tuning.clone() };
        settings.check().unwrap();
        settings
    }
}
