//! What a cell claims, should hold and should ask for, in a value that is complete.

use crate::amounts::Amounts;
use crate::constants::*;
use crate::ledger::{Request, TeamLedger};
use crate::requests::{renewed, Standings};
use crate::targets::Claim;
use crate::team::{Team, TurnState};
use crate::Millis;

/// What this cell claims of a value now. A request that it does not have yet is the newest.
pub(crate) fn own_claim(now: Millis, ledger: &TeamLedger, cell: &str, team: &Team) -> Claim {
    let want = team.want(&ledger.limit);
    let account = ledger.cells.get(cell);
    let standing = account.and_then(|account| account.request.as_ref());
    let asks = team.usage.waiting != Amounts::NONE;
    let (ticket, need) = match standing {
        Some(request) => (request.ticket, request.need),
        None => (ledger.next_ticket, team.need(now, &ledger.limit)),
    };
    Claim { ticket: asks.then_some(ticket), need, want }
}

/// A value that is complete, as one cell sees it at a moment.
pub(crate) struct Situation<'a> {
    pub now: Millis,
    pub ledger: &'a TeamLedger,
    pub standings: &'a Standings,
    pub used: Amounts,
    pub want: Amounts,
}

impl Situation<'_> {
    /// What the cell should hold, never less than it uses.
    pub(crate) fn next_allotment(&self, team: &mut Team, held: Amounts) -> Amounts {
        let headroom = self.ledger.limit.total().part(HEADROOM_PART);
        let is_idle = !held.fits_in(self.want.plus(headroom));
        team.idle_since = is_idle.then(|| team.idle_since.unwrap_or(self.now));
        if self.ledger.is_overdrawn() {
            return held.least(self.used);
        }
        let target = self.standings.target().total();
        if self.standings.others_lack() && !held.fits_in(target) {
            return held.least(self.used.most(target));
        }
        if team.idle_since.is_some_and(|since| self.now >= since + IDLE_RETURN_MS) {
            return held.least(self.used.most(self.want));
        }
        let taken = self.standings.may_take();
        if taken == Amounts::NONE || self.standings.is_contended() {
            return held.plus(taken);
        }
        // A little more, which nobody asks for, so that not each new job is a write.
        held.plus(taken.plus(headroom).least(self.ledger.free()))
    }

    /// The request that the cell should have beside an allotment.
    pub(crate) fn next_request(
        &self,
        team: &mut Team,
        standing: Option<&Request>,
        allotted: Amounts,
        next_ticket: &mut u64,
    ) -> Option<Request> {
        let is_covered = self.want.fits_in(allotted);
        if !self.standings.is_contended() && is_covered {
            // Whether it stands or not: nobody else asks.
            return standing.cloned();
        }
        if team.usage.waiting == Amounts::NONE {
            return None;
        }
        let turn = standing.map(|request| team.turn_of(self.now, request, allotted));
        // While every other need is met, all have their turns at once.
        let had_its_turn = match turn {
            Some(TurnState::Started) => self.standings.others_wait(),
            Some(TurnState::InVain) => true,
            Some(TurnState::Lasts) | None => false,
        };
        let need = team.need(self.now, &self.ledger.limit);
        let Some(standing) = standing.filter(|_| !had_its_turn) else {
            return Some(renewed(None, need, self.want, next_ticket));
        };
        let tolerated = self.ledger.limit.total().part(WANT_CHANGE_PART);
        let change = self.want.minus(standing.want).most(standing.want.minus(self.want));
        let is_of_use = need == standing.need && change.fits_in(tolerated);
        let is_fresh = |at: Millis| self.now < at.saturating_add(REQUEST_REFRESH_MS);
        if is_of_use || team.refreshed.is_some_and(is_fresh) {
            return Some(standing.clone());
        }
        Some(renewed(Some(standing), need, self.want, next_ticket))
    }
}
