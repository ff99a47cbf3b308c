//! The recorded history of a fleet of workers, and checks on it.

use std::collections::{BTreeMap, BTreeSet};

/// An event in the life of a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEvent {
    /// It has fetched its image and started to run.
    Started,
    /// It ran to completion.
    Completed,
    /// It stopped without a result.
    Ended,
}

/// A task event with its time and place.
#[derive(Clone, Debug)]
pub struct HistoryEntry {
    /// ms since the fleet was started.
    pub at_ms: u64,
    /// The name of the machine.
    pub machine: String,
    /// The task's id, `<job>/<index>`.
    pub task: String,
    /// The attempt number.
    pub attempt: u64,
    /// The event.
    pub event: TaskEvent,
}

/// Copies of direct calls that reached a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCopies {
    /// Copies that the machine executed.
    pub executed: usize,
    /// Copies that the machine rejected because of their token or agent epoch.
    pub rejected: usize,
}

/// A sample of the machines' loads. A load is the fraction of a machine's CPUs in use.
#[derive(Clone, Copy, Debug)]
pub struct LoadSample {
    /// ms since the fleet was started.
    pub at_ms: u64,
    /// Load of the most loaded machine; 0 if no machine is up.
    pub max: f64,
    /// Mean load of all machines that are up.
    pub mean: f64,
    /// Number of machines that are up.
    pub machines: usize,
}

/// The CPUs in use from a time until the next entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Time in ms, on the clock of the history entries.
    pub at_ms: u64,
    /// Total CPUs in use.
    pub cpus: f64,
}

/// Computes the total CPU usage over time from the CPUs of each task. Tasks with 0 CPUs are
/// skipped. Among events in the same millisecond, ends are applied before starts.
pub fn usage(entries: &[HistoryEntry], cpus_of: impl Fn(&str) -> f64) -> Vec<Usage> {
    let mut changes: Vec<(u64, f64)> = entries
        .iter()
        .map(|entry| match entry.event {
            TaskEvent::Started => (entry.at_ms, cpus_of(&entry.task)),
            TaskEvent::Completed | TaskEvent::Ended => (entry.at_ms, -cpus_of(&entry.task)),
        })
        .filter(|(_, cpus)| *cpus != 0.0)
        .collect();
    changes.sort_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
    let mut cpus = 0.0;
    let total = |(at_ms, change): (u64, f64)| {
        cpus += change;
        Usage { at_ms, cpus }
    };
    changes.into_iter().map(total).collect()
}

/// Counts of task starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartCounts {
    /// All starts.
    pub starts: usize,
    /// Distinct tasks that started.
    pub tasks: usize,
}

/// The events and load samples of a fleet, in order of time.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Task events.
    pub entries: Vec<HistoryEntry>,
    /// Loads of the machines, sampled once per second.
    pub loads: Vec<LoadSample>,
    /// Copies of direct calls so far.
    pub call_copies: CallCopies,
}

impl History {
    /// Describes each start of a task that was still running, and each repeated start of the same
    /// attempt on the same machine.
    pub fn duplicate_runs(&self) -> Vec<String> {
        let mut runs_of: BTreeMap<&str, BTreeSet<(&str, u64)>> = BTreeMap::new();
        let mut started = BTreeSet::new();
        let mut duplicates = Vec::new();
        for entry in &self.entries {
            let runs = runs_of.entry(&entry.task).or_default();
            let run = (entry.machine.as_str(), entry.attempt);
            if entry.event != TaskEvent::Started {
                runs.remove(&run);
                continue;
            }
            let is_first = started.insert((&entry.task, run));
            if !runs.is_empty() || !is_first {
                let HistoryEntry { task, machine, at_ms, .. } = entry;
                duplicates.push(format!(
                    "{task} started on {machine} at {at_ms} ms; already running: {runs:?}"
                ));
            }
            runs.insert(run);
        }
        duplicates
    }

    /// Returns the ids of completed tasks.
    pub fn completed(&self) -> BTreeSet<String> {
        let done = self.entries.iter().filter(|entry| entry.event == TaskEvent::Completed);
        done.map(|entry| entry.task.clone()).collect()
    }

    /// Counts the starts and the distinct tasks that started.
    pub fn start_counts(&self) -> StartCounts {
        let started = self.entries.iter().filter(|entry| entry.event == TaskEvent::Started);
        let starts: Vec<&str> = started.map(|entry| entry.task.as_str()).collect();
        let tasks: BTreeSet<&&str> = starts.iter().collect();
        StartCounts { starts: starts.len(), tasks: tasks.len() }
    }
}
