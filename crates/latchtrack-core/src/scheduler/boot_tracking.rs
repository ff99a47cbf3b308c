//! How long machines take to come up: learnt by type and zone, as like machines are decided as a class.
//!
//! Single machines that are late are replaced, and given back when they seem never to come. When most of
//! a type in a zone are late, giving them back to rent the same again would begin their boots anew, for
//! ever: they are waited for, what is needed meanwhile is rented elsewhere, and a few are rented now and
//! then to see whether the trouble is over.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::log_events::LogEvent;
use super::messages::Effect;
use super::Scheduler;
use crate::constants::*;
use crate::machine::Machine;
use crate::placement::Offer;
use crate::Millis;

/// A type in a zone.
type Class = (Arc<str>, Arc<str>);

/// What is known of the boots of each class.
#[derive(Clone, Debug, Default)]
pub(super) struct BootTracker {
    /// How long those took that came up in this term, the last by name, with when they were up.
    came: BTreeMap<Class, BTreeMap<Arc<str>, (Millis, Millis)>>,
    /// ms that most boots take, by these.
    usual: BTreeMap<Class, Millis>,
    /// Classes of which most machines are late now, with when a few were last rented or given back.
    late: BTreeMap<Class, Trials>,
    looked_at: Option<Millis>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Trials {
    rented: Millis,
    given_back: Millis,
}

impl BootTracker {
    /// A machine is up, so long after its rental.
    pub fn record_boot(&mut self, now: Millis, m: &Machine) {
        let took = now.saturating_sub(m.rented_at);
        // One met by its report was rented at a time that we do not know.
        if m.inherited || took == 0 {
            return;
        }
        let came = self.came.entry(class_of(m)).or_default();
        came.insert(m.name.clone(), (now, took));
        if came.len() > BOOT_SAMPLES {
            came.pop_first();
        }
    }
}

fn class_of(m: &Machine) -> Class {
    (m.kind.clone(), m.zone.clone())
}

fn class_of_offer(offer: &Offer) -> Class {
    (offer.kind.as_str().into(), offer.zone.as_str().into())
}

/// Rented, and neither heard nor given up.
fn is_awaited(m: &Machine) -> bool {
    !m.is_up() && !m.inherited && !m.to_terminate
}

/// The same, and not up as far as the list tells: one that is up and not heard is cut off, which says
/// nothing of boots.
fn is_booting(m: &Machine) -> bool {
    is_awaited(m) && !m.listed_as_running
}

impl Scheduler {
    /// Looks once a second at what has come up and what has not.
    pub(super) fn track_boots(&mut self, now: Millis) {
        if self
            .provisioning
            .boots
            .looked_at
            .is_some_and(|at| now < at.saturating_add(MAX_CYCLE_INTERVAL_MS))
        {
            return;
        }
        self.provisioning.boots.looked_at = Some(now);
        self.provisioning.boots.usual.clear();
        for (class, came) in &mut self.provisioning.boots.came {
            came.retain(|_, (at, _)| now < at.saturating_add(BOOT_SAMPLE_TTL_MS));
            let mut took: Vec<Millis> = came.values().map(|(_, took)| *took).collect();
            took.sort_unstable();
            if took.len() >= MIN_BOOT_SAMPLES {
                self.provisioning.boots.usual.insert(class.clone(), took[took.len() / 2]);
            }
        }
        self.judge_late_boots(now);
        self.terminate_never_joined(now);
    }

    /// Judges each class by its last rentals of which something can be told: those that are up, and those
    /// that should be. The last by their names, which is the order of creation: a few stragglers of long
    /// ago, which are all that a new leader sees boot, say nothing when others came after them.
    fn judge_late_boots(&mut self, now: Millis) {
        let mut told: BTreeMap<Class, (usize, usize, usize)> = BTreeMap::new();
        for m in self.inventory.iter().rev().filter(|m| {
            !m.to_terminate && !self.failure_detector.unreachable_zones.contains(&m.zone)
        }) {
            let due = self.boot_limit(&m.kind, BOOT_LATE_FACTOR);
            let missing = is_booting(m) && now.saturating_sub(m.rented_at) > due;
            if !missing && is_awaited(m) {
                continue;
            }
            let (of, absent, all_absent) = told.entry(class_of(m)).or_default();
            *all_absent += usize::from(missing);
            if *of < BOOT_SAMPLES {
                *of += 1;
                *absent += usize::from(missing);
            }
        }
        let before = std::mem::take(&mut self.provisioning.boots.late);
        let least =
            MIN_BOOT_SAMPLES.max((self.inventory.len() as f64 * MIN_MISSING_SHARE) as usize);
        for (class, (of, missing, all_missing)) in told {
            if all_missing < least || missing * 4 < of * 3 {
                continue;
            }
            if !before.contains_key(&class) {
                let (machine_type, zone) = class.clone();
                self.out.push(Effect::Log(LogEvent::BootsLate { machine_type, zone }));
            }
            let trials = before.get(&class).copied().unwrap_or_default();
            self.provisioning.boots.late.insert(class, trials);
        }
        for (kind, zone) in
            before.keys().filter(|class| !self.provisioning.boots.late.contains_key(class))
        {
            self.out.push(Effect::Log(LogEvent::BootsRecovered {
                machine_type: kind.clone(),
                zone: zone.clone(),
            }));
        }
    }

    /// Machines that seem never to come up go back; of a class that is late a few at a time, until none
    /// can be hoped for.
    fn terminate_never_joined(&mut self, now: Millis) {
        let mut never_joined: Vec<(Millis, String)> = Vec::new();
        for m in self.inventory.iter().filter(|m| is_awaited(m)) {
            let age = now.saturating_sub(m.rented_at);
            if age > self.boot_failed_after_ms(m) {
                never_joined.push((m.rented_at, m.name.to_string()));
            }
        }
        never_joined.sort();
        let mut few: BTreeMap<Class, usize> = BTreeMap::new();
        for (rented, name) in never_joined {
            let Some(m) = self.inventory.get(&name) else { continue };
            let class = class_of(m);
            let ever = self.boot_limit(&m.kind, BOOT_FAILED_FACTOR_WHILE_LATE);
            if let Some(trials) = self.provisioning.boots.late.get_mut(&class) {
                let few = few.entry(class).or_default();
                let due =
                    *few > 0 || now >= trials.given_back.saturating_add(BOOT_TRIAL_INTERVAL_MS);
                if now.saturating_sub(rented) <= ever && (!due || *few >= BOOT_TRIAL_MACHINES) {
                    continue;
                }
                *few += 1;
                trials.given_back = now;
            }
            if let Some(m) = self.inventory.get_mut(&name) {
                m.to_terminate = true;
            }
            self.out.push(Effect::Log(LogEvent::MachineNeverJoined { machine: name }));
        }
    }

    /// Types and zones of which most boots are late.
    pub fn late_boot_pools(&self) -> Vec<String> {
        self.provisioning
            .boots
            .late
            .keys()
            .map(|(kind, zone)| format!("{kind} in {zone}"))
            .collect()
    }

    /// How many machines are not up though they should be.
    pub(super) fn late_boots(&self, now: Millis) -> usize {
        let late = |m: &&Machine| is_booting(m) && self.is_late(now, m);
        self.inventory.iter().filter(late).count()
    }

    /// How many machines of an offer may be rented: of a class that is late a few now and then, as more
    /// of them would not help sooner.
    pub(super) fn max_provisionable(&self, now: Millis, offer: &Offer) -> u32 {
        match self.provisioning.boots.late.get(&class_of_offer(offer)) {
            Some(trials) if now < trials.rented.saturating_add(BOOT_TRIAL_INTERVAL_MS) => 0,
            Some(_) => BOOT_TRIAL_MACHINES as u32,
            None => MAX_MACHINES_PER_PROVISION,
        }
    }

    pub(super) fn rented(&mut self, now: Millis, offer: &Offer) {
        if let Some(trials) = self.provisioning.boots.late.get_mut(&class_of_offer(offer)) {
            trials.rented = now;
        }
    }

    /// ms that boots of the machine's class have lately taken, 0 if too few were seen.
    fn typical_boot_ms(&self, m: &Machine) -> f64 {
        self.provisioning.boots.usual.get(&class_of(m)).copied().unwrap_or(0) as f64
    }

    /// Whether a machine that is not up is too old to be counted on.
    pub(super) fn is_late(&self, now: Millis, m: &Machine) -> bool {
        let limit = self.boot_limit(&m.kind, BOOT_LATE_FACTOR);
        now.saturating_sub(m.rented_at)
            > limit.max((self.typical_boot_ms(m) * BOOT_LATE_FACTOR) as Millis)
    }

    /// Age from which a machine that is not up may be given back.
    fn boot_failed_after_ms(&self, m: &Machine) -> Millis {
        let limit = self.boot_limit(&m.kind, BOOT_FAILED_FACTOR);
        limit.max((self.typical_boot_ms(m) * BOOT_LATE_FACTOR) as Millis)
    }

    /// So many times what the cloud says a boot of this type takes.
    fn boot_limit(&self, kind: &str, times: f64) -> Millis {
        let machine_type = self.inventory.type_named(kind);
        let nominal = machine_type.map_or(DEFAULT_BOOT_S, |t| t.boot_s.max(0.0));
        ((nominal * times * 1000.0) as Millis).saturating_add(BOOT_GRACE_MS)
    }
}
