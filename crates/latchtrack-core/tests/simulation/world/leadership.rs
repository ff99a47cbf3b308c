//! New leaders: their policy, the stored state they inherit, and how they read the job records.

use std::sync::Arc;

use latchtrack_balance::balancer::MoveLimits;
use latchtrack_core::bitmap::Bitmap;
use latchtrack_core::job::JobId;
use latchtrack_core::placement::ScoreWeights;
use latchtrack_core::scheduler::{
    BalancePolicy, CompletionObjective, Due, Event, Policy, Scheduler, StartObjective,
    StoredMachineSet, StoredResults, Team, TermRevisions,
};
use rand::Rng;

use super::guards::DisabledGuard;
use super::messages::{Message, SentHeartbeat};
use super::state::{JobState, LeaderKey, StoredJob};
use super::{machine_types, World, LEADER_LEASE_MS, LEASE_MARGIN_MS, WORKER_LEASE_MS};

/// Moves that a leader may begin per minute.
const MOVES_PER_MINUTE: u32 = 120;
/// One in this many tokens belongs to a leader that does not balance.
const BALANCING_PERIOD: u64 = 3;
/// One in this many jobs is missed by leaders while [`DisabledGuard::JobRecovery`] is disabled.
const MISSED_JOBS_PERIOD: u64 = 5;

impl World {
    /// The balance policy of the leader with this token. Two of three tokens balance, with shorter
    /// times than the defaults because tasks run for seconds here.
    fn balance_policy(&self, token: u64) -> BalancePolicy {
        if !self.size.balance || token % BALANCING_PERIOD == 0 {
            return BalancePolicy::default();
        }
        let limits = MoveLimits {
            over_bound_ms: 500,
            min_run_ms: 500,
            task_cooldown_ms: 5_000,
            machine_gap_ms: 500,
            machine_cooldown_ms: 5_000,
            moves_per_minute: MOVES_PER_MINUTE,
            min_remaining_to_cost: 0.2,
        };
        BalancePolicy { placement: true, teams: true, moves: true, limits, moves_delay_ms: 1_000 }
    }

    /// The policy of the leader with this token.
    fn policy(&self, token: u64) -> Policy {
        let size = &self.size;
        let is_disabled = |guard| self.disabled_guard == guard;
        let team = |name: &str, cpus_max| Team {
            name: name.into(),
            cpus: 4.0,
            cpus_max,
            gpus: 0.0,
            gpus_max: 0.0,
        };
        let no_limit = is_disabled(DisabledGuard::TeamLimit);
        let limit = if no_limit { 0.0 } else { size.limited_team_cpus };
        let no_lease = is_disabled(DisabledGuard::WorkerLease);
        let heartbeat_timeout_ms =
            Policy::default_heartbeat_timeout_ms(size.heartbeat_interval_ms).max(6_000);
        let objective = |(class, ms): (&str, u64)| CompletionObjective {
            class: class.into(),
            due: Due::Within(ms),
        };
        Policy {
            weights: ScoreWeights::default(),
            slice: 1 + (token % 2) as u32,
            spot_idle_timeout_ms: size.spot_idle_timeout_ms,
            on_demand_idle_timeout_ms: size.spot_idle_timeout_ms * 2 / 5,
            reserve_after_ms: 3_000,
            spot_provision_delay_ms: 0,
            on_demand_provision_delay_ms: 500,
            heartbeat_timeout_ms,
            reconcile_timeout_ms: 4_000,
            heartbeat_interval_ms: size.heartbeat_interval_ms,
            list_lag_ms: 1_500,
            worker_lease_ms: if no_lease { 0 } else { WORKER_LEASE_MS },
            max_open_calls: 16.max(size.machines_per_offer),
            value_bytes: self.leader_write_limits.value_bytes,
            teams: vec![team("free", 0.0), team("limited", limit)],
            quota_cell: self.cell.clone(),
            classes_with_objectives: ["c", "d"].map(String::from).into(),
            start_objectives: vec![StartObjective { class: "d".into(), within_ms: 1_000 }],
            balance: self.balance_policy(token),
            completion_objectives: [("c", 30_000), ("d", 60_000)].map(objective).to_vec(),
        }
    }

    /// A node takes the leader key and creates the scheduler of its term.
    pub(super) fn campaign(&mut self, n: usize) {
        self.revision += 1;
        self.stats.terms += 1;
        let token = self.revision;
        if self.workers.values().any(|worker| worker.token >= token) {
            self.report_violation("token", format!("a worker has seen {token} before its term"));
        }
        self.last_token = token;
        let expires_at = self.now + LEADER_LEASE_MS;
        self.leader = Some(LeaderKey { node: n, token, expires_at });
        let now = self.clock(n);
        let policy = self.policy(token);
        let ignores_leaders = self.disabled_guard == DisabledGuard::LeaderlessSince;
        let leaderless_since = if ignores_leaders { 0 } else { self.leaderless_since };
        let revisions = TermRevisions { token, leaderless_since };
        let (inherited, results) = (self.inherited_machines(), self.inherited_results());
        self.replay_withheld_heartbeats();
        let node = &mut self.nodes[n];
        let scheduler = Scheduler::new(policy, revisions, machine_types(), inherited, results, now);
        node.scheduler = Some(scheduler);
        node.token = token;
        node.lease_valid_until = now + LEADER_LEASE_MS - LEASE_MARGIN_MS;
        node.seen_revision = 0;
        node.write_in_flight = false;
    }

    /// The stored machine sets, or none while reconciliation is disabled.
    fn inherited_machines(&self) -> Vec<StoredMachineSet> {
        match self.disabled_guard {
            DisabledGuard::Reconciliation => Vec::new(),
            _ => self.machine_sets.values().cloned().collect(),
        }
    }

    /// The stored results of open jobs.
    fn inherited_results(&self) -> Vec<StoredResults> {
        let mut results: Vec<StoredResults> = self.results.values().cloned().collect();
        for stored in &mut results {
            stored.chunks.retain(|(job, ..)| self.jobs[job].is_open());
        }
        results
    }

    /// Sends the withheld heartbeats to every node, within 1.5 s.
    fn replay_withheld_heartbeats(&mut self) {
        for (worker, heartbeat) in std::mem::take(&mut self.withheld_heartbeats) {
            for node in 0..self.size.nodes {
                let (worker, heartbeat) = (worker.clone(), heartbeat.clone());
                let delay = self.rng.random_range(1..1_500);
                self.record_occurrence("heartbeat replayed");
                let copy = SentHeartbeat { node, worker, heartbeat, id: 0, sent_at: self.now };
                self.post(delay, Message::Heartbeat(copy));
            }
        }
    }

    /// Passes the job records that changed since the node's last read to its scheduler.
    pub(super) fn read_jobs(&mut self, n: usize) {
        let seen = self.nodes[n].seen_revision;
        let changed = self.jobs.iter().filter(|(_, job)| job.revision > seen);
        let events: Vec<Event> = changed.filter_map(|(id, job)| self.job_event(*id, job)).collect();
        self.nodes[n].seen_revision = self.revision;
        self.nodes[n].cache_fresh_at = self.clock(n);
        for event in events {
            self.process_event(n, event);
        }
    }

    /// The event for a changed job, or `None` if a disabled guard hides the change.
    fn job_event(&self, id: JobId, job: &StoredJob) -> Option<Event> {
        let is_disabled = |guard| self.disabled_guard == guard;
        let JobState::Open { stored_at } = job.state else {
            let is_told = !is_disabled(DisabledGuard::Cancellation);
            return is_told.then_some(Event::JobClosed(id));
        };
        if is_disabled(DisabledGuard::JobRecovery) && id.0 % MISSED_JOBS_PERIOD == 0 {
            return None;
        }
        let mut done = Bitmap::new(job.spec.tasks);
        for (of_job, chunk, bytes) in self.results.values().flat_map(|stored| &stored.chunks) {
            if *of_job == id {
                done.merge_chunk(*chunk, bytes);
            }
        }
        if is_disabled(DisabledGuard::TaskCompletion) && job.spec.tasks > 1 {
            done.set(0);
        }
        let mut spec = job.spec.clone();
        if is_disabled(DisabledGuard::GangAtomicity) {
            Arc::make_mut(&mut spec).gang = false;
        }
        if is_disabled(DisabledGuard::PlacementConstraints) {
            let spec = Arc::make_mut(&mut spec);
            (spec.types, spec.zone, spec.one_zone, spec.spread) = (None, None, false, false);
            spec.spot = true;
        }
        let (submitted_at, revision) = (stored_at, job.revision);
        Some(Event::JobOpened { spec, submitted_at, revision, done: Some(done) })
    }
}
