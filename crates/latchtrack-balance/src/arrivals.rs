//! Rates of arriving work, decayed exponentially, and which teams are hot by them: those that have
//! asked for more than their share of the cluster for some time.

use std::collections::BTreeMap;

use crate::constants::{BURST_HALF_LIFE_MS, HOT_ENTER_FACTOR, HOT_EXIT_FACTOR, HOT_HALF_LIFE_MS};
use crate::Millis;

/// An exponentially decayed rate: an arrival counts half after each half-life.
#[derive(Clone, Copy, Debug)]
pub struct DecayedRate {
    half_life_ms: Millis,
    /// What has arrived, decayed to `at`.
    weight: f64,
    at: Millis,
}

impl DecayedRate {
    /// A rate without arrivals, with a half-life in ms.
    pub fn new(half_life_ms: Millis) -> Self {
        DecayedRate { half_life_ms: half_life_ms.max(1), weight: 0.0, at: 0 }
    }

    /// Counts an arrival. Sizes that are not positive and finite are ignored.
    pub fn add(&mut self, now: Millis, size: f64) {
        if size.is_finite() && size > 0.0 {
            self.weight = self.decayed(now) + size;
            self.at = self.at.max(now);
        }
    }

    /// Size per second, as if what arrived had come evenly: exact for a steady flow.
    pub fn per_second(&self, now: Millis) -> f64 {
        let mean_life_s = self.half_life_ms as f64 / 1000.0 / std::f64::consts::LN_2;
        self.decayed(now) / mean_life_s
    }

    fn decayed(&self, now: Millis) -> f64 {
        let half_lives = now.saturating_sub(self.at) as f64 / self.half_life_ms as f64;
        self.weight * 0.5f64.powf(half_lives)
    }
}

/// How much a team has asked for lately, compared with its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalLevel {
    /// It asks for no more than its share.
    Normal,
    /// It asks for more at the moment, but has not done so for long.
    Burst,
    /// It has asked for more than its share for some time.
    Hot,
}

#[derive(Clone, Debug)]
struct TeamRates {
    short: DecayedRate,
    long: DecayedRate,
    hot: bool,
}

/// The arrivals of all teams, in CPU-seconds of work.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    teams: BTreeMap<String, TeamRates>,
}

impl Arrivals {
    /// Counts a job of a team, by the CPU-seconds that it is to take.
    pub fn add(&mut self, now: Millis, team: &str, cpu_seconds: f64) {
        let rates = self.teams.entry(team.to_string()).or_insert_with(|| TeamRates {
            short: DecayedRate::new(BURST_HALF_LIFE_MS),
            long: DecayedRate::new(HOT_HALF_LIFE_MS),
            hot: false,
        });
        rates.short.add(now, cpu_seconds);
        rates.long.add(now, cpu_seconds);
    }

    /// Classifies a team whose share of the cluster is `share_cpus`. A hot team stays hot until it
    /// asks for clearly less than its share.
    pub fn classify(&mut self, now: Millis, team: &str, share_cpus: f64) -> ArrivalLevel {
        let Some(rates) = self.teams.get_mut(team) else { return ArrivalLevel::Normal };
        if share_cpus <= 0.0 || share_cpus.is_nan() {
            return ArrivalLevel::Normal;
        }
        let long = rates.long.per_second(now) / share_cpus;
        rates.hot = long >= if rates.hot { HOT_EXIT_FACTOR } else { HOT_ENTER_FACTOR };
        let burst = rates.short.per_second(now) / share_cpus >= HOT_ENTER_FACTOR;
        match (rates.hot, burst) {
            (true, _) => ArrivalLevel::Hot,
            (false, true) => ArrivalLevel::Burst,
            (false, false) => ArrivalLevel::Normal,
        }
    }

    /// Teams that were hot when last classified.
    pub fn hot_teams(&self) -> Vec<String> {
        self.teams.iter().filter(|(_, rates)| rates.hot).map(|(name, _)| name.clone()).collect()
    }
}
