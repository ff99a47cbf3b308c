//! A node takes over, and reads the job records.

use super::*;

/// Moves that a leader may begin in a minute.
const MOVES_A_MINUTE: u32 = 120;

impl World {
    /// How a leader of this token balances: two of three do, quicker than the defaults, since tasks here
    /// run for seconds.
    pub(super) fn balance_policy(&self, token: u64) -> BalancePolicy {
        if !self.size.balance || token % 3 == 0 {
            return BalancePolicy::default();
        }
        let limits = Limits {
            over_bound_ms: 500,
            min_run_ms: 500,
            task_cooldown_ms: 5_000,
            machine_gap_ms: 500,
            machine_rest_ms: 5_000,
            moves_per_minute: MOVES_A_MINUTE,
            worth_factor: 0.2,
        };
        BalancePolicy { placement: true, teams: true, moves: true, limits, calm_ms: 1_000 }
    }

    pub(super) fn campaign(&mut self, n: usize) {
        self.revision += 1;
        self.terms += 1;
        let token = self.revision;
        self.last_token = token;
        self.leader = Some((n, token, self.now + LEADER_LEASE_MS));
        let now = self.clock(n);
        let team = |name: &str, cpus_max| Team {
            name: name.into(),
            cpus: 4.0,
            cpus_max,
            gpus: 0.0,
            gpus_max: 0.0,
        };
        let limit = if self.disabled_guard == DisabledGuard::TeamLimit {
            0.0
        } else {
            self.size.limited_team_cpus
        };
        let policy = Policy {
            weights: ScoreWeights::default(),
            slice: 1 + (token % 2) as u32,
            spot_idle_timeout_ms: self.size.spot_idle_timeout_ms,
            on_demand_idle_timeout_ms: self.size.spot_idle_timeout_ms * 2 / 5,
            reserve_after_ms: 3_000,
            spot_provision_delay_ms: 0,
            on_demand_provision_delay_ms: 500,
            heartbeat_timeout_ms: Policy::default_heartbeat_timeout_ms(
                self.size.heartbeat_interval_ms,
            )
            .max(6_000),
            reconcile_timeout_ms: 4_000,
            heartbeat_interval_ms: self.size.heartbeat_interval_ms,
            list_lag_ms: 1_500,
            worker_lease_ms: if self.disabled_guard == DisabledGuard::WorkerLease {
                0
            } else {
                WORKER_LEASE_MS
            },
            max_open_calls: 16.max(self.size.machines_per_offer),
            value_bytes: self.leader_write_limits.0,
            teams: vec![team("free", 0.0), team("limited", limit)],
            quota_cell: self.cell.clone(),
            classes_with_objectives: ["c", "d"].map(String::from).into(),
            start_objectives: vec![("d".into(), 1_000)],
            balance: self.balance_policy(token),
            completion_objectives: [("c", 30_000), ("d", 60_000)]
                .map(|(class, ms)| CompletionObjective {
                    class: class.into(),
                    due: Due::Within(ms),
                })
                .to_vec(),
        };
        let leaderless_since = if self.disabled_guard == DisabledGuard::LeaderlessSince {
            0
        } else {
            self.leaderless_since
        };
        let revisions = TermRevisions { token, leaderless_since };
        let inherited = match self.disabled_guard {
            DisabledGuard::Reconciliation => Vec::new(),
            _ => self.machine_sets.values().cloned().collect(),
        };
        let mut results: Vec<StoredResults> = self.results.values().cloned().collect();
        for r in &mut results {
            let open = |id: &JobId| matches!(self.jobs[id].state, JobState::Open { .. });
            r.chunks.retain(|(id, ..)| open(id));
        }
        // What was held back of the last leader's time reaches every node now, within a second.
        for (worker, report) in std::mem::take(&mut self.withheld_heartbeats) {
            for node in 0..self.size.nodes {
                let (worker, report) = (worker.clone(), report.clone());
                let delay = self.rng.random_range(1..1_500);
                self.record("copies for the next leader");
                self.post(
                    delay,
                    Message::Heartbeat { node, worker, report, id: 0, sent: self.now },
                );
            }
        }
        let node = &mut self.nodes[n];
        node.scheduler = Some(Scheduler::new(policy, revisions, types(), inherited, results, now));
        node.token = token;
        node.lease_valid_until = now + LEADER_LEASE_MS - LEASE_MARGIN_MS;
        node.seen_revision = 0;
        node.write_in_flight = false;
    }

    /// The cache takes in the job records.
    pub(super) fn read_jobs(&mut self, n: usize) {
        let seen = self.nodes[n].seen_revision;
        let mut events = Vec::new();
        for (id, j) in self.jobs.iter().filter(|(_, j)| j.revision > seen) {
            match j.state {
                JobState::Open { .. }
                    if self.disabled_guard == DisabledGuard::JobRecovery && id.0 % 5 == 0 => {}
                JobState::Open { stored_at } => {
                    let mut done = Bitmap::new(j.spec.tasks);
                    for (job, chunk, bytes) in self.results.values().flat_map(|r| &r.chunks) {
                        if job == id {
                            done.merge_chunk(*chunk, bytes);
                        }
                    }
                    if self.disabled_guard == DisabledGuard::TaskCompletion && j.spec.tasks > 1 {
                        done.set(0);
                    }
                    let mut spec = j.spec.clone();
                    if self.disabled_guard == DisabledGuard::GangAtomicity {
                        Arc::make_mut(&mut spec).gang = false;
                    }
                    if self.disabled_guard == DisabledGuard::PlacementConstraints {
                        let s = Arc::make_mut(&mut spec);
                        (s.types, s.zone, s.one_zone, s.spread) = (None, None, false, false);
                        s.spot = true;
                    }
                    events.push(Event::JobOpened {
                        spec,
                        submitted_at: stored_at,
                        revision: j.revision,
                        done: Some(done),
                    });
                }
                _ if self.disabled_guard == DisabledGuard::Cancellation => {}
                _ => events.push(Event::JobClosed(*id)),
            }
        }
        self.nodes[n].seen_revision = self.revision;
        self.nodes[n].cache_fresh_at = self.clock(n);
        for event in events {
            self.drive(n, event);
        }
    }
}
