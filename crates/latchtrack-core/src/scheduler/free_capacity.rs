//! What a round of placing begins with: the room of each machine.

use super::provisioning::pending_capacity;
use super::Scheduler;
use crate::job::Demand;
use crate::machine::Machine;
use crate::placement::FreeCapacity;
use crate::Millis;

impl Scheduler {
    /// The room of a machine, if it may be counted on; up ones take no more tasks when they get
    /// silent, and still count as running.
    pub(super) fn free_capacity_of(&self, now: Millis, m: &Machine) -> Option<FreeCapacity> {
        if m.to_terminate
            || m.is_unreconciled()
            || m.is_slow()
            || m.preempt_at.is_some()
            || now < m.quarantined_until
        {
            return None;
        }
        let t = self.inventory.type_named(&m.kind)?;
        let used = m.allocated()?;
        let reserved = self.load_balancing.reserved_on(&m.name);
        // One on its way in a zone that is not heard will not be of use soon.
        let late = || self.is_late(now, m);
        if !m.is_up() && (self.failure_detector.is_unreachable(&m.zone) || late()) {
            return None;
        }
        Some(FreeCapacity {
            machine: Some(m.name.clone()),
            kind: m.kind.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            size: t.cpus,
            images: m.images.clone(),
            may_hold: m.inherited,
            free: Demand {
                cpus: t.cpus - used.cpus - reserved.cpus,
                gpus: t.gpus - used.gpus - reserved.gpus,
                memory_gb: t.memory_gb - used.memory_gb - reserved.memory_gb,
            },
            ready: m.is_up() && m.persisted,
            held: None,
            balance: self.load_info(m, t),
        })
    }

    pub(super) fn rooms(&self, now: Millis) -> (Vec<FreeCapacity>, Demand) {
        let mut rooms = Vec::with_capacity(self.inventory.len());
        let mut total = Demand::default();
        for m in self.inventory.iter() {
            let Some(room) = self.free_capacity_of(now, m) else { continue };
            if let (true, Some(t)) = (m.is_up(), self.inventory.type_named(&m.kind)) {
                total.cpus += t.cpus;
                total.gpus += t.gpus;
                total.memory_gb += t.memory_gb;
                if m.heartbeat_older_than(now, self.policy.probe_ms()) {
                    continue;
                }
            }
            rooms.push(room);
        }
        for request in self.provisioning.open_requests() {
            if let Some(t) = self.inventory.type_named(&request.offer.kind) {
                rooms.extend((0..request.number).map(|_| pending_capacity(&request.offer, t)));
            }
        }
        (rooms, total)
    }
}
