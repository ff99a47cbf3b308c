//! The node's cache of the job records and the leader key. Queries for jobs in a final state are
//! answered from the cache. The others wait for a refresh from the state service; one refresh
//! answers all that wait for it.

mod records;

use std::time::Duration;

use actix::prelude::*;
use tokio::sync::oneshot;

use self::records::JobRecords;
use super::messages::election::LeaderKeyObserved;
use super::messages::job_cache::{
    ApplyRecord, ConnectJobCache, Freshness, IsLoaded, IsServed, JobView, ListOpenJobs, LookUpJob,
    OpenJobsSnapshot, SetCacheRole, StoreUnavailable, UpdateTaskCounts,
};
use super::messages::scheduler::{CacheUpdated, JobChange};
use super::messages::store::SetStoreRole;
use super::messages::NodeRole;
use super::store::reads::{read_since, TimedRead};
use super::store::{Store, StoreError};
use crate::clock::now_ms;
use crate::constants::{
    MAILBOX_CAPACITY, MAX_REFRESH_WAITERS, REFRESH_INTERVAL_FOLLOWER_MS,
    REFRESH_INTERVAL_LEADER_MS, REFRESH_INTERVAL_WAITERS_MS, REFRESH_MAX_AGE_MS, REFRESH_RETRY_MS,
    UNSERVED_AFTER_FAILURES,
};
use crate::wire::records::LIVE_PREFIX;

/// Channel that reports whether the awaited refresh succeeded in time.
type Waiter = oneshot::Sender<bool>;

/// The actor that owns the cache and refreshes it.
pub struct JobCache {
    store: Addr<Store>,
    listeners: Option<ConnectJobCache>,
    records: JobRecords,
    /// Revision up to which the records are known. If `None`, the next refresh reads all records.
    revision: Option<u64>,
    role: NodeRole,
    is_refreshing: bool,
    /// Time from which the refresh interval counts, in ms of the steady clock: the start of the
    /// last refresh or, after a failure, the end of the retry delay.
    last_refresh: u64,
    /// Number of consecutive failed refreshes.
    failures: u32,
    timer: Option<SpawnHandle>,
    /// Channels of the requests that wait for the next refresh.
    next_waiters: Vec<Waiter>,
    /// Channels of the requests that wait for the refresh in progress.
    current_waiters: Vec<Waiter>,
}

impl JobCache {
    /// Creates an empty cache, which is first loaded when it receives [`ConnectJobCache`].
    pub fn new(store: Addr<Store>) -> Self {
        JobCache {
            store,
            listeners: None,
            records: JobRecords::default(),
            revision: None,
            role: NodeRole::Follower,
            is_refreshing: false,
            last_refresh: 0,
            failures: 0,
            timer: None,
            next_waiters: Vec::new(),
            current_waiters: Vec::new(),
        }
    }

    /// Schedules the next refresh after an interval that depends on whether queries wait for it
    /// and on the role of this node.
    fn schedule_refresh(&mut self, ctx: &mut Context<Self>) {
        if self.is_refreshing {
            return;
        }
        if let Some(timer) = self.timer.take() {
            ctx.cancel_future(timer);
        }
        let interval_ms = if !self.next_waiters.is_empty() {
            REFRESH_INTERVAL_WAITERS_MS
        } else {
            match self.role {
                NodeRole::Leader => REFRESH_INTERVAL_LEADER_MS,
                NodeRole::Follower => REFRESH_INTERVAL_FOLLOWER_MS,
            }
        };
        let wait_ms = (self.last_refresh + interval_ms).saturating_sub(now_ms());
        if wait_ms == 0 {
            self.refresh(ctx);
        } else {
            self.timer = Some(ctx.run_later(Duration::from_millis(wait_ms), |act, ctx| {
                act.timer = None;
                act.refresh(ctx);
            }));
        }
    }

    /// Starts a refresh, unless one is in progress.
    fn refresh(&mut self, ctx: &mut Context<Self>) {
        if self.is_refreshing {
            return;
        }
        self.is_refreshing = true;
        let started = now_ms();
        self.last_refresh = started;
        self.current_waiters = std::mem::take(&mut self.next_waiters);
        let store = self.store.clone();
        let revision = self.revision;
        let read = async move { read_since(&store, LIVE_PREFIX, revision).await };
        ctx.spawn(read.into_actor(self).map(move |result, act, ctx| {
            act.is_refreshing = false;
            let is_usable = act.finish_refresh(started, result);
            for waiter in act.current_waiters.drain(..) {
                let _ = waiter.send(is_usable);
            }
            act.schedule_refresh(ctx);
        }));
    }

    /// Applies the result of a refresh. Returns whether the queries that wait for it can be
    /// answered.
    fn finish_refresh(&mut self, started: u64, result: Result<TimedRead, StoreError>) -> bool {
        match result {
            Ok(read) => {
                if self.failures >= UNSERVED_AFTER_FAILURES {
                    tracing::info!("state service available again");
                }
                self.failures = 0;
                self.apply(read);
                // After a pause of this node, the callers have given up and the result is outdated.
                now_ms() < started + REFRESH_MAX_AGE_MS
            }
            Err(StoreError::TooOld) => {
                self.revision = None;
                false
            }
            Err(error) => {
                tracing::debug!(%error, "job cache refresh failed");
                // Wait before retrying: the service is down or refuses this node.
                self.last_refresh = now_ms() + REFRESH_RETRY_MS;
                self.failures += 1;
                if self.failures == UNSERVED_AFTER_FAILURES {
                    tracing::info!(%error, "state service unavailable");
                }
                false
            }
        }
    }

    /// Applies a read and notifies the listeners of the changes.
    fn apply(&mut self, read: TimedRead) {
        let leader_before = self.records.leader().cloned();
        let was_loaded = self.revision.is_some();
        let (changes, revision) = self.records.apply(read.result);
        self.revision = Some(revision);
        let Some(listeners) = &self.listeners else { return };
        self.notify_scheduler(listeners, read.sent_at, changes);
        if !was_loaded || leader_before.as_ref() != self.records.leader() {
            listeners.election.do_send(LeaderKeyObserved(self.records.leader_key()));
        }
    }

    fn notify_scheduler(
        &self,
        listeners: &ConnectJobCache,
        observed_at: u64,
        changes: Vec<JobChange>,
    ) {
        let leader = self.records.leader().map(|leader| leader.node.clone());
        listeners.scheduler.do_send(CacheUpdated { observed_at, changes, leader });
    }

    /// Registers a waiter for a refresh that has not started yet. Returns `None` if
    /// [`MAX_REFRESH_WAITERS`] are registered already.
    fn wait_for_refresh(&mut self, ctx: &mut Context<Self>) -> Option<oneshot::Receiver<bool>> {
        if self.next_waiters.len() >= MAX_REFRESH_WAITERS {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        self.next_waiters.push(sender);
        self.schedule_refresh(ctx);
        Some(receiver)
    }
}

impl Actor for JobCache {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX_CAPACITY);
    }
}

impl Handler<ConnectJobCache> for JobCache {
    type Result = ();
    fn handle(&mut self, msg: ConnectJobCache, ctx: &mut Self::Context) {
        self.listeners = Some(msg);
        self.refresh(ctx);
    }
}

impl Handler<SetCacheRole> for JobCache {
    type Result = ();
    fn handle(&mut self, msg: SetCacheRole, ctx: &mut Self::Context) {
        self.role = msg.0;
        self.store.do_send(SetStoreRole(msg.0));
        self.schedule_refresh(ctx);
    }
}

impl Handler<IsLoaded> for JobCache {
    type Result = bool;
    fn handle(&mut self, _: IsLoaded, _: &mut Self::Context) -> bool {
        self.revision.is_some()
    }
}

impl Handler<IsServed> for JobCache {
    type Result = bool;
    fn handle(&mut self, _: IsServed, _: &mut Self::Context) -> bool {
        self.failures < UNSERVED_AFTER_FAILURES && self.revision.is_some()
    }
}

impl Handler<ApplyRecord> for JobCache {
    type Result = ();
    fn handle(&mut self, msg: ApplyRecord, _: &mut Self::Context) {
        let change = self.records.apply_record(msg.id, msg.record, msg.revision);
        if let (Some(listeners), Some(change)) = (&self.listeners, change) {
            // On the leader, this saves the scheduler the wait for the next refresh.
            self.notify_scheduler(listeners, 0, vec![change]);
        }
    }
}

impl Handler<UpdateTaskCounts> for JobCache {
    type Result = ();
    fn handle(&mut self, msg: UpdateTaskCounts, _: &mut Self::Context) {
        self.records.set_task_counts(msg.0);
    }
}

impl Handler<LookUpJob> for JobCache {
    type Result = ResponseActFuture<Self, Result<Option<JobView>, StoreUnavailable>>;

    fn handle(&mut self, msg: LookUpJob, ctx: &mut Self::Context) -> Self::Result {
        let view = self.records.view(msg.id);
        if msg.freshness == Freshness::Cached || view.as_ref().is_some_and(JobView::is_final) {
            return Box::pin(fut::ready(Ok(view)));
        }
        let Some(refreshed) = self.wait_for_refresh(ctx) else {
            return Box::pin(fut::ready(Err(StoreUnavailable)));
        };
        Box::pin(refreshed.into_actor(self).map(move |ok, act, _| {
            if !ok.unwrap_or(false) || act.records.is_unparsable(msg.id) {
                return Err(StoreUnavailable);
            }
            Ok(act.records.view(msg.id))
        }))
    }
}

impl Handler<ListOpenJobs> for JobCache {
    type Result = ResponseActFuture<Self, Result<OpenJobsSnapshot, StoreUnavailable>>;

    fn handle(&mut self, _: ListOpenJobs, ctx: &mut Self::Context) -> Self::Result {
        let Some(refreshed) = self.wait_for_refresh(ctx) else {
            return Box::pin(fut::ready(Err(StoreUnavailable)));
        };
        Box::pin(refreshed.into_actor(self).map(|ok, act, _| {
            if ok.unwrap_or(false) {
                Ok(act.records.open_jobs())
            } else {
                Err(StoreUnavailable)
            }
        }))
    }
}
