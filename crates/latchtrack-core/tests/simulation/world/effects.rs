//! What comes of the effects of a leader.

use super::*;

/// The moves of a leader's term so far.
fn counts(cluster: &Scheduler) -> MoveCounts {
    cluster.balance_summary().map(|summary| summary.counts).unwrap_or_default()
}

impl World {
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
}
