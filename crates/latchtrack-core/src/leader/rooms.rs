//! What a round of placing begins with: the room of each machine, and what the teams use.

use super::limits::TeamUsages;
use super::renting::promised;
use super::shapes::Found;
use super::Cluster;
use crate::job::Demand;
use crate::machine::Machine;
use crate::placement::Room;
use crate::Millis;

/// What one round of placing carries from job to job.
pub(super) struct Round {
    pub rooms: Vec<Room>,
    pub total: Demand,
    pub shapes: Vec<Found>,
    /// What teams use, if any has a limit.
    pub used: TeamUsages,
    /// The same with what this round counts on machines that are on their way.
    pub expected: TeamUsages,
}

impl Cluster {
    /// The room of a machine, if it may be counted on; up ones take no more tasks when they get
    /// silent, and still count as running.
    pub(super) fn room_of(&self, now: Millis, m: &Machine) -> Option<Room> {
        if m.leaving
            || m.unsettled()
            || m.is_slow()
            || m.notice_at.is_some()
            || now < m.probation_until
        {
            return None;
        }
        let t = self.type_of(&m.kind)?;
        let used = m.used()?;
        let reserved = self.reserved_on(&m.name);
        // One on its way in a zone that is not heard will not be of use soon.
        let late = || self.is_late(now, m);
        if !m.up() && (self.quiet.contains(&m.zone) || late()) {
            return None;
        }
        Some(Room {
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
            ready: m.up() && m.stored,
            held: None,
            balance: self.room_balance(m, t),
        })
    }

    pub(super) fn rooms(&self, now: Millis) -> (Vec<Room>, Demand) {
        let mut rooms = Vec::with_capacity(self.machines.len());
        let mut total = Demand::default();
        for m in self.machines.values() {
            let Some(room) = self.room_of(now, m) else { continue };
            if let (true, Some(t)) = (m.up(), self.type_of(&m.kind)) {
                total.cpus += t.cpus;
                total.gpus += t.gpus;
                total.memory_gb += t.memory_gb;
                if m.silent_for(now, self.policy.probe_ms()) {
                    continue;
                }
            }
            rooms.push(room);
        }
        for h in self.hires.values() {
            if let Some(t) = self.type_of(&h.offer.kind) {
                rooms.extend((0..h.number).map(|_| promised(&h.offer, t)));
            }
        }
        (rooms, total)
    }
}
