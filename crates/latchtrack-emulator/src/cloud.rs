//! An emulated cloud: one type of machines, in one zone, spot only, without capacity limit.

use std::collections::BTreeMap;

use actix_web::{web, App, HttpResponse, HttpServer};
use serde_json::{json, Value};

use crate::{lock, unavailable, Shared};

/// Machines on a page of the list, at most.
const PAGE_SIZE: usize = 500;

/// The state of the cloud.
#[derive(Default)]
pub struct CloudState {
    /// Names of all machines that were ever provisioned, in their order.
    pub provisioned: Vec<String>,
    /// Names of all machines that were terminated, in the order of the requests.
    pub terminated: Vec<String>,
    /// Responds with 503 to requests for the machine types.
    pub down: bool,
    /// Lists its machines; otherwise its list is always empty.
    pub lists_machines: bool,
    /// The machines of each request, by its id.
    requests: BTreeMap<String, Vec<String>>,
}

impl CloudState {
    /// Whether a machine has been terminated.
    pub fn is_terminated(&self, name: &str) -> bool {
        self.terminated.iter().any(|terminated| terminated == name)
    }

    /// Provisions machines; a repeated request gets those that it got before.
    fn provision(&mut self, request_id: String, count: usize) -> Vec<String> {
        if let Some(names) = self.requests.get(&request_id) {
            return names.clone();
        }
        let first = self.provisioned.len();
        let names: Vec<String> = (first..first + count).map(|i| format!("n-{i:06}")).collect();
        self.provisioned.extend(names.clone());
        self.requests.insert(request_id, names.clone());
        names
    }
}

async fn types(cloud: web::Data<Shared<CloudState>>) -> HttpResponse {
    if lock(&cloud).down {
        return unavailable();
    }
    HttpResponse::Ok().json(json!({"builds": [{"sku": "t1", "cores": 8, "cards": 0,
        "memory_gb": 32, "local_gb": 20, "pull_gb_per_s": 1.0, "price": 1.0, "spot_price": 0.3,
        "ready_s": 1, "yards": ["a"], "new": {}}]}))
}

async fn provision(cloud: web::Data<Shared<CloudState>>, body: web::Json<Value>) -> HttpResponse {
    let request_id = body["hire"].as_str().expect("`hire` is a string").to_string();
    let count = body["number"].as_u64().expect("`number` is a count") as usize;
    let names = lock(&cloud).provision(request_id, count);
    HttpResponse::Ok().json(json!({"hosts": names}))
}

async fn terminate(cloud: web::Data<Shared<CloudState>>, body: web::Json<Value>) -> HttpResponse {
    let hosts = body["hosts"].as_array().expect("`hosts` is a list");
    let names = hosts.iter().map(|name| name.as_str().expect("a name").to_string());
    lock(&cloud).terminated.extend(names);
    HttpResponse::Ok().json(json!({"hosts": []}))
}

async fn list(
    cloud: web::Data<Shared<CloudState>>,
    query: web::Query<BTreeMap<String, String>>,
) -> HttpResponse {
    let cloud = lock(&cloud);
    let from = query.get("from").cloned().unwrap_or_default();
    let all = cloud.provisioned.iter();
    let listed =
        all.filter(|name| cloud.lists_machines && **name > from && !cloud.is_terminated(name));
    let mut rows: Vec<Value> = listed
        .take(PAGE_SIZE + 1)
        .map(|name| {
            json!({"name_id": name, "addr": "", "build": "t1", "yard": "a", "loaners": true,
                "status": "running", "held_s": 60.0})
        })
        .collect();
    let truncated = rows.len() > PAGE_SIZE;
    rows.truncate(PAGE_SIZE);
    HttpResponse::Ok().json(json!({"hosts": rows, "truncated": truncated}))
}

/// Serves the cloud on a free port of loopback; returns the port.
pub fn serve_cloud(cloud: Shared<CloudState>) -> u16 {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(cloud.clone()))
            .route("/machine_types", web::get().to(types))
            .route("/rentals", web::post().to(provision))
            .route("/rentals", web::get().to(list))
            .route("/rentals/delete", web::post().to(terminate))
    });
    let server = server.workers(1).bind(("127.0.0.1", 0)).expect("a free port on loopback");
    let port = server.addrs()[0].port();
    actix_web::rt::spawn(server.run());
    port
}
