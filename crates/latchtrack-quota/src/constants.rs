//! Constants of the quota, with their units and rationale.

use crate::Millis;

/// Version of the stored ledger format. A ledger with a higher version is neither used nor changed,
/// because its meaning may differ.
pub const LEDGER_VERSION: u32 = 1;
/// Number of thousandths in a CPU or GPU.
pub const MILLI_PER_UNIT: f64 = 1_000.0;
/// Floating-point error, in thousandths of a CPU or GPU, that is ignored when rounding to whole
/// thousandths.
pub const ROUNDING_TOLERANCE: f64 = 1e-3;
/// Delay in ms between the expiry of a dead cell's leases and the reclaim of its allotment. A lease
/// may end 100 ms late, and watch events and responses are delayed.
pub const RECLAIM_MARGIN_MS: Millis = 2_000;
/// Fraction of the lease durations that is added to them for the drift between two monotonic
/// clocks, 0.05% each.
pub const CLOCK_DRIFT_RATIO: f64 = 0.001;
/// Time in ms for which a request may remain pending although it could be granted. After that, any
/// cell may remove it.
pub const REQUEST_STALE_MS: Millis = 5_000;
/// Time in ms that a cell has to use a granted request. Until then, the request ranks before unmet
/// needs of other cells; after that, the cell needs a new request number. Most machines boot within
/// this time, and no cell waits 90 s for an allotment that another holds but does not use.
pub const GRANT_TIMEOUT_MS: Millis = 40_000;
/// Time in ms after which an idle allotment is returned even if no cell requests it. Short breaks
/// between jobs don't cost a cell its allotment.
pub const IDLE_RETURN_MS: Millis = 30_000;
/// Minimum time in ms between a cell's last change of a ledger and an update of the need or want of
/// its request. A request that was used or timed out is replaced at once.
pub const MIN_REQUEST_UPDATE_INTERVAL_MS: Millis = 2_000;
/// A changed want alone causes a write only if the change exceeds the limit divided by this.
pub const WANT_CHANGE_DIVISOR: u64 = 8;
/// Minimum time in ms between two writes of a team's ledger by the same cell, so that other cells
/// can read a contended ledger before it changes again.
pub const MIN_WRITE_INTERVAL_MS: Millis = 500;
/// Delay in ms before the next write after one that was not stored or whose outcome is unknown.
pub const WRITE_RETRY_DELAY_MS: Millis = 100;
/// Maximum number of ledger writes in flight per cell, for any number of teams. The leader's other
/// writes queue behind them.
pub const MAX_WRITES_IN_FLIGHT: usize = 4;
/// While no other cell has a pending request, a cell may hold headroom of the limit divided by this
/// beyond its want, so that not every new job causes a write.
pub const HEADROOM_DIVISOR: u64 = 16;
