//! A team in one cell: what is known of its value, what the cell may use, and how its turn stands.

use std::collections::BTreeMap;

use crate::apportionment::StaleRequests;
use crate::constants::GRANT_TIMEOUT_MS;
use crate::ledger::{Allotment, LedgerError, Request, TeamLedger};
use crate::notices::Notice;
use crate::resources::{Limit, MilliResources};
use crate::Millis;

/// A team's limit and guarantee as this cell's settings have them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct TeamQuota {
    /// What all cells together may use.
    pub limit: Limit,
    /// What the team is to get at the least.
    pub guarantee: MilliResources,
}

/// What a team uses in the cell, and what it waits for there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LocalUsage {
    /// Whether `used` covers all that may be on machines. If not, nothing is given back or taken.
    pub is_reconciled: bool,
    /// All that may be on machines.
    pub used: MilliResources,
    /// What its waiting tasks would use.
    pub waiting: MilliResources,
    /// What the next of them to start needs: a task, a slice or a gang.
    pub next_start: MilliResources,
    /// All that was started in this term.
    pub started: MilliResources,
}

/// What a cell may use of a team's limit; None is no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LaunchLimit {
    /// Thousandths of a CPU.
    pub millicpus: Option<u64>,
    /// Thousandths of a GPU.
    pub milligpus: Option<u64>,
}

impl LaunchLimit {
    /// Nothing may be launched.
    pub(crate) const NOTHING: LaunchLimit = LaunchLimit { millicpus: Some(0), milligpus: Some(0) };

    pub(crate) fn of(limit: &Limit, amounts: MilliResources) -> LaunchLimit {
        LaunchLimit {
            millicpus: limit.millicpus.map(|_| amounts.millicpus),
            milligpus: limit.milligpus.map(|_| amounts.milligpus),
        }
    }
}

/// A team's quota for an operator.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamSummary {
    /// The team.
    pub team: String,
    /// Why its value can't be used, if so.
    pub trouble: Option<String>,
    /// Whether limit or guarantee of the settings are others.
    pub differs: bool,
    /// The limit in force.
    pub limit: Limit,
    /// The guarantee in force.
    pub guarantee: MilliResources,
    /// What may be on this cell's machines.
    pub used: MilliResources,
    /// What this cell may use just now.
    pub launch_limit: MilliResources,
    /// The allotments by cell.
    pub cells: BTreeMap<String, Allotment>,
}

/// A team's value as this cell knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) enum LedgerState {
    /// Not looked at yet.
    #[default]
    NotRead,
    /// There was none at this revision.
    Missing(u64),
    /// It can't be used.
    Unusable(u64, LedgerError),
    /// It was this at this revision.
    Present(u64, TeamLedger),
}

impl LedgerState {
    pub(crate) fn revision(&self) -> u64 {
        match self {
            LedgerState::NotRead => 0,
            LedgerState::Missing(revision) | LedgerState::Unusable(revision, _) => *revision,
            LedgerState::Present(revision, _) => *revision,
        }
    }
}

/// What the cell may hold at most for as long as the value has this revision: a write that sets its allotment to
/// that may be carried out until then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AllotmentCap {
    pub expected_revision: u64,
    pub max: MilliResources,
}

impl AllotmentCap {
    /// What of an amount remains at a revision.
    pub(crate) fn apply(
        cap: &Option<AllotmentCap>,
        revision: u64,
        amounts: MilliResources,
    ) -> MilliResources {
        match cap {
            Some(cap) if cap.expected_revision == revision => amounts.min_each(cap.max),
            _ => amounts,
        }
    }
}

/// Since when the need of a request is met, and what the cell had started by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct GrantedRequest {
    pub request_number: u64,
    pub since: Millis,
    pub started: MilliResources,
}

/// How far a turn has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantState {
    Active,
    /// As much as was needed was started.
    Used,
    /// Nothing came of it for long.
    TimedOut,
}

/// A team in this cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Team {
    pub settings: TeamQuota,
    pub ledger_state: LedgerState,
    pub usage: LocalUsage,
    /// The write under way.
    pub in_flight: Option<AllotmentCap>,
    /// Writes whose outcome is unknown.
    pub unconfirmed: Option<AllotmentCap>,
    pub launch: MilliResources,
    pub guarantee: MilliResources,
    pub idle_since: Option<Millis>,
    pub not_before: Millis,
    pub refreshed: Option<Millis>,
    pub grant: Option<GrantedRequest>,
    pub no_need_until: Option<Millis>,
    pub stale: StaleRequests,
    pub noted: Option<Notice>,
}

impl Team {
    /// What the cell surely holds.
    pub(crate) fn confirmed_allotment(&self, cell: &str) -> MilliResources {
        let LedgerState::Present(revision, ledger) = &self.ledger_state else {
            return MilliResources::NONE;
        };
        let stored = ledger.allotted_to(cell);
        let without_sent = AllotmentCap::apply(&self.in_flight, *revision, stored);
        AllotmentCap::apply(&self.unconfirmed, *revision, without_sent)
    }

    pub(crate) fn limit(&self) -> Limit {
        match &self.ledger_state {
            LedgerState::Present(_, ledger) => ledger.limit,
            _ => self.settings.limit,
        }
    }

    /// What the cell could use of the limit, with what waits.
    pub(crate) fn want(&self, limit: &Limit) -> MilliResources {
        limit.counted(self.usage.used.plus(self.usage.waiting)).min_each(limit.total())
    }

    /// What the next to start needs; nothing for a while after it was held in vain.
    pub(crate) fn need(&self, now: Millis, limit: &Limit) -> MilliResources {
        let need = limit.counted(self.usage.next_start);
        // More than the whole limit can never be had: nothing is gathered for it.
        let is_in_vain = !need.fits_in(limit.total());
        match is_in_vain || self.no_need_until.is_some_and(|until| now < until) {
            true => MilliResources::NONE,
            false => need,
        }
    }

    /// How far the turn of a request has come: its need is met until so much was started, or for long in vain.
    pub(crate) fn track_grant(
        &mut self,
        now: Millis,
        request: &Request,
        allotted: MilliResources,
    ) -> GrantState {
        if request.need == MilliResources::NONE || !request.need.fits_in(allotted) {
            self.grant = None;
            return GrantState::Active;
        }
        let begins = GrantedRequest {
            request_number: request.number,
            since: now,
            started: self.usage.started,
        };
        let grant =
            self.grant.filter(|grant| grant.request_number == request.number).unwrap_or(begins);
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
}

/// What stands in the way of a team's launches, if something does.
pub(crate) fn trouble(name: &str, team: &Team) -> Option<Notice> {
    let name = name.to_string();
    match &team.ledger_state {
        LedgerState::NotRead => None,
        LedgerState::Missing(_) if !team.settings.limit.is_set() => None,
        LedgerState::Missing(_) => Some(Notice::Missing { team: name }),
        LedgerState::Unusable(_, why) => Some(Notice::Unusable { team: name, why: why.clone() }),
        LedgerState::Present(_, ledger) if ledger.is_overallotted() => {
            Some(Notice::Overallotted { team: name })
        }
        LedgerState::Present(..) => None,
    }
}

/// Whether the settings say otherwise than the value.
pub(crate) fn differs(team: &Team) -> bool {
    match &team.ledger_state {
        LedgerState::Present(_, ledger) => {
            ledger.limit != team.settings.limit || ledger.guarantee != team.settings.guarantee
        }
        _ => false,
    }
}
