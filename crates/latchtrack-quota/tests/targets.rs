//! Division of a limit: first the guarantee, then the needs by request number, then fair shares.

mod common;

use common::{millicpu_limit, millicpus};
use latchtrack_quota::{targets, DemandClaim, MilliResources};

fn requesting(request_number: u64, need: u64, want: u64) -> DemandClaim {
    DemandClaim {
        request_number: Some(request_number),
        need: millicpus(need),
        want: millicpus(want),
    }
}

fn holding(want: u64) -> DemandClaim {
    DemandClaim { want: millicpus(want), ..DemandClaim::default() }
}

fn totals(limit: u64, guarantee: u64, claims: &[DemandClaim]) -> Vec<u64> {
    let limit = millicpu_limit(limit);
    targets(&limit, millicpus(guarantee), claims).iter().map(|t| t.total().millicpus).collect()
}

#[test]
fn wants_within_the_limit_are_met_in_full() {
    assert_eq!(totals(100, 0, &[holding(20), requesting(1, 5, 70)]), [20, 70]);
}

#[test]
fn a_scarce_limit_is_shared_evenly() {
    assert_eq!(
        totals(100, 0, &[requesting(1, 1, 100), requesting(2, 1, 100), requesting(3, 1, 10)]),
        [45, 45, 10]
    );
    // Thousandths that can't be divided evenly go to the first claims.
    assert_eq!(
        totals(100, 0, &[requesting(1, 1, 99), requesting(2, 1, 99), requesting(3, 1, 99)]),
        [34, 33, 33]
    );
}

#[test]
fn a_request_within_the_guarantee_comes_before_needs_and_shares() {
    assert_eq!(totals(100, 40, &[requesting(1, 100, 100), requesting(2, 1, 40)]), [60, 40]);
    // Two claims fit into the guarantee together; the third does not fit beside them.
    assert_eq!(
        totals(100, 40, &[requesting(3, 1, 40), requesting(1, 1, 20), requesting(2, 1, 20)])[1..],
        [20, 20]
    );
}

#[test]
fn needs_are_met_in_full_or_not_at_all_by_request_number() {
    // Of two gangs as large as the limit, the one with the lower request number gets all of it.
    assert_eq!(totals(100, 0, &[requesting(2, 100, 100), requesting(1, 100, 100)]), [0, 100]);
    // The second need does not fit beside the first, but the third does.
    assert_eq!(
        totals(100, 0, &[requesting(1, 60, 60), requesting(2, 60, 60), requesting(3, 30, 30)]),
        [60, 10, 30]
    );
}

#[test]
fn a_resource_without_a_limit_has_no_targets() {
    let limit = millicpu_limit(10);
    let both = MilliResources { millicpus: 4, milligpus: 9 };
    let claim = DemandClaim { request_number: Some(1), need: both, want: both };
    assert_eq!(targets(&limit, MilliResources::ZERO, &[claim])[0].total(), millicpus(4));
}

#[test]
fn targets_never_exceed_the_limit() {
    // A linear congruential generator, so that the cases are the same on every platform.
    let mut state: u64 = 7;
    let mut random = |below: u64| {
        state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) % below
    };
    for _ in 0..20_000 {
        let limit = random(200);
        let claims: Vec<DemandClaim> = (0..1 + random(5))
            .map(|request_number| match random(3) {
                0 => holding(random(150)),
                _ => requesting(request_number, random(150), random(250)),
            })
            .collect();
        let totals = totals(limit, random(100), &claims);
        assert!(totals.iter().sum::<u64>() <= limit, "{limit}: {claims:?} {totals:?}");
        for (claim, total) in claims.iter().zip(&totals) {
            assert!(*total <= claim.want.millicpus.max(claim.need.millicpus));
        }
    }
}
