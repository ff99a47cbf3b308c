//! The clocks, read here and nowhere else.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<Instant> = OnceLock::new();

/// ms at which the steady clock starts. What happened up to ten days before the process began has
/// a time of its own on it, and 0 can stand for "never".
const START_MS: u64 = 10 * 24 * 3_600 * 1_000;

/// Now in ms of the steady clock, which starts with the process and never goes back.
pub fn now_ms() -> u64 {
    START_MS + START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Now in ms of the time of day (Unix time), which may differ between machines.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// The time on the steady clock, in ms, that was this time of day; now at the latest.
pub fn steady_from_wall(wall: u64) -> u64 {
    steady_from_wall_at(now_ms(), wall_ms(), wall)
}

/// As [`steady_from_wall`], given both clocks as they stand now.
pub fn steady_from_wall_at(now: u64, wall_now: u64, wall: u64) -> u64 {
    now.saturating_sub(wall_now.saturating_sub(wall))
}
