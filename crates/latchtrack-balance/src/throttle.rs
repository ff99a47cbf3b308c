//! Limits how often moves begin, by a budget for the cluster and cooldowns of machines and tasks.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::constants::MINUTE_MS;
use crate::moves::MoveUnit;
use crate::Millis;

/// Tracks the budget of moves per minute and the cooldowns of machines and units.
#[derive(Clone, Debug, Default)]
pub struct MoveThrottle {
    /// Times at which the moves of the last minute began.
    recent_starts: Vec<Millis>,
    /// End of the cooldown of each machine.
    machine_cooldowns: BTreeMap<Arc<str>, Millis>,
    /// Time at which the last move of each unit began.
    last_starts: BTreeMap<MoveUnit, Millis>,
}

impl MoveThrottle {
    /// Returns how many moves may begin now if `moves_per_minute` are allowed.
    pub fn remaining_budget(&mut self, now: Millis, moves_per_minute: u32) -> usize {
        self.recent_starts.retain(|at| now < at.saturating_add(MINUTE_MS));
        (moves_per_minute as usize).saturating_sub(self.recent_starts.len())
    }

    /// Whether a machine is in cooldown and may not take part in a new move.
    pub fn machine_in_cooldown(&self, now: Millis, machine: &str) -> bool {
        self.machine_cooldowns.get(machine).is_some_and(|until| now < *until)
    }

    /// Starts a cooldown of a machine. One that ends later is not shortened.
    pub fn start_machine_cooldown(&mut self, now: Millis, machine: &Arc<str>, cooldown_ms: Millis) {
        let until = self.machine_cooldowns.entry(machine.clone()).or_default();
        *until = (*until).max(now.saturating_add(cooldown_ms));
    }

    /// Whether a move of the unit began less than `cooldown_ms` ago.
    pub fn unit_in_cooldown(&self, now: Millis, unit: MoveUnit, cooldown_ms: Millis) -> bool {
        self.last_starts.get(&unit).is_some_and(|at| now < at.saturating_add(cooldown_ms))
    }

    /// Records that a move of the unit begins.
    pub fn record_start(&mut self, now: Millis, unit: MoveUnit) {
        self.recent_starts.push(now);
        self.last_starts.insert(unit, now);
    }

    /// Removes cooldowns that are over. `cooldown_ms` is that of units.
    pub fn expire(&mut self, now: Millis, cooldown_ms: Millis) {
        self.machine_cooldowns.retain(|_, until| now < *until);
        self.last_starts.retain(|_, at| now < at.saturating_add(cooldown_ms));
    }
}
