//! The state service refuses what is above its limits, whatever the settings say: a leader that meets
//! that goes on in smaller pieces, and one value that can't be stored blocks no other.

mod common;

use common::*;
use latchtrack_core::leader::*;
use latchtrack_core::machine::Report;

fn leader() -> Cluster {
    let types = vec![machine_type(vec!["a".into()])];
    let stamps = Stamps { token: 7, vacant: 7 };
    Cluster::new(policy(), stamps, types, Vec::new(), Vec::new(), 1_000)
}

fn report(name: &str, addr: String) -> Event {
    Event::Report(Report {
        machine: name.into(),
        addr,
        kind: "g".into(),
        zone: "a".into(),
        spot: true,
        session: 1,
        seq: 1,
        token: 7,
        notice_s: None,
        tasks: Vec::new(),
    })
}

/// Bytes of the machines in a write, as the state service would count about.
fn bytes(write: &Write) -> usize {
    match write {
        Write::Fleet { machines, .. } => machines.iter().map(StoredMachine::bytes).sum(),
        other => panic!("{other:?}"),
    }
}

/// Writes all that is to be written, to a service that takes no more than so many changes and so many
/// bytes of a value; returns the machines stored and the transactions it took.
fn write_all(c: &mut Cluster, most_changes: usize, most_bytes: usize) -> (Vec<String>, usize) {
    let mut stored = Vec::new();
    for round in 0..200 {
        let now = 10_000 + round * 10_000;
        let writes = c.next_writes(now, 8);
        if writes.is_empty() {
            return (stored, round as usize);
        }
        let fits = writes.len() <= most_changes && writes.iter().all(|w| bytes(w) <= most_bytes);
        let outcome = if fits {
            for write in &writes {
                let Write::Fleet { machines, .. } = write else { continue };
                stored.extend(machines.iter().map(|m| m.name.clone()));
            }
            SaveOutcome::Ok(100 + round)
        } else {
            SaveOutcome::Refused
        };
        c.handle(now, Event::Saved { writes, outcome });
    }
    panic!("refused without end");
}

#[test]
fn refused_writes_go_on_in_smaller_pieces() {
    for (most_changes, most_bytes) in [(8, 1_000), (1, 100_000), (2, 300)] {
        let mut c = leader();
        for i in 0..300 {
            c.handle(1_000, report(&name(i), name(i)));
        }
        let (mut stored, rounds) = write_all(&mut c, most_changes, most_bytes);
        stored.sort();
        stored.dedup();
        assert_eq!(stored.len(), 300, "{most_changes} changes, {most_bytes} bytes");
        assert!(rounds < 150, "{rounds} transactions");
    }
}

#[test]
fn a_value_that_can_not_be_stored_blocks_no_other() {
    let mut c = leader();
    c.handle(1_000, report("n-large", "x".repeat(900)));
    for i in 0..20 {
        c.handle(1_000, report(&name(i), name(i)));
    }
    let (mut stored, _) = write_all(&mut c, 4, 600);
    stored.sort();
    stored.dedup();
    assert_eq!(stored, (0..20).map(name).collect::<Vec<_>>());
    assert!(!c.machines()["n-large"].stored, "and it gets no task");
}
