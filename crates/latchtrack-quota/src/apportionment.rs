//! The apportionment of a ledger among its cells: each cell's claim, its target and what it lacks
//! of that.

use crate::ledger::TeamLedger;
use crate::resources::MilliResources;
use crate::targets::{targets, DemandClaim, Target, TARGET_PARTS};

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
    fn shortfall(&self) -> [MilliResources; TARGET_PARTS] {
        match self.request_number {
            Some(_) => self.target.shortfall(self.held),
            None => [MilliResources::ZERO; TARGET_PARTS],
        }
    }
}

/// A request that stands in a ledger.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct OpenRequest {
    pub cell: String,
    pub number: u64,
}

/// The claims on a ledger as one cell sees them: its own as it is now, those of the others as
/// stored.
#[derive(Clone, Debug)]
pub(crate) struct Apportionment {
    own: ClaimStatus,
    others: Vec<ClaimStatus>,
    unallotted: MilliResources,
}

impl Apportionment {
    /// Of a ledger, as `cell` sees it with its own claim.
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

    /// The target of the cell itself.
    pub(crate) fn target(&self) -> Target {
        self.own.target
    }

    /// Whether other cells lack more than what is unallotted, so that this one must keep to
    /// its target.
    pub(crate) fn must_yield(&self) -> bool {
        let shortfalls = self.others.iter().flat_map(ClaimStatus::shortfall);
        !shortfalls.fold(MilliResources::ZERO, MilliResources::plus).fits_in(self.unallotted)
    }

    /// Whether any other cell asks for more.
    pub(crate) fn is_contended(&self) -> bool {
        self.others.iter().any(|other| other.request_number.is_some())
    }

    /// Whether the need of any other cell is not covered by what it holds.
    pub(crate) fn others_have_unmet_needs(&self) -> bool {
        self.others.iter().any(|other| !other.need.fits_in(other.held))
    }

    /// What the cell may take now of what is unallotted.
    pub(crate) fn grantable(&self) -> MilliResources {
        self.grants()[0]
    }

    /// The cell itself first, then the others.
    fn all(&self) -> Vec<&ClaimStatus> {
        std::iter::once(&self.own).chain(&self.others).collect()
    }

    /// How what is unallotted goes to the claims, in the order of [`Apportionment::all`]:
    /// first to the first part of all targets, then to the second and so on, within a part by
    /// request number.
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

    /// Requests of other cells that what is unallotted would cover.
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
