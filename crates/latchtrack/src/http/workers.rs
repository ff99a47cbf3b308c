//! Handlers for worker heartbeats.

use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};

use super::{error_response, forward, read_body, unavailable, AppState};
use crate::actors::messages::peers::ForwardTarget;
use crate::actors::messages::scheduler::{HeartbeatReceived, HeartbeatResponse, HeartbeatRoute};
use crate::wire::peers::PeerRequest;
use crate::wire::workers::{parse_heartbeat, CommandDto, HeartbeatAnswer, Redirect};

/// `POST /v1/report`: handles a worker's heartbeat. The leader responds with commands. Another node
/// responds with 421 and the leader's name, or forwards the heartbeat if the worker can't reach the
/// leader.
pub async fn heartbeat(app: web::Data<AppState>, payload: web::Payload) -> HttpResponse {
    let bytes = match read_body(payload).await {
        Ok(bytes) => bytes,
        Err(response) => return response,
    };
    let response = match handle_heartbeat(&app, &bytes, HeartbeatRoute::Direct).await {
        Ok(response) => response,
        Err(response) => return response,
    };
    // Workers accept commands with the leader's token from any node.
    if let HeartbeatResponse::ForwardTo(leader) = response {
        let target = ForwardTarget::Node(leader);
        let answer = forward(&app, target, PeerRequest::Heartbeat(bytes)).await;
        return answer.unwrap_or_else(|| redirect(None));
    }
    http_response(response)
}

/// Answers a heartbeat forwarded by another node.
pub async fn answer_forwarded(app: &AppState, bytes: &[u8]) -> HttpResponse {
    match handle_heartbeat(app, bytes, HeartbeatRoute::Forwarded).await {
        Ok(response) => http_response(response),
        Err(response) => response,
    }
}

/// Passes a heartbeat to the scheduler driver. Returns an error response if it can't be parsed.
async fn handle_heartbeat(
    app: &AppState,
    bytes: &[u8],
    route: HeartbeatRoute,
) -> Result<HeartbeatResponse, HttpResponse> {
    let heartbeat = parse_heartbeat(bytes).map_err(|error| {
        tracing::debug!(%error, "rejected a malformed heartbeat");
        error_response(StatusCode::BAD_REQUEST, &error.to_string())
    })?;
    let response = app.scheduler.send(HeartbeatReceived { heartbeat, route }).await;
    Ok(response.unwrap_or(HeartbeatResponse::NotReady))
}

fn http_response(response: HeartbeatResponse) -> HttpResponse {
    match response {
        HeartbeatResponse::Commands { token, commands } => {
            let commands = commands.iter().map(CommandDto::from).collect();
            HttpResponse::Ok().json(HeartbeatAnswer { token, commands })
        }
        HeartbeatResponse::NotLeader(leader) => redirect(leader.as_deref()),
        // The heartbeat was already forwarded once.
        HeartbeatResponse::ForwardTo(_) => redirect(None),
        HeartbeatResponse::NotReady => unavailable("not entitled to act now"),
    }
}

/// Creates a response with status 421 and the leader's name, if it is known.
fn redirect(leader: Option<&str>) -> HttpResponse {
    HttpResponse::build(StatusCode::MISDIRECTED_REQUEST).json(Redirect { leader })
}
