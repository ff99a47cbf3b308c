//! What is rented, and what machines on their way are counted for.

use std::sync::Arc;

use super::messages::Effect;
use super::rooms::Round;
use super::{Cluster, Hire};
use crate::constants::*;
use crate::job::{Demand, JobSpec};
use crate::machine::MachineType;
use crate::placement;
use crate::placement::{Offer, Room};
use crate::Millis;

impl Cluster {
    /// Rents the first choice that is not known to be exhausted, in the zone alone in which the job must
    /// stay; returns for how many tasks.
    pub(super) fn rent(
        &mut self,
        now: Millis,
        spec: &JobSpec,
        only: Option<&str>,
        left: u32,
        passed: Millis,
        round: &mut Round,
    ) -> u32 {
        if self.hires.len() >= OPEN_HIRES {
            return 0;
        }
        let offers = placement::offers(spec, &self.types, self.rotate);
        let policy = &self.policy;
        let spare = self.is_spare(spec);
        let Some(offer) = offers.into_iter().find(|o| {
            if only.is_some_and(|zone| zone != o.zone) {
                return false;
            }
            // A job that may not use spot machines has nothing to wait for; one that takes what would
            // stand idle is not worth an ordinary one.
            let cheapest = o.spot || !spec.spot;
            let wait = if cheapest { policy.spot_after_ms } else { policy.ordinary_after_ms };
            passed >= wait
                && (cheapest || !spare)
                && self.exhausted.get(o).is_none_or(|until| *until <= now)
                && !self.quiet.contains(o.zone.as_str())
                && self.may_rent(now, o) > 0
        }) else {
            return 0;
        };
        let Some(t) = self.type_of(&offer.kind).cloned() else { return 0 };
        let per_machine = t.holds(&spec.demand).max(1);
        // Like tasks are decided as a class: one call for all of this shape, not one a job. Team
        // limits are left to each job.
        let alike = match self.limit_left(spec, &round.used) {
            u32::MAX => self.jobs.get(&spec.id).map_or(0, |j| round.shapes[j.shape].to_come),
            _ => 0,
        };
        let number =
            left.saturating_add(alike).div_ceil(per_machine).min(self.may_rent(now, &offer));
        self.rented(now, &offer);
        self.next_hire += 1;
        self.rotate = self.rotate.wrapping_add(1);
        let hire = format!("h-{}-{}", self.token, self.next_hire);
        for _ in 0..number {
            round.rooms.push(promised(&offer, &t));
        }
        self.hires.insert(hire.clone(), Hire { offer: offer.clone(), number });
        self.out.push(Effect::Hire { hire, offer, number });
        // What is left of the new machines is promised room for other shapes.
        for found in &mut round.shapes {
            found.no_promise = false;
        }
        fill_promised(spec, only, left, round)
    }
}

/// The room of a machine that is being rented.
pub(super) fn promised(offer: &Offer, t: &MachineType) -> Room {
    Room {
        machine: None,
        kind: offer.kind.as_str().into(),
        zone: offer.zone.as_str().into(),
        spot: offer.spot,
        size: t.cpus,
        images: Arc::default(),
        may_hold: false,
        free: Demand { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb },
        ready: false,
        held: None,
        balance: None,
    }
}

/// Counts waiting tasks against machines that will be up, in the zone alone in which the job must stay;
/// returns for how many there is room.
pub(super) fn fill_promised(
    spec: &JobSpec,
    only: Option<&str>,
    want: u32,
    round: &mut Round,
) -> u32 {
    let mut left = want;
    for room in round.rooms.iter_mut().filter(|r| !r.ready) {
        if left == 0 {
            break;
        }
        let there = only.is_none_or(|zone| zone == &*room.zone);
        if there && placement::allowed(spec, &room.kind, &room.zone, room.spot) {
            let n = room.holds(&spec.demand).min(left);
            room.take(&spec.demand, n);
            left -= n;
        }
    }
    want - left
}
