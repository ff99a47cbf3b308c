//! How often moves may begin: for the whole cluster, for a machine and for a task.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::constants::MINUTE_MS;
use crate::moves::MoveUnit;
use crate::Millis;

/// Keeps moves within their budgets.
#[derive(Clone, Debug, Default)]
pub struct MoveThrottle {
    /// When the moves of the last minute began.
    begun: Vec<Millis>,
    /// Until when machines take part in no other move.
    machines: BTreeMap<Arc<str>, Millis>,
    units: BTreeMap<MoveUnit, Millis>,
}

impl MoveThrottle {
    /// Moves that may begin now.
    pub fn remaining_budget(&mut self, now: Millis, per_minute: u32) -> usize {
        self.begun.retain(|at| now < at.saturating_add(MINUTE_MS));
        (per_minute as usize).saturating_sub(self.begun.len())
    }

    /// Whether a machine takes part in no other move for now.
    pub fn machine_in_cooldown(&self, now: Millis, machine: &str) -> bool {
        self.machines.get(machine).is_some_and(|until| now < *until)
    }

    /// A machine takes part in no other move for so long.
    pub fn start_machine_cooldown(&mut self, now: Millis, machine: &Arc<str>, ms: Millis) {
        let until = self.machines.entry(machine.clone()).or_default();
        *until = (*until).max(now.saturating_add(ms));
    }

    /// Whether a task was moved within the cooldown.
    pub fn unit_in_cooldown(&self, now: Millis, unit: MoveUnit, cooldown_ms: Millis) -> bool {
        self.units.get(&unit).is_some_and(|at| now < at.saturating_add(cooldown_ms))
    }

    /// A move of this unit begins.
    pub fn record_start(&mut self, now: Millis, unit: MoveUnit) {
        self.begun.push(now);
        self.units.insert(unit, now);
    }

    /// Drops what can no longer hold anything back.
    pub fn expire(&mut self, now: Millis, cooldown_ms: Millis) {
        self.machines.retain(|_, until| now < *until);
        self.units.retain(|_, at| now < at.saturating_add(cooldown_ms));
    }
}
