//! Requests of a team's value: who lacks what, and which of them nobody takes care of.

use std::collections::BTreeMap;

use crate::constants::REQUEST_STALE_MS;
use crate::ledger::{Request, TeamLedger};
use crate::resources::MilliResources;
use crate::targets::{targets, DemandClaim, Target};
use crate::Millis;

/// A cell's claim with its target and what it holds.
#[derive(Clone, Debug)]
struct ClaimStatus {
    cell: String,
    request_number: Option<u64>,
    need: MilliResources,
    held: MilliResources,
    target: Target,
}

impl ClaimStatus {
    /// What it lacks of each part of its target, if it asks for more.
    fn shortfall(&self) -> [MilliResources; 3] {
        match self.request_number {
            Some(_) => self.target.shortfall(self.held),
            None => [MilliResources::NONE; 3],
        }
    }
}

/// The claims of a value as one cell sees them, its own as it is now and those of the others as stored.
#[derive(Clone, Debug)]
pub(crate) struct Apportionment {
    /// The own first.
    all: Vec<ClaimStatus>,
    free: MilliResources,
}

impl Apportionment {
    /// Of a value, for a cell that claims this much.
    pub fn of(ledger: &TeamLedger, cell: &str, own: DemandClaim) -> Apportionment {
        let mut names = vec![cell.to_string()];
        let mut claims = vec![own];
        for (name, allotment) in ledger.allotments.iter().filter(|(name, _)| *name != cell) {
            names.push(name.clone());
            claims.push(match &allotment.request {
                Some(request) => DemandClaim {
                    request_number: Some(request.number),
                    need: request.need,
                    want: request.want.max_each(allotment.amount),
                },
                None => DemandClaim { want: allotment.amount, ..DemandClaim::default() },
            });
        }
        let targets = targets(&ledger.limit, ledger.guarantee, &claims);
        let standing = |((cell, claim), target): ((String, DemandClaim), Target)| ClaimStatus {
            held: ledger.limit.counted(ledger.allotted_to(&cell)),
            cell,
            request_number: claim.request_number,
            need: ledger.limit.counted(claim.need),
            target,
        };
        let all = names.into_iter().zip(claims).zip(targets).map(standing).collect();
        Apportionment { all, free: ledger.unallotted() }
    }

    fn others(&self) -> &[ClaimStatus] {
        &self.all[1..]
    }

    /// The target of the cell itself.
    pub fn target(&self) -> Target {
        self.all[0].target
    }

    /// Whether others lack what is not free.
    pub fn must_yield(&self) -> bool {
        let shortfall = self.others().iter().flat_map(ClaimStatus::shortfall);
        !shortfall.fold(MilliResources::NONE, MilliResources::plus).fits_in(self.free)
    }

    /// Whether any other cell asks for more.
    pub fn is_contended(&self) -> bool {
        self.others().iter().any(|other| other.request_number.is_some())
    }

    /// Whether the need of any other cell is not met.
    pub fn others_have_unmet_needs(&self) -> bool {
        self.others().iter().any(|other| !other.need.fits_in(other.held))
    }

    /// What the cell may take now.
    pub fn grantable(&self) -> MilliResources {
        self.grants()[0]
    }

    /// What is free, as it goes to the claims: the parts of the targets in their order, each by request number.
    fn grants(&self) -> Vec<MilliResources> {
        let mut order: Vec<usize> = (0..self.all.len()).collect();
        order.sort_by_key(|i| self.all[*i].request_number);
        let mut free = self.free;
        let mut out = vec![MilliResources::NONE; self.all.len()];
        for part in 0..3 {
            for i in &order {
                let taken = self.all[*i].shortfall()[part].min_each(free);
                out[*i] = out[*i].plus(taken);
                free = free.minus(taken);
            }
        }
        out
    }

    /// Requests of others that could be met as things are.
    fn grantable_requests(&self) -> Vec<(String, u64)> {
        let shares = self.grants();
        let mut out = Vec::new();
        for (other, share) in self.others().iter().zip(&shares[1..]) {
            let shortfall =
                other.shortfall().into_iter().fold(MilliResources::NONE, MilliResources::plus);
            if let Some(request_number) = other
                .request_number
                .filter(|_| shortfall != MilliResources::NONE && shortfall == *share)
            {
                out.push((other.cell.clone(), request_number));
            }
        }
        out
    }
}

/// Since when requests of other cells could have been met and were not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct StaleRequests {
    since: BTreeMap<(String, u64), Millis>,
}

impl StaleRequests {
    /// Takes in what stands now, and names the cells whose requests have been stuck for too long.
    pub fn observe(&mut self, now: Millis, apportionment: &Apportionment) -> Vec<String> {
        let mut since = BTreeMap::new();
        for key in apportionment.grantable_requests() {
            let began = self.since.get(&key).copied().unwrap_or(now);
            since.insert(key, began);
        }
        self.since = since;
        let stale = |began: Millis| now >= began.saturating_add(REQUEST_STALE_MS);
        let cells = self.since.iter().filter(|(_, began)| stale(**began));
        cells.map(|((cell, _), _)| cell.clone()).collect()
    }
}

/// The request that a cell should have, beside the one that it has. It keeps its request number while it needs no
/// more than before.
pub(crate) fn renew_request(
    standing: Option<&Request>,
    need: MilliResources,
    want: MilliResources,
    next_request_number: &mut u64,
) -> Request {
    let request_number = match standing {
        Some(request) if need.fits_in(request.need) => request.number,
        _ => {
            *next_request_number += 1;
            *next_request_number - 1
        }
    };
    Request { number: request_number, need, want }
}
