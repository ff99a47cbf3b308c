//! Every constant of load balancing, each with its unit and its reason. Those that operators or tests
//! may change are defaults of [`crate::balancer::MoveLimits`].

use crate::Millis;

/// Times the mean load of a pool that its most loaded machine may carry beside one task. Below this the
/// gain of a move is within what tasks differ by anyway.
pub const SPREAD_FACTOR: f64 = 1.25;
/// ms a machine must be over the bound before a task of it moves: longer than most tasks take to end by
/// themselves, and than a burst of launches.
pub const OVER_BOUND_MS: Millis = 10_000;
/// ms a task must have run before it may be moved: a start counts for its class only if the task is not
/// stopped within 30 s of it.
pub const MIN_RUN_MS: Millis = 35_000;
/// ms after a move in which the same task stays where it is.
pub const TASK_COOLDOWN_MS: Millis = 120_000;
/// ms between two moves from or to the same machine: its next report must show what the last one did.
pub const MACHINE_GAP_MS: Millis = 10_000;
/// ms for which a machine that was in the way of a move takes part in no other: a cut or a pause of some
/// seconds is over by then, and one that is really ill has been given up.
pub const MACHINE_COOLDOWN_MS: Millis = 30_000;
/// Moves started per minute in the whole cluster.
pub const MOVES_PER_MINUTE: u32 = 30;
/// Times its own cost that the remaining run time of a task must be to be worth a move.
pub const WORTH_FACTOR: f64 = 3.0;
/// Machines with room that are compared as the target of a task: the least loaded ones, of which one is
/// nearly always the best.
pub const MAX_TARGETS_COMPARED: usize = 8;
/// s that a move costs beside saving and fetching: two reports, and the launch.
pub const MOVE_OVERHEAD_S: f64 = 2.0;
/// s that the fetch of an image is taken to last where its size or the rate is unknown.
pub const UNKNOWN_FETCH_S: f64 = 10.0;
/// ms a reserved target waits until the stop has been sent.
pub const RESERVATION_TIMEOUT_MS: Millis = 10_000;
/// ms beyond the time to save after which a stop that has not ended is late, and the target is released.
pub const STOP_TIMEOUT_MARGIN_MS: Millis = 30_000;
/// ms in which a moved task must be seen to run on its target.
pub const LAUNCH_TIMEOUT_MS: Millis = 60_000;
/// Ended moves that are kept for the operator.
pub const RECENT_MOVES: usize = 32;

/// ms in which an arrival counts half for the rate that tells a burst.
pub const BURST_HALF_LIFE_MS: Millis = 10_000;
/// ms in which an arrival counts half for the rate that tells a hot team.
pub const HOT_HALF_LIFE_MS: Millis = 60_000;
/// Times its share of the cluster that a team must ask for to turn hot, and below which it has cooled:
/// apart, so that a team at the edge does not change sides with every job.
pub const HOT_ENTER_FACTOR: f64 = 1.2;
/// The part of its share below which it is not hot any more.
pub const HOT_EXIT_FACTOR: f64 = 0.8;

/// Most that the placement term adds to the score of a machine, in parts of the paper's score of an empty
/// cluster. The term orders machines that all have room; it never opens or closes one.
pub const MAX_PLACEMENT_COST: f64 = 1.0;
/// Steps into which the placement term is divided: differences below one leave the order to the score.
pub const PLACEMENT_COST_STEPS: f64 = 10.0;
/// Slack for sums of decimal amounts.
pub const ROUNDING: f64 = 1e-6;
/// ms in a minute, over which moves are counted.
pub const MINUTE_MS: Millis = 60_000;
