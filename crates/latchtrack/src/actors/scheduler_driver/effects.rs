//! Passes events to the scheduler and executes its effects.

use std::time::Duration;

use actix::prelude::*;
use latchtrack_core::scheduler::{
    CallOutcome, Effect, Event, LogEvent, ProvisionOutcome, TerminateOutcome,
};
use latchtrack_quota::{LedgerWrite, WriteOutcome};

use super::SchedulerDriver;
use crate::actors::messages::cloud::CloudRequest;
use crate::actors::messages::election::Resign;
use crate::actors::messages::quota::ChangeLedger;
use crate::actors::messages::scheduler::{HeartbeatResponse, SchedulerEvent};
use crate::clock::now_ms;
use crate::constants::NOT_EXECUTED_DELAY_MS;
use crate::wire::workers::{CommandDto, DirectCall};

impl SchedulerDriver {
    /// Passes an event to the scheduler and executes the resulting effects. Returns the response if
    /// the event was a heartbeat that the scheduler answers.
    pub(super) fn handle_event(
        &mut self,
        event: Event,
        ctx: &mut Context<Self>,
    ) -> Option<HeartbeatResponse> {
        let effects = self.scheduler.as_mut()?.handle(now_ms(), event);
        // Without a valid lease, events are still processed, but effects that need it are declined.
        let may_act = self.may_act();
        let mut response = None;
        for effect in effects {
            match effect {
                Effect::Respond { token, commands } => {
                    response = Some(HeartbeatResponse::Commands { token, commands });
                }
                effect if may_act => self.execute(effect, ctx),
                effect => self.decline(effect, ctx),
            }
        }
        response
    }

    /// Executes an effect. Requires a valid lease.
    fn execute(&mut self, effect: Effect, ctx: &mut Context<Self>) {
        let token = self.term.token();
        match effect {
            Effect::CallWorker { machine, addr, token, agent_epoch, call, commands } => {
                let commands = commands.iter().map(CommandDto::from).collect();
                let body = DirectCall { token, agent_epoch, commands };
                self.call_worker(machine, &addr, call, &body, ctx);
            }
            Effect::Provision { request_id, offer, number } => {
                self.cloud.do_send(CloudRequest::Provision { token, request_id, offer, number });
            }
            Effect::Terminate(names) => {
                self.cloud.do_send(CloudRequest::Terminate { token, names });
            }
            Effect::WriteLedger(write) => match &self.quota {
                Some(quota) => quota.changes.do_send(ChangeLedger { token, write }),
                None => self.report_ledger_not_stored(write, ctx),
            },
            effect => self.execute_without_lease(effect, ctx),
        }
    }

    /// Reports an effect that needs a valid lease as not executed; executes the others.
    fn decline(&mut self, effect: Effect, ctx: &mut Context<Self>) {
        match effect {
            Effect::CallWorker { machine, call, .. } => {
                let outcome = CallOutcome::NotSent;
                self.report_later(Event::CallFinished { machine, call, outcome }, ctx);
            }
            Effect::Provision { request_id, .. } => {
                let outcome = ProvisionOutcome::NotExecuted;
                self.report_later(Event::ProvisionFinished { request_id, outcome }, ctx);
            }
            Effect::Terminate(names) => {
                let outcome = TerminateOutcome::Failed;
                self.report_later(Event::TerminateFinished { names, outcome }, ctx);
            }
            Effect::WriteLedger(write) => self.report_ledger_not_stored(write, ctx),
            effect => self.execute_without_lease(effect, ctx),
        }
    }

    /// Executes an effect that needs no valid lease: writes of records are fenced by the leader
    /// key, and the others change nothing outside of this node.
    fn execute_without_lease(&mut self, effect: Effect, ctx: &mut Context<Self>) {
        match effect {
            Effect::ListMachines => {
                self.cloud.do_send(CloudRequest::ListMachines { token: self.term.token() });
            }
            Effect::WritesReady => self.write_records(ctx),
            Effect::Resign(reason) => {
                if let Some(election) = &self.election {
                    election.resign.do_send(Resign { reason: reason.to_string() });
                }
            }
            Effect::Log(LogEvent::Decision(decision)) => tracing::debug!("{decision}"),
            Effect::Log(event) => tracing::info!("{event}"),
            // Handled by the callers.
            Effect::Respond { .. }
            | Effect::CallWorker { .. }
            | Effect::Provision { .. }
            | Effect::Terminate(_)
            | Effect::WriteLedger(_) => {}
        }
    }

    fn report_ledger_not_stored(&self, write: LedgerWrite, ctx: &mut Context<Self>) {
        let outcome = WriteOutcome::NotStored;
        self.report_later(Event::LedgerWriteFinished { write, outcome }, ctx);
    }

    /// Reports to the scheduler, after [`NOT_EXECUTED_DELAY_MS`], that an effect was not executed.
    fn report_later(&self, event: Event, ctx: &mut Context<Self>) {
        let token = self.term.token();
        ctx.notify_later(
            SchedulerEvent { token, event },
            Duration::from_millis(NOT_EXECUTED_DELAY_MS),
        );
    }
}
