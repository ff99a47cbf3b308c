//! Two faults at once: a test for each meeting that has broken rules, or might. The table in
//! docs/fault-interactions.md names them; what users are answered is tested over real sockets.

use super::checks::check_runs_with;
use super::world::faults::PlannedFault;
use super::world::guards::DisabledGuard;
use super::world::size::{Size, BUSY, FLEET};
use super::world::World;
use PlannedFault::*;

/// More of everything that runs long, so that faults find tasks at work.
const CROWDED: Size =
    Size { initial_jobs: 25, submit_probability: 0.03, limited_team_cpus: 60.0, ..BUSY };

/// The limited team is at its limit, at nearly all times.
const AT_LIMIT: Size =
    Size { initial_jobs: 15, submit_probability: 0.015, limited_team_cpus: 16.0, ..BUSY };

/// The world's `cancel_s` is 25 s, its workers' lease 15 s, its leaders' 3 s.
const BEYOND_CANCEL: u64 = 32_000;

/// A day of cancellations between the refusal of the leader and an outage, as far apart as these
/// say.
fn gap(cancelled_after: u64, outage_after: u64) -> Vec<(u64, PlannedFault)> {
    let once = |at: u64| {
        [
            (at, StateServiceRefusesLeader(7_000)),
            (at + cancelled_after, CancelRunning(12, 0)),
            (at + outage_after, StateServiceOutage(BEYOND_CANCEL)),
        ]
    };
    [20_000, 90_000].into_iter().flat_map(once).collect()
}

#[test]
fn cancelled_while_the_leader_is_refused_alone_before_a_long_outage() {
    // An outage before the leader's lease has run out, at its end, and after a second leader has
    // won and, with luck, not read the stored state yet.
    for outage_after in [1_000, 2_000, 2_900, 3_100, 3_400, 4_500] {
        let plan = gap(700, outage_after);
        check_runs_with("gap", CROWDED, 0..6, &plan, &[("cancelled while running", 30)]);
    }
}

#[test]
fn cancelled_at_the_very_moment_at_which_the_leader_is_refused() {
    for outage_after in [100, 1_000] {
        let plan = gap(0, outage_after);
        check_runs_with("at the moment", CROWDED, 0..6, &plan, &[("cancelled while running", 30)]);
    }
}

#[test]
fn cancelled_jobs_whose_machines_hang_before_a_long_outage() {
    let mut plan = gap(600, 1_500);
    plan.extend([(21_500, CancelRunning(8, 14_000)), (91_000, CancelRunning(8, 30_000))]);
    check_runs_with("hanging", CROWDED, 0..12, &plan, &[("cancelled while running", 100)]);
}

#[test]
fn machines_that_are_up_at_once_get_work_while_writes_lag_and_the_leader_ends() {
    let plan = [
        (1_500, SlowBoots(0.1, 0.0, 150_000)),
        (2_000, LateWrites(0.5, 140_000)),
        (6_000, CrashNodes(1, 2_000)),
        (9_000, CrashNodes(1, 200)),
        (14_000, CrashAllNodes),
        (40_000, RollingRestart(4_000)),
        (90_000, PauseLeader(8_000)),
        (92_000, PartitionMachines(0.3, 10_000)),
    ];
    let size = Size { submit_probability: 0.04, ..BUSY };
    check_runs_with("late writes", size, 0..16, &plan, &[("late write", 300)]);
}

#[test]
fn a_write_whose_answer_is_lost_or_that_comes_late_after_newer_ones() {
    let plan = [
        (5_000, LostWriteResponses(0.4, 60_000)),
        (30_000, CrashAllNodes),
        (50_000, StateServiceRefusesLeader(6_000)),
        (70_000, LateWrites(0.4, 60_000)),
        (72_000, LostWriteResponses(0.3, 60_000)),
        (90_000, RollingRestart(5_000)),
    ];
    let least = [("late write", 100), ("response lost", 300)];
    check_runs_with("lost answers", CROWDED, 0..12, &plan, &least);
}

#[test]
fn old_heartbeats_reach_every_node_as_a_new_leader_begins() {
    let plan = [
        (2_000, ReplayToNextLeader(0.3, 130_000)),
        (20_000, CrashNodes(1, 3_000)),
        (40_000, HangMachines(0.4, 17_000)),
        (56_000, PauseLeader(9_000)),
        (80_000, PartitionMachines(0.4, 20_000)),
        (85_000, CrashAllNodes),
        (101_000, RollingRestart(6_000)),
    ];
    check_runs_with("copies", CROWDED, 0..12, &plan, &[("heartbeat replayed", 5_000)]);
}

#[test]
fn old_heartbeats_of_earlier_epochs_and_attempts_arrive_after_newer_ones() {
    let size = Size { duplicate_probability: 0.4, ..CROWDED };
    let plan = [
        (15_000, HangMachines(0.5, 17_000)),
        (50_000, LoseOutbound(0.5, 18_000)),
        (80_000, CrashNodes(5, 18_000)),
        (110_000, RollingRestart(3_000)),
    ];
    check_runs_with("earlier epochs", size, 0..12, &plan, &[]);
}

#[test]
fn workers_that_reach_no_node_are_reached_by_commands_alone() {
    let plan = [
        (15_000, LoseOutbound(0.5, 40_000)),
        (22_000, CancelRunning(6, 5_000)),
        (30_000, CrashNodes(1, 2_000)),
        (70_000, LoseOutbound(1.0, 25_000)),
        (75_000, CancelRunning(6, 0)),
        (80_000, StateServiceRefusesLeader(9_000)),
    ];
    check_runs_with(
        "outbound lost",
        CROWDED,
        0..12,
        &plan,
        &[("heartbeat lost", 5_000), ("cancelled while running", 60)],
    );
}

#[test]
fn the_leader_ends_while_machines_with_long_tasks_hear_nothing() {
    let plan = [
        (15_000, LoseInbound(0.4, 40_000)),
        (16_000, CancelRunning(6, 12_000)),
        (20_000, CrashNodes(1, 10_000)),
        (33_000, CrashNodes(1, 200)),
        (70_000, PartitionMachines(0.4, 30_000)),
        (72_000, CancelRunning(6, 0)),
        (73_000, CrashAllNodes),
        (84_000, PauseLeader(10_000)),
    ];
    check_runs_with("inbound lost", CROWDED, 0..12, &plan, &[("cancelled while running", 60)]);
}

#[test]
fn leaders_change_ten_times_in_two_minutes_also_in_an_outage() {
    let mut plan: Vec<_> = (0..10).map(|i| (10_000 + i * 12_000, CrashNodes(1, 900))).collect();
    plan.extend([
        (31_000, StateServiceOutage(10_000)),
        (33_000, CrashAllNodes),
        (80_000, StateServiceOutage(18_000)),
    ]);
    plan.extend([(60_000, PartitionMachines(0.3, 30_000)), (61_000, CancelRunning(6, 10_000))]);
    let terms = check_runs_with("ten leaders", CROWDED, 0..8, &plan, &[]);
    assert!(terms >= 8 * 9, "{terms} terms");
}

#[test]
fn teams_at_their_limit_lose_jobs_whose_machines_cannot_be_reached_as_the_leader_changes() {
    let plan = [
        (20_000, PartitionMachines(0.4, 25_000)),
        (21_000, CancelRunning(10, 12_000)),
        (22_000, CrashNodes(1, 6_000)),
        (24_000, CancelRunning(10, 12_000)),
        (70_000, LoseInbound(0.3, 30_000)),
        (71_000, CrashNodes(1, 300)),
        (71_500, CancelRunning(10, 20_000)),
        (72_000, HangMachines(0.3, 13_000)),
        (75_000, StateServiceRefusesLeader(8_000)),
        (110_000, CancelRunning(10, 13_000)),
        (110_500, CrashAllNodes),
    ];
    check_runs_with("at the limit", AT_LIMIT, 0..16, &plan, &[("cancelled while running", 150)]);
}

#[test]
fn cancelled_in_the_seconds_in_which_work_changes_hands() {
    let plan: Vec<_> = [20_000, 50_000, 80_000, 110_000]
        .into_iter()
        .flat_map(|at| {
            let cancels = (0..8).map(move |i| (at + i * 600, CancelRunning(2, 0)));
            cancels.chain([
                (at + 300, PauseLeader(9_000)),
                (at + 4_400, StateServiceRefusesLeader(8_000)),
            ])
        })
        .collect();
    check_runs_with("changing hands", CROWDED, 0..12, &plan, &[("cancelled while running", 150)]);
}

#[test]
fn a_cancellation_meets_the_end_of_the_last_task() {
    let plan = [
        (2_000, CancelAtCompletion(0.5, 140_000)),
        (40_000, CrashAllNodes),
        (90_000, CrashNodes(1, 900)),
    ];
    let least = [("cancelled at completion", 100)];
    check_runs_with("at the end", CROWDED, 0..12, &plan, &least);
}

#[test]
fn small_jobs_four_a_second_for_minutes_a_quarter_of_them_cancelled() {
    // The puts of one leader among five, at 15 a second for all.
    let size = Size { write_interval_ms: 800, fault_period_ms: 240_000, end_ms: 900_000, ..BUSY };
    let plan = [
        (2_000, SmallJobStream(238_000)),
        (60_000, CrashNodes(1, 900)),
        (120_000, LostWriteResponses(0.3, 20_000)),
        (180_000, StateServiceRefusesLeader(8_000)),
    ];
    let least = [("small job", 1_500), ("small job cancelled", 300)];
    check_runs_with("small jobs", size, 0..3, &plan, &least);
}

#[test]
fn jobs_of_one_zone_lose_their_machines() {
    let plan = [
        (15_000, LoseZoneMachines(0.7)),
        (16_000, PartitionLeaderZone(20_000)),
        (50_000, LoseZoneMachines(1.0)),
        (51_000, CrashNodes(1, 900)),
        (80_000, LoseZoneMachines(0.5)),
        (81_000, CancelRunning(6, 10_000)),
        (110_000, LoseZoneMachines(1.0)),
    ];
    check_runs_with("one zone", CROWDED, 0..16, &plan, &[]);
}

#[test]
fn a_leader_cut_from_the_state_service_hears_its_workers_while_jobs_are_cancelled_elsewhere() {
    let plan: Vec<_> = [20_000, 60_000, 100_000]
        .into_iter()
        .flat_map(|at| {
            let cancels = (0..10).map(move |i| (at + 500 + i * 1_500, CancelRunning(1, 0)));
            cancels.chain([
                (at, StateServiceRefusesLeader(30_000)),
                (at + 2_000, HangMachines(0.2, 10_000)),
            ])
        })
        .collect();
    check_runs_with("apart", CROWDED, 0..12, &plan, &[("cancelled while running", 150)]);
}

#[test]
fn all_nodes_end_and_one_returns_within_a_second_over_and_over() {
    let plan: Vec<_> = (0..8)
        .flat_map(|i| {
            let at = 10_000 + i * 15_000;
            [(at, CrashNodes(4, 6_000)), (at + 200, CrashNodes(1, 300)), (at + 700, CrashAllNodes)]
        })
        .collect();
    let size = Size { max_tasks: 3, ..CROWDED };
    let terms = check_runs_with("one returns", size, 0..8, &plan, &[]);
    assert!(terms >= 8 * 8, "{terms} terms");
}

/// All of it at once, beside what chance brings.
#[test]
fn any_two_meetings_at_once() {
    let size = Size { fault_probability: 0.01, duplicate_probability: 0.1, ..CROWDED };
    let least = [("late write", 50), ("heartbeat replayed", 500), ("heartbeat lost", 500)];
    let plan = [
        (2_000, LateWrites(0.2, 140_000)),
        (2_000, ReplayToNextLeader(0.1, 140_000)),
        (5_000, CancelAtCompletion(0.3, 140_000)),
        (20_000, StateServiceRefusesLeader(9_000)),
        (20_700, CancelRunning(6, 12_000)),
        (22_000, StateServiceOutage(28_000)),
        (60_000, LoseOutbound(0.4, 20_000)),
        (63_000, LoseInbound(0.4, 30_000)),
        (64_000, CrashNodes(1, 400)),
        (65_000, CancelRunning(6, 14_000)),
        (100_000, PartitionLeaderZone(20_000)),
        (101_000, CancelRunning(6, 0)),
        (104_000, CrashAllNodes),
    ];
    check_runs_with("all at once", size, 0..40, &plan, &least);
}

/// Over a fleet, with half as many machines again as the largest in use.
#[test]
fn a_fleet_meets_the_gap_and_the_rest() {
    let plan = [
        (30_000, StateServiceRefusesLeader(7_000)),
        (30_500, CancelRunning(40, 0)),
        (31_500, StateServiceOutage(30_000)),
        (70_000, LateWrites(0.3, 20_000)),
        (72_000, ReplayToNextLeader(0.05, 20_000)),
        (74_000, LoseOutbound(0.2, 18_000)),
        (75_000, CancelRunning(40, 14_000)),
        (76_000, CrashNodes(1, 900)),
    ];
    check_runs_with("fleet", FLEET, 0..1, &plan, &[("cancelled while running", 40)]);
}

/// The referee tells when a guard is missing, for some seed of a meeting.
fn caught(guard: DisabledGuard, rule: &str, size: Size, plan: &[(u64, PlannedFault)]) {
    let speaks = |seed| {
        let mut world = World::sized(seed, guard, size).planned(plan);
        world.run();
        world.violations.iter().any(|v| v.starts_with(rule))
    };
    assert!((0..60).any(speaks), "{guard:?} was never caught as {rule}");
}

#[test]
fn a_limit_that_cancelled_tasks_do_not_count_against_is_caught() {
    let plan = [(20_000, PartitionMachines(0.4, 25_000)), (21_000, CancelRunning(10, 12_000))];
    caught(DisabledGuard::CancelledTaskUsage, "quota", AT_LIMIT, &plan);
}

#[test]
fn a_cancelled_job_called_done_is_caught() {
    caught(
        DisabledGuard::JobRevision,
        "went_back",
        CROWDED,
        &[(2_000, CancelAtCompletion(0.5, 100_000))],
    );
}

#[test]
fn a_job_left_waiting_with_room_is_caught() {
    // Work must go on for long after the faults, or there is no machine with room.
    let size = Size {
        initial_jobs: 40,
        submit_probability: 0.02,
        max_tasks: 30,
        limited_team_cpus: 1e6,
        ..BUSY
    };
    caught(DisabledGuard::JobRecovery, "waited", size, &[(20_000, CrashAllNodes)]);
}
