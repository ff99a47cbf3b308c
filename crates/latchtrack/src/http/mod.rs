//! The HTTP faces: users and workers speak to the same port.

pub mod server;
pub mod users;
pub mod workers;

use actix::Addr;
use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use futures_util::StreamExt;

use crate::actors::intake::Intake;
use crate::actors::job_cache::JobCache;
use crate::actors::leader::Leader;
use crate::actors::peers::Peers;
use crate::constants::{BODY_BYTES, RETRY_AFTER_S};
use crate::wire::users::ErrorAnswer;

/// Whom the handlers speak to.
#[derive(Clone)]
pub struct Desk {
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

/// Reads a body of bounded size; an oversized one is answered with 413 and its connection closed.
async fn body(mut payload: web::Payload) -> Result<Vec<u8>, HttpResponse> {
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
        .insert_header(("Retry-After", RETRY_AFTER_S.to_string()))
        .json(ErrorAnswer { error: why })
}
