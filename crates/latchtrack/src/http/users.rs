//! Handlers for user requests (submit, query, cancel) and the readiness check.

use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use latchtrack_core::job::JobId;

use super::{error_response, forward, read_body, unavailable, AppState, Deployment};
use crate::actors::messages::admission::{
    CancelJob, CancelOutcome, IsReady, SubmitJob, SubmitOutcome,
};
use crate::actors::messages::job_cache::{Freshness, IsLoaded, IsServed, JobView, LookUpJob};
use crate::actors::messages::peers::{ForwardTarget, HasConnectedPeers};
use crate::wire::peers::PeerRequest;
use crate::wire::records::Record;
use crate::wire::users::{parse_id, parse_job, JobAnswer, JobState, SubmissionError};

/// `POST /api/jobs`: submits a job. Responds with 201 if the job is new, and with 200 and its
/// state if its id is known.
pub async fn submit(app: web::Data<AppState>, payload: web::Payload) -> HttpResponse {
    match read_body(payload).await {
        Ok(bytes) => answer(&app, PeerRequest::Submit(bytes)).await,
        Err(response) => response,
    }
}

/// `GET /api/jobs/{id}`: returns the state of a job and how many of its tasks are done and running.
pub async fn query(app: web::Data<AppState>, id: web::Path<String>) -> HttpResponse {
    answer(&app, PeerRequest::Query(id.into_inner())).await
}

/// `POST /api/jobs/{id}/withdraw`: cancels a job unless it is done, and returns its state.
pub async fn cancel(app: web::Data<AppState>, id: web::Path<String>) -> HttpResponse {
    answer(&app, PeerRequest::Cancel(id.into_inner())).await
}

/// `GET /ready`: responds with 200 if this node can handle requests, otherwise with 503.
pub async fn ready(app: web::Data<AppState>) -> HttpResponse {
    let is_loaded = app.cache.send(IsLoaded).await.unwrap_or(false);
    let accepts_submissions = app.admission.send(IsReady).await.unwrap_or(false);
    // A node that can neither reach the state service nor forward requests to a peer is not ready.
    // If no node can reach the state service, all stay ready while they are connected.
    let can_handle_requests = is_served(&app).await
        || app.peers.send(HasConnectedPeers).await.unwrap_or(false)
        || app.deployment == Deployment::SingleNode;
    if is_loaded && accepts_submissions && can_handle_requests {
        HttpResponse::Ok().finish()
    } else {
        unavailable("starting")
    }
}

/// Returns whether the state service serves this node.
pub(super) async fn is_served(app: &AppState) -> bool {
    app.cache.send(IsServed).await.unwrap_or(false)
}

/// Answers a request, or forwards it if the state service does not serve this node.
async fn answer(app: &AppState, request: PeerRequest) -> HttpResponse {
    if !is_served(app).await {
        if let Some(answer) = forward(app, ForwardTarget::AnyServed, request.clone()).await {
            return answer;
        }
        // No node that the state service serves has answered, so this node responds as far as it
        // can.
    }
    answer_locally(app, request).await
}

/// Answers a user's request without forwarding it.
pub async fn answer_locally(app: &AppState, request: PeerRequest) -> HttpResponse {
    let response = match request {
        PeerRequest::Submit(bytes) => submit_locally(app, &bytes).await,
        PeerRequest::Query(id) => query_locally(app, &id).await,
        PeerRequest::Cancel(id) => cancel_locally(app, &id).await,
        PeerRequest::Heartbeat(_) | PeerRequest::Status => {
            Err(error_response(StatusCode::BAD_REQUEST, "not a user's request"))
        }
    };
    response.unwrap_or_else(|error| error)
}

fn job_state(view: &JobView) -> JobState {
    match view.record {
        Record::Done { .. } => JobState::Done,
        Record::Cancelled { .. } => JobState::Cancelled,
        Record::Open { .. } if view.running > 0 => JobState::Running,
        Record::Open { .. } => JobState::Queued,
    }
}

/// Looks up a job. Returns an error response if the lookup fails.
async fn look_up(
    app: &AppState,
    id: JobId,
    freshness: Freshness,
) -> Result<Option<JobView>, HttpResponse> {
    match app.cache.send(LookUpJob { id, freshness }).await {
        Ok(Ok(view)) => Ok(view),
        _ => Err(unavailable("the state service can't be asked")),
    }
}

fn no_such_job() -> HttpResponse {
    error_response(StatusCode::NOT_FOUND, "no such job")
}

fn known_job(id: JobId, view: &JobView) -> HttpResponse {
    HttpResponse::Ok().json(JobAnswer::state(id, job_state(view)))
}

async fn submit_locally(app: &AppState, bytes: &[u8]) -> Result<HttpResponse, HttpResponse> {
    let (id, fields) = parse_id(bytes)
        .map_err(|error| error_response(StatusCode::BAD_REQUEST, &error.to_string()))?;
    // A known id is answered with the job's state, whatever the other fields contain.
    if look_up(app, id, Freshness::Cached).await?.is_some() {
        if let Some(view) = look_up(app, id, Freshness::Current).await? {
            return Ok(known_job(id, &view));
        }
    }
    let (status, reason) = match parse_job(id, &fields) {
        Err(error) => (StatusCode::BAD_REQUEST, error.to_string()),
        Ok(spec) => match app.admission.send(SubmitJob(spec)).await {
            Ok(SubmitOutcome::Created) => {
                return Ok(HttpResponse::Created().json(JobAnswer::state(id, JobState::Queued)));
            }
            Ok(SubmitOutcome::Exists) => {
                return match look_up(app, id, Freshness::Current).await? {
                    Some(view) => Ok(known_job(id, &view)),
                    None => Err(unavailable("the job is not readable yet")),
                };
            }
            Ok(SubmitOutcome::Infeasible(reason)) => {
                (StatusCode::UNPROCESSABLE_ENTITY, reason.to_string())
            }
            Ok(SubmitOutcome::TooLarge { bytes, max_bytes }) => {
                let error = SubmissionError::TooLarge(bytes, max_bytes);
                (StatusCode::BAD_REQUEST, error.to_string())
            }
            Ok(SubmitOutcome::Busy(reason)) => return Err(unavailable(&reason.to_string())),
            Err(_) => return Err(unavailable("too many requests")),
        },
    };
    // The cached lookup may have missed a job that another node accepted, so look again before
    // rejecting the submission.
    match look_up(app, id, Freshness::Current).await? {
        Some(view) => Ok(known_job(id, &view)),
        None => Err(error_response(status, &reason)),
    }
}

async fn query_locally(app: &AppState, id: &str) -> Result<HttpResponse, HttpResponse> {
    let id = id.parse().map_err(|_| no_such_job())?;
    let view = look_up(app, id, Freshness::Current).await?.ok_or_else(no_such_job)?;
    let answer = JobAnswer::counts(id, job_state(&view), view.done, view.running);
    Ok(HttpResponse::Ok().json(answer))
}

async fn cancel_locally(app: &AppState, id: &str) -> Result<HttpResponse, HttpResponse> {
    let id = id.parse().map_err(|_| no_such_job())?;
    let state = match app.admission.send(CancelJob(id)).await {
        Ok(CancelOutcome::Cancelled) => JobState::Cancelled,
        Ok(CancelOutcome::Done) => JobState::Done,
        Ok(CancelOutcome::Unknown) => return Err(no_such_job()),
        Ok(CancelOutcome::Busy) | Err(_) => {
            return Err(unavailable("the state service does not answer"));
        }
    };
    Ok(HttpResponse::Ok().json(JobAnswer::state(id, state)))
}
