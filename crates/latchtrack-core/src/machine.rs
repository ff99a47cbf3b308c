//! Machines and their types.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::constants::{AMOUNT_TOLERANCE, SLOW_MACHINE_TASKS};
use crate::job::{JobId, Resources, TaskId};
use crate::scheduler::CallId;
use crate::Millis;

pub use crate::task_run::{ExitCause, StopRequest, TaskPhase, TaskRun};
pub use crate::worker_messages::{Command, Heartbeat, MessageNumber, TaskStatus};

/// A type of machine that the cloud offers.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// Its name.
    pub name: String,
    /// CPUs of a machine.
    pub cpus: f64,
    /// GPUs of a machine.
    pub gpus: f64,
    /// Memory of a machine, in GB.
    pub memory_gb: f64,
    /// Price of an on-demand machine.
    pub price: f64,
    /// Price of a spot machine.
    pub spot_price: f64,
    /// How long a machine takes to come up, in s, by what the cloud says.
    pub boot_s: f64,
    /// Space for images, in GB; 0 where the cloud does not say.
    pub cache_gb: f64,
    /// How fast an image is fetched, in GB a second; 0 where the cloud does not say.
    pub fetch_gb_per_s: f64,
    /// Zones that have it.
    pub zones: Vec<String>,
}

impl MachineType {
    /// What an empty machine has.
    pub fn resources(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory_gb: self.memory_gb }
    }

    /// How many tasks of this demand fit on an empty machine.
    pub fn fitting_tasks(&self, demand: &Resources) -> u32 {
        fitting_tasks(demand, self.cpus, self.gpus, self.memory_gb)
    }
}

/// How many tasks of a demand fit into these free amounts.
pub fn fitting_tasks(demand: &Resources, cpus: f64, gpus: f64, memory_gb: f64) -> u32 {
    let times = |need: f64, free: f64| {
        if need > 0.0 {
            ((free + AMOUNT_TOLERANCE) / need).floor().max(0.0)
        } else {
            f64::from(u32::MAX)
        }
    };
    times(demand.cpus, cpus).min(times(demand.gpus, gpus)).min(times(demand.memory_gb, memory_gb))
        as u32
}

/// An image on a machine.
#[derive(Clone, Debug, PartialEq)]
struct CachedImage {
    name: String,
    gb: f64,
}

/// The images that a machine holds, the last used first: it keeps those for which it has space.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ImageCache(Vec<CachedImage>);

impl ImageCache {
    /// Whether the machine holds this image.
    pub fn contains(&self, image: &str) -> bool {
        self.0.iter().any(|cached| cached.name == image)
    }

    /// Whether using this image changes nothing.
    pub fn is_last_used(&self, image: &str) -> bool {
        self.0.first().is_some_and(|cached| cached.name == image)
    }

    /// A task with this image of `gb` GB runs; `cache_gb` is the space for images, 0 if unknown.
    pub fn record_use(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.0.retain(|cached| cached.name != image);
        self.0.insert(0, CachedImage { name: image.to_string(), gb });
        let mut sum_gb = 0.0;
        let fitting = self.0.iter().take_while(|cached| {
            sum_gb += cached.gb;
            cache_gb <= 0.0 || sum_gb <= cache_gb
        });
        let kept = fitting.count().max(1);
        self.0.truncate(kept);
    }

    /// The names of the images, the last used first.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(|cached| cached.name.as_str())
    }
}

/// A provisioned machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name, by which the cloud knows it.
    pub name: Arc<str>,
    /// Its machine type.
    pub machine_type: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Whether the cloud may preempt it.
    pub spot: bool,
    /// Where its worker takes direct calls, once known.
    pub addr: Option<String>,
    /// When it was provisioned, as far as this term knows.
    pub provisioned_at: Millis,
    /// The cloud's list has it as up.
    pub listed_as_running: bool,
    /// In the stored set; nothing is launched on it before.
    pub persisted: bool,
    /// In the stored set when this term began: until it is seen to hold this term's token, an
    /// earlier leader's commands may still arrive, so tasks may be on it that this term does not
    /// know.
    pub inherited: bool,
    /// The number of its newest message.
    pub latest_message: MessageNumber,
    /// When it was last heard holding this term's token; `None`: not yet. What it says with an
    /// older one proves nothing: that may be a late copy from before this term, even of a machine
    /// long gone.
    pub last_heartbeat_at: Option<Millis>,
    /// Since when it should send heartbeats to this node: its first sign in this term, or the start
    /// of the term.
    pub heartbeat_expected_since: Option<Millis>,
    /// Direct calls in a row that it did not answer since it was last heard.
    pub unanswered_calls: u32,
    /// When the cloud preempts it, by its own notice.
    pub preempt_at: Option<Millis>,
    /// The task runs on it, by task and attempt.
    pub runs: BTreeMap<(TaskId, u64), TaskRun>,
    /// The open direct call to it.
    pub open_call: Option<CallId>,
    /// No direct call before this time.
    pub next_call_at: Millis,
    /// Slow tasks in a row; too many, and it gets no more and is terminated once it is empty.
    pub consecutive_slow_tasks: u32,
    /// Is to be terminated; no launches any more.
    pub to_terminate: bool,
    /// The cloud was asked to terminate it.
    pub termination_sent: bool,
    /// Since when it has no live task run.
    pub idle_since: Option<Millis>,
    /// Jobs that failed on it.
    pub failed_jobs: BTreeSet<JobId>,
    /// Until when it is on probation and gets no tasks.
    pub probation_until: Millis,
    /// A task was done on it, and none has failed since.
    pub proven: bool,
    /// Images that it has fetched, as far as this term has seen.
    pub images: Arc<ImageCache>,
}

impl Machine {
    /// A machine of which nothing is known yet but that it was provisioned.
    pub fn new(name: &str, machine_type: &str, zone: &str, spot: bool, now: Millis) -> Self {
        Machine {
            name: name.into(),
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            addr: None,
            provisioned_at: now,
            listed_as_running: false,
            persisted: false,
            inherited: false,
            latest_message: MessageNumber::default(),
            last_heartbeat_at: None,
            heartbeat_expected_since: None,
            unanswered_calls: 0,
            preempt_at: None,
            runs: BTreeMap::new(),
            open_call: None,
            next_call_at: 0,
            consecutive_slow_tasks: 0,
            to_terminate: false,
            termination_sent: false,
            idle_since: None,
            failed_jobs: BTreeSet::new(),
            probation_until: 0,
            proven: false,
            images: Arc::default(),
        }
    }

    /// Whether its worker has been heard in this term.
    pub fn is_up(&self) -> bool {
        self.last_heartbeat_at.is_some()
    }

    /// Whether tasks may be on it that this term does not know.
    pub fn is_unreconciled(&self) -> bool {
        self.inherited && self.last_heartbeat_at.is_none()
    }

    /// For how long it has been silent, in ms; `None` if no heartbeat is expected of it yet.
    pub fn heartbeat_age(&self, now: Millis) -> Option<Millis> {
        self.last_heartbeat_at
            .or(self.heartbeat_expected_since)
            .map(|since| now.saturating_sub(since))
    }

    /// Whether it is up and has not been heard for at least `ms`.
    pub fn heartbeat_older_than(&self, now: Millis, ms: Millis) -> bool {
        self.last_heartbeat_at.is_some_and(|last_heartbeat_at| now >= last_heartbeat_at + ms)
    }

    /// Whether it is silent, for at least `ms` if it was heard in this term, so that a list of the
    /// cloud without it says that it is gone.
    pub fn presumed_lost(&self, now: Millis, ms: Millis) -> bool {
        if self.is_unreconciled() {
            self.unanswered_calls > 0
        } else {
            self.heartbeat_older_than(now, ms)
        }
    }

    /// Whether its tasks run much longer than their like.
    pub fn is_slow(&self) -> bool {
        self.consecutive_slow_tasks >= SLOW_MACHINE_TASKS
    }

    /// Capacity taken by live runs; `None` when a run of unknown size is on it.
    pub fn allocated(&self) -> Option<Resources> {
        let mut sum = Resources::default();
        for run in self.runs.values().filter(|run| run.is_live()) {
            let spec = run.spec.as_ref()?;
            sum.cpus += spec.demand.cpus;
            sum.gpus += spec.demand.gpus;
            sum.memory_gb += spec.demand.memory_gb;
        }
        Some(sum)
    }
}
