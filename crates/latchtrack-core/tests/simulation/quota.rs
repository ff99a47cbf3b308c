//! Cells that share a team's limit while several of them fail at the same time.

use std::collections::BTreeMap;
use std::ops::Range;

use super::world::faults::PlannedFault;
use super::world::federation::{Federation, IgnoredCondition};
use super::world::size::{Size, CELL, LARGE};

/// Like [`CELL`], with a limit below what one large gang in each cell would use, and more work than
/// it allows.
const TIGHT: Size =
    Size { limited_team_cpus: 14.0, submit_probability: 0.006, end_ms: 420_000, ..CELL };
/// No random faults, and no jobs but those that a test submits.
const IDLE: Size = Size {
    fault_probability: 0.0,
    submit_probability: 0.0,
    cancel_probability: 0.0,
    gang_probability: 0.0,
    ..CELL
};
const CELLS: usize = 3;
/// Few random faults beside the planned ones.
const FEW_RANDOM_FAULTS: Size = Size { fault_probability: 0.004, ..CELL };
const SEEDS: Range<u64> = 0..25;
/// Two bursts of 40 one-task jobs of the limited team, 60 s apart.
const BURST: [(u64, PlannedFault); 2] = [
    (30_000, PlannedFault::SubmitLimitedBurst(40)),
    (90_000, PlannedFault::SubmitLimitedBurst(40)),
];

/// Sums and maxima over a range of seeds.
#[derive(Default)]
struct Totals {
    done: usize,
    occurrences: BTreeMap<&'static str, u64>,
    max_used_cpus: f64,
}

impl Totals {
    fn add(&mut self, federation: &Federation) {
        self.done += federation.jobs_done();
        self.max_used_cpus = self.max_used_cpus.max(federation.max_used_cpus);
        for (what, times) in &federation.occurrences {
            *self.occurrences.entry(what).or_default() += times;
        }
    }

    fn times(&self, what: &str) -> u64 {
        self.occurrences.get(what).copied().unwrap_or(0)
    }
}

/// Runs one federation per seed with the faults of `plan` in some cells. Asserts that no rule is
/// broken and all jobs finish.
fn check_federations(
    name: &str,
    size: Size,
    cells: &[usize],
    plan: &[(u64, PlannedFault)],
    seeds: Range<u64>,
) -> Totals {
    let mut totals = Totals::default();
    for seed in seeds {
        let federation = Federation::new(seed, CELLS, size, IgnoredCondition::Nothing);
        let mut federation = federation.with_planned_faults(cells, plan);
        federation.run();
        assert_eq!(federation.violations, Vec::<String>::new(), "{name}, seed {seed}");
        assert_eq!(federation.unfinished(), Vec::<String>::new(), "{name}, seed {seed}");
        totals.add(&federation);
    }
    totals
}

#[test]
fn three_cells_under_random_faults_share_a_limit() {
    let totals = check_federations("random faults", CELL, &[], &[], SEEDS);
    assert!(totals.done > 500, "{} jobs done", totals.done);
    assert!(totals.max_used_cpus > 36.0, "at most {} CPUs in use", totals.max_used_cpus);
    for what in ["watch skipped", "late write", "response lost", "stale write refused"] {
        assert!(totals.times(what) > 20, "{what}: {:?}", totals.occurrences);
    }
}

/// Every cell submits tasks and gangs of up to the whole limit.
#[test]
fn allotments_below_one_task_keep_the_limit_and_starve_no_cell() {
    let (mut started, mut all) = (0, 0);
    for seed in SEEDS {
        let mut federation = Federation::new(seed, CELLS, TIGHT, IgnoredCondition::Nothing);
        federation.run();
        assert_eq!(federation.violations, Vec::<String>::new(), "seed {seed}");
        for cell in 0..CELLS {
            let (started_here, all_here) = federation.started_jobs(cell);
            assert!(started_here > 0 || all_here == 0, "seed {seed}: none of {all_here} started");
            (started, all) = (started + started_here, all + all_here);
        }
    }
    assert!(started * 4 > all * 3, "{started} of {all} started");
}

#[test]
fn a_burst_on_every_controller_in_the_same_second() {
    let totals = check_federations("burst", CELL, &[0, 1, 2], &BURST, 0..10);
    assert!(totals.times("burst cancelled") > 100, "{:?}", totals.occurrences);
    assert!(totals.max_used_cpus > 38.0, "at most {} CPUs in use", totals.max_used_cpus);
}

/// Two of three cells fail in the same way at the same time, while the third claims what it can.
fn check_two_failing_cells(name: &str, faults: &[(u64, PlannedFault)]) -> Totals {
    let mut plan = faults.to_vec();
    plan.extend(BURST);
    let totals = check_federations(name, FEW_RANDOM_FAULTS, &[0, 1], &plan, 0..6);
    assert!(totals.done > 200, "{name}: {} jobs done", totals.done);
    totals
}

#[test]
fn two_cells_without_controllers_keep_the_limit() {
    let totals =
        check_two_failing_cells("all crash", &[(40_000, PlannedFault::CrashNodes(2, 60_000))]);
    assert!(totals.times("reclaimed") > 5, "{:?}", totals.occurrences);
}

#[test]
fn two_cells_that_lose_the_state_service_keep_the_limit() {
    let totals = check_two_failing_cells(
        "refused",
        &[(40_000, PlannedFault::StateServiceRefusesAll(60_000))],
    );
    assert!(totals.times("reclaimed") > 5, "{:?}", totals.occurrences);
}

#[test]
fn two_cells_that_lose_their_workers_keep_the_limit() {
    check_two_failing_cells(
        "partitioned",
        &[(40_000, PlannedFault::PartitionMachines(1.0, 45_000))],
    );
    check_two_failing_cells("inbound lost", &[(40_000, PlannedFault::LoseInbound(1.0, 45_000))]);
    check_two_failing_cells("outbound lost", &[(40_000, PlannedFault::LoseOutbound(1.0, 45_000))]);
}

#[test]
fn two_cells_with_hung_machines_keep_the_limit() {
    check_two_failing_cells("hang", &[(40_000, PlannedFault::HangMachines(1.0, 12_000))]);
}

#[test]
fn two_cells_in_rolling_restarts_keep_the_limit() {
    let rolls: Vec<(u64, PlannedFault)> =
        (0..8).map(|i| (40_000 + i * 8_000, PlannedFault::RollingRestart(4_000))).collect();
    check_two_failing_cells("rolling restarts", &rolls);
}

#[test]
fn two_cells_with_paused_leaders_keep_the_limit() {
    let pauses =
        [(40_000, PlannedFault::PauseLeader(9_000)), (55_000, PlannedFault::PauseLeader(9_000))];
    check_two_failing_cells("paused", &pauses);
}

#[test]
fn two_leaders_within_one_worker_lease_keep_the_limit() {
    let faults = [
        (38_000, PlannedFault::LateWrites(0.5, 40_000)),
        (40_000, PlannedFault::StateServiceRefusesLeader(20_000)),
        (45_000, PlannedFault::StateServiceRefusesLeader(20_000)),
    ];
    check_two_failing_cells("two leaders", &faults);
}

#[test]
fn an_outage_beyond_every_lease_keeps_the_limit() {
    let plan = [(40_000, PlannedFault::StateServiceOutage(50_000)), BURST[0], BURST[1]];
    let totals = check_federations("down", FEW_RANDOM_FAULTS, &[0, 1, 2], &plan, 0..8);
    assert!(totals.done > 400, "{} jobs done", totals.done);
}

/// Two crashed cells restart at about the time when their allotments are reclaimed.
#[test]
fn cells_that_return_as_they_are_reclaimed_keep_the_limit() {
    let mut reclaims = 0;
    for step in 0..12 {
        // Allotments are reclaimed a little over 20 s after the leader's lease has expired.
        let down = 20_500 + step * 300;
        let plan = [(40_000, PlannedFault::CrashNodes(2, down)), BURST[0], BURST[1]];
        let totals = check_federations("return", FEW_RANDOM_FAULTS, &[0, 1], &plan, step..step + 2);
        reclaims += totals.times("reclaimed") + totals.times("reclaim refused");
    }
    assert!(reclaims > 3, "{reclaims} reclaims");
}

/// The first `quota` violation of any seed while the state service ignores a condition.
fn find_overshoot(ignored: IgnoredCondition, plan: &[(u64, PlannedFault)]) -> Option<String> {
    (0..120).find_map(|seed| {
        let federation = Federation::new(seed, CELLS, TIGHT, ignored);
        let mut federation = federation.with_planned_faults(&[0, 1], plan);
        federation.run();
        federation.violations.into_iter().find(|violation| violation.starts_with("quota"))
    })
}

#[test]
fn writing_a_ledger_without_a_revision_check_is_caught() {
    assert!(find_overshoot(IgnoredCondition::Revision, &BURST).is_some());
}

#[test]
fn reclaiming_before_the_leases_expire_is_caught() {
    let plan = [(40_000, PlannedFault::CrashNodes(2, 60_000)), BURST[0], BURST[1]];
    assert!(find_overshoot(IgnoredCondition::Leases, &plan).is_some());
}

/// Over 4,000 machines in two cells that share one limit; all nodes of one crash for 45 s.
#[test]
#[ignore = "a long run, not for CI"]
fn two_cells_of_over_four_thousand_machines_share_a_limit() {
    let size = Size {
        nodes: 3,
        initial_jobs: 0,
        machines_per_offer: 240,
        limited_team_cpus: 8_000.0,
        ..LARGE
    };
    let plan = [(30_000, PlannedFault::CrashNodes(3, 45_000))];
    let mut federation =
        Federation::new(1, 2, size, IgnoredCondition::Nothing).with_planned_faults(&[0], &plan);
    for cell in &mut federation.cells {
        cell.submit_many(450);
    }
    federation.run();
    assert_eq!(federation.violations, Vec::<String>::new());
    let up: usize = federation.cells.iter().map(|cell| cell.stats.max_machines_up).sum();
    assert!(up > 4_000, "{up} machines up");
    assert!(
        federation.max_used_cpus > 0.7 * size.limited_team_cpus,
        "{} in use",
        federation.max_used_cpus
    );
    println!("{up} machines, {} jobs done, {} writes", federation.jobs_done(), federation.writes);
}

/// Steps until `until`, ms. Panics if a rule is broken.
fn run_until(federation: &mut Federation, until: u64) {
    while federation.now() < until {
        federation.step();
        assert_eq!(federation.violations, Vec::<String>::new());
    }
}

/// Millicpus allotted to a cell; 0 if the ledger is missing or unreadable.
fn allotted(federation: &Federation, cell: &str) -> u64 {
    federation.ledger().map_or(0, |ledger| ledger.allotted_to(cell).millicpus)
}

fn idle_federation(seed: u64) -> Federation {
    Federation::new(seed, CELLS, IDLE, IgnoredCondition::Nothing)
}

#[test]
fn idle_allotments_move_to_another_cell_within_three_seconds() {
    for seed in 0..10 {
        let mut federation = idle_federation(seed);
        run_until(&mut federation, 8_000);
        federation.cells[0].submit_limited(40, 1.0);
        run_until(&mut federation, 11_000);
        assert_eq!(
            allotted(&federation, "cell-0"),
            40_000,
            "the whole limit, mostly unused while machines boot"
        );
        federation.cells[0].cancel_all();
        federation.cells[1].submit_limited(10, 1.0);
        let asked = federation.now();
        while allotted(&federation, "cell-1") < 10_000 {
            let next = federation.now() + 50;
            run_until(&mut federation, next);
            assert!(
                federation.now() <= asked + 3_000,
                "seed {seed}: {:?}",
                federation.stored_text()
            );
        }
    }
}

/// One cell uses the whole limit and has more work waiting, and another wants as much. A third asks
/// for what the team's guarantee covers.
#[test]
fn a_guarantee_is_met_as_tasks_of_other_cells_end() {
    for seed in 0..6 {
        let mut federation = idle_federation(seed);
        run_until(&mut federation, 8_000);
        federation.cells[0].submit_limited(400, 1.0);
        run_until(&mut federation, 40_000);
        assert!(federation.used_cpus(0) > 15.0, "{} in use", federation.used_cpus(0));
        federation.cells[2].submit_limited(400, 1.0);
        federation.cells[1].submit_limited(4, 1.0);
        let asked = federation.now();
        while allotted(&federation, "cell-1") < 4_000 {
            let next = federation.now() + 50;
            run_until(&mut federation, next);
            // 3 s, and up to 5 s until four of about forty tasks of 2 to 45 s have ended.
            assert!(
                federation.now() < asked + 3_000 + 5_000,
                "seed {seed}: {:?}",
                federation.stored_text()
            );
        }
    }
}

/// Two cells submit a gang as large as the limit at once, while a third uses part of the limit.
#[test]
fn two_gangs_as_large_as_the_limit_run_one_after_the_other() {
    for seed in 0..6 {
        let size = Size { limited_team_cpus: 16.0, ..IDLE };
        let mut federation = Federation::new(seed, CELLS, size, IgnoredCondition::Nothing);
        run_until(&mut federation, 8_000);
        federation.cells[2].submit_limited(12, 1.0);
        federation.cells[0].submit_limited_gang(4, 4.0);
        federation.cells[1].submit_limited_gang(4, 4.0);
        while !federation.unfinished().is_empty() {
            let next = federation.now() + 1_000;
            run_until(&mut federation, next);
            assert!(federation.now() < 300_000, "seed {seed}: {:?}", federation.stored_text());
        }
    }
}

#[test]
fn a_lost_ledger_is_rebuilt_from_running_tasks() {
    for seed in 0..10 {
        let federation = Federation::new(seed, CELLS, CELL, IgnoredCondition::Nothing);
        let mut federation = federation.with_planned_faults(&[0, 1, 2], &BURST);
        run_until(&mut federation, 60_000);
        federation.delete_stored_ledger();
        federation.run();
        assert_eq!(federation.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(federation.unfinished(), Vec::<String>::new(), "seed {seed}");
        assert!(federation.ledger().is_some_and(|ledger| ledger.complete));
    }
}

/// While a team's ledger is unreadable, none of its tasks is launched and the ledger is not
/// overwritten; the other team's tasks run.
#[test]
fn an_unusable_ledger_stops_only_its_team() {
    let newer = r#"{"version":9,"limit":{"millicpus":40000},"how":"unknown"}"#;
    let negative = r#"{"version":1,"limit":{"millicpus":-4}}"#;
    for text in ["{}", "[1]", newer, r#""""#, negative] {
        let mut federation = idle_federation(3).with_stored_ledger(text);
        for cell in 0..CELLS {
            federation.cells[cell].submit_limited(4, 1.0);
            federation.cells[cell].submit_free(4, 1.0);
        }
        run_until(&mut federation, 60_000);
        assert_eq!(federation.stored_text(), Some(text), "not overwritten");
        for cell in 0..CELLS {
            assert_eq!(federation.started_jobs(cell), (0, 1), "{text}");
            assert_eq!(federation.cells[cell].jobs_done(), 1, "{text}");
        }
    }
}

/// More than the limit is allotted: nothing new starts until the cells have returned the excess.
#[test]
fn an_overallotted_ledger_is_corrected_by_its_cells() {
    let text = r#"{"version":1,"limit":{"millicpus":40000},"complete":true,"cells":{
        "cell-0":{"allotted":{"millicpus":30000},"term":1},
        "cell-1":{"allotted":{"millicpus":30000},"term":1}}}"#;
    let mut federation = idle_federation(3).with_stored_ledger(text);
    federation.cells[2].submit_limited(4, 1.0);
    run_until(&mut federation, 30_000);
    let ledger = federation.ledger().expect("a readable ledger");
    assert!(!ledger.is_overallotted(), "{ledger:?}");
    run_until(&mut federation, 90_000);
    assert_eq!(federation.unfinished(), Vec::<String>::new());
}

#[test]
fn lowered_limits_apply_as_tasks_end_and_raised_ones_at_once() {
    let mut federation = idle_federation(5);
    run_until(&mut federation, 8_000);
    for cell in 0..CELLS {
        federation.cells[cell].submit_limited(400, 1.0);
    }
    run_until(&mut federation, 40_000);
    assert!(federation.max_used_cpus > 30.0, "{} in use", federation.max_used_cpus);
    federation.set_limit(10.0);
    // Every task ends within 45 s of its start, and one launched before starts within 2 s.
    run_until(&mut federation, 90_000);
    assert!(federation.total_used_cpus() <= 10.0, "{} in use", federation.total_used_cpus());
    federation.set_limit(40.0);
    run_until(&mut federation, 120_000);
    assert!(federation.total_used_cpus() > 20.0, "{} in use", federation.total_used_cpus());
}
