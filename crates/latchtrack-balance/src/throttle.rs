//! Limits how often moves begin: by a budget for the cluster, and cooldowns for machines and tasks.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::constants::MINUTE_MS;
use crate::moves::MoveUnit;
use crate::Millis;

/// Keeps moves within their budget and cooldowns.
#[derive(Clone, Debug, Default)]
pub struct MoveThrottle {
    /// When the moves of the last minute began.
    starts: Vec<Millis>,
    /// When the cooldowns of machines end.
    machine_cooldowns: BTreeMap<Arc<str>, Millis>,
    /// When units last began to move.
    unit_starts: BTreeMap<MoveUnit, Millis>,
}

impl MoveThrottle {
    /// Moves that may begin now, of `moves_per_minute`.
    pub fn remaining_budget(&mut self, now: Millis, moves_per_minute: u32) -> usize {
        self.starts.retain(|at| now < at.saturating_add(MINUTE_MS));
        (moves_per_minute as usize).saturating_sub(self.starts.len())
    }

    /// Whether a machine may take part in no move for now.
    pub fn machine_in_cooldown(&self, now: Millis, machine: &str) -> bool {
        self.machine_cooldowns.get(machine).is_some_and(|until| now < *until)
    }

    /// Keeps a machine out of other moves for this time at least.
    pub fn start_machine_cooldown(&mut self, now: Millis, machine: &Arc<str>, cooldown_ms: Millis) {
        let until = self.machine_cooldowns.entry(machine.clone()).or_default();
        *until = (*until).max(now.saturating_add(cooldown_ms));
    }

    /// Whether a unit began to move within the cooldown.
    pub fn unit_in_cooldown(&self, now: Millis, unit: MoveUnit, cooldown_ms: Millis) -> bool {
        self.unit_starts.get(&unit).is_some_and(|at| now < at.saturating_add(cooldown_ms))
    }

    /// Notes that a move of a unit begins.
    pub fn record_start(&mut self, now: Millis, unit: MoveUnit) {
        self.starts.push(now);
        self.unit_starts.insert(unit, now);
    }

    /// Drops cooldowns that are over.
    pub fn expire(&mut self, now: Millis, cooldown_ms: Millis) {
        self.machine_cooldowns.retain(|_, until| now < *until);
        self.unit_starts.retain(|_, at| now < at.saturating_add(cooldown_ms));
    }
}
