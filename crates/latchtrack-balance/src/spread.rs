//! Measures how evenly the machines of a pool are loaded.
//!
//! A pool is a set of machines that are alike in everything a job may ask for: type, zone, and spot
//! or on-demand. A task that may run on one of them may run on all, so a move within a pool
//! violates no placement constraint.
//!
//! The load of a machine is the dominant share of its capacity that its tasks use, normally from 0
//! to 1. The spread of a pool is the ratio of the greatest load to the mean load. The bound is the
//! load that a machine with a movable task should not exceed: [`SPREAD_FACTOR`] times the mean load
//! of its pool, plus the share of that task.
//!
//! The bound can be reached. Suppose a machine has the load `L > SPREAD_FACTOR * mean + s`, where
//! `s` is the share of one of its tasks. The least loaded machine has at most the mean load, so its
//! load with the task added is less than `L`. All machines of a pool have the same size and `L` is
//! at most 1, so the task fits there.

use crate::constants::SPREAD_FACTOR;

/// Summary of the loads of a pool's machines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// Greatest load of a machine, as a share of that machine.
    pub greatest: f64,
    /// Mean load of the machines, as a share of a machine.
    pub mean: f64,
    /// Number of machines.
    pub machines: usize,
}

impl Spread {
    /// Computes the spread of these loads; all 0 if there are none.
    pub fn of(loads: impl IntoIterator<Item = f64>) -> Spread {
        let mut spread = Spread::default();
        let mut sum = 0.0;
        for load in loads {
            spread.greatest = spread.greatest.max(load);
            spread.machines += 1;
            sum += load;
        }
        if spread.machines > 0 {
            spread.mean = sum / spread.machines as f64;
        }
        spread
    }

    /// Returns the ratio of the greatest load to the mean load; 1 for a pool without load.
    pub fn ratio(&self) -> f64 {
        if self.mean > 0.0 {
            self.greatest / self.mean
        } else {
            1.0
        }
    }

    /// Returns the bound on the load of a machine that has a movable task of this share.
    pub fn bound(&self, task_share: f64) -> f64 {
        SPREAD_FACTOR * self.mean + task_share
    }
}
