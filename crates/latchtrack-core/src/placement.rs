//! Where tasks go: the greedy best-fit-decreasing placer of the paper's Algorithm 3, the order of
//! its Algorithm 1, and the choice of what to rent.

use std::collections::BinaryHeap;
use std::sync::Arc;

use crate::constants::*;
use crate::job::{Demand, JobSpec};
use crate::machine::{fits, Images, MachineType};
use crate::Millis;

/// The weights of Eq. 5, and ours for GPUs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoreWeights {
    pub alpha: f64,
    pub beta: f64,
    pub gamma: f64,
}

impl Default for ScoreWeights {
    fn default() -> Self {
        ScoreWeights { alpha: ALPHA, beta: BETA, gamma: GAMMA }
    }
}

/// Room on one machine.
#[derive(Clone, Debug)]
pub struct FreeCapacity {
    /// None for a machine that is still being rented.
    pub machine: Option<Arc<str>>,
    pub kind: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    /// CPUs of the whole machine.
    pub size: f64,
    /// Images that it holds.
    pub images: Arc<Images>,
    /// Whether it may hold others, from before this term.
    pub may_hold: bool,
    pub free: Demand,
    /// Up and able to take launches now; otherwise promised.
    pub ready: bool,
    /// Kept for jobs that have waited too long.
    pub held: Option<Reservation>,
    /// What load balancing knows of it, if that is switched on.
    pub balance: Option<LoadInfo>,
}

/// What weighs against a place beside its score.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadInfo {
    /// All that the machine has.
    pub capacity: Demand,
    /// The mean load of the machines alike, in parts of a machine.
    pub mean_load: f64,
    /// GB of images that it is fetching.
    pub fetching_gb: f64,
}

/// That a machine is kept for the tasks of jobs of a shape as they find room on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    pub equivalence_class: usize,
    /// What those tasks can't use, however much of the machine comes free.
    pub spare: Demand,
}

impl FreeCapacity {
    /// How many tasks a job of this shape may put here: of a machine that is kept for others no more
    /// than they leave.
    pub fn admits(&self, d: &Demand, equivalence_class: usize) -> u32 {
        let all = self.holds(d);
        match &self.held {
            Some(h) if h.equivalence_class != equivalence_class => {
                all.min(fits(d, h.spare.cpus, h.spare.gpus, h.spare.memory_gb))
            }
            _ => all,
        }
    }

    /// How many tasks of a job it takes by size alone.
    pub fn holds(&self, d: &Demand) -> u32 {
        fits(d, self.free.cpus, self.free.gpus, self.free.memory_gb)
    }

    /// Takes `n` tasks out of it.
    pub fn take(&mut self, d: &Demand, n: u32) {
        self.free.take(d, n);
        if let Some(held) = &mut self.held {
            held.spare.take(d, n);
        }
    }
}

/// One term of a score: the part of the cluster's total, 0 where there is none of it.
fn part(amount: f64, total: f64, weight: f64) -> f64 {
    if total > 0.0 {
        amount / total * weight
    } else {
        0.0
    }
}

/// Eq. 8: free room as a weighted share of the running cluster; Eq. 9 for one task is the same
/// sum over its demand.
pub fn score(amount: &Demand, total: &Demand, w: &ScoreWeights) -> f64 {
    part(amount.cpus, total.cpus, w.alpha)
        + part(amount.memory_gb, total.memory_gb, w.beta)
        + part(amount.gpus, total.gpus, w.gamma)
}

/// Eq. 9: a job's demand is one task's weighted share times its count.
pub fn job_demand(task: &Demand, count: u32, total: &Demand, w: &ScoreWeights) -> f64 {
    score(task, total, w) * f64::from(count)
}

/// Whether a job allows this type, zone and kind of machine.
pub fn allowed(spec: &JobSpec, kind: &str, zone: &str, spot: bool) -> bool {
    (spec.spot || !spot)
        && spec.zone.as_deref().is_none_or(|z| z == zone)
        && spec.types.as_ref().is_none_or(|t| t.iter().any(|t| t == kind))
}

/// The parts of the queue, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueueTier {
    /// One task of a job that has shown nothing but failures, now and then: it takes next to nothing,
    /// and if the failures were its machines', it is to get going again soon.
    Trial,
    /// With a deadline, or an aim multiplying it, that can still be met.
    Deadline,
    /// With an aim of its class that can still be met.
    Objective,
    /// With neither.
    Regular,
    /// Can't all be in time: these would make the most others late, or are past all of their aims. The
    /// least work goes first: that brings the most of them in, and leaves no small one to the end.
    Deferred,
    /// Of the lowest priority and with nothing to be late for: takes what would stand idle.
    BestEffort,
}

/// Where a job stands in the queue; smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct QueueRank {
    /// 0 within its team's guarantee.
    pub guaranteed: u8,
    /// 1 for a job of a hot team that is beyond its share, while others wait.
    pub beyond_share: u8,
    pub tier: QueueTier,
    /// Earliest first (EDF), where there is something to be late for.
    pub due: Millis,
    /// Otherwise by falling demand.
    pub minus_demand: f64,
}

/// What a job asks for in time.
#[derive(Clone, Copy, Debug)]
pub struct TimedDemand {
    /// ms until it is due.
    pub left_ms: f64,
    /// ms one task runs, as its owner estimates.
    pub run_ms: f64,
    /// CPU-ms of all its waiting tasks.
    pub work: f64,
}

/// Which jobs of a queue, in its order, are deferred when more is asked than can be done in time:
/// whenever one would be late, the one with the most work up to there (Moore and Hodgson's rule,
/// which leaves the most jobs in time). `running` CPU-ms go before, `cpus` work.
pub fn deferred(queue: &[TimedDemand], running: f64, cpus: f64) -> Vec<bool> {
    let mut is_deferred = vec![false; queue.len()];
    if cpus <= 0.0 {
        return is_deferred;
    }
    let mut before = running;
    let mut reserved_exclusively: BinaryHeap<(u64, usize)> = BinaryHeap::new();
    for (i, asked) in queue.iter().enumerate() {
        before += asked.work;
        reserved_exclusively.push((asked.work as u64, i));
        if before / cpus + asked.run_ms > asked.left_ms {
            if let Some((_, most)) = reserved_exclusively.pop() {
                is_deferred[most] = true;
                before -= queue[most].work;
            }
        }
    }
    is_deferred
}

/// Something the cloud may rent out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
}

/// What could be rented for a job, best first: spot before ordinary where the job allows it, then
/// the smallest type that fits one task, then the zone. `rotate` turns the zones so that
/// rentals spread over them.
pub fn offers(spec: &JobSpec, types: &[MachineType], zone_rotation: usize) -> Vec<Offer> {
    let mut fitting: Vec<&MachineType> =
        types.iter().filter(|t| t.holds(&spec.demand) > 0).collect();
    fitting.sort_by(|a, b| {
        let size = |t: &MachineType| (t.gpus, t.cpus, t.memory_gb);
        size(a).partial_cmp(&size(b)).unwrap_or(std::cmp::Ordering::Equal)
    });
    let mut out = Vec::new();
    for spot in [true, false] {
        for t in &fitting {
            let n = t.zones.len();
            for i in 0..n {
                let zone = &t.zones[(i + zone_rotation) % n];
                if allowed(spec, &t.name, zone, spot) {
                    out.push(Offer { kind: t.name.clone(), zone: zone.clone(), spot });
                }
            }
        }
    }
    out
}
