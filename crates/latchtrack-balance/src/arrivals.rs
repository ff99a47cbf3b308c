//! Measures how much work arrives from each team, by exponentially decayed rates, and detects hot
//! teams: those that have asked for more than their share of the cluster for some time.

use std::collections::BTreeMap;

use crate::constants::{BURST_HALF_LIFE_MS, HOT_ENTER_FACTOR, HOT_EXIT_FACTOR, HOT_HALF_LIFE_MS};
use crate::Millis;

/// An exponentially decayed arrival rate: the weight of an arrival halves with each half-life.
#[derive(Clone, Copy, Debug)]
pub struct DecayedRate {
    half_life_ms: Millis,
    /// Sum of all arrivals, decayed to `updated_at`.
    decayed_sum: f64,
    updated_at: Millis,
}

impl DecayedRate {
    /// Creates a rate without arrivals. The half-life is at least 1 ms.
    pub fn new(half_life_ms: Millis) -> Self {
        DecayedRate { half_life_ms: half_life_ms.max(1), decayed_sum: 0.0, updated_at: 0 }
    }

    /// Adds an arrival. Sizes that are not positive and finite are ignored.
    pub fn add(&mut self, now: Millis, size: f64) {
        if size.is_finite() && size > 0.0 {
            self.decayed_sum = self.decayed(now) + size;
            self.updated_at = self.updated_at.max(now);
        }
    }

    /// Returns the arriving size per second. It converges to the true rate if arrivals are steady.
    pub fn per_second(&self, now: Millis) -> f64 {
        let mean_life_s = self.half_life_ms as f64 / 1000.0 / std::f64::consts::LN_2;
        self.decayed(now) / mean_life_s
    }

    fn decayed(&self, now: Millis) -> f64 {
        let half_lives = now.saturating_sub(self.updated_at) as f64 / self.half_life_ms as f64;
        self.decayed_sum * 0.5f64.powf(half_lives)
    }
}

/// How much a team has recently asked for, compared with its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalLevel {
    /// The team asks for about its share or less.
    Normal,
    /// The team currently asks for more than its share, but has not done so for long.
    Burst,
    /// The team has asked for more than its share for some time.
    Hot,
}

#[derive(Clone, Debug)]
struct TeamRates {
    short_term: DecayedRate,
    long_term: DecayedRate,
    hot: bool,
}

/// Arrival rates of all teams, in CPU-seconds of work per second.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    teams: BTreeMap<String, TeamRates>,
}

impl Arrivals {
    /// Adds a job of a team that is expected to take `cpu_seconds`.
    pub fn add(&mut self, now: Millis, team: &str, cpu_seconds: f64) {
        let rates = self.teams.entry(team.to_string()).or_insert_with(|| TeamRates {
            short_term: DecayedRate::new(BURST_HALF_LIFE_MS),
            long_term: DecayedRate::new(HOT_HALF_LIFE_MS),
            hot: false,
        });
        rates.short_term.add(now, cpu_seconds);
        rates.long_term.add(now, cpu_seconds);
    }

    /// Classifies a team whose share of the cluster is `share_cpus` CPUs. A hot team stays hot
    /// until it asks for less than [`HOT_EXIT_FACTOR`] times its share.
    pub fn classify(&mut self, now: Millis, team: &str, share_cpus: f64) -> ArrivalLevel {
        let Some(rates) = self.teams.get_mut(team) else { return ArrivalLevel::Normal };
        if share_cpus <= 0.0 || share_cpus.is_nan() {
            return ArrivalLevel::Normal;
        }
        let long_term = rates.long_term.per_second(now) / share_cpus;
        rates.hot = long_term >= if rates.hot { HOT_EXIT_FACTOR } else { HOT_ENTER_FACTOR };
        let burst = rates.short_term.per_second(now) / share_cpus >= HOT_ENTER_FACTOR;
        match (rates.hot, burst) {
            (true, _) => ArrivalLevel::Hot,
            (false, true) => ArrivalLevel::Burst,
            (false, false) => ArrivalLevel::Normal,
        }
    }

    /// Returns the teams that were hot when last classified, sorted by name.
    pub fn hot_teams(&self) -> Vec<String> {
        self.teams.iter().filter(|(_, rates)| rates.hot).map(|(name, _)| name.clone()).collect()
    }
}
