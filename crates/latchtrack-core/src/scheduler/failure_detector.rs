//! Detects unreachable machines and zones from heartbeats and unanswered direct calls.
//!
//! Silence counts against a machine only while this node could have received its heartbeats: not
//! after this node itself was suspended, not while the machine's whole zone is unreachable, and not
//! while most machines are silent at once, which suggests a fault of this node.

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

/// Tracks heartbeats and unanswered calls to find unreachable machines and zones.
#[derive(Clone, Debug)]
pub(super) struct FailureDetector {
    term_started_at: Millis,
    /// Reachability of each zone in this term.
    zones: BTreeMap<Arc<str>, ZoneReachability>,
    /// Zones found unreachable at the last tick.
    unreachable_zones: BTreeSet<Arc<str>>,
    /// The time since which all heartbeats have been relayed by other nodes; `None` if the last one
    /// or an answer to a call came directly.
    relayed_since: Option<Millis>,
    last_tick_at: Millis,
    /// The time since which this node has run without a suspension or stall.
    listening_since: Millis,
}

/// Reachability of a zone.
#[derive(Clone, Debug, Default)]
struct ZoneReachability {
    /// The time at which one of its machines last sent a heartbeat with this term's token.
    last_heartbeat_at: Option<Millis>,
    /// The number of unanswered direct calls into the zone since its last heartbeat.
    unanswered_calls: u32,
    /// The time at which it last became reachable again; 0 if it was never unreachable.
    reachable_since: Millis,
}

/// The presumed cause of silent machines.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SilenceCause {
    /// Individual machines have failed independently.
    Machines,
    /// So many are silent that this node has more likely lost its connection.
    ThisNode,
}

/// Zones that became unreachable or reachable again at a tick, each list sorted by name.
struct ZoneChanges {
    became_unreachable: Vec<Arc<str>>,
    recovered: Vec<Arc<str>>,
}

impl FailureDetector {
    /// Creates a detector at the start of a term.
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

    /// Records that a machine of the zone reported this term's token.
    pub fn heartbeat_observed(&mut self, now: Millis, zone: &Arc<str>) {
        let zone = self.zones.entry(zone.clone()).or_default();
        (zone.last_heartbeat_at, zone.unanswered_calls) = (Some(now), 0);
    }

    /// Records a heartbeat sent directly to this node or an answer to its direct call.
    pub fn worker_reached_directly(&mut self) {
        self.relayed_since = None;
    }

    /// Records a heartbeat relayed by another node.
    pub fn heartbeat_relayed(&mut self, now: Millis) {
        self.relayed_since.get_or_insert(now);
    }

    /// Records an unanswered direct call into the zone.
    pub fn call_unanswered(&mut self, zone: &Arc<str>) {
        self.zones.entry(zone.clone()).or_default().unanswered_calls += 1;
    }

    /// Returns the number of unanswered direct calls into the zone since its last heartbeat.
    pub fn unanswered_calls(&self, zone: &str) -> u32 {
        self.zones.get(zone).map_or(0, |zone| zone.unanswered_calls)
    }

    /// Records a tick. A gap between ticks means that this node was not leading or was suspended,
    /// and missed the heartbeats sent meanwhile.
    pub fn observe_tick(&mut self, now: Millis) {
        if now > self.last_tick_at.saturating_add(MAX_TICK_GAP_MS) {
            self.listening_since = now;
        }
        self.last_tick_at = now;
    }

    /// Whether this node has been able to receive heartbeats for at least `ms` without a gap.
    pub fn has_listened_for(&self, now: Millis, ms: Millis) -> bool {
        now >= self.listening_since.saturating_add(ms)
    }

    /// Whether the zone was found unreachable at the last tick.
    pub fn is_unreachable(&self, zone: &str) -> bool {
        self.unreachable_zones.contains(zone)
    }

    /// Returns the zones found unreachable at the last tick, sorted by name.
    pub fn unreachable_zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.unreachable_zones.iter()
    }

    /// Whether no zone was found unreachable at the last tick.
    pub fn all_zones_reachable(&self) -> bool {
        self.unreachable_zones.is_empty()
    }

    /// Returns for how long, in ms, a machine has been silent while this node could receive
    /// heartbeats and the machine's zone was reachable. Time before the zone recovered does not
    /// count, because after a network partition the heartbeats of its machines arrive one after
    /// another. `None` if the machine is not expected to send heartbeats yet.
    pub fn observed_silence(&self, now: Millis, machine: &Machine) -> Option<Millis> {
        let reachable_since = self.zones.get(&machine.zone).map_or(0, |zone| zone.reachable_since);
        let since = self.listening_since.max(reachable_since);
        machine.heartbeat_age(now).map(|age| age.min(now.saturating_sub(since)))
    }

    /// Updates the set of unreachable zones, given the number of machines in each zone. If a whole
    /// zone is silent and calls into it go unanswered, a network partition is more likely than the
    /// failure of all its machines.
    fn update_unreachable_zones(
        &mut self,
        now: Millis,
        machines: BTreeMap<Arc<str>, u32>,
    ) -> ZoneChanges {
        let unreachable: BTreeSet<Arc<str>> = machines
            .into_iter()
            .filter(|(zone, machines)| self.looks_unreachable(now, zone, *machines))
            .map(|(zone, _)| zone)
            .collect();
        let became_unreachable = unreachable.difference(&self.unreachable_zones).cloned().collect();
        let recovered: Vec<_> = self.unreachable_zones.difference(&unreachable).cloned().collect();
        for zone in &recovered {
            self.zones.entry(zone.clone()).or_default().reachable_since = now;
        }
        self.unreachable_zones = unreachable;
        ZoneChanges { became_unreachable, recovered }
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

    /// Whether a zone that has sent heartbeats in this term is reachable, which shows that this
    /// node is connected.
    fn has_reachable_zone(&self) -> bool {
        self.zones.iter().any(|(name, zone)| {
            zone.last_heartbeat_at.is_some() && !self.unreachable_zones.contains(name)
        })
    }

    /// Whether this node has run without a gap for at least `ms` and received only relayed
    /// heartbeats in that time.
    fn received_only_relayed_heartbeats_for(&self, now: Millis, ms: Millis) -> bool {
        self.relayed_since.is_some_and(|at| now >= at.max(self.listening_since).saturating_add(ms))
    }

    /// Returns the presumed cause of silent machines: this node, if more than [`MAX_SILENT_SHARE`]
    /// of the machines in reachable zones have been silent for `silent_after_ms`. When a node loses
    /// its connection, all machines become silent within one heartbeat interval.
    fn silence_cause<'a>(
        &self,
        now: Millis,
        machines: impl Iterator<Item = &'a Machine>,
        silent_after_ms: Millis,
    ) -> SilenceCause {
        let silences: Vec<Millis> = machines
            .filter(|machine| !self.is_unreachable(&machine.zone))
            .filter_map(|machine| self.observed_silence(now, machine))
            .collect();
        let silent = silences.iter().filter(|silent_ms| **silent_ms >= silent_after_ms).count();
        if silences.len() >= MIN_MACHINES_FOR_OUTAGE
            && silent as f64 > silences.len() as f64 * MAX_SILENT_SHARE
        {
            SilenceCause::ThisNode
        } else {
            SilenceCause::Machines
        }
    }
}

impl Scheduler {
    /// Detects unreachable zones, terminates machines past the heartbeat timeout, and releases what
    /// depends on worker leases that have expired.
    pub(super) fn detect_failures(&mut self, now: Millis) {
        self.detect_unreachable_zones(now);
        self.resign_if_isolated(now);
        self.terminate_silent_machines(now);
        self.expire_worker_leases(now);
    }

    fn detect_unreachable_zones(&mut self, now: Millis) {
        let mut machines: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        for machine in self.inventory.iter().filter(|m| m.heartbeat_age(now).is_some()) {
            *machines.entry(machine.zone.clone()).or_default() += 1;
        }
        let zones = machines.len();
        let changes = self.failure_detector.update_unreachable_zones(now, machines);
        for zone in changes.became_unreachable {
            self.effects.push(Effect::Log(LogEvent::ZoneUnreachable { zone }));
        }
        for zone in changes.recovered {
            self.effects.push(Effect::Log(LogEvent::ZoneReachable { zone }));
        }
        // Resign only if some machine has sent a heartbeat in this term. Otherwise each new leader
        // would resign in turn, and none would ever reconcile the machines.
        if zones > 0
            && self.failure_detector.unreachable_zones.len() == zones
            && self.inventory.iter().any(Machine::is_up)
        {
            self.effects.push(Effect::Resign(ResignReason::NoZoneReachable));
        }
    }

    /// Resigns if all heartbeats are relayed by other nodes. This node could launch tasks only in
    /// heartbeat responses, while another node can call the workers directly.
    fn resign_if_isolated(&mut self, now: Millis) {
        if self
            .failure_detector
            .received_only_relayed_heartbeats_for(now, self.policy.probe_after_ms())
        {
            self.effects.push(Effect::Resign(ResignReason::HeartbeatsOnlyRelayed));
        }
    }

    fn terminate_silent_machines(&mut self, now: Millis) {
        let cause = self.failure_detector.silence_cause(
            now,
            self.inventory.iter(),
            self.policy.probe_after_ms(),
        );
        let mut timed_out: Vec<(String, Millis)> = Vec::new();
        for machine in self.inventory.iter().filter(|machine| !machine.to_terminate) {
            let Some(silent_ms) = self.failure_detector.observed_silence(now, machine) else {
                continue;
            };
            if self.is_past_heartbeat_timeout(machine, silent_ms, cause) {
                timed_out.push((machine.name.to_string(), silent_ms));
            }
        }
        for (name, silent_ms) in timed_out {
            if let Some(machine) = self.inventory.get_mut(&name) {
                machine.to_terminate = true;
                let event = LogEvent::MachineUnreachable { machine: name, silent_ms };
                self.effects.push(Effect::Log(event));
            }
        }
    }

    /// Whether a machine that has been silent for this long is to be terminated.
    fn is_past_heartbeat_timeout(
        &self,
        machine: &Machine,
        silent_ms: Millis,
        cause: SilenceCause,
    ) -> bool {
        let lease_expiry_ms = self.policy.worker_lease_expiry_ms();
        if !self.failure_detector.is_unreachable(&machine.zone) {
            let timeout_ms = if machine.is_up() {
                self.policy.heartbeat_timeout_ms
            } else {
                self.policy.reconcile_timeout_ms
            };
            // Silence counts against the machine only if it also left direct calls unanswered: a
            // slow node processes heartbeats late. After a whole lease it is given up in any case.
            let is_unresponsive =
                machine.unanswered_calls >= MIN_UNANSWERED_CALLS || machine.addr.is_none();
            silent_ms >= timeout_ms
                && (is_unresponsive && cause == SilenceCause::Machines
                    || silent_ms >= lease_expiry_ms)
        } else if machine.is_unreconciled() && self.failure_detector.has_reachable_zone() {
            // This node receives heartbeats from another zone, so it is not at fault. All inherited
            // jobs wait for this machine, in other zones too.
            silent_ms >= self.policy.reconcile_timeout_ms
        } else {
            // Its tasks run until its lease expires, and it is useful again when the zone recovers.
            silent_ms >= lease_expiry_ms + UNREACHABLE_ZONE_GRACE_MS
        }
    }

    /// Terminates machines that send heartbeats but do not start the tasks launched on them. Such a
    /// machine would receive tasks again and again and keep them from running elsewhere.
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
