//! Tests of the state machine of a move: in any order of events, capacity is reserved on the
//! targets exactly until the launch or the end of the move.

mod common;

use common::*;
use latchtrack_balance::constants::{
    LAUNCH_TIMEOUT_MS, RESERVATION_TIMEOUT_MS, STOP_TIMEOUT_MARGIN_MS,
};
use latchtrack_balance::moves::{AbandonReason, Move, MoveEvent, MoveStage, MoveUnit};
use latchtrack_balance::resources::Resources;
use proptest::prelude::*;

const GANG: MoveUnit = MoveUnit { job: 7, task: None };

fn event() -> impl Strategy<Value = MoveEvent> {
    prop_oneof![
        Just(MoveEvent::StopSent),
        (0u32..4).prop_map(|task| MoveEvent::Ended { task }),
        Just(MoveEvent::Launched),
        (0u32..4).prop_map(|task| MoveEvent::Running { task }),
        Just(MoveEvent::Tick),
        Just(MoveEvent::Failed(AbandonReason::TargetLost)),
    ]
}

fn rank(stage: MoveStage) -> u32 {
    match stage {
        MoveStage::Reserved => 0,
        MoveStage::Stopping => 1,
        MoveStage::Ready => 2,
        MoveStage::Launching => 3,
        MoveStage::Settled | MoveStage::Abandoned(_) => 4,
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn stages_only_go_forward_and_reserve_capacity_until_the_launch(
        events in prop::collection::vec((event(), 0u64..20_000), 0..40)
    ) {
        let mut m = sample_move(GANG, &[0, 1, 2]);
        let mut now = 0;
        for (event, later) in events {
            now += later;
            let before = m.clone();
            let changed = m.handle(now, event);
            prop_assert!(rank(m.stage) >= rank(before.stage));
            prop_assert_eq!(changed, m.stage != before.stage);
            if before.stage.is_final() {
                prop_assert_eq!(&m, &before, "a finished move does not change");
            }
            let reserves =
                matches!(m.stage, MoveStage::Reserved | MoveStage::Stopping | MoveStage::Ready);
            let reserved = if reserves { cpus_and_memory(6.0) } else { Resources::default() };
            prop_assert_eq!(m.reserved_on("n-000001"), reserved);
            prop_assert_eq!(m.reserved_on("n-000000"), Resources::default());
            if matches!(m.stage, MoveStage::Ready | MoveStage::Launching | MoveStage::Settled) {
                let all_ended = m.task_moves.iter().all(|task_move| task_move.ended);
                prop_assert!(all_ended, "every task has stopped on its source");
            }
        }
    }

    /// The timeouts end a move even if events are lost or out of order.
    #[test]
    fn every_move_ends_in_bounded_time(events in prop::collection::vec(event(), 0..20)) {
        let mut m = sample_move(GANG, &[0, 1, 2]);
        for event in events {
            m.handle(0, event);
        }
        let stop_ms = m.save_ms + STOP_TIMEOUT_MARGIN_MS;
        let most = RESERVATION_TIMEOUT_MS * 2 + stop_ms + LAUNCH_TIMEOUT_MS;
        for now in (0..=most).step_by(1_000) {
            m.handle(now, MoveEvent::Tick);
        }
        prop_assert!(m.stage.is_final(), "{:?}", m.stage);
    }
}

fn apply_all(m: &mut Move, events: &[MoveEvent]) {
    for event in events {
        assert!(m.handle(0, *event), "{event:?} at {:?}", m.stage);
    }
}

#[test]
fn a_task_move_passes_through_all_stages() {
    let mut m = sample_move(MoveUnit { job: 7, task: Some(3) }, &[3]);
    assert_eq!(m.leaving_from("n-000000"), cpus_and_memory(2.0));
    let events = [
        MoveEvent::StopSent,
        MoveEvent::Ended { task: 3 },
        MoveEvent::Launched,
        MoveEvent::Running { task: 3 },
    ];
    apply_all(&mut m, &events);
    assert_eq!(m.stage, MoveStage::Settled);
    assert_eq!(m.leaving_from("n-000000"), Resources::default());
}

#[test]
fn a_gang_is_launched_only_when_all_its_tasks_have_ended() {
    let mut m = sample_move(GANG, &[0, 1]);
    m.handle(0, MoveEvent::StopSent);
    m.handle(0, MoveEvent::Ended { task: 0 });
    m.handle(0, MoveEvent::Ended { task: 0 });
    assert_eq!(m.stage, MoveStage::Stopping, "a repeated event does not count for the other task");
    assert!(!m.handle(0, MoveEvent::Launched));
    m.handle(0, MoveEvent::Ended { task: 1 });
    assert_eq!(m.stage, MoveStage::Ready);
}

#[test]
fn each_stage_times_out() {
    let stop = [MoveEvent::StopSent];
    let ended = [MoveEvent::StopSent, MoveEvent::Ended { task: 0 }];
    let launched = [MoveEvent::StopSent, MoveEvent::Ended { task: 0 }, MoveEvent::Launched];
    for (events, ms, reason) in [
        (&[][..], RESERVATION_TIMEOUT_MS, AbandonReason::StopNotSent),
        (&stop[..], 2_000 + STOP_TIMEOUT_MARGIN_MS, AbandonReason::StopTimedOut),
        (&ended[..], RESERVATION_TIMEOUT_MS, AbandonReason::TargetFull),
        (&launched[..], LAUNCH_TIMEOUT_MS, AbandonReason::StartTimedOut),
    ] {
        let mut m = sample_move(GANG, &[0]);
        apply_all(&mut m, events);
        assert!(!m.handle(ms - 1, MoveEvent::Tick), "{reason}");
        assert!(m.handle(ms, MoveEvent::Tick));
        assert_eq!(m.stage, MoveStage::Abandoned(reason));
    }
}
