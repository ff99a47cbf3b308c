//! Computes a cell's claim on a complete ledger, its next allotment and its next request.

use crate::apportionment::Apportionment;
use crate::constants::{
    HEADROOM_DIVISOR, IDLE_RETURN_MS, MIN_REQUEST_UPDATE_INTERVAL_MS, WANT_CHANGE_DIVISOR,
};
use crate::ledger::{Request, TeamLedger};
use crate::resources::MilliResources;
use crate::targets::DemandClaim;
use crate::team_state::{GrantState, TeamState};
use crate::Millis;

/// Returns the cell's current claim on a ledger. If tasks wait but no request is pending, the claim
/// gets the next request number, which ranks it last.
pub(crate) fn own_claim(
    now: Millis,
    ledger: &TeamLedger,
    cell: &str,
    team: &TeamState,
) -> DemandClaim {
    let want = team.want(&ledger.limit);
    let has_waiting = team.usage.waiting != MilliResources::ZERO;
    let (request_number, need) = match ledger.request_of(cell) {
        Some(request) => (request.number, request.need),
        None => (ledger.next_request_number, team.need(now, &ledger.limit)),
    };
    DemandClaim { request_number: has_waiting.then_some(request_number), need, want }
}

/// Inputs to a cell's decisions about a complete ledger.
pub(crate) struct DecisionContext<'a> {
    pub now: Millis,
    pub ledger: &'a TeamLedger,
    pub apportionment: &'a Apportionment,
    /// Resources that the team uses in the cell and that count against the limit.
    pub used: MilliResources,
    /// Resources that the team could use in the cell, including those in use.
    pub want: MilliResources,
}

impl DecisionContext<'_> {
    /// Returns the cell's next allotment, given the current one. It is lowered to no less than what
    /// is in use.
    pub(crate) fn next_allotment(
        &self,
        team: &mut TeamState,
        held: MilliResources,
    ) -> MilliResources {
        let headroom = self.ledger.limit.total().divided_by(HEADROOM_DIVISOR);
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
        let granted = self.apportionment.grantable();
        if granted == MilliResources::ZERO || self.apportionment.is_contended() {
            return held.plus(granted);
        }
        // Nobody requests the headroom; with it, not every new job causes a write.
        held.plus(granted.plus(headroom).min_each(self.ledger.unallotted()))
    }

    /// Returns the cell's next request, given its current one and its next allotment `allotted`. A
    /// new request takes its number from `next_request_number`.
    pub(crate) fn next_request(
        &self,
        team: &mut TeamState,
        current: Option<&Request>,
        allotted: MilliResources,
        next_request_number: &mut u64,
    ) -> Option<Request> {
        let is_covered = self.want.fits_in(allotted);
        if !self.apportionment.is_contended() && is_covered {
            // With no competing request, a leftover request is harmless and its removal not worth a
            // write.
            return current.cloned();
        }
        if team.usage.waiting == MilliResources::ZERO {
            return None;
        }
        let grant = current.map(|request| team.track_grant(self.now, request, allotted));
        let is_finished = match grant {
            // A used request gives up its rank only if another cell has an unmet need.
            Some(GrantState::Used) => self.apportionment.others_have_unmet_needs(),
            Some(GrantState::TimedOut) => true,
            Some(GrantState::Active) | None => false,
        };
        let need = team.need(self.now, &self.ledger.limit);
        let Some(current) = current.filter(|_| !is_finished) else {
            return Some(make_request(None, need, self.want, next_request_number));
        };
        let was_adjusted_recently = team
            .last_adjusted
            .is_some_and(|at| self.now < at.saturating_add(MIN_REQUEST_UPDATE_INTERVAL_MS));
        if self.is_up_to_date(current, need) || was_adjusted_recently {
            return Some(current.clone());
        }
        Some(make_request(Some(current), need, self.want, next_request_number))
    }

    /// Whether the request has the current need, and a want close enough to the current one.
    fn is_up_to_date(&self, current: &Request, need: MilliResources) -> bool {
        let tolerated = self.ledger.limit.total().divided_by(WANT_CHANGE_DIVISOR);
        let change = self.want.minus(current.want).max_each(current.want.minus(self.want));
        need == current.need && change.fits_in(tolerated)
    }
}

/// Creates a request. It keeps the number of `current` if its need is no greater, and otherwise
/// gets the next number.
fn make_request(
    current: Option<&Request>,
    need: MilliResources,
    want: MilliResources,
    next_request_number: &mut u64,
) -> Request {
    let number = match current {
        Some(request) if need.fits_in(request.need) => request.number,
        _ => {
            *next_request_number += 1;
            *next_request_number - 1
        }
    };
    Request { number, need, want }
}
