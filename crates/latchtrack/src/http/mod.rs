//! The HTTP interface; users and workers connect to the same port.

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

/// Whether the service has several nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// This is the only node.
    SingleNode,
    /// There are other nodes.
    MultiNode,
}

/// State shared by the request handlers.
#[derive(Clone)]
pub struct AppState {
    /// Looks up jobs.
    pub cache: Addr<JobCache>,
    /// Handles submissions and cancellations.
    pub admission: Addr<Admission>,
    /// Handles heartbeats.
    pub scheduler: Addr<SchedulerDriver>,
    /// Forwards requests to other nodes.
    pub peers: Addr<Peers>,
    /// Whether the service has several nodes.
    pub deployment: Deployment,
}

/// Registers the routes of users and workers.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/api/jobs", web::post().to(users::submit))
        .route("/api/jobs/{id}", web::get().to(users::query))
        .route("/api/jobs/{id}/withdraw", web::post().to(users::cancel))
        .route("/ready", web::get().to(users::ready))
        .route("/v1/report", web::post().to(workers::heartbeat));
}

/// Reads a request body with limits on its size and time, since a body that never arrives would
/// occupy a connection forever. Exceeding a limit yields 413 or 408 and closes the connection.
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

/// Creates an error response with the reason in its JSON body.
fn error_response(status: StatusCode, reason: &str) -> HttpResponse {
    HttpResponse::build(status).json(ErrorAnswer { error: reason })
}

/// Creates a response with status 503 and `Retry-After`.
fn unavailable(reason: &str) -> HttpResponse {
    HttpResponse::ServiceUnavailable()
        .insert_header((RETRY_AFTER, RETRY_AFTER_S.to_string()))
        .json(ErrorAnswer { error: reason })
}

/// Forwards a request to another node and returns its answer; `None` if no node answers.
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

/// Responds with this node's view of itself and of the cluster, for operators.
async fn describe_node(app: &AppState) -> HttpResponse {
    let is_served = users::is_served(app).await;
    match app.scheduler.send(DescribeNode { is_served }).await {
        Ok(description) => HttpResponse::Ok().json(description.0),
        Err(_) => unavailable("too busy to tell"),
    }
}

/// Answers a request forwarded by another node, without forwarding it again.
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
