//! The nodes: what drives the core, and what comes of its effects.

use super::*;

/// Moves that a leader may begin in a minute.
const MOVES_A_MINUTE: u32 = 120;

/// The moves of a leader's term so far.
fn counts(cluster: &Scheduler) -> MoveCounts {
    cluster.balance_summary().map(|summary| summary.counts).unwrap_or_default()
}

impl World {
    /// The steady clock of a node.
    pub(super) fn clock(&self, n: usize) -> u64 {
        (self.now as f64 * (1.0 + self.nodes[n].drift)) as u64
    }

    pub(super) fn reaches_store(&self, n: usize) -> bool {
        let node = &self.nodes[n];
        if self.lonely && (40_000..110_000).contains(&self.now) {
            return false;
        }
        let cut = self.zone_cut.is_some_and(|(z, until)| self.now < until && z == Self::zone_of(n));
        !cut && self.now >= self.store_down_until.max(node.cut_until).max(node.refused_until)
    }

    pub(super) fn awake(&self, n: usize) -> bool {
        self.nodes[n].up && self.now >= self.nodes[n].paused_until
    }

    pub(super) fn may_act(&self, n: usize) -> bool {
        let (node, now) = (&self.nodes[n], self.clock(n));
        node.cluster.is_some()
            && (self.broken == Broken::NoLease
                || (now < node.valid_until && now < node.fresh_at + TTL))
    }

    pub(super) fn step_node(&mut self, n: usize) {
        if !self.nodes[n].up && self.now >= self.nodes[n].back_at {
            self.nodes[n].up = true;
        }
        if !self.awake(n) {
            return;
        }
        let now = self.clock(n);
        if self.reaches_store(n) && now >= self.nodes[n].last_renew + 300 {
            self.nodes[n].last_renew = now;
            match self.leader {
                None => self.take_over(n),
                Some((leader, token, _)) if leader == n && self.nodes[n].token == token => {
                    self.leader = Some((n, token, self.now + TTL));
                    self.nodes[n].valid_until = now + TTL - GUARD;
                }
                Some(_) => {
                    if self.broken != Broken::NoLease {
                        self.nodes[n].cluster = None;
                        self.nodes[n].token = 0;
                    }
                }
            }
            if self.broken != Broken::NoLease || self.leader.map(|l| l.0) == Some(n) {
                self.read_jobs(n);
            }
        }
        if self.may_act(n) {
            self.drive(n, Event::Tick);
        }
    }

    pub(super) fn list(&mut self) -> Option<Vec<ListedMachine>> {
        if self.now < self.cloud_down_until {
            return None;
        }
        let mut out = Vec::new();
        for (name, w) in &self.workers {
            // New ones are absent for a while.
            if w.rented_at + 3_000 < self.now {
                out.push(ListedMachine {
                    name: name.clone(),
                    kind: w.kind.into(),
                    zone: w.zone.into(),
                    spot: w.spot,
                    failed: !w.alive,
                    running: w.alive && w.up_at < self.now,
                    age_ms: self.now - w.rented_at,
                });
            }
        }
        Some(out)
    }

    /// How a leader of this token balances: two of three do, quicker than the defaults, since tasks here
    /// run for seconds.
    fn balance_policy(&self, token: u64) -> BalancePolicy {
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
            start_objectives: vec![latchtrack_core::scheduler::StartObjective {
                class: "d".into(),
                within_ms: 1_000,
            }],
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

    pub(super) fn drive(&mut self, n: usize, event: Event) -> Option<Vec<Command>> {
        let now = self.clock(n);
        let node = &mut self.nodes[n];
        let (run, token) = (node.run, node.token);
        let cluster = node.cluster.as_mut()?;
        let cycles = cluster.cycles();
        let moves = counts(cluster);
        let ticks = matches!(event, Event::Tick);
        let effects = cluster.handle(now, event);
        if let Some(trace) = &mut self.trace {
            trace.record_effects(self.now, n, &effects);
        }
        self.cycles += cluster.cycles() - cycles;
        let now_counted = counts(cluster);
        self.moves.begun += now_counted.begun - moves.begun;
        self.moves.settled += now_counted.settled - moves.settled;
        self.moves.abandoned += now_counted.abandoned - moves.abandoned;
        if ticks {
            let runs = cluster.machines().values().map(|m| m.runs.len()).sum();
            self.most_runs = self.most_runs.max(runs);
            self.most_overdue = self.most_overdue.max(cluster.overdue(now).len());
            let open = self.jobs.values().filter(|j| matches!(j.state, State::Open { .. })).count();
            self.most_jobs = self.most_jobs.max((cluster.jobs().len(), open));
        }
        let mut answer = None;
        for effect in effects {
            match effect {
                Effect::Respond(commands) => answer = Some(commands),
                Effect::CallWorker { machine, agent_epoch, call, commands, .. } => {
                    self.calls += 1;
                    let late = self.now < self.size.troubled && self.chance(0.2);
                    let delay =
                        if late { self.rng.random_range(2_600..40_000) } else { self.delay(0.0) };
                    let worker = machine.clone();
                    let cut = self
                        .workers
                        .get(&machine)
                        .is_none_or(|w| self.now < w.cut_until.max(w.deaf_until));
                    // Given up after 2.5 s, whether or not it arrives.
                    let lost = Msg::Did {
                        node: n,
                        run,
                        token,
                        worker: machine,
                        call,
                        outcome: CallOutcome::NoAnswer,
                    };
                    self.post(2_500, lost);
                    let apart = self.apart(&worker, n);
                    let cut = cut || apart.is_some();
                    let late = late || cut;
                    let delay = if let Some(until) = apart {
                        until - self.now + self.rng.random_range(1..500)
                    } else if cut {
                        self.rng.random_range(2_600..40_000)
                    } else {
                        delay
                    };
                    self.post(
                        delay,
                        Msg::Do { node: n, run, worker, token, agent_epoch, call, commands, late },
                    );
                }
                Effect::Provision { request_id, offer, number } => {
                    let (delay, tell) = (self.delay(0.05), !self.chance(0.05));
                    if self.now < self.size.troubled && self.chance(0.1) {
                        // A request that was carried out comes once more, late.
                        let (request_id, offer) = (request_id.clone(), offer.clone());
                        let again = self.rng.random_range(3_000..40_000);
                        let tell = false;
                        let msg =
                            Msg::Provision { node: n, run, token, request_id, offer, number, tell };
                        self.post(again, msg);
                    }
                    self.post(
                        delay,
                        Msg::Provision { node: n, run, token, request_id, offer, number, tell },
                    );
                }
                Effect::Terminate(names) => {
                    let (delay, tell) = (self.delay(0.05), !self.chance(0.1));
                    self.post(delay, Msg::Return { node: n, run, token, names, tell });
                }
                Effect::ListMachines => {
                    if let Some(listed) = self.list() {
                        let event = Event::MachinesListed(listed);
                        let delay = self.rng.random_range(50..2_000);
                        self.post(delay, Msg::Tell { node: n, run, token, event });
                    }
                }
                Effect::WritesReady => self.save(n),
                Effect::Resign(_) => {
                    if self.leader.map(|l| l.1) == Some(token) {
                        self.leader = None;
                        self.epoch += 1;
                        self.leaderless_since = self.epoch;
                    }
                }
                Effect::Log(_) => {}
                Effect::WriteLedger(write) if self.may_act(n) => {
                    let shared = federation::SharedWrite { node: n, run, token, write };
                    self.shared_writes.push(shared);
                }
                Effect::WriteLedger(write) => {
                    let event =
                        Event::LedgerWriteFinished { write, outcome: WriteOutcome::NotStored };
                    self.post(500, Msg::Tell { node: n, run, token, event });
                }
            }
        }
        answer
    }

    pub(super) fn save(&mut self, n: usize) {
        let now = self.clock(n);
        let node = &mut self.nodes[n];
        if node.saving {
            return;
        }
        let (run, token) = (node.run, node.token);
        if now < node.next_save {
            return;
        }
        let gap = self.size.write_gap;
        let Some(c) = node.cluster.as_mut() else { return };
        let writes = c.next_writes(now, self.kept_to.1);
        if let Some(trace) = &mut self.trace {
            trace.record_writes(self.now, n, &writes);
        }
        if writes.is_empty() {
            return;
        }
        node.saving = true;
        node.next_save = now + gap;
        let (mut delay, mut tell) = (self.delay(0.03), !self.chance(0.03));
        if self.now < self.late_writes.1 && self.rng.random_bool(self.late_writes.0) {
            delay = self.rng.random_range(2_000..12_000);
            tell = false;
            self.meets("late write");
        }
        if self.now < self.lost_answers.1 && self.rng.random_bool(self.lost_answers.0) {
            tell = false;
            self.meets("lost answer");
        }
        if delay > 2_000 || !tell {
            // Unknown to the node, and perhaps applied late.
            let outcome = BatchOutcome::Unknown;
            let writes = writes.clone();
            self.post(2_000, Msg::Saved { node: n, run, token, writes, outcome });
        }
        if self.now < self.size.troubled && self.chance(0.1) {
            let again = self.rng.random_range(3_000..40_000);
            let writes = writes.clone();
            self.post(again, Msg::Write { node: n, run, token, writes, tell: false });
        }
        self.post(delay, Msg::Write { node: n, run, token, writes, tell: tell && delay <= 2_000 });
    }

    pub(super) fn deliver(&mut self, msg: Msg) {
        match msg {
            Msg::Heartbeat { node, worker, mut report, id, sent } => {
                self.copies += u64::from(id == 0);
                if self.broken == Broken::SavingUnseen {
                    report.tasks.retain(|t| t.phase != TaskPhase::Checkpointing);
                }
                if self.broken == Broken::WaitingUnseen {
                    report.tasks.retain(|t| t.phase != TaskPhase::Waiting);
                }
                if self.broken == Broken::CancelledUseNothing {
                    let cancelled = |id: &JobId| matches!(self.jobs[id].state, State::Cancelled);
                    report.tasks.retain(|t| !cancelled(&t.task.job));
                }
                if self.broken == Broken::BelieveCopies && id == 0 {
                    report.token = self.nodes[node].token;
                }
                let node_cut = self.now < self.nodes[node].cut_until;
                if !self.awake(node) || node_cut {
                    return;
                }
                if !self.may_act(node) {
                    self.post(5, Msg::Elsewhere { worker, id });
                    return;
                }
                let (token, agent_epoch) = (self.nodes[node].token, report.agent_epoch);
                let commands = self.drive(node, Event::Heartbeat(report.clone()));
                let Some(mut commands) = commands else {
                    self.post(5, Msg::Elsewhere { worker, id });
                    return;
                };
                if self.broken == Broken::EarlyForget {
                    for t in report.tasks.iter().filter(|t| matches!(t.phase, TaskPhase::Ended(_)))
                    {
                        commands.push(Command::Forget { task: t.task, attempt: t.attempt });
                    }
                }
                if self.apart(&worker, node).is_some() {
                    return;
                }
                let delay = self.delay(0.01);
                self.post(delay, Msg::Answer { worker, id, token, agent_epoch, commands, sent });
            }
            Msg::Answer { worker, id, token, agent_epoch, commands, sent } => {
                let now = self.now;
                let Some(w) = self.workers.get_mut(&worker) else { return };
                let current = w.flying.is_some_and(|(_, f)| f == id) && now <= sent + 4_000;
                let unreached = now < w.cut_until.max(w.deaf_until);
                if !w.alive || now < w.hang_until || unreached || !current {
                    return;
                }
                w.flying = None;
                if token < w.token || agent_epoch != w.agent_epoch {
                    return;
                }
                if token > w.token {
                    w.next_report = now + 500;
                }
                w.token = token;
                w.lease_from = w.lease_from.max(sent);
                self.execute(&worker, &commands);
            }
            Msg::Elsewhere { worker, id } => {
                let leader = self.leader.map(|l| l.0);
                let now = self.now;
                let Some(w) = self.workers.get_mut(&worker) else { return };
                if w.flying.is_some_and(|(_, f)| f == id) {
                    w.flying = None;
                    w.node =
                        leader.filter(|l| *l != w.node).unwrap_or((w.node + 1) % self.size.nodes);
                    w.next_report = now + 500;
                }
            }
            Msg::Do { node, run, worker, token, agent_epoch, call, commands, late } => {
                let now = self.now;
                let Some(w) = self.workers.get_mut(&worker) else { return };
                if !w.alive || now < w.up_at || w.agent_epoch == 0 {
                    return;
                }
                if now < w.hang_until {
                    // Executed when the machine resumes.
                    let wait = w.hang_until - now + 1;
                    let msg = Msg::Do {
                        node,
                        run,
                        worker,
                        token,
                        agent_epoch,
                        call,
                        commands,
                        late: true,
                    };
                    self.post(wait, msg);
                    return;
                }
                w.sequence += 1;
                let good = token >= w.token && agent_epoch == w.agent_epoch;
                if good {
                    w.token = token;
                    self.late_commands += u64::from(late && !commands.is_empty());
                    self.execute(&worker, &commands);
                }
                if late {
                    return;
                }
                let Some(report) = self.report(&worker) else { return };
                let outcome = if good {
                    CallOutcome::Executed(report)
                } else {
                    CallOutcome::Rejected(report)
                };
                // The answer may be lost on its way.
                if !self.chance(0.02) {
                    let delay = self.rng.random_range(1..60);
                    self.post(delay, Msg::Did { node, run, token, worker, call, outcome });
                }
            }
            Msg::Did { node, run, token, worker, call, outcome } => {
                let event = Event::CallFinished { machine: worker, call, outcome };
                self.deliver(Msg::Tell { node, run, token, event });
            }
            Msg::Provision { node, run, token, request_id, offer, number, tell } => {
                let outcome = self.provision(&request_id, &offer, number);
                let outcome = if tell { outcome } else { ProvisionOutcome::Unknown };
                let wait =
                    if matches!(outcome, ProvisionOutcome::Provisioned(_)) { 50 } else { 800 };
                let event = Event::ProvisionFinished { request_id, outcome };
                self.post(wait, Msg::Tell { node, run, token, event });
            }
            Msg::Return { node, run, token, names, tell } => {
                let up = self.now >= self.cloud_down_until;
                if up && self.broken != Broken::SilenceIsDeath {
                    for name in &names {
                        self.workers.remove(name);
                    }
                }
                let ok = up && tell;
                let event = Event::TerminateFinished { names, ok };
                self.post(if ok { 50 } else { 800 }, Msg::Tell { node, run, token, event });
            }
            Msg::Write { node, run, token, writes, tell } => {
                let outcome = self.write(token, &writes);
                if tell {
                    let wait = if matches!(outcome, BatchOutcome::Committed(_)) { 5 } else { 250 };
                    self.post(wait, Msg::Saved { node, run, token, writes, outcome });
                }
            }
            Msg::Saved { node, run, token, writes, outcome } => {
                if self.nodes[node].run == run && self.nodes[node].token == token {
                    self.nodes[node].saving = false;
                    let event = Event::WritesFinished { writes, outcome };
                    self.deliver(Msg::Tell { node, run, token, event });
                }
            }
            Msg::Tell { node, run, token, event } => {
                let n = &self.nodes[node];
                if n.run == run && n.token == token && n.up {
                    if self.now < n.paused_until {
                        let wait = n.paused_until - self.now + 1;
                        self.post(wait, Msg::Tell { node, run, token, event });
                    } else {
                        self.drive(node, event);
                    }
                }
            }
        }
    }
}
