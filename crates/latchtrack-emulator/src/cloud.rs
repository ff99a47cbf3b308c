//! An emulated cloud: one machine type in one zone, spot only, with unlimited capacity.

use std::collections::BTreeMap;

use actix_web::{web, App, HttpResponse, HttpServer};
use serde_json::{json, Value};

use crate::{lock, unavailable, Shared};

/// Maximum number of machines on a page of the machine list.
const PAGE_SIZE: usize = 500;

/// The machines of the emulated cloud, and the behaviour that tests set.
#[derive(Default)]
pub struct CloudState {
    /// Names of all machines provisioned so far, in order of provisioning.
    pub provisioned: Vec<String>,
    /// Names of all machines terminated so far, in order of the requests. A name is repeated if its
    /// termination is.
    pub terminated: Vec<String>,
    /// Whether requests for the machine types get 503.
    pub down: bool,
    /// Whether the machine list contains the running machines; if not, it is always empty.
    pub lists_machines: bool,
    /// Names of the machines provisioned for each request, by request id.
    requests: BTreeMap<String, Vec<String>>,
}

impl CloudState {
    /// Returns whether the named machine has been terminated.
    pub fn is_terminated(&self, name: &str) -> bool {
        self.terminated.iter().any(|terminated| terminated == name)
    }

    /// Provisions machines. Idempotent: a repeated request id returns the same machines.
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
    let count = body["number"].as_u64().expect("`number` is a whole number") as usize;
    let names = lock(&cloud).provision(request_id, count);
    HttpResponse::Ok().json(json!({"hosts": names}))
}

async fn terminate(cloud: web::Data<Shared<CloudState>>, body: web::Json<Value>) -> HttpResponse {
    let hosts = body["hosts"].as_array().expect("`hosts` is a list");
    let names = hosts.iter().map(|name| name.as_str().expect("each host is a string").to_string());
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

/// Serves the cloud's HTTP interface on a free loopback port, and returns the port.
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
