//! The state of a team in one cell: the last known ledger, the writes in flight, and whether the
//! cell's request is granted.

use crate::constants::GRANT_TIMEOUT_MS;
use crate::ledger::{LedgerError, Request, TeamLedger};
use crate::notices::{LedgerProblem, Notice};
use crate::resources::{Limit, MilliResources};
use crate::stale_requests::StaleRequests;
use crate::team::{LocalUsage, TeamQuota};
use crate::Millis;

/// Last known state of a team's ledger, with its revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) enum LedgerState {
    /// Not read yet in this term.
    #[default]
    NotRead,
    /// There was no ledger at this revision of the state service.
    Missing(u64),
    /// The ledger at this revision can't be parsed.
    Unusable(u64, LedgerError),
    /// The ledger at this revision.
    Present(u64, TeamLedger),
}

impl LedgerState {
    /// Returns the revision of the known state, or 0 before the first read.
    pub(crate) fn revision(&self) -> u64 {
        match self {
            LedgerState::NotRead => 0,
            LedgerState::Missing(revision) | LedgerState::Unusable(revision, _) => *revision,
            LedgerState::Present(revision, _) => *revision,
        }
    }
}

/// Upper bound on the allotment that the cell may rely on while the ledger has the expected
/// revision, because a write that sets its allotment to `max` may still be executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AllotmentCap {
    pub expected_revision: u64,
    pub max: MilliResources,
}

impl AllotmentCap {
    /// Returns `amount`, lowered to the cap if the cap applies to `revision` of the ledger.
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

/// A request whose need is covered by the cell's allotment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct GrantedRequest {
    pub request_number: u64,
    /// Time since when the need is covered.
    pub since: Millis,
    /// Value of [`LocalUsage::started`] at that time.
    pub started: MilliResources,
}

/// State of the grant of the cell's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantState {
    /// The request is not granted yet, or its grant is not used yet.
    Active,
    /// The cell has started as much as the request needed.
    Used,
    /// The grant was not used within [`GRANT_TIMEOUT_MS`].
    TimedOut,
}

/// State of a team in this cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct TeamState {
    pub settings: TeamQuota,
    pub ledger_state: LedgerState,
    pub usage: LocalUsage,
    /// Cap imposed by the write in flight, if any.
    pub in_flight: Option<AllotmentCap>,
    /// Combined cap imposed by the writes whose outcome is unknown.
    pub unconfirmed: Option<AllotmentCap>,
    /// Limit on the resources of running tasks and new launches in the cell.
    pub launch_limit: MilliResources,
    /// The cell's part of the guarantee.
    pub guarantee: MilliResources,
    /// Time since when the allotment has exceeded the want and the headroom.
    pub idle_since: Option<Millis>,
    /// Time before which no write is sent.
    pub no_write_before: Millis,
    /// When this cell last adjusted a complete ledger, whether or not the write was stored.
    pub last_adjusted: Option<Millis>,
    pub grant: Option<GrantedRequest>,
    /// Time until which the cell claims no need because a grant has timed out.
    pub no_need_until: Option<Millis>,
    pub stale_requests: StaleRequests,
    /// Notice of the current ledger problem, kept so that it is logged only once.
    pub last_problem_notice: Option<Notice>,
}

impl TeamState {
    /// Creates the state of a team whose ledger has not been read yet.
    pub(crate) fn new(settings: TeamQuota) -> TeamState {
        TeamState { settings, ..TeamState::default() }
    }

    /// Returns the allotment that the cell holds regardless of the outcomes of its pending writes.
    pub(crate) fn confirmed_allotment(&self, cell: &str) -> MilliResources {
        let LedgerState::Present(revision, ledger) = &self.ledger_state else {
            return MilliResources::ZERO;
        };
        let stored = ledger.allotted_to(cell);
        let without_in_flight = AllotmentCap::apply(&self.in_flight, *revision, stored);
        AllotmentCap::apply(&self.unconfirmed, *revision, without_in_flight)
    }

    /// Returns the effective limit: that in the ledger, or that in the settings while there is no
    /// usable ledger.
    pub(crate) fn limit(&self) -> Limit {
        match &self.ledger_state {
            LedgerState::Present(_, ledger) => ledger.limit,
            _ => self.settings.limit,
        }
    }

    /// Returns the part of the limit that the cell could use for its running and waiting tasks.
    pub(crate) fn want(&self, limit: &Limit) -> MilliResources {
        limit.counted(self.usage.used.plus(self.usage.waiting)).min_each(limit.total())
    }

    /// Returns what the next start needs, or zero for a while after a grant has timed out.
    pub(crate) fn need(&self, now: Millis, limit: &Limit) -> MilliResources {
        let need = limit.counted(self.usage.next_start);
        // A need above the whole limit can never be granted, so no allotment is reserved for it.
        let is_impossible = !need.fits_in(limit.total());
        if is_impossible || self.no_need_until.is_some_and(|until| now < until) {
            MilliResources::ZERO
        } else {
            need
        }
    }

    /// Updates and returns the state of the request's grant under the given allotment. A grant
    /// starts when the allotment covers the need, and ends when as much has been started or it
    /// times out.
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

    /// Returns the problem with the ledger because of which no task of the team is launched.
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

    /// Whether the limit or guarantee in the settings differs from that in the ledger.
    pub(crate) fn settings_differ(&self) -> bool {
        match &self.ledger_state {
            LedgerState::Present(_, ledger) => {
                ledger.limit != self.settings.limit || ledger.guarantee != self.settings.guarantee
            }
            _ => false,
        }
    }
}
