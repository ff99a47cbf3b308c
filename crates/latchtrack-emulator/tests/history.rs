//! The checker of recorded histories finds what it is meant to find.

use latchtrack_emulator::history::{Entry, Happened, History};

fn history(entries: &[(&str, &str, u64, Happened)]) -> History {
    let entry =
        |(i, (machine, task, attempt, happened)): (usize, &(&str, &str, u64, Happened))| Entry {
            at_ms: i as u64,
            machine: machine.to_string(),
            task: task.to_string(),
            attempt: *attempt,
            happened: *happened,
        };
    History { entries: entries.iter().enumerate().map(entry).collect(), loads: Vec::new() }
}

#[test]
fn a_task_on_two_machines_at_once_is_found() {
    use Happened::*;
    let moved = [
        ("n-1", "req-000001/0", 1, Started),
        ("n-1", "req-000001/0", 1, Gone),
        ("n-2", "req-000001/0", 2, Started),
        ("n-2", "req-000001/0", 2, Done),
    ];
    assert_eq!(history(&moved).ran_twice(), Vec::<String>::new());
    assert_eq!(history(&moved).completed().len(), 1);
    assert_eq!(history(&moved).starts(), (2, 1));
    // The same with the end on the source missing, or late.
    let planted = [moved[0], moved[2], moved[1], moved[3]];
    assert_eq!(history(&planted).ran_twice().len(), 1);
    // The same attempt twice on one machine.
    let repeated = [moved[0], moved[1], moved[0]];
    assert_eq!(history(&repeated).ran_twice().len(), 1);
    let lost = [moved[0], moved[1]];
    assert!(history(&lost).completed().is_empty());
}
