//! The constants of the quota, each with its unit and its reason.

use crate::Millis;

/// Version of the stored ledger. A higher one may have another meaning, and is left alone.
pub const LEDGER_VERSION: u32 = 1;
/// Thousandths in a CPU or GPU.
pub const MILLI_PER_UNIT: f64 = 1_000.0;
/// Thousandths by which a sum of decimal amounts may be off before it counts as the next whole one.
pub const ROUNDING_TOLERANCE: f64 = 1e-3;
/// ms added to the leases of a dead cell before its allotment is reclaimed: a lease may end 100 ms
/// late, and a watch and a response take their time.
pub const RECLAIM_MARGIN_MS: Millis = 2_000;
/// Part of the leases added for the drift of two steady clocks, 0.05% each.
pub const CLOCK_DRIFT_RATIO: f64 = 0.001;
/// ms that a request may stand though it could be granted; then any cell removes it.
pub const REQUEST_STALE_MS: Millis = 5_000;
/// ms that a cell whose need is covered has to start it before cells whose needs are not. Most
/// machines have booted by then, and nobody waits for 90 s for what another cell holds without
/// using it. Then the cell takes a new request number.
pub const GRANT_TIMEOUT_MS: Millis = 40_000;
/// ms that an allotment lies idle before it is given back without being asked for: a cell with
/// short breaks between jobs keeps what it has.
pub const IDLE_RETURN_MS: Millis = 30_000;
/// ms between two changes of a request that is still of use as it stands.
pub const MIN_REQUEST_UPDATE_INTERVAL_MS: Millis = 2_000;
/// Part of the limit by which a want must have changed to be worth a write of its own.
pub const WANT_CHANGE_DIVISOR: u64 = 8;
/// ms between two writes of one team's ledger by one cell, so that a contended ledger is not always
/// changed before others have read it.
pub const MIN_WRITE_INTERVAL_MS: Millis = 500;
/// ms after a write that was not carried out, or whose outcome is unknown, until the next.
pub const WRITE_RETRY_DELAY_MS: Millis = 100;
/// Writes of a cell in flight at a time, whatever the number of teams: the leader's other writes
/// wait behind them.
pub const MAX_WRITES_IN_FLIGHT: usize = 4;
/// Part of the limit that a cell takes beside what it can use while no other asks, so that not
/// each new job costs a write.
pub const HEADROOM_DIVISOR: u64 = 16;
