//! Runs worlds with planned faults and asserts what every such run must satisfy.

use super::world::faults::PlannedFault;
use super::world::guards::DisabledGuard;
use super::world::size::Size;
use super::world::World;

/// Runs one world per seed with the faults of `plan`. Asserts that no rule was broken, every job
/// finished, and no class, team or large job was starved. Returns the number of terms of all runs.
pub fn check_runs(
    what: &str,
    size: Size,
    seeds: std::ops::Range<u64>,
    plan: &[(u64, PlannedFault)],
) -> u64 {
    check_runs_with(what, size, seeds, plan, &[])
}

/// Like [`check_runs`], but also asserts that each of `min_occurrences` was counted at least that
/// often, summed over all seeds.
pub fn check_runs_with(
    what: &str,
    size: Size,
    seeds: std::ops::Range<u64>,
    plan: &[(u64, PlannedFault)],
    min_occurrences: &[(&str, u64)],
) -> u64 {
    let mut terms = 0;
    let mut occurrences = std::collections::BTreeMap::new();
    for seed in seeds {
        let mut world = World::sized(seed, DisabledGuard::None, size).with_planned_faults(plan);
        world.run();
        assert_eq!(world.violations, Vec::<String>::new(), "{what}, seed {seed}");
        assert_eq!(world.unfinished(), Vec::<String>::new(), "{what}, seed {seed}");
        assert_eq!(world.poorly_served(), Vec::<String>::new(), "{what}, seed {seed}");
        terms += world.stats.terms;
        for (name, times) in world.occurrences {
            *occurrences.entry(name).or_insert(0) += times;
        }
    }
    for (name, min_times) in min_occurrences {
        let times = occurrences.get(name).copied().unwrap_or(0);
        assert!(times >= *min_times, "{what}: {name} {times} times, {min_times} at least");
    }
    terms
}

/// Asserts that, for some seed, `rule` is reported as broken with the guard disabled.
pub fn assert_violation(
    guard: DisabledGuard,
    rule: &str,
    size: Size,
    plan: &[(u64, PlannedFault)],
) {
    let is_violated = |seed| {
        let mut world = World::sized(seed, guard, size).with_planned_faults(plan);
        world.run();
        world.violations.iter().any(|v| v.starts_with(rule))
    };
    assert!((0..60).any(is_violated), "{guard:?} was never caught as {rule}");
}
