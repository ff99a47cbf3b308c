//! Direct calls to workers, either carrying commands or as probes.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::decision_log::CommandRoute;
use super::dispatcher::CallKind;
use super::log_events::ResignReason;
use super::messages::{CallId, CallOutcome, Effect};
use super::Scheduler;
use crate::constants::{MAX_PROBES_PER_UNREACHABLE_ZONE, ZONE_UNANSWERED_CALLS};
use crate::machine::{Command, Heartbeat, Machine};
use crate::Millis;

/// Backoff in ms after a call that could not be sent, which says little about the machine.
const NOT_SENT_BACKOFF_MS: Millis = 500;
/// Backoff in ms after a call that the machine did not answer or rejected. A healthy machine sends
/// a heartbeat within that time.
const CALL_BACKOFF_MS: Millis = 1_000;

/// A machine to be probed. Candidates are ordered by the time from which they may be called, the
/// earliest first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ProbeCandidate {
    next_call_at: Millis,
    machine: String,
    zone: Arc<str>,
}

impl Scheduler {
    /// Probes machines that are silent or have not yet reported this term's token. The number of
    /// open probes is limited, because a new leader has to probe every machine.
    pub(super) fn probe_silent_machines(&mut self, now: Millis) {
        let mut open_calls = self.open_calls_by_zone();
        for candidate in self.probe_candidates(now) {
            if !self.dispatcher.may_probe() {
                return;
            }
            let open = open_calls.entry(candidate.zone.clone()).or_default();
            let unanswered = self.failure_detector.unanswered_calls(&candidate.zone);
            // An unanswered call occupies its slot for the whole timeout and delays probes of
            // machines in other zones that would answer.
            if unanswered >= ZONE_UNANSWERED_CALLS && *open >= MAX_PROBES_PER_UNREACHABLE_ZONE {
                continue;
            }
            *open += 1;
            self.call(&candidate.machine, Vec::new());
        }
    }

    fn open_calls_by_zone(&self) -> BTreeMap<Arc<str>, usize> {
        let mut open_calls = BTreeMap::new();
        for machine in self.inventory.iter().filter(|machine| machine.open_call.is_some()) {
            *open_calls.entry(machine.zone.clone()).or_default() += 1;
        }
        open_calls
    }

    fn probe_candidates(&self, now: Millis) -> Vec<ProbeCandidate> {
        let probe_after_ms = self.policy.probe_after_ms();
        let mut candidates: Vec<ProbeCandidate> = self
            .inventory
            .iter()
            .filter(|machine| needs_probe(machine, now, probe_after_ms))
            .map(|machine| ProbeCandidate {
                next_call_at: machine.next_call_at,
                machine: machine.name.to_string(),
                zone: machine.zone.clone(),
            })
            .collect();
        candidates.sort();
        candidates
    }

    /// Sends commands to a machine by a direct call; without commands the call is a probe.
    pub(super) fn call(&mut self, machine: &str, commands: Vec<Command>) {
        let Some(machine) = self.inventory.get_mut(machine) else { return };
        let Some(addr) = machine.addr.clone() else { return };
        let kind = if commands.is_empty() { CallKind::Probe } else { CallKind::Commands };
        let call = self.dispatcher.open_call(kind);
        machine.open_call = Some(call);
        let token = self.fencing.of(machine);
        machine.fencing_token = token;
        let agent_epoch = machine.latest_message.agent_epoch.max(1);
        let machine = machine.name.to_string();
        self.record_commands(&machine, CommandRoute::DirectCall, token, &commands);
        self.effects.push(Effect::CallWorker { machine, addr, token, agent_epoch, call, commands });
    }

    /// Handles the outcome of a direct call.
    pub(super) fn on_call_finished(
        &mut self,
        now: Millis,
        name: &str,
        call: CallId,
        outcome: CallOutcome,
    ) {
        // The call is closed even if its machine has been removed.
        self.dispatcher.close_call(call);
        let Some(machine) = self.inventory.get_mut(name).filter(|m| m.open_call == Some(call))
        else {
            return;
        };
        machine.open_call = None;
        self.dispatcher.wake(name);
        match outcome {
            CallOutcome::Executed(heartbeat) => {
                machine.unanswered_calls = 0;
                self.reconcile_answer(now, name, &heartbeat);
            }
            CallOutcome::Rejected(heartbeat) if self.fencing.is_newer(heartbeat.token) => {
                self.decision_counts.rejected_calls += 1;
                self.effects.push(Effect::Resign(ResignReason::HigherToken));
                return;
            }
            CallOutcome::Rejected(heartbeat) => {
                self.decision_counts.rejected_calls += 1;
                // Not executed: its launches are sent again in the next heartbeat response.
                machine.unanswered_calls = 0;
                let is_new_epoch = heartbeat.agent_epoch > machine.latest_message.agent_epoch;
                machine.next_call_at = if is_new_epoch { now } else { now + CALL_BACKOFF_MS };
                self.reconcile_answer(now, name, &heartbeat);
            }
            CallOutcome::NotSent => self.on_call_unanswered(name, now + NOT_SENT_BACKOFF_MS),
            CallOutcome::NoAnswer => self.on_call_unanswered(name, now + CALL_BACKOFF_MS),
        }
        self.dispatch(now, None);
    }

    /// Counts a call without an answer against its machine, which gets no other before `next_at`.
    fn on_call_unanswered(&mut self, name: &str, next_at: Millis) {
        let Some(machine) = self.inventory.get_mut(name) else { return };
        machine.unanswered_calls += 1;
        machine.next_call_at = next_at;
        self.failure_detector.call_unanswered(&machine.zone);
    }

    /// Reconciles the heartbeat in a worker's answer, unless another machine now has that address.
    fn reconcile_answer(&mut self, now: Millis, machine: &str, heartbeat: &Heartbeat) {
        self.failure_detector.worker_reached_directly();
        if heartbeat.machine == machine {
            self.reconcile(now, heartbeat);
        }
    }
}

fn needs_probe(machine: &Machine, now: Millis, probe_after_ms: Millis) -> bool {
    let may_call = machine.open_call.is_none()
        && !machine.termination_sent
        && machine.addr.is_some()
        && now >= machine.next_call_at;
    may_call
        && machine.heartbeat_age(now).is_some_and(|age| !machine.is_up() || age >= probe_after_ms)
}
