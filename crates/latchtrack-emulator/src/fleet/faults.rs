//! Faults that a test injects into machines of the fleet.

use super::FleetState;

impl FleetState {
    /// Cuts a machine off: nothing passes between it and the nodes for so many ms.
    pub fn partition(&mut self, name: &str, ms: u64) {
        let until = self.now_ms() + ms;
        self.with_machine(name, |machine| machine.partitioned_until_ms = until);
    }

    /// Pauses a machine: it executes nothing for so many ms, and its tasks take as much longer.
    pub fn pause(&mut self, name: &str, ms: u64) {
        let until = self.now_ms() + ms;
        self.with_machine(name, |machine| {
            machine.paused_until_ms = until;
            for attempt in machine.attempts.values_mut() {
                attempt.phase_ends_ms = attempt.phase_ends_ms.saturating_add(ms);
            }
        });
    }

    /// Stops a machine for good, with all that is on it.
    pub fn crash(&mut self, name: &str) {
        self.drop_attempts(name);
        self.with_machine(name, |machine| machine.has_crashed = true);
    }

    /// Has a machine reject every launch for insufficient resources, for so many ms.
    pub fn reject_launches(&mut self, name: &str, ms: u64) {
        let until = self.now_ms() + ms;
        self.with_machine(name, |machine| machine.rejects_launches_until_ms = until);
    }
}
