//! Every constant of the core, each with its unit and its reason.

use crate::Millis;

/// Slack when sums of CPUs, GPUs or GB are compared: amounts are decimal numbers, their sums are not exact.
pub const AMOUNT_ROUNDING: f64 = 1e-6;

/// Weight of free cores in a machine's score (Eq. 5: the two weights add up to 1; 0.8 is the
/// paper's choice, section 6.6).
pub const ALPHA: f64 = 0.8;
/// Weight of free memory in a machine's score (Eq. 5, section 6.6).
pub const BETA: f64 = 0.2;
/// Weight of free GPUs; ours: keeps machines with GPUs for the jobs that need them.
pub const GAMMA: f64 = 1.0;
/// Tasks that start together; an array goes in whole slices. Tasks of a batch are independent, so
/// one is the slice that leaves least room unused.
pub const SLICE: u32 = 1;
/// ms an empty machine is kept before it goes back (the design's starting value).
pub const SPOT_IDLE_TIMEOUT_MS: Millis = 20_000;
/// ms an empty ordinary machine is kept.
pub const ON_DEMAND_IDLE_TIMEOUT_MS: Millis = 4_000;
/// ms a job may be passed over before smaller jobs stop taking its room.
pub const RESERVE_AFTER_MS: Millis = 2_000;
/// ms a job may be passed over before it takes room that is kept for others: a machine may not have room
/// for somebody who waits for 90 s.
pub const RESERVATION_IGNORED_AFTER_MS: Millis = 60_000;
/// ms a job finds no room before a spot machine is rented for it.
pub const SPOT_PROVISION_DELAY_MS: Millis = 0;
/// ms a job finds no room before an ordinary machine is rented for it: three times the price.
pub const ON_DEMAND_PROVISION_DELAY_MS: Millis = 8_000;
/// ms a (type, zone, kind) that had no machine is left alone, unless one of ours goes back: asking
/// in vain uses up the call rate that rentals and returns need.
pub const OFFER_EXHAUSTED_MS: Millis = 10_000;
/// Rentals that may be open at once: more would only wait in line for the cloud's call rate.
pub const MAX_OPEN_PROVISIONS: usize = 4;
/// Machines in one rental call (the cloud's own bound).
pub const MAX_MACHINES_PER_PROVISION: u32 = 50;
/// Times `report_s` that may pass between two reports of a healthy worker (the protocol's bound).
pub const HEARTBEAT_JITTER_FACTOR: f64 = 1.25;
/// ms after that until the other nodes are told, so that they pass on what a worker says to them.
pub const OVERDUE_MARGIN_MS: Millis = 500;
/// ms after that until a machine is asked directly: a report on its way, or one lost packet.
pub const PROBE_MARGIN_MS: Millis = 2_000;
/// The same for machines that a new leader has asked directly.
pub const UNRECONCILED_OVERDUE_MS: Millis = 1_000;
/// Bytes of the names told to them at most, once a second: ten thousand machines with names as they are
/// usual, half of a frame between nodes.
pub const MAX_OVERDUE_BYTES: usize = 128 * 1024;
/// Bytes that a name takes in a frame beside its characters.
pub const OVERDUE_NAME_BYTES: usize = 3;
/// ms a machine is asked directly, two calls of 2.5 s, before it is deleted and its tasks go
/// elsewhere (default of `silence_s`, on top of when the asking begins).
pub const PROBING_TIMEOUT_MS: Millis = 6_000;
/// ms a new leader waits for a machine of its predecessor before it deletes it, if two calls got no
/// answer either: a live one answers the first within a second, and all older jobs wait meanwhile.
pub const RECONCILE_TIMEOUT_MS: Millis = 3_500;
/// ms between two looks at the cloud's list: it shows orphans and failed machines.
pub const LIST_INTERVAL_MS: Millis = 20_000;
/// The same while machines are silent: one that the list no longer has was taken back.
pub const LIST_INTERVAL_WHILE_SILENT_MS: Millis = 2_500;
/// ms beyond twice the lists' own delay since its rental after which every list has a machine: the
/// pages of one, each in its turn, and what the rental's answer took.
pub const LIST_MARGIN_MS: Millis = 9_000;
/// Share of the machines outside of cut zones that may be silent before silence is held to be our
/// own fault.
pub const MAX_SILENT_SHARE: f64 = 0.5;
/// Machines below which neither the share above nor a quiet zone says anything.
pub const MIN_MACHINES_TO_JUDGE: usize = 3;
/// Direct calls into a zone that must have ended without an answer since anything was heard of it
/// before it counts as quiet; two a machine are enough where it has few.
pub const ZONE_UNANSWERED_CALLS: u32 = 12;
/// ms without a word from a zone before it counts as quiet: two lost packets, sent again.
pub const ZONE_UNREACHABLE_AFTER_MS: Millis = 3_000;
/// Questions open into a zone that has not answered so many: each holds its place for its whole
/// timeout, and those that would answer elsewhere wait behind it.
pub const MAX_PROBES_PER_UNREACHABLE_ZONE: usize = 8;
/// ms for which machines of a quiet zone are kept beyond their lease, without tasks: what a boot and
/// the least that the cloud charges for a machine come to.
pub const UNREACHABLE_ZONE_GRACE_MS: Millis = 60_000;
/// ms between two ticks above which we ourselves were away, suspended or standing still: nobody was
/// listened to meanwhile.
pub const MAX_TICK_GAP_MS: Millis = 2_000;
/// ms added to a worker's lease before it counts as run out: late answers (4 s) and drift.
pub const WORKER_LEASE_MARGIN_MS: Millis = 5_000;
/// Times its boot time after which a machine that is not up is no longer counted on.
pub const BOOT_LATE_FACTOR: f64 = 2.0;
/// Times its boot time after which a machine that is not up is returned.
pub const BOOT_FAILED_FACTOR: f64 = 4.0;
/// The same while most of its kind are late: "several times as long" may be longer, and whoever gives it
/// back begins again.
pub const BOOT_FAILED_FACTOR_WHILE_LATE: f64 = 8.0;
/// ms added to these, for types that boot in no time.
pub const BOOT_GRACE_MS: Millis = 10_000;
/// s that a boot of a type is taken to last that the cloud does not name any more.
pub const DEFAULT_BOOT_S: f64 = 60.0;
/// Rentals of a type in a zone by which its boots are judged, the last so many of which something can be
/// told, for so many ms, and the fewest that say anything.
pub const BOOT_SAMPLES: usize = 8;
pub const BOOT_SAMPLE_TTL_MS: Millis = 300_000;
pub const MIN_BOOT_SAMPLES: usize = 4;
/// Part of all machines that must be missing as well: where the others of a zone were given up, the few
/// whose boots never ended are all that is left of it.
pub const MIN_MISSING_SHARE: f64 = 0.03;
/// Machines of a type and zone with late boots that are rented, and given back, at a time to see whether
/// the trouble is over, and ms between two times: a few boots would cost less than one minute of waiting.
pub const BOOT_TRIAL_MACHINES: usize = 4;
pub const BOOT_TRIAL_INTERVAL_MS: Millis = 20_000;
/// ms a task that was refused or stopped waits before it is placed again.
pub const REFUSED_BACKOFF_MS: Millis = 1_000;
/// ms a gang whose tasks were not complete in time waits before its next attempt: the images are there now.
pub const GANG_INCOMPLETE_BACKOFF_MS: Millis = 1_000;
/// ms for which a task of an ended attempt may go on fetching its image: the next attempt needs it there,
/// and a fetch that is given up begins anew. Bounded, since the gang waits meanwhile.
pub const FETCH_GRACE_MS: Millis = 30_000;
/// ms a gang finds no room, or not enough under its team's limit, before what is missing is kept for it
/// alone: its room never comes free by itself while others take it task by task.
pub const GANG_STARVATION_MS: Millis = 30_000;
/// ms for which a team's limit is then kept for it while its machines boot: its team's other jobs wait as long, and
/// nobody is to wait for 90 s.
pub const GANG_QUOTA_RESERVATION_MS: Millis = 45_000;
/// ms since the last gang of a shape for which room for another is kept: some minutes of what comes a few
/// times a minute.
pub const GANG_RESERVE_TTL_MS: Millis = 120_000;
/// s added to what a task needs to save when a whole gang is told to stop: the way of the commands.
pub const STOP_GRACE_S: f64 = 1.0;
/// ms the first pause of a failing job lasts; doubles with each further machine.
pub const FAILURE_BACKOFF_MS: Millis = 1_000;
/// ms the pause of a failing job lasts at most.
pub const MAX_FAILURE_BACKOFF_MS: Millis = 60_000;
/// ms for which a job keeps off a machine on which it failed: a fault may pass, and nobody is to wait for
/// 90 s where there is room.
pub const FAILED_MACHINE_AVOIDANCE_MS: Millis = 45_000;
/// Different machines on which a job fails before the job, not the machines, is suspected.
pub const JOB_QUARANTINE_MACHINES: usize = 3;
/// ms for which a task must have run, beside twice what the failed ones of its job did, to speak for
/// the job: between two reports of a machine.
pub const HEALTHY_RUN_MARGIN_MS: Millis = 3_000;
/// Tasks of a job that are looked at for one that does well.
pub const HEALTHY_RUN_SCAN_LIMIT: usize = 64;
/// ms a suspect job waits for a place where others have succeeded before it is tried anywhere: after a
/// take-over, or in a fleet that does nothing else, no machine has shown that it is sound.
pub const TRIAL_ANYWHERE_MS: Millis = 10_000;
/// Different jobs failing on a machine before it gets no more tasks and goes back.
pub const MACHINE_QUARANTINE_JOBS: usize = 2;
/// ms a machine gets no task after a task failed on it while other jobs have not yet judged it.
pub const MACHINE_PROBATION_MS: Millis = 15_000;
/// Times the mean run time of its job's other tasks after which a task speaks against its machine.
/// Machines of a type differ by a tenth, tasks of a job by more.
pub const SLOW_FACTOR: f64 = 2.0;
/// Done tasks of a job that make a mean.
pub const SLOW_MIN_SAMPLES: u32 = 2;
/// Tasks in a row that speak against a machine before it gets no more.
pub const SLOW_VOTES: u32 = 3;
/// Sends of a launch that the machine, reporting on, does not take before it counts as deaf.
pub const MAX_IGNORED_LAUNCHES: u32 = 3;
/// ms since the first of them: a worker whose answer was lost asks again within 5 s.
pub const IGNORED_LAUNCHES_MS: Millis = 8_000;
/// Direct calls without an answer before silence counts as the machine's and not as ours.
pub const MIN_UNANSWERED_CALLS: u32 = 2;
/// Direct calls without commands open at once: a new leader asks a whole fleet, and has little of
/// a processor.
pub const MAX_OPEN_PROBES: usize = 96;
/// ms until a machine that has just spoken with an older token is asked directly: on hearing ours
/// it speaks again within half a second by itself.
pub const NEW_MACHINE_PROBE_DELAY_MS: Millis = 2_000;
/// Ended runs on a machine that are forgotten without another command to go with: each change of
/// what a worker lists costs a report.
pub const MIN_FORGET_BATCH: usize = 8;
/// ms after which a job that has not begun gets one slice before all others: however large it is and
/// however often it is deferred, people are to see it begin, within four minutes at the latest. The
/// rest of these is left for a place to come free; sooner, it takes room from jobs in time.
pub const STARVATION_MS: Millis = 150_000;
/// ms after that until a machine is kept free for it: where its tasks are larger than the others, places
/// for one of them never come free by themselves.
pub const STARVATION_RESERVE_DELAY_MS: Millis = 20_000;
/// Part of the cluster's CPUs that idle-time work takes before jobs that can't be in time, from
/// [`STARVATION_MS`] on: enough that most of it is done some minutes after an overload began, too little to
/// make many others late.
pub const BEST_EFFORT_SHARE: f64 = 0.25;
/// ms within which the tasks of a class are to start for it to be a prompt one: what the largest image
/// takes to fetch. An aim above it is met whether a fetch is needed or not.
pub const MAX_START_OBJECTIVE_MS: Millis = 10_000;
/// Jobs of the queue that are looked at for one whose image the machine at hand holds: a fetch keeps
/// room busy for a tenth of a run and more, a few places in the queue are seconds.
pub const IMAGE_LOOKAHEAD_JOBS: usize = 8;
/// ms between two rounds of placing for the whole fleet; what a single report frees is filled at
/// once.
pub const MIN_CYCLE_INTERVAL_MS: Millis = 100;
/// ms after which a round is made though nothing has changed: deadlines come closer.
pub const MAX_CYCLE_INTERVAL_MS: Millis = 1_000;
/// ms between two writes of the same value of results: a machine keeps what is not stored yet.
pub const RESULTS_WRITE_INTERVAL_MS: Millis = 2_000;
/// ms between two writes of the same value of the machine set when machines are only to go out of
/// it: nobody waits for that, and many go together.
pub const MACHINE_SET_WRITE_INTERVAL_MS: Millis = 5_000;
/// Bytes that a stored value's entries take beside their names: quotes, commas, flags.
pub const ENTRY_BYTES: usize = 24;
/// Part of a value's bound that is filled.
pub const VALUE_FILL_FACTOR: f64 = 0.9;
/// Tasks in one stored chunk of results: 1 bit each, 2 KiB, which stays under 3 KiB as text. The earlier
/// unit, still read: as text it is above a limit of 2 KiB by itself.
pub const LEGACY_CHUNK_TASKS: u32 = 16_384;
/// Tasks in one small chunk, the unit that is written: 0.7 KiB as text, within the least limit of 1 KiB.
pub const CHUNK_TASKS: u32 = 4_096;
/// Index of the first small chunk of a job that needs several. By the earlier unit it begins far beyond
/// the last task of any job, so that versions that know no other ignore it.
pub const FIRST_CHUNK_INDEX: u32 = 1_000;
/// Most tasks of a job (the protocol's bound).
pub const MAX_TASKS: u32 = 100_000;
/// Bits of an attempt number below the token: 16 million launches in one term. Leaders of other versions
/// read attempt numbers, so this never changes.
pub const ATTEMPT_BITS: u32 = 24;
/// Names of machines that went in this term, kept so that late copies of their reports do not bring
/// them back: some hours of a fleet that changes every few minutes; about 2 MB.
pub const MAX_TERMINATED_NAMES: usize = 16_384;
/// ms between two looks at the loads of the machines: a report changes a few of them.
pub const BALANCE_INTERVAL_MS: Millis = 1_000;
/// ms between two lines in the log that sum up the balance of the cluster.
pub const BALANCE_LOG_INTERVAL_MS: Millis = 60_000;
/// Part of the CPUs that are up which must be asked for in vain for nothing to move: a few jobs that wait
/// for a boot are no overload.
pub const OVERLOAD_SHARE: f64 = 0.1;
/// ms after a take-over in which nothing moves: until then a leader knows neither how long tasks have run
/// nor which machines are well.
pub const MOVES_DELAY_AFTER_FAILOVER_MS: Millis = 30_000;
/// ms between two stops of the same task while it does not end.
pub const STOP_RETRY_MS: Millis = 2_000;
