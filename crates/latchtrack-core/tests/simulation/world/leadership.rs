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

    pub(super) fn take_over(&mut self, n: usize) {
        self.epoch += 1;
        self.terms += 1;
        let token = self.epoch;
        self.last_token = token;
        self.leader = Some((n, token, self.now + TTL));
        let now = self.clock(n);
        let team = |name: &str, cpus_max| Team {
            name: name.into(),
            cpus: 4.0,
            cpus_max,
            gpus: 0.0,
            gpus_max: 0.0,
        };
        let limit = if self.broken == Broken::NoLimit { 0.0 } else { self.size.limit };
        let policy = Policy {
            weights: ScoreWeights::default(),
            slice: 1 + (token % 2) as u32,
            spot_idle_timeout_ms: self.size.idle_wait,
            on_demand_idle_timeout_ms: self.size.idle_wait * 2 / 5,
            reserve_after_ms: 3_000,
            spot_provision_delay_ms: 0,
            on_demand_provision_delay_ms: 500,
            heartbeat_timeout_ms: Policy::default_heartbeat_timeout_ms(self.size.report).max(6_000),
            reconcile_timeout_ms: 4_000,
            heartbeat_interval_ms: self.size.report,
            list_lag_ms: 1_500,
            worker_lease_ms: if self.broken == Broken::ShortLease { 0 } else { LEASE },
            max_open_calls: 16.max(self.size.capacity),
            value_bytes: self.kept_to.0,
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
        let leaderless_since =
            if self.broken == Broken::AlwaysVacant { 0 } else { self.leaderless_since };
        let revisions = TermRevisions { token, leaderless_since };
        let inherited = match self.broken {
            Broken::NoSettling => Vec::new(),
            _ => self.machine_sets.values().cloned().collect(),
        };
        let mut results: Vec<StoredResults> = self.results.values().cloned().collect();
        for r in &mut results {
            let open = |id: &JobId| matches!(self.jobs[id].state, State::Open { .. });
            r.chunks.retain(|(id, ..)| open(id));
        }
        // What was held back of the last leader's time reaches every node now, within a second.
        for (worker, report) in std::mem::take(&mut self.reserved_exclusively) {
            for node in 0..self.size.nodes {
                let (worker, report) = (worker.clone(), report.clone());
                let delay = self.rng.random_range(1..1_500);
                self.meets("copies for the next leader");
                self.post(delay, Msg::Heartbeat { node, worker, report, id: 0, sent: self.now });
            }
        }
        let node = &mut self.nodes[n];
        node.cluster = Some(Scheduler::new(policy, revisions, types(), inherited, results, now));
        node.token = token;
        node.valid_until = now + TTL - GUARD;
        node.seen_stamp = 0;
        node.saving = false;
    }

    /// The cache takes in the job records.
    pub(super) fn read_jobs(&mut self, n: usize) {
        let seen = self.nodes[n].seen_stamp;
        let mut events = Vec::new();
        for (id, j) in self.jobs.iter().filter(|(_, j)| j.revision > seen) {
            match j.state {
                State::Open { .. } if self.broken == Broken::Forgetful && id.0 % 5 == 0 => {}
                State::Open { stored_at } => {
                    let mut done = Bitmap::new(j.spec.tasks);
                    for (job, chunk, bytes) in self.results.values().flat_map(|r| &r.chunks) {
                        if job == id {
                            done.merge_chunk(*chunk, bytes);
                        }
                    }
                    if self.broken == Broken::EarlyDone && j.spec.tasks > 1 {
                        done.set(0);
                    }
                    let mut spec = j.spec.clone();
                    if self.broken == Broken::TaskByTask {
                        Arc::make_mut(&mut spec).gang = false;
                    }
                    if self.broken == Broken::AnyPlace {
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
                _ if self.broken == Broken::DeafToCancel => {}
                _ => events.push(Event::JobClosed(*id)),
            }
        }
        self.nodes[n].seen_stamp = self.epoch;
        self.nodes[n].fresh_at = self.clock(n);
        for event in events {
            self.drive(n, event);
        }
    }
}
