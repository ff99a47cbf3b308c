//! Machines and their types.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::constants::{AMOUNT_TOLERANCE, SLOW_MACHINE_TASKS};
use crate::job::{JobId, Resources, TaskId};
use crate::scheduler::CallId;
use crate::Millis;

pub use crate::task_run::{ExitCause, StopReason, StopRequest, TaskPhase, TaskRun};
pub use crate::worker_messages::{Command, Heartbeat, MessageNumber, TaskStatus};

/// A machine type offered by the cloud.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// The name of the type.
    pub name: String,
    /// The number of CPUs.
    pub cpus: f64,
    /// The number of GPUs.
    pub gpus: f64,
    /// The memory in GB.
    pub memory_gb: f64,
    /// The price of an on-demand machine.
    pub price: f64,
    /// The price of a spot machine.
    pub spot_price: f64,
    /// The nominal boot time in s, as stated by the cloud.
    pub boot_s: f64,
    /// The space for images in GB; 0 if the cloud does not state it.
    pub cache_gb: f64,
    /// The rate at which images are fetched, in GB per second; 0 if the cloud does not state it.
    pub fetch_gb_per_s: f64,
    /// The zones in which the type is available.
    pub zones: Vec<String>,
}

impl MachineType {
    /// Returns the resources of an empty machine.
    pub fn resources(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory_gb: self.memory_gb }
    }

    /// Returns how many tasks of this demand fit on an empty machine.
    pub fn fitting_tasks(&self, demand: &Resources) -> u32 {
        fitting_tasks(demand, self.cpus, self.gpus, self.memory_gb)
    }
}

/// Returns how many tasks of this demand fit into the given free resources.
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

/// An image held by a machine.
#[derive(Clone, Debug, PartialEq)]
struct CachedImage {
    name: String,
    gb: f64,
}

/// The images that a machine holds, most recently used first. Images beyond its space are evicted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ImageCache(Vec<CachedImage>);

impl ImageCache {
    /// Whether the machine holds this image.
    pub fn contains(&self, image: &str) -> bool {
        self.0.iter().any(|cached| cached.name == image)
    }

    /// Whether this image is the most recently used one, so that using it changes nothing.
    pub fn is_last_used(&self, image: &str) -> bool {
        self.0.first().is_some_and(|cached| cached.name == image)
    }

    /// Records that a task with an image of `gb` GB runs. `cache_gb` is the space for images; 0
    /// means unknown and evicts nothing.
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

    /// Returns the names of the images, most recently used first.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(|cached| cached.name.as_str())
    }
}

/// A provisioned machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// The name by which the cloud knows it.
    pub name: Arc<str>,
    /// The name of its machine type.
    pub machine_type: Arc<str>,
    /// The zone that it is in.
    pub zone: Arc<str>,
    /// Whether the cloud may preempt it.
    pub spot: bool,
    /// The address at which its worker accepts direct calls, once known.
    pub addr: Option<String>,
    /// The time at which it was provisioned, as far as known in this term.
    pub provisioned_at: Millis,
    /// Whether the cloud's list shows it as running.
    pub listed_as_running: bool,
    /// Whether it is in the stored machine set. Nothing is launched on it until then.
    pub persisted: bool,
    /// Whether it was in the stored machine set when this term began. Until it reports this term's
    /// token, commands of an earlier leader may still arrive, so it may run tasks that this term
    /// does not know.
    pub inherited: bool,
    /// The number of the newest message received from it.
    pub latest_message: MessageNumber,
    /// The highest fencing token of this term that was sent to it or that it has reported, or 0.
    pub fencing_token: u64,
    /// The time of the last heartbeat with this term's token, or `None` if there was none.
    /// Heartbeats with an older token prove nothing: they may be delayed copies from before this
    /// term, even from a machine that no longer exists.
    pub last_heartbeat_at: Option<Millis>,
    /// The time of the last heartbeat with an older token whose answer may have renewed the lease
    /// that the worker held before this term, or `None` if there was none.
    pub older_token_heartbeat_at: Option<Millis>,
    /// The time since which heartbeats are expected: that of its first message in this term, or the
    /// start of the term if it is inherited.
    pub heartbeat_expected_since: Option<Millis>,
    /// The number of direct calls left unanswered since its last heartbeat or answer.
    pub unanswered_calls: u32,
    /// The time at which the cloud will preempt it, from its preemption notice.
    pub preempt_at: Option<Millis>,
    /// Its task runs, by task and attempt.
    pub runs: BTreeMap<(TaskId, u64), TaskRun>,
    /// The open direct call to it, if any.
    pub open_call: Option<CallId>,
    /// No direct call is made before this time.
    pub next_call_at: Millis,
    /// The number of consecutive slow tasks. At [`SLOW_MACHINE_TASKS`] it gets no more tasks, and
    /// it is terminated once it is empty.
    pub consecutive_slow_tasks: u32,
    /// Whether it is to be terminated. Nothing is launched on it any more.
    pub to_terminate: bool,
    /// Whether the cloud was asked to terminate it.
    pub termination_sent: bool,
    /// The time since which it has no live task run.
    pub idle_since: Option<Millis>,
    /// Jobs whose failures count against it.
    pub failed_jobs: BTreeSet<JobId>,
    /// The end of its probation, until which it gets no tasks.
    pub probation_until: Millis,
    /// Whether a task was completed on it and none has failed since.
    pub proven: bool,
    /// Images that it is known to have fetched in this term.
    pub images: Arc<ImageCache>,
}

impl Machine {
    /// Creates a newly provisioned machine of which nothing else is known.
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
            fencing_token: 0,
            last_heartbeat_at: None,
            older_token_heartbeat_at: None,
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

    /// Whether its worker has sent a heartbeat with this term's token.
    pub fn is_up(&self) -> bool {
        self.last_heartbeat_at.is_some()
    }

    /// Whether it may run tasks that this term does not know.
    pub fn is_unreconciled(&self) -> bool {
        self.inherited && self.last_heartbeat_at.is_none()
    }

    /// Returns the ms since its last heartbeat, or since one was first expected; `None` if none is
    /// expected yet.
    pub fn heartbeat_age(&self, now: Millis) -> Option<Millis> {
        self.last_heartbeat_at
            .or(self.heartbeat_expected_since)
            .map(|since| now.saturating_sub(since))
    }

    /// Whether it is up and its last heartbeat is at least `ms` old.
    pub fn heartbeat_older_than(&self, now: Millis, ms: Millis) -> bool {
        self.last_heartbeat_at.is_some_and(|last_heartbeat_at| now >= last_heartbeat_at + ms)
    }

    /// Whether it counts as lost if the cloud's list lacks it. A machine that is up must have been
    /// silent for at least `ms`, an unreconciled one must have left a call unanswered.
    pub fn is_presumed_lost(&self, now: Millis, ms: Millis) -> bool {
        if self.is_unreconciled() {
            self.unanswered_calls > 0
        } else {
            self.heartbeat_older_than(now, ms)
        }
    }

    /// Whether its tasks run much longer than other tasks of the same jobs.
    pub fn is_slow(&self) -> bool {
        self.consecutive_slow_tasks >= SLOW_MACHINE_TASKS
    }

    /// Returns the resources taken by live runs; `None` if it has a live run of unknown size.
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
