//! A loopback fleet behind real sockets through both hot cases, small enough for CI. The documented
//! command for the full size is
//! `cargo run --release -p latchtrack-emulator --example spread_report`.

use latchtrack::settings::BalanceTuning;
use latchtrack_emulator::spread::{run, FaultScope, SpreadOptions, SpreadOutcome};

async fn run_fleet(moves: bool, faults: FaultScope) -> SpreadOutcome {
    let options = SpreadOptions {
        seed: 3,
        workers: 24,
        // Quicker than the defaults, so that a run takes half a minute.
        balance: BalanceTuning {
            moves,
            moves_per_minute: 300,
            over_bound_s: 1.0,
            min_run_s: 2.0,
            task_cooldown_s: 5.0,
            machine_gap_s: 0.5,
            moves_delay_s: 1.0,
            ..BalanceTuning::default()
        },
        demand: 0.4,
        run_s: 25,
        faults,
        max_s: 90,
    };
    run(options).await.expect("a fleet that comes up")
}

#[actix_web::test]
async fn moves_keep_the_spread_within_the_bound_and_repeat_nothing() {
    let on = run_fleet(true, FaultScope::None).await;
    assert_eq!(on.history.duplicate_runs(), Vec::<String>::new());
    assert_eq!(on.unfinished, Vec::<String>::new());
    let restored = on.restored_ms().expect("placement packs, and moves spread");
    assert!(restored < 20_000, "restored after {restored} ms");
    let balance = on.balance.as_ref().expect("a leader that balances");
    assert!(balance.moves_settled > 10, "{balance:?}");
    let off = run_fleet(false, FaultScope::None).await;
    assert_eq!((off.history.duplicate_runs().len(), off.unfinished.len()), (0, 0));
    assert!(off.balance.is_none(), "nothing of it is switched on");
    let (with, without) = (
        on.within_bound_share(on.hot_at_ms + 20_000),
        off.within_bound_share(off.hot_at_ms + 20_000),
    );
    assert!(with > without, "{with} of the samples within the bound, {without} without moves");
}

#[actix_web::test]
async fn machines_that_fail_and_leaders_that_change_in_the_middle_of_moves_lose_nothing() {
    let outcome = run_fleet(true, FaultScope::MachinesAndLeader).await;
    assert_eq!(outcome.history.duplicate_runs(), Vec::<String>::new(), "{:#?}", outcome.faults);
    assert_eq!(outcome.unfinished, Vec::<String>::new(), "{:#?}", outcome.faults);
    assert!(outcome.faults.len() >= 4, "{:?}", outcome.faults);
}
