//! The workers' HTTP interface: direct calls and status probes.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{web, App, HttpRequest, HttpResponse, HttpServer};
use serde_json::Value;

use super::FleetState;
use crate::{lock, Shared};

/// Starts a server that listens on an address for each worker. The local address of a connection
/// identifies the worker.
pub(super) fn listen(fleet: &Shared<FleetState>) {
    let data = fleet.clone();
    let mut server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(data.clone()))
            .route("/do", web::post().to(direct_call))
            .route("/status", web::get().to(probe))
    })
    .workers(1);
    let machines = lock(fleet).settings.machines;
    for _ in 0..machines {
        server = server.bind(("127.0.0.1", 0)).expect("a free port on loopback");
    }
    let mut addrs: Vec<String> = server.addrs().iter().map(|addr| addr.to_string()).collect();
    addrs.reverse();
    lock(fleet).free_addrs = addrs;
    actix_web::rt::spawn(server.run());
}

/// Responds with an empty 500 and closes the connection: no usable response.
fn no_response() -> HttpResponse {
    HttpResponse::InternalServerError().force_close().finish()
}

async fn direct_call(
    fleet: web::Data<Shared<FleetState>>,
    request: HttpRequest,
    body: web::Json<Value>,
) -> HttpResponse {
    let addr = request.app_config().local_addr().to_string();
    // A call to a partitioned or paused machine is delivered when the fault ends; the response to
    // it is lost.
    let Some(wait_ms) = lock(&fleet).delivery_delay_ms(&addr) else {
        return no_response();
    };
    actix_web::rt::time::sleep(Duration::from_millis(wait_ms)).await;
    let shared_fleet = fleet.get_ref().clone();
    let mut fleet = lock(&fleet);
    let outcome = fleet.on_direct_call(&addr, &body);
    if let (Some((StatusCode::OK, _)), Some(delay_ms)) = (&outcome, fleet.copy_delay_ms()) {
        actix_web::rt::spawn(deliver_copy(shared_fleet, addr, body.into_inner(), delay_ms));
    }
    match outcome {
        Some((status, heartbeat)) if wait_ms == 0 && !fleet.loses_response() => {
            HttpResponse::build(status).json(heartbeat)
        }
        _ => no_response(),
    }
}

/// Delivers a copy of an executed direct call, whose answer nobody reads.
async fn deliver_copy(fleet: Shared<FleetState>, addr: String, body: Value, delay_ms: u64) {
    actix_web::rt::time::sleep(Duration::from_millis(delay_ms)).await;
    let wait_ms = lock(&fleet).delivery_delay_ms(&addr);
    if let Some(wait_ms) = wait_ms {
        actix_web::rt::time::sleep(Duration::from_millis(wait_ms)).await;
        lock(&fleet).on_direct_copy(&addr, &body);
    }
}

async fn probe(fleet: web::Data<Shared<FleetState>>, request: HttpRequest) -> HttpResponse {
    let addr = request.app_config().local_addr().to_string();
    let mut fleet = lock(&fleet);
    let name = fleet.machine_at(&addr).filter(|_| fleet.delivery_delay_ms(&addr) == Some(0));
    match name.and_then(|name| fleet.next_heartbeat(&name)) {
        Some(heartbeat) => HttpResponse::Ok().json(heartbeat),
        None => no_response(),
    }
}
