//! Cells that race for shared limits through real sockets, a few seeds; the documented command for
//! more is `cargo run --release -p latchtrack-emulator --example quota_report`.

use latchtrack_emulator::history::TaskEvent;
use latchtrack_emulator::race::{
    run, Overshoot, RaceOptions, RaceOutcome, SubmittedJob, LIMIT_CPUS, MAX_TASK_MS,
};

/// The bound of docs/quota.md on the wait for what other cells hold idle, ms.
const GRANT_BOUND_MS: u64 = 3_000;

async fn race(seed: u64, faults: bool) -> RaceOutcome {
    let options = RaceOptions { seed, cells: 3, teams: 2, run_s: 8, faults };
    run(options).await.expect("cells that are ready")
}

#[actix_web::test]
async fn three_cells_that_race_pass_no_limit_and_meet_every_guarantee() {
    let outcome = race(1, false).await;
    assert_eq!(outcome.overshoots(), Vec::<Overshoot>::new());
    assert!(outcome.launches() > 50, "{} launches", outcome.launches());
    // And until tasks of others have ended.
    let bound_ms = GRANT_BOUND_MS + MAX_TASK_MS;
    assert!(outcome.guarantee_unmet_ms <= bound_ms, "{} ms", outcome.guarantee_unmet_ms);
}

#[actix_web::test]
async fn three_cells_of_which_some_fail_pass_no_limit() {
    for seed in 2..5 {
        let outcome = race(seed, true).await;
        assert_eq!(outcome.overshoots(), Vec::<Overshoot>::new(), "{:?}", outcome.faults);
        assert!(!outcome.faults.is_empty());
        assert!(outcome.launches() > 20, "{} launches", outcome.launches());
    }
}

#[actix_web::test]
async fn a_planted_overshoot_is_found() {
    let mut outcome = race(5, false).await;
    assert_eq!(outcome.overshoots(), Vec::<Overshoot>::new());
    // One task for as long as all run, and as much as the limit, in another cell.
    let job = "req-planted".to_string();
    outcome.jobs[0].insert(job, SubmittedJob { team: 0, cpus: LIMIT_CPUS });
    let mut planted = outcome.entries[0][0].clone();
    (planted.task, planted.event) = ("req-planted/0".into(), TaskEvent::Started);
    outcome.entries[0].push(planted.clone());
    let last = outcome.entries.iter().flatten().map(|entry| entry.at_ms).max().expect("an entry");
    (planted.at_ms, planted.event) = (last, TaskEvent::Ended);
    outcome.entries[0].push(planted);
    assert!(!outcome.overshoots().is_empty());
}
