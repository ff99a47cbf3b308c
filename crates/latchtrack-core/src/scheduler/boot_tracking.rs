//! Boot times, measured per machine type and zone, and detection of late boots.
//!
//! A single late machine is replaced, and terminated once it is unlikely to come up. When most
//! machines of a type in a zone are late, terminating them and provisioning the same again would
//! restart their boots forever. The scheduler waits for these machines, provisions replacements
//! elsewhere, and periodically provisions a few machines of the late pool as a trial.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use super::log_events::LogEvent;
use super::messages::Effect;
use super::Scheduler;
use crate::constants::{
    BOOT_FAILED_FACTOR, BOOT_FAILED_FACTOR_WHILE_LATE, BOOT_GRACE_MS, BOOT_LATE_FACTOR,
    BOOT_SAMPLES, BOOT_SAMPLE_TTL_MS, BOOT_TRIAL_INTERVAL_MS, BOOT_TRIAL_MACHINES, DEFAULT_BOOT_S,
    MAX_CYCLE_INTERVAL_MS, MAX_MACHINES_PER_PROVISION, MIN_BOOT_SAMPLES, MIN_LATE_SHARE,
};
use crate::machine::Machine;
use crate::placement::Offer;
use crate::Millis;

/// The machines of one type in one zone, whose boots are evaluated together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MachinePool {
    machine_type: Arc<str>,
    zone: Arc<str>,
}

/// A completed boot.
#[derive(Clone, Copy, Debug)]
struct BootSample {
    up_at: Millis,
    took_ms: Millis,
}

/// The times at which machines of a late pool were last provisioned as a trial, and last
/// terminated.
#[derive(Clone, Copy, Debug, Default)]
struct BootTrials {
    provisioned_at: Millis,
    terminated_at: Millis,
}

/// Counts of the machines of a pool whose boots have completed or are late.
#[derive(Clone, Copy, Debug, Default)]
struct BootCounts {
    /// Number of sampled machines: the most recent by name, at most [`BOOT_SAMPLES`].
    sampled: usize,
    /// Number of sampled machines that are late.
    sampled_late: usize,
    /// Number of late machines, sampled or not.
    late: usize,
}

/// Status of a machine that has exceeded its boot time.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BootStatus {
    /// It may still come up.
    Overdue,
    /// It is so late that it is not expected to come up any more.
    Failed,
}

/// Boot samples and late pools.
#[derive(Clone, Debug, Default)]
pub(super) struct BootTracker {
    /// The most recent boots of this term, by machine name.
    samples: BTreeMap<MachinePool, BTreeMap<Arc<str>, BootSample>>,
    /// Median boot time of the samples, in ms.
    median_ms: BTreeMap<MachinePool, Millis>,
    /// Pools in which most machines are late.
    late: BTreeMap<MachinePool, BootTrials>,
    updated_at: Option<Millis>,
}

/// Pools that became late or recovered, in sorted order.
struct LateChanges {
    late: Vec<MachinePool>,
    recovered: Vec<MachinePool>,
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
    fn add_completed(&mut self) {
        if self.sampled < BOOT_SAMPLES {
            self.sampled += 1;
        }
    }

    fn add_late(&mut self) {
        self.late += 1;
        if self.sampled < BOOT_SAMPLES {
            self.sampled += 1;
            self.sampled_late += 1;
        }
    }

    /// Whether at least three quarters of the sampled boots and at least `min_late` machines are
    /// late.
    fn are_late(&self, min_late: usize) -> bool {
        self.late >= min_late && self.sampled_late * 4 >= self.sampled * 3
    }
}

impl BootTracker {
    /// Records that a machine has come up. A machine adopted from its heartbeat is ignored, since
    /// its provisioning time is unknown.
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

    /// Records a provision request for the offer.
    pub fn record_provision(&mut self, now: Millis, offer: &Offer) {
        if let Some(trials) = self.late.get_mut(&MachinePool::of_offer(offer)) {
            trials.provisioned_at = now;
        }
    }

    /// Returns how many machines of an offer may be provisioned now. A late pool gets only a few
    /// per trial interval, since provisioning more would not provide capacity sooner.
    pub fn max_provisionable(&self, now: Millis, offer: &Offer) -> u32 {
        match self.late.get(&MachinePool::of_offer(offer)) {
            Some(trials) if now < trials.provisioned_at.saturating_add(BOOT_TRIAL_INTERVAL_MS) => 0,
            Some(_) => BOOT_TRIAL_MACHINES as u32,
            None => MAX_MACHINES_PER_PROVISION,
        }
    }

    /// Whether a machine that has not come up may be terminated now, after `terminated` others of
    /// its pool in the same step. In a late pool, machines that may still come up are terminated a
    /// few per trial interval, which starts over with each termination.
    fn allow_termination(
        &mut self,
        now: Millis,
        pool: &MachinePool,
        terminated: usize,
        status: BootStatus,
    ) -> bool {
        let Some(trials) = self.late.get_mut(pool) else { return true };
        let is_due =
            terminated > 0 || now >= trials.terminated_at.saturating_add(BOOT_TRIAL_INTERVAL_MS);
        if status == BootStatus::Overdue && (!is_due || terminated >= BOOT_TRIAL_MACHINES) {
            return false;
        }
        trials.terminated_at = now;
        true
    }

    /// Whether an update is due; if so, records it as done at `now`.
    fn start_update_if_due(&mut self, now: Millis) -> bool {
        if self.updated_at.is_some_and(|at| now < at.saturating_add(MAX_CYCLE_INTERVAL_MS)) {
            return false;
        }
        self.updated_at = Some(now);
        true
    }

    /// Drops expired samples and computes the median boot times of the others.
    fn update_medians(&mut self, now: Millis) {
        self.median_ms.clear();
        for (pool, samples) in &mut self.samples {
            samples.retain(|_, boot| now < boot.up_at.saturating_add(BOOT_SAMPLE_TTL_MS));
            let mut took_ms: Vec<Millis> = samples.values().map(|boot| boot.took_ms).collect();
            took_ms.sort_unstable();
            if took_ms.len() >= MIN_BOOT_SAMPLES {
                self.median_ms.insert(pool.clone(), took_ms[took_ms.len() / 2]);
            }
        }
    }

    /// Updates the set of late pools from their counts.
    fn update_late_pools(
        &mut self,
        counts: BTreeMap<MachinePool, BootCounts>,
        min_late: usize,
    ) -> LateChanges {
        let before = std::mem::take(&mut self.late);
        let mut late = Vec::new();
        for (pool, _) in counts.into_iter().filter(|(_, counts)| counts.are_late(min_late)) {
            if !before.contains_key(&pool) {
                late.push(pool.clone());
            }
            let trials = before.get(&pool).copied().unwrap_or_default();
            self.late.insert(pool, trials);
        }
        let recovered = before.into_keys().filter(|pool| !self.late.contains_key(pool)).collect();
        LateChanges { late, recovered }
    }

    /// Returns the median boot time of the machine's pool in ms, or 0 with too few samples.
    fn median_boot_ms(&self, machine: &Machine) -> f64 {
        self.median_ms.get(&MachinePool::of(machine)).copied().unwrap_or(0) as f64
    }
}

/// Whether a machine is still expected to come up for the first time.
fn is_joining(machine: &Machine) -> bool {
    !machine.is_up() && !machine.inherited && !machine.to_terminate
}

/// Whether a joining machine is not yet running according to the cloud. One that is running but
/// sends no heartbeats is disconnected, which does not count as a late boot.
fn is_booting(machine: &Machine) -> bool {
    is_joining(machine) && !machine.listed_as_running
}

impl Scheduler {
    /// Updates boot times and late pools once per second, and terminates failed boots.
    pub(super) fn track_boots(&mut self, now: Millis) {
        if !self.boot_tracker.start_update_if_due(now) {
            return;
        }
        self.boot_tracker.update_medians(now);
        self.detect_late_boots(now);
        self.terminate_never_joined(now);
    }

    fn detect_late_boots(&mut self, now: Millis) {
        let counts = self.count_boots(now);
        let share = (self.inventory.len() as f64 * MIN_LATE_SHARE) as usize;
        let changes = self.boot_tracker.update_late_pools(counts, MIN_BOOT_SAMPLES.max(share));
        for MachinePool { machine_type, zone } in changes.late {
            self.effects.push(Effect::Log(LogEvent::BootsLate { machine_type, zone }));
        }
        for MachinePool { machine_type, zone } in changes.recovered {
            self.effects.push(Effect::Log(LogEvent::BootsRecovered { machine_type, zone }));
        }
    }

    /// Counts the machines of each pool that are up and those that are late. Only the newest are
    /// sampled (names are in order of creation), so that a few old machines that are still booting
    /// do not make a pool late if newer ones have come up.
    fn count_boots(&self, now: Millis) -> BTreeMap<MachinePool, BootCounts> {
        let mut counts: BTreeMap<MachinePool, BootCounts> = BTreeMap::new();
        for machine in self.inventory.iter().rev() {
            if machine.to_terminate || self.failure_detector.is_unreachable(&machine.zone) {
                continue;
            }
            let limit_ms = self.boot_limit_ms(&machine.machine_type, BOOT_LATE_FACTOR);
            let is_late =
                is_booting(machine) && now.saturating_sub(machine.provisioned_at) > limit_ms;
            if is_late {
                counts.entry(MachinePool::of(machine)).or_default().add_late();
            } else if !is_joining(machine) {
                counts.entry(MachinePool::of(machine)).or_default().add_completed();
            }
        }
        counts
    }

    /// Terminates machines that are unlikely to come up. In a late pool, only a few are terminated
    /// at a time until they are older than [`BOOT_FAILED_FACTOR_WHILE_LATE`] boot times.
    fn terminate_never_joined(&mut self, now: Millis) {
        let mut never_joined: Vec<(Millis, String)> = self
            .inventory
            .iter()
            .filter(|machine| is_joining(machine))
            .filter(|machine| {
                now.saturating_sub(machine.provisioned_at) > self.boot_failed_after_ms(machine)
            })
            .map(|machine| (machine.provisioned_at, machine.name.to_string()))
            .collect();
        never_joined.sort();
        let mut terminated: BTreeMap<MachinePool, usize> = BTreeMap::new();
        for (provisioned_at, name) in never_joined {
            let Some(machine) = self.inventory.get(&name) else { continue };
            let pool = MachinePool::of(machine);
            let failed_ms =
                self.boot_limit_ms(&machine.machine_type, BOOT_FAILED_FACTOR_WHILE_LATE);
            let has_failed = now.saturating_sub(provisioned_at) > failed_ms;
            let status = if has_failed { BootStatus::Failed } else { BootStatus::Overdue };
            let terminated = terminated.entry(pool.clone()).or_default();
            if !self.boot_tracker.allow_termination(now, &pool, *terminated, status) {
                continue;
            }
            *terminated += 1;
            if let Some(machine) = self.inventory.get_mut(&name) {
                machine.to_terminate = true;
            }
            self.effects.push(Effect::Log(LogEvent::MachineNeverJoined { machine: name }));
        }
    }

    /// Returns the machine types and zones in which most boots are late, for display.
    pub fn late_boot_pools(&self) -> Vec<String> {
        self.boot_tracker.late.keys().map(MachinePool::to_string).collect()
    }

    /// Returns the number of machines whose boots are late.
    pub(super) fn count_late_boots(&self, now: Millis) -> usize {
        let is_late = |machine: &&Machine| is_booting(machine) && self.is_boot_late(now, machine);
        self.inventory.iter().filter(is_late).count()
    }

    /// Whether a booting machine has exceeded its expected boot time by so much that placement no
    /// longer counts on it.
    pub(super) fn is_boot_late(&self, now: Millis, machine: &Machine) -> bool {
        let limit_ms = self.boot_limit_ms(&machine.machine_type, BOOT_LATE_FACTOR);
        let median_ms = self.boot_tracker.median_boot_ms(machine);
        now.saturating_sub(machine.provisioned_at)
            > limit_ms.max((median_ms * BOOT_LATE_FACTOR) as Millis)
    }

    /// Returns the age in ms beyond which a machine that is not up may be terminated.
    fn boot_failed_after_ms(&self, machine: &Machine) -> Millis {
        let limit_ms = self.boot_limit_ms(&machine.machine_type, BOOT_FAILED_FACTOR);
        let median_ms = self.boot_tracker.median_boot_ms(machine);
        limit_ms.max((median_ms * BOOT_LATE_FACTOR) as Millis)
    }

    /// Returns `factor` times the boot time that the cloud states for this type, plus a grace
    /// period, in ms.
    fn boot_limit_ms(&self, machine_type: &str, factor: f64) -> Millis {
        let machine_type = self.inventory.type_named(machine_type);
        let nominal_s = machine_type.map_or(DEFAULT_BOOT_S, |t| t.boot_s.max(0.0));
        ((nominal_s * factor * 1000.0) as Millis).saturating_add(BOOT_GRACE_MS)
    }
}
