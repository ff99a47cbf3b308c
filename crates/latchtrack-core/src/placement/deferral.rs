//! Which jobs are deferred when not all can be in time.

use std::collections::BinaryHeap;

/// What a job demands, and by when.
#[derive(Clone, Copy, Debug)]
pub struct TimedDemand {
    /// ms until it is due.
    pub remaining_ms: f64,
    /// ms one task runs, as its owner estimates.
    pub run_ms: f64,
    /// CPU-ms of all its waiting tasks.
    pub cpu_ms: f64,
}

/// Which jobs of a queue, in its order, are deferred when more is demanded than can be done in
/// time: whenever one would be late, the one with the most work up to there (Moore and Hodgson's
/// rule, which leaves the most jobs in time). `before_cpu_ms` is the work that goes before the
/// queue, `cpus` how many CPUs do it; without any, nothing is deferred.
pub fn deferred(queue: &[TimedDemand], before_cpu_ms: f64, cpus: f64) -> Vec<bool> {
    let mut is_deferred = vec![false; queue.len()];
    if cpus <= 0.0 {
        return is_deferred;
    }
    let mut admitted_cpu_ms = before_cpu_ms;
    let mut admitted: BinaryHeap<(u64, usize)> = BinaryHeap::new();
    for (index, demand) in queue.iter().enumerate() {
        admitted_cpu_ms += demand.cpu_ms;
        admitted.push((demand.cpu_ms as u64, index));
        if admitted_cpu_ms / cpus + demand.run_ms > demand.remaining_ms {
            if let Some((_, largest)) = admitted.pop() {
                is_deferred[largest] = true;
                admitted_cpu_ms -= queue[largest].cpu_ms;
            }
        }
    }
    is_deferred
}
