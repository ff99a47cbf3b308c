//! Which jobs are deferred when not all can be in time.

use std::collections::BinaryHeap;

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
