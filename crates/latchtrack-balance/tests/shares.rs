//! Tests of fair shares, hot teams and the placement cost.

mod common;

use common::proptest_config;
use latchtrack_balance::arrivals::{ArrivalLevel, Arrivals, DecayedRate};
use latchtrack_balance::fairness::{fair_shares, TeamDemand};
use latchtrack_balance::locality::{fetch_s, PlacementOption};
use proptest::prelude::*;

fn team(guarantee: f64, limit: f64, wanted: f64) -> TeamDemand {
    TeamDemand { guarantee, limit, wanted }
}

fn assert_close(left: &[f64], right: &[f64]) {
    assert_eq!(left.len(), right.len());
    for (a, b) in left.iter().zip(right) {
        assert!((a - b).abs() < 1e-6, "{left:?} is not {right:?}");
    }
}

#[test]
fn guarantees_come_first_then_equal_shares() {
    assert_close(&fair_shares(&[team(0.0, 0.0, 2.0), team(0.0, 0.0, 0.1)]), &[0.9, 0.1]);
    assert_close(&fair_shares(&[team(0.0, 0.0, 2.0), team(0.0, 0.0, 2.0)]), &[0.5, 0.5]);
    // A guarantee is met first, and is also the weight by which the rest is shared.
    assert_close(
        &fair_shares(&[team(0.4, 0.0, 2.0), team(0.2, 0.0, 2.0)]),
        &[0.4 + 0.4 * 2.0 / 3.0, 0.2 + 0.4 / 3.0],
    );
    // The part of its guarantee that a team does not ask for is available to the others.
    assert_close(&fair_shares(&[team(0.6, 0.0, 0.1), team(0.0, 0.0, 2.0)]), &[0.1, 0.9]);
    // A limit applies even if part of the cluster remains unused.
    assert_close(&fair_shares(&[team(0.0, 0.3, 2.0), team(0.0, 0.0, 0.2)]), &[0.3, 0.2]);
    // Guarantees that exceed the cluster together are scaled down in proportion.
    assert_close(&fair_shares(&[team(1.0, 0.0, 1.0), team(1.0, 0.0, 1.0)]), &[0.5, 0.5]);
    assert_close(&fair_shares(&[]), &[]);
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn shares_are_max_min_fair(
        teams in prop::collection::vec((0.0..0.5f64, 0.0..1.0f64, 0.0..2.0f64), 0..8)
    ) {
        let teams: Vec<TeamDemand> = teams.into_iter().map(|(g, l, w)| team(g, l, w)).collect();
        let allocated = fair_shares(&teams);
        prop_assert!(allocated.iter().sum::<f64>() <= 1.0 + 1e-6);
        let usable =
            |t: &TeamDemand| if t.limit > 0.0 { t.wanted.min(t.limit) } else { t.wanted };
        let total_guaranteed: f64 = teams.iter().map(|t| t.guarantee.min(usable(t))).sum();
        for (t, share) in teams.iter().zip(&allocated) {
            prop_assert!(*share <= usable(t) + 1e-6, "at most what the team can use");
            if total_guaranteed <= 1.0 {
                prop_assert!(*share + 1e-6 >= t.guarantee.min(usable(t)), "at least its guarantee");
            }
        }
        // If part of the cluster remains, each team has all that it could use.
        if allocated.iter().sum::<f64>() < 1.0 - 1e-3 {
            for (t, share) in teams.iter().zip(&allocated) {
                prop_assert!((share - usable(t)).abs() < 1e-5, "{allocated:?} of {teams:?}");
            }
        }
    }

    #[test]
    fn the_placement_cost_is_bounded(
        fetch in any::<f64>(),
        run in any::<f64>(),
        load_after in any::<f64>(),
        bound in any::<f64>(),
    ) {
        let (fetch_s, run_s) = (fetch.abs(), run.abs());
        let cost = PlacementOption { fetch_s, run_s, load_after, bound }.cost();
        prop_assert!((0.0..=1.0).contains(&cost), "{cost}");
    }
}

#[test]
fn invalid_numbers_are_ignored() {
    assert_close(
        &fair_shares(&[team(f64::NAN, -1.0, f64::INFINITY), team(0.0, 0.0, 0.5)]),
        &[0.0, 0.5],
    );
    let mut rate = DecayedRate::new(1_000);
    for size in [f64::NAN, f64::INFINITY, -5.0] {
        rate.add(0, size);
    }
    assert_eq!(rate.per_second(0), 0.0);
    assert!(fetch_s(f64::NAN, 0.0, 1.0) > 0.0 && fetch_s(1.0, 0.0, 0.0).is_finite());
}

#[test]
fn a_decayed_rate_matches_steady_arrivals_and_then_halves() {
    let mut rate = DecayedRate::new(10_000);
    for second in 0..200 {
        rate.add(second * 1_000, 3.0);
    }
    assert!((rate.per_second(199_000) - 3.0).abs() < 0.2, "{}", rate.per_second(199_000));
    assert!((rate.per_second(209_000) - 1.5).abs() < 0.1, "half the rate after one half-life");
}

#[test]
fn bursts_are_told_from_hot_teams_and_hot_has_hysteresis() {
    let mut arrivals = Arrivals::default();
    // Both teams ask for half of their share; then one asks for ten times its share for 2 s.
    for second in 0..300u64 {
        arrivals.add(second * 1_000, "steady", 5.0);
        arrivals.add(second * 1_000, "bursting", 5.0);
    }
    for second in 300..302u64 {
        arrivals.add(second * 1_000, "bursting", 100.0);
    }
    assert_eq!(arrivals.classify(302_000, "steady", 10.0), ArrivalLevel::Normal);
    assert_eq!(arrivals.classify(302_000, "bursting", 10.0), ArrivalLevel::Burst);
    for second in 302..500u64 {
        arrivals.add(second * 1_000, "hot", 30.0);
    }
    assert_eq!(arrivals.classify(500_000, "hot", 10.0), ArrivalLevel::Hot);
    assert_eq!(arrivals.hot_teams(), ["hot"]);
    // The team stays hot while it asks for its share, but not once it asks for half of it.
    for second in 500..900u64 {
        arrivals.add(second * 1_000, "hot", 10.0);
    }
    assert_eq!(arrivals.classify(900_000, "hot", 10.0), ArrivalLevel::Hot);
    for second in 900..1_300u64 {
        arrivals.add(second * 1_000, "hot", 5.0);
    }
    assert_eq!(arrivals.classify(1_300_000, "hot", 10.0), ArrivalLevel::Normal);
    assert_eq!(arrivals.classify(1_300_000, "unknown", 10.0), ArrivalLevel::Normal);
    assert_eq!(arrivals.classify(1_300_000, "hot", f64::NAN), ArrivalLevel::Normal);
}

#[test]
fn a_machine_with_the_image_is_preferred_unless_overloaded() {
    let with_image =
        |load_after| PlacementOption { fetch_s: 0.0, run_s: 20.0, load_after, bound: 0.6 }.cost();
    let without_image =
        PlacementOption { fetch_s: 5.0, run_s: 20.0, load_after: 0.1, bound: 0.6 }.cost();
    assert!(with_image(0.6) < without_image, "within the bound");
    assert!(with_image(1.0) > without_image, "0.4 of a machine over the bound");
    // For a short task the fetch outweighs the load.
    let short_task =
        PlacementOption { fetch_s: 20.0, run_s: 5.0, load_after: 0.1, bound: 0.6 }.cost();
    assert!(with_image(1.0) < short_task);
    assert!((fetch_s(2.0, 3.0, 0.5) - 10.0).abs() < 1e-9, "fetches on one machine share its rate");
}
