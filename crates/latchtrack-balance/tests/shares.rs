//! Fair shares, hot teams, the placement term.

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
    // A guarantee is given first, and is the weight for the rest.
    assert_close(
        &fair_shares(&[team(0.4, 0.0, 2.0), team(0.2, 0.0, 2.0)]),
        &[0.4 + 0.4 * 2.0 / 3.0, 0.2 + 0.4 / 3.0],
    );
    // What a team does not ask for is borrowed by the others.
    assert_close(&fair_shares(&[team(0.6, 0.0, 0.1), team(0.0, 0.0, 2.0)]), &[0.1, 0.9]);
    // A limit holds whatever is left.
    assert_close(&fair_shares(&[team(0.0, 0.3, 2.0), team(0.0, 0.0, 0.2)]), &[0.3, 0.2]);
    // Guarantees beyond the cluster are cut alike.
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
        let given = fair_shares(&teams);
        prop_assert!(given.iter().sum::<f64>() <= 1.0 + 1e-6);
        let most = |t: &TeamDemand| if t.limit > 0.0 { t.wanted.min(t.limit) } else { t.wanted };
        let floors: f64 = teams.iter().map(|t| t.guarantee.min(most(t))).sum();
        for (t, share) in teams.iter().zip(&given) {
            prop_assert!(*share <= most(t) + 1e-6, "no more than it asks for and may use");
            if floors <= 1.0 {
                prop_assert!(*share + 1e-6 >= t.guarantee.min(most(t)), "its guarantee");
            }
        }
        // If anything is left, everybody has what it asks for.
        if given.iter().sum::<f64>() < 1.0 - 1e-3 {
            for (t, share) in teams.iter().zip(&given) {
                prop_assert!((share - most(t)).abs() < 1e-5, "{given:?} of {teams:?}");
            }
        }
    }

    #[test]
    fn the_placement_term_is_bounded(
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
fn nonsense_counts_nothing() {
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
fn a_rate_is_exact_for_a_steady_flow_and_forgets() {
    let mut rate = DecayedRate::new(10_000);
    for second in 0..200 {
        rate.add(second * 1_000, 3.0);
    }
    assert!((rate.per_second(199_000) - 3.0).abs() < 0.2, "{}", rate.per_second(199_000));
    assert!((rate.per_second(209_000) - 1.5).abs() < 0.1, "half after a half life");
}

#[test]
fn a_burst_is_told_from_a_hot_team_and_cooling_takes_its_time() {
    let mut arrivals = Arrivals::default();
    // Half of its share all the time, and then ten times as much for two seconds.
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
    // At its share it stays hot, well below it has cooled.
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
fn a_warm_machine_is_preferred_until_it_is_crowded() {
    let warm =
        |load_after| PlacementOption { fetch_s: 0.0, run_s: 20.0, load_after, bound: 0.6 }.cost();
    let cold = PlacementOption { fetch_s: 5.0, run_s: 20.0, load_after: 0.1, bound: 0.6 }.cost();
    assert!(warm(0.6) < cold, "within the bound");
    assert!(warm(1.0) > cold, "0.4 of a machine over it");
    // For a short task the fetch is what counts.
    let short = PlacementOption { fetch_s: 20.0, run_s: 5.0, load_after: 0.1, bound: 0.6 }.cost();
    assert!(warm(1.0) < short);
    assert!((fetch_s(2.0, 3.0, 0.5) - 10.0).abs() < 1e-9, "fetches share the rate");
}
