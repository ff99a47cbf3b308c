//! What a fleet of workers recorded, and checks of it.

use std::collections::{BTreeMap, BTreeSet};

/// What happened to a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEvent {
    /// It has its image and runs.
    Started,
    /// It completed.
    Completed,
    /// It left the machine without a result.
    Ended,
}

/// One entry of a history.
#[derive(Clone, Debug)]
pub struct HistoryEntry {
    /// ms since the fleet was started.
    pub at_ms: u64,
    /// The machine's name.
    pub machine: String,
    /// The task's id, `<job>/<index>`.
    pub task: String,
    /// The number of the attempt.
    pub attempt: u64,
    /// What happened to it.
    pub event: TaskEvent,
}

/// The loads of the machines at one moment. A load is the fraction of a machine that is in use.
#[derive(Clone, Copy, Debug)]
pub struct LoadSample {
    /// ms since the fleet was started.
    pub at_ms: u64,
    /// Load of the most loaded machine.
    pub max: f64,
    /// Mean load of all machines.
    pub mean: f64,
    /// Machines that were up.
    pub machines: usize,
}

/// CPUs in use from a moment on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// ms of the clock of the entries.
    pub at_ms: u64,
    /// CPUs in use.
    pub cpus: f64,
}

/// The usage over time of tasks by the CPUs that each takes; those that take none are left out. Of
/// what happens in the same millisecond, what ends counts first.
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

/// How often tasks were started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartCounts {
    /// Starts in all.
    pub starts: usize,
    /// Tasks that were started at least once.
    pub tasks: usize,
}

/// What a fleet recorded, in the order in which it happened.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// What happened to tasks.
    pub entries: Vec<HistoryEntry>,
    /// Loads of the machines, sampled once a second.
    pub loads: Vec<LoadSample>,
}

impl History {
    /// Describes each start of a task while it was on a machine, or twice under one attempt.
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
                duplicates.push(format!("{task} on {machine} at {at_ms} beside {runs:?}"));
            }
            runs.insert(run);
        }
        duplicates
    }

    /// Tasks that completed.
    pub fn completed(&self) -> BTreeSet<String> {
        let done = self.entries.iter().filter(|entry| entry.event == TaskEvent::Completed);
        done.map(|entry| entry.task.clone()).collect()
    }

    /// How often tasks were started.
    pub fn start_counts(&self) -> StartCounts {
        let started = self.entries.iter().filter(|entry| entry.event == TaskEvent::Started);
        let starts: Vec<&str> = started.map(|entry| entry.task.as_str()).collect();
        let tasks: BTreeSet<&&str> = starts.iter().collect();
        StartCounts { starts: starts.len(), tasks: tasks.len() }
    }
}
