//! CPUs and GPUs in whole thousandths, so that sums over cells are exact.

use serde::{Deserialize, Serialize};

use crate::constants::{MILLI_PER_UNIT, ROUNDING_TOLERANCE};

/// Thousandths of CPUs and GPUs. The name for serde is part of the text of its errors, which
/// operators see.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename = "Amounts", default)]
pub struct MilliResources {
    /// Thousandths of a CPU.
    #[serde(skip_serializing_if = "is_zero")]
    pub millicpus: u64,
    /// Thousandths of a GPU.
    #[serde(skip_serializing_if = "is_zero")]
    pub milligpus: u64,
}

fn is_zero(amount: &u64) -> bool {
    *amount == 0
}

impl MilliResources {
    /// Nothing.
    pub const ZERO: MilliResources = MilliResources { millicpus: 0, milligpus: 0 };

    /// What covers these numbers of CPUs and GPUs: rounded up.
    pub fn covering(cpus: f64, gpus: f64) -> MilliResources {
        MilliResources { millicpus: round_up(cpus), milligpus: round_up(gpus) }
    }

    fn combine(self, other: MilliResources, f: impl Fn(u64, u64) -> u64) -> MilliResources {
        MilliResources {
            millicpus: f(self.millicpus, other.millicpus),
            milligpus: f(self.milligpus, other.milligpus),
        }
    }

    /// The sum of both.
    pub fn plus(self, other: MilliResources) -> MilliResources {
        self.combine(other, u64::saturating_add)
    }

    /// What is left without `other`, never below 0.
    pub fn minus(self, other: MilliResources) -> MilliResources {
        self.combine(other, u64::saturating_sub)
    }

    /// The smaller of both, of each resource.
    pub fn min_each(self, other: MilliResources) -> MilliResources {
        self.combine(other, u64::min)
    }

    /// The larger of both, of each resource.
    pub fn max_each(self, other: MilliResources) -> MilliResources {
        self.combine(other, u64::max)
    }

    /// One of `parts` equal parts, rounded down.
    pub fn divided_by(self, parts: u64) -> MilliResources {
        self.combine(MilliResources::ZERO, |amount, _| amount / parts.max(1))
    }

    /// Whether this is at most `available`, of each resource.
    pub fn fits_in(self, available: MilliResources) -> bool {
        self.minus(available) == MilliResources::ZERO
    }

    /// CPUs as a decimal number.
    pub fn cpus(self) -> f64 {
        self.millicpus as f64 / MILLI_PER_UNIT
    }

    /// GPUs as a decimal number.
    pub fn gpus(self) -> f64 {
        self.milligpus as f64 / MILLI_PER_UNIT
    }
}

fn round_up(amount: f64) -> u64 {
    (amount * MILLI_PER_UNIT - ROUNDING_TOLERANCE).ceil().max(0.0) as u64
}

fn round_down(amount: f64) -> u64 {
    (amount * MILLI_PER_UNIT + ROUNDING_TOLERANCE).floor().max(0.0) as u64
}

/// A limit of each resource. None is no limit, and that resource is not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Limit {
    /// Thousandths of a CPU.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub millicpus: Option<u64>,
    /// Thousandths of a GPU.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub milligpus: Option<u64>,
}

impl Limit {
    /// A limit as settings have it, in CPUs and GPUs, rounded down; 0 is none.
    pub fn of(cpus: f64, gpus: f64) -> Limit {
        let limit = |amount: f64| (amount > 0.0).then(|| round_down(amount));
        Limit { millicpus: limit(cpus), milligpus: limit(gpus) }
    }

    /// Whether any resource has a limit.
    pub fn is_set(&self) -> bool {
        self.millicpus.is_some() || self.milligpus.is_some()
    }

    /// All that may be allotted; 0 of a resource without a limit.
    pub fn total(&self) -> MilliResources {
        MilliResources {
            millicpus: self.millicpus.unwrap_or(0),
            milligpus: self.milligpus.unwrap_or(0),
        }
    }

    /// What of `amount` counts against this limit: nothing of a resource without one.
    pub fn counted(&self, amount: MilliResources) -> MilliResources {
        MilliResources {
            millicpus: if self.millicpus.is_some() { amount.millicpus } else { 0 },
            milligpus: if self.milligpus.is_some() { amount.milligpus } else { 0 },
        }
    }
}
