//! Constants of load balancing. Those that operators or tests may change are the defaults of
//! [`crate::balancer::MoveLimits`].

use crate::Millis;

/// Multiple of the mean load of a pool up to which a machine may be loaded, not counting one
/// movable task. Below this, tasks differ from each other by more than a move would gain.
pub const SPREAD_FACTOR: f64 = 1.25;
/// ms for which a machine must be over its bound before a task is moved off it. By then most tasks
/// have ended by themselves, and a burst of launches is over.
pub const OVER_BOUND_MS: Millis = 10_000;
/// ms for which a task must have run before it may be moved. A start counts towards the objective
/// of the task's class only if the task is not stopped within 30 s.
pub const MIN_RUN_MS: Millis = 35_000;
/// ms after a move begins during which the same task is not moved again.
pub const TASK_COOLDOWN_MS: Millis = 120_000;
/// Minimum ms between two moves from or to the same machine, so that a heartbeat shows the effect
/// of the first before the second is planned.
pub const MACHINE_GAP_MS: Millis = 10_000;
/// ms for which a machine that caused a move to fail takes part in no other move. A partition or a
/// pause of a few seconds is over by then, and a faulty machine has been given up.
pub const MACHINE_COOLDOWN_MS: Millis = 30_000;
/// Maximum number of moves that begin per minute in the whole cluster.
pub const MOVES_PER_MINUTE: u32 = 30;
/// Minimum ratio of a task's remaining run time to the cost of its move.
pub const MIN_REMAINING_TO_COST: f64 = 3.0;
/// Maximum number of machines with enough capacity that are compared as the target of a task. The
/// least loaded ones are compared; one of them is nearly always the best.
pub const MAX_TARGETS_COMPARED: usize = 8;
/// s that a move takes in addition to saving and fetching: two heartbeats and the launch.
pub const MOVE_OVERHEAD_S: f64 = 2.0;
/// s that the fetch of an image is assumed to take if its size or the fetch rate is unknown.
pub const UNKNOWN_FETCH_S: f64 = 10.0;
/// ms after which a move is abandoned if its stop has not been sent, or if its tasks have all
/// stopped but have not been launched.
pub const RESERVATION_TIMEOUT_MS: Millis = 10_000;
/// ms added to the save time of a move's tasks to get the timeout of their stop, after which the
/// targets are released.
pub const STOP_TIMEOUT_MARGIN_MS: Millis = 30_000;
/// ms within which all launched tasks of a move must have been seen to run on their targets.
pub const LAUNCH_TIMEOUT_MS: Millis = 60_000;
/// Number of finished moves that are kept for the status report.
pub const MAX_RECENT_MOVES: usize = 32;

/// Half-life in ms of the short-term arrival rate, which detects bursts.
pub const BURST_HALF_LIFE_MS: Millis = 10_000;
/// Half-life in ms of the long-term arrival rate, which detects hot teams.
pub const HOT_HALF_LIFE_MS: Millis = 60_000;
/// Multiple of its share of the cluster that a team must ask for to become hot. It stays hot down
/// to [`HOT_EXIT_FACTOR`], so that a team near the threshold does not change state with every job.
pub const HOT_ENTER_FACTOR: f64 = 1.2;
/// Multiple of its share below which a hot team is no longer hot.
pub const HOT_EXIT_FACTOR: f64 = 0.8;

/// Maximum placement cost of a machine. The cost only orders machines that all have enough
/// capacity; it never admits or excludes one.
pub const MAX_PLACEMENT_COST: f64 = 1.0;
/// Placement costs are rounded to multiples of 1 over this number. Machines with the same rounded
/// cost are ordered by the scheduler's other criteria.
pub const PLACEMENT_COST_STEPS: f64 = 10.0;
/// Tolerance for rounding errors when sums of resource amounts, loads or shares are compared.
pub const ROUNDING_TOLERANCE: f64 = 1e-6;
/// ms over which [`MOVES_PER_MINUTE`] counts moves.
pub const MINUTE_MS: Millis = 60_000;
