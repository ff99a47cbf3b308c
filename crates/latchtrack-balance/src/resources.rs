//! What a task takes of a machine, and what a machine has.

use crate::constants::ROUNDING;

/// An amount of each resource that machines offer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl Resources {
    /// Whether every amount is finite and not negative. Others come from faulty reports and are
    /// left out of all sums.
    pub fn is_valid(&self) -> bool {
        self.each().iter().all(|amount| amount.is_finite() && *amount >= 0.0)
    }

    /// The sum of both.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory_gb: self.memory_gb + other.memory_gb,
        }
    }

    /// What is left without `other`, never below 0.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpus: (self.cpus - other.cpus).max(0.0),
            gpus: (self.gpus - other.gpus).max(0.0),
            memory_gb: (self.memory_gb - other.memory_gb).max(0.0),
        }
    }

    /// Adds `times` times another amount to it.
    pub fn add_multiple(&mut self, other: &Resources, times: u32) {
        let times = f64::from(times);
        self.cpus += other.cpus * times;
        self.gpus += other.gpus * times;
        self.memory_gb += other.memory_gb * times;
    }

    /// Takes `times` times another amount out of it; what is left may be negative.
    pub fn subtract_multiple(&mut self, other: &Resources, times: u32) {
        let times = f64::from(times);
        self.cpus -= other.cpus * times;
        self.gpus -= other.gpus * times;
        self.memory_gb -= other.memory_gb * times;
    }

    /// Whether this is at most `available`, of each resource, but for rounding.
    pub fn fits_in(&self, available: &Resources) -> bool {
        let mut pairs = self.each().into_iter().zip(available.each());
        pairs.all(|(needed, available)| needed <= available + ROUNDING)
    }

    /// The dominant share: the largest part of `capacity` that this takes of any resource. A
    /// resource of which there is none does not count.
    pub fn dominant_share(&self, capacity: &Resources) -> f64 {
        let pairs = self.each().into_iter().zip(capacity.each());
        let shares = pairs.map(|(used, total)| if total > 0.0 { used / total } else { 0.0 });
        shares.fold(0.0, f64::max)
    }

    fn each(&self) -> [f64; 3] {
        [self.cpus, self.gpus, self.memory_gb]
    }
}
