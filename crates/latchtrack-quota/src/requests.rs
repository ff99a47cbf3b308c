//! Requests of a team's value: who lacks what, and which of them nobody takes care of.

use std::collections::BTreeMap;

use crate::amounts::Amounts;
use crate::constants::REQUEST_STUCK_MS;
use crate::ledger::{Request, TeamLedger};
use crate::targets::{targets, Claim, Target};
use crate::Millis;

/// A cell's claim with its target and what it holds.
#[derive(Clone, Debug)]
struct Standing {
    cell: String,
    ticket: Option<u64>,
    need: Amounts,
    held: Amounts,
    target: Target,
}

impl Standing {
    /// What it lacks of each part of its target, if it asks for more.
    fn lacks(&self) -> [Amounts; 3] {
        match self.ticket {
            Some(_) => self.target.lacks(self.held),
            None => [Amounts::NONE; 3],
        }
    }
}

/// The claims of a value as one cell sees them, its own as it is now and those of the others as stored.
#[derive(Clone, Debug)]
pub(crate) struct Standings {
    /// The own first.
    all: Vec<Standing>,
    free: Amounts,
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
        let standing = |((cell, claim), target): ((String, Claim), Target)| Standing {
            held: ledger.limit.counted(ledger.allotted_to(&cell)),
            cell,
            ticket: claim.ticket,
            need: ledger.limit.counted(claim.need),
            target,
        };
        let all = names.into_iter().zip(claims).zip(targets).map(standing).collect();
        Standings { all, free: ledger.free() }
    }

    fn others(&self) -> &[Standing] {
        &self.all[1..]
    }

    /// The target of the cell itself.
    pub fn target(&self) -> Target {
        self.all[0].target
    }

    /// Whether others lack what is not free.
    pub fn others_lack(&self) -> bool {
        let lacks = self.others().iter().flat_map(Standing::lacks);
        !lacks.fold(Amounts::NONE, Amounts::plus).fits_in(self.free)
    }

    /// Whether any other cell asks for more.
    pub fn is_contended(&self) -> bool {
        self.others().iter().any(|other| other.ticket.is_some())
    }

    /// Whether the need of any other cell is not met.
    pub fn others_wait(&self) -> bool {
        self.others().iter().any(|other| !other.need.fits_in(other.held))
    }

    /// What the cell may take now.
    pub fn may_take(&self) -> Amounts {
        self.shares_of_free()[0]
    }

    /// What is free, as it goes to the claims: the parts of the targets in their order, each by ticket.
    fn shares_of_free(&self) -> Vec<Amounts> {
        let mut order: Vec<usize> = (0..self.all.len()).collect();
        order.sort_by_key(|i| self.all[*i].ticket);
        let mut free = self.free;
        let mut out = vec![Amounts::NONE; self.all.len()];
        for part in 0..3 {
            for i in &order {
                let taken = self.all[*i].lacks()[part].least(free);
                out[*i] = out[*i].plus(taken);
                free = free.minus(taken);
            }
        }
        out
    }

    /// Requests of others that could be met as things are.
    fn could_be_met(&self) -> Vec<(String, u64)> {
        let shares = self.shares_of_free();
        let mut out = Vec::new();
        for (other, share) in self.others().iter().zip(&shares[1..]) {
            let lacks = other.lacks().into_iter().fold(Amounts::NONE, Amounts::plus);
            if let Some(ticket) = other.ticket.filter(|_| lacks != Amounts::NONE && lacks == *share)
            {
                out.push((other.cell.clone(), ticket));
            }
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
