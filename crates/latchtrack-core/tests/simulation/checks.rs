//! Runs of worlds with planned faults, and what is expected of each.

use super::world::faults::PlannedFault;
use super::world::guards::DisabledGuard;
use super::world::size::Size;
use super::world::World;

/// Troubles at set times: each run ends with every rule kept, every job done and every class, team
/// and largest job served.
pub fn check_runs(
    what: &str,
    size: Size,
    seeds: std::ops::Range<u64>,
    plan: &[(u64, PlannedFault)],
) -> u64 {
    check_runs_with(what, size, seeds, plan, &[])
}

/// The same, and what the troubles were to bring about came about so often, in all seeds together.
pub fn check_runs_with(
    what: &str,
    size: Size,
    seeds: std::ops::Range<u64>,
    plan: &[(u64, PlannedFault)],
    least: &[(&str, u64)],
) -> u64 {
    let mut terms = 0;
    let mut met = std::collections::BTreeMap::new();
    for seed in seeds {
        let mut world = World::sized(seed, DisabledGuard::None, size).planned(plan);
        world.run();
        assert_eq!(world.violations, Vec::<String>::new(), "{what}, seed {seed}");
        assert_eq!(world.unfinished(), Vec::<String>::new(), "{what}, seed {seed}");
        assert_eq!(world.poorly_served(), Vec::<String>::new(), "{what}, seed {seed}");
        terms += world.stats.terms;
        for (name, n) in world.occurrences {
            *met.entry(name).or_insert(0) += n;
        }
    }
    for (name, n) in least {
        let times = met.get(name).copied().unwrap_or(0);
        assert!(times >= *n, "{what}: {name} {times} times, {n} at least");
    }
    terms
}
