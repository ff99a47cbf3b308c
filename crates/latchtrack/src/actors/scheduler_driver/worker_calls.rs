//! Direct calls of workers.

use actix::prelude::*;
use actix_web::http::StatusCode;
use latchtrack_core::machine::Command;
use latchtrack_core::scheduler::{CallId, CallOutcome, Event};

use super::SchedulerDriver;
use crate::constants::CALL_TIMEOUT;
use crate::net::{read_response, CallError};
use crate::wire::workers::{parse_heartbeat, CommandDto, DirectCall};

impl SchedulerDriver {
    /// Sends commands to a worker's own address, and tells the scheduler the outcome.
    pub(super) fn call_worker(
        &self,
        machine: String,
        addr: &str,
        agent_epoch: u64,
        call: CallId,
        commands: &[Command],
        ctx: &mut Context<Self>,
    ) {
        let token = self.term.token();
        let commands = commands.iter().map(CommandDto::from).collect();
        let body = DirectCall { token, agent_epoch, commands };
        // Each worker is called seldom: an idle connection to each would take a socket.
        let request = self.client.post(format!("http://{addr}/do")).force_close();
        let sent = request.timeout(CALL_TIMEOUT).send_json(&body);
        ctx.spawn(read_response(sent).into_actor(self).map(move |result, act, ctx| {
            // An answer to a call of an earlier term tells this one nothing in its own terms.
            if act.term.token() != token {
                return;
            }
            let outcome = if act.may_act() {
                call_outcome(result)
            } else {
                // The lease is in doubt just now: what was answered is taken for lost.
                CallOutcome::NoAnswer
            };
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
