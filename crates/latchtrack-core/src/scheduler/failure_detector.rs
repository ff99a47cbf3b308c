//! Which machines and zones are unreachable, by heartbeats and unanswered direct calls.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::log_events::{LogEvent, ResignReason};
use super::messages::Effect;
use super::Scheduler;
use crate::constants::*;
use crate::machine::{Machine, TaskPhase};
use crate::Millis;

/// Judges by heartbeats and unanswered calls which machines and zones are unreachable.
#[derive(Clone, Debug, Default)]
pub(super) struct FailureDetector {
    /// What was heard of each zone in this term.
    pub zones: BTreeMap<Arc<str>, ZoneReachability>,
    /// Zones of which nothing is heard, at the last tick.
    pub unreachable_zones: BTreeSet<Arc<str>>,
    /// Since when heartbeats have come by way of other nodes, and none to this one itself.
    pub relayed_since: Option<Millis>,
    pub last_tick_at: Millis,
    /// Since when this node has listened without a pause of its own.
    pub listening_since: Millis,
}

/// What is heard of a zone.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneReachability {
    /// When one of its machines was last heard holding our token.
    pub last_heartbeat_at: Option<Millis>,
    /// Direct calls into it without an answer since.
    pub unanswered_calls: u32,
    /// When it was last unreachable no more.
    pub back: Millis,
}

impl FailureDetector {
    pub fn new(now: Millis) -> Self {
        FailureDetector { last_tick_at: now, listening_since: now, ..FailureDetector::default() }
    }
}

impl Scheduler {
    /// For how long a machine that should speak has been silent while we listened and its zone was
    /// not quiet: when a cut ends, one machine is heard before the others.
    fn observed_silence(&self, now: Millis, m: &Machine) -> Option<Millis> {
        let back = self.failure_detector.zones.get(&m.zone).map_or(0, |sight| sight.back);
        let from = self.failure_detector.listening_since.max(back);
        m.heartbeat_age(now).map(|s| s.min(now.saturating_sub(from)))
    }

    /// Finds the zones of which nothing is heard any more, with enough questions unanswered: rather
    /// a cut between us and them than that many dead machines at once.
    fn detect_unreachable_zones(&mut self, now: Millis) {
        let mut known: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        for m in self.inventory.iter().filter(|m| m.heartbeat_age(now).is_some()) {
            *known.entry(m.zone.clone()).or_default() += 1;
        }
        let quiet = |(zone, n): (Arc<str>, u32)| {
            let sight = self.failure_detector.zones.get(&zone)?;
            let since = sight
                .last_heartbeat_at
                .unwrap_or(self.term_started_at)
                .max(self.failure_detector.listening_since);
            let asked =
                sight.unanswered_calls >= ZONE_UNANSWERED_CALLS.min(MIN_UNANSWERED_CALLS * n);
            let is = n as usize >= MIN_MACHINES_TO_JUDGE
                && asked
                && now >= since + ZONE_UNREACHABLE_AFTER_MS;
            is.then_some(zone)
        };
        let zones = known.len();
        let quiet: BTreeSet<Arc<str>> = known.into_iter().filter_map(quiet).collect();
        for zone in quiet.difference(&self.failure_detector.unreachable_zones) {
            self.out.push(Effect::Log(LogEvent::ZoneUnreachable { zone: zone.clone() }));
        }
        for zone in self.failure_detector.unreachable_zones.difference(&quiet) {
            self.failure_detector.zones.entry(zone.clone()).or_default().back = now;
            self.out.push(Effect::Log(LogEvent::ZoneReachable { zone: zone.clone() }));
        }
        self.failure_detector.unreachable_zones = quiet;
        // A machine heard in this term shows that we were heard once. A new leader that hears none
        // must not resign: the next would do the same for ever, with nobody to settle them.
        if zones > 0
            && self.failure_detector.unreachable_zones.len() == zones
            && self.inventory.iter().any(Machine::is_up)
        {
            self.out.push(Effect::Resign(ResignReason::NoZoneReachable));
        }
        // Starts would wait for the next report of each machine; another node can call them.
        let since = self
            .failure_detector
            .relayed_since
            .map(|at| at.max(self.failure_detector.listening_since));
        if since.is_some_and(|at| now >= at.saturating_add(self.policy.probe_ms())) {
            self.out.push(Effect::Resign(ResignReason::HeartbeatsOnlyRelayed));
        }
    }

    pub(super) fn detect_silent_machines(&mut self, now: Millis) {
        self.detect_unreachable_zones(now);
        let past_lease = self.policy.worker_lease_expiry_ms();
        let probe_ms = self.policy.probe_ms();
        // They fall silent within a report's time of each other, so all that are overdue count.
        let (mut known, mut overdue) = (0usize, 0usize);
        for m in self
            .inventory
            .iter()
            .filter(|m| !self.failure_detector.unreachable_zones.contains(&m.zone))
        {
            let Some(s) = self.observed_silence(now, m) else { continue };
            known += 1;
            overdue += usize::from(s >= probe_ms);
        }
        let ours =
            known >= MIN_MACHINES_TO_JUDGE && overdue as f64 > known as f64 * MAX_SILENT_SHARE;
        // Other zones are heard, so that it is not us.
        let last_heartbeat_at = self.failure_detector.zones.iter().any(|(z, s)| {
            s.last_heartbeat_at.is_some() && !self.failure_detector.unreachable_zones.contains(z)
        });
        let mut given_up = Vec::new();
        for m in self.inventory.iter().filter(|m| !m.to_terminate) {
            let Some(s) = self.observed_silence(now, m) else { continue };
            let give_up = if !self.failure_detector.unreachable_zones.contains(&m.zone) {
                let limit = if m.is_up() {
                    self.policy.heartbeat_timeout_ms
                } else {
                    self.policy.reconcile_timeout_ms
                };
                // Silence is the machine's only if it was asked and did not answer: a node that is
                // late hears late. Past its lease it has no task left in any case.
                let asked = m.unanswered_calls >= MIN_UNANSWERED_CALLS || m.addr.is_none();
                s >= limit && (asked && !ours || s >= past_lease)
            } else if m.is_unreconciled() && last_heartbeat_at {
                // All older jobs wait for it, in the zones that are heard too.
                s >= self.policy.reconcile_timeout_ms
            } else {
                // Its work goes on until its lease has run out, and it is there when the cut ends.
                s >= past_lease + UNREACHABLE_ZONE_GRACE_MS
            };
            if give_up {
                given_up.push((m.name.to_string(), s));
            }
        }
        for (name, s) in given_up {
            if let Some(m) = self.inventory.get_mut(&name) {
                m.to_terminate = true;
                self.out.push(Effect::Log(LogEvent::MachineUnreachable {
                    machine: name,
                    silent_ms: s,
                }));
            }
        }
        self.expire_worker_leases(now);
        if now.saturating_sub(self.term_started_at) >= past_lease {
            self.expire_unreconciled(now);
        }
    }

    /// A machine that nobody has answered for its lease and a margin has killed its tasks and moved
    /// on to the next session, and commands that are still on their way belong to the ended one. The
    /// tasks may go elsewhere; the machine stays, it may only be cut off.
    fn expire_worker_leases(&mut self, now: Millis) {
        let past_lease = self.policy.worker_lease_expiry_ms();
        let expired: Vec<String> = self
            .inventory
            .iter()
            .filter(|m| !m.runs.is_empty() && m.heartbeat_older_than(now, past_lease))
            .map(|m| m.name.to_string())
            .collect();
        for name in expired {
            let Some(m) = self.inventory.get_mut(&name) else { continue };
            // What comes of the ended session from now on is old news.
            m.latest_message = (m.latest_message.0 + 1, 0);
            m.idle_since = None;
            let runs = std::mem::take(&mut m.runs);
            let n = runs.len();
            self.out.push(Effect::Log(LogEvent::WorkerLeaseExpired {
                machine: name.clone(),
                task_runs: n,
            }));
            for run in runs.values() {
                self.release_run(now, &name, run);
            }
        }
    }

    /// Past its lease since the take-over a machine of an earlier leader that never showed our
    /// token holds none of its tasks any more: nobody else can have answered it, and a command that
    /// is still on its way belongs to a session that has ended. It goes back, and holds up nobody.
    fn expire_unreconciled(&mut self, now: Millis) {
        for (name, revision) in std::mem::take(&mut self.persistence.unreadable_machine_sets) {
            self.persistence.machine_sets.load(&name, revision, []);
            self.cycle_timer.requested = true;
        }
        for m in self.inventory.iter_mut().filter(|m| m.is_unreconciled()) {
            m.inherited = false;
            m.to_terminate = true;
            self.cycle_timer.requested = true;
            let ms = now.saturating_sub(self.term_started_at);
            self.out.push(Effect::Log(LogEvent::UnreconciledMachineExpired {
                machine: m.name.to_string(),
                term_ms: ms,
            }));
        }
    }

    /// A machine whose reports arrive while launches don't reach it is judged by what it was seen
    /// to take. Given tasks again and again, it would keep them from running elsewhere.
    pub(super) fn detect_ignored_launches(&mut self, now: Millis) {
        for m in self.inventory.iter_mut().filter(|m| !m.to_terminate) {
            let deaf = m.runs.values().any(|r| {
                r.phase == TaskPhase::Assigned
                    && r.launch_sends >= MAX_IGNORED_LAUNCHES
                    && now.saturating_sub(r.first_launch_at) >= IGNORED_LAUNCHES_MS
            });
            if deaf {
                m.to_terminate = true;
                let machine = m.name.to_string();
                self.out.push(Effect::Log(LogEvent::LaunchesIgnored { machine }));
            }
        }
    }
}
