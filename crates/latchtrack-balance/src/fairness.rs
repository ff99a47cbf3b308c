//! Fair shares of teams: each gets its guarantee first, then a weighted max-min share of the rest.

use crate::constants::ROUNDING_TOLERANCE;

/// The entitlement and the demand of a team, as dominant shares of the cluster.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamDemand {
    /// Share that the team gets before others if it asks for it; 0 is no guarantee.
    pub guarantee: f64,
    /// Maximum share; 0 is no limit.
    pub limit: f64,
    /// Share that its running and waiting tasks need together.
    pub wanted: f64,
}

impl TeamDemand {
    /// Returns the share that the team could use: what it wants, up to its limit.
    fn max_usable(&self) -> f64 {
        let wanted = finite_or_zero(self.wanted);
        if self.limit > 0.0 {
            wanted.min(finite_or_zero(self.limit))
        } else {
            wanted
        }
    }

    /// Returns the share that the team gets before the rest is divided.
    fn guaranteed(&self) -> f64 {
        finite_or_zero(self.guarantee).min(self.max_usable())
    }

    /// Returns the team's weight when the rest is divided. A team without a guarantee has the same
    /// weight as the team with the smallest guarantee.
    fn weight(&self, smallest_guarantee: f64) -> f64 {
        finite_or_zero(self.guarantee).max(smallest_guarantee)
    }
}

/// Returns `amount`, or 0 if it is negative or not finite.
fn finite_or_zero(amount: f64) -> f64 {
    if amount.is_finite() {
        amount.max(0.0)
    } else {
        0.0
    }
}

/// Returns the fair share of each team, in the order of the input. The shares add up to at most 1:
/// if the guarantees alone exceed that, they are scaled down in proportion.
pub fn fair_shares(teams: &[TeamDemand]) -> Vec<f64> {
    let total_guaranteed: f64 = teams.iter().map(TeamDemand::guaranteed).sum();
    let scale = if total_guaranteed > 1.0 { 1.0 / total_guaranteed } else { 1.0 };
    let mut allocated: Vec<f64> = teams.iter().map(|team| team.guaranteed() * scale).collect();
    let smallest_guarantee = teams
        .iter()
        .map(|team| finite_or_zero(team.guarantee))
        .filter(|guarantee| *guarantee > 0.0)
        .fold(f64::INFINITY, f64::min);
    let smallest_guarantee = if smallest_guarantee.is_finite() { smallest_guarantee } else { 1.0 };
    let mut remaining = 1.0 - allocated.iter().sum::<f64>();
    // Each pass satisfies at least one team or allocates all that remains.
    for _ in 0..teams.len() {
        let unsatisfied: Vec<usize> = (0..teams.len())
            .filter(|i| allocated[*i] + ROUNDING_TOLERANCE < teams[*i].max_usable())
            .collect();
        let weights: f64 = unsatisfied.iter().map(|i| teams[*i].weight(smallest_guarantee)).sum();
        if unsatisfied.is_empty() || remaining <= ROUNDING_TOLERANCE {
            break;
        }
        let mut taken = 0.0;
        for i in unsatisfied {
            let offered = remaining * teams[i].weight(smallest_guarantee) / weights;
            let increase = offered.min(teams[i].max_usable() - allocated[i]);
            allocated[i] += increase;
            taken += increase;
        }
        remaining -= taken;
    }
    allocated
}
