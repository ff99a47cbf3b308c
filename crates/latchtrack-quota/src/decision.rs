//! What a cell claims, should hold and should ask for, in a value that is complete.

use crate::apportionment::{renew_request, Apportionment};
use crate::constants::*;
use crate::ledger::{Request, TeamLedger};
use crate::resources::MilliResources;
use crate::targets::DemandClaim;
use crate::team::{GrantState, Team};
use crate::Millis;

/// What this cell claims of a value now. A request that it does not have yet is the newest.
pub(crate) fn own_claim(now: Millis, ledger: &TeamLedger, cell: &str, team: &Team) -> DemandClaim {
    let want = team.want(&ledger.limit);
    let allotment = ledger.allotments.get(cell);
    let standing = allotment.and_then(|allotment| allotment.request.as_ref());
    let asks = team.usage.waiting != MilliResources::NONE;
    let (request_number, need) = match standing {
        Some(request) => (request.number, request.need),
        None => (ledger.next_request_number, team.need(now, &ledger.limit)),
    };
    DemandClaim { request_number: asks.then_some(request_number), need, want }
}

/// A value that is complete, as one cell sees it at a moment.
pub(crate) struct DecisionContext<'a> {
    pub now: Millis,
    pub ledger: &'a TeamLedger,
    pub apportionment: &'a Apportionment,
    pub used: MilliResources,
    pub want: MilliResources,
}

impl DecisionContext<'_> {
    /// What the cell should hold, never less than it uses.
    pub(crate) fn next_allotment(&self, team: &mut Team, held: MilliResources) -> MilliResources {
        let headroom = self.ledger.limit.total().divided_by(HEADROOM_PART);
        let is_idle = !held.fits_in(self.want.plus(headroom));
        team.idle_since = is_idle.then(|| team.idle_since.unwrap_or(self.now));
        if self.ledger.is_overallotted() {
            return held.min_each(self.used);
        }
        let target = self.apportionment.target().total();
        if self.apportionment.must_yield() && !held.fits_in(target) {
            return held.min_each(self.used.max_each(target));
        }
        if team.idle_since.is_some_and(|since| self.now >= since + IDLE_RETURN_MS) {
            return held.min_each(self.used.max_each(self.want));
        }
        let taken = self.apportionment.grantable();
        if taken == MilliResources::NONE || self.apportionment.is_contended() {
            return held.plus(taken);
        }
        // A little more, which nobody asks for, so that not each new job is a write.
        held.plus(taken.plus(headroom).min_each(self.ledger.unallotted()))
    }

    /// The request that the cell should have beside an allotment.
    pub(crate) fn next_request(
        &self,
        team: &mut Team,
        standing: Option<&Request>,
        allotted: MilliResources,
        next_request_number: &mut u64,
    ) -> Option<Request> {
        let is_covered = self.want.fits_in(allotted);
        if !self.apportionment.is_contended() && is_covered {
            // Whether it stands or not: nobody else asks.
            return standing.cloned();
        }
        if team.usage.waiting == MilliResources::NONE {
            return None;
        }
        let grant = standing.map(|request| team.track_grant(self.now, request, allotted));
        // While every other need is met, all have their turns at once.
        let had_its_turn = match grant {
            Some(GrantState::Used) => self.apportionment.others_have_unmet_needs(),
            Some(GrantState::TimedOut) => true,
            Some(GrantState::Active) | None => false,
        };
        let need = team.need(self.now, &self.ledger.limit);
        let Some(standing) = standing.filter(|_| !had_its_turn) else {
            return Some(renew_request(None, need, self.want, next_request_number));
        };
        let tolerated = self.ledger.limit.total().divided_by(WANT_CHANGE_PART);
        let change = self.want.minus(standing.want).max_each(standing.want.minus(self.want));
        let is_of_use = need == standing.need && change.fits_in(tolerated);
        let is_fresh = |at: Millis| self.now < at.saturating_add(REQUEST_REFRESH_MS);
        if is_of_use || team.refreshed.is_some_and(is_fresh) {
            return Some(standing.clone());
        }
        Some(renew_request(Some(standing), need, self.want, next_request_number))
    }
}
