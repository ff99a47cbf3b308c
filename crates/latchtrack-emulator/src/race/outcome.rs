//! The outcome of a race, and checks on it.

use std::collections::BTreeMap;

use super::LIMIT_CPUS;
use crate::history::{usage, HistoryEntry, TaskEvent, Usage};
use crate::lifecycle::AttemptKey;

/// Tolerance for rounding errors in sums of CPUs.
const CPU_TOLERANCE: f64 = 1e-6;

/// A job submitted to a cell.
#[derive(Clone, Copy, Debug)]
pub struct SubmittedJob {
    /// Index of its team.
    pub team: usize,
    /// CPUs of each of its tasks.
    pub cpus: f64,
}

/// A sample of a team's allotments.
#[derive(Clone, Debug)]
pub struct AllotmentSample {
    /// Time in ms since the start of the race.
    pub at_ms: u64,
    /// Index of the team.
    pub team: usize,
    /// Allotted CPUs by cell.
    pub allotted: Vec<f64>,
}

/// An excess of a team's total usage in all cells over its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overshoot {
    /// Index of the team.
    pub team: usize,
    /// The total usage.
    pub usage: Usage,
}

/// The recorded outcome of a race.
#[derive(Clone, Debug, Default)]
pub struct RaceOutcome {
    /// Task events by cell. Times are in ms since the start of the race plus
    /// [`CLOCK_OFFSET_MS`](super::CLOCK_OFFSET_MS).
    pub entries: Vec<Vec<HistoryEntry>>,
    /// For each cell, the submitted jobs by id.
    pub jobs: Vec<BTreeMap<String, SubmittedJob>>,
    /// Allotments over time.
    pub samples: Vec<AllotmentSample>,
    /// Time from each request until its need was met, ms. Requests met during a fault of their
    /// cell are left out.
    pub grant_latencies_ms: Vec<u64>,
    /// The longest time, in ms, for which a cell wanted more of a team's guarantee than it had
    /// while no cell had a fault.
    pub guarantee_unmet_ms: u64,
    /// Time from the death of each cell until its allotments were reclaimed, ms.
    pub reclaim_latencies_ms: Vec<u64>,
    /// Number of writes to the teams' ledgers.
    pub ledger_writes: u64,
    /// A description of each fault, with its time.
    pub faults: Vec<String>,
    /// Duration of the race, ms.
    pub duration_ms: u64,
}

impl RaceOutcome {
    /// Computes a team's usage over time in one cell, or in all cells together if `cell` is `None`.
    pub fn usage(&self, team: usize, cell: Option<usize>) -> Vec<Usage> {
        let mut entries = Vec::new();
        for (i, of_cell) in self.entries.iter().enumerate() {
            if cell.is_none_or(|cell| cell == i) {
                let with_cell = |entry: &HistoryEntry| HistoryEntry {
                    task: format!("{i} {}", entry.task),
                    ..entry.clone()
                };
                entries.extend(of_cell.iter().map(with_cell));
            }
        }
        usage(&entries, |task| self.cpus_of(task, team))
    }

    /// Returns the CPUs of a task, given as `<cell> <task id>`; 0 if it is not of this team.
    fn cpus_of(&self, task: &str, team: usize) -> f64 {
        let job = task.split_once(' ').and_then(|(cell, task)| {
            self.jobs.get(cell.parse::<usize>().ok()?)?.get(AttemptKey::job_of(task))
        });
        job.filter(|job| job.team == team).map_or(0.0, |job| job.cpus)
    }

    /// Returns each time at which a team's total usage exceeded its limit.
    pub fn overshoots(&self) -> Vec<Overshoot> {
        let last_team = self.jobs.iter().flatten().map(|(_, job)| job.team).max().unwrap_or(0);
        let overshoots_of = |team| {
            let over = self.usage(team, None).into_iter();
            over.filter(|usage| usage.cpus > LIMIT_CPUS + CPU_TOLERANCE)
                .map(move |usage| Overshoot { team, usage })
        };
        (0..=last_team).flat_map(overshoots_of).collect()
    }

    /// Counts the task starts in all cells.
    pub fn launches(&self) -> usize {
        let started = |entry: &&HistoryEntry| entry.event == TaskEvent::Started;
        self.entries.iter().flatten().filter(started).count()
    }
}
