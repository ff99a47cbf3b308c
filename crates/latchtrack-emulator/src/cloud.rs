//! A stand-in for the cloud: one type of machines, as many as are allowed.

use std::collections::BTreeMap;

use actix_web::{web, App, HttpResponse, HttpServer};
use serde_json::{json, Value};

use crate::{trouble, Shared};

/// The cloud: one type, machines without number.
#[derive(Default)]
pub struct CloudState {
    /// Names of all machines that were ever rented, in their order.
    pub rented: Vec<String>,
    pub deleted: Vec<String>,
    /// Answers 503 to who asks for the types.
    pub down: bool,
    /// Lists its machines; otherwise its list is always empty.
    pub lists: bool,
    hires: BTreeMap<String, Vec<String>>,
}

impl CloudState {
    /// Whether a machine has been deleted.
    pub fn is_deleted(&self, name: &str) -> bool {
        self.deleted.iter().any(|deleted| deleted == name)
    }
}

async fn types(s: web::Data<Shared<CloudState>>) -> HttpResponse {
    if s.lock().unwrap().down {
        return trouble();
    }
    HttpResponse::Ok().json(json!({"builds": [{"sku": "t1", "cores": 8, "cards": 0,
        "memory_gb": 32, "local_gb": 20, "pull_gb_per_s": 1.0, "price": 1.0, "spot_price": 0.3,
        "ready_s": 1, "yards": ["a"], "new": {}}]}))
}

async fn rentals(s: web::Data<Shared<CloudState>>, body: web::Json<Value>) -> HttpResponse {
    let mut s = s.lock().unwrap();
    let hire = body["hire"].as_str().unwrap().to_string();
    let number = body["number"].as_u64().unwrap() as usize;
    let names = match s.hires.get(&hire) {
        Some(names) => names.clone(),
        None => {
            let first = s.rented.len();
            let names: Vec<String> = (first..first + number).map(|i| format!("n-{i:06}")).collect();
            s.rented.extend(names.clone());
            s.hires.insert(hire, names.clone());
            names
        }
    };
    HttpResponse::Ok().json(json!({"hosts": names}))
}

async fn delete(s: web::Data<Shared<CloudState>>, body: web::Json<Value>) -> HttpResponse {
    let names = body["hosts"].as_array().unwrap().iter().map(|n| n.as_str().unwrap().to_string());
    s.lock().unwrap().deleted.extend(names);
    HttpResponse::Ok().json(json!({"hosts": []}))
}

/// Most machines of a page.
const PAGE: usize = 500;

async fn list(
    s: web::Data<Shared<CloudState>>,
    q: web::Query<BTreeMap<String, String>>,
) -> HttpResponse {
    let s = s.lock().unwrap();
    let from = q.get("from").cloned().unwrap_or_default();
    let listed = s.rented.iter().filter(|name| s.lists && **name > from && !s.is_deleted(name));
    let mut rows: Vec<Value> = listed
        .take(PAGE + 1)
        .map(|name| {
            json!({"name_id": name, "addr": "", "build": "t1", "yard": "a", "loaners": true,
                "status": "running", "held_s": 60.0})
        })
        .collect();
    let truncated = rows.len() > PAGE;
    rows.truncate(PAGE);
    HttpResponse::Ok().json(json!({"hosts": rows, "truncated": truncated}))
}

/// Serves the cloud; returns its port.
pub fn serve_cloud(state: Shared<CloudState>) -> u16 {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(state.clone()))
            .route("/machine_types", web::get().to(types))
            .route("/rentals", web::post().to(rentals))
            .route("/rentals", web::get().to(list))
            .route("/rentals/delete", web::post().to(delete))
    });
    let server = server.workers(1).bind(("127.0.0.1", 0)).unwrap();
    let port = server.addrs()[0].port();
    actix_web::rt::spawn(server.run());
    port
}
