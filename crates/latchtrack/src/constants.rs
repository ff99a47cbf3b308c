//! Constants of everything outside the scheduling core, each with its unit and rationale. Most
//! defaults of the operators' settings are in `latchtrack_core::constants`.

use std::time::Duration;

// Leader election.

/// Duration of the leader's lease in the state service, in ms. It outlasts a slow response plus two
/// lost renewals, yet a crashed leader is replaced within seconds; until then nothing is scheduled.
pub const LEADER_LEASE_MS: u64 = 3_000;
/// Shortest workable leader lease, in ms. It applies when the worker lease leaves little of the
/// time within which a cancelled task must have ended.
pub const MIN_LEADER_LEASE_MS: u64 = 1_000;
/// Number of renewals attempted per lease duration.
pub const RENEWALS_PER_LEASE: u64 = 4;
/// Safety margin subtracted from the local expiry of a lease, in ms, because an action started just
/// before the expiry takes time to complete.
pub const LEASE_MARGIN_MS: u64 = 250;
/// The lease duration divided by this is subtracted from the local expiry of a lease, to allow for
/// a drift of 0.05% of both the local clock and the service's.
pub const CLOCK_DRIFT_DIVISOR: u64 = 1_000;
/// Delay before the next attempt after a failed renewal or campaign, in ms.
pub const ELECTION_RETRY_MS: u64 = 300;
/// Time after which a request of a campaign is abandoned, in ms.
pub const ELECTION_REQUEST_WAIT_MS: u64 = 2_000;
/// Time after which a renewal is abandoned, in ms: two attempts fit into a lease.
pub const RENEWAL_WAIT_MS: u64 = 1_500;
/// Upper bound of the random delay before a campaign, in ms, so that nodes don't write all at once.
pub const CAMPAIGN_JITTER_MS: u64 = 120;
/// Uptime below which a node counts as recently started, in ms. In a rolling restart, the nodes
/// that have been up longer are the next to stop, so recently started nodes campaign first.
pub const RECENT_START_MS: u64 = 90_000;
/// Additional campaign delay of a node that did not start recently, in ms.
pub const LONG_RUNNING_DELAY_MS: u64 = 300;
/// Time during which a node does not campaign after it resigned, in ms.
pub const RESIGNED_DELAY_MS: u64 = 20_000;

/// Largest fraction that the leader's lease may take of the cancellation time left after the worker
/// lease.
pub const MAX_CANCEL_TIME_FRACTION: f64 = 0.9;
/// Factor by which a worker's lease may last longer on the local clock because of clock drift.
pub const CLOCK_DRIFT_FACTOR: f64 = 1.001;
/// Time that a worker may take to kill its tasks when its lease expires, in s.
pub const TASK_KILL_S: f64 = 0.5;

// The job cache.

/// Interval between cache refreshes on the leader, in ms. It bounds how long a submission waits
/// before the scheduler sees it.
pub const REFRESH_INTERVAL_LEADER_MS: u64 = 100;
/// Interval between cache refreshes on a follower, in ms. The refresh also observes the leader key.
pub const REFRESH_INTERVAL_FOLLOWER_MS: u64 = 250;
/// Interval between cache refreshes while queries wait for one, in ms.
pub const REFRESH_INTERVAL_WAITERS_MS: u64 = 40;
/// Delay before the next attempt after a failed refresh, or a failed read or write by the leader,
/// in ms.
pub const REFRESH_RETRY_MS: u64 = 250;
/// Age at which the result of a refresh no longer answers the queries that waited for it, in ms:
/// the node was stalled and the clients have timed out.
pub const REFRESH_MAX_AGE_MS: u64 = 4_000;
/// Number of queries that may wait for one refresh; any further ones are refused.
pub const MAX_REFRESH_WAITERS: usize = 2_000;
/// Number of consecutive failed refreshes after which a node counts as not served by the state
/// service.
pub const UNSERVED_AFTER_FAILURES: u32 = 2;

// Calls to the state service.

/// Timeout of a read. Users wait 2 s for a query.
pub const READ_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Timeout of a write. Users wait 5 s for a submission.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Timeout of a lease renewal: two attempts fit into a lease.
pub const RENEW_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of any connection attempt. The latency within and between zones is a few milliseconds.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that the read of a list page may take, queueing included, in ms. Lists are read when a term
/// starts, concurrently with other reads.
pub const LIST_PAGE_WAIT_MS: u64 = 5_000;
/// Number of items in a page of a list (the service's own limit).
pub const STORE_PAGE_ITEMS: usize = 1_000;
/// Time that a write of the leader's records may be queued, in ms. Such writes have the lowest
/// priority, and one that expires is issued again.
pub const RECORD_WRITE_WAIT_MS: u64 = 10_000;
/// Maximum number of concurrent calls to the state service.
pub const MAX_STORE_CALLS: usize = 12;
/// Maximum number of queued requests per request class.
pub const STORE_QUEUE_CAPACITY: usize = 256;
/// Longest time between two checks of the request queues, in ms, whatever wait the token buckets
/// report.
pub const MAX_STORE_WAKEUP_MS: u64 = 1_000;
/// Fraction of the service's rate limits that is used, because this node's clock and the service's
/// may disagree about the length of a second.
pub const USABLE_LIMIT_FRACTION: f64 = 0.9;
/// Interval between two adjustments of a node's write rate, in ms.
pub const WRITE_SHARE_INTERVAL_MS: u64 = 1_000;
/// Factor by which a node's write rate grows per adjustment while writes have to wait: the rate
/// doubles within three seconds.
pub const WRITE_SHARE_GROWTH: f64 = 1.3;
/// Time after a refused write during which a node's write rate does not grow, in ms, so that all
/// nodes get their shares.
pub const WRITE_SHARE_HOLD_MS: u64 = 8_000;
/// Number of consecutive adjustments with a refused write, although the node kept to its share,
/// after which the limit counts as lowered. A single one may be due to a burst of another node.
pub const UNEXPLAINED_REFUSALS: u32 = 2;
/// Largest burst of one node after a pause, as a fraction of the writes of all nodes in a second.
pub const BURST_FRACTION: f64 = 0.5;
/// Delay before a request that exceeded a rate limit is sent again, in ms.
pub const OVER_LIMIT_RETRY_MS: u64 = 100;
/// Maximum size of the values in one transaction, in bytes (the service accepts 64 KiB).
pub const MAX_TXN_BYTES: usize = 48 * 1024;
/// Maximum number of bytes that are logged of the response to a refused request.
pub const MAX_LOGGED_REFUSAL_BYTES: usize = 200;
/// Maximum size of a response body that is read, in bytes. A list page has up to 512 KiB; the
/// response to a watch is unbounded.
pub const MAX_RESPONSE_BYTES: usize = 8 << 20;

// Admission.

/// Number of submissions, and likewise of cancellations, that may wait on a node. Any further ones
/// are answered with 503 immediately.
pub const ADMISSION_QUEUE_CAPACITY: usize = 400;
/// Time that a submission may wait on a node before it is answered with 503, in ms.
pub const ADMISSION_WAIT_MS: u64 = 3_000;
/// Maximum number of attempts to write a cancellation while the record changes concurrently.
pub const CANCEL_ATTEMPTS: usize = 5;

// The scheduler driver, workers and the cloud.

/// Interval between two ticks of the scheduler, in ms.
pub const TICK_MS: u64 = 200;
/// Delay before the scheduler is notified that an action was not executed for lack of a valid
/// lease, in ms.
pub const NOT_EXECUTED_DELAY_MS: u64 = 500;
/// Maximum number of concurrent direct calls to workers, whatever the socket limit allows, because
/// each one holds buffers.
pub const MAX_DIRECT_CALLS: usize = 256;
/// Timeout of a direct call to a worker.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout of a call to the cloud, which responds in about 0.1 s; a lost packet is retransmitted
/// within 1 s.
pub const CLOUD_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Maximum number of concurrent calls to the cloud. It bounds the sockets held by unanswered calls.
pub const MAX_CLOUD_CALLS: usize = 8;
/// Largest burst of cloud calls after a pause, in seconds of the node's rate. The cloud allows two
/// seconds' worth, and other nodes may need part of it.
pub const CLOUD_BURST_S: f64 = 1.5;
/// Interval between two reads of the machine types and prices, in ms.
pub const MACHINE_TYPES_INTERVAL_MS: u64 = 60_000;
/// Delay after a failed call to the cloud, in ms.
pub const CLOUD_RETRY_MS: u64 = 1_000;
/// Maximum number of machines terminated by one call (the cloud's own limit).
pub const TERMINATE_BATCH: usize = 100;
/// Number of machines in one page of the machine list (the cloud's own limit).
pub const LIST_PAGE_MACHINES: usize = 500;
/// Highest rate of task moves that operators may set, per minute. Ten per second is what a leader
/// with a fraction of a core can handle in addition to its heartbeats.
pub const MAX_MOVES_PER_MINUTE: f64 = 600.0;

/// Longest duration accepted in the settings of operators or the platform, in s: one day.
pub const MAX_SETTING_S: f64 = 86_400.0;

// Communication between nodes.

/// Interval at which the leader sends task counts to the other nodes, in ms.
pub const PROGRESS_INTERVAL_MS: u64 = 1_000;
/// Maximum number of jobs in one message of task counts; followers show the others as pending. At
/// up to 19 bytes per job they fill less than half of a frame; the other half is for the names of
/// overdue machines.
pub const MAX_PROGRESS_JOBS: usize = 6_000;
/// Interval at which another node is asked whether the state service serves it, in ms.
pub const PEER_HEALTH_INTERVAL_MS: u64 = 1_000;
/// Age at which the health reported by another node expires, in ms.
pub const PEER_HEALTH_MAX_AGE_MS: u64 = 3_500;
/// Timeout of a request forwarded to another node. Users wait 2 s for a query.
pub const FORWARD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which heartbeats are forwarded for a worker that came back after it was redirected to
/// the leader, in ms. After that it is redirected again.
pub const FORWARD_HEARTBEATS_MS: u64 = 20_000;
/// Number of redirected workers recorded before old entries are dropped, at about 80 bytes each.
/// After a change of leader, this covers several times the largest fleet in use.
pub const MAX_REDIRECTED_MACHINES: usize = 16_384;
/// Maximum size of a frame between nodes, in bytes.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// Maximum number of frames queued for another node, and of requests from it that are handled
/// concurrently; any further ones are dropped. A zone that can't reach the leader forwards some
/// hundred heartbeats a second.
pub const PEER_QUEUE_CAPACITY: usize = 256;

// `latchtrack status`.

/// Maximum number of workers queried concurrently.
pub const MAX_STATUS_CALLS: usize = 64;
/// Maximum number of quarantined jobs that a leader lists, which keeps a status well below the size
/// of a frame.
pub const MAX_STATUS_JOBS: usize = 500;

// Connections from users and workers.

/// Maximum size of a request body, in bytes (the protocol's limit).
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Timeout for receiving a whole request body. Users time out after 5 s.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for receiving a whole request head. Users time out after 5 s.
pub const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Fraction of the node's sockets available to users and workers. Half of the rest is for direct
/// calls to workers; the other half covers refusals and some thirty sockets for the state service,
/// the cloud and the other nodes.
pub const CLIENT_SOCKET_FRACTION: f64 = 0.85;
/// Maximum number of excess connections that are being refused at a time. Further ones stay in the
/// accept queue until one of these is closed.
pub const MAX_OPEN_REFUSALS: usize = 32;
/// Timeout for refusing an excess connection, from reading its request to sending the response.
pub const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a refused connection is still read after the refusal was sent. Closing it with
/// unread data would reset it and could discard the response.
pub const REFUSAL_LINGER: Duration = Duration::from_millis(100);
/// Number of bytes of a refused request that are read before it is answered.
pub const REFUSAL_READ_BYTES: usize = 1_024;
/// Delay after a failed accept, most likely caused by a lack of free sockets.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time for which an idle connection is kept open, in s. Users poll every 5 s.
pub const KEEP_ALIVE_S: u64 = 60;
/// Value of `Retry-After` when the node can't serve a request, in s.
pub const RETRY_AFTER_S: u64 = 1;
/// Time for which this node keeps an idle connection to a service or worker.
pub const CLIENT_KEEP_ALIVE: Duration = Duration::from_secs(30);
/// Maximum lifetime of a connection of this node to a service or worker.
pub const CLIENT_CONNECTION_LIFETIME: Duration = Duration::from_secs(3_600);
/// Maximum length of a name in a submission, in bytes.
pub const MAX_NAME_BYTES: usize = 200;
/// Largest amount accepted in a submission, in any unit: far more than any machine has.
pub const MAX_AMOUNT: f64 = 1e9;
/// Capacity of an actor's mailbox, in messages.
pub const MAILBOX_CAPACITY: usize = 1_024;

// Cells that share teams.

/// Prefix of the keys of a cell; the cell's name and a slash follow.
pub const CELLS_PREFIX: &str = "cells/";
/// Maximum length of a cell name, in bytes: the service accepts keys of 200 bytes.
pub const MAX_CELL_NAME_BYTES: usize = 64;
/// Maximum length of the name of a team that cells share, in bytes: the service accepts keys of 200
/// bytes.
pub const MAX_TEAM_NAME_BYTES: usize = 150;
/// Number of changes in a campaign where cells share teams: the leader key and the cell's two keys.
pub const CAMPAIGN_CHANGES: usize = 3;
/// Size of a ledger without allotments, in bytes, with the longest numbers in use.
pub const LEDGER_BYTES: usize = 260;
/// Size of an allotment without the cell's name, in bytes, with the longest numbers in use.
pub const ALLOTMENT_BYTES: usize = 240;
/// Interval at which a leader refreshes the ledgers, in ms. The allotment manager runs once per
/// refresh, so capacity that another cell leaves idle becomes available within the bound of
/// docs/quota.md.
pub const QUOTA_REFRESH_INTERVAL_MS: u64 = 250;
/// Interval at which all ledgers are read in full, in ms, in case a watch missed a change.
pub const QUOTA_FULL_READ_INTERVAL_MS: u64 = 30_000;
/// Time that a ledger write may be queued, in ms.
pub const LEDGER_WRITE_WAIT_MS: u64 = 5_000;
/// Number of attempts to apply an operator's limit change while cells write the ledger, which they
/// do a few times a second at most.
pub const LIMIT_CHANGE_ATTEMPTS: usize = 20;
