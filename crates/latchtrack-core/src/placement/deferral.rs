//! Selects the jobs to defer when not all can finish in time.

use std::collections::BinaryHeap;

/// The demand of a job and its due time.
#[derive(Clone, Copy, Debug)]
pub struct TimedDemand {
    /// ms until the job is due.
    pub remaining_ms: f64,
    /// The run time of one task in ms, as estimated by the user.
    pub run_ms: f64,
    /// CPU-ms of all waiting tasks.
    pub cpu_ms: f64,
}

/// Returns which jobs of a queue, given in its order, are deferred because not all can finish in
/// time. Whenever a job would be late, the largest of the jobs up to and including it is deferred
/// (Moore-Hodgson algorithm, which minimizes the number of late jobs). `before_cpu_ms` is the work
/// ahead of the queue in CPU-ms, and `cpus` is the number of CPUs available; without any, nothing
/// is deferred.
pub fn choose_deferred(queue: &[TimedDemand], before_cpu_ms: f64, cpus: f64) -> Vec<bool> {
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
