//! Jobs and their tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use crate::bitmap::Bitmap;
use crate::constants::*;
use crate::Millis;

/// The id of a job: `req-` and a number of at least six digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct JobId(pub u64);

/// Why a text is no id.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("not an id of the form req-000412")]
pub struct BadId;

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "req-{:06}", self.0)
    }
}

impl FromStr for JobId {
    type Err = BadId;
    fn from_str(s: &str) -> Result<Self, BadId> {
        let digits = s.strip_prefix("req-").ok_or(BadId)?;
        // One text per number, so that an id and its parsed form can stand for each other.
        let canonical = (digits.len() == 6 || (digits.len() > 6 && !digits.starts_with('0')))
            && digits.len() <= 18
            && digits.bytes().all(|b| b.is_ascii_digit());
        if !canonical {
            return Err(BadId);
        }
        digits.parse().map(JobId).map_err(|_| BadId)
    }
}

/// The id of an equivalence class: jobs with equal demands and constraints. Classes are numbered as a leader
/// sees them first in its term.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct ClassId(pub usize);

/// One task of a job.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct TaskId {
    pub job: JobId,
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = BadId;
    fn from_str(s: &str) -> Result<Self, BadId> {
        let (job, index) = s.split_once('/').ok_or(BadId)?;
        Ok(TaskId { job: job.parse()?, index: index.parse().map_err(|_| BadId)? })
    }
}

/// How urgent a job is, the most urgent first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Priority {
    Production,
    High,
    Normal,
    Low,
}

/// What a task takes of its machine.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct Demand {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

impl Demand {
    /// Takes `n` times as much as `d` out of it.
    pub fn take(&mut self, d: &Demand, n: u32) {
        let n = f64::from(n);
        self.cpus -= d.cpus * n;
        self.gpus -= d.gpus * n;
        self.memory_gb -= d.memory_gb * n;
    }
}

/// A job as its user described it.
#[derive(Clone, PartialEq, Debug)]
pub struct JobSpec {
    pub id: JobId,
    pub class: String,
    pub team: String,
    pub priority: Priority,
    pub tasks: u32,
    /// All tasks run at the same time or none does; otherwise they are independent of each other.
    pub gang: bool,
    pub demand: Demand,
    pub types: Option<Vec<String>>,
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub image: String,
    pub image_gb: f64,
    pub estimate_s: f64,
    pub checkpoint_s: f64,
    pub save_s: f64,
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Whether where its tasks are has a say in where others may start.
    pub fn is_zone_constrained(&self) -> bool {
        self.one_zone || self.spread
    }
}

/// Where a task is.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Assignment {
    pub machine: Arc<str>,
    pub attempt: u64,
}

/// An unfinished job as the leader sees it.
#[derive(Clone, Debug)]
pub struct Job {
    pub spec: Arc<JobSpec>,
    /// When it was submitted, on the local steady clock.
    pub submitted_at: Millis,
    /// Version of its open record.
    pub revision: u64,
    /// First accepted under an earlier leader, which may have launched its tasks.
    pub inherited: bool,
    /// Tasks known to be done, and those whose result is stored.
    pub done: Bitmap,
    pub persisted: Bitmap,
    /// The record as done has been refused: somebody else closed the job.
    pub closed_elsewhere: bool,
    pub placed: BTreeMap<u32, Assignment>,
    /// Tasks that came back, to be placed before those never tried.
    pub again: BTreeSet<u32>,
    /// Tasks neither done nor on a machine.
    left: u32,
    /// Its equivalence class, which the scheduler sets.
    pub equivalence_class: ClassId,
    cursor: u32,
    /// Nothing of it is placed before this time.
    pub backoff_until: Millis,
    /// Machines it failed on, and when last; for how long a failed task had run at most.
    pub failed_on: BTreeMap<String, Millis>,
    pub failed_after: Millis,
    /// Shows nothing but failures: one task at a time is tried.
    pub is_quarantined: bool,
    /// Tries that failed since then.
    pub failed_trials: u32,
    /// Since when it has found no room.
    pub unschedulable_since: Option<Millis>,
    /// Run times of its done tasks: their sum in ms and their count.
    pub ran: (Millis, u32),
    /// Since when the tasks of a gang's last attempt are being ended; None: no task has left it.
    pub attempt_ended_at: Option<Millis>,
}

impl Job {
    /// A job of which `done` is known to be complete and stored.
    pub fn new(
        spec: Arc<JobSpec>,
        submitted_at: Millis,
        revision: u64,
        inherited: bool,
        done: Bitmap,
    ) -> Self {
        Job {
            left: spec.tasks - done.ones(),
            equivalence_class: ClassId::default(),
            spec,
            submitted_at,
            revision,
            inherited,
            persisted: done.clone(),
            done,
            closed_elsewhere: false,
            placed: BTreeMap::new(),
            again: BTreeSet::new(),
            cursor: 0,
            backoff_until: 0,
            failed_on: BTreeMap::new(),
            failed_after: 0,
            is_quarantined: false,
            failed_trials: 0,
            unschedulable_since: None,
            ran: (0, 0),
            attempt_ended_at: None,
        }
    }

    /// Tasks neither done nor on a machine.
    pub fn waiting(&self) -> u32 {
        self.left
    }

    /// Whether nothing of it has ever been placed in this term, and nothing is done.
    pub fn never_started(&self) -> bool {
        self.left == self.spec.tasks && self.again.is_empty()
    }

    /// A task has a place now.
    pub fn place(&mut self, index: u32, place: Assignment) {
        if self.placed.insert(index, place).is_none() && !self.done.get(index) {
            self.left -= 1;
        }
    }

    /// A task is done, by this attempt; true if that is news.
    pub fn complete(&mut self, index: u32, attempt: u64) -> bool {
        let news = self.done.set(index);
        if news && !self.placed.contains_key(&index) {
            self.left -= 1;
        }
        if self.placed.get(&index).is_some_and(|p| p.attempt == attempt) {
            self.placed.remove(&index);
        }
        news
    }

    /// Takes up to `n` waiting tasks. Each must then be placed.
    pub fn take(&mut self, n: u32) -> Vec<u32> {
        let mut out = Vec::with_capacity(n as usize);
        while (out.len() as u32) < n {
            let next = match self.again.pop_first() {
                Some(i) => i,
                None if self.cursor < self.spec.tasks => {
                    self.cursor += 1;
                    self.cursor - 1
                }
                None => break,
            };
            if !self.done.get(next) && !self.placed.contains_key(&next) {
                out.push(next);
            }
        }
        out
    }

    /// Takes this task if it waits. It must then be placed.
    pub fn take_one(&mut self, index: u32) -> bool {
        if self.done.get(index) || self.placed.contains_key(&index) || index >= self.spec.tasks {
            return false;
        }
        self.again.remove(&index);
        true
    }

    /// A task is off its machine without a result.
    pub fn requeue(&mut self, index: u32) {
        if self.placed.remove(&index).is_some() && !self.done.get(index) {
            self.left += 1;
            if index < self.cursor {
                self.again.insert(index);
            }
        }
    }

    /// Takes in the run time of a done task; true if it was slow among its like.
    pub fn record_run_time(&mut self, ran: Millis) -> bool {
        let (sum, n) = self.ran;
        self.ran = (sum + ran, n + 1);
        n >= SLOW_MIN_SAMPLES && ran as f64 * f64::from(n) > SLOW_FACTOR * sum as f64
    }

    /// How many of its tasks may be placed now: of a gang all of them, once no task of its last attempt is
    /// on a machine; of a suspect job one at a time.
    pub fn schedulable_tasks(&self) -> u32 {
        let none_placed = self.placed.is_empty();
        match (self.spec.gang, self.is_quarantined) {
            (true, _) if none_placed => self.left,
            (false, true) if none_placed => self.left.min(1),
            (false, false) => self.left,
            _ => 0,
        }
    }

    /// Whether every task has its place in one and the same attempt, as a gang's must.
    pub fn has_complete_attempt(&self) -> bool {
        let mut attempts = self.placed.values().map(|place| place.attempt);
        let first = attempts.next();
        self.placed.len() == self.spec.tasks as usize && attempts.all(|a| Some(a) == first)
    }
}
