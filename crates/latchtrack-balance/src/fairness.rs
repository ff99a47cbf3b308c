//! The fair share of each team: its guarantee first, then weighted max-min shares of the rest.

use crate::constants::ROUNDING;

/// What a team may have and asks for, in dominant shares of the cluster.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamDemand {
    /// Its guarantee.
    pub guarantee: f64,
    /// Its limit; 0 is no limit.
    pub limit: f64,
    /// What its tasks use and what its waiting tasks ask for.
    pub wanted: f64,
}

impl TeamDemand {
    /// The most that it could use.
    fn max_usable(&self) -> f64 {
        let wanted = finite(self.wanted);
        if self.limit > 0.0 {
            wanted.min(finite(self.limit))
        } else {
            wanted
        }
    }

    /// What it is given before the rest is shared.
    fn guaranteed(&self) -> f64 {
        finite(self.guarantee).min(self.max_usable())
    }

    /// Its weight in sharing the rest: a team without a guarantee weighs as much as the one with
    /// the smallest.
    fn weight(&self, smallest_guarantee: f64) -> f64 {
        finite(self.guarantee).max(smallest_guarantee)
    }
}

fn finite(amount: f64) -> f64 {
    if amount.is_finite() {
        amount.max(0.0)
    } else {
        0.0
    }
}

/// The share of each team, in the order of the input. Together they are at most 1: if the
/// guarantees alone are more, they are cut in proportion.
pub fn fair_shares(teams: &[TeamDemand]) -> Vec<f64> {
    let all_guaranteed: f64 = teams.iter().map(TeamDemand::guaranteed).sum();
    let cut = if all_guaranteed > 1.0 { 1.0 / all_guaranteed } else { 1.0 };
    let mut given: Vec<f64> = teams.iter().map(|team| team.guaranteed() * cut).collect();
    let smallest = teams
        .iter()
        .map(|team| finite(team.guarantee))
        .filter(|guarantee| *guarantee > 0.0)
        .fold(f64::INFINITY, f64::min);
    let smallest = if smallest.is_finite() { smallest } else { 1.0 };
    let mut left = 1.0 - given.iter().sum::<f64>();
    // Each pass satisfies at least one team, or shares all that is left.
    for _ in 0..teams.len() {
        let open: Vec<usize> =
            (0..teams.len()).filter(|i| given[*i] + ROUNDING < teams[*i].max_usable()).collect();
        let weights: f64 = open.iter().map(|i| teams[*i].weight(smallest)).sum();
        if open.is_empty() || left <= ROUNDING {
            break;
        }
        let mut taken = 0.0;
        for i in open {
            let offered = left * teams[i].weight(smallest) / weights;
            let more = offered.min(teams[i].max_usable() - given[i]);
            given[i] += more;
            taken += more;
        }
        left -= taken;
    }
    given
}
