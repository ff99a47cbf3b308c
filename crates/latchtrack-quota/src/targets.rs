//! How a limit is to be divided among the claims of the cells. Every cell computes the same from
//! the same claims.

use crate::resources::{Limit, MilliResources};

/// What a cell claims of a limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DemandClaim {
    /// The number of its request; None if it asks for nothing extra than it holds.
    pub request_number: Option<u64>,
    /// The allotment with which its next task, slice or gang can start.
    pub need: MilliResources,
    /// All that it could use.
    pub want: MilliResources,
}

/// Parts of a target.
pub(crate) const TARGET_PARTS: usize = 3;

/// What a claim is to get, by the reason. Earlier reasons are served first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Target {
    /// Its part of the guarantee.
    pub guarantee: MilliResources,
    /// What its need takes beyond that.
    pub need: MilliResources,
    /// Its even share of the remainder.
    pub share: MilliResources,
}

impl Target {
    /// All of it.
    pub fn total(&self) -> MilliResources {
        self.guarantee.plus(self.need).plus(self.share)
    }

    /// What of each part is not covered by what is held.
    pub(crate) fn shortfall(&self, held: MilliResources) -> [MilliResources; TARGET_PARTS] {
        let with_need = self.guarantee.plus(self.need);
        [
            self.guarantee.minus(held),
            self.need.minus(held.minus(self.guarantee)),
            self.share.minus(held.minus(with_need)),
        ]
    }
}

/// The target of each claim. Together they never pass the limit.
///
/// The limit goes first to claims that fit into the guarantee (those without a request before the
/// others, and these by request number), then to the needs by request number, each whole or not at
/// all, and the remainder evenly to the wants (max-min fairness).
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

/// What of the guarantee goes to each claim: all that it wants, to those that fit into it.
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

/// Gives each need what its part of the guarantee does not cover, if all of that is remaining; returns
/// what is remaining then.
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

/// Divides what is remaining evenly over what the wants still lack.
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

/// Indices of the claims in the order in which they are served: those without a request first, then
/// by request number.
fn by_request_number(claims: &[DemandClaim]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by_key(|i| claims[*i].request_number);
    order
}

/// What of one resource is added to each base, at most `unmet`, so that the totals are as even as
/// possible. What whole thousandths leave over goes to the first.
fn even_shares(
    remaining: u64,
    base: &[MilliResources],
    unmet: &[MilliResources],
    resource: impl Fn(&MilliResources) -> u64,
) -> Vec<u64> {
    let base: Vec<u64> = base.iter().map(&resource).collect();
    let unmet: Vec<u64> = unmet.iter().map(&resource).collect();
    // What each is given if all are to be raised to `level`.
    let increases_to = |level: u64| -> Vec<u64> {
        let added = |(base, unmet): (&u64, &u64)| level.saturating_sub(*base).min(*unmet);
        base.iter().zip(&unmet).map(added).collect()
    };
    let cost = |level: u64| increases_to(level).iter().fold(0u64, |sum, n| sum.saturating_add(*n));
    let highest = base.iter().zip(&unmet).map(|(b, o)| b.saturating_add(*o)).max().unwrap_or(0);
    if cost(highest) <= remaining {
        return unmet;
    }
    // Binary search for the highest level that can be afforded.
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
