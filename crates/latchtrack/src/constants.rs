//! Every constant of the program around the scheduling core, with its unit and its reason. Most
//! are defaults of the operators' settings.

use std::time::Duration;

// Leadership.

/// ms that the leader's lease in the state service lasts. Long enough for a slow answer and two
/// lost renewals, short enough that a crashed leader is followed within seconds: nothing is
/// scheduled meanwhile.
pub const LEADER_LEASE_MS: u64 = 3_000;
/// ms of the shortest lease that works, for settings where the worker lease leaves little of the
/// time within which a cancelled task must have ended.
pub const MIN_LEADER_LEASE_MS: u64 = 1_000;
/// Renewals in the length of a lease.
pub const RENEWALS_PER_LEASE: u64 = 4;
/// ms taken off the lease's local end, for the time that acting itself takes.
pub const LEASE_MARGIN_MS: u64 = 250;
/// The lease's length divided by this is taken off its local end, for the drift of the clocks
/// (0.05%).
pub const CLOCK_DRIFT_DIVISOR: u64 = 1_000;
/// ms after a failed renewal or campaign before the next attempt.
pub const ELECTION_RETRY_MS: u64 = 300;
/// ms after which a request of a campaign is of no use.
pub const ELECTION_REQUEST_WAIT_MS: u64 = 2_000;
/// ms after which a renewal is of no use: two fit into a lease.
pub const RENEWAL_WAIT_MS: u64 = 1_500;
/// ms of random wait before a campaign, so that nodes do not all write at once.
pub const CAMPAIGN_JITTER_MS: u64 = 120;
/// ms for which a node counts as recently started. In a restart of all nodes one by one, those
/// that have been up for longer are the next to stop, so recently started ones campaign first.
pub const RECENT_START_MS: u64 = 90_000;
/// ms by which a node that has been up for longer campaigns later.
pub const LONG_RUNNING_DELAY_MS: u64 = 300;
/// ms for which a node that has resigned does not campaign.
pub const RESIGNED_DELAY_MS: u64 = 20_000;

/// Fraction of the time for a cancellation, after the worker lease, that the leader's lease may
/// take.
pub const MAX_CANCEL_TIME_FRACTION: f64 = 0.9;
/// By this factor a worker's lease may last longer by the local clock, for the drift of the
/// clocks.
pub const CLOCK_DRIFT_FACTOR: f64 = 1.001;
/// s that a worker may take to kill its tasks when its lease ends.
pub const TASK_KILL_S: f64 = 0.5;

// The job cache.

/// ms between two refreshes while leading: a submission waits this long at most before it is
/// placed.
pub const REFRESH_INTERVAL_LEADER_MS: u64 = 100;
/// ms between two refreshes while following: the leader key is in the cache too.
pub const REFRESH_INTERVAL_FOLLOWER_MS: u64 = 250;
/// ms between two refreshes that queries wait for.
pub const REFRESH_INTERVAL_WAITERS_MS: u64 = 40;
/// ms after a failed refresh, or a failed read or write of the leader, before the next.
pub const REFRESH_RETRY_MS: u64 = 250;
/// ms after its start from which a refresh is no answer to those that waited for it: the node
/// stood still, and they have given up.
pub const REFRESH_MAX_AGE_MS: u64 = 4_000;
/// Queries that may wait for one refresh; more are refused.
pub const MAX_REFRESH_WAITERS: usize = 2_000;
/// Refreshes that fail in a row before a node counts as not served by the state service.
pub const UNSERVED_AFTER_FAILURES: u32 = 2;

// Calls of the state service.

/// A read: users wait 2 s for a query.
pub const READ_TIMEOUT: Duration = Duration::from_millis(1_200);
/// A write: users wait 5 s for a submission.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// A renewal; two fit into a lease.
pub const RENEW_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Connecting to anything: region and zones are milliseconds apart.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// ms that a page of a list may wait for its turn and its answer: a list is read when a term
/// starts, and other reads go on meanwhile.
pub const LIST_PAGE_WAIT_MS: u64 = 5_000;
/// Items of one page of a list (the service's own bound).
pub const STORE_PAGE_ITEMS: usize = 1_000;
/// ms that a write of the leader's records may wait for its turn: it goes after all other
/// requests, and one given up is written again.
pub const RECORD_WRITE_WAIT_MS: u64 = 10_000;
/// Calls open at once.
pub const MAX_STORE_CALLS: usize = 12;
/// Requests that may wait for their turn, for each class.
pub const STORE_QUEUE_CAPACITY: usize = 256;
/// ms after which the queues are looked at again at the latest, whatever the budgets say.
pub const MAX_STORE_WAKEUP_MS: u64 = 1_000;
/// Fraction of the limits that is used: this node's clock and the service's may differ in what a
/// second is.
pub const USABLE_LIMIT_FRACTION: f64 = 0.9;
/// ms between two adjustments of what a node may write beyond its own part.
pub const WRITE_SHARE_INTERVAL_MS: u64 = 1_000;
/// By what factor that grows at an adjustment: twice as much within three seconds.
pub const WRITE_SHARE_GROWTH: f64 = 1.3;
/// ms after a refusal in which it does not grow: all nodes need what they have.
pub const WRITE_SHARE_HOLD_MS: u64 = 8_000;
/// Adjustments in a row that find a refusal though the node kept to its part, until the limit
/// counts as lowered: a single one may be another node's burst.
pub const UNEXPLAINED_REFUSALS: u32 = 2;
/// Fraction of a second's writes of all nodes that one may make at once after a pause.
pub const BURST_FRACTION: f64 = 0.5;
/// ms after which a request that was over a limit is sent again.
pub const OVER_LIMIT_RETRY_MS: u64 = 100;
/// Bytes of values in one transaction (the service takes 64 KiB).
pub const MAX_TXN_BYTES: usize = 48 * 1024;
/// Bytes of a refusal's text that are logged.
pub const MAX_LOGGED_REFUSAL_BYTES: usize = 200;
/// Bytes of the largest answer that is read: a page is 512 KiB, a watch has no bound.
pub const MAX_RESPONSE_BYTES: usize = 8 << 20;

// Admission.

/// Submissions, and cancellations, that may wait at a node; more get 503 at once.
pub const ADMISSION_QUEUE_CAPACITY: usize = 400;
/// ms that a submission may wait at a node before it gets 503.
pub const ADMISSION_WAIT_MS: u64 = 3_000;
/// Attempts at a cancellation while others change the record.
pub const CANCEL_ATTEMPTS: usize = 5;

// The scheduler driver, workers and the cloud.

/// ms between two ticks of the scheduler.
pub const TICK_MS: u64 = 200;
/// ms after which the scheduler hears that something was not done for want of a valid lease.
pub const NOT_EXECUTED_DELAY_MS: u64 = 500;
/// Direct calls of workers open at once, whatever the sockets allow: each holds buffers.
pub const MAX_DIRECT_CALLS: usize = 256;
/// A direct call of a worker.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A call of the cloud, which answers in about 0.1 s; a lost packet is sent again within 1 s.
pub const CLOUD_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Calls of the cloud open at once: bounds the sockets for calls that are not answered.
pub const MAX_CLOUD_CALLS: usize = 8;
/// s of its rate that a node may call the cloud at once after a pause: it allows two, and the
/// other nodes may want part of that.
pub const CLOUD_BURST_S: f64 = 1.5;
/// ms between two reads of the machine types and prices.
pub const MACHINE_TYPES_INTERVAL_MS: u64 = 60_000;
/// ms after a failed call of the cloud.
pub const CLOUD_RETRY_MS: u64 = 1_000;
/// Machines that one call terminates (the cloud's own bound).
pub const TERMINATE_BATCH: usize = 100;
/// Machines in one page of the list (the cloud's own bound).
pub const LIST_PAGE_MACHINES: usize = 500;
/// Moves of running tasks that an operator may allow in a minute: ten a second, which is what a
/// leader with a fraction of a core can follow beside its heartbeats.
pub const MAX_MOVES_PER_MINUTE: f64 = 600.0;

/// s of the longest time that an operator or the platform may set: a day.
pub const MAX_SETTING_S: f64 = 86_400.0;

// Between nodes.

/// ms between two messages about the counts of tasks to the other nodes.
pub const PROGRESS_INTERVAL_MS: u64 = 1_000;
/// Jobs in one such message: the rest show as pending on followers. 19 bytes each at most, less
/// than half of a frame; the other half is for the names of overdue machines.
pub const MAX_PROGRESS_JOBS: usize = 6_000;
/// ms between two questions whether the state service serves another node.
pub const PEER_HEALTH_INTERVAL_MS: u64 = 1_000;
/// ms after which an answer to it counts no more.
pub const PEER_HEALTH_MAX_AGE_MS: u64 = 3_500;
/// A request forwarded to another node: users wait 2 s for a query.
pub const FORWARD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// ms for which the heartbeats of a worker that was redirected to the leader, and is back, are
/// forwarded; then it is redirected again.
pub const FORWARD_HEARTBEATS_MS: u64 = 20_000;
/// Workers remembered as redirected, before old ones are dropped: a fleet several times the
/// largest in use after a change of leader, some 80 bytes each.
pub const MAX_REDIRECTED_MACHINES: usize = 16_384;
/// Bytes of the largest frame between nodes.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// Frames waiting for a node, and requests of one that are answered side by side; more are
/// refused. A zone that can't reach the leader has some hundred heartbeats a second forwarded.
pub const PEER_QUEUE_CAPACITY: usize = 256;

// `latchtrack status`.

/// Workers that are asked at a time.
pub const MAX_STATUS_CALLS: usize = 64;
/// Quarantined jobs that a leader names: a status stays well within a frame.
pub const MAX_STATUS_JOBS: usize = 500;

// Connections of users and workers.

/// Bytes of the largest request body (the protocol's bound).
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// A request's body, from its first to its last byte; users give up after 5 s.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// A request's head, from its first to its last byte; users give up after 5 s.
pub const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Fraction of the node's sockets that users and workers may fill. Of the rest, half is for direct
/// calls of workers, some thirty for the state service, the cloud and the other nodes, and those
/// being refused.
pub const CLIENT_SOCKET_FRACTION: f64 = 0.85;
/// Connections beyond that which are refused at a time; more wait for one of these to be closed.
pub const MAX_OPEN_REFUSALS: usize = 32;
/// One such connection, until its refusal is sent.
pub const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Reading on after that, so that closing does not take the answer back.
pub const REFUSAL_LINGER: Duration = Duration::from_millis(100);
/// Bytes of a refused request that are read before it is answered.
pub const REFUSAL_READ_BYTES: usize = 1_024;
/// After a failed accept, which most likely found no free socket.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// s that an idle connection is kept; users poll every 5 s.
pub const KEEP_ALIVE_S: u64 = 60;
/// s that a user is asked to wait when the node cannot answer.
pub const RETRY_AFTER_S: u64 = 1;
/// An idle connection of this node to a service or worker.
pub const CLIENT_KEEP_ALIVE: Duration = Duration::from_secs(30);
/// The longest that such a connection is used.
pub const CLIENT_CONNECTION_LIFETIME: Duration = Duration::from_secs(3_600);
/// Bytes of the longest name in a submission.
pub const MAX_NAME_BYTES: usize = 200;
/// The largest amount in a submission, in any unit: far beyond what any machine has.
pub const MAX_AMOUNT: f64 = 1e9;
/// Messages that an actor's mailbox holds.
pub const MAILBOX_CAPACITY: usize = 1_024;

// Cells that share teams.

/// Prefix of the keys of a cell, with its name and a slash behind it.
pub const CELLS_PREFIX: &str = "cells/";
/// Bytes of the longest name of a cell: the service takes keys of 200 bytes.
pub const MAX_CELL_NAME_BYTES: usize = 64;
/// Bytes of the longest name of a team where cells share teams, for the same reason.
pub const MAX_TEAM_NAME_BYTES: usize = 150;
/// Changes of a campaign where cells share teams: the leader key and the two records of the cell.
pub const CAMPAIGN_CHANGES: usize = 3;
/// Bytes of a ledger without allotments, with the longest numbers that are in use.
pub const LEDGER_BYTES: usize = 260;
/// Bytes of an allotment beside the cell's name, with the longest numbers that are in use.
pub const ALLOTMENT_BYTES: usize = 240;
/// ms between two refreshes of the ledgers by a leader: with a step of the allotment manager at
/// each, what another cell holds idle is available within the bound of docs/quota.md.
pub const QUOTA_REFRESH_INTERVAL_MS: u64 = 250;
/// ms after which all ledgers are read again, in case a watch has skipped something.
pub const QUOTA_FULL_READ_INTERVAL_MS: u64 = 30_000;
/// ms that a change of a ledger may wait for its turn.
pub const LEDGER_WRITE_WAIT_MS: u64 = 5_000;
/// Attempts of an operator's change of a limit while cells change the ledger: they write one a few
/// times a second at most.
pub const LIMIT_CHANGE_ATTEMPTS: usize = 20;
