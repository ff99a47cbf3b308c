//! Every constant of the program round the core, each with its unit and its reason. Most are
//! defaults of the operators' settings.

use std::time::Duration;

/// ms the leader's lease in the state service lasts. Long enough for a slow answer and two lost
/// renewals, short enough that a crashed leader is followed within seconds: all that people wait
/// for waits meanwhile.
pub const LEADER_TTL_MS: u64 = 3_000;
/// The shortest that works, where the workers' lease leaves no more of the time for a cancellation.
pub const LEADER_TTL_LEAST_MS: u64 = 1_000;
/// Part of the lease after which it is renewed.
pub const RENEW_PART: u64 = 4;
/// ms taken off the lease's local end: clock drift (0.05%) and the time of acting itself.
pub const LEASE_GUARD_MS: u64 = 250;
/// ms after a failed renewal or campaign before the next try.
pub const ELECTION_RETRY_MS: u64 = 300;
/// ms of random wait before a campaign, so that nodes do not all write at once.
pub const CAMPAIGN_JITTER_MS: u64 = 120;
/// ms for which a node counts as newly started, and which the others leave it to campaign first: in
/// a restart of all nodes one by one, those that have been up for long are the next to go.
pub const YOUNG_MS: u64 = 90_000;
pub const YOUNG_FIRST_MS: u64 = 300;
/// ms a node that resigned leaves leading to others.
pub const RESIGNED_MS: u64 = 20_000;

/// ms between two looks at the state service while leading: a submission waits this long at most
/// before it is placed.
pub const SYNC_LEADING_MS: u64 = 100;
/// ms between two looks while following: the leader key is in the cache too.
pub const SYNC_FOLLOWING_MS: u64 = 250;
/// ms between two looks that polls wait for.
pub const SYNC_WANTED_MS: u64 = 40;
/// ms after a failed look.
pub const SYNC_RETRY_MS: u64 = 250;
/// ms after which what a look brings is no answer to those who waited for it any more.
pub const LOOK_OLD_MS: u64 = 4_000;
/// Polls that may wait for one look; more are refused.
pub const SYNC_WAITERS: usize = 2_000;

/// A read of the state service: users wait 2 s for a poll.
pub const READ_TIMEOUT: Duration = Duration::from_millis(1_200);
/// A write of the state service: users wait 5 s for a submission.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// A renewal; two fit into a lease.
pub const RENEW_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Connecting to anything: region and zones are milliseconds apart.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A call of the cloud, which answers in about 0.1 s; a lost packet is sent again within 1 s.
pub const CLOUD_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Direct calls of workers open at once, whatever the sockets: each holds buffers.
pub const CALLS_MOST: usize = 256;
/// A direct call of a worker.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Calls of the state service open at once.
pub const STORE_OPEN: usize = 12;
/// Requests that may wait for their turn at the state service, for each class.
pub const STORE_QUEUE: usize = 256;
/// Part of the limits left unused: our clock and the service's may differ in what a second is.
pub const LIMIT_USED: f64 = 0.9;
/// ms between two looks whether a node may write more than its share, and by what that grows each time:
/// twice as much within three seconds.
pub const PORTION_MS: u64 = 1_000;
pub const PORTION_GROWS: f64 = 1.3;
/// ms after a refusal in which it does not grow: all need what they have.
pub const PORTION_CALM_MS: u64 = 8_000;
/// Looks in a row that find a refusal though the node kept to its share, until the limit counts as lowered:
/// a single one is another node's burst.
pub const UNEXPLAINED_REFUSALS: u32 = 2;
/// Part of a second's writes of all nodes that one may make at once after a pause.
pub const BURST_PART: f64 = 0.5;
/// ms after which a request that was over a limit is sent again.
pub const OVER_WAIT_MS: u64 = 100;
/// Bytes of one transaction that we fill (the service takes 64 KiB).
pub const TXN_BYTES: usize = 48 * 1024;
/// Bytes of the largest answer that we read: a page is 512 KiB, a watch has no bound.
pub const ANSWER_BYTES: usize = 8 << 20;

/// Submissions and withdrawals that may wait at a node; more get 503 at once.
pub const INTAKE_QUEUE: usize = 400;
/// ms a submission may wait at a node before it gets 503.
pub const INTAKE_WAIT_MS: u64 = 3_000;
/// Times a cancellation tries again when somebody else changed the record.
pub const CANCEL_TRIES: usize = 5;

/// ms between two ticks of the leader.
pub const TICK_MS: u64 = 200;
/// ms after which the core hears that something was not done for want of a valid lease.
pub const PUT_OFF_MS: u64 = 500;
/// ms between two reads of the types and prices.
pub const TYPES_MS: u64 = 60_000;
/// ms after a failed call of the cloud.
pub const CLOUD_RETRY_MS: u64 = 1_000;
/// Names in one delete (the cloud's own bound).
pub const DELETE_MOST: usize = 100;
/// Machines in one page of the list (the cloud's own bound).
pub const LIST_PAGE: usize = 500;

/// ms between two messages about running counts to the other nodes.
pub const PROGRESS_MS: u64 = 1_000;
/// Jobs in one such message: the rest show as pending on followers. 19 bytes each at most, less than half
/// of a frame; the other half is for the names of overdue machines.
pub const PROGRESS_JOBS: usize = 6_000;
/// ms between two questions whether the state service serves another node.
pub const HEALTH_MS: u64 = 1_000;
/// ms after which an answer to it counts no more.
pub const HEALTH_OLD_MS: u64 = 3_500;
/// Looks that fail in a row before a node holds that the state service does not serve it.
pub const LOOKS_FAILED: u32 = 2;
/// A request passed on to another node: users wait 2 s for a poll.
pub const PASS_ON_TIMEOUT: Duration = Duration::from_millis(1_500);
/// ms in which a worker that was sent to the leader and is back has its reports passed on; then it
/// is sent there again.
pub const RELAY_MS: u64 = 20_000;
/// Workers remembered as sent on, before old ones are dropped: a fleet several times the largest in use after
/// a change of leader, some 80 bytes each.
pub const SENT_ON_KEPT: usize = 16_384;
/// Bytes of the largest frame between nodes.
pub const FRAME_BYTES: usize = 256 * 1024;
/// Frames waiting for a node, and requests of one that are answered side by side; more are refused.
/// A zone that can't reach the leader has some hundred reports a second relayed.
pub const PEER_QUEUE: usize = 256;

/// Moves of running tasks that an operator may allow in a minute: ten a second, which is what a leader with
/// a fraction of a core can follow beside its reports.
pub const MOVES_PER_MINUTE_MOST: f64 = 600.0;

/// Workers that `latchtrack status` asks at a time.
pub const STATUS_OPEN: usize = 64;
/// Suspect jobs that a leader names: a status stays well within a frame.
pub const STATUS_JOBS: usize = 500;

/// Bytes of the largest request body (the protocol's bound).
pub const BODY_BYTES: usize = 64 * 1024;
/// A request's body, from its first to its last byte; users give up after 5 s.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Part of the node's sockets that users and workers may fill. Of the rest, half is for direct calls of
/// workers, some thirty for the state service, the cloud and the other nodes, and those being refused.
pub const SOCKETS_USED: f64 = 0.85;
/// Connections beyond that which are told so at a time; more wait for one of these to be closed.
pub const REFUSALS_OPEN: usize = 32;
/// One such connection, until it has been told.
pub const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Reading on after that, so that closing does not take the answer back.
pub const REFUSAL_LINGER: Duration = Duration::from_millis(100);
/// s an idle connection is kept; users poll every 5 s.
pub const KEEP_ALIVE_S: u64 = 60;
/// s a user is asked to wait when the node cannot answer.
pub const RETRY_AFTER_S: u64 = 1;
/// Most characters of a name in a submission.
pub const NAME_CHARS: usize = 200;
/// Messages an actor's mailbox holds.
pub const MAILBOX: usize = 1_024;

/// Prefix of the keys of a cell, with its name and a slash behind it.
pub const CELLS_PREFIX: &str = "cells/";
/// Most bytes of a cell's and a team's name where cells share teams: the service takes keys of 200 bytes.
pub const CELL_NAME_BYTES: usize = 64;
pub const TEAM_NAME_BYTES: usize = 150;
/// Changes of a campaign where cells share teams: the leader key and the two records of the cell.
pub const CAMPAIGN_CHANGES: usize = 3;
/// Bytes of a team's value without accounts, and of an account beside the cell's name, with numbers of the
/// greatest length that is in use.
pub const LEDGER_BYTES: usize = 260;
pub const ACCOUNT_BYTES: usize = 240;
/// ms between two looks of a leader at what cells share: with a step of the keeper at each, what another
/// cell holds idle is had within the bound of docs/quota.md.
pub const QUOTA_LOOK_MS: u64 = 250;
/// ms after which everything that cells share is read again, should a watch have skipped something.
pub const QUOTA_FULL_MS: u64 = 30_000;
/// ms that a change of what cells share may wait for its turn.
pub const QUOTA_WAIT_MS: u64 = 5_000;
/// Times that a change of a limit by an operator tries again when a cell has changed the value meanwhile: cells
/// write a value a few times a second at most.
pub const LIMIT_TRIES: usize = 20;
