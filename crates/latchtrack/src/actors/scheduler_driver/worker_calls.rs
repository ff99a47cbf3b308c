//! Direct calls to workers.

use actix::prelude::*;
use actix_web::http::StatusCode;
use latchtrack_core::scheduler::{CallId, CallOutcome, Event};

use super::SchedulerDriver;
use crate::constants::CALL_TIMEOUT;
use crate::net::{read_response, CallError};
use crate::wire::workers::{parse_heartbeat, DirectCall};

impl SchedulerDriver {
    /// Sends commands to the address of a worker, and reports the outcome to the scheduler.
    pub(super) fn call_worker(
        &self,
        machine: String,
        addr: &str,
        call: CallId,
        body: &DirectCall,
        ctx: &mut Context<Self>,
    ) {
        let term_token = self.term.token();
        let call_token = body.token;
        // Calls to one worker are rare, and an idle connection to each would occupy a socket.
        let request = self.client.post(format!("http://{addr}/do")).force_close();
        let sent = request.timeout(CALL_TIMEOUT).send_json(body);
        ctx.spawn(read_response(sent).into_actor(self).map(move |result, act, ctx| {
            // The call belongs to an earlier term and is unknown to the current scheduler.
            if act.term.token() != term_token {
                return;
            }
            let outcome = if act.may_act() {
                call_outcome(result)
            } else {
                // Without a valid lease, the response is treated as lost.
                CallOutcome::NoAnswer
            };
            tracing::debug!(machine, %call, token = call_token, outcome = outcome.name(), "direct call finished");
            act.handle_event(Event::CallFinished { machine, call, outcome }, ctx);
        }));
    }
}

fn call_outcome(result: Result<(StatusCode, Vec<u8>), CallError>) -> CallOutcome {
    match result {
        Ok((status, body)) => match (status, parse_heartbeat(&body)) {
            (StatusCode::OK, Ok(heartbeat)) => CallOutcome::Executed(heartbeat),
            (StatusCode::CONFLICT, Ok(heartbeat)) => CallOutcome::Rejected(heartbeat),
            _ => CallOutcome::NoAnswer,
        },
        Err(CallError::NotSent) => CallOutcome::NotSent,
        Err(CallError::OutcomeUnknown) => CallOutcome::NoAnswer,
    }
}
