//! Every constant of load balancing, each with its unit and its reason. Those that operators or
//! tests may change are defaults of [`crate::balancer::MoveLimits`].

use crate::Millis;

/// What the most loaded machine of a pool may carry beside one task, in multiples of the mean load.
/// Below this the gain of a move is within what tasks differ by anyway.
pub const SPREAD_FACTOR: f64 = 1.25;
/// ms that a machine must be over the bound before a task of it moves: longer than most tasks take
/// to end by themselves, and than a burst of launches.
pub const OVER_BOUND_MS: Millis = 10_000;
/// ms that a task must have run before it may be moved: a start counts for the objective of its
/// class only if the task is not stopped within 30 s of it.
pub const MIN_RUN_MS: Millis = 35_000;
/// ms after a move in which the same task stays where it is.
pub const TASK_COOLDOWN_MS: Millis = 120_000;
/// ms between two moves from or to the same machine: its next heartbeat must show what the last one
/// did.
pub const MACHINE_GAP_MS: Millis = 10_000;
/// ms for which a machine that made a move fail takes part in no other: a partition or a pause of
/// some seconds is over by then, and a machine that is really faulty has been given up.
pub const MACHINE_COOLDOWN_MS: Millis = 30_000;
/// Moves started per minute in the whole cluster.
pub const MOVES_PER_MINUTE: u32 = 30;
/// The remaining run time of a task that is worth a move, in multiples of its cost.
pub const MIN_REMAINING_TO_COST: f64 = 3.0;
/// Machines with capacity that are compared as the target of a task: the least loaded ones, of
/// which one is nearly always the best.
pub const MAX_TARGETS_COMPARED: usize = 8;
/// s that a move costs beside saving and fetching: two heartbeats and the launch.
pub const MOVE_OVERHEAD_S: f64 = 2.0;
/// s that the fetch of an image is assumed to last if its size or the rate is unknown.
pub const UNKNOWN_FETCH_S: f64 = 10.0;
/// ms that a target is reserved until the stop has been sent, or until the launch after the stop.
pub const RESERVATION_TIMEOUT_MS: Millis = 10_000;
/// ms beyond the time to save after which a stop has timed out, and the target is released.
pub const STOP_TIMEOUT_MARGIN_MS: Millis = 30_000;
/// ms in which a moved task must be seen to run on its target.
pub const LAUNCH_TIMEOUT_MS: Millis = 60_000;
/// Moves that are over and kept for the operator.
pub const RECENT_MOVES: usize = 32;

/// Half-life in ms of the rate by which a burst is seen.
pub const BURST_HALF_LIFE_MS: Millis = 10_000;
/// Half-life in ms of the rate by which a hot team is seen.
pub const HOT_HALF_LIFE_MS: Millis = 60_000;
/// What a team must ask for to turn hot, in multiples of its share of the cluster. It stays hot
/// down to [`HOT_EXIT_FACTOR`], so that a team at the edge does not change with every job.
pub const HOT_ENTER_FACTOR: f64 = 1.2;
/// What a hot team asks for when it is no longer hot, in multiples of its share.
pub const HOT_EXIT_FACTOR: f64 = 0.8;

/// The most that the placement term adds to the score of a machine, in parts of the design's score
/// of an empty cluster. The term orders machines that all have capacity; it never admits or
/// excludes one.
pub const MAX_PLACEMENT_COST: f64 = 1.0;
/// Steps into which the placement term is divided: differences below a step leave the order to the
/// score.
pub const PLACEMENT_COST_STEPS: f64 = 10.0;
/// Slack for sums of decimal amounts.
pub const ROUNDING: f64 = 1e-6;
/// ms in a minute, over which moves are counted.
pub const MINUTE_MS: Millis = 60_000;
