//! The cost of a machine for a task: of fetching the task's image against crowding the machines
//! that hold it.

use crate::constants::{MAX_PLACEMENT_COST, PLACEMENT_COST_STEPS, UNKNOWN_FETCH_S};

/// s until an image is on a machine, by its size and what the machine is fetching already, which
/// shares the rate. [`UNKNOWN_FETCH_S`] if any of them is invalid.
pub fn fetch_s(image_gb: f64, fetching_gb: f64, gb_per_s: f64) -> f64 {
    let valid = |amount: f64| amount.is_finite() && amount >= 0.0;
    if !valid(image_gb) || !valid(fetching_gb) || !gb_per_s.is_finite() || gb_per_s <= 0.0 {
        return UNKNOWN_FETCH_S;
    }
    (image_gb + fetching_gb) / gb_per_s
}

/// A machine on which a task might be placed, as far as balance is concerned.
#[derive(Clone, Copy, Debug)]
pub struct PlacementOption {
    /// s until the image is there; 0 if it is.
    pub fetch_s: f64,
    /// s that the task runs.
    pub run_s: f64,
    /// The load of the machine with the task on it, in parts of a machine.
    pub load_after: f64,
    /// The most that it should carry: see [`crate::spread::Spread::bound`].
    pub bound: f64,
}

impl PlacementOption {
    /// The placement term, from 0 to [`MAX_PLACEMENT_COST`] in whole steps: the part of its stay
    /// that the task waits for its image, plus the load that it puts on the machine beyond the
    /// bound.
    pub fn cost(&self) -> f64 {
        let stay_s = self.fetch_s + self.run_s;
        let waiting = if stay_s > 0.0 { self.fetch_s / stay_s } else { 0.0 };
        let excess = (self.load_after - self.bound).max(0.0);
        let cost =
            if (waiting + excess).is_finite() { waiting + excess } else { MAX_PLACEMENT_COST };
        let steps = (cost.min(MAX_PLACEMENT_COST) * PLACEMENT_COST_STEPS).round();
        steps / PLACEMENT_COST_STEPS
    }
}
