//! Free capacity of machines, and what is reserved of it.

use std::sync::Arc;

use crate::job::Demand;
use crate::machine::{fits, Images};

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
