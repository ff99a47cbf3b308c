//! A team in one cell: what is known of its value, what the cell may use, and how its turn stands.

use std::collections::BTreeMap;

use crate::amounts::{Amounts, Limit};
use crate::constants::TURN_MS;
use crate::ledger::{Account, LedgerError, Request, TeamLedger};
use crate::notices::Notice;
use crate::requests::StuckRequests;
use crate::Millis;

/// A team's limit and guarantee as this cell's settings have them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct TeamTerms {
    /// What all cells together may use.
    pub limit: Limit,
    /// What the team is to get at the least.
    pub guarantee: Amounts,
}

/// What a team uses in the cell, and what it waits for there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct TeamUse {
    /// Whether `used` covers all that may be on machines. If not, nothing is given back or taken.
    pub is_settled: bool,
    /// All that may be on machines.
    pub used: Amounts,
    /// What its waiting tasks would use.
    pub waiting: Amounts,
    /// What the next of them to start needs: a task, a slice or a gang.
    pub next: Amounts,
    /// All that was started in this term.
    pub started: Amounts,
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

    pub(crate) fn of(limit: &Limit, amounts: Amounts) -> LaunchLimit {
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
    pub guarantee: Amounts,
    /// What may be on this cell's machines.
    pub used: Amounts,
    /// What this cell may use just now.
    pub launch_limit: Amounts,
    /// The accounts by cell.
    pub cells: BTreeMap<String, Account>,
}

/// A team's value as this cell knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) enum Known {
    /// Not looked at yet.
    #[default]
    Unseen,
    /// There was none at this revision.
    Missing(u64),
    /// It can't be used.
    Unusable(u64, LedgerError),
    /// It was this at this revision.
    Value(u64, TeamLedger),
}

impl Known {
    pub(crate) fn revision(&self) -> u64 {
        match self {
            Known::Unseen => 0,
            Known::Missing(revision) | Known::Unusable(revision, _) => *revision,
            Known::Value(revision, _) => *revision,
        }
    }
}

/// What the cell may hold at most for as long as the value has this revision: a write that sets its account to
/// that may be carried out until then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Ceiling {
    pub expect: u64,
    pub most: Amounts,
}

impl Ceiling {
    /// What of an amount remains at a revision.
    pub(crate) fn limits(ceiling: &Option<Ceiling>, revision: u64, amounts: Amounts) -> Amounts {
        match ceiling {
            Some(ceiling) if ceiling.expect == revision => amounts.least(ceiling.most),
            _ => amounts,
        }
    }
}

/// Since when the need of a request is met, and what the cell had started by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Turn {
    pub ticket: u64,
    pub since: Millis,
    pub started: Amounts,
}

/// How far a turn has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TurnState {
    Lasts,
    /// As much as was needed was started.
    Started,
    /// Nothing came of it for long.
    InVain,
}

/// A team in this cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Team {
    pub terms: TeamTerms,
    pub known: Known,
    pub usage: TeamUse,
    /// The write under way.
    pub sent: Option<Ceiling>,
    /// Writes whose outcome is unknown.
    pub unresolved: Option<Ceiling>,
    pub launch: Amounts,
    pub guarantee: Amounts,
    pub idle_since: Option<Millis>,
    pub not_before: Millis,
    pub refreshed: Option<Millis>,
    pub turn: Option<Turn>,
    pub no_need_until: Option<Millis>,
    pub stuck: StuckRequests,
    pub noted: Option<Notice>,
}

impl Team {
    /// What the cell surely holds.
    pub(crate) fn held(&self, cell: &str) -> Amounts {
        let Known::Value(revision, ledger) = &self.known else { return Amounts::NONE };
        let stored = ledger.allotted_to(cell);
        let without_sent = Ceiling::limits(&self.sent, *revision, stored);
        Ceiling::limits(&self.unresolved, *revision, without_sent)
    }

    pub(crate) fn limit(&self) -> Limit {
        match &self.known {
            Known::Value(_, ledger) => ledger.limit,
            _ => self.terms.limit,
        }
    }

    /// What the cell could use of the limit, with what waits.
    pub(crate) fn want(&self, limit: &Limit) -> Amounts {
        limit.counted(self.usage.used.plus(self.usage.waiting)).least(limit.total())
    }

    /// What the next to start needs; nothing for a while after it was held in vain.
    pub(crate) fn need(&self, now: Millis, limit: &Limit) -> Amounts {
        let need = limit.counted(self.usage.next);
        // More than the whole limit can never be had: nothing is gathered for it.
        let is_in_vain = !need.fits_in(limit.total());
        match is_in_vain || self.no_need_until.is_some_and(|until| now < until) {
            true => Amounts::NONE,
            false => need,
        }
    }

    /// How far the turn of a request has come: its need is met until so much was started, or for long in vain.
    pub(crate) fn turn_of(
        &mut self,
        now: Millis,
        request: &Request,
        allotted: Amounts,
    ) -> TurnState {
        if request.need == Amounts::NONE || !request.need.fits_in(allotted) {
            self.turn = None;
            return TurnState::Lasts;
        }
        let begins = Turn { ticket: request.ticket, since: now, started: self.usage.started };
        let turn = self.turn.filter(|turn| turn.ticket == request.ticket).unwrap_or(begins);
        self.turn = Some(turn);
        if request.need.fits_in(self.usage.started.minus(turn.started)) {
            return TurnState::Started;
        }
        if now < turn.since.saturating_add(TURN_MS) {
            return TurnState::Lasts;
        }
        self.no_need_until = Some(now.saturating_add(TURN_MS));
        TurnState::InVain
    }
}

/// What stands in the way of a team's launches, if something does.
pub(crate) fn trouble(name: &str, team: &Team) -> Option<Notice> {
    let name = name.to_string();
    match &team.known {
        Known::Unseen => None,
        Known::Missing(_) if !team.terms.limit.is_set() => None,
        Known::Missing(_) => Some(Notice::Missing { team: name }),
        Known::Unusable(_, why) => Some(Notice::Unusable { team: name, why: why.clone() }),
        Known::Value(_, ledger) if ledger.is_overdrawn() => Some(Notice::Overdrawn { team: name }),
        Known::Value(..) => None,
    }
}

/// Whether the settings say otherwise than the value.
pub(crate) fn differs(team: &Team) -> bool {
    match &team.known {
        Known::Value(_, ledger) => {
            ledger.limit != team.terms.limit || ledger.guarantee != team.terms.guarantee
        }
        _ => false,
    }
}
