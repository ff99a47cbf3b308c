//! The scores of the paper.

use crate::constants::{ALPHA, BETA, GAMMA};
use crate::job::Resources;

/// The weights of Eq. 5, and one for GPUs, which the paper does not have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoreWeights {
    /// Of CPUs.
    pub alpha: f64,
    /// Of memory.
    pub beta: f64,
    /// Of GPUs.
    pub gamma: f64,
}

impl Default for ScoreWeights {
    fn default() -> Self {
        ScoreWeights { alpha: ALPHA, beta: BETA, gamma: GAMMA }
    }
}

/// One term of a score: the weighted part of the cluster's total, 0 where it has none.
fn weighted_part(amount: f64, total: f64, weight: f64) -> f64 {
    if total > 0.0 {
        amount / total * weight
    } else {
        0.0
    }
}

/// Eq. 8: free capacity as a weighted share of all that is up; Eq. 9 for one task is the same sum
/// over its demand.
pub fn score(amount: &Resources, total: &Resources, weights: &ScoreWeights) -> f64 {
    weighted_part(amount.cpus, total.cpus, weights.alpha)
        + weighted_part(amount.memory_gb, total.memory_gb, weights.beta)
        + weighted_part(amount.gpus, total.gpus, weights.gamma)
}

/// Eq. 9: a job's demand is one task's weighted share times its count.
pub fn job_demand(task: &Resources, tasks: u32, total: &Resources, weights: &ScoreWeights) -> f64 {
    score(task, total, weights) * f64::from(tasks)
}
