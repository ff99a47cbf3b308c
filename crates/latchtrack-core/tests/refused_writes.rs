//! The state service rejects writes above its limits, which may be lower than the settings say. The
//! leader then writes smaller batches, and a value that can't be stored blocks no other.

mod common;

use common::*;
use latchtrack_core::machine::Heartbeat;
use latchtrack_core::scheduler::*;

/// Returns a leader without machines.
fn leader() -> Scheduler {
    let types = vec![machine_type(vec!["a".into()])];
    let revisions = TermRevisions { token: 7, leaderless_since: 7 };
    Scheduler::new(policy(), revisions, types, Vec::new(), Vec::new(), 1_000)
}

/// Returns the first heartbeat of a machine.
fn heartbeat_of(name: &str, addr: String) -> Event {
    Event::Heartbeat(Heartbeat {
        machine: name.into(),
        addr,
        machine_type: "g".into(),
        zone: "a".into(),
        spot: true,
        agent_epoch: 1,
        sequence: 1,
        token: 7,
        notice_s: None,
        tasks: Vec::new(),
    })
}

/// Returns the approximate size in bytes of a written machine set, as the state service counts it.
fn bytes(write: &RecordWrite) -> usize {
    match write {
        RecordWrite::MachineSet { machines, .. } => machines.iter().map(StoredMachine::bytes).sum(),
        other => panic!("expected a machine set, not {other:?}"),
    }
}

/// The successful writes of a leader.
struct Written {
    /// Names of the stored machines, possibly with duplicates.
    machines: Vec<String>,
    transactions: usize,
}

/// Writes until nothing is left to write, to a state service that rejects transactions with more
/// changes or larger values than these.
fn write_all(scheduler: &mut Scheduler, max_changes: usize, max_bytes: usize) -> Written {
    let mut machines = Vec::new();
    for cycle in 0..200 {
        let now = 10_000 + cycle * 10_000;
        let writes = scheduler.next_writes(now, 8);
        if writes.is_empty() {
            return Written { machines, transactions: cycle as usize };
        }
        let fits = writes.len() <= max_changes && writes.iter().all(|w| bytes(w) <= max_bytes);
        let outcome = if fits {
            for write in &writes {
                let RecordWrite::MachineSet { machines: stored, .. } = write else { continue };
                machines.extend(stored.iter().map(|machine| machine.name.clone()));
            }
            BatchOutcome::Committed(100 + cycle)
        } else {
            BatchOutcome::Rejected
        };
        scheduler.handle(now, Event::WritesFinished { writes, outcome });
    }
    panic!("expected everything to be written within 200 transactions");
}

#[test]
fn rejected_writes_are_retried_in_smaller_parts() {
    for (max_changes, max_bytes) in [(8, 1_000), (1, 100_000), (2, 300)] {
        let mut scheduler = leader();
        for i in 0..300 {
            scheduler.handle(1_000, heartbeat_of(&machine_name(i), machine_name(i)));
        }
        let Written { machines: mut stored, transactions } =
            write_all(&mut scheduler, max_changes, max_bytes);
        stored.sort();
        stored.dedup();
        assert_eq!(stored.len(), 300, "{max_changes} changes, {max_bytes} bytes");
        assert!(transactions < 150, "{transactions} transactions");
    }
}

#[test]
fn a_value_that_cannot_be_stored_blocks_no_other() {
    let mut scheduler = leader();
    scheduler.handle(1_000, heartbeat_of("n-large", "x".repeat(900)));
    for i in 0..20 {
        scheduler.handle(1_000, heartbeat_of(&machine_name(i), machine_name(i)));
    }
    let Written { machines: mut stored, .. } = write_all(&mut scheduler, 4, 600);
    stored.sort();
    stored.dedup();
    assert_eq!(stored, (0..20).map(machine_name).collect::<Vec<_>>());
    assert!(!scheduler.machines()["n-large"].persisted, "so no task is launched on it");
}
