//! The load spread experiment over real sockets, at a size suitable for CI. For the full size, use
//! `cargo run --release -p latchtrack-emulator --example spread_report`.

use latchtrack::settings::BalanceTuning;
use latchtrack_emulator::spread::{run, FaultScope, SpreadOptions, SpreadOutcome};

async fn run_fleet(moves: bool, faults: FaultScope) -> SpreadOutcome {
    let options = SpreadOptions {
        seed: 3,
        workers: 24,
        // Shorter than the defaults, so that a run takes half a minute.
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
    run(options).await.expect("the fleet comes up")
}

#[actix_web::test]
async fn moves_restore_the_load_bound_without_duplicate_runs() {
    let on = run_fleet(true, FaultScope::None).await;
    assert_eq!(on.history.duplicate_runs(), Vec::<String>::new());
    assert_eq!(on.unfinished, Vec::<String>::new());
    let restored =
        on.restored_ms().expect("moves restore the bound that placement exceeded by packing");
    assert!(restored < 20_000, "restored after {restored} ms");
    let balance = on.balance.as_ref().expect("the leader reports its balance");
    assert!(balance.moves_settled > 10, "{balance:?}");
    let off = run_fleet(false, FaultScope::None).await;
    assert_eq!((off.history.duplicate_runs().len(), off.unfinished.len()), (0, 0));
    assert!(off.balance.is_none(), "balancing is off");
    let (with, without) = (
        on.within_bound_share(on.hot_at_ms + 20_000),
        off.within_bound_share(off.hot_at_ms + 20_000),
    );
    assert!(with > without, "{with} of the samples within the bound, {without} without moves");
}

#[actix_web::test]
async fn no_task_is_lost_when_machines_and_leaders_fail_during_moves() {
    let outcome = run_fleet(true, FaultScope::MachinesAndLeader).await;
    assert_eq!(outcome.history.duplicate_runs(), Vec::<String>::new(), "{:#?}", outcome.faults);
    assert_eq!(outcome.unfinished, Vec::<String>::new(), "{:#?}", outcome.faults);
    assert!(outcome.faults.len() >= 4, "{:?}", outcome.faults);
    let copies = outcome.history.call_copies;
    assert!(copies.executed + copies.rejected >= 10, "{copies:?}");
}
