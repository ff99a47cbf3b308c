//! Heartbeats: a machine is registered by its first, and reconciled by each.

use std::collections::btree_map::Entry;
use std::collections::HashSet;
use std::sync::Arc;

use super::inventory::new_machine;
use super::log_events::{AdoptionSource, LogEvent, ResignReason};
use super::messages::Effect;
use super::persistence::stored_machine;
use super::task_runs::adopt_run;
use super::Scheduler;
use crate::constants::NEW_MACHINE_PROBE_DELAY_MS;
use crate::job::TaskId;
use crate::machine::{Heartbeat, TaskPhase, TaskRun, TaskStatus};
use crate::Millis;

impl Scheduler {
    pub(super) fn on_heartbeat(&mut self, now: Millis, r: &Heartbeat) {
        if r.token > self.token {
            self.out.push(Effect::Resign(ResignReason::HigherToken));
            return;
        }
        if !self.inventory.was_terminated(&r.machine) {
            self.register(now, r);
            if self.reconcile(now, r) {
                if self.cycle_due(now) {
                    self.run_cycle(now);
                }
                self.backfill(now, &r.machine);
                let answer = self.heartbeat_response(now, &r.machine);
                self.out.push(Effect::Respond(answer));
                self.dispatch(now, Some(&r.machine));
                return;
            }
        }
        // Old news, or a machine that has yet to see our token: it hears it now, and reports again
        // at once. A late copy gets the same answer, which nobody reads.
        self.out.push(Effect::Respond(Vec::new()));
    }

    /// A report of a machine that we do not know: a rental that was executed late, or whose answer
    /// was lost. It is not in the stored set, so no leader has launched anything on it. Only with
    /// our token it is surely there: a copy from before this term may be of a machine long gone.
    fn register(&mut self, now: Millis, r: &Heartbeat) {
        if r.token < self.token || self.inventory.contains(&r.machine) {
            return;
        }
        let m = new_machine(&r.machine, &r.kind, &r.zone, r.spot, now);
        self.inventory.insert(m);
        self.out.push(Effect::Log(LogEvent::MachineAdopted {
            machine: r.machine.clone(),
            source: AdoptionSource::Heartbeat,
        }));
    }

    /// Takes in what a machine says; false if it is old news or proves nothing.
    pub(super) fn reconcile(&mut self, now: Millis, r: &Heartbeat) -> bool {
        let Some(m) = self.inventory.get_mut(&r.machine) else { return false };
        if (r.agent_epoch, r.sequence) <= m.latest_message {
            return false;
        }
        let moved = r.agent_epoch > m.latest_message.0;
        m.latest_message = (r.agent_epoch, r.sequence);
        if r.token < self.token {
            // It may be a late copy. Where to ask is learnt from it, no more.
            if m.addr.is_none() {
                m.addr = Some(r.addr.clone());
                m.heartbeat_expected_since = Some(now);
                m.next_call_at = now + NEW_MACHINE_PROBE_DELAY_MS;
            }
            return false;
        }
        let first = m.last_heartbeat_at.is_none();
        m.last_heartbeat_at = Some(now);
        m.unanswered_calls = 0;
        let sight = self.failure_detector.zones.entry(m.zone.clone()).or_default();
        (sight.last_heartbeat_at, sight.unanswered_calls) = (Some(now), 0);
        m.addr = Some(r.addr.clone());
        m.preempt_at = r.notice_s.map(|s| now.saturating_add((s.max(0.0) * 1000.0) as Millis));
        if first {
            self.cycle_timer.requested = true;
            self.provisioning.boots.record_boot(now, m);
            if !m.persisted {
                let size = stored_machine(m).bytes();
                self.persistence.machine_sets.put(r.machine.clone(), size, true);
            }
        }
        if moved && !m.runs.is_empty() {
            // The worker's lease ran out: it has killed and forgotten everything, and late
            // commands for the old session are void.
            let runs = std::mem::take(&mut m.runs);
            self.out.push(Effect::Log(LogEvent::AgentEpochAdvanced {
                machine: r.machine.clone(),
                task_runs: runs.len(),
            }));
            for run in runs.into_values() {
                self.release_run(now, &r.machine, &run);
            }
            self.cycle_timer.requested = true;
        }
        let Some(m) = self.inventory.get_mut(&r.machine) else { return false };
        let listed: HashSet<(TaskId, u64)> = r.tasks.iter().map(|t| (t.task, t.attempt)).collect();
        let vanished: Vec<(TaskId, u64)> = m
            .runs
            .iter()
            .filter(|(k, run)| run.phase != TaskPhase::Assigned && !listed.contains(k))
            .map(|(k, _)| *k)
            .collect();
        for key in vanished {
            if let Some(run) = self.inventory.get_mut(&r.machine).and_then(|m| m.runs.remove(&key))
            {
                if run.is_live() {
                    self.release_run(now, &r.machine, &run);
                }
            }
        }
        for t in &r.tasks {
            self.reconcile_task(now, &r.machine, t);
        }
        self.update_idle_since(now, &r.machine);
        true
    }

    pub(super) fn reconcile_task(&mut self, now: Millis, machine: &str, t: &TaskStatus) {
        let key = (t.task, t.attempt);
        let kind = self.inventory.get(machine).map(|m| m.kind.clone()).unwrap_or_default();
        let cache_gb = self.inventory.type_named(&kind).map_or(0.0, |t| t.cache_gb);
        let Some(m) = self.inventory.get_mut(machine) else { return };
        let run = match m.runs.entry(key) {
            Entry::Occupied(run) => run.into_mut(),
            Entry::Vacant(free) => {
                let job = self.jobs.get_mut(&t.task.job).filter(|j| t.task.index < j.spec.tasks);
                free.insert(adopt_run(machine, t, job))
            }
        };
        if !run.is_live() || run.phase == t.phase {
            return;
        }
        run.phase = t.phase;
        if t.phase == TaskPhase::Unrecognised {
            self.out.push(Effect::Log(LogEvent::UnrecognisedPhase {
                machine: machine.to_string(),
                task: t.task,
            }));
        }
        if t.phase == TaskPhase::Running {
            run.running_since.get_or_insert(now);
            if let Some(spec) = &run.spec {
                if !m.images.is_last_used(&spec.image) {
                    Arc::make_mut(&mut m.images).used(&spec.image, spec.image_gb, cache_gb);
                }
            }
        }
        if let TaskPhase::Ended(cause) = t.phase {
            let run = run.clone();
            self.on_run_ended(now, machine, &run, cause);
        }
    }

    pub(super) fn update_idle_since(&mut self, now: Millis, machine: &str) {
        let Some(m) = self.inventory.get_mut(machine) else { return };
        if m.runs.values().any(TaskRun::is_live) {
            m.idle_since = None;
        } else {
            m.idle_since.get_or_insert(now);
        }
    }
}
