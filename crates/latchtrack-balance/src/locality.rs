//! The cost of placing a task on a machine: weighs the time to fetch the task's image against
//! overloading the machines that already hold it.

use crate::constants::{MAX_PLACEMENT_COST, PLACEMENT_COST_STEPS, UNKNOWN_FETCH_S};

/// Returns the seconds until an image of `image_gb` has been fetched by a machine that still has
/// `fetching_gb` of other images to fetch at the same rate. Returns [`UNKNOWN_FETCH_S`] if an
/// argument is invalid.
pub fn fetch_s(image_gb: f64, fetching_gb: f64, gb_per_s: f64) -> f64 {
    let valid = |amount: f64| amount.is_finite() && amount >= 0.0;
    if !valid(image_gb) || !valid(fetching_gb) || !gb_per_s.is_finite() || gb_per_s <= 0.0 {
        return UNKNOWN_FETCH_S;
    }
    (image_gb + fetching_gb) / gb_per_s
}

/// A machine on which a task may be placed, reduced to what determines its placement cost.
#[derive(Clone, Copy, Debug)]
pub struct PlacementOption {
    /// s until the machine has the task's image; 0 if it already has it.
    pub fetch_s: f64,
    /// s that the task is expected to run.
    pub run_s: f64,
    /// Load of the machine with the task added; 1 is a full machine.
    pub load_after: f64,
    /// Load that the machine should not exceed; see [`crate::spread::Spread::bound`].
    pub bound: f64,
}

impl PlacementOption {
    /// Returns the placement cost: the fraction of the task's time on the machine that is spent
    /// fetching, plus the load beyond the bound. It is at most [`MAX_PLACEMENT_COST`], and rounded
    /// to multiples of `1 / PLACEMENT_COST_STEPS`.
    pub fn cost(&self) -> f64 {
        let stay_s = self.fetch_s + self.run_s;
        let fetch_fraction = if stay_s > 0.0 { self.fetch_s / stay_s } else { 0.0 };
        let excess = (self.load_after - self.bound).max(0.0);
        let cost = if (fetch_fraction + excess).is_finite() {
            fetch_fraction + excess
        } else {
            MAX_PLACEMENT_COST
        };
        let steps = (cost.min(MAX_PLACEMENT_COST) * PLACEMENT_COST_STEPS).round();
        steps / PLACEMENT_COST_STEPS
    }
}
