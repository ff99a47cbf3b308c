//! Terminating machines: idle, preempted and given up ones.

use std::collections::BTreeSet;

use super::messages::Effect;
use super::Scheduler;
use crate::constants::STOP_GRACE_S;
use crate::machine::{ExitCause, StopRequest, TaskPhase, TaskRun};
use crate::placement::Offer;
use crate::Millis;

impl Scheduler {
    pub(super) fn on_terminate_finished(&mut self, now: Millis, names: Vec<String>, ok: bool) {
        for name in names {
            if !ok {
                if let Some(m) = self.inventory.get_mut(&name) {
                    m.termination_sent = false;
                }
                continue;
            }
            if let Some(m) = self.inventory.remove(&name) {
                // What went back can be had again.
                let offer =
                    Offer { kind: m.kind.to_string(), zone: m.zone.to_string(), spot: m.spot };
                self.provisioning.exhausted.remove(&offer);
                for run in m.runs.values().filter(|r| r.is_live()) {
                    self.release_run(now, &name, run);
                }
                self.persistence.machine_sets.remove(&name);
                self.dispatcher.pending.remove(&name);
            }
            self.inventory.remember_terminated(name);
        }
        self.cycle_timer.requested = true;
        if self.cycle_due(now) {
            self.run_cycle(now);
            self.dispatch(now, None);
        }
    }

    /// A machine that is to be taken: tasks that can save do so now, the others finish if they can.
    pub(super) fn stop_preempted_tasks(&mut self, now: Millis) {
        let mut gangs = BTreeSet::new();
        for m in self.inventory.iter_mut().filter(|m| m.preempt_at.is_some()) {
            for run in m.runs.values_mut().filter(|r| r.phase == TaskPhase::Running) {
                let Some(spec) = &run.spec else { continue };
                if spec.checkpoint_s > 0.0 && run.stop.is_none() {
                    if spec.gang {
                        gangs.insert(spec.id);
                        continue;
                    }
                    run.stop =
                        Some(StopRequest { grace_s: spec.save_s + STOP_GRACE_S, sent_at: None });
                    self.dispatcher.pending.insert(m.name.to_string());
                }
            }
        }
        for id in gangs {
            self.stop_gang(now, id);
        }
    }

    pub(super) fn terminate_idle_machines(&mut self, now: Millis) {
        let mut back = Vec::new();
        let probe_ms = self.policy.probe_ms();
        for m in self.inventory.iter_mut().filter(|m| !m.termination_sent) {
            let no_runs = !m.runs.values().any(TaskRun::is_live);
            // A result that is not stored is lost with its machine.
            let owes = m.runs.values().any(|r| {
                r.phase == TaskPhase::Ended(ExitCause::Done)
                    && self.jobs.get(&r.task.job).is_some_and(|j| !j.persisted.get(r.task.index))
            });
            // A silent one is not idle: it may be working, or cut off, and is judged by its silence.
            let quiet = m.heartbeat_older_than(now, probe_ms);
            if m.is_up() && no_runs && !m.to_terminate && !quiet {
                let since = *m.idle_since.get_or_insert(now);
                let wait = if m.spot {
                    self.policy.spot_idle_timeout_ms
                } else {
                    self.policy.on_demand_idle_timeout_ms
                };
                // Kept for tasks to come, for instance until the last machine of a gang is up.
                let is_kept = self.reservations.by_machine.contains_key(&m.name)
                    || self.reservations.exclusive.contains(&m.name)
                    || self.load_balancing.is_reserved(&m.name);
                let is_idle = now.saturating_sub(since) >= wait && !is_kept;
                if m.preempt_at.is_some() || m.is_slow() || is_idle {
                    m.to_terminate = true;
                }
            }
            let hears_us = m
                .last_heartbeat_at
                .is_some_and(|h| now.saturating_sub(h) < self.policy.heartbeat_timeout_ms);
            if m.to_terminate && !(owes && hears_us) {
                m.termination_sent = true;
                back.push(m.name.to_string());
            }
        }
        if !back.is_empty() {
            self.out.push(Effect::Terminate(back));
        }
    }
}
