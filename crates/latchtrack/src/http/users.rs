//! Submit, query, withdraw, ready.

use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use latchtrack_core::job::JobId;

use super::{body, later, pass_on, refuse, AppState};
use crate::actors::intake::{Able, Submit, Submitted, Withdraw, Withdrawn};
use crate::actors::job_cache::{Loaded, Look, Served, View};
use crate::actors::peers::Company;
use crate::wire::peers::PeerRequest;
use crate::wire::records::Record;
use crate::wire::users::{parse_id, parse_job, JobAnswer, State};

fn state(view: &View) -> State {
    match view.record {
        Record::Done { .. } => State::Done,
        Record::Cancelled { .. } => State::Cancelled,
        Record::Open { .. } if view.running > 0 => State::Running,
        Record::Open { .. } => State::Queued,
    }
}

/// Looks a job up; Err is the answer when the state service can't be asked.
async fn look(app: &AppState, id: JobId, fresh: bool) -> Result<Option<View>, HttpResponse> {
    match app.cache.send(Look { id, fresh }).await {
        Ok(Ok(view)) => Ok(view),
        _ => Err(later("the state service can't be asked")),
    }
}

pub async fn submit(app: web::Data<AppState>, payload: web::Payload) -> HttpResponse {
    match body(payload).await {
        Ok(bytes) => answer(&app, PeerRequest::Submit(bytes)).await,
        Err(answer) => answer,
    }
}

pub async fn query(app: web::Data<AppState>, id: web::Path<String>) -> HttpResponse {
    answer(&app, PeerRequest::Query(id.into_inner())).await
}

pub async fn withdraw(app: web::Data<AppState>, id: web::Path<String>) -> HttpResponse {
    answer(&app, PeerRequest::Withdraw(id.into_inner())).await
}

/// Answers here, or, where the state service does not serve this node alone, by another node.
async fn answer(app: &AppState, request: PeerRequest) -> HttpResponse {
    if !served(app).await {
        if let Some(answer) = pass_on(app, None, request.clone()).await {
            return answer;
        }
        // All lack it, or nobody is there: what can be said here is said at once.
    }
    answer_here(app, request).await
}

pub(super) async fn served(app: &AppState) -> bool {
    app.cache.send(Served).await.unwrap_or(false)
}

pub async fn answer_here(app: &AppState, request: PeerRequest) -> HttpResponse {
    match request {
        PeerRequest::Submit(bytes) => {
            submit_body(app, &bytes).await.unwrap_or_else(|answer| answer)
        }
        PeerRequest::Query(id) => query_id(app, &id).await,
        PeerRequest::Withdraw(id) => withdraw_id(app, &id).await,
        PeerRequest::Heartbeat(_) | PeerRequest::Status => {
            refuse(StatusCode::BAD_REQUEST, "not a user's request")
        }
    }
}

async fn submit_body(app: &AppState, bytes: &[u8]) -> Result<HttpResponse, HttpResponse> {
    let (id, map) = match parse_id(bytes) {
        Ok(parsed) => parsed,
        Err(e) => return Err(refuse(StatusCode::BAD_REQUEST, &e.to_string())),
    };
    let known = |view: View| HttpResponse::Ok().json(JobAnswer::state(id, state(&view)));
    // A known id is answered with its state, whatever else the body says.
    if look(app, id, false).await?.is_some() {
        if let Some(view) = look(app, id, true).await? {
            return Ok(known(view));
        }
    }
    let (status, why) = match parse_job(id, &map) {
        Err(e) => (StatusCode::BAD_REQUEST, e.to_string()),
        Ok(spec) => match app.intake.send(Submit(spec)).await {
            Ok(Submitted::Created) => {
                return Ok(HttpResponse::Created().json(JobAnswer::state(id, State::Queued)));
            }
            Ok(Submitted::Exists) => {
                return match look(app, id, true).await? {
                    Some(view) => Ok(known(view)),
                    None => Err(later("the job is not readable yet")),
                };
            }
            Ok(Submitted::Impossible(why)) => (StatusCode::UNPROCESSABLE_ENTITY, why),
            Ok(Submitted::TooLarge(size, most)) => {
                let e = crate::wire::users::BadSubmission::TooLarge(size, most);
                (StatusCode::BAD_REQUEST, e.to_string())
            }
            Ok(Submitted::Busy(why)) => return Err(later(why)),
            Err(_) => return Err(later("too many requests")),
        },
    };
    // Refused only if no node has accepted it before.
    match look(app, id, true).await? {
        Some(view) => Ok(known(view)),
        None => Err(refuse(status, &why)),
    }
}

async fn query_id(app: &AppState, id: &str) -> HttpResponse {
    let Ok(id) = id.parse::<JobId>() else {
        return refuse(StatusCode::NOT_FOUND, "no such job");
    };
    match look(app, id, true).await {
        Ok(Some(v)) => HttpResponse::Ok().json(JobAnswer::counts(id, state(&v), v.done, v.running)),
        Ok(None) => refuse(StatusCode::NOT_FOUND, "no such job"),
        Err(answer) => answer,
    }
}

async fn withdraw_id(app: &AppState, id: &str) -> HttpResponse {
    let Ok(id) = id.parse::<JobId>() else {
        return refuse(StatusCode::NOT_FOUND, "no such job");
    };
    match app.intake.send(Withdraw(id)).await {
        Ok(Withdrawn::Cancelled) => HttpResponse::Ok().json(JobAnswer::state(id, State::Cancelled)),
        Ok(Withdrawn::Done) => HttpResponse::Ok().json(JobAnswer::state(id, State::Done)),
        Ok(Withdrawn::Unknown) => refuse(StatusCode::NOT_FOUND, "no such job"),
        _ => later("the state service does not answer"),
    }
}

pub async fn ready(app: web::Data<AppState>) -> HttpResponse {
    let loaded = app.cache.send(Loaded).await.unwrap_or(false);
    let able = app.intake.send(Able).await.unwrap_or(false);
    // Alone without the state service and without another node to pass requests on to: others
    // will do better. If all lack it they hear each other and stay.
    let useful = served(&app).await || app.peers.send(Company).await.unwrap_or(false) || app.alone;
    if loaded && able && useful {
        HttpResponse::Ok().finish()
    } else {
        later("starting")
    }
}
