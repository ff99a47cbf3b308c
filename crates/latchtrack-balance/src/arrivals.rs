//! Rates of arriving work, decayed exponentially, and which teams they make hot.

use std::collections::BTreeMap;

use crate::constants::{BURST_HALF_LIFE_MS, HOT_ENTER_FACTOR, HOT_EXIT_FACTOR, HOT_HALF_LIFE_MS};
use crate::Millis;

/// A rate that forgets: an arrival counts half after each half life.
#[derive(Clone, Copy, Debug)]
pub struct DecayedRate {
    half_life_ms: Millis,
    /// What has arrived, decayed to `at`.
    weight: f64,
    at: Millis,
}

impl DecayedRate {
    /// A rate without arrivals.
    pub fn new(half_life_ms: Millis) -> Self {
        DecayedRate { half_life_ms: half_life_ms.max(1), weight: 0.0, at: 0 }
    }

    /// Counts an arrival of this size. Sizes that are no positive numbers count nothing.
    pub fn add(&mut self, now: Millis, size: f64) {
        if size.is_finite() && size > 0.0 {
            self.weight = self.decayed(now) + size;
            self.at = self.at.max(now);
        }
    }

    /// Size a second, as if what arrived had come evenly: exact for a steady flow.
    pub fn per_second(&self, now: Millis) -> f64 {
        let mean_life_s = self.half_life_ms as f64 / 1000.0 / std::f64::consts::LN_2;
        self.decayed(now) / mean_life_s
    }

    fn decayed(&self, now: Millis) -> f64 {
        let half_lives = now.saturating_sub(self.at) as f64 / self.half_life_ms as f64;
        self.weight * 0.5f64.powf(half_lives)
    }
}

/// What a team's arrivals say of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalLevel {
    /// It asks for no more than its share.
    Normal,
    /// It asks for more just now, but not for long.
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
    /// A job of a team arrived that is to take so many CPU-seconds.
    pub fn add(&mut self, now: Millis, team: &str, cpu_seconds: f64) {
        let rates = self.teams.entry(team.to_string()).or_insert_with(|| TeamRates {
            short: DecayedRate::new(BURST_HALF_LIFE_MS),
            long: DecayedRate::new(HOT_HALF_LIFE_MS),
            hot: false,
        });
        rates.short.add(now, cpu_seconds);
        rates.long.add(now, cpu_seconds);
    }

    /// Judges a team whose share of the cluster is so many CPUs. A hot team stays hot until it has cooled
    /// well below its share.
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

    /// Teams that were hot when last judged.
    pub fn hot_teams(&self) -> Vec<String> {
        self.teams.iter().filter(|(_, rates)| rates.hot).map(|(name, _)| name.clone()).collect()
    }
}
