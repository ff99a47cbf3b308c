//! Seeded runs of the core in a small world that loses, delays, repeats and reorders messages as
//! the protocol allows, with nodes that crash, pause and drift, machines that die, hang and are
//! cut off, and outages of the state service and the cloud. After each step every rule is checked
//! against what really runs. Each guard is broken once on purpose, from outside the core, to show
//! that the checks would tell.

mod world;

use world::{Broken, World};

const SEEDS: std::ops::Range<u64> = 0..60;

#[test]
fn the_rules_hold_and_the_work_gets_done() {
    let (mut done, mut terms, mut late) = (0, 0, 0);
    for seed in SEEDS {
        let mut world = World::new(seed, Broken::Nothing);
        world.run();
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.unfinished(), Vec::<String>::new(), "seed {seed}");
        done += world.jobs_done();
        terms += world.terms;
        late += world.late_commands;
    }
    // The runs must have been troubled enough to mean something.
    assert!(done > 600, "{done} jobs done");
    assert!(terms > 120, "{terms} terms");
    assert!(late > 100, "{late} commands executed late");
}

/// Runs seeds until the checker speaks up; panics if it never does.
fn caught(broken: Broken, rule: &str) {
    for seed in 0..300 {
        let mut world = World::new(seed, broken);
        world.run();
        if world.violations.iter().any(|v| v.starts_with(rule)) {
            return;
        }
    }
    panic!("{broken:?} was never caught as {rule}");
}

#[test]
fn launching_before_the_machines_are_settled_is_caught() {
    caught(Broken::NoSettling, "ran_twice");
}

#[test]
fn taking_silence_for_death_is_caught() {
    caught(Broken::SilenceIsDeath, "ran_twice");
}

#[test]
fn acting_without_a_valid_lease_is_caught() {
    // Tokens save the day as long as a successor speaks to the machines; alone, the lease must.
    let lonely = |seed, broken| {
        let mut world = World::new(seed, broken).lonely();
        world.run();
        world.violations
    };
    for seed in 0..30 {
        assert_eq!(lonely(seed, Broken::Nothing), Vec::<String>::new(), "seed {seed}");
    }
    let caught =
        |seed| lonely(seed, Broken::NoLease).iter().any(|v| v.starts_with("ran_cancelled"));
    assert!((0..300).any(caught), "never caught");
}

#[test]
fn launching_before_the_machine_is_stored_is_caught() {
    caught(Broken::NotStored, "ran_twice");
}

#[test]
fn forgetting_while_a_command_is_open_is_caught() {
    caught(Broken::EarlyForget, "ran_twice");
}

#[test]
fn writing_without_a_fence_is_caught() {
    caught(Broken::NoFence, "went_back");
}

#[test]
fn ignoring_cancellations_is_caught() {
    caught(Broken::DeafToCancel, "ran_cancelled");
}

#[test]
fn ignoring_a_team_limit_is_caught() {
    caught(Broken::NoLimit, "quota");
}

#[test]
fn ignoring_where_a_job_may_run_is_caught() {
    caught(Broken::AnyPlace, "wrong_place");
}

#[test]
fn calling_a_job_done_too_early_is_caught() {
    caught(Broken::EarlyDone, "not_done");
}
