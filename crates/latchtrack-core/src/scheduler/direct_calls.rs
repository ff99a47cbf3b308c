//! Direct calls to workers, with commands or as probes.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::log_events::ResignReason;
use super::messages::{CallOutcome, Effect};
use super::Scheduler;
use crate::constants::{MAX_OPEN_PROBES, MAX_PROBES_PER_UNREACHABLE_ZONE, ZONE_UNANSWERED_CALLS};
use crate::machine::Command;
use crate::Millis;

impl Scheduler {
    /// Asks machines that are silent, or that have not yet shown our token. Paced: a new leader has
    /// a whole fleet to ask.
    pub(super) fn probe_silent_machines(&mut self, now: Millis) {
        let probe_ms = self.policy.probe_ms();
        let mut due: Vec<(Millis, String, Arc<str>)> = Vec::new();
        let mut open: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for m in self.inventory.iter() {
            if m.open_call.is_some() {
                *open.entry(m.zone.clone()).or_default() += 1;
            }
            if m.open_call.is_some()
                || m.termination_sent
                || m.addr.is_none()
                || now < m.next_call_at
            {
                continue;
            }
            let asks = match m.heartbeat_age(now) {
                Some(s) if m.is_up() => s >= probe_ms,
                Some(_) => true,
                None => false,
            };
            if asks {
                due.push((m.next_call_at, m.name.to_string(), m.zone.clone()));
            }
        }
        // Those asked longest ago first.
        due.sort();
        for (_, name, zone) in due {
            if self.dispatcher.open_probes >= MAX_OPEN_PROBES
                || self.dispatcher.open_calls.len() >= self.policy.max_open_calls
            {
                return;
            }
            let open = open.entry(zone.clone()).or_default();
            let unanswered_calls =
                self.failure_detector.zones.get(&zone).map_or(0, |s| s.unanswered_calls);
            if unanswered_calls >= ZONE_UNANSWERED_CALLS && *open >= MAX_PROBES_PER_UNREACHABLE_ZONE
            {
                continue;
            }
            *open += 1;
            self.call(&name, Vec::new());
        }
    }

    pub(super) fn call(&mut self, machine: &str, commands: Vec<Command>) {
        let Some(m) = self.inventory.get_mut(machine) else { return };
        let Some(addr) = m.addr.clone() else { return };
        self.dispatcher.last_call_id += 1;
        m.open_call = Some(self.dispatcher.last_call_id);
        let probing = commands.is_empty();
        self.dispatcher.open_calls.insert(self.dispatcher.last_call_id, probing);
        self.dispatcher.open_probes += usize::from(probing);
        self.out.push(Effect::CallWorker {
            machine: machine.to_string(),
            addr,
            agent_epoch: m.latest_message.0.max(1),
            call: self.dispatcher.last_call_id,
            commands,
        });
    }

    pub(super) fn on_call_finished(
        &mut self,
        now: Millis,
        machine: &str,
        call: u64,
        outcome: CallOutcome,
    ) {
        // Over for the count, be it that the machine is gone meanwhile.
        let probing = self.dispatcher.open_calls.remove(&call).unwrap_or(false);
        self.dispatcher.open_probes -= usize::from(probing);
        let Some(m) = self.inventory.get_mut(machine) else { return };
        if m.open_call != Some(call) {
            return;
        }
        m.open_call = None;
        self.dispatcher.pending.insert(machine.to_string());
        match outcome {
            CallOutcome::Executed(_) | CallOutcome::Rejected(_) => {
                self.failure_detector.relayed_since = None
            }
            CallOutcome::NotSent | CallOutcome::NoAnswer => {
                self.failure_detector.zones.entry(m.zone.clone()).or_default().unanswered_calls +=
                    1;
            }
        }
        match outcome {
            CallOutcome::Executed(r) => {
                m.unanswered_calls = 0;
                if r.machine == machine {
                    self.reconcile(now, &r);
                }
            }
            CallOutcome::Rejected(r) => {
                if r.token > self.token {
                    self.out.push(Effect::Resign(ResignReason::HigherToken));
                    return;
                }
                // Not executed: the launches in it go again with the next answer.
                m.unanswered_calls = 0;
                let known = m.latest_message.0;
                m.next_call_at = if r.agent_epoch > known { now } else { now + 1_000 };
                if r.machine == machine {
                    self.reconcile(now, &r);
                }
            }
            CallOutcome::NotSent => {
                m.unanswered_calls += 1;
                m.next_call_at = now + 500;
            }
            CallOutcome::NoAnswer => {
                m.unanswered_calls += 1;
                m.next_call_at = now + 1_000;
                // Which launches were in it is not kept: each one not yet seen, or ended, counts as
                // possibly in it. Never forgetting one too many costs a line; a question had none.
                for run in m.runs.values_mut().filter(|_| !probing) {
                    run.launch_outcome_unknown = true;
                }
            }
        }
        self.dispatch(now, None);
    }
}
