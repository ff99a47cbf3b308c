//! Constants of the scheduling core, each with its unit and the reason for its value.

use crate::Millis;

// Resource amounts.

/// Tolerance when sums of CPUs, GPUs or GB are compared: amounts are decimal, so their sums as
/// floats are inexact.
pub const AMOUNT_TOLERANCE: f64 = 1e-6;

// Machine scores.

/// Weight of free CPUs in a machine's score (Eq. 5). The weights of CPUs and memory add up to 1;
/// 0.8 is the paper's choice (section 6.6).
pub const ALPHA: f64 = 0.8;
/// Weight of free memory in a machine's score (Eq. 5, section 6.6).
pub const BETA: f64 = 0.2;
/// Weight of free GPUs, a term that the paper does not have. It keeps machines with GPUs free for
/// the jobs that need them.
pub const GAMMA: f64 = 1.0;

// Scheduling cycle.

/// Minimum ms between two cycles. Capacity freed by a single heartbeat is backfilled without
/// waiting for a cycle.
pub const MIN_CYCLE_INTERVAL_MS: Millis = 100;
/// Maximum ms between two cycles. A cycle runs even if nothing has changed, because deadlines come
/// closer.
pub const MAX_CYCLE_INTERVAL_MS: Millis = 1_000;
/// Number of tasks that start together: an array job starts in whole slices. The tasks of an array
/// are independent, so a slice of one leaves the least capacity unused.
pub const SLICE: u32 = 1;
/// Number of fitting jobs in the queue among which backfill looks for one whose image the machine
/// holds. Fetching an image occupies capacity for at least a tenth of a run, while being overtaken
/// by a few jobs costs seconds.
pub const IMAGE_LOOKAHEAD_JOBS: usize = 8;
/// Longest start objective, in ms, that affects scheduling: the time it takes to fetch the largest
/// image. Longer objectives are met even with a fetch, and are ignored.
pub const MAX_START_OBJECTIVE_MS: Millis = 10_000;
/// Number of low bits of an attempt number, below the fencing token: 16 million launches in one
/// term. Leaders of other versions read attempt numbers, so this must never change.
pub const ATTEMPT_BITS: u32 = 24;
/// Maximum number of tasks in a job, set by the protocol.
pub const MAX_TASKS: u32 = 100_000;

// Reservations and starvation. Users are promised that no job waits 90 s while there is capacity
// for it.

/// ms without capacity after which machines are reserved for a job, so that smaller jobs stop
/// taking the capacity that becomes free.
pub const RESERVE_AFTER_MS: Millis = 2_000;
/// ms without capacity after which a job may use machines reserved for other classes, but not those
/// reserved exclusively: no capacity may be withheld from a job that has waited 90 s.
pub const RESERVATION_IGNORED_AFTER_MS: Millis = 60_000;
/// ms after submission at which a job that has never started counts as starving, and gets one slice
/// before all other jobs. However large a job is and however often it is deferred, it must start
/// within four minutes, which leaves 90 s for capacity to become free. A shorter time would take
/// capacity from jobs that can still meet their deadlines.
pub const STARVATION_MS: Millis = 150_000;
/// ms after [`STARVATION_MS`] at which a machine is reserved exclusively for a starving job.
/// Without that, enough capacity for one of its tasks may never become free if they are larger than
/// all others.
pub const STARVATION_RESERVE_DELAY_MS: Millis = 20_000;
/// Share of the cluster's CPUs that best-effort jobs get ahead of deferred jobs, from
/// [`STARVATION_MS`] on. It is enough to finish most of them within minutes of the start of an
/// overload, and small enough to make few other jobs late.
pub const BEST_EFFORT_SHARE: f64 = 0.25;

// Gangs.

/// ms for which a gang lacks capacity, or quota under its team's limit, before what it lacks is
/// reserved exclusively for it. Otherwise other jobs take the capacity task by task, and it is
/// never free all at once.
pub const GANG_STARVATION_MS: Millis = 30_000;
/// ms after [`GANG_STARVATION_MS`] for which quota under the team's limit stays reserved for a gang
/// while its machines boot. The team's other jobs wait meanwhile, and none of them may wait 90 s.
pub const GANG_QUOTA_RESERVATION_MS: Millis = 45_000;
/// ms after the last gang of an equivalence class for which capacity for another one is kept free:
/// a few minutes, for gangs that arrive a few times a minute.
pub const GANG_RESERVE_TTL_MS: Millis = 120_000;
/// ms of backoff after a gang was not complete in time. Its images have been fetched by then.
pub const GANG_INCOMPLETE_BACKOFF_MS: Millis = 1_000;
/// ms for which a task of an ended attempt may continue to fetch its image. The next attempt needs
/// the image there, and an aborted fetch starts over. Bounded, because the gang waits meanwhile.
pub const FETCH_GRACE_MS: Millis = 30_000;
/// s added to the time that a stopped task is given to save a checkpoint: commands take time to
/// arrive.
pub const STOP_GRACE_S: f64 = 1.0;

// Provisioning and termination.

/// ms for which an idle spot machine is kept before it is terminated.
pub const SPOT_IDLE_TIMEOUT_MS: Millis = 20_000;
/// ms for which an idle on-demand machine is kept before it is terminated.
pub const ON_DEMAND_IDLE_TIMEOUT_MS: Millis = 4_000;
/// ms without capacity after which the cheapest kind of machine that a job may use is provisioned:
/// spot, or on-demand if the job does not allow spot.
pub const SPOT_PROVISION_DELAY_MS: Millis = 0;
/// ms without capacity after which an on-demand machine is provisioned for a job that allows spot:
/// it costs three times as much as a spot machine.
pub const ON_DEMAND_PROVISION_DELAY_MS: Millis = 8_000;
/// ms for which an offer that had no machines is not requested again, unless a machine of the offer
/// is terminated. Requests that fail use up the cloud's call rate.
pub const OFFER_EXHAUSTED_MS: Millis = 10_000;
/// Maximum number of open provision requests. More would only wait for the cloud's call rate.
pub const MAX_OPEN_PROVISIONS: usize = 4;
/// Maximum number of machines in one provision request, set by the cloud.
pub const MAX_MACHINES_PER_PROVISION: u32 = 50;
/// ms between two requests for the cloud's list of machines, which reveals orphaned and failed
/// machines.
pub const LIST_INTERVAL_MS: Millis = 20_000;
/// ms between two requests for the cloud's list while machines are silent: a silent machine that is
/// missing from the list has most likely been preempted.
pub const LIST_INTERVAL_WHILE_SILENT_MS: Millis = 2_500;
/// ms added to twice the lag of the cloud's list to get the age from which every list contains a
/// machine. Covers the pages of one list and the response to the provision request.
pub const LIST_MARGIN_MS: Millis = 9_000;
/// Number of names of terminated machines remembered in a term, so that delayed copies of their
/// heartbeats don't add them again. Lasts some hours in a fleet that changes every few minutes, and
/// takes about 2 MB.
pub const MAX_TERMINATED_NAMES: usize = 16_384;

// Boots.

/// Multiple of its nominal boot time after which a machine that is not up counts as late, and its
/// capacity is no longer expected.
pub const BOOT_LATE_FACTOR: f64 = 2.0;
/// Multiple of its nominal boot time after which a machine that is not up is terminated, or
/// [`BOOT_LATE_FACTOR`] times the median boot time of its type and zone if that is longer.
pub const BOOT_FAILED_FACTOR: f64 = 4.0;
/// Multiple of its nominal boot time up to which a machine that is not up may be kept while most
/// machines of its type and zone are late. Boots may then take several times as long, and a
/// replacement would start over.
pub const BOOT_FAILED_FACTOR_WHILE_LATE: f64 = 8.0;
/// ms added to each multiple of a nominal boot time, for types that boot very fast.
pub const BOOT_GRACE_MS: Millis = 10_000;
/// Boot time in s assumed for a machine whose type the cloud no longer lists.
pub const DEFAULT_BOOT_S: f64 = 60.0;
/// Number of most recent machines of a type and zone that decide whether its boots are late.
pub const BOOT_SAMPLES: usize = 8;
/// ms for which the boot time of a machine stays a sample.
pub const BOOT_SAMPLE_TTL_MS: Millis = 300_000;
/// Minimum number of samples for a median boot time, and of late machines in a type and zone for
/// its boots to count as late.
pub const MIN_BOOT_SAMPLES: usize = 4;
/// Minimum number of late machines in a type and zone for its boots to count as late, as a share of
/// all machines. When the other machines of a zone have been given up, the few left that never
/// booted must not make it count as late.
pub const MIN_LATE_SHARE: f64 = 0.03;
/// Number of machines of a type and zone with late boots that are provisioned at a time, to test
/// whether boots work again.
pub const BOOT_TRIAL_MACHINES: usize = 4;
/// ms between two trials in a type and zone with late boots: booting a few machines in vain costs
/// less than a minute of waiting.
pub const BOOT_TRIAL_INTERVAL_MS: Millis = 20_000;

// Heartbeats and failure detection.

/// Maximum time between two heartbeats of a healthy worker, as a multiple of the heartbeat
/// interval. Set by the protocol.
pub const HEARTBEAT_JITTER_FACTOR: f64 = 1.25;
/// ms added to the maximum time between heartbeats to get the silence after which a machine is
/// overdue. The other nodes are then told, so that they relay its worker's heartbeats.
pub const OVERDUE_MARGIN_MS: Millis = 500;
/// ms added to the maximum time between heartbeats to get the silence after which a machine is
/// probed. Allows for a heartbeat in flight or one lost packet.
pub const PROBE_MARGIN_MS: Millis = 2_000;
/// ms after a failover at which an unreconciled machine counts as overdue. The new leader has
/// probed it immediately.
pub const UNRECONCILED_OVERDUE_MS: Millis = 1_000;
/// Maximum bytes of the names of overdue machines that are sent to other nodes once a second: about
/// ten thousand names, half of a frame between nodes.
pub const MAX_OVERDUE_BYTES: usize = 128 * 1024;
/// Overhead in bytes of a machine name in a frame between nodes.
pub const OVERDUE_NAME_OVERHEAD_BYTES: usize = 3;
/// ms for which a machine is probed before it is given up: two calls of 2.5 s. The default of
/// `silence_s` adds this to the time until probing begins.
pub const PROBING_TIMEOUT_MS: Millis = 6_000;
/// ms after which a new leader gives up an unreconciled machine that has also left two calls
/// unanswered. A live machine answers the first within a second, and all inherited jobs wait
/// meanwhile.
pub const RECONCILE_TIMEOUT_MS: Millis = 3_500;
/// Share of the machines in reachable zones that may be silent. If more are, the fault is taken to
/// be this node's.
pub const MAX_SILENT_SHARE: f64 = 0.5;
/// Minimum number of machines for [`MAX_SILENT_SHARE`] to apply, and in a zone for the zone to
/// count as unreachable.
pub const MIN_MACHINES_FOR_OUTAGE: usize = 3;
/// Number of unanswered direct calls into a zone since its last heartbeat, after which it may count
/// as unreachable. In a zone with few machines, [`MIN_UNANSWERED_CALLS`] per machine are enough.
pub const ZONE_UNANSWERED_CALLS: u32 = 12;
/// ms without a heartbeat from a zone after which it may count as unreachable: allows for two lost
/// packets and their retransmission.
pub const ZONE_UNREACHABLE_AFTER_MS: Millis = 3_000;
/// Maximum number of open direct calls into a zone that has left [`ZONE_UNANSWERED_CALLS`]
/// unanswered; probes beyond it wait. Each call lasts for its whole timeout and delays probes into
/// other zones.
pub const MAX_PROBES_PER_UNREACHABLE_ZONE: usize = 8;
/// ms for which machines of an unreachable zone are kept, without tasks, after their lease has
/// expired. This costs about as much as a boot and the cloud's minimum charge for a machine.
pub const UNREACHABLE_ZONE_GRACE_MS: Millis = 60_000;
/// Maximum ms between two ticks. After a longer gap this node was itself suspended or stalled, and
/// received nothing meanwhile.
pub const MAX_TICK_GAP_MS: Millis = 2_000;
/// ms added to a worker's lease before it counts as expired, for late responses (4 s) and clock
/// drift.
pub const WORKER_LEASE_MARGIN_MS: Millis = 5_000;

// Commands and direct calls.

/// Number of times a launch is sent before a machine that keeps sending heartbeats but ignores it
/// counts as faulty.
pub const MAX_IGNORED_LAUNCHES: u32 = 3;
/// Minimum ms since a launch was first sent before a machine counts as ignoring it. A worker that
/// missed a response sends another heartbeat within 5 s.
pub const IGNORED_LAUNCHES_MS: Millis = 8_000;
/// Minimum number of unanswered direct calls before silence is blamed on the machine rather than on
/// this node.
pub const MIN_UNANSWERED_CALLS: u32 = 2;
/// Maximum number of open probes. A new leader probes the whole fleet and has little CPU time for
/// it.
pub const MAX_OPEN_PROBES: usize = 96;
/// ms before a machine is probed that has just sent a heartbeat with an older token. Once it has
/// the current token, it sends another heartbeat within half a second on its own.
pub const NEW_MACHINE_PROBE_DELAY_MS: Millis = 2_000;
/// Minimum number of ended attempts on a machine for which forget commands are sent on their own
/// rather than along with other commands. Each change to a worker's list of tasks costs a
/// heartbeat.
pub const MIN_FORGET_BATCH: usize = 8;
/// ms before a stop command is sent again by a direct call for a task that has not ended. Heartbeat
/// responses repeat it every time.
pub const STOP_RETRY_MS: Millis = 2_000;

// Failures of jobs and machines.

/// ms of backoff for a job after a task was refused or stopped.
pub const REFUSED_BACKOFF_MS: Millis = 1_000;
/// ms of the first backoff of a quarantined job; doubles with each failed trial.
pub const FAILURE_BACKOFF_MS: Millis = 1_000;
/// Maximum ms of backoff of a quarantined job.
pub const MAX_FAILURE_BACKOFF_MS: Millis = 60_000;
/// ms for which a job avoids a machine on which it failed. The fault may be temporary, and no job
/// may wait 90 s while there is capacity.
pub const FAILED_MACHINE_AVOIDANCE_MS: Millis = 45_000;
/// Number of different machines on which a job must fail for the job to be quarantined instead of
/// the machines.
pub const JOB_QUARANTINE_MACHINES: usize = 3;
/// A task counts as healthy once it has run for this many ms more than twice the longest failed run
/// of its job. The margin is the time between two heartbeats of a machine.
pub const HEALTHY_RUN_MARGIN_MS: Millis = 3_000;
/// Maximum number of a job's tasks that are searched for a healthy one.
pub const HEALTHY_RUN_SCAN_LIMIT: usize = 64;
/// ms for which a quarantined job waits for a machine on which other tasks have succeeded, before
/// it is tried on any. After a failover, or in a fleet that runs nothing else, there may be no such
/// machine.
pub const PROVEN_MACHINE_WAIT_MS: Millis = 10_000;
/// Number of different jobs that must fail on a machine for it to get no more tasks and be
/// terminated.
pub const MACHINE_QUARANTINE_JOBS: usize = 2;
/// ms of probation after a task failed on a machine, during which the machine gets no tasks.
/// Meanwhile the tasks that it still runs and the job's tasks elsewhere show which is at fault.
pub const MACHINE_PROBATION_MS: Millis = 15_000;
/// Multiple of the mean run time of a job's other tasks above which a task counts against its
/// machine. Machines of one type differ by a tenth, tasks of one job by more.
pub const SLOW_FACTOR: f64 = 2.0;
/// Minimum number of completed tasks of a job for a mean run time.
pub const SLOW_MIN_SAMPLES: u32 = 2;
/// Number of consecutive slow tasks after which a machine gets no more tasks.
pub const SLOW_MACHINE_TASKS: u32 = 3;

// Stored records.

/// ms between two writes of the same record shard of results. Machines keep results until they are
/// stored.
pub const RESULTS_WRITE_INTERVAL_MS: Millis = 2_000;
/// ms between two writes of the same record shard of the machine set if machines are only removed
/// from it. Nothing waits for such a write, and many removals are combined.
pub const MACHINE_SET_WRITE_INTERVAL_MS: Millis = 5_000;
/// Overhead in bytes of an entry of a stored value, beside its name: quotes, commas and flags.
pub const ENTRY_OVERHEAD_BYTES: usize = 24;
/// Share of the size limit up to which a stored value is filled.
pub const VALUE_FILL_FACTOR: f64 = 0.9;
/// Tasks per chunk of results as written by earlier versions and still read: one bit per task, 2
/// KiB, less than 3 KiB as text. The text alone exceeds a limit of 2 KiB.
pub const LEGACY_CHUNK_TASKS: u32 = 16_384;
/// Tasks per chunk of results: 0.7 KiB as text, which fits the smallest limit, 1 KiB.
pub const CHUNK_TASKS: u32 = 4_096;
/// Index of the first chunk of a job with several chunks. In legacy chunks this index lies far
/// beyond the last task of any job, so versions that know only legacy chunks ignore it.
pub const FIRST_CHUNK_INDEX: u32 = 1_000;

// Load balancing.

/// ms between two observations of the machines' loads. A single heartbeat changes the load of one
/// machine, so observing more often gains little.
pub const BALANCE_INTERVAL_MS: Millis = 1_000;
/// ms between two log lines that summarize the balance of the cluster.
pub const BALANCE_LOG_INTERVAL_MS: Millis = 60_000;
/// Share of the CPUs that are up above which the demand of jobs without capacity prevents new
/// moves. A few jobs that wait for a boot are no overload.
pub const OVERLOAD_SHARE: f64 = 0.1;
/// ms after a failover during which no moves begin. A new leader knows neither how long tasks have
/// run nor which machines are healthy.
pub const MOVES_DELAY_AFTER_FAILOVER_MS: Millis = 30_000;
