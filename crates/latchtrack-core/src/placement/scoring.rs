//! The scores defined in the paper.

use crate::constants::{ALPHA, BETA, GAMMA};
use crate::job::Resources;

/// The weights of Eq. 5, and one for GPUs, a term that the paper does not have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoreWeights {
    /// The weight of CPUs.
    pub alpha: f64,
    /// The weight of memory.
    pub beta: f64,
    /// The weight of GPUs.
    pub gamma: f64,
}

impl Default for ScoreWeights {
    fn default() -> Self {
        ScoreWeights { alpha: ALPHA, beta: BETA, gamma: GAMMA }
    }
}

/// Returns one term of a score: the weighted share of the cluster's total, or 0 if the cluster has
/// none.
fn weighted_share(amount: f64, total: f64, weight: f64) -> f64 {
    if total > 0.0 {
        amount / total * weight
    } else {
        0.0
    }
}

/// Returns the score of Eq. 8: free capacity as a weighted share of the capacity of all machines
/// that are up. For the demand of a task, this is Eq. 9 for one task.
pub fn score(amount: &Resources, total: &Resources, weights: &ScoreWeights) -> f64 {
    weighted_share(amount.cpus, total.cpus, weights.alpha)
        + weighted_share(amount.memory_gb, total.memory_gb, weights.beta)
        + weighted_share(amount.gpus, total.gpus, weights.gamma)
}

/// Returns the demand of a job by Eq. 9: the weighted share of one task times the number of tasks.
pub fn job_demand(task: &Resources, tasks: u32, total: &Resources, weights: &ScoreWeights) -> f64 {
    score(task, total, weights) * f64::from(tasks)
}
