//! What a fleet of workers recorded, and the checks of it.

use std::collections::{BTreeMap, BTreeSet};

/// What happened to a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happened {
    /// It has its image and runs.
    Started,
    /// It completed.
    Done,
    /// It is off the machine without a result.
    Gone,
}

/// One entry of a history.
#[derive(Clone, Debug)]
pub struct Entry {
    /// ms since the fleet began.
    pub at_ms: u64,
    pub machine: String,
    pub task: String,
    pub attempt: u64,
    pub happened: Happened,
}

/// The loads of the machines at one moment, in parts of a machine.
#[derive(Clone, Copy, Debug)]
pub struct LoadSample {
    pub at_ms: u64,
    pub greatest: f64,
    pub mean: f64,
    pub machines: usize,
}

/// CPUs in use after a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    pub at_ms: u64,
    pub cpus: f64,
}

/// The use over time of tasks by what each takes; those that take nothing are left out. Of what happens in the
/// same millisecond, what ends counts first.
pub fn usage(entries: &[Entry], cpus_of: impl Fn(&str) -> f64) -> Vec<Usage> {
    let mut changes: Vec<(u64, f64)> = entries
        .iter()
        .map(|entry| match entry.happened {
            Happened::Started => (entry.at_ms, cpus_of(&entry.task)),
            Happened::Done | Happened::Gone => (entry.at_ms, -cpus_of(&entry.task)),
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

/// What a fleet recorded, in the order in which it happened.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub entries: Vec<Entry>,
    pub loads: Vec<LoadSample>,
}

impl History {
    /// Starts of a task on one machine while it was on another, or twice under one attempt.
    pub fn ran_twice(&self) -> Vec<String> {
        let mut on: BTreeMap<&str, BTreeSet<(&str, u64)>> = BTreeMap::new();
        let mut started = BTreeSet::new();
        let mut bad = Vec::new();
        for entry in &self.entries {
            let places = on.entry(&entry.task).or_default();
            let place = (entry.machine.as_str(), entry.attempt);
            if entry.happened != Happened::Started {
                places.remove(&place);
                continue;
            }
            let is_first = started.insert((&entry.task, place));
            if !places.is_empty() || !is_first {
                let at_ms = entry.at_ms;
                bad.push(format!(
                    "{} on {} at {at_ms} beside {places:?}",
                    entry.task, entry.machine
                ));
            }
            places.insert(place);
        }
        bad
    }

    /// Tasks that completed.
    pub fn completed(&self) -> BTreeSet<String> {
        let done = self.entries.iter().filter(|entry| entry.happened == Happened::Done);
        done.map(|entry| entry.task.clone()).collect()
    }

    /// Starts in all, and tasks that were started.
    pub fn starts(&self) -> (usize, usize) {
        let starts: Vec<&str> = self
            .entries
            .iter()
            .filter(|entry| entry.happened == Happened::Started)
            .map(|entry| entry.task.as_str())
            .collect();
        let tasks: BTreeSet<&&str> = starts.iter().collect();
        (starts.len(), tasks.len())
    }
}
