//! Which machines and zones are unreachable, by heartbeats and unanswered direct calls.
//!
//! Silence is held against a machine only while this node could hear it: not after a pause of its
//! own, not while the machine's whole zone is unreachable, and not while most machines are silent
//! at once, which rather shows a fault of this node.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::log_events::{LogEvent, ResignReason};
use super::messages::Effect;
use super::Scheduler;
use crate::constants::{
    IGNORED_LAUNCHES_MS, MAX_IGNORED_LAUNCHES, MAX_SILENT_SHARE, MAX_TICK_GAP_MS,
    MIN_MACHINES_FOR_OUTAGE, MIN_UNANSWERED_CALLS, UNREACHABLE_ZONE_GRACE_MS,
    ZONE_UNANSWERED_CALLS, ZONE_UNREACHABLE_AFTER_MS,
};
use crate::machine::{Machine, TaskPhase};
use crate::Millis;

/// Judges by heartbeats and unanswered calls which machines and zones are unreachable.
#[derive(Clone, Debug)]
pub(super) struct FailureDetector {
    term_started_at: Millis,
    /// What was heard of each zone in this term.
    zones: BTreeMap<Arc<str>, ZoneReachability>,
    /// Zones of which nothing is heard, at the last tick.
    unreachable_zones: BTreeSet<Arc<str>>,
    /// Since when heartbeats have come by way of other nodes, and none to this one itself.
    relayed_since: Option<Millis>,
    last_tick_at: Millis,
    /// Since when this node has listened without a pause of its own.
    listening_since: Millis,
}

/// What is heard of a zone.
#[derive(Clone, Debug, Default)]
struct ZoneReachability {
    /// When one of its machines was last heard holding this term's token.
    last_heartbeat_at: Option<Millis>,
    /// Direct calls into it without an answer since.
    unanswered_calls: u32,
    /// When it last ceased to be unreachable.
    reachable_since: Millis,
}

/// Whose fault it is that machines are silent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SilenceCause {
    /// Single machines are silent, each by itself.
    Machines,
    /// So many are silent that this node rather does not hear them.
    ThisNode,
}

/// Zones that became unreachable or reachable with a tick, in the order of their names.
struct ZoneChanges {
    lost: Vec<Arc<str>>,
    recovered: Vec<Arc<str>>,
}

impl FailureDetector {
    /// A detector that listens from the start of the term on.
    pub fn new(now: Millis) -> Self {
        FailureDetector {
            term_started_at: now,
            zones: BTreeMap::new(),
            unreachable_zones: BTreeSet::new(),
            relayed_since: None,
            last_tick_at: now,
            listening_since: now,
        }
    }

    /// A machine of the zone was heard holding this term's token.
    pub fn heartbeat_observed(&mut self, now: Millis, zone: &Arc<str>) {
        let zone = self.zones.entry(zone.clone()).or_default();
        (zone.last_heartbeat_at, zone.unanswered_calls) = (Some(now), 0);
    }

    /// A heartbeat came to this node itself, or a worker answered its call.
    pub fn worker_reached_directly(&mut self) {
        self.relayed_since = None;
    }

    /// A heartbeat came by way of another node.
    pub fn heartbeat_relayed(&mut self, now: Millis) {
        self.relayed_since.get_or_insert(now);
    }

    /// A direct call into the zone ended without an answer.
    pub fn call_unanswered(&mut self, zone: &Arc<str>) {
        self.zones.entry(zone.clone()).or_default().unanswered_calls += 1;
    }

    /// Direct calls into the zone that ended without an answer since it was last heard.
    pub fn unanswered_calls(&self, zone: &str) -> u32 {
        self.zones.get(zone).map_or(0, |zone| zone.unanswered_calls)
    }

    /// Notes a tick. After a gap between two, the node did not lead or stood still: the machines
    /// spoke meanwhile, and nobody listened.
    pub fn observe_tick(&mut self, now: Millis) {
        if now > self.last_tick_at.saturating_add(MAX_TICK_GAP_MS) {
            self.listening_since = now;
        }
        self.last_tick_at = now;
    }

    /// Whether this node has listened without a pause for at least `ms`.
    pub fn has_listened_for(&self, now: Millis, ms: Millis) -> bool {
        now >= self.listening_since.saturating_add(ms)
    }

    /// Whether nothing was heard of the zone, at the last tick.
    pub fn is_unreachable(&self, zone: &str) -> bool {
        self.unreachable_zones.contains(zone)
    }

    /// The zones of which nothing was heard, at the last tick, by name.
    pub fn unreachable_zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.unreachable_zones.iter()
    }

    /// Whether there was no unreachable zone at the last tick.
    pub fn all_zones_reachable(&self) -> bool {
        self.unreachable_zones.is_empty()
    }

    /// For how long, in ms, a machine that should send heartbeats has been silent while this node
    /// listened and the machine's zone was reachable: when a network partition ends, one machine is
    /// heard before the others. `None` for one that is not expected to send any yet.
    pub fn observed_silence(&self, now: Millis, machine: &Machine) -> Option<Millis> {
        let reachable_since = self.zones.get(&machine.zone).map_or(0, |zone| zone.reachable_since);
        let since = self.listening_since.max(reachable_since);
        machine.heartbeat_age(now).map(|age| age.min(now.saturating_sub(since)))
    }

    /// Finds the unreachable zones among those given with their counts of machines. So many silent
    /// machines at once with calls unanswered rather show a network partition than that all died.
    fn judge_zones(&mut self, now: Millis, machines: BTreeMap<Arc<str>, u32>) -> ZoneChanges {
        let unreachable: BTreeSet<Arc<str>> = machines
            .into_iter()
            .filter(|(zone, machines)| self.looks_unreachable(now, zone, *machines))
            .map(|(zone, _)| zone)
            .collect();
        let lost = unreachable.difference(&self.unreachable_zones).cloned().collect();
        let recovered: Vec<_> = self.unreachable_zones.difference(&unreachable).cloned().collect();
        for zone in &recovered {
            self.zones.entry(zone.clone()).or_default().reachable_since = now;
        }
        self.unreachable_zones = unreachable;
        ZoneChanges { lost, recovered }
    }

    fn looks_unreachable(&self, now: Millis, zone: &str, machines: u32) -> bool {
        let Some(zone) = self.zones.get(zone) else { return false };
        let since =
            zone.last_heartbeat_at.unwrap_or(self.term_started_at).max(self.listening_since);
        let enough_calls = ZONE_UNANSWERED_CALLS.min(MIN_UNANSWERED_CALLS * machines);
        machines as usize >= MIN_MACHINES_FOR_OUTAGE
            && zone.unanswered_calls >= enough_calls
            && now >= since + ZONE_UNREACHABLE_AFTER_MS
    }

    /// Whether a zone that was heard in this term is reachable: then this node can hear.
    fn is_any_zone_heard(&self) -> bool {
        self.zones.iter().any(|(name, zone)| {
            zone.last_heartbeat_at.is_some() && !self.unreachable_zones.contains(name)
        })
    }

    /// Whether for at least `ms` of listening all heartbeats came by way of other nodes.
    fn hears_relayed_only_for(&self, now: Millis, ms: Millis) -> bool {
        self.relayed_since.is_some_and(|at| now >= at.max(self.listening_since).saturating_add(ms))
    }

    /// Whose fault the silence of machines is: if a large share of those in reachable zones is
    /// overdue, rather this node's. Machines fall silent within a heartbeat interval of each other,
    /// so all that are overdue count.
    fn silence_cause<'a>(
        &self,
        now: Millis,
        machines: impl Iterator<Item = &'a Machine>,
        overdue_after_ms: Millis,
    ) -> SilenceCause {
        let silences: Vec<Millis> = machines
            .filter(|machine| !self.is_unreachable(&machine.zone))
            .filter_map(|machine| self.observed_silence(now, machine))
            .collect();
        let overdue = silences.iter().filter(|silent_ms| **silent_ms >= overdue_after_ms).count();
        if silences.len() >= MIN_MACHINES_FOR_OUTAGE
            && overdue as f64 > silences.len() as f64 * MAX_SILENT_SHARE
        {
            SilenceCause::ThisNode
        } else {
            SilenceCause::Machines
        }
    }
}

impl Scheduler {
    /// Finds the machines and zones that are unreachable, gives up machines past the heartbeat
    /// timeout, and releases what was on machines whose worker lease has expired.
    pub(super) fn detect_failures(&mut self, now: Millis) {
        self.detect_unreachable_zones(now);
        self.resign_if_isolated(now);
        self.give_up_silent_machines(now);
        self.expire_worker_leases(now);
        let term_ms = now.saturating_sub(self.term_started_at);
        if term_ms >= self.policy.worker_lease_expiry_ms() {
            self.release_unreconciled(term_ms);
        }
    }

    fn detect_unreachable_zones(&mut self, now: Millis) {
        let mut machines: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        for machine in self.inventory.iter().filter(|m| m.heartbeat_age(now).is_some()) {
            *machines.entry(machine.zone.clone()).or_default() += 1;
        }
        let zones = machines.len();
        let changes = self.failure_detector.judge_zones(now, machines);
        for zone in changes.lost {
            self.effects.push(Effect::Log(LogEvent::ZoneUnreachable { zone }));
        }
        for zone in changes.recovered {
            self.effects.push(Effect::Log(LogEvent::ZoneReachable { zone }));
        }
        // A machine heard in this term shows that this node was heard once. A new leader that hears
        // none must not resign: the next would do the same for ever, and none would reconcile them.
        if zones > 0
            && self.failure_detector.unreachable_zones.len() == zones
            && self.inventory.iter().any(Machine::is_up)
        {
            self.effects.push(Effect::Resign(ResignReason::NoZoneReachable));
        }
    }

    /// Resigns while heartbeats come by way of other nodes only: starts would wait for the next
    /// heartbeat of each machine, and another node can call the workers.
    fn resign_if_isolated(&mut self, now: Millis) {
        if self.failure_detector.hears_relayed_only_for(now, self.policy.probe_ms()) {
            self.effects.push(Effect::Resign(ResignReason::HeartbeatsOnlyRelayed));
        }
    }

    fn give_up_silent_machines(&mut self, now: Millis) {
        let cause =
            self.failure_detector.silence_cause(now, self.inventory.iter(), self.policy.probe_ms());
        let mut given_up: Vec<(String, Millis)> = Vec::new();
        for machine in self.inventory.iter().filter(|machine| !machine.to_terminate) {
            let Some(silent_ms) = self.failure_detector.observed_silence(now, machine) else {
                continue;
            };
            if self.is_past_heartbeat_timeout(machine, silent_ms, cause) {
                given_up.push((machine.name.to_string(), silent_ms));
            }
        }
        for (name, silent_ms) in given_up {
            if let Some(machine) = self.inventory.get_mut(&name) {
                machine.to_terminate = true;
                let event = LogEvent::MachineUnreachable { machine: name, silent_ms };
                self.effects.push(Effect::Log(event));
            }
        }
    }

    /// Whether a machine that was silent for this long is given up.
    fn is_past_heartbeat_timeout(
        &self,
        machine: &Machine,
        silent_ms: Millis,
        cause: SilenceCause,
    ) -> bool {
        let past_lease = self.policy.worker_lease_expiry_ms();
        if !self.failure_detector.is_unreachable(&machine.zone) {
            let timeout = if machine.is_up() {
                self.policy.heartbeat_timeout_ms
            } else {
                self.policy.reconcile_timeout_ms
            };
            // Silence is the machine's only if it was called and did not answer: a node that is
            // late hears late. Past its lease it has no task left in any case.
            let called = machine.unanswered_calls >= MIN_UNANSWERED_CALLS || machine.addr.is_none();
            silent_ms >= timeout
                && (called && cause == SilenceCause::Machines || silent_ms >= past_lease)
        } else if machine.is_unreconciled() && self.failure_detector.is_any_zone_heard() {
            // Other zones are heard, so it is not this node; and all older jobs wait for this
            // machine, in those zones too.
            silent_ms >= self.policy.reconcile_timeout_ms
        } else {
            // Its work goes on until its lease has expired, and it is there when the zone is back.
            silent_ms >= past_lease + UNREACHABLE_ZONE_GRACE_MS
        }
    }

    /// A machine whose heartbeats nobody has answered for its worker lease and a margin has killed
    /// its tasks and moved on to the next agent epoch, so that commands on their way are void.
    /// Its tasks may go elsewhere; the machine stays, as it may only be cut off.
    fn expire_worker_leases(&mut self, now: Millis) {
        let past_lease = self.policy.worker_lease_expiry_ms();
        let expired: Vec<String> = self
            .inventory
            .iter()
            .filter(|machine| !machine.runs.is_empty())
            .filter(|machine| machine.heartbeat_older_than(now, past_lease))
            .map(|machine| machine.name.to_string())
            .collect();
        for name in expired {
            let Some(machine) = self.inventory.get_mut(&name) else { continue };
            // Messages of the expired epoch are stale from now on.
            machine.latest_message = machine.latest_message.next_epoch();
            machine.idle_since = None;
            let runs = std::mem::take(&mut machine.runs);
            let event =
                LogEvent::WorkerLeaseExpired { machine: name.clone(), task_runs: runs.len() };
            self.effects.push(Effect::Log(event));
            for run in runs.values() {
                self.release_run(now, &name, run);
            }
        }
    }

    /// Once a worker lease has passed since the term began, a machine of an earlier leader that
    /// never showed this term's token holds none of its tasks any more: nobody else can have
    /// answered it, and a command still on its way belongs to an expired agent epoch. It is
    /// terminated, and no job waits for it.
    fn release_unreconciled(&mut self, term_ms: Millis) {
        if self.persistence.drop_unreadable_machine_sets() {
            self.cycle_timer.request();
        }
        for machine in self.inventory.iter_mut().filter(|machine| machine.is_unreconciled()) {
            machine.inherited = false;
            machine.to_terminate = true;
            self.cycle_timer.request();
            let machine = machine.name.to_string();
            let event = LogEvent::UnreconciledMachineExpired { machine, term_ms };
            self.effects.push(Effect::Log(event));
        }
    }

    /// Gives up machines that send heartbeats while launches don't reach them, judged by what they
    /// were seen to start. Given tasks again and again, such a machine would keep them from running
    /// elsewhere.
    pub(super) fn detect_ignored_launches(&mut self, now: Millis) {
        for machine in self.inventory.iter_mut().filter(|machine| !machine.to_terminate) {
            let ignores_launches = machine.runs.values().any(|run| {
                run.phase == TaskPhase::Assigned
                    && run.launch_sends >= MAX_IGNORED_LAUNCHES
                    && now.saturating_sub(run.first_launch_at) >= IGNORED_LAUNCHES_MS
            });
            if ignores_launches {
                machine.to_terminate = true;
                let machine = machine.name.to_string();
                self.effects.push(Effect::Log(LogEvent::LaunchesIgnored { machine }));
            }
        }
    }
}
