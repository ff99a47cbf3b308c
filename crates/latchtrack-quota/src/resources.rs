//! Amounts of CPUs and GPUs in whole thousandths, so that sums over cells are exact.

use serde::{Deserialize, Serialize};

use crate::constants::{MILLI_PER_UNIT, ROUNDING_TOLERANCE};

/// Amounts of CPUs and GPUs in thousandths. The serde name appears in the text of parse errors,
/// which operators see.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename = "Amounts", default)]
pub struct MilliResources {
    /// CPUs, in thousandths.
    #[serde(skip_serializing_if = "is_zero")]
    pub millicpus: u64,
    /// GPUs, in thousandths.
    #[serde(skip_serializing_if = "is_zero")]
    pub milligpus: u64,
}

fn is_zero(amount: &u64) -> bool {
    *amount == 0
}

impl MilliResources {
    /// Zero of each resource.
    pub const ZERO: MilliResources = MilliResources { millicpus: 0, milligpus: 0 };

    /// Converts numbers of CPUs and GPUs, rounding up. Negative numbers become zero.
    pub fn covering(cpus: f64, gpus: f64) -> MilliResources {
        MilliResources { millicpus: round_up(cpus), milligpus: round_up(gpus) }
    }

    fn combine(self, other: MilliResources, f: impl Fn(u64, u64) -> u64) -> MilliResources {
        MilliResources {
            millicpus: f(self.millicpus, other.millicpus),
            milligpus: f(self.milligpus, other.milligpus),
        }
    }

    /// Returns the sum of both amounts, saturating at `u64::MAX`.
    pub fn plus(self, other: MilliResources) -> MilliResources {
        self.combine(other, u64::saturating_add)
    }

    /// Subtracts `other`, saturating at zero.
    pub fn minus(self, other: MilliResources) -> MilliResources {
        self.combine(other, u64::saturating_sub)
    }

    /// Returns the minimum of both amounts for each resource.
    pub fn min_each(self, other: MilliResources) -> MilliResources {
        self.combine(other, u64::min)
    }

    /// Returns the maximum of both amounts for each resource.
    pub fn max_each(self, other: MilliResources) -> MilliResources {
        self.combine(other, u64::max)
    }

    /// Divides each resource by `parts`, rounding down. Zero parts count as one.
    pub fn divided_by(self, parts: u64) -> MilliResources {
        self.combine(MilliResources::ZERO, |amount, _| amount / parts.max(1))
    }

    /// Whether the amount of each resource is at most that in `available`.
    pub fn fits_in(self, available: MilliResources) -> bool {
        self.minus(available) == MilliResources::ZERO
    }

    /// Returns the number of CPUs.
    pub fn cpus(self) -> f64 {
        self.millicpus as f64 / MILLI_PER_UNIT
    }

    /// Returns the number of GPUs.
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

/// Limits per resource. `None` means no limit; such a resource is not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Limit {
    /// Limit on CPUs, in thousandths.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub millicpus: Option<u64>,
    /// Limit on GPUs, in thousandths.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub milligpus: Option<u64>,
}

impl Limit {
    /// Converts a limit from the settings, in CPUs and GPUs, rounding down; 0 means no limit.
    pub fn of(cpus: f64, gpus: f64) -> Limit {
        let limit = |amount: f64| (amount > 0.0).then(|| round_down(amount));
        Limit { millicpus: limit(cpus), milligpus: limit(gpus) }
    }

    /// Whether any resource has a limit.
    pub fn is_set(&self) -> bool {
        self.millicpus.is_some() || self.milligpus.is_some()
    }

    /// Returns the total that may be allotted; zero for a resource without a limit.
    pub fn total(&self) -> MilliResources {
        MilliResources {
            millicpus: self.millicpus.unwrap_or(0),
            milligpus: self.milligpus.unwrap_or(0),
        }
    }

    /// Returns the part of `amount` that counts against this limit: zero for a resource without a
    /// limit.
    pub fn counted(&self, amount: MilliResources) -> MilliResources {
        MilliResources {
            millicpus: if self.millicpus.is_some() { amount.millicpus } else { 0 },
            milligpus: if self.milligpus.is_some() { amount.milligpus } else { 0 },
        }
    }
}
