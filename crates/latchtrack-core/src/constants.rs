//! Every constant of the core that others may want to know, each with its unit and its reason.

use crate::Millis;

// Amounts.

/// Slack when sums of CPUs, GPUs or GB are compared: amounts are decimal numbers, their sums are
/// not exact.
pub const AMOUNT_TOLERANCE: f64 = 1e-6;

// Scores.

/// Weight of free CPUs in a machine's score (Eq. 5: the weights of CPUs and memory add up to 1; 0.8
/// is the paper's choice, section 6.6).
pub const ALPHA: f64 = 0.8;
/// Weight of free memory in a machine's score (Eq. 5, section 6.6).
pub const BETA: f64 = 0.2;
/// Weight of free GPUs, which the paper does not have: keeps machines with GPUs for the jobs that
/// need them.
pub const GAMMA: f64 = 1.0;

// The scheduling cycle.

/// Least ms between two cycles; what a single heartbeat frees is filled at once.
pub const MIN_CYCLE_INTERVAL_MS: Millis = 100;
/// ms after which there is a cycle though nothing has changed: deadlines come closer.
pub const MAX_CYCLE_INTERVAL_MS: Millis = 1_000;
/// Tasks that start together; an array starts in whole slices. Its tasks are independent of each
/// other, so one is the slice that leaves least capacity unused.
pub const SLICE: u32 = 1;
/// Jobs of the queue that backfill considers to find one whose image the machine holds: a fetch
/// keeps capacity busy for a tenth of a run and more, a few places in the queue cost seconds.
pub const IMAGE_LOOKAHEAD_JOBS: usize = 8;
/// Greatest start objective, in ms, for which jobs wait for a machine with their image: what the
/// largest image takes to fetch. A longer one is met whether a fetch is needed or not.
pub const MAX_START_OBJECTIVE_MS: Millis = 10_000;
/// Bits of an attempt number below the fencing token: 16 million launches in one term. Leaders of
/// other versions read attempt numbers, so this never changes.
pub const ATTEMPT_BITS: u32 = 24;
/// Most tasks of a job (the protocol's bound).
pub const MAX_TASKS: u32 = 100_000;

// Reservations and starvation. Users are promised that no job waits for 90 s where there is
// capacity.

/// ms for which a job may find no capacity before machines are reserved for it, so that smaller
/// jobs stop taking what comes free.
pub const RESERVE_AFTER_MS: Millis = 2_000;
/// ms for which a job may find no capacity before it uses what is reserved for others: no machine
/// may be withheld from a job that has waited for 90 s.
pub const RESERVATION_IGNORED_AFTER_MS: Millis = 60_000;
/// ms after which a job of which nothing has begun is starving and gets one slice before all
/// others: however large it is and however often it is deferred, it is to begin within four minutes
/// at the latest. The rest of these is left for capacity to come free; earlier, it would take
/// capacity from jobs in time.
pub const STARVATION_MS: Millis = 150_000;
/// ms after that until a machine is reserved exclusively for it: where its tasks are larger than
/// the others, capacity for one of them never comes free by itself.
pub const STARVATION_RESERVE_DELAY_MS: Millis = 20_000;
/// Part of the cluster's CPUs that best-effort jobs get before deferred ones, from
/// [`STARVATION_MS`] on: enough to have most of them done some minutes after an overload began, too
/// little to make many other jobs late.
pub const BEST_EFFORT_SHARE: f64 = 0.25;

// Gangs.

/// ms for which a gang finds too little capacity, or too little under its team's limit, before what
/// is missing is reserved for it alone: it never comes free all at once while others take it task
/// by task.
pub const GANG_STARVATION_MS: Millis = 30_000;
/// ms for which its team's limit is then reserved for it while its machines boot: the team's other
/// jobs wait that long, and none may wait for 90 s.
pub const GANG_QUOTA_RESERVATION_MS: Millis = 45_000;
/// ms since the last gang of an equivalence class for which capacity for another is kept ready:
/// some minutes, for what comes a few times a minute.
pub const GANG_RESERVE_TTL_MS: Millis = 120_000;
/// ms of backoff for a gang whose tasks were not complete in time: by then the images are there.
pub const GANG_INCOMPLETE_BACKOFF_MS: Millis = 1_000;
/// ms for which a task of an ended attempt may go on fetching its image: the next attempt needs it
/// there, and an aborted fetch begins anew. Bounded, since the gang waits meanwhile.
pub const FETCH_GRACE_MS: Millis = 30_000;
/// s added to what a task needs for a checkpoint when a whole gang is stopped: commands take time
/// to arrive.
pub const STOP_GRACE_S: f64 = 1.0;

// Provisioning and termination.

/// ms for which an empty spot machine is kept (the design's starting value).
pub const SPOT_IDLE_TIMEOUT_MS: Millis = 20_000;
/// ms for which an empty on-demand machine is kept.
pub const ON_DEMAND_IDLE_TIMEOUT_MS: Millis = 4_000;
/// ms for which a job finds no capacity before a spot machine is provisioned for it.
pub const SPOT_PROVISION_DELAY_MS: Millis = 0;
/// ms for which a job finds no capacity before an on-demand machine is provisioned for it: it costs
/// three times as much.
pub const ON_DEMAND_PROVISION_DELAY_MS: Millis = 8_000;
/// ms for which an offer that had no machine is not asked for again, unless one of ours is
/// terminated: requests in vain use up the call rate that others need.
pub const OFFER_EXHAUSTED_MS: Millis = 10_000;
/// Provision requests that may be open at once: more would only wait for the cloud's call rate.
pub const MAX_OPEN_PROVISIONS: usize = 4;
/// Machines in one provision request (the cloud's own bound).
pub const MAX_MACHINES_PER_PROVISION: u32 = 50;
/// ms between two requests for the cloud's list of machines: it shows orphans and failed machines.
pub const LIST_INTERVAL_MS: Millis = 20_000;
/// The same while machines are silent: one that the list lacks was preempted.
pub const LIST_INTERVAL_WHILE_SILENT_MS: Millis = 2_500;
/// ms beyond twice the lists' own delay after which every list has a machine: for the pages of one
/// list, and for the answer to its provision request.
pub const LIST_MARGIN_MS: Millis = 9_000;
/// Names of terminated machines that are remembered in a term, so that late copies of their
/// heartbeats don't bring them back: some hours of a fleet that changes every few minutes; about 2
/// MB.
pub const MAX_TERMINATED_NAMES: usize = 16_384;

// Boots.

/// Times its boot time after which a machine that is not up is no longer counted on.
pub const BOOT_LATE_FACTOR: f64 = 2.0;
/// Times its boot time after which a machine that is not up is terminated.
pub const BOOT_FAILED_FACTOR: f64 = 4.0;
/// The same while most machines of its type and zone are late: boots may take several times as long
/// then, and to terminate a machine is to begin again.
pub const BOOT_FAILED_FACTOR_WHILE_LATE: f64 = 8.0;
/// ms added to these, for types that boot very fast.
pub const BOOT_GRACE_MS: Millis = 10_000;
/// s that a machine is taken to boot whose type the cloud no longer lists.
pub const DEFAULT_BOOT_S: f64 = 60.0;
/// The last machines of a type in a zone by which its boots are judged.
pub const BOOT_SAMPLES: usize = 8;
/// ms for which each of them counts.
pub const BOOT_SAMPLE_TTL_MS: Millis = 300_000;
/// Fewest of them that allow a judgement.
pub const MIN_BOOT_SAMPLES: usize = 4;
/// Part of all machines that must be missing as well: where the others of a zone were given up, the
/// few whose boots never ended are all that is left of it.
pub const MIN_MISSING_SHARE: f64 = 0.03;
/// Machines of a type and zone with late boots that are provisioned at a time to see whether boots
/// work again.
pub const BOOT_TRIAL_MACHINES: usize = 4;
/// ms between two such trials: a few boots cost less than a minute of waiting.
pub const BOOT_TRIAL_INTERVAL_MS: Millis = 20_000;

// Heartbeats and failure detection.

/// Times the heartbeat interval that may pass between two heartbeats of a healthy worker (the
/// protocol's bound).
pub const HEARTBEAT_JITTER_FACTOR: f64 = 1.25;
/// ms after that until the other nodes are told, so that they relay what a worker sends to them.
pub const OVERDUE_MARGIN_MS: Millis = 500;
/// ms after that until a machine is probed: for a heartbeat on its way, or one lost packet.
pub const PROBE_MARGIN_MS: Millis = 2_000;
/// ms after a failover until an unreconciled machine, which was probed at once, counts as overdue.
pub const UNRECONCILED_OVERDUE_MS: Millis = 1_000;
/// Bytes of names of overdue machines told to other nodes at most, once a second: ten thousand
/// names of usual length, half of a frame between nodes.
pub const MAX_OVERDUE_BYTES: usize = 128 * 1024;
/// Bytes that a name takes in a frame beside its characters.
pub const OVERDUE_NAME_BYTES: usize = 3;
/// ms for which a machine is probed, two calls of 2.5 s, before it is given up (default of
/// `silence_s`, on top of the time until probing begins).
pub const PROBING_TIMEOUT_MS: Millis = 6_000;
/// ms for which a new leader waits for an unreconciled machine before it gives it up, if two calls
/// got no answer either: a live one answers the first within a second, and all inherited jobs wait
/// meanwhile.
pub const RECONCILE_TIMEOUT_MS: Millis = 3_500;
/// Share of the machines outside of unreachable zones that may be silent before the silence is
/// taken for a fault of this node.
pub const MAX_SILENT_SHARE: f64 = 0.5;
/// Machines below which neither that share nor an unreachable zone allows a judgement.
pub const MIN_MACHINES_FOR_OUTAGE: usize = 3;
/// Direct calls into a zone without an answer, since anything was heard of it, after which it
/// counts as unreachable; two a machine are enough where it has few.
pub const ZONE_UNANSWERED_CALLS: u32 = 12;
/// ms without a message from a zone after which it counts as unreachable: two lost packets, resent.
pub const ZONE_UNREACHABLE_AFTER_MS: Millis = 3_000;
/// Probes open into a zone with that many unanswered calls: each is open for its whole timeout, and
/// those that would be answered elsewhere wait behind it.
pub const MAX_PROBES_PER_UNREACHABLE_ZONE: usize = 8;
/// ms for which machines of an unreachable zone are kept beyond their lease, without tasks: about
/// what a boot and the least that the cloud charges for a machine cost.
pub const UNREACHABLE_ZONE_GRACE_MS: Millis = 60_000;
/// ms between two ticks above which this node itself was suspended or stalled, and heard nobody.
pub const MAX_TICK_GAP_MS: Millis = 2_000;
/// ms added to a worker's lease before it counts as expired: late answers (4 s) and clock drift.
pub const WORKER_LEASE_MARGIN_MS: Millis = 5_000;

// Commands and direct calls.

/// Sends of a launch that a machine, whose heartbeats go on, does not take before it counts as
/// faulty.
pub const MAX_IGNORED_LAUNCHES: u32 = 3;
/// ms since the first of them: a worker whose answer was lost asks again within 5 s.
pub const IGNORED_LAUNCHES_MS: Millis = 8_000;
/// Direct calls without an answer before the silence is the machine's and not this node's.
pub const MIN_UNANSWERED_CALLS: u32 = 2;
/// Probes open at once: a new leader probes a whole fleet, and has little of a processor.
pub const MAX_OPEN_PROBES: usize = 96;
/// ms until a machine is probed that has just sent a heartbeat with an older token: once it has our
/// token it sends another within half a second by itself.
pub const NEW_MACHINE_PROBE_DELAY_MS: Millis = 2_000;
/// Ended attempts on a machine that are forgotten without another command to go with: each change
/// of what a worker lists costs a heartbeat.
pub const MIN_FORGET_BATCH: usize = 8;
/// ms between two stops of the same task while it does not end.
pub const STOP_RETRY_MS: Millis = 2_000;

// Failures of jobs and machines.

/// ms of backoff for a task that was refused or stopped.
pub const REFUSED_BACKOFF_MS: Millis = 1_000;
/// ms of the first backoff of a failing job; doubles with each further failed trial.
pub const FAILURE_BACKOFF_MS: Millis = 1_000;
/// Most ms of backoff of a failing job.
pub const MAX_FAILURE_BACKOFF_MS: Millis = 60_000;
/// ms for which a job avoids a machine on which it failed: a fault may pass, and no job is to wait
/// for 90 s where there is capacity.
pub const FAILED_MACHINE_AVOIDANCE_MS: Millis = 45_000;
/// Different machines on which a job fails before the job, not the machines, is quarantined.
pub const JOB_QUARANTINE_MACHINES: usize = 3;
/// ms for which a task must have run, beside twice what the failed ones of its job did, to count as
/// healthy: the time between two heartbeats of a machine.
pub const HEALTHY_RUN_MARGIN_MS: Millis = 3_000;
/// Tasks of a job among which a healthy one is looked for.
pub const HEALTHY_RUN_SCAN_LIMIT: usize = 64;
/// ms for which a quarantined job waits for a machine where others have succeeded before it is
/// tried anywhere: after a failover, or in a fleet that runs nothing else, no machine has proven
/// itself.
pub const PROVEN_MACHINE_WAIT_MS: Millis = 10_000;
/// Different jobs failing on a machine before it gets no more tasks and is terminated.
pub const MACHINE_QUARANTINE_JOBS: usize = 2;
/// ms of probation, in which a machine gets no task after one failed on it: until then other jobs
/// show whether it was at fault.
pub const MACHINE_PROBATION_MS: Millis = 15_000;
/// Times the mean run time of its job's other tasks after which a task counts against its machine.
/// Machines of a type differ by a tenth, tasks of a job by more.
pub const SLOW_FACTOR: f64 = 2.0;
/// Done tasks of a job that make a mean.
pub const SLOW_MIN_SAMPLES: u32 = 2;
/// Tasks in a row that count against a machine before it is slow and gets no more.
pub const SLOW_MACHINE_TASKS: u32 = 3;

// Stored records.

/// ms between two writes of the same record shard of results: a machine keeps what is not stored
/// yet.
pub const RESULTS_WRITE_INTERVAL_MS: Millis = 2_000;
/// ms between two writes of the same record shard of the machine set when machines are only to be
/// removed from it: nothing waits for that, and many are removed together.
pub const MACHINE_SET_WRITE_INTERVAL_MS: Millis = 5_000;
/// Bytes that the entries of a stored value take beside their names: quotes, commas, flags.
pub const ENTRY_BYTES: usize = 24;
/// Part of a stored value's bound that is filled.
pub const VALUE_FILL_FACTOR: f64 = 0.9;
/// Tasks in one chunk of results as earlier versions wrote it, still read: 1 bit each, 2 KiB, less
/// than 3 KiB as text. As text it alone exceeds a limit of 2 KiB.
pub const LEGACY_CHUNK_TASKS: u32 = 16_384;
/// Tasks in one chunk of results: 0.7 KiB as text, within the least limit of 1 KiB.
pub const CHUNK_TASKS: u32 = 4_096;
/// Index of the first chunk of a job that needs several. Counted in legacy chunks it begins far
/// beyond the last task of any job, so that versions that know no other ignore it.
pub const FIRST_CHUNK_INDEX: u32 = 1_000;

// Load balancing.

/// ms between two looks at the loads of the machines: a heartbeat changes a few of them.
pub const BALANCE_INTERVAL_MS: Millis = 1_000;
/// ms between two log lines that sum up the balance of the cluster.
pub const BALANCE_LOG_INTERVAL_MS: Millis = 60_000;
/// Part of the CPUs that are up for which jobs must wait in vain for nothing to move: a few jobs
/// that wait for a boot are no overload.
pub const OVERLOAD_SHARE: f64 = 0.1;
/// ms after a failover in which nothing moves: until then a leader knows neither how long tasks
/// have run nor which machines are healthy.
pub const MOVES_DELAY_AFTER_FAILOVER_MS: Millis = 30_000;
