//! Failure detection for individual machines: silence, ignored commands, and preemption.

mod common;

use common::*;
use latchtrack_core::job::JobId;
use latchtrack_core::machine::*;
use latchtrack_core::scheduler::*;

/// Sixteen of twenty-two machines fell silent within two seconds. Each exceeded the heartbeat
/// timeout when few others had, so that the failure detector saw no network partition.
#[test]
fn machines_falling_silent_in_turn_count_as_a_partition() {
    let mut scheduler = busy_fleet(22);
    for step in 1..150 {
        let now = 1_000 + step * 200;
        let mut effects = scheduler.handle(now, Event::Tick);
        // Six machines continue to send heartbeats; the last ones of the others are 100 ms apart.
        for i in 0..22 {
            let last = 1_000 + if i < 6 { 1_000_000 } else { i * 100 };
            if now <= last && (step % 10 == 0 || i >= 6) {
                let heartbeat = heartbeat(
                    i,
                    1 + step,
                    7,
                    scheduler.machines()[&machine_name(i)].runs.values().map(status_of).collect(),
                );
                effects.extend(scheduler.handle(now, Event::Heartbeat(heartbeat)));
            }
        }
        let terminated_names = terminated(&effects);
        assert!(
            terminated_names.is_empty() || now > 1_000 + WORKER_LEASE_MS,
            "{terminated_names:?} at {now}"
        );
    }
}

#[test]
fn a_silent_unlisted_machine_is_terminated_at_once() {
    let mut scheduler = busy_fleet(4);
    let listed = |names: &[u64]| {
        let all = names.iter().map(|i| ListedMachine {
            name: machine_name(*i),
            machine_type: "g".into(),
            zone: "a".into(),
            spot: true,
            failed: false,
            running: false,
            age_ms: 50_000,
        });
        Event::MachinesListed(all.collect())
    };
    let running: Vec<TaskStatus> =
        scheduler.machines()[&machine_name(0)].runs.values().map(status_of).collect();
    // Machine 0 has sent a heartbeat recently, so its absence from an old list means nothing.
    scheduler.handle(17_000, Event::Heartbeat(heartbeat(0, 2, 7, running)));
    scheduler.handle(18_000, listed(&[2, 3]));
    let terminated_names = terminated(&scheduler.handle(18_100, Event::Tick));
    assert_eq!(terminated_names, [machine_name(1)], "silent and no longer listed");
}

/// With all inherited machines dead, each new leader resigned before it was allowed to terminate
/// them, and the next one started to wait anew.
#[test]
fn a_leader_that_never_heard_a_machine_terminates_them_all() {
    let mut scheduler =
        Scheduler::new(policy(), TERM, types(), stored_set(0..4), Vec::new(), 1_000);
    let mut terminated_names = Vec::new();
    for step in 1..300 {
        let effects = scheduler.handle(1_000 + step * 200, Event::Tick);
        assert!(!effects.iter().any(|effect| matches!(effect, Effect::Resign(_))));
        terminated_names.extend(terminated(&effects));
    }
    assert_eq!(terminated_names.len(), 4);
}

/// The list used to have at most 2,000 names, so that in a larger fleet, heartbeats of the other
/// overdue machines were not relayed by the nodes that received them.
#[test]
fn all_overdue_machines_of_a_large_fleet_are_listed() {
    let machines = 6_000;
    let scheduler = busy_fleet(machines);
    assert_eq!(scheduler.overdue_machines(60_000).len(), machines as usize);
    // The total size of the names is limited, so that they fit a frame however long they are.
    let long = |i: u64| StoredMachine {
        name: format!("{i:0200}"),
        machine_type: "g".into(),
        zone: "a".into(),
        spot: true,
        addr: machine_name(i),
    };
    let machines = Some((0..machines).map(long).collect());
    let stored = vec![StoredMachineSet { name: "3-1".into(), revision: 4, machines }];
    let scheduler = Scheduler::new(policy(), TERM, types(), stored, Vec::new(), 1_000);
    let overdue = scheduler.overdue_machines(60_000);
    let bytes: usize = overdue.iter().map(String::len).sum();
    assert!(overdue.len() > 500 && bytes <= 128 * 1024, "{} names, {bytes} bytes", overdue.len());
}

/// A network partition between two zones lasted longer than the heartbeat timeout, though a third
/// node could reach both zones. The leader must list machines as overdue, so that others relay
/// their heartbeats, before it terminates them.
#[test]
fn overdue_machines_are_listed_before_they_are_terminated() {
    let mut scheduler = busy_fleet(6);
    assert_eq!(scheduler.overdue_machines(4_000), Vec::<String>::new(), "between two heartbeats");
    assert_eq!(scheduler.overdue_machines(5_300).len(), 6);
    // Machine 0 is relayed in time and kept; the others are terminated only after the timeout.
    for step in 1..80 {
        let now = 5_000 + step * 200;
        if step % 15 == 1 {
            let tasks =
                scheduler.machines()[&machine_name(0)].runs.values().map(status_of).collect();
            scheduler.handle(now, Event::Heartbeat(heartbeat(0, 1 + step, 7, tasks)));
            assert!(!scheduler.overdue_machines(now).contains(&machine_name(0)));
        }
        let terminated_names = terminated(&scheduler.handle(now, Event::Tick));
        assert!(
            !terminated_names.contains(&machine_name(0))
                && (terminated_names.is_empty() || now >= 13_000)
        );
    }
}

/// A machine whose heartbeats arrive, but which no response or command reaches, is never
/// reconciled. All inherited jobs would wait for as long as it sends heartbeats.
#[test]
fn a_machine_that_keeps_an_old_token_is_terminated() {
    let mut scheduler =
        Scheduler::new(long_idle_timeout(), TERM, types(), stored_set(0..5), Vec::new(), 1_000);
    for i in 1..5 {
        scheduler.handle(1_100, Event::Heartbeat(heartbeat(i, 1, 7, Vec::new())));
    }
    let mut terminated_names = Vec::new();
    for step in 0..10 {
        let now = 1_200 + step * 3_000;
        scheduler.handle(now, Event::Heartbeat(heartbeat(0, 2 + step, 6, Vec::new())));
        for i in 1..5 {
            scheduler.handle(now, Event::Heartbeat(heartbeat(i, 2 + step, 7, Vec::new())));
        }
        terminated_names.extend(terminated(&tick_until(
            &mut scheduler,
            now,
            now + 3_000,
            &CallOutcome::NoAnswer,
        )));
    }
    assert_eq!(terminated_names[..1], [machine_name(0)]);
}

/// A reconciled machine that sends heartbeats but never starts the tasks launched on it is
/// terminated, and its tasks are queued again.
#[test]
fn a_machine_that_executes_no_launch_is_terminated() {
    let mut scheduler =
        Scheduler::new(long_idle_timeout(), TERM, types(), stored_set(0..1), Vec::new(), 1_000);
    scheduler.handle(1_000, job_opened(1, 2, 8));
    let mut launched = 0;
    let mut terminated_names = Vec::new();
    for step in 0..8 {
        let now = 1_100 + step * 3_000;
        let effects =
            scheduler.handle(now, Event::Heartbeat(heartbeat(0, 1 + step, 7, Vec::new())));
        launched += launches(&effects);
        terminated_names.extend(terminated(&tick_until(
            &mut scheduler,
            now,
            now + 3_000,
            &CallOutcome::NoAnswer,
        )));
    }
    assert!(launched >= 4, "each response repeats the launches: {launched}");
    assert_eq!(terminated_names, [machine_name(0)]);
    scheduler.handle(
        30_000,
        Event::TerminateFinished { names: terminated_names, outcome: TerminateOutcome::Terminated },
    );
    assert_eq!(scheduler.jobs()[&JobId(1)].waiting(), 2);
}

/// Duplicates of heartbeats may arrive late, also from earlier terms and from terminated machines.
/// They neither add nor reconcile a machine, and do not end its silence.
#[test]
fn late_duplicates_of_heartbeats_are_ignored() {
    let mut scheduler =
        Scheduler::new(long_idle_timeout(), TERM, types(), stored_set(0..2), Vec::new(), 1_000);
    scheduler.handle(1_000, job_opened(1, 4, 8));
    let known = scheduler.machines().len();
    // From an unknown machine, and from one not yet heard in this term.
    let mut effects = scheduler.handle(1_100, Event::Heartbeat(heartbeat(9, 40, 6, Vec::new())));
    effects.extend(scheduler.handle(1_200, Event::Heartbeat(heartbeat(1, 40, 6, Vec::new()))));
    effects.extend(scheduler.handle(1_400, Event::Tick));
    assert_eq!((scheduler.machines().len(), launches(&effects)), (known, 0));
    assert_eq!(scheduler.machines()[&machine_name(1)].last_heartbeat_at, None);
    assert!(scheduler.next_writes(1_500, 8).is_empty(), "unknown machines are not stored");
    // After machine 0 is reconciled, a duplicate of an earlier heartbeat of this term is ignored.
    scheduler.handle(2_000, Event::Heartbeat(heartbeat(0, 50, 7, Vec::new())));
    let effects = scheduler.handle(9_000, Event::Heartbeat(heartbeat(0, 49, 7, Vec::new())));
    assert_eq!(
        (scheduler.machines()[&machine_name(0)].last_heartbeat_at, launches(&effects)),
        (Some(2_000), 0)
    );
    // A machine terminated in this term is not added again, whatever token the duplicate carries.
    scheduler.handle(
        9_100,
        Event::TerminateFinished {
            names: vec![machine_name(0)],
            outcome: TerminateOutcome::Terminated,
        },
    );
    scheduler.handle(80_000, Event::Heartbeat(heartbeat(0, 51, 7, Vec::new())));
    assert!(!scheduler.machines().contains_key(&machine_name(0)));
    // A machine from a provision request that was executed late carries this term's token once it
    // has had a response.
    scheduler.handle(80_100, Event::Heartbeat(heartbeat(9, 41, 7, Vec::new())));
    assert!(scheduler.machines().contains_key(&machine_name(9)));
}

/// A slow leader processes heartbeats late. While its probes of a silent machine are open, the
/// machine is not terminated before its lease has expired.
#[test]
fn a_slow_leader_terminates_no_machine_with_open_probes() {
    let run = |answered: bool| {
        let mut scheduler =
            Scheduler::new(long_idle_timeout(), TERM, types(), stored_set(0..5), Vec::new(), 1_000);
        let mut terminated_at = None;
        for step in 0..40u64 {
            let now = 1_100 + step * 1_000;
            // Machine 0 never sends a heartbeat.
            for i in 1..5 {
                scheduler.handle(now, Event::Heartbeat(heartbeat(i, 1 + step, 7, Vec::new())));
            }
            let effects = if answered {
                tick_until(&mut scheduler, now, now + 900, &CallOutcome::NotSent)
            } else {
                scheduler.handle(now, Event::Tick)
            };
            if terminated(&effects).contains(&machine_name(0)) {
                terminated_at.get_or_insert(now);
            }
        }
        terminated_at.expect("the silent machine is terminated")
    };
    assert!(run(true) < 1_000 + WORKER_LEASE_MS, "two probes have failed");
    assert!(run(false) > 1_000 + WORKER_LEASE_MS, "no probe has ended");
}

/// While the cloud is down, no termination is confirmed. An unreconciled machine has killed its
/// tasks once its lease has expired, so inherited jobs then start without the confirmation.
#[test]
fn machines_past_their_lease_do_not_block_inherited_jobs() {
    let mut scheduler =
        Scheduler::new(long_idle_timeout(), TERM, types(), stored_set(0..2), Vec::new(), 1_000);
    scheduler.handle(1_000, job_opened(1, 2, 3));
    for step in 0..9 {
        let now = 1_100 + step * 3_000;
        let effects =
            scheduler.handle(now, Event::Heartbeat(heartbeat(0, 1 + step, 7, Vec::new())));
        assert_eq!(launches(&effects), 0, "at {now}");
        let effects = tick_until(&mut scheduler, now, now + 3_000, &CallOutcome::NoAnswer);
        assert_eq!(launches(&effects), 0, "at {now}");
        for effect in effects {
            if let Effect::Terminate(names) = effect {
                scheduler.handle(
                    now + 3_000,
                    Event::TerminateFinished { names, outcome: TerminateOutcome::Failed },
                );
            }
        }
    }
    let mut launched = 0;
    for step in 9..12 {
        let now = 1_100 + step * 3_000;
        launched += launches(
            &scheduler.handle(now, Event::Heartbeat(heartbeat(0, 1 + step, 7, Vec::new()))),
        );
        launched += launches(&tick_until(&mut scheduler, now, now + 3_000, &CallOutcome::NoAnswer));
    }
    assert!(launched >= 2, "started after the lease expired: {launched}");
}
