//! Faults that tests inject into the fleet's machines.

use super::FleetState;

impl FleetState {
    /// Partitions a machine from the nodes for `ms` milliseconds.
    pub fn partition(&mut self, name: &str, ms: u64) {
        let until = self.now_ms() + ms;
        self.with_machine(name, |machine| machine.partitioned_until_ms = until);
    }

    /// Pauses a machine for `ms` milliseconds. The phases of its attempts end later by as much.
    pub fn pause(&mut self, name: &str, ms: u64) {
        let until = self.now_ms() + ms;
        self.with_machine(name, |machine| {
            machine.paused_until_ms = until;
            for attempt in machine.attempts.values_mut() {
                attempt.phase_ends_ms = attempt.phase_ends_ms.saturating_add(ms);
            }
        });
    }

    /// Stops a machine and its attempts for good.
    pub fn crash(&mut self, name: &str) {
        self.drop_attempts(name);
        self.with_machine(name, |machine| machine.has_crashed = true);
    }

    /// Makes a machine reject launches for insufficient resources for `ms` milliseconds.
    pub fn reject_launches(&mut self, name: &str, ms: u64) {
        let until = self.now_ms() + ms;
        self.with_machine(name, |machine| machine.rejects_launches_until_ms = until);
    }
}
