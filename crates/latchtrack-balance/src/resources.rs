//! Resource amounts, such as the demand of a task or the capacity of a machine.

use crate::constants::ROUNDING_TOLERANCE;

/// An amount of each kind of resource that a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Number of CPUs; may be fractional.
    pub cpus: f64,
    /// Number of GPUs; may be fractional.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl Resources {
    /// Whether every amount is finite and not negative. Other amounts come from faulty reports and
    /// are left out of all sums.
    pub fn is_valid(&self) -> bool {
        self.amounts().iter().all(|amount| amount.is_finite() && *amount >= 0.0)
    }

    /// Returns the sum of both amounts.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory_gb: self.memory_gb + other.memory_gb,
        }
    }

    /// Returns what remains after subtracting `other`, but at least 0 of each resource.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpus: (self.cpus - other.cpus).max(0.0),
            gpus: (self.gpus - other.gpus).max(0.0),
            memory_gb: (self.memory_gb - other.memory_gb).max(0.0),
        }
    }

    /// Adds `times` times `other`.
    pub fn add_multiple(&mut self, other: &Resources, times: u32) {
        let times = f64::from(times);
        self.cpus += other.cpus * times;
        self.gpus += other.gpus * times;
        self.memory_gb += other.memory_gb * times;
    }

    /// Subtracts `times` times `other`. The result may be negative.
    pub fn subtract_multiple(&mut self, other: &Resources, times: u32) {
        let times = f64::from(times);
        self.cpus -= other.cpus * times;
        self.gpus -= other.gpus * times;
        self.memory_gb -= other.memory_gb * times;
    }

    /// Whether no resource exceeds `available`, within [`ROUNDING_TOLERANCE`].
    pub fn fits_in(&self, available: &Resources) -> bool {
        let mut pairs = self.amounts().into_iter().zip(available.amounts());
        pairs.all(|(needed, available)| needed <= available + ROUNDING_TOLERANCE)
    }

    /// Returns the dominant share: the largest share of `capacity` that this uses of any resource.
    /// Resources of which there is no capacity are ignored.
    pub fn dominant_share(&self, capacity: &Resources) -> f64 {
        let pairs = self.amounts().into_iter().zip(capacity.amounts());
        let shares = pairs.map(|(used, total)| if total > 0.0 { used / total } else { 0.0 });
        shares.fold(0.0, f64::max)
    }

    fn amounts(&self) -> [f64; 3] {
        [self.cpus, self.gpus, self.memory_gb]
    }
}
