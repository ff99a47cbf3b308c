//! The HTTP interface: users and workers speak to the same port.

pub mod server;
pub mod users;
pub mod workers;

use actix::Addr;
use actix_web::body::to_bytes;
use actix_web::http::header::RETRY_AFTER;
use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use futures_util::StreamExt;

use crate::actors::intake::Intake;
use crate::actors::job_cache::JobCache;
use crate::actors::leader::{Inspect, Leader};
use crate::actors::peers::{PassOn, Peers};
use crate::constants::{BODY_BYTES, BODY_TIMEOUT, RETRY_AFTER_S};
use crate::wire::peers::{Answer, PeerRequest};
use crate::wire::users::ErrorAnswer;

/// Whom the handlers speak to.
#[derive(Clone)]
pub struct AppState {
    pub cache: Addr<JobCache>,
    pub intake: Addr<Intake>,
    pub leader: Addr<Leader>,
    pub peers: Addr<Peers>,
    /// The only node of the service.
    pub alone: bool,
}

/// The routes.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/api/jobs", web::post().to(users::submit))
        .route("/api/jobs/{id}", web::get().to(users::query))
        .route("/api/jobs/{id}/withdraw", web::post().to(users::withdraw))
        .route("/ready", web::get().to(users::ready))
        .route("/v1/report", web::post().to(workers::report));
}

/// Reads a body of bounded size in bounded time: one that does not come would hold its connection's
/// place for ever. An oversized one is answered with 413 and its connection closed.
async fn body(payload: web::Payload) -> Result<Vec<u8>, HttpResponse> {
    match tokio::time::timeout(BODY_TIMEOUT, read(payload)).await {
        Ok(body) => body,
        Err(_) => Err(HttpResponse::RequestTimeout().force_close().finish()),
    }
}

async fn read(mut payload: web::Payload) -> Result<Vec<u8>, HttpResponse> {
    let mut out = Vec::new();
    while let Some(part) = payload.next().await {
        let Ok(part) = part else {
            return Err(HttpResponse::BadRequest().force_close().finish());
        };
        if out.len() + part.len() > BODY_BYTES {
            return Err(HttpResponse::PayloadTooLarge()
                .force_close()
                .json(ErrorAnswer { error: "the body is over 64 KiB" }));
        }
        out.extend_from_slice(&part);
    }
    Ok(out)
}

fn refuse(status: StatusCode, why: &str) -> HttpResponse {
    HttpResponse::build(status).json(ErrorAnswer { error: why })
}

/// Not now: the answer goes out at once and says when to come back.
fn later(why: &str) -> HttpResponse {
    HttpResponse::ServiceUnavailable()
        .insert_header((RETRY_AFTER, RETRY_AFTER_S.to_string()))
        .json(ErrorAnswer { error: why })
}

/// Has another node answer; None if none does.
async fn pass_on(app: &AppState, to: Option<String>, request: PeerRequest) -> Option<HttpResponse> {
    let answer = app.peers.send(PassOn { to, request }).await.ok()??;
    let mut response = HttpResponse::build(StatusCode::from_u16(answer.status).ok()?);
    if let Some(s) = answer.retry_after {
        response.insert_header((RETRY_AFTER, s.to_string()));
    }
    Some(response.content_type("application/json").body(answer.body))
}

/// What this node sees, for an operator.
async fn status(app: &AppState) -> HttpResponse {
    let served = users::served(app).await;
    match app.leader.send(Inspect { served }).await {
        Ok(view) => HttpResponse::Ok().json(view.0),
        Err(_) => later("too busy to tell"),
    }
}

/// Answers what another node has passed on; never passes it on again.
pub async fn answer_passed_on(app: &AppState, request: PeerRequest) -> Answer {
    let response = match request {
        PeerRequest::Heartbeat(bytes) => workers::answer_here(app, &bytes).await,
        PeerRequest::Status => status(app).await,
        request => users::answer_here(app, request).await,
    };
    let status = response.status().as_u16();
    let header = response.headers().get(RETRY_AFTER).and_then(|v| v.to_str().ok());
    let retry_after = header.and_then(|v| v.parse().ok());
    let body = to_bytes(response.into_body()).await.map(|b| b.to_vec()).unwrap_or_default();
    Answer { status, retry_after, body }
}
