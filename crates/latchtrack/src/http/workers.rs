//! Reports of workers.

use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};

use super::{body, later, pass_on, refuse, AppState};
use crate::actors::leader::{Answer, WorkerReport};
use crate::wire::peers::PeerRequest;
use crate::wire::workers::{parse_report, CommandDto, Elsewhere, Orders};

pub async fn report(app: web::Data<AppState>, payload: web::Payload) -> HttpResponse {
    let bytes = match body(payload).await {
        Ok(b) => b,
        Err(answer) => return answer,
    };
    let answer = judge(&app, &bytes, false).await;
    // A worker that was sent to the leader and is back can't reach it: its report is passed on, and
    // an answer with the leader's token counts from any node.
    if let Ok(Answer::Relay(leader)) = &answer {
        let passed = pass_on(&app, Some(leader.clone()), PeerRequest::Heartbeat(bytes)).await;
        return passed.unwrap_or_else(|| elsewhere(None));
    }
    say(answer)
}

/// Answers at this node only what another has passed on.
pub async fn answer_here(app: &AppState, bytes: &[u8]) -> HttpResponse {
    say(judge(app, bytes, true).await)
}

/// What the leader says to a report, or the refusal of one that is of no use.
async fn judge(app: &AppState, bytes: &[u8], relayed: bool) -> Result<Answer, HttpResponse> {
    let report = parse_report(bytes).map_err(|e| {
        tracing::debug!("a report is of no use: {e}");
        refuse(StatusCode::BAD_REQUEST, &e.to_string())
    })?;
    Ok(app.leader.send(WorkerReport { report, relayed }).await.unwrap_or(Answer::NotNow))
}

fn say(answer: Result<Answer, HttpResponse>) -> HttpResponse {
    match answer {
        Err(refusal) => refusal,
        Ok(Answer::Orders { token, commands }) => HttpResponse::Ok()
            .json(Orders { token, commands: commands.iter().map(CommandDto::from).collect() }),
        Ok(Answer::Elsewhere(node)) => elsewhere(node.as_deref()),
        // Passed on once already, or in vain.
        Ok(Answer::Relay(_)) => elsewhere(None),
        Ok(Answer::NotNow) => later("not entitled to act now"),
    }
}

fn elsewhere(report_to: Option<&str>) -> HttpResponse {
    HttpResponse::build(StatusCode::MISDIRECTED_REQUEST).json(Elsewhere { report_to })
}
