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

use crate::actors::admission::Admission;
use crate::actors::job_cache::JobCache;
use crate::actors::messages::peers::{ForwardRequest, ForwardTarget};
use crate::actors::messages::scheduler::DescribeNode;
use crate::actors::peers::Peers;
use crate::actors::scheduler_driver::SchedulerDriver;
use crate::constants::{BODY_TIMEOUT, MAX_BODY_BYTES, RETRY_AFTER_S};
use crate::wire::peers::{Answer, PeerRequest};
use crate::wire::users::ErrorAnswer;

/// Whether there are other nodes of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// This is the only node.
    SingleNode,
    /// There are others.
    ManyNodes,
}

/// The actors that the handlers speak to.
#[derive(Clone)]
pub struct AppState {
    /// Answers queries.
    pub cache: Addr<JobCache>,
    /// Takes submissions and cancellations.
    pub admission: Addr<Admission>,
    /// Takes heartbeats.
    pub scheduler: Addr<SchedulerDriver>,
    /// Forwards requests.
    pub peers: Addr<Peers>,
    /// Whether there are other nodes.
    pub deployment: Deployment,
}

/// The routes.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/api/jobs", web::post().to(users::submit))
        .route("/api/jobs/{id}", web::get().to(users::query))
        .route("/api/jobs/{id}/withdraw", web::post().to(users::cancel))
        .route("/ready", web::get().to(users::ready))
        .route("/v1/report", web::post().to(workers::heartbeat));
}

/// Reads a body of bounded size in bounded time: one that does not come would hold its
/// connection's place for ever. An oversized one is answered with 413 and its connection closed.
async fn read_body(payload: web::Payload) -> Result<Vec<u8>, HttpResponse> {
    match tokio::time::timeout(BODY_TIMEOUT, collect_body(payload)).await {
        Ok(body) => body,
        Err(_) => Err(HttpResponse::RequestTimeout().force_close().finish()),
    }
}

async fn collect_body(mut payload: web::Payload) -> Result<Vec<u8>, HttpResponse> {
    let mut body = Vec::new();
    while let Some(chunk) = payload.next().await {
        let Ok(chunk) = chunk else {
            return Err(HttpResponse::BadRequest().force_close().finish());
        };
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(HttpResponse::PayloadTooLarge()
                .force_close()
                .json(ErrorAnswer { error: "the body is over 64 KiB" }));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// An error with its reason.
fn error_response(status: StatusCode, reason: &str) -> HttpResponse {
    HttpResponse::build(status).json(ErrorAnswer { error: reason })
}

/// 503: not possible now; says when to try again.
fn unavailable(reason: &str) -> HttpResponse {
    HttpResponse::ServiceUnavailable()
        .insert_header((RETRY_AFTER, RETRY_AFTER_S.to_string()))
        .json(ErrorAnswer { error: reason })
}

/// Has another node answer; None if none does.
async fn forward(
    app: &AppState,
    target: ForwardTarget,
    request: PeerRequest,
) -> Option<HttpResponse> {
    let answer = app.peers.send(ForwardRequest { target, request }).await.ok()??;
    let mut response = HttpResponse::build(StatusCode::from_u16(answer.status).ok()?);
    if let Some(seconds) = answer.retry_after {
        response.insert_header((RETRY_AFTER, seconds.to_string()));
    }
    Some(response.content_type("application/json").body(answer.body))
}

/// What this node sees, for an operator.
async fn describe_node(app: &AppState) -> HttpResponse {
    let is_served = users::is_served(app).await;
    match app.scheduler.send(DescribeNode { is_served }).await {
        Ok(description) => HttpResponse::Ok().json(description.0),
        Err(_) => unavailable("too busy to tell"),
    }
}

/// Answers what another node has forwarded; never forwards it again.
pub async fn answer_forwarded(app: &AppState, request: PeerRequest) -> Answer {
    let response = match request {
        PeerRequest::Heartbeat(bytes) => workers::answer_forwarded(app, &bytes).await,
        PeerRequest::Status => describe_node(app).await,
        request => users::answer_locally(app, request).await,
    };
    let status = response.status().as_u16();
    let header = response.headers().get(RETRY_AFTER).and_then(|value| value.to_str().ok());
    let retry_after = header.and_then(|value| value.parse().ok());
    let body = to_bytes(response.into_body()).await.map(|body| body.to_vec()).unwrap_or_default();
    Answer { status, retry_after, body }
}
