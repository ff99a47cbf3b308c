//! Machines, the reports of their workers and the runs on them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::constants::SLOW_VOTES;
use crate::job::{JobId, JobSpec, Resources, TaskId};
use crate::Millis;

/// A type of machine that the cloud rents out.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    pub name: String,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot_s: f64,
    /// Room for images, and how fast one is fetched; 0 where the cloud does not say.
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub zones: Vec<String>,
}

impl MachineType {
    /// How many tasks of this demand an empty machine takes.
    pub fn holds(&self, d: &Resources) -> u32 {
        fits(d, self.cpus, self.gpus, self.memory_gb)
    }
}

/// How many tasks of a demand go into this much room.
pub fn fits(d: &Resources, cpus: f64, gpus: f64, memory_gb: f64) -> u32 {
    // A hair of slack: amounts are decimal numbers, their sums are not.
    let part = |need: f64, have: f64| {
        if need > 0.0 {
            ((have + 1e-6) / need).floor().max(0.0)
        } else {
            f64::from(u32::MAX)
        }
    };
    part(d.cpus, cpus).min(part(d.gpus, gpus)).min(part(d.memory_gb, memory_gb)) as u32
}

/// How a run ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ExitCause {
    Done,
    Stopped,
    Failed,
    InsufficientResources,
    DuplicateTask,
    UnknownTask,
    /// Another task of its gang was gone.
    GangPeerLost,
    /// Its gang was not complete in time.
    GangIncomplete,
    /// A cause that this version does not know: the run is over, without a result.
    Unrecognised,
}

/// What a machine says of a run, or `Assigned` while it has said nothing.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TaskPhase {
    Assigned,
    Fetching,
    /// Of a gang: it waits for the other tasks of its attempt.
    Waiting,
    Running,
    Checkpointing,
    /// A state that this version does not know: the run is on the machine, and takes its room.
    Unrecognised,
    Ended(ExitCause),
}

/// One line of a report.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct TaskStatus {
    pub task: TaskId,
    pub attempt: u64,
    pub phase: TaskPhase,
}

/// What a worker says of its machine.
#[derive(Clone, PartialEq, Debug)]
pub struct Heartbeat {
    pub machine: String,
    pub addr: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub agent_epoch: u64,
    pub sequence: u64,
    pub token: u64,
    pub notice_s: Option<f64>,
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Command {
    Launch { task: TaskId, attempt: u64 },
    Stop { task: TaskId, attempt: u64, grace_s: f64 },
    Forget { task: TaskId, attempt: u64 },
}

/// That a run is to stop.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct StopRequest {
    pub grace_s: f64,
    /// When it was last sent.
    pub sent_at: Option<Millis>,
}

/// One attempt at a task on a machine.
#[derive(Clone, Debug)]
pub struct TaskRun {
    pub task: TaskId,
    pub attempt: u64,
    /// None for a job that is closed or unknown: such a run is stopped.
    pub spec: Option<Arc<JobSpec>>,
    pub phase: TaskPhase,
    pub stop: Option<StopRequest>,
    /// How often its launch has left for the machine, and when first.
    pub launch_sends: u32,
    pub first_launch_at: Millis,
    /// A direct command with its launch was never answered: it may still execute while the
    /// session and our token stand, so the attempt must never be forgotten in this session.
    pub launch_outcome_unknown: bool,
    /// When it was seen to run.
    pub running_since: Option<Millis>,
}

impl TaskRun {
    /// Its launch leaves for the machine.
    pub fn sent(&mut self, now: Millis) {
        if self.launch_sends == 0 {
            self.first_launch_at = now;
        }
        self.launch_sends = self.launch_sends.saturating_add(1);
    }

    /// Still takes room.
    pub fn is_live(&self) -> bool {
        !matches!(self.phase, TaskPhase::Ended(_))
    }
}

/// The images that a machine holds, the last used first: it keeps those for which it has room.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Images(Vec<(String, f64)>);

impl Images {
    pub fn contains(&self, image: &str) -> bool {
        self.0.iter().any(|(name, _)| name == image)
    }

    /// Whether using this image changes nothing.
    pub fn is_last_used(&self, image: &str) -> bool {
        self.0.first().is_some_and(|(name, _)| name == image)
    }

    /// A task with this image runs; `cache_gb` 0 is no bound known.
    pub fn used(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.0.retain(|(name, _)| name != image);
        self.0.insert(0, (image.to_string(), gb));
        let mut sum = 0.0;
        let keep = self.0.iter().take_while(|(_, gb)| {
            sum += gb;
            cache_gb <= 0.0 || sum <= cache_gb
        });
        let keep = keep.count().max(1);
        self.0.truncate(keep);
    }

    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(|(name, _)| name.as_str())
    }
}

/// A rented machine.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: Arc<str>,
    pub kind: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub addr: Option<String>,
    pub rented_at: Millis,
    /// The list has it as up.
    pub listed_as_running: bool,
    /// In the stored set; nothing is launched before.
    pub persisted: bool,
    /// In the stored set when this term began: until it is seen to hold our token, an earlier
    /// leader's commands may still arrive, so tasks may be on it that we do not know of.
    pub inherited: bool,
    /// Session and number of the newest message.
    pub latest_message: (u64, u64),
    /// When it was last heard holding our token; None: not yet. What it says with an older one
    /// proves nothing: that may be a late copy from before this term, even of a machine long gone.
    pub last_heartbeat_at: Option<Millis>,
    /// Since when it should be answering us: its first sign in this term, or the take-over.
    pub heartbeat_expected_since: Option<Millis>,
    /// Direct calls in a row that it did not answer since it was last heard.
    pub unanswered_calls: u32,
    /// When the cloud takes it, by its own notice.
    pub preempt_at: Option<Millis>,
    pub runs: BTreeMap<(TaskId, u64), TaskRun>,
    /// The open direct call.
    pub open_call: Option<u64>,
    /// No direct call before this time.
    pub next_call_at: Millis,
    /// Slow tasks in a row; too many, and it gets no more and goes back once it is empty.
    pub slow_votes: u32,
    /// Is to be deleted; no launches any more.
    pub to_terminate: bool,
    /// A delete is under way.
    pub termination_sent: bool,
    pub idle_since: Option<Millis>,
    /// Jobs that failed here.
    pub failed_jobs: BTreeSet<JobId>,
    pub quarantined_until: Millis,
    /// A task was done here, and none has failed since.
    pub proven: bool,
    /// Images that it has fetched, as far as this term has seen.
    pub images: Arc<Images>,
}

impl Machine {
    /// Whether its worker has been heard in this term.
    pub fn is_up(&self) -> bool {
        self.last_heartbeat_at.is_some()
    }

    /// Whether tasks may be on it that this term knows nothing of.
    pub fn is_unreconciled(&self) -> bool {
        self.inherited && self.last_heartbeat_at.is_none()
    }

    /// For how long it has been silent, if it should speak.
    pub fn heartbeat_age(&self, now: Millis) -> Option<Millis> {
        self.last_heartbeat_at
            .or(self.heartbeat_expected_since)
            .map(|since| now.saturating_sub(since))
    }

    /// Whether it was up and has not been heard for so many ms.
    pub fn heartbeat_older_than(&self, now: Millis, ms: Millis) -> bool {
        self.last_heartbeat_at.is_some_and(|last_heartbeat_at| now >= last_heartbeat_at + ms)
    }

    /// Whether it should have spoken by now, so that a list without it says that it is gone.
    pub fn presumed_lost(&self, now: Millis, ms: Millis) -> bool {
        match self.is_unreconciled() {
            true => self.unanswered_calls > 0,
            false => self.heartbeat_older_than(now, ms),
        }
    }

    /// Whether its tasks run much longer than their like.
    pub fn is_slow(&self) -> bool {
        self.slow_votes >= SLOW_VOTES
    }

    /// Room taken by live runs; None when a run of unknown size is on it.
    pub fn allocated(&self) -> Option<Resources> {
        let mut d = Resources::default();
        for run in self.runs.values().filter(|r| r.is_live()) {
            let spec = run.spec.as_ref()?;
            d.cpus += spec.demand.cpus;
            d.gpus += spec.demand.gpus;
            d.memory_gb += spec.demand.memory_gb;
        }
        Some(d)
    }
}
