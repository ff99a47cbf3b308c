//! Cells that race for shared limits through real sockets, a few seeds; the documented command for more is
//! `cargo run --release -p latchtrack-emulator --example quota_report`.

use latchtrack_emulator::history::Happened;
use latchtrack_emulator::race::{run, RaceOptions, RaceOutcome, RUN_MOST_MS};

async fn race(seed: u64, troubles: bool) -> RaceOutcome {
    run(RaceOptions { seed, cells: 3, teams: 2, run_s: 8, troubles }).await
}

#[actix_web::test]
async fn three_cells_that_race_pass_no_limit_and_meet_every_guarantee() {
    let outcome = race(1, false).await;
    assert_eq!(outcome.overshoots(), []);
    assert!(outcome.launches() > 50, "{} launches", outcome.launches());
    // The bound of docs/quota.md, and until tasks of others have ended.
    let most_ms = 3_000 + RUN_MOST_MS;
    assert!(outcome.guarantee_unmet_ms <= most_ms, "{} ms", outcome.guarantee_unmet_ms);
}

#[actix_web::test]
async fn three_cells_of_which_some_fail_pass_no_limit() {
    for seed in 2..5 {
        let outcome = race(seed, true).await;
        assert_eq!(outcome.overshoots(), [], "{:?}", outcome.troubles);
        assert!(!outcome.troubles.is_empty());
        assert!(outcome.launches() > 20, "{} launches", outcome.launches());
    }
}

#[actix_web::test]
async fn a_planted_overshoot_is_found() {
    let mut outcome = race(5, false).await;
    assert_eq!(outcome.overshoots(), []);
    // One task for as long as all run, and as much as the limit, in another cell.
    let job = "req-planted".to_string();
    outcome.jobs[0].insert(job, (0, latchtrack_emulator::race::LIMIT));
    let mut planted = outcome.entries[0][0].clone();
    (planted.task, planted.happened) = ("req-planted/0".into(), Happened::Started);
    outcome.entries[0].push(planted.clone());
    let last = outcome.entries.iter().flatten().map(|entry| entry.at_ms).max().unwrap();
    (planted.at_ms, planted.happened) = (last, Happened::Gone);
    outcome.entries[0].push(planted);
    assert!(!outcome.overshoots().is_empty());
}
