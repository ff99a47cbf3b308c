//! The text of log events and of reasons to resign: a constant message, then the values as fields.

use latchtrack_balance::balancer::MoveCounts;
use latchtrack_balance::moves::{AbandonReason, MoveStage};
use latchtrack_balance::spread::Spread;
use latchtrack_core::job::{JobId, TaskId};
use latchtrack_core::machine::{Command, ExitCause};
use latchtrack_core::scheduler::{
    AdoptionSource, BalanceSummary, CommandRoute, Decision, LogEvent, RejectedShard, ReleaseReason,
    ResignReason,
};
use latchtrack_quota::{LedgerProblem, Notice};

#[test]
fn a_log_event_is_a_message_followed_by_its_fields() {
    let machine = || "m-1".to_string();
    let task = TaskId { job: JobId(5), index: 2 };
    let (job, shard) = (JobId(5), "41-1".to_string());
    for (event, text) in [
        (
            LogEvent::MachineAdopted { machine: machine(), source: AdoptionSource::CloudList },
            "machine adopted machine=m-1 source=cloud_list".to_string(),
        ),
        (
            LogEvent::MachineUnreachable { machine: machine(), silent_ms: 9_000 },
            "machine heartbeat timed out, terminating it machine=m-1 silent_ms=9000".to_string(),
        ),
        (
            LogEvent::WorkerLeaseExpired { machine: machine(), task_runs: 3 },
            "worker lease expired, task runs released machine=m-1 task_runs=3".to_string(),
        ),
        (LogEvent::ZoneUnreachable { zone: "b".into() }, "zone is unreachable zone=b".to_string()),
        (
            LogEvent::BootsLate { machine_type: "c8".into(), zone: "b".into() },
            "machine boots are late machine_type=c8 zone=b".to_string(),
        ),
        (
            LogEvent::UnrecognisedPhase { machine: machine(), task },
            format!("task is in a phase unknown to this version machine=m-1 task={task}"),
        ),
        (
            LogEvent::JobQuarantined { job, failed_machines: 3 },
            format!("job quarantined, trying one task at a time job={job} failed_machines=3"),
        ),
        (
            LogEvent::ForgottenAttemptReported {
                machine: machine(),
                task,
                attempt: 9,
                heartbeat_token: 7,
            },
            format!(
                "forgotten attempt reported again machine=m-1 task={task} attempt=9 \
                 heartbeat_token=7"
            ),
        ),
        (
            LogEvent::RecordShardRejected { shard, action: RejectedShard::Abandoned },
            "record shard rejected by the state service shard=41-1 action=abandoned".to_string(),
        ),
        (
            LogEvent::MoveEnded {
                unit: "gang 5".to_string(),
                stage: MoveStage::Abandoned(AbandonReason::TargetFull),
            },
            format!(
                "move ended unit=\"gang 5\" stage=\"{}\"",
                MoveStage::Abandoned(AbandonReason::TargetFull)
            ),
        ),
    ] {
        assert_eq!(event.to_string(), text);
    }
}

#[test]
fn a_decision_is_logged_with_its_token_epoch_attempt_and_reason() {
    let task = TaskId { job: JobId(5), index: 2 };
    let (machine, attempt) = ("m-1".to_string(), 9);
    for (decision, text) in [
        (
            Decision::CommandSent {
                machine: machine.clone(),
                route: CommandRoute::DirectCall,
                token: 7,
                agent_epoch: 1,
                command: Command::Launch { task, attempt },
                reason: "placed",
            },
            format!(
                "launch sent machine=m-1 task={task} attempt=9 token=7 agent_epoch=1 \
                 route=direct_call reason=placed"
            ),
        ),
        (
            Decision::TaskReleased {
                machine: machine.clone(),
                task,
                attempt,
                reason: ReleaseReason::Ended(ExitCause::Failed),
            },
            format!("task released machine=m-1 task={task} attempt=9 reason=failed"),
        ),
        (
            Decision::RunAdopted { machine, task, attempt, holds_task: false },
            format!("unknown task run reported machine=m-1 task={task} attempt=9 holds_task=false"),
        ),
    ] {
        assert_eq!(LogEvent::Decision(Box::new(decision)).to_string(), text);
    }
}

#[test]
fn the_balance_summary_is_logged_as_fields() {
    let summary = BalanceSummary {
        spread: Spread { greatest: 0.9, mean: 0.45, machines: 4 },
        over_bound: 1,
        hot_teams: vec!["red".to_string(), "blue".to_string()],
        counts: MoveCounts { begun: 3, settled: 2, abandoned: 1 },
        ..BalanceSummary::default()
    };
    assert_eq!(
        LogEvent::Balance(Box::new(summary)).to_string(),
        "load balance spread=2.00 greatest_load=0.90 mean_load=0.45 over_bound=1 \
         hot_teams=\"red, blue\" moves_begun=3 moves_settled=2 moves_abandoned=1"
    );
}

#[test]
fn events_of_worker_leases_tell_from_when_a_lease_is_counted() {
    let machine = "m-1".to_string();
    let answered = LogEvent::OlderTokenAnswered {
        machine: machine.clone(),
        heartbeat_token: 41,
        term_ms: 24_000,
    };
    assert_eq!(
        answered.to_string(),
        "heartbeat with an older token answered machine=m-1 heartbeat_token=41 term_ms=24000"
    );
    let expired =
        LogEvent::UnreconciledMachineExpired { machine, term_ms: 74_000, lease_from_ms: 24_000 };
    assert_eq!(
        expired.to_string(),
        "worker lease of unreconciled machine expired, terminating it machine=m-1 \
         term_ms=74000 lease_from_ms=24000"
    );
}

#[test]
fn quota_notices_are_logged_unchanged() {
    let notice = Notice::Problem { team: "red".to_string(), problem: LedgerProblem::Missing };
    assert_eq!(LogEvent::Quota(notice.clone()).to_string(), notice.to_string());
}

#[test]
fn reasons_to_resign_have_distinct_texts() {
    let reasons = [
        ResignReason::HigherToken,
        ResignReason::NoZoneReachable,
        ResignReason::HeartbeatsOnlyRelayed,
    ];
    let texts: std::collections::BTreeSet<String> =
        reasons.iter().map(ResignReason::to_string).collect();
    assert_eq!(texts.len(), reasons.len());
}
