//! How evenly the machines of a pool are loaded.
//!
//! A pool is a set of machines that are alike in everything a job may ask for: type, zone, spot or
//! not. What may run on one of them may run on all, so a move within a pool breaks no rule about
//! where a job may be.
//!
//! The load of a machine is the dominant share of what its tasks use, a part of the machine from 0
//! to 1. The spread of a pool is the greatest load over the mean load. The bound: a machine that
//! has a task which may move carries at most [`SPREAD_FACTOR`] times the mean load of its pool plus
//! the share of that task.
//!
//! Why the bound can be reached: let a machine carry `L > F * mean + s`, where `s` is the share of
//! one of its tasks. The least loaded machine carries at most the mean, so with the task it carries
//! less than `L`, and since machines of a pool are of one size and `L` is at most 1, the task fits
//! there.

use crate::constants::SPREAD_FACTOR;

/// The load of the machines of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// The greatest load of a machine, in parts of a machine.
    pub greatest: f64,
    /// The mean load, in parts of a machine.
    pub mean: f64,
    /// Machines counted.
    pub machines: usize,
}

impl Spread {
    /// The spread of these loads.
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

    /// The greatest over the mean load; 1 for a pool without load.
    pub fn ratio(&self) -> f64 {
        if self.mean > 0.0 {
            self.greatest / self.mean
        } else {
            1.0
        }
    }

    /// The most that a machine may carry of which a task of this share may move.
    pub fn bound(&self, task_share: f64) -> f64 {
        SPREAD_FACTOR * self.mean + task_share
    }
}
