//! The checks of recorded histories detect the violations that they are meant to detect.

use latchtrack_emulator::history::{History, HistoryEntry, StartCounts, TaskEvent};

/// An entry of the task; `history` sets its time from its index.
fn entry(machine: &str, attempt: u64, event: TaskEvent) -> HistoryEntry {
    let task = "req-000001/0".to_string();
    HistoryEntry { at_ms: 0, machine: machine.to_string(), task, attempt, event }
}

fn history(entries: &[HistoryEntry]) -> History {
    let at = |(i, entry): (usize, &HistoryEntry)| HistoryEntry { at_ms: i as u64, ..entry.clone() };
    History { entries: entries.iter().enumerate().map(at).collect(), ..History::default() }
}

#[test]
fn concurrent_runs_of_a_task_are_detected() {
    let moved = [
        entry("n-1", 1, TaskEvent::Started),
        entry("n-1", 1, TaskEvent::Ended),
        entry("n-2", 2, TaskEvent::Started),
        entry("n-2", 2, TaskEvent::Completed),
    ];
    let [started, ended, started_again, completed] = moved.clone();
    assert_eq!(history(&moved).duplicate_runs(), Vec::<String>::new());
    assert_eq!(history(&moved).completed().len(), 1);
    assert_eq!(history(&moved).start_counts(), StartCounts { starts: 2, tasks: 1 });
    // The task starts on the target before it ends on the source.
    let overlapping = [started.clone(), started_again, ended.clone(), completed];
    assert_eq!(history(&overlapping).duplicate_runs().len(), 1);
    // The same attempt starts twice on one machine.
    let repeated = [started.clone(), ended.clone(), started.clone()];
    assert_eq!(history(&repeated).duplicate_runs().len(), 1);
    let incomplete = [started, ended];
    assert!(history(&incomplete).completed().is_empty());
}
