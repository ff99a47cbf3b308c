//! Requests of a team's value: who lacks what, and which of them nobody takes care of.

use std::collections::BTreeMap;

use crate::amounts::Amounts;
use crate::constants::REQUEST_STUCK_MS;
use crate::ledger::{Request, TeamLedger};
use crate::targets::{guarantee_parts, targets, Claim};
use crate::Millis;

/// A cell's claim with its target and what it holds.
#[derive(Clone, Debug)]
struct Standing {
    cell: String,
    ticket: Option<u64>,
    held: Amounts,
    target: Amounts,
}

impl Standing {
    /// What it lacks of its target, if it asks for more.
    fn lacks(&self) -> Amounts {
        match self.ticket {
            Some(_) => self.target.minus(self.held),
            None => Amounts::NONE,
        }
    }
}

/// The claims of a value as one cell sees them, its own as it is now and those of the others as stored.
#[derive(Clone, Debug)]
pub(crate) struct Standings {
    others: Vec<Standing>,
    own: Standing,
    free: Amounts,
    /// Its own part of the guarantee.
    pub guarantee: Amounts,
}

impl Standings {
    /// Of a value, for a cell that claims this much.
    pub fn of(ledger: &TeamLedger, cell: &str, own: Claim) -> Standings {
        let mut names = vec![cell.to_string()];
        let mut claims = vec![own];
        for (name, account) in ledger.cells.iter().filter(|(name, _)| *name != cell) {
            names.push(name.clone());
            claims.push(match &account.request {
                Some(request) => Claim {
                    ticket: Some(request.ticket),
                    need: request.need,
                    want: request.want.most(account.allotted),
                },
                None => Claim { want: account.allotted, ..Claim::default() },
            });
        }
        let targets = targets(&ledger.limit, ledger.guarantee, &claims);
        let parts = guarantee_parts(&ledger.limit, ledger.guarantee, &claims);
        let standing = |i: usize| Standing {
            cell: names[i].clone(),
            ticket: claims[i].ticket,
            held: ledger.limit.counted(ledger.allotted_to(&names[i])),
            target: targets[i],
        };
        Standings {
            others: (1..names.len()).map(standing).collect(),
            own: standing(0),
            free: ledger.free(),
            guarantee: parts[0],
        }
    }

    /// The target of the cell itself.
    pub fn target(&self) -> Amounts {
        self.own.target
    }

    /// Whether others lack what is not free.
    pub fn others_lack(&self) -> bool {
        let lack = self.others.iter().fold(Amounts::NONE, |sum, other| sum.plus(other.lacks()));
        !lack.fits_in(self.free)
    }

    /// Whether any other cell asks for more.
    pub fn is_contended(&self) -> bool {
        self.others.iter().any(|other| other.ticket.is_some())
    }

    /// What the cell may take now: what is free, less what older requests still lack.
    pub fn may_take(&self) -> Amounts {
        let ahead = |other: &&Standing| other.ticket < self.own.ticket;
        let older = self.others.iter().filter(ahead);
        let lack = older.fold(Amounts::NONE, |sum, other| sum.plus(other.lacks()));
        self.own.target.minus(self.own.held).least(self.free.minus(lack))
    }

    /// Requests of others that could be met as things are.
    fn could_be_met(&self) -> Vec<(String, u64)> {
        let mut free = self.free;
        let mut pending: Vec<(u64, &Standing)> =
            self.others.iter().filter_map(|other| Some((other.ticket?, other))).collect();
        pending.sort_by_key(|(ticket, _)| *ticket);
        let mut out = Vec::new();
        for (ticket, other) in pending {
            let lacks = other.lacks();
            if lacks != Amounts::NONE && lacks.fits_in(free) {
                out.push((other.cell.clone(), ticket));
            }
            free = free.minus(lacks);
        }
        out
    }
}

/// Since when requests of other cells could have been met and were not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct StuckRequests {
    since: BTreeMap<(String, u64), Millis>,
}

impl StuckRequests {
    /// Takes in what stands now, and names the cells whose requests have been stuck for too long.
    pub fn observe(&mut self, now: Millis, standings: &Standings) -> Vec<String> {
        let mut since = BTreeMap::new();
        for key in standings.could_be_met() {
            let began = self.since.get(&key).copied().unwrap_or(now);
            since.insert(key, began);
        }
        self.since = since;
        let stuck = |began: Millis| now >= began.saturating_add(REQUEST_STUCK_MS);
        let cells = self.since.iter().filter(|(_, began)| stuck(**began));
        cells.map(|((cell, _), _)| cell.clone()).collect()
    }
}

/// The request that a cell should have, beside the one that it has. It keeps its ticket while it needs no
/// more than before.
pub(crate) fn renewed(
    standing: Option<&Request>,
    need: Amounts,
    want: Amounts,
    next_ticket: &mut u64,
) -> Request {
    let ticket = match standing {
        Some(request) if need.fits_in(request.need) => request.ticket,
        _ => {
            *next_ticket += 1;
            *next_ticket - 1
        }
    };
    Request { ticket, need, want }
}
