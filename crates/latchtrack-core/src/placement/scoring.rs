//! The scores of the paper.

use crate::constants::{ALPHA, BETA, GAMMA};
use crate::job::Demand;

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
