//! Races of cells for shared limits over real sockets, with a few seeds. For more seeds, use
//! `cargo run --release -p latchtrack-emulator --example quota_report`.

use latchtrack_emulator::history::TaskEvent;
use latchtrack_emulator::race::{
    run, Overshoot, RaceOptions, RaceOutcome, SubmittedJob, LIMIT_CPUS, MAX_TASK_MS,
};

/// The bound in docs/quota.md on the wait for resources that other cells hold but do not use, ms.
const GRANT_BOUND_MS: u64 = 3_000;

async fn run_race(seed: u64, faults: bool) -> RaceOutcome {
    let options = RaceOptions { seed, cells: 3, teams: 2, run_s: 8, faults };
    run(options).await.expect("the cells become ready")
}

#[actix_web::test]
async fn racing_cells_stay_within_limits_and_meet_guarantees() {
    let outcome = run_race(1, false).await;
    assert_eq!(outcome.overshoots(), Vec::<Overshoot>::new());
    assert!(outcome.launches() > 50, "{} launches", outcome.launches());
    // Tasks of other cells may have to end first.
    let bound_ms = GRANT_BOUND_MS + MAX_TASK_MS;
    assert!(outcome.guarantee_unmet_ms <= bound_ms, "{} ms", outcome.guarantee_unmet_ms);
}

#[actix_web::test]
async fn racing_cells_stay_within_limits_when_some_fail() {
    for seed in 2..5 {
        let outcome = run_race(seed, true).await;
        assert_eq!(outcome.overshoots(), Vec::<Overshoot>::new(), "{:?}", outcome.faults);
        assert!(!outcome.faults.is_empty());
        assert!(outcome.launches() > 20, "{} launches", outcome.launches());
    }
}

#[actix_web::test]
async fn an_injected_overshoot_is_detected() {
    let mut outcome = run_race(5, false).await;
    assert_eq!(outcome.overshoots(), Vec::<Overshoot>::new());
    // Adds a task that takes the whole limit for the duration of the race.
    let job = "req-injected".to_string();
    outcome.jobs[0].insert(job, SubmittedJob { team: 0, cpus: LIMIT_CPUS });
    let mut injected = outcome.entries[0][0].clone();
    (injected.task, injected.event) = ("req-injected/0".into(), TaskEvent::Started);
    outcome.entries[0].push(injected.clone());
    let last = outcome.entries.iter().flatten().map(|entry| entry.at_ms).max().expect("an entry");
    (injected.at_ms, injected.event) = (last, TaskEvent::Ended);
    outcome.entries[0].push(injected);
    assert!(!outcome.overshoots().is_empty());
}
