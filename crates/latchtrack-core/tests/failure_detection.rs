//! Machines that fall silent, take no commands, or are taken back: each failure that was found as a
//! small case.

mod common;

use common::*;
use latchtrack_core::job::JobId;
use latchtrack_core::machine::*;
use latchtrack_core::scheduler::*;

/// Recorded day: sixteen of twenty-two machines fell silent within two seconds. Each passed the
/// limit at a time when few others had, so that the guard against cuts saw no cut.
#[test]
fn machines_falling_silent_in_turn_count_as_a_partition() {
    let mut scheduler = busy_fleet(22);
    for step in 1..150 {
        let now = 1_000 + step * 200;
        let mut effects = scheduler.handle(now, Event::Tick);
        // Six go on; the others' last heartbeats were 100 ms apart.
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
    // Heard lately: an old list proves nothing.
    scheduler.handle(17_000, Event::Heartbeat(heartbeat(0, 2, 7, running)));
    scheduler.handle(18_000, listed(&[2, 3]));
    let terminated_names = terminated(&scheduler.handle(18_100, Event::Tick));
    assert_eq!(terminated_names, [machine_name(1)], "silent and not listed any more");
}

/// Found by simulation: with all inherited machines dead, each new leader resigned before the time
/// after which it may delete them, and the next began to wait again.
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

/// It named 2,000 at most: the workers of a larger fleet that reach another node were not relayed.
#[test]
fn all_overdue_machines_of_a_large_fleet_are_listed() {
    let machines = 6_000;
    let scheduler = busy_fleet(machines);
    assert_eq!(scheduler.overdue_machines(60_000).len(), machines as usize);
    // Names of a length that no cloud has are bounded by their bytes, so that the frame goes
    // through.
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

/// Hunted day: a cut between two zones lasted longer than machines may be silent, though a third
/// node could reach both; the leader must name them before it gives them up.
#[test]
fn overdue_machines_are_listed_before_they_are_terminated() {
    let mut scheduler = busy_fleet(6);
    assert_eq!(scheduler.overdue_machines(4_000), Vec::<String>::new(), "between two heartbeats");
    assert_eq!(scheduler.overdue_machines(5_300).len(), 6);
    // One is relayed in time and stays; the others are given up only after the limit.
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

/// Users' check: a machine's heartbeats arrive, responses and commands don't reach it. Unreconciled, it
/// would hold up all inherited jobs for as long as it heartbeats.
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

/// Users' check, the same for a machine that was reconciled: it heartbeats and never starts what it is
/// given.
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
    assert!(launched >= 4, "repeated with each answer: {launched}");
    assert_eq!(terminated_names, [machine_name(0)]);
    scheduler.handle(
        30_000,
        Event::TerminateFinished { names: terminated_names, outcome: TerminateOutcome::Terminated },
    );
    assert_eq!(scheduler.jobs()[&JobId(1)].waiting(), 2);
}

/// Users' check: copies of heartbeats come late, from before the term, of machines that an earlier
/// leader has deleted. A copy brings back nothing, reconciles nothing and refreshes nothing.
#[test]
fn late_duplicates_of_heartbeats_are_ignored() {
    let mut scheduler =
        Scheduler::new(long_idle_timeout(), TERM, types(), stored_set(0..2), Vec::new(), 1_000);
    scheduler.handle(1_000, job_opened(1, 4, 8));
    let known = scheduler.machines().len();
    // Of a machine unknown to us, and of one that has not yet spoken in this term.
    let mut effects = scheduler.handle(1_100, Event::Heartbeat(heartbeat(9, 40, 6, Vec::new())));
    effects.extend(scheduler.handle(1_200, Event::Heartbeat(heartbeat(1, 40, 6, Vec::new()))));
    effects.extend(scheduler.handle(1_400, Event::Tick));
    assert_eq!((scheduler.machines().len(), launches(&effects)), (known, 0));
    assert_eq!(scheduler.machines()[&machine_name(1)].last_heartbeat_at, None);
    assert!(scheduler.next_writes(1_500, 8).is_empty(), "nothing is stored for it");
    // Reconciled; then a copy of an earlier heartbeat, from within the term, refreshes nothing.
    scheduler.handle(2_000, Event::Heartbeat(heartbeat(0, 50, 7, Vec::new())));
    let effects = scheduler.handle(9_000, Event::Heartbeat(heartbeat(0, 49, 7, Vec::new())));
    assert_eq!(
        (scheduler.machines()[&machine_name(0)].last_heartbeat_at, launches(&effects)),
        (Some(2_000), 0)
    );
    // Deleted in this term: not brought back, whatever token the copy shows.
    scheduler.handle(
        9_100,
        Event::TerminateFinished {
            names: vec![machine_name(0)],
            outcome: TerminateOutcome::Terminated,
        },
    );
    scheduler.handle(80_000, Event::Heartbeat(heartbeat(0, 51, 7, Vec::new())));
    assert!(!scheduler.machines().contains_key(&machine_name(0)));
    // A request carried out late shows our token half a second after it first hears it.
    scheduler.handle(80_100, Event::Heartbeat(heartbeat(9, 41, 7, Vec::new())));
    assert!(scheduler.machines().contains_key(&machine_name(9)));
}

/// A node that is late itself hears late: while its probes are still open, a silent machine is
/// not given up before its lease has run out.
#[test]
fn a_slow_leader_terminates_no_machine_with_open_probes() {
    let run = |answered: bool| {
        let mut scheduler =
            Scheduler::new(long_idle_timeout(), TERM, types(), stored_set(0..5), Vec::new(), 1_000);
        let mut terminated_at = None;
        for step in 0..40u64 {
            let now = 1_100 + step * 1_000;
            // The first never speaks.
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
        terminated_at.expect("the silent machine is given up")
    };
    assert!(run(true) < 1_000 + WORKER_LEASE_MS, "two probes without a response");
    assert!(run(false) > 1_000 + WORKER_LEASE_MS, "none came to an end");
}

/// With the cloud down no delete is answered; past its lease a machine that nobody can have
/// answered holds nothing any more, and the inherited jobs start.
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
    assert!(launched >= 2, "started after the lease: {launched}");
}
