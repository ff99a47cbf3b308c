//! Jobs and their tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// CPUs, GPUs and memory: the demand of a task or the capacity of a machine.
pub use latchtrack_balance::resources::Resources;

use crate::bitmap::Bitmap;
use crate::constants::{SLOW_FACTOR, SLOW_MIN_SAMPLES};
use crate::Millis;

/// The id of a job: as text `req-` and a number, padded to at least six digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct JobId(pub u64);

/// Error for a text that is not a valid id of a job or task.
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
        // Only the canonical text of a number is accepted, so that ids can be compared as text or
        // parsed.
        let canonical = (digits.len() == 6 || (digits.len() > 6 && !digits.starts_with('0')))
            && digits.len() <= 18
            && digits.bytes().all(|b| b.is_ascii_digit());
        if !canonical {
            return Err(ParseIdError);
        }
        digits.parse().map(JobId).map_err(|_| ParseIdError)
    }
}

/// The id of an equivalence class of jobs with equal demands and constraints. A leader numbers the
/// classes in its term in the order in which it first sees them.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct ClassId(pub usize);

/// The id of a task; as text the id of its job, a slash and its index.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The index of the task in its job, from 0.
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

/// The priority of a job, from the highest to the lowest. Records store the position of the
/// variant.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Priority {
    /// Production jobs, `production` for users.
    Production,
    /// High priority.
    High,
    /// Normal priority, `standard` for users.
    Normal,
    /// Low priority, `best_effort` for users. A job without a deadline or an objective is then
    /// scheduled as best-effort.
    Low,
}

/// A job as submitted by its user.
#[derive(Clone, PartialEq, Debug)]
pub struct JobSpec {
    /// The id of the job.
    pub id: JobId,
    /// The workload class, which determines the objectives.
    pub class: String,
    /// The team whose quota the job uses.
    pub team: String,
    /// The priority. Only [`Priority::Low`] affects the order of the queue.
    pub priority: Priority,
    /// The number of tasks.
    pub tasks: u32,
    /// Whether the job is a gang, whose tasks run all at the same time or not at all. The tasks of
    /// any other job are independent of each other.
    pub gang: bool,
    /// The resources that one task needs.
    pub demand: Resources,
    /// The allowed machine types; `None` allows all.
    pub types: Option<Vec<String>>,
    /// The zone in which the job must run; `None` allows all.
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone at a time, whichever it is.
    pub one_zone: bool,
    /// Whether no zone may have more than half of the tasks at a time, rounded up.
    pub spread: bool,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// The image that the tasks run.
    pub image: String,
    /// The size of the image in GB.
    pub image_gb: f64,
    /// The run time of a task in s, as estimated by the user.
    pub estimate_s: f64,
    /// s of progress between two checkpoints of a running task; 0 if it saves none and loses its
    /// work when it is stopped.
    pub checkpoint_s: f64,
    /// s that a task needs to save a checkpoint when it is stopped.
    pub save_s: f64,
    /// s from submission within which the job should be done.
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Whether the zones of its running tasks restrict where other tasks may start.
    pub fn is_zone_constrained(&self) -> bool {
        self.one_zone || self.spread
    }
}

/// The machine and attempt that a task is assigned to, until it is certain that the attempt has
/// ended.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Assignment {
    /// The name of the machine.
    pub machine: Arc<str>,
    /// The number of the attempt.
    pub attempt: u64,
}

/// The run times of a job's completed tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunTimes {
    /// The sum of the run times in ms.
    total_ms: Millis,
    /// The number of run times.
    count: u32,
}

impl RunTimes {
    /// Adds the run time of a completed task.
    fn add(&mut self, ran_ms: Millis) {
        self.total_ms += ran_ms;
        self.count += 1;
    }

    /// Whether a run time exceeds [`SLOW_FACTOR`] times the mean; false with too few samples for a
    /// mean.
    fn is_slow(&self, ran_ms: Millis) -> bool {
        self.count >= SLOW_MIN_SAMPLES
            && ran_ms as f64 * f64::from(self.count) > SLOW_FACTOR * self.total_ms as f64
    }
}

/// An unfinished job as the scheduler sees it.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// The time of submission, in ms on the local steady clock.
    pub submitted_at: Millis,
    /// The revision of its open record in the state service.
    pub revision: u64,
    /// Whether it was accepted under an earlier leader, which may have launched its tasks.
    pub inherited: bool,
    /// Tasks known to be done.
    pub done: Bitmap,
    /// Tasks whose result is stored.
    pub persisted: Bitmap,
    /// Whether writing its record as done was refused, because another node or a user closed the
    /// job.
    pub closed_elsewhere: bool,
    /// The current assignments, by task index.
    pub placed: BTreeMap<u32, Assignment>,
    /// Tasks that were requeued. They are placed before those that were never tried.
    pub requeued: BTreeSet<u32>,
    /// The number of tasks that are neither done nor assigned.
    waiting: u32,
    /// The equivalence class, set by the scheduler.
    pub equivalence_class: ClassId,
    /// The index of the first task that was never tried.
    next_untried: u32,
    /// No task is placed before this time, in ms on the local steady clock.
    pub backoff_until: Millis,
    /// Machines on which tasks failed, with the time of the last failure.
    pub failed_on: BTreeMap<String, Millis>,
    /// The longest run time of a failed task, in ms.
    pub longest_failed_run_ms: Millis,
    /// Whether the job has only failed so far, so that one task at a time is tried.
    pub is_quarantined: bool,
    /// The number of trials that have failed since it was quarantined.
    pub failed_trials: u32,
    /// The time since which no capacity was found for it.
    pub unschedulable_since: Option<Millis>,
    /// Run times of completed tasks that were observed from their start in this term.
    pub run_times: RunTimes,
    /// The time since which a gang's last attempt has been ending; `None` if no task has left the
    /// attempt.
    pub attempt_ended_at: Option<Millis>,
}

impl Job {
    /// Creates a job whose tasks in `done` are complete, with their results stored.
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

    /// Returns the number of tasks that are neither done nor assigned.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Whether no task was ever placed in this term and none is done.
    pub fn never_started(&self) -> bool {
        self.waiting == self.spec.tasks && self.requeued.is_empty()
    }

    /// Assigns a task to a machine and attempt.
    pub fn place(&mut self, index: u32, assignment: Assignment) {
        if self.placed.insert(index, assignment).is_none() && !self.done.get(index) {
            self.waiting -= 1;
        }
    }

    /// Marks a task as done by this attempt. Returns whether it was not known to be done before.
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

    /// Takes up to `count` waiting tasks, requeued ones first. The caller must place each of them.
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

    /// Takes task `index` if it is waiting. Returns whether it was; the caller must then place it.
    pub fn take_one(&mut self, index: u32) -> bool {
        if self.done.get(index) || self.placed.contains_key(&index) || index >= self.spec.tasks {
            return false;
        }
        self.requeued.remove(&index);
        true
    }

    /// Returns a task to the queue after its attempt ended without a result.
    pub fn requeue(&mut self, index: u32) {
        if self.placed.remove(&index).is_some() && !self.done.get(index) {
            self.waiting += 1;
            if index < self.next_untried {
                self.requeued.insert(index);
            }
        }
    }

    /// Records the run time of a completed task. Returns whether it was slow compared to earlier
    /// ones.
    pub fn record_run_time(&mut self, ran_ms: Millis) -> bool {
        let is_slow = self.run_times.is_slow(ran_ms);
        self.run_times.add(ran_ms);
        is_slow
    }

    /// Returns the number of tasks that may be placed now. A gang is placed whole, once no task of
    /// its last attempt is assigned; a quarantined job runs one task at a time.
    pub fn schedulable_tasks(&self) -> u32 {
        let none_placed = self.placed.is_empty();
        match (self.spec.gang, self.is_quarantined) {
            (true, _) if none_placed => self.waiting,
            (false, true) if none_placed => self.waiting.min(1),
            (false, false) => self.waiting,
            _ => 0,
        }
    }

    /// Whether every task is assigned in the same attempt, as is required of a gang.
    pub fn has_complete_attempt(&self) -> bool {
        let mut attempts = self.placed.values().map(|assignment| assignment.attempt);
        let first = attempts.next();
        self.placed.len() == self.spec.tasks as usize
            && attempts.all(|attempt| Some(attempt) == first)
    }
}
