//! The clocks, read here and nowhere else.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<Instant> = OnceLock::new();

/// ms on the steady clock since the process began to ask.
pub fn now_ms() -> u64 {
    // 1 at least, so that 0 can stand for "never".
    START.get_or_init(Instant::now).elapsed().as_millis() as u64 + 1
}

/// ms of the time of day, which is off by up to the bound in the settings.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
