//! Access to the clocks, which no other code reads directly.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<Instant> = OnceLock::new();

/// Value of the steady clock at the start of the process, in ms. It leaves room to represent events
/// up to ten days before the start, and lets 0 stand for "never".
const START_MS: u64 = 10 * 24 * 3_600 * 1_000;

/// Current time of the steady clock, in ms. The clock is monotonic, and starts at ten days when the
/// process starts.
pub fn now_ms() -> u64 {
    START_MS + START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Current Unix time in ms, which may differ between machines.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Converts a Unix time to the steady clock, both in ms. A time in the future yields the current
/// time.
pub fn steady_from_wall(wall: u64) -> u64 {
    steady_from_wall_at(now_ms(), wall_ms(), wall)
}

/// Like [`steady_from_wall`], with the current values of both clocks passed in.
pub fn steady_from_wall_at(now: u64, wall_now: u64, wall: u64) -> u64 {
    now.saturating_sub(wall_now.saturating_sub(wall))
}
