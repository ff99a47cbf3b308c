//! Reports of workers.

use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};

use super::{body, later, refuse, Desk};
use crate::actors::leader::{Answer, WorkerReport};
use crate::wire::workers::{parse_report, CommandDto, Elsewhere, Orders};

pub async fn report(desk: web::Data<Desk>, payload: web::Payload) -> HttpResponse {
    let bytes = match body(payload).await {
        Ok(b) => b,
        Err(answer) => return answer,
    };
    let report = match parse_report(&bytes) {
        Ok(r) => r,
        Err(e) => {
            tracing::debug!("a report is of no use: {e}");
            return refuse(StatusCode::BAD_REQUEST, &e.to_string());
        }
    };
    match desk.leader.send(WorkerReport(report)).await {
        Ok(Answer::Orders { token, commands }) => HttpResponse::Ok()
            .json(Orders { token, commands: commands.iter().map(CommandDto::from).collect() }),
        Ok(Answer::Elsewhere(node)) => HttpResponse::build(StatusCode::MISDIRECTED_REQUEST)
            .json(Elsewhere { report_to: node.as_deref() }),
        Ok(Answer::NotNow) | Err(_) => later("not entitled to act now"),
    }
}
