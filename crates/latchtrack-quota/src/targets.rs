//! Who is to get how much of a limit. Every cell computes the same from the same claims.

use crate::resources::{Limit, MilliResources};

/// What a cell claims of a limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DemandClaim {
    /// Of its request; None if it asks for nothing more than it holds.
    pub request_number: Option<u64>,
    /// The allotment with which its next task, slice or gang can start.
    pub need: MilliResources,
    /// All that it could use.
    pub want: MilliResources,
}

/// What a claim is to get, by the reason; earlier reasons are served first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Target {
    /// Its part of the guarantee.
    pub guarantee: MilliResources,
    /// What its need takes beyond that.
    pub need: MilliResources,
    /// Its even share of the rest.
    pub share: MilliResources,
}

impl Target {
    /// All of it.
    pub fn total(&self) -> MilliResources {
        self.guarantee.plus(self.need).plus(self.share)
    }

    /// What of each part is not covered by what is held.
    pub(crate) fn shortfall(&self, held: MilliResources) -> [MilliResources; 3] {
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
/// First claims that fit into the guarantee, those that ask for nothing before the others and these by
/// request number; then the needs by request number, each whole or not at all; the rest evenly over the wants.
pub fn targets(limit: &Limit, guarantee: MilliResources, claims: &[DemandClaim]) -> Vec<Target> {
    let mut left = limit.total();
    let mut out = vec![Target::default(); claims.len()];
    for (target, part) in out.iter_mut().zip(guarantee_parts(limit, guarantee, claims)) {
        target.guarantee = part;
        left = left.minus(part);
    }
    for i in by_request_number(claims).into_iter().filter(|i| claims[*i].request_number.is_some()) {
        let lacking = limit.counted(claims[i].need).minus(out[i].guarantee);
        if lacking.fits_in(left) {
            out[i].need = lacking;
            left = left.minus(lacking);
        }
    }
    let base: Vec<MilliResources> = out.iter().map(Target::total).collect();
    let wants = claims.iter().map(|claim| limit.counted(claim.want));
    let open: Vec<MilliResources> =
        wants.zip(&base).map(|(want, base)| want.minus(*base)).collect();
    let cpus = even(left.millicpus, &base, &open, |amounts| amounts.millicpus);
    let gpus = even(left.milligpus, &base, &open, |amounts| amounts.milligpus);
    for (target, (millicpus, milligpus)) in out.iter_mut().zip(cpus.into_iter().zip(gpus)) {
        target.share = MilliResources { millicpus, milligpus };
    }
    out
}

/// What of the guarantee goes to each claim: all that it wants, to those that fit into it.
pub fn guarantee_parts(
    limit: &Limit,
    guarantee: MilliResources,
    claims: &[DemandClaim],
) -> Vec<MilliResources> {
    let mut left = limit.counted(guarantee).min_each(limit.total());
    let mut out = vec![MilliResources::NONE; claims.len()];
    for i in by_request_number(claims) {
        let want = limit.counted(claims[i].want);
        if want.fits_in(left) {
            out[i] = want;
            left = left.minus(want);
        }
    }
    out
}

/// The claims in the order in which they are served: those without a request first, then by request number.
fn by_request_number(claims: &[DemandClaim]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by_key(|i| claims[*i].request_number);
    order
}

/// What is added to each so that the totals are as even as the wants allow. What whole thousandths leave
/// over goes to the first.
fn even(
    left: u64,
    base: &[MilliResources],
    open: &[MilliResources],
    resource: impl Fn(&MilliResources) -> u64,
) -> Vec<u64> {
    let base: Vec<u64> = base.iter().map(&resource).collect();
    let open: Vec<u64> = open.iter().map(&resource).collect();
    let level = |level: u64| -> Vec<u64> {
        let added = |(base, open): (&u64, &u64)| level.saturating_sub(*base).min(*open);
        base.iter().zip(&open).map(added).collect()
    };
    let cost = |at: u64| level(at).iter().fold(0u64, |sum, added| sum.saturating_add(*added));
    let highest = base.iter().zip(&open).map(|(b, o)| b.saturating_add(*o)).max().unwrap_or(0);
    if cost(highest) <= left {
        return open;
    }
    // The highest level that can be afforded.
    let (mut low, mut high) = (0, highest);
    while low + 1 < high {
        let middle = low + (high - low) / 2;
        if cost(middle) <= left {
            low = middle;
        } else {
            high = middle;
        }
    }
    let mut out = level(low);
    let mut rest = left - cost(low);
    for (added, open) in out.iter_mut().zip(&open) {
        let more = u64::from(rest > 0 && *added < *open);
        *added += more;
        rest -= more;
    }
    out
}
