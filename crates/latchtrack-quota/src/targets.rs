//! Divides a limit among the claims of the cells. The result is deterministic: every cell computes
//! the same targets from the same claims.

use crate::resources::{Limit, MilliResources};

/// A cell's claim on a limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DemandClaim {
    /// Number of the cell's request; `None` if it has no request.
    pub request_number: Option<u64>,
    /// Total allotment that the cell needs to start its next task, slice or gang.
    pub need: MilliResources,
    /// Total allotment that the cell could use.
    pub want: MilliResources,
}

/// Number of parts of a target.
pub(crate) const TARGET_PARTS: usize = 3;

/// Target allotment of a claim, in parts. Earlier parts are served first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Target {
    /// Part of the team's guarantee.
    pub guarantee: MilliResources,
    /// Part of the need beyond the guarantee.
    pub need: MilliResources,
    /// Fair share of the remaining limit.
    pub share: MilliResources,
}

impl Target {
    /// Returns the sum of all parts.
    pub fn total(&self) -> MilliResources {
        self.guarantee.plus(self.need).plus(self.share)
    }

    /// Returns the amount of each part that the allotment `held` does not cover. It covers earlier
    /// parts first.
    pub(crate) fn shortfall(&self, held: MilliResources) -> [MilliResources; TARGET_PARTS] {
        let with_need = self.guarantee.plus(self.need);
        [
            self.guarantee.minus(held),
            self.need.minus(held.minus(self.guarantee)),
            self.share.minus(held.minus(with_need)),
        ]
    }
}

/// Computes the target of each claim. The sum of the targets never exceeds the limit.
///
/// First, the guarantee is given to claims whose whole want fits into what remains of it: claims
/// without a request first, the others by request number. Next, needs are met by request number,
/// each in full or not at all. The rest is divided among the wants by max-min fairness.
pub fn targets(limit: &Limit, guarantee: MilliResources, claims: &[DemandClaim]) -> Vec<Target> {
    let mut targets: Vec<Target> = guarantee_parts(limit, guarantee, claims)
        .into_iter()
        .map(|guarantee| Target { guarantee, ..Target::default() })
        .collect();
    let in_guarantee = targets.iter().map(|target| target.guarantee);
    let remaining = in_guarantee.fold(limit.total(), MilliResources::minus);
    let remaining = assign_needs(limit, remaining, claims, &mut targets);
    assign_shares(limit, remaining, claims, &mut targets);
    targets
}

/// Returns the part of the guarantee that each claim gets: its whole want if that fits into the
/// remaining guarantee, otherwise zero.
fn guarantee_parts(
    limit: &Limit,
    guarantee: MilliResources,
    claims: &[DemandClaim],
) -> Vec<MilliResources> {
    let mut remaining = limit.counted(guarantee).min_each(limit.total());
    let mut parts = vec![MilliResources::ZERO; claims.len()];
    for i in by_request_number(claims) {
        let want = limit.counted(claims[i].want);
        if want.fits_in(remaining) {
            parts[i] = want;
            remaining = remaining.minus(want);
        }
    }
    parts
}

/// Assigns to each need the amount that its part of the guarantee does not cover, if that fits into
/// the remaining limit. Returns the limit that remains.
fn assign_needs(
    limit: &Limit,
    mut remaining: MilliResources,
    claims: &[DemandClaim],
    targets: &mut [Target],
) -> MilliResources {
    let order = by_request_number(claims).into_iter();
    for i in order.filter(|i| claims[*i].request_number.is_some()) {
        let missing = limit.counted(claims[i].need).minus(targets[i].guarantee);
        if missing.fits_in(remaining) {
            targets[i].need = missing;
            remaining = remaining.minus(missing);
        }
    }
    remaining
}

/// Divides the remaining limit among the unmet parts of the wants by max-min fairness.
fn assign_shares(
    limit: &Limit,
    remaining: MilliResources,
    claims: &[DemandClaim],
    targets: &mut [Target],
) {
    let base: Vec<MilliResources> = targets.iter().map(Target::total).collect();
    let wants = claims.iter().map(|claim| limit.counted(claim.want));
    let unmet: Vec<MilliResources> =
        wants.zip(&base).map(|(want, base)| want.minus(*base)).collect();
    let cpus = even_shares(remaining.millicpus, &base, &unmet, |resources| resources.millicpus);
    let gpus = even_shares(remaining.milligpus, &base, &unmet, |resources| resources.milligpus);
    for (target, (millicpus, milligpus)) in targets.iter_mut().zip(cpus.into_iter().zip(gpus)) {
        target.share = MilliResources { millicpus, milligpus };
    }
}

/// Returns the indices of the claims in the order in which they are served: claims without a
/// request first, then by request number.
fn by_request_number(claims: &[DemandClaim]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by_key(|i| claims[*i].request_number);
    order
}

/// Divides the remaining amount of one resource by max-min fairness: each claim gets at most its
/// `unmet` on top of its `base`, and the totals are as even as possible. Thousandths that can't be
/// divided evenly go to the first claims.
fn even_shares(
    remaining: u64,
    base: &[MilliResources],
    unmet: &[MilliResources],
    resource: impl Fn(&MilliResources) -> u64,
) -> Vec<u64> {
    let base: Vec<u64> = base.iter().map(&resource).collect();
    let unmet: Vec<u64> = unmet.iter().map(&resource).collect();
    // The increase of each claim that raises its total to `level`.
    let increases_to = |level: u64| -> Vec<u64> {
        let added = |(base, unmet): (&u64, &u64)| level.saturating_sub(*base).min(*unmet);
        base.iter().zip(&unmet).map(added).collect()
    };
    let cost = |level: u64| increases_to(level).iter().fold(0u64, |sum, n| sum.saturating_add(*n));
    let highest =
        base.iter().zip(&unmet).map(|(base, unmet)| base.saturating_add(*unmet)).max().unwrap_or(0);
    if cost(highest) <= remaining {
        return unmet;
    }
    // Binary search for the highest level whose cost does not exceed the remaining amount.
    let (mut low, mut high) = (0, highest);
    while low + 1 < high {
        let mid = low + (high - low) / 2;
        if cost(mid) <= remaining {
            low = mid;
        } else {
            high = mid;
        }
    }
    let mut shares = increases_to(low);
    let mut remainder = remaining - cost(low);
    for (share, unmet) in shares.iter_mut().zip(&unmet) {
        let extra = u64::from(remainder > 0 && *share < *unmet);
        *share += extra;
        remainder -= extra;
    }
    shares
}
