//! A loopback fleet behind real sockets through both hot cases, small enough for CI. The documented command
//! for the full size is `cargo run --release -p latchtrack-emulator --example spread_report`.

use latchtrack::settings::BalanceTuning;
use latchtrack_emulator::spread::{run, SpreadOptions, Troubles};

fn options(moves: bool, troubles: Troubles) -> SpreadOptions {
    SpreadOptions {
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
            calm_s: 1.0,
            ..BalanceTuning::default()
        },
        demand: 0.4,
        run_s: 25,
        troubles,
        most_s: 90,
    }
}

#[actix_web::test]
async fn moves_keep_the_spread_within_the_bound_and_repeat_nothing() {
    let on = run(options(true, Troubles::None)).await;
    assert_eq!(on.history.ran_twice(), Vec::<String>::new());
    assert_eq!(on.lost, Vec::<String>::new());
    let restored = on.restored_ms().expect("the placer packs, and moves spread");
    assert!(restored < 20_000, "restored after {restored} ms");
    let view = on.view.as_ref().unwrap();
    assert!(view.moves_settled > 10, "{view:?}");
    let off = run(options(false, Troubles::None)).await;
    assert_eq!((off.history.ran_twice().len(), off.lost.len()), (0, 0));
    assert!(off.view.is_none(), "nothing of it is switched on");
    let (with, without) =
        (on.within_share(on.hot_at_ms + 20_000), off.within_share(off.hot_at_ms + 20_000));
    assert!(with > without, "{with} of the samples within the bound, {without} without moves");
}

#[actix_web::test]
async fn machines_that_fail_and_leaders_that_change_in_the_middle_of_moves_lose_nothing() {
    let outcome = run(options(true, Troubles::MachinesAndLeader)).await;
    assert_eq!(outcome.history.ran_twice(), Vec::<String>::new(), "{:#?}", outcome.troubles);
    assert_eq!(outcome.lost, Vec::<String>::new(), "{:#?}", outcome.troubles);
    assert!(outcome.troubles.len() >= 4, "{:?}", outcome.troubles);
}
