//! How long machines take to come up, learnt for each machine type and zone.
//!
//! Single machines that are late are replaced, and terminated when they seem never to come. When
//! most of a type in a zone are late, to terminate them and provision the same again would begin
//! their boots anew, for ever: they are waited for, what is needed meanwhile is provisioned
//! elsewhere, and a few are provisioned now and then to see whether the trouble is over.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use super::log_events::LogEvent;
use super::messages::Effect;
use super::Scheduler;
use crate::constants::{
    BOOT_FAILED_FACTOR, BOOT_FAILED_FACTOR_WHILE_LATE, BOOT_GRACE_MS, BOOT_LATE_FACTOR,
    BOOT_SAMPLES, BOOT_SAMPLE_TTL_MS, BOOT_TRIAL_INTERVAL_MS, BOOT_TRIAL_MACHINES, DEFAULT_BOOT_S,
    MAX_CYCLE_INTERVAL_MS, MAX_MACHINES_PER_PROVISION, MIN_BOOT_SAMPLES, MIN_MISSING_SHARE,
};
use crate::machine::Machine;
use crate::placement::Offer;
use crate::Millis;

/// Machines whose boots are judged together: those of a type in a zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MachinePool {
    machine_type: Arc<str>,
    zone: Arc<str>,
}

/// A boot that was seen to end.
#[derive(Clone, Copy, Debug)]
struct BootSample {
    up_at: Millis,
    took_ms: Millis,
}

/// When machines of a late pool were last provisioned and given up, as trials.
#[derive(Clone, Copy, Debug, Default)]
struct BootTrials {
    provisioned_at: Millis,
    given_up_at: Millis,
}

/// Machines of a pool of which something can be told.
#[derive(Clone, Copy, Debug, Default)]
struct BootCounts {
    /// The last few by name.
    sampled: usize,
    /// Those of these that should be up and are not.
    sampled_missing: usize,
    /// All that should be up and are not.
    missing: usize,
}

/// Whether a machine that has not come up in its time may still come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BootHope {
    MayCome,
    None,
}

/// What is known of the boots of each pool.
#[derive(Clone, Debug, Default)]
pub(super) struct BootTracker {
    /// The last boots of this term, by the machine's name.
    samples: BTreeMap<MachinePool, BTreeMap<Arc<str>, BootSample>>,
    /// Median boot time by these, in ms.
    typical_ms: BTreeMap<MachinePool, Millis>,
    /// Pools of which most machines are late now.
    late: BTreeMap<MachinePool, BootTrials>,
    updated_at: Option<Millis>,
}

/// Pools that began or ceased to be late, in their order.
struct LateChanges {
    began: Vec<MachinePool>,
    ended: Vec<MachinePool>,
}

impl MachinePool {
    fn of(machine: &Machine) -> Self {
        MachinePool { machine_type: machine.machine_type.clone(), zone: machine.zone.clone() }
    }

    fn of_offer(offer: &Offer) -> Self {
        MachinePool {
            machine_type: offer.machine_type.as_str().into(),
            zone: offer.zone.as_str().into(),
        }
    }
}

impl fmt::Display for MachinePool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} in {}", self.machine_type, self.zone)
    }
}

impl BootCounts {
    fn add_up(&mut self) {
        if self.sampled < BOOT_SAMPLES {
            self.sampled += 1;
        }
    }

    fn add_missing(&mut self) {
        self.missing += 1;
        if self.sampled < BOOT_SAMPLES {
            self.sampled += 1;
            self.sampled_missing += 1;
        }
    }

    /// Whether three quarters of the last boots are late, and at least `min_missing` machines.
    fn are_late(&self, min_missing: usize) -> bool {
        self.missing >= min_missing && self.sampled_missing * 4 >= self.sampled * 3
    }
}

impl BootTracker {
    /// A machine has come up. One adopted by its heartbeat was provisioned at an unknown time, and
    /// says nothing.
    pub fn record_boot(&mut self, now: Millis, machine: &Machine) {
        let took_ms = now.saturating_sub(machine.provisioned_at);
        if machine.inherited || took_ms == 0 {
            return;
        }
        let samples = self.samples.entry(MachinePool::of(machine)).or_default();
        samples.insert(machine.name.clone(), BootSample { up_at: now, took_ms });
        if samples.len() > BOOT_SAMPLES {
            samples.pop_first();
        }
    }

    /// Machines of the offer have been asked for.
    pub fn record_provision(&mut self, now: Millis, offer: &Offer) {
        if let Some(trials) = self.late.get_mut(&MachinePool::of_offer(offer)) {
            trials.provisioned_at = now;
        }
    }

    /// How many machines of an offer may be provisioned now: of a late pool a few now and then, as
    /// more of them would not help sooner.
    pub fn max_provisionable(&self, now: Millis, offer: &Offer) -> u32 {
        match self.late.get(&MachinePool::of_offer(offer)) {
            Some(trials) if now < trials.provisioned_at.saturating_add(BOOT_TRIAL_INTERVAL_MS) => 0,
            Some(_) => BOOT_TRIAL_MACHINES as u32,
            None => MAX_MACHINES_PER_PROVISION,
        }
    }

    /// Whether a machine that has not come up is given up now, when `given_up` others of its pool
    /// were in this step. Of a late pool those that may still come are given up a few at a time.
    fn start_give_up(
        &mut self,
        now: Millis,
        pool: &MachinePool,
        given_up: usize,
        hope: BootHope,
    ) -> bool {
        let Some(trials) = self.late.get_mut(pool) else { return true };
        let is_due =
            given_up > 0 || now >= trials.given_up_at.saturating_add(BOOT_TRIAL_INTERVAL_MS);
        if hope == BootHope::MayCome && (!is_due || given_up >= BOOT_TRIAL_MACHINES) {
            return false;
        }
        trials.given_up_at = now;
        true
    }

    /// Whether an update is due; if so, it counts as made.
    fn start_update_if_due(&mut self, now: Millis) -> bool {
        if self.updated_at.is_some_and(|at| now < at.saturating_add(MAX_CYCLE_INTERVAL_MS)) {
            return false;
        }
        self.updated_at = Some(now);
        true
    }

    /// Drops old samples, and learns the typical boot times from the others.
    fn update_typical(&mut self, now: Millis) {
        self.typical_ms.clear();
        for (pool, samples) in &mut self.samples {
            samples.retain(|_, boot| now < boot.up_at.saturating_add(BOOT_SAMPLE_TTL_MS));
            let mut took_ms: Vec<Millis> = samples.values().map(|boot| boot.took_ms).collect();
            took_ms.sort_unstable();
            if took_ms.len() >= MIN_BOOT_SAMPLES {
                self.typical_ms.insert(pool.clone(), took_ms[took_ms.len() / 2]);
            }
        }
    }

    /// Decides which pools are late, by their counts.
    fn judge(&mut self, counts: BTreeMap<MachinePool, BootCounts>, min: usize) -> LateChanges {
        let before = std::mem::take(&mut self.late);
        let mut began = Vec::new();
        for (pool, _) in counts.into_iter().filter(|(_, counts)| counts.are_late(min)) {
            if !before.contains_key(&pool) {
                began.push(pool.clone());
            }
            let trials = before.get(&pool).copied().unwrap_or_default();
            self.late.insert(pool, trials);
        }
        let ended = before.into_keys().filter(|pool| !self.late.contains_key(pool)).collect();
        LateChanges { began, ended }
    }

    /// ms that boots of the machine's pool have lately taken, 0 if too few were seen.
    fn typical_boot_ms(&self, machine: &Machine) -> f64 {
        self.typical_ms.get(&MachinePool::of(machine)).copied().unwrap_or(0) as f64
    }
}

/// Provisioned, and neither heard nor given up.
fn is_awaited(machine: &Machine) -> bool {
    !machine.is_up() && !machine.inherited && !machine.to_terminate
}

/// Awaited, and not up as far as the cloud's list tells: one that is up and not heard is cut off,
/// which says nothing of boots.
fn is_booting(machine: &Machine) -> bool {
    is_awaited(machine) && !machine.listed_as_running
}

impl Scheduler {
    /// Learns once a second from what has come up and what has not.
    pub(super) fn track_boots(&mut self, now: Millis) {
        if !self.boot_tracker.start_update_if_due(now) {
            return;
        }
        self.boot_tracker.update_typical(now);
        self.detect_late_boots(now);
        self.terminate_never_joined(now);
    }

    fn detect_late_boots(&mut self, now: Millis) {
        let counts = self.count_boots(now);
        let share = (self.inventory.len() as f64 * MIN_MISSING_SHARE) as usize;
        let changes = self.boot_tracker.judge(counts, MIN_BOOT_SAMPLES.max(share));
        for MachinePool { machine_type, zone } in changes.began {
            self.effects.push(Effect::Log(LogEvent::BootsLate { machine_type, zone }));
        }
        for MachinePool { machine_type, zone } in changes.ended {
            self.effects.push(Effect::Log(LogEvent::BootsRecovered { machine_type, zone }));
        }
    }

    /// Counts in each pool the machines that are up and those that should be. The last by name come
    /// first, which is the order of creation: a few stragglers of long ago, which are all that a
    /// new leader sees boot, say nothing when others came after them.
    fn count_boots(&self, now: Millis) -> BTreeMap<MachinePool, BootCounts> {
        let mut counts: BTreeMap<MachinePool, BootCounts> = BTreeMap::new();
        for machine in self.inventory.iter().rev() {
            if machine.to_terminate || self.failure_detector.is_unreachable(&machine.zone) {
                continue;
            }
            let limit_ms = self.boot_limit_ms(&machine.machine_type, BOOT_LATE_FACTOR);
            let is_missing =
                is_booting(machine) && now.saturating_sub(machine.provisioned_at) > limit_ms;
            if is_missing {
                counts.entry(MachinePool::of(machine)).or_default().add_missing();
            } else if !is_awaited(machine) {
                counts.entry(MachinePool::of(machine)).or_default().add_up();
            }
        }
        counts
    }

    /// Terminates machines that seem never to come up; of a late pool a few at a time, until none
    /// can be hoped for.
    fn terminate_never_joined(&mut self, now: Millis) {
        let mut never_joined: Vec<(Millis, String)> = self
            .inventory
            .iter()
            .filter(|machine| is_awaited(machine))
            .filter(|machine| {
                now.saturating_sub(machine.provisioned_at) > self.boot_failed_after_ms(machine)
            })
            .map(|machine| (machine.provisioned_at, machine.name.to_string()))
            .collect();
        never_joined.sort();
        let mut given_up: BTreeMap<MachinePool, usize> = BTreeMap::new();
        for (provisioned_at, name) in never_joined {
            let Some(machine) = self.inventory.get(&name) else { continue };
            let pool = MachinePool::of(machine);
            let hopeless_ms =
                self.boot_limit_ms(&machine.machine_type, BOOT_FAILED_FACTOR_WHILE_LATE);
            let is_hopeless = now.saturating_sub(provisioned_at) > hopeless_ms;
            let hope = if is_hopeless { BootHope::None } else { BootHope::MayCome };
            let given_up = given_up.entry(pool.clone()).or_default();
            if !self.boot_tracker.start_give_up(now, &pool, *given_up, hope) {
                continue;
            }
            *given_up += 1;
            if let Some(machine) = self.inventory.get_mut(&name) {
                machine.to_terminate = true;
            }
            self.effects.push(Effect::Log(LogEvent::MachineNeverJoined { machine: name }));
        }
    }

    /// Machine types and zones of which most boots are late, for display.
    pub fn late_boot_pools(&self) -> Vec<String> {
        self.boot_tracker.late.keys().map(MachinePool::to_string).collect()
    }

    /// How many machines are not up though they should be.
    pub(super) fn late_boots(&self, now: Millis) -> usize {
        let is_late = |machine: &&Machine| is_booting(machine) && self.is_boot_late(now, machine);
        self.inventory.iter().filter(is_late).count()
    }

    /// Whether a machine that is not up is too old to be counted on.
    pub(super) fn is_boot_late(&self, now: Millis, machine: &Machine) -> bool {
        let limit_ms = self.boot_limit_ms(&machine.machine_type, BOOT_LATE_FACTOR);
        let typical_ms = self.boot_tracker.typical_boot_ms(machine);
        now.saturating_sub(machine.provisioned_at)
            > limit_ms.max((typical_ms * BOOT_LATE_FACTOR) as Millis)
    }

    /// Age in ms from which a machine that is not up may be terminated.
    fn boot_failed_after_ms(&self, machine: &Machine) -> Millis {
        let limit_ms = self.boot_limit_ms(&machine.machine_type, BOOT_FAILED_FACTOR);
        let typical_ms = self.boot_tracker.typical_boot_ms(machine);
        limit_ms.max((typical_ms * BOOT_LATE_FACTOR) as Millis)
    }

    /// A multiple of the time that the cloud names for a boot of this type, and a grace, in ms.
    fn boot_limit_ms(&self, machine_type: &str, factor: f64) -> Millis {
        let machine_type = self.inventory.type_named(machine_type);
        let nominal_s = machine_type.map_or(DEFAULT_BOOT_S, |t| t.boot_s.max(0.0));
        ((nominal_s * factor * 1000.0) as Millis).saturating_add(BOOT_GRACE_MS)
    }
}
