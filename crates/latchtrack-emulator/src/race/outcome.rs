//! What a race of cells came to, and the checks of it.

use std::collections::BTreeMap;

use super::LIMIT_CPUS;
use crate::history::{usage, HistoryEntry, TaskEvent, Usage};
use crate::lifecycle::AttemptKey;

/// Rounding that a sum of CPUs may carry.
const CPU_TOLERANCE: f64 = 1e-6;

/// A job that was submitted to a cell.
#[derive(Clone, Copy, Debug)]
pub struct SubmittedJob {
    /// Index of its team.
    pub team: usize,
    /// CPUs of each of its tasks.
    pub cpus: f64,
}

/// What was allotted of a team at a moment.
#[derive(Clone, Debug)]
pub struct AllotmentSample {
    /// ms since the race began.
    pub at_ms: u64,
    /// Index of the team.
    pub team: usize,
    /// CPUs by cell.
    pub allotted: Vec<f64>,
}

/// A moment at which a team used more than its limit in all cells together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overshoot {
    /// Index of the team.
    pub team: usize,
    /// What it used.
    pub usage: Usage,
}

/// What came of a race.
#[derive(Clone, Debug, Default)]
pub struct RaceOutcome {
    /// What ran in each cell. All entries are on the clock of the race, moved on by
    /// [`CLOCK_OFFSET_MS`](super::CLOCK_OFFSET_MS).
    pub entries: Vec<Vec<HistoryEntry>>,
    /// The submitted jobs by id, by cell.
    pub jobs: Vec<BTreeMap<String, SubmittedJob>>,
    /// What was allotted over time.
    pub samples: Vec<AllotmentSample>,
    /// ms from each request until its need was met, of cells without a fault meanwhile.
    pub grant_latencies_ms: Vec<u64>,
    /// The longest time, in ms, for which a cell lacked something of its team's guarantee while no
    /// cell had a fault.
    pub guarantee_unmet_ms: u64,
    /// ms from the death of a cell until its allotments were reclaimed.
    pub reclaim_latencies_ms: Vec<u64>,
    /// Writes of the teams' ledgers.
    pub ledger_writes: u64,
    /// A line for each fault, with its time.
    pub faults: Vec<String>,
    /// How long the race took, in ms.
    pub duration_ms: u64,
}

impl RaceOutcome {
    /// What a team uses over time, in one cell or in all together.
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

    /// CPUs of a task, named with its cell, if it is of this team.
    fn cpus_of(&self, task: &str, team: usize) -> f64 {
        let job = task.split_once(' ').and_then(|(cell, task)| {
            self.jobs.get(cell.parse::<usize>().ok()?)?.get(AttemptKey::job_of(task))
        });
        job.filter(|job| job.team == team).map_or(0.0, |job| job.cpus)
    }

    /// Moments at which a team used more than its limit in all cells together.
    pub fn overshoots(&self) -> Vec<Overshoot> {
        let last_team = self.jobs.iter().flatten().map(|(_, job)| job.team).max().unwrap_or(0);
        let overshoots_of = |team| {
            let over = self.usage(team, None).into_iter();
            over.filter(|usage| usage.cpus > LIMIT_CPUS + CPU_TOLERANCE)
                .map(move |usage| Overshoot { team, usage })
        };
        (0..=last_team).flat_map(overshoots_of).collect()
    }

    /// Starts of tasks in all cells.
    pub fn launches(&self) -> usize {
        let started = |entry: &&HistoryEntry| entry.event == TaskEvent::Started;
        self.entries.iter().flatten().filter(started).count()
    }
}
