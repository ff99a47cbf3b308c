//! Two faults at once: a test for each combination that has broken rules, or might. They are listed
//! in docs/fault-interactions.md. Responses to users are tested over real sockets instead.

use super::checks::{assert_violation, check_runs_with};
use super::world::faults::PlannedFault;
use super::world::guards::DisabledGuard;
use super::world::size::{Size, BUSY, FLEET};
use PlannedFault::*;

/// Enough jobs that tasks are running whenever a fault begins.
const CROWDED: Size =
    Size { initial_jobs: 25, submit_probability: 0.03, limited_team_cpus: 60.0, ..BUSY };

/// The limited team is at its limit nearly all the time.
const AT_LIMIT: Size =
    Size { initial_jobs: 15, submit_probability: 0.015, limited_team_cpus: 16.0, ..BUSY };

/// An outage longer than `cancel_s` (25 s), the worker lease (15 s) and the leader lease (3 s).
const LONG_OUTAGE_MS: u64 = 32_000;

/// Twice: the state service refuses the leader, users cancel jobs, and a long outage begins. The
/// offsets are in ms from the refusal.
fn refusal_then_outage(cancelled_after: u64, outage_after: u64) -> Vec<(u64, PlannedFault)> {
    let once = |at: u64| {
        [
            (at, StateServiceRefusesLeader(7_000)),
            (at + cancelled_after, CancelRunning(12, 0)),
            (at + outage_after, StateServiceOutage(LONG_OUTAGE_MS)),
        ]
    };
    [20_000, 90_000].into_iter().flat_map(once).collect()
}

#[test]
fn cancellation_while_the_leader_is_refused_before_an_outage() {
    // The outage begins before the leader's lease expires, as it expires, or once a second leader
    // is elected that may not have read the stored state yet.
    for outage_after in [1_000, 2_000, 2_900, 3_100, 3_400, 4_500] {
        let plan = refusal_then_outage(700, outage_after);
        check_runs_with(
            "refusal, then outage",
            CROWDED,
            0..6,
            &plan,
            &[("cancelled while running", 30)],
        );
    }
}

#[test]
fn cancellation_at_the_time_the_leader_is_refused() {
    for outage_after in [100, 1_000] {
        let plan = refusal_then_outage(0, outage_after);
        check_runs_with(
            "at the same time",
            CROWDED,
            0..6,
            &plan,
            &[("cancelled while running", 30)],
        );
    }
}

#[test]
fn cancellation_with_hung_machines_before_a_long_outage() {
    let mut plan = refusal_then_outage(600, 1_500);
    plan.extend([(21_500, CancelRunning(8, 14_000)), (91_000, CancelRunning(8, 30_000))]);
    check_runs_with("hung machines", CROWDED, 0..12, &plan, &[("cancelled while running", 100)]);
}

#[test]
fn fast_boots_with_late_writes_and_leader_crashes() {
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
fn writes_with_lost_responses_or_late_commits() {
    let plan = [
        (5_000, LostWriteResponses(0.4, 60_000)),
        (30_000, CrashAllNodes),
        (50_000, StateServiceRefusesLeader(6_000)),
        (70_000, LateWrites(0.4, 60_000)),
        (72_000, LostWriteResponses(0.3, 60_000)),
        (90_000, RollingRestart(5_000)),
    ];
    let min_occurrences = [("late write", 100), ("response lost", 300)];
    check_runs_with("lost responses", CROWDED, 0..12, &plan, &min_occurrences);
}

#[test]
fn old_heartbeats_reach_every_node_at_a_failover() {
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
fn heartbeats_of_earlier_epochs_and_attempts_arrive_late() {
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
fn workers_with_lost_heartbeats_get_direct_calls() {
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
fn leader_crashes_while_workers_receive_nothing() {
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
fn ten_leader_changes_in_two_minutes_with_outages() {
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
fn cancellation_at_the_team_limit_with_unreachable_machines() {
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
fn cancellation_during_leader_changes() {
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
    check_runs_with("leader changes", CROWDED, 0..12, &plan, &[("cancelled while running", 150)]);
}

#[test]
fn cancellation_as_the_last_task_completes() {
    let plan = [
        (2_000, CancelAtCompletion(0.5, 140_000)),
        (40_000, CrashAllNodes),
        (90_000, CrashNodes(1, 900)),
    ];
    let min_occurrences = [("cancelled at completion", 100)];
    check_runs_with("at the end", CROWDED, 0..12, &plan, &min_occurrences);
}

#[test]
fn stream_of_small_jobs_with_a_quarter_cancelled() {
    // The write interval of one leader among five nodes that share 15 puts a second.
    let size = Size { write_interval_ms: 800, fault_period_ms: 240_000, end_ms: 900_000, ..BUSY };
    let plan = [
        (2_000, SmallJobStream(238_000)),
        (60_000, CrashNodes(1, 900)),
        (120_000, LostWriteResponses(0.3, 20_000)),
        (180_000, StateServiceRefusesLeader(8_000)),
    ];
    let min_occurrences = [("small job", 1_500), ("small job cancelled", 300)];
    check_runs_with("small jobs", size, 0..3, &plan, &min_occurrences);
}

#[test]
fn single_zone_jobs_lose_their_machines() {
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
fn cancellation_while_the_state_service_refuses_the_leader() {
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
    check_runs_with("leader refused", CROWDED, 0..12, &plan, &[("cancelled while running", 150)]);
}

#[test]
fn all_nodes_crash_and_one_restarts_within_a_second() {
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

/// Twice: machines are disconnected for `first_ms`, answered once and disconnected again, while a
/// leader ends and the cloud terminates none of them. Users cancel this many running jobs at the
/// start.
fn flapping_machines(first_ms: [u64; 2], cancelled: usize) -> Vec<(u64, PlannedFault)> {
    [20_000, 90_000]
        .into_iter()
        .zip(first_ms)
        .flat_map(|(at, first_ms)| {
            [
                (at, FlapMachines(0.6, first_ms, 30_000)),
                (at + 100, CancelRunning(cancelled, 0)),
                (at + 200, CrashNodes(1, 6_000)),
                (at + 200, CloudOutage(45_000)),
            ]
        })
        .collect()
}

/// The next leader answers the machines on its predecessor's token, and then they cannot be
/// reached.
#[test]
fn machines_are_answered_once_between_two_disconnections_at_a_failover() {
    let plan = flapping_machines([7_000, 10_000], 0);
    let min_occurrences = [("answered between two disconnections", 300)];
    check_runs_with("flapping", CROWDED, 0..24, &plan, &min_occurrences);
}

/// The same, and the leases that the answers renew end later than the cancelled tasks have to.
#[test]
fn cancellation_while_machines_are_answered_once_between_two_disconnections() {
    let plan = flapping_machines([10_000, 10_000], 40);
    let min_occurrences =
        [("answered between two disconnections", 300), ("cancelled while running", 200)];
    check_runs_with("flapping", CROWDED, 0..24, &plan, &min_occurrences);
}

#[test]
fn not_counting_the_leases_that_answers_renew_is_caught() {
    let plan = flapping_machines([7_000, 10_000], 0);
    assert_violation(DisabledGuard::RenewedLeases, "ran_twice", CROWDED, &plan);
}

#[test]
fn not_stopping_cancelled_tasks_in_answers_to_older_tokens_is_caught() {
    let plan = flapping_machines([10_000, 10_000], 40);
    assert_violation(DisabledGuard::RenewedLeases, "ran_cancelled", CROWDED, &plan);
}

/// All faults of this file at once, with random faults beside them.
#[test]
fn all_fault_interactions_at_once() {
    let size = Size { fault_probability: 0.01, duplicate_probability: 0.1, ..CROWDED };
    let min_occurrences =
        [("late write", 50), ("heartbeat replayed", 500), ("heartbeat lost", 500)];
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
    check_runs_with("all at once", size, 0..40, &plan, &min_occurrences);
}

/// Faults of this file in a fleet of over a thousand machines.
#[test]
fn fault_interactions_in_a_fleet() {
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

#[test]
fn not_counting_cancelled_tasks_against_a_limit_is_caught() {
    let plan = [(20_000, PartitionMachines(0.4, 25_000)), (21_000, CancelRunning(10, 12_000))];
    assert_violation(DisabledGuard::CancelledTaskUsage, "quota", AT_LIMIT, &plan);
}

#[test]
fn marking_a_cancelled_job_done_is_caught() {
    assert_violation(
        DisabledGuard::JobRevision,
        "went_back",
        CROWDED,
        &[(2_000, CancelAtCompletion(0.5, 100_000))],
    );
}

#[test]
fn leaving_a_job_waiting_despite_free_capacity_is_caught() {
    // There must be work long after the faults, or no machine with free capacity is left.
    let size = Size {
        initial_jobs: 40,
        submit_probability: 0.02,
        max_tasks: 30,
        limited_team_cpus: 1e6,
        ..BUSY
    };
    assert_violation(DisabledGuard::JobRecovery, "waited", size, &[(20_000, CrashAllNodes)]);
}
