//! The HTTP interface of the emulated state service, as in the published protocol.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::Service;
use actix_web::{web, App, HttpResponse, HttpServer};
use serde_json::{json, Value};

use super::faults::{TransactionFaults, TransactionOutcome};
use super::{StateService, TransactionError};
use crate::{lock, unavailable, Shared};

type SharedService = web::Data<Shared<StateService>>;
type Query = web::Query<BTreeMap<String, String>>;

/// Waits for the random delay of a response, if faults are enabled.
async fn delay_response(service: &Shared<StateService>) {
    let ms = match &mut lock(service).faults {
        Some(faults) => faults.draw_delay_ms(),
        None => return,
    };
    actix_web::rt::time::sleep(Duration::from_millis(ms)).await;
}

/// Responds with an empty 500 and closes the connection: no usable response.
fn no_response() -> HttpResponse {
    HttpResponse::InternalServerError().force_close().finish()
}

async fn list(service: SharedService, query: Query) -> HttpResponse {
    let response = list_now(&mut lock(&service), &query);
    delay_response(&service).await;
    response
}

fn list_now(service: &mut StateService, query: &BTreeMap<String, String>) -> HttpResponse {
    if service.down {
        return unavailable();
    }
    service.expire_leases();
    let prefix = query.get("prefix").cloned().unwrap_or_default();
    let from = query.get("from").cloned().unwrap_or_default();
    let page = service.page(&prefix, &from);
    HttpResponse::Ok()
        .json(json!({"rows": page.rows, "truncated": page.truncated, "epoch": service.revision}))
}

async fn watch(service: SharedService, query: Query) -> HttpResponse {
    let response = watch_now(&mut lock(&service), &query);
    delay_response(&service).await;
    response
}

fn watch_now(service: &mut StateService, query: &BTreeMap<String, String>) -> HttpResponse {
    if service.down {
        return unavailable();
    }
    service.expire_leases();
    let prefix = query.get("prefix").cloned().unwrap_or_default();
    let from: u64 = query.get("from").and_then(|from| from.parse().ok()).unwrap_or(0);
    let log = service.changes_since(from, &prefix);
    HttpResponse::Ok().json(json!({"epoch": service.revision, "log": log}))
}

async fn read_key(service: SharedService, key: web::Path<String>) -> HttpResponse {
    let service = lock(&service);
    if service.down {
        return unavailable();
    }
    match service.keys.get(&*key) {
        Some((data, revision, _)) => {
            HttpResponse::Ok().json(json!({"k": *key, "data": data, "stamp": revision}))
        }
        None => HttpResponse::NotFound().json(json!({"epoch": service.revision})),
    }
}

async fn transaction(service: SharedService, body: web::Json<Value>) -> HttpResponse {
    let outcome = lock(&service).faults.as_mut().map(TransactionFaults::draw_outcome);
    let outcome = outcome.unwrap_or(TransactionOutcome::Responded);
    if let TransactionOutcome::CommittedLate(ms) = outcome {
        let service = service.clone();
        actix_web::rt::spawn(async move {
            actix_web::rt::time::sleep(Duration::from_millis(ms)).await;
            transaction_now(&mut lock(&service), &body);
        });
        return no_response();
    }
    let response = transaction_now(&mut lock(&service), &body);
    delay_response(&service).await;
    match outcome {
        TransactionOutcome::ResponseLost => no_response(),
        _ => response,
    }
}

fn transaction_now(service: &mut StateService, body: &Value) -> HttpResponse {
    match service.commit(body) {
        // Committed, but the client cannot know.
        Ok(_) if service.loses_response(body) => no_response(),
        Ok(revision) => HttpResponse::Ok().json(json!({"epoch": revision})),
        Err(TransactionError::Unavailable) => unavailable(),
        Err(TransactionError::Conflict { keys }) => {
            HttpResponse::Conflict().json(json!({"failed": keys, "epoch": service.revision}))
        }
    }
}

async fn grant_lease(service: SharedService, body: web::Json<Value>) -> HttpResponse {
    let mut service = lock(&service);
    if service.down {
        return unavailable();
    }
    let ttl_ms = || body["ttl_ms"].as_u64().expect("`ttl_ms` is a number");
    let lease = service.grant_lease(ttl_ms);
    HttpResponse::Ok().json(json!({"charter": lease}))
}

async fn renew_lease(service: SharedService, lease: web::Path<u64>) -> HttpResponse {
    let mut service = lock(&service);
    if service.down {
        return unavailable();
    }
    service.expire_leases();
    match service.renew_lease(*lease) {
        Ok(()) => HttpResponse::Ok().json(json!({})),
        Err(error) => HttpResponse::NotFound().json(json!({"error": error.to_string()})),
    }
}

async fn end_lease(service: SharedService, lease: web::Path<u64>) -> HttpResponse {
    lock(&service).end_lease(*lease);
    HttpResponse::Ok().json(json!({}))
}

/// Serves the state service on a free loopback port, and returns the port. While `refused` is set,
/// requests on this port get 503.
pub fn serve_state(service: Shared<StateService>, refused: Arc<AtomicBool>) -> u16 {
    let server = HttpServer::new(move || {
        let refused = refused.clone();
        App::new()
            .wrap_fn(move |request, next| {
                let refused = refused.load(Ordering::Relaxed);
                let response = (!refused).then(|| next.call(request));
                async move {
                    match response {
                        Some(response) => response.await,
                        None => Err(actix_web::error::ErrorServiceUnavailable("refused")),
                    }
                }
            })
            .app_data(web::Data::new(service.clone()))
            .route("/store", web::get().to(list))
            .route("/store/{key:.*}", web::get().to(read_key))
            .route("/watch", web::get().to(watch))
            .route("/txn", web::post().to(transaction))
            .route("/grants", web::post().to(grant_lease))
            .route("/grants/{id}/renew", web::post().to(renew_lease))
            .route("/grants/{id}", web::delete().to(end_lease))
    })
    .workers(1)
    .bind(("127.0.0.1", 0))
    .expect("a free port on loopback");
    let port = server.addrs()[0].port();
    actix_web::rt::spawn(server.run());
    port
}
