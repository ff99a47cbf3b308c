//! Leader election through a leader key attached to a lease in the state service. The revision of
//! the key is the fencing token of the term.

mod campaign;
mod cell;
mod lease;

use std::time::Duration;

use actix::prelude::*;
use rand::Rng;

pub use self::cell::{Cell, CellError};

use self::campaign::{run_campaign, CampaignOutcome, Candidate};
use self::lease::{lease_valid_until, HeldTerm, TermEndReason};
use super::job_cache::JobCache;
use super::messages::election::{LeaderKey, LeaderKeyLost, LeaderKeyObserved, Resign};
use super::messages::job_cache::SetCacheRole;
use super::messages::scheduler::{LeaderTerm, Leadership};
use super::messages::store::{RequestClass, StoreRequest};
use super::messages::NodeRole;
use super::store::{self, Store, StoreError};
use crate::clock::now_ms;
use crate::constants::{
    CAMPAIGN_JITTER_MS, ELECTION_REQUEST_WAIT_MS, ELECTION_RETRY_MS, LONG_RUNNING_DELAY_MS,
    RECENT_START_MS, RENEWALS_PER_LEASE, RENEWAL_WAIT_MS, RESIGNED_DELAY_MS,
};

/// The actor that campaigns for the leader key and renews its lease.
pub struct Election {
    store: Addr<Store>,
    cache: Addr<JobCache>,
    scheduler: Recipient<Leadership>,
    candidate: Candidate,
    /// The leader key as last observed. `None` until the job cache has loaded; `Some(None)` if the
    /// key does not exist.
    observed_key: Option<Option<LeaderKey>>,
    /// Id of the lease of a campaign whose outcome is unknown.
    undecided_lease: Option<u64>,
    term: Option<HeldTerm>,
    /// Whether a campaign, a request or a retry delay is in progress.
    is_busy: bool,
    /// No campaign starts before this time, in ms of the steady clock.
    not_before: u64,
    /// When the actor was created, in ms of the steady clock.
    started: u64,
}

impl Election {
    /// Creates the actor of a node that does not lead. `cell` is the cell to lead, if several cells
    /// share teams.
    pub fn new(
        store: Addr<Store>,
        cache: Addr<JobCache>,
        scheduler: Recipient<Leadership>,
        node: String,
        ttl_ms: u64,
        cell: Option<Cell>,
    ) -> Self {
        // JSON numbers are exact only up to 53 bits.
        let run = rand::rng().random::<u64>() >> 12;
        Election {
            store,
            cache,
            scheduler,
            candidate: Candidate { node, run, ttl_ms, cell },
            observed_key: None,
            undecided_lease: None,
            term: None,
            is_busy: false,
            not_before: 0,
            started: now_ms(),
        }
    }

    /// Reacts to the last observed leader key while this node does not lead: campaigns if no node
    /// leads, and resolves a key that names this node.
    fn follow_leader_key(&mut self, ctx: &mut Context<Self>) {
        if self.is_busy || self.term.is_some() {
            return;
        }
        match self.observed_key.clone() {
            // The cache has not loaded yet.
            None => {}
            Some(None) => self.schedule_campaign(ctx),
            Some(Some(key)) if key.record.node == self.candidate.node => {
                self.resolve_own_key(&key, ctx);
            }
            Some(Some(_)) => {}
        }
    }

    /// Handles a key that names this node although this node holds no term: the key was written by
    /// an earlier run, or by a campaign whose outcome is unknown.
    fn resolve_own_key(&mut self, key: &LeaderKey, ctx: &mut Context<Self>) {
        let lease = key.record.lease;
        if key.record.run != self.candidate.run {
            // The earlier run has ended, since this one has started. Revoking its lease saves
            // the nodes from waiting until it expires.
            tracing::info!(lease, "revoking the lease of an earlier run of this node");
            self.revoke_lease(lease, ctx);
        } else if self.undecided_lease == Some(lease) {
            self.claim_key(lease, key.revision, ctx);
        } else {
            self.revoke_lease(lease, ctx);
        }
    }

    /// Campaigns after a random delay. If this node may not campaign yet, checks the key again
    /// once it may.
    fn schedule_campaign(&mut self, ctx: &mut Context<Self>) {
        if now_ms() < self.not_before {
            let wait_ms = self.not_before - now_ms();
            self.retry_after(wait_ms, ctx);
            return;
        }
        self.is_busy = true;
        let mut wait_ms = rand::rng().random_range(0..=CAMPAIGN_JITTER_MS);
        if now_ms() >= self.started + RECENT_START_MS {
            wait_ms += LONG_RUNNING_DELAY_MS;
        }
        ctx.run_later(Duration::from_millis(wait_ms), |act, ctx| act.campaign(ctx));
    }

    /// Checks the leader key again after a delay.
    fn retry_after(&mut self, ms: u64, ctx: &mut Context<Self>) {
        self.is_busy = true;
        ctx.run_later(Duration::from_millis(ms), |act, ctx| {
            act.is_busy = false;
            act.follow_leader_key(ctx);
        });
    }

    /// Revokes a lease, which deletes a leader key attached to it.
    fn revoke_lease(&mut self, lease: u64, ctx: &mut Context<Self>) {
        self.is_busy = true;
        let store = self.store.clone();
        let request = async move {
            let revoke = StoreRequest::RevokeLease { lease };
            store::request(&store, RequestClass::Lease, revoke, ELECTION_REQUEST_WAIT_MS).await
        };
        ctx.spawn(request.into_actor(self).map(move |result, act, ctx| {
            act.is_busy = false;
            match result {
                Ok(_) | Err(StoreError::NotFound) => {}
                Err(error) => tracing::debug!(lease, %error, "lease could not be revoked"),
            }
            act.retry_after(ELECTION_RETRY_MS, ctx);
        }));
    }

    fn campaign(&mut self, ctx: &mut Context<Self>) {
        if self.observed_key != Some(None) {
            self.is_busy = false;
            self.follow_leader_key(ctx);
            return;
        }
        let (store, candidate) = (self.store.clone(), self.candidate.clone());
        let campaign = async move { run_campaign(&store, candidate).await };
        ctx.spawn(campaign.into_actor(self).map(|outcome, act, ctx| {
            act.is_busy = false;
            match outcome {
                CampaignOutcome::Won(term) => act.begin_term(term, ctx),
                CampaignOutcome::Lost | CampaignOutcome::Failed => {
                    act.retry_after(ELECTION_RETRY_MS, ctx);
                }
                CampaignOutcome::Unknown { lease } => {
                    // If the key was created, the job cache will observe it.
                    act.undecided_lease = Some(lease);
                    act.retry_after(ELECTION_RETRY_MS, ctx);
                }
            }
        }));
    }

    /// Starts the term of a campaign whose outcome was unknown and whose key has appeared, once
    /// its lease has been renewed.
    fn claim_key(&mut self, lease: u64, token: u64, ctx: &mut Context<Self>) {
        self.is_busy = true;
        let store = self.store.clone();
        let request = async move {
            let renew = StoreRequest::RenewLease { lease };
            store::request(&store, RequestClass::Lease, renew, ELECTION_REQUEST_WAIT_MS).await
        };
        ctx.spawn(request.into_actor(self).map(move |result, act, ctx| {
            act.is_busy = false;
            match result {
                Ok(answer) => {
                    let valid_until = lease_valid_until(act.candidate.ttl_ms, answer.sent_at);
                    act.begin_term(HeldTerm { token, lease, valid_until }, ctx);
                }
                Err(StoreError::NotFound) => {
                    act.undecided_lease = None;
                    act.retry_after(ELECTION_RETRY_MS, ctx);
                }
                Err(_) => act.retry_after(ELECTION_RETRY_MS, ctx),
            }
        }));
    }

    fn begin_term(&mut self, term: HeldTerm, ctx: &mut Context<Self>) {
        tracing::info!(token = term.token, "leadership acquired");
        self.undecided_lease = None;
        self.term = Some(term);
        self.publish_leadership();
        self.cache.do_send(SetCacheRole(NodeRole::Leader));
        self.renew_after(self.candidate.ttl_ms / RENEWALS_PER_LEASE, ctx);
    }

    /// Sends the current term and the validity of its lease to the scheduler driver.
    fn publish_leadership(&self) {
        let term =
            self.term.map(|held| LeaderTerm { token: held.token, valid_until: held.valid_until });
        self.scheduler.do_send(Leadership(term));
    }

    fn renew_after(&self, ms: u64, ctx: &mut Context<Self>) {
        ctx.run_later(Duration::from_millis(ms), |act, ctx| act.renew(ctx));
    }

    fn renew(&mut self, ctx: &mut Context<Self>) {
        let Some(HeldTerm { token, lease, .. }) = self.term else { return };
        let store = self.store.clone();
        let request = async move {
            let renew = StoreRequest::RenewLease { lease };
            store::request(&store, RequestClass::Lease, renew, RENEWAL_WAIT_MS).await
        };
        ctx.spawn(request.into_actor(self).map(move |result, act, ctx| {
            let Some(held) = act.term.as_mut().filter(|held| held.lease == lease) else { return };
            match result {
                Ok(answer) => {
                    let until = lease_valid_until(act.candidate.ttl_ms, answer.sent_at);
                    held.valid_until = held.valid_until.max(until);
                    act.publish_leadership();
                    act.renew_after(act.candidate.ttl_ms / RENEWALS_PER_LEASE, ctx);
                }
                Err(StoreError::NotFound) => act.end_term(&TermEndReason::LeaseExpired, ctx),
                // The term does not end yet: if a later renewal succeeds, the key still exists.
                Err(error) => {
                    tracing::debug!(token, %error, "lease renewal failed");
                    act.renew_after(ELECTION_RETRY_MS, ctx);
                }
            }
        }));
    }

    fn end_term(&mut self, reason: &TermEndReason, ctx: &mut Context<Self>) {
        let Some(term) = self.term.take() else { return };
        tracing::info!(token = term.token, %reason, "leadership lost");
        self.publish_leadership();
        self.cache.do_send(SetCacheRole(NodeRole::Follower));
        // Revoking the lease deletes the key. This node does not campaign until the job cache
        // observes the deletion.
        self.revoke_lease(term.lease, ctx);
    }
}

impl Actor for Election {
    type Context = Context<Self>;
}

impl Handler<LeaderKeyObserved> for Election {
    type Result = ();
    fn handle(&mut self, msg: LeaderKeyObserved, ctx: &mut Self::Context) {
        if let Some(term) = self.term {
            let is_newer = msg.0.as_ref().is_some_and(|key| key.revision > term.token);
            let was_ours = self
                .observed_key
                .as_ref()
                .and_then(Option::as_ref)
                .is_some_and(|key| key.revision == term.token);
            if is_newer || (was_ours && msg.0.is_none()) {
                self.observed_key = Some(msg.0);
                self.end_term(&TermEndReason::KeyTaken, ctx);
                return;
            }
        }
        self.observed_key = Some(msg.0);
        self.follow_leader_key(ctx);
    }
}

impl Handler<Resign> for Election {
    type Result = ();
    fn handle(&mut self, msg: Resign, ctx: &mut Self::Context) {
        self.not_before = now_ms() + RESIGNED_DELAY_MS;
        self.end_term(&TermEndReason::Resigned(msg.reason), ctx);
    }
}

impl Handler<LeaderKeyLost> for Election {
    type Result = ();
    fn handle(&mut self, msg: LeaderKeyLost, ctx: &mut Self::Context) {
        if self.term.is_some_and(|term| term.token == msg.token) {
            self.end_term(&TermEndReason::WriteRefused, ctx);
        }
    }
}
