//! The apportionment of a ledger among its cells: the claim, the target and the shortfall of each
//! cell.

use crate::ledger::TeamLedger;
use crate::resources::MilliResources;
use crate::targets::{targets, DemandClaim, Target, TARGET_PARTS};

/// A cell's claim with its target and its allotment.
#[derive(Clone, Debug)]
struct ClaimStatus {
    cell: String,
    request_number: Option<u64>,
    need: MilliResources,
    held: MilliResources,
    target: Target,
}

impl ClaimStatus {
    /// Returns the shortfall in each part of the target; zero if the claim has no request.
    fn shortfall(&self) -> [MilliResources; TARGET_PARTS] {
        match self.request_number {
            Some(_) => self.target.shortfall(self.held),
            None => [MilliResources::ZERO; TARGET_PARTS],
        }
    }
}

/// A pending request in a ledger.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct OpenRequest {
    pub cell: String,
    pub number: u64,
}

/// The claims on a ledger from the view of one cell: its own current claim, and those of the other
/// cells as stored.
#[derive(Clone, Debug)]
pub(crate) struct Apportionment {
    own: ClaimStatus,
    others: Vec<ClaimStatus>,
    unallotted: MilliResources,
}

impl Apportionment {
    /// Computes the apportionment of a ledger from the view of `cell`, whose claim is `own`.
    pub(crate) fn of(ledger: &TeamLedger, cell: &str, own: DemandClaim) -> Apportionment {
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
        let status = |((cell, claim), target): ((String, DemandClaim), Target)| ClaimStatus {
            held: ledger.limit.counted(ledger.allotted_to(&cell)),
            cell,
            request_number: claim.request_number,
            need: ledger.limit.counted(claim.need),
            target,
        };
        let mut all: Vec<ClaimStatus> =
            names.into_iter().zip(claims).zip(targets).map(status).collect();
        let others = all.split_off(1);
        let own = all.remove(0);
        Apportionment { own, others, unallotted: ledger.unallotted() }
    }

    /// Returns the target of the cell itself.
    pub(crate) fn target(&self) -> Target {
        self.own.target
    }

    /// Whether the shortfalls of other cells exceed the unallotted resources. If so, this cell
    /// returns what exceeds its target, except for resources in use, and launches only within it.
    pub(crate) fn must_yield(&self) -> bool {
        let shortfalls = self.others.iter().flat_map(ClaimStatus::shortfall);
        !shortfalls.fold(MilliResources::ZERO, MilliResources::plus).fits_in(self.unallotted)
    }

    /// Whether any other cell has a pending request.
    pub(crate) fn is_contended(&self) -> bool {
        self.others.iter().any(|other| other.request_number.is_some())
    }

    /// Whether the need of any other cell exceeds its allotment.
    pub(crate) fn others_have_unmet_needs(&self) -> bool {
        self.others.iter().any(|other| !other.need.fits_in(other.held))
    }

    /// Returns the unallotted resources that the cell may add to its allotment now.
    pub(crate) fn grantable(&self) -> MilliResources {
        self.grants()[0]
    }

    /// Returns the claim of the cell itself, followed by those of the others.
    fn all(&self) -> Vec<&ClaimStatus> {
        std::iter::once(&self.own).chain(&self.others).collect()
    }

    /// Distributes the unallotted resources among the claims; the result is in the order of
    /// [`Apportionment::all`]. Shortfalls in the first part of all targets are served before those
    /// in the second, and so on; within a part, in the order of the request numbers.
    fn grants(&self) -> Vec<MilliResources> {
        let all = self.all();
        let mut order: Vec<usize> = (0..all.len()).collect();
        order.sort_by_key(|i| all[*i].request_number);
        let mut unallotted = self.unallotted;
        let mut grants = vec![MilliResources::ZERO; all.len()];
        for part in 0..TARGET_PARTS {
            for i in &order {
                let granted = all[*i].shortfall()[part].min_each(unallotted);
                grants[*i] = grants[*i].plus(granted);
                unallotted = unallotted.minus(granted);
            }
        }
        grants
    }

    /// Returns the requests of other cells whose shortfalls the unallotted resources cover.
    pub(crate) fn grantable_requests(&self) -> Vec<OpenRequest> {
        let grants = self.grants();
        let mut requests = Vec::new();
        for (other, grant) in self.others.iter().zip(&grants[1..]) {
            let shortfalls = other.shortfall().into_iter();
            let shortfall = shortfalls.fold(MilliResources::ZERO, MilliResources::plus);
            let is_covered = shortfall != MilliResources::ZERO && shortfall == *grant;
            if let Some(number) = other.request_number.filter(|_| is_covered) {
                requests.push(OpenRequest { cell: other.cell.clone(), number });
            }
        }
        requests
    }
}
