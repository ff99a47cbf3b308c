//! The state of a team in one cell: what is known of its ledger, which writes are open, and whether
//! the cell's request is granted.

use crate::constants::GRANT_TIMEOUT_MS;
use crate::ledger::{LedgerError, Request, TeamLedger};
use crate::notices::{LedgerProblem, Notice};
use crate::resources::{Limit, MilliResources};
use crate::stale_requests::StaleRequests;
use crate::team::{LocalUsage, TeamQuota};
use crate::Millis;

/// A team's ledger as this cell knows it, each state with the revision at which it was read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) enum LedgerState {
    /// Not read yet in this term.
    #[default]
    NotRead,
    /// There was none at this revision.
    Missing(u64),
    /// It can't be used.
    Unusable(u64, LedgerError),
    /// It was this.
    Present(u64, TeamLedger),
}

impl LedgerState {
    /// Revision of what is known; 0 before the first read.
    pub(crate) fn revision(&self) -> u64 {
        match self {
            LedgerState::NotRead => 0,
            LedgerState::Missing(revision) | LedgerState::Unusable(revision, _) => *revision,
            LedgerState::Present(revision, _) => *revision,
        }
    }
}

/// The most that the cell may count on while the ledger has this revision: a write on that revision
/// which sets the cell's allotment to `max` may still be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AllotmentCap {
    pub expected_revision: u64,
    pub max: MilliResources,
}

impl AllotmentCap {
    /// What remains of `amount` under a cap while the ledger has `revision`.
    pub(crate) fn apply(
        cap: &Option<AllotmentCap>,
        revision: u64,
        amount: MilliResources,
    ) -> MilliResources {
        match cap {
            Some(cap) if cap.expected_revision == revision => amount.min_each(cap.max),
            _ => amount,
        }
    }
}

/// A request whose need the allotment covers: since when, and what the cell had started by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct GrantedRequest {
    pub request_number: u64,
    pub since: Millis,
    pub started: MilliResources,
}

/// How far the cell has come with what its request was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantState {
    /// It is not granted yet, or not used yet.
    Active,
    /// As much as was needed has been started.
    Used,
    /// It was not used within [`GRANT_TIMEOUT_MS`].
    TimedOut,
}

/// A team in this cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct TeamState {
    pub settings: TeamQuota,
    pub ledger_state: LedgerState,
    pub usage: LocalUsage,
    /// The write in flight.
    pub in_flight: Option<AllotmentCap>,
    /// Writes whose outcome is unknown, together.
    pub unconfirmed: Option<AllotmentCap>,
    /// What the cell may launch, used amounts included.
    pub launch_limit: MilliResources,
    /// The cell's part of the guarantee.
    pub guarantee: MilliResources,
    pub idle_since: Option<Millis>,
    /// No write before this.
    pub no_write_before: Millis,
    /// When the ledger was last changed by this cell's decision.
    pub last_adjusted: Option<Millis>,
    pub grant: Option<GrantedRequest>,
    /// After a grant has timed out the cell asks without a need until then.
    pub no_need_until: Option<Millis>,
    pub stale_requests: StaleRequests,
    /// The problem that was last told of.
    pub last_problem_notice: Option<Notice>,
}

impl TeamState {
    /// A team whose ledger was not read yet.
    pub(crate) fn new(settings: TeamQuota) -> TeamState {
        TeamState { settings, ..TeamState::default() }
    }

    /// What the cell holds whatever becomes of its open writes.
    pub(crate) fn confirmed_allotment(&self, cell: &str) -> MilliResources {
        let LedgerState::Present(revision, ledger) = &self.ledger_state else {
            return MilliResources::ZERO;
        };
        let stored = ledger.allotted_to(cell);
        let without_in_flight = AllotmentCap::apply(&self.in_flight, *revision, stored);
        AllotmentCap::apply(&self.unconfirmed, *revision, without_in_flight)
    }

    /// The limit in force: that of the ledger, and of the settings while there is none.
    pub(crate) fn limit(&self) -> Limit {
        match &self.ledger_state {
            LedgerState::Present(_, ledger) => ledger.limit,
            _ => self.settings.limit,
        }
    }

    /// What the cell could use of the limit, waiting tasks included.
    pub(crate) fn want(&self, limit: &Limit) -> MilliResources {
        limit.counted(self.usage.used.plus(self.usage.waiting)).min_each(limit.total())
    }

    /// What the next start needs; nothing for a while after a grant that was not used.
    pub(crate) fn need(&self, now: Millis, limit: &Limit) -> MilliResources {
        let need = limit.counted(self.usage.next_start);
        // More than the whole limit can never be granted: nothing is gathered for it.
        let is_impossible = !need.fits_in(limit.total());
        if is_impossible || self.no_need_until.is_some_and(|until| now < until) {
            MilliResources::ZERO
        } else {
            need
        }
    }

    /// Follows what the cell does with its request under this allotment. A grant begins when the
    /// need is covered, and lasts until as much was started or it times out.
    pub(crate) fn track_grant(
        &mut self,
        now: Millis,
        request: &Request,
        allotted: MilliResources,
    ) -> GrantState {
        if request.need == MilliResources::ZERO || !request.need.fits_in(allotted) {
            self.grant = None;
            return GrantState::Active;
        }
        let request_number = request.number;
        let begins = GrantedRequest { request_number, since: now, started: self.usage.started };
        let grant =
            self.grant.filter(|grant| grant.request_number == request_number).unwrap_or(begins);
        self.grant = Some(grant);
        if request.need.fits_in(self.usage.started.minus(grant.started)) {
            return GrantState::Used;
        }
        if now < grant.since.saturating_add(GRANT_TIMEOUT_MS) {
            return GrantState::Active;
        }
        self.no_need_until = Some(now.saturating_add(GRANT_TIMEOUT_MS));
        GrantState::TimedOut
    }

    /// Why nothing of the team may be launched, if its ledger is the reason.
    pub(crate) fn problem(&self) -> Option<LedgerProblem> {
        match &self.ledger_state {
            LedgerState::NotRead => None,
            LedgerState::Missing(_) => {
                self.settings.limit.is_set().then_some(LedgerProblem::Missing)
            }
            LedgerState::Unusable(_, error) => Some(LedgerProblem::Unusable(error.clone())),
            LedgerState::Present(_, ledger) => {
                ledger.is_overallotted().then_some(LedgerProblem::Overallotted)
            }
        }
    }

    /// Whether limit or guarantee of the settings are not those of the ledger.
    pub(crate) fn settings_differ(&self) -> bool {
        match &self.ledger_state {
            LedgerState::Present(_, ledger) => {
                ledger.limit != self.settings.limit || ledger.guarantee != self.settings.guarantee
            }
            _ => false,
        }
    }
}
