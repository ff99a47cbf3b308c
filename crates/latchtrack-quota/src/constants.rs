//! The constants of the quota, each with its unit and its reason.

use crate::Millis;

/// Version of the stored value. A higher one may mean something else, and is left alone.
pub const LEDGER_VERSION: u32 = 1;
/// Thousandths in a CPU or GPU.
pub const MILLI: f64 = 1_000.0;
/// Thousandths by which a sum of decimal amounts may be off before it counts as the next whole one.
pub const ROUNDING: f64 = 1e-3;
/// ms added to the leases of a dead cell before its allotment is reclaimed: a lease may end 100 ms late, a
/// watch and an answer take their time.
pub const RECLAIM_MARGIN_MS: Millis = 2_000;
/// Part of the leases added for the drift of two steady clocks, 0.05% each.
pub const DRIFT: f64 = 0.001;
/// ms that a request may stand though it could be met; then any cell strikes it off.
pub const REQUEST_STALE_MS: Millis = 5_000;
/// ms for which a cell whose need is met and that has not started it goes before others, whose needs are not: most
/// boots are over by then, and nobody waits for 90 s for what another holds in vain. Then it takes a new request number.
pub const GRANT_TIMEOUT_MS: Millis = 40_000;
/// ms that an allotment lies idle before it is given back unasked: a cell with short pauses keeps what it has.
pub const IDLE_RETURN_MS: Millis = 30_000;
/// ms between two changes of a standing request that is still of use as it stands.
pub const REQUEST_REFRESH_MS: Millis = 2_000;
/// Part of the limit by which a want must have changed for that.
pub const WANT_CHANGE_PART: u64 = 8;
/// ms between two writes of one team's value by one cell, so that a contended value is not only read again.
pub const WRITE_GAP_MS: Millis = 500;
/// ms after a write that was surely not carried out or met another's change.
pub const RETRY_MS: Millis = 100;
/// Writes of a cell that are open at a time, whatever the number of teams: the leader's other writes wait behind
/// them for their turn.
pub const WRITES_OPEN: usize = 4;
/// Part of the limit that a cell takes beside what it can use while nobody else asks, so that not each new job
/// is a write.
pub const HEADROOM_PART: u64 = 16;
