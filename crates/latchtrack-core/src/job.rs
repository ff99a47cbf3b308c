//! Jobs and their tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// CPUs, GPUs and memory: what a task takes of its machine, or a machine has.
pub use latchtrack_balance::resources::Resources;

use crate::bitmap::Bitmap;
use crate::constants::{SLOW_FACTOR, SLOW_MIN_SAMPLES};
use crate::Millis;

/// The id of a job: `req-` and a number of at least six digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct JobId(pub u64);

/// The text is not an id of a job or task.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("not an id of the form req-000412")]
pub struct ParseIdError;

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "req-{:06}", self.0)
    }
}

impl FromStr for JobId {
    type Err = ParseIdError;
    fn from_str(s: &str) -> Result<Self, ParseIdError> {
        let digits = s.strip_prefix("req-").ok_or(ParseIdError)?;
        // One text per number, so that an id and its parsed form can stand for each other.
        let canonical = (digits.len() == 6 || (digits.len() > 6 && !digits.starts_with('0')))
            && digits.len() <= 18
            && digits.bytes().all(|b| b.is_ascii_digit());
        if !canonical {
            return Err(ParseIdError);
        }
        digits.parse().map(JobId).map_err(|_| ParseIdError)
    }
}

/// The id of an equivalence class: jobs with equal demands and constraints. Classes are numbered as
/// a leader sees them first in its term.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct ClassId(pub usize);

/// One task of a job; as text the job's id, a slash and the index.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Its index in the job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;
    fn from_str(s: &str) -> Result<Self, ParseIdError> {
        let (job, index) = s.split_once('/').ok_or(ParseIdError)?;
        Ok(TaskId { job: job.parse()?, index: index.parse().map_err(|_| ParseIdError)? })
    }
}

/// The priority of a job, the highest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Priority {
    /// Production.
    Production,
    /// High.
    High,
    /// Normal.
    Normal,
    /// Low: without deadline and objective a best-effort job.
    Low,
}

/// A job as its user described it.
#[derive(Clone, PartialEq, Debug)]
pub struct JobSpec {
    /// Its id.
    pub id: JobId,
    /// Its workload class, to which objectives apply.
    pub class: String,
    /// The team whose quota it counts against.
    pub team: String,
    /// Who may be preempted for whom.
    pub priority: Priority,
    /// How many tasks it has.
    pub tasks: u32,
    /// All tasks run at the same time or none does; otherwise they are independent of each other.
    pub gang: bool,
    /// What one task takes of its machine.
    pub demand: Resources,
    /// The machine types that it allows; None allows all.
    pub types: Option<Vec<String>>,
    /// The zone in which it is to run; None allows all.
    pub zone: Option<String>,
    /// All tasks are to be in one zone at a time, whichever that is.
    pub one_zone: bool,
    /// No zone may have more than half of the tasks at a time.
    pub spread: bool,
    /// Spot machines are allowed.
    pub spot: bool,
    /// The image that its tasks run.
    pub image: String,
    /// GB of the image.
    pub image_gb: f64,
    /// s that a task runs, as its owner estimates.
    pub estimate_s: f64,
    /// s of progress after which a running task saves a checkpoint; 0 if it never saves, and its
    /// work is lost when it is stopped.
    pub checkpoint_s: f64,
    /// s that a task needs to save when it is stopped.
    pub save_s: f64,
    /// s from submission by which it is to be done.
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Whether the zones of its tasks restrict where others may start.
    pub fn is_zone_constrained(&self) -> bool {
        self.one_zone || self.spread
    }
}

/// The machine and attempt to which a task is bound until it has surely ended there.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Assignment {
    /// The machine.
    pub machine: Arc<str>,
    /// The number of the attempt.
    pub attempt: u64,
}

/// The run times of a job's done tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunTimes {
    /// Their sum in ms.
    total_ms: Millis,
    /// How many there are.
    count: u32,
}

impl RunTimes {
    /// Adds the run time of a task.
    fn add(&mut self, ran_ms: Millis) {
        self.total_ms += ran_ms;
        self.count += 1;
    }

    /// Whether a run time is beyond [`SLOW_FACTOR`] times the mean, if there are enough for a mean.
    fn are_exceeded_by(&self, ran_ms: Millis) -> bool {
        self.count >= SLOW_MIN_SAMPLES
            && ran_ms as f64 * f64::from(self.count) > SLOW_FACTOR * self.total_ms as f64
    }
}

/// An unfinished job as the scheduler sees it.
#[derive(Clone, Debug)]
pub struct Job {
    /// What its user described.
    pub spec: Arc<JobSpec>,
    /// When it was submitted, in ms on the local steady clock.
    pub submitted_at: Millis,
    /// The revision of its open record.
    pub revision: u64,
    /// Accepted under an earlier leader, which may have launched its tasks.
    pub inherited: bool,
    /// Tasks known to be done.
    pub done: Bitmap,
    /// Tasks whose result is stored.
    pub persisted: Bitmap,
    /// The write of its record as done was refused: another node or user closed the job.
    pub closed_elsewhere: bool,
    /// The assignments of its tasks, by index.
    pub placed: BTreeMap<u32, Assignment>,
    /// Tasks that were requeued, to be placed before those never tried.
    pub requeued: BTreeSet<u32>,
    /// Tasks neither done nor assigned.
    waiting: u32,
    /// Its equivalence class, which the scheduler sets.
    pub equivalence_class: ClassId,
    /// The first task that was never tried.
    next_untried: u32,
    /// Nothing of it is placed before this time, in ms on the local steady clock.
    pub backoff_until: Millis,
    /// Machines on which it failed, and when last.
    pub failed_on: BTreeMap<String, Millis>,
    /// ms that a failed task had run at most.
    pub longest_failed_run_ms: Millis,
    /// It has shown nothing but failures: one task at a time is tried.
    pub is_quarantined: bool,
    /// Trials that failed since then.
    pub failed_trials: u32,
    /// Since when it has found no capacity.
    pub unschedulable_since: Option<Millis>,
    /// Run times of its done tasks, as far as this term has seen them from their start.
    pub run_times: RunTimes,
    /// Since when the tasks of a gang's last attempt are being ended; None if no task has left it.
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
            waiting: spec.tasks - done.count_ones(),
            equivalence_class: ClassId::default(),
            spec,
            submitted_at,
            revision,
            inherited,
            persisted: done.clone(),
            done,
            closed_elsewhere: false,
            placed: BTreeMap::new(),
            requeued: BTreeSet::new(),
            next_untried: 0,
            backoff_until: 0,
            failed_on: BTreeMap::new(),
            longest_failed_run_ms: 0,
            is_quarantined: false,
            failed_trials: 0,
            unschedulable_since: None,
            run_times: RunTimes::default(),
            attempt_ended_at: None,
        }
    }

    /// Tasks neither done nor assigned.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Whether nothing of it was ever placed in this term, and nothing is done.
    pub fn never_started(&self) -> bool {
        self.waiting == self.spec.tasks && self.requeued.is_empty()
    }

    /// Assigns a task.
    pub fn place(&mut self, index: u32, assignment: Assignment) {
        if self.placed.insert(index, assignment).is_none() && !self.done.get(index) {
            self.waiting -= 1;
        }
    }

    /// A task is done, by this attempt; returns whether that was not known before.
    pub fn complete(&mut self, index: u32, attempt: u64) -> bool {
        let is_new = self.done.set(index);
        if is_new && !self.placed.contains_key(&index) {
            self.waiting -= 1;
        }
        if self.placed.get(&index).is_some_and(|p| p.attempt == attempt) {
            self.placed.remove(&index);
        }
        is_new
    }

    /// Takes up to `count` waiting tasks, requeued ones first. Each must then be placed.
    pub fn take(&mut self, count: u32) -> Vec<u32> {
        let mut taken = Vec::with_capacity(count as usize);
        while (taken.len() as u32) < count {
            let next = match self.requeued.pop_first() {
                Some(index) => index,
                None if self.next_untried < self.spec.tasks => {
                    self.next_untried += 1;
                    self.next_untried - 1
                }
                None => break,
            };
            if !self.done.get(next) && !self.placed.contains_key(&next) {
                taken.push(next);
            }
        }
        taken
    }

    /// Takes this task; returns false if it does not wait. It must then be placed.
    pub fn take_one(&mut self, index: u32) -> bool {
        if self.done.get(index) || self.placed.contains_key(&index) || index >= self.spec.tasks {
            return false;
        }
        self.requeued.remove(&index);
        true
    }

    /// A task is off its machine without a result.
    pub fn requeue(&mut self, index: u32) {
        if self.placed.remove(&index).is_some() && !self.done.get(index) {
            self.waiting += 1;
            if index < self.next_untried {
                self.requeued.insert(index);
            }
        }
    }

    /// Records the run time of a done task; returns whether it was slow beside those before it.
    pub fn record_run_time(&mut self, ran_ms: Millis) -> bool {
        let is_slow = self.run_times.are_exceeded_by(ran_ms);
        self.run_times.add(ran_ms);
        is_slow
    }

    /// How many of its tasks may be placed now: of a gang all of them, once no task of its last
    /// attempt is assigned; of a quarantined job one at a time.
    pub fn schedulable_tasks(&self) -> u32 {
        let none_placed = self.placed.is_empty();
        match (self.spec.gang, self.is_quarantined) {
            (true, _) if none_placed => self.waiting,
            (false, true) if none_placed => self.waiting.min(1),
            (false, false) => self.waiting,
            _ => 0,
        }
    }

    /// Whether every task is assigned in one and the same attempt, as a gang's must be.
    pub fn has_complete_attempt(&self) -> bool {
        let mut attempts = self.placed.values().map(|assignment| assignment.attempt);
        let first = attempts.next();
        self.placed.len() == self.spec.tasks as usize
            && attempts.all(|attempt| Some(attempt) == first)
    }
}
