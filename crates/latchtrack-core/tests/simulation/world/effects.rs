//! What comes of the effects of a leader.

use super::*;

/// The moves of a leader's term so far.
fn counts(scheduler: &Scheduler) -> MoveCounts {
    scheduler.balance_summary().map(|summary| summary.counts).unwrap_or_default()
}

impl World {
    pub(super) fn drive(&mut self, n: usize, event: Event) -> Option<Vec<Command>> {
        let now = self.clock(n);
        let node = &mut self.nodes[n];
        let (run, token) = (node.run, node.token);
        let scheduler = node.scheduler.as_mut()?;
        let cycles = scheduler.cycles();
        let moves = counts(scheduler);
        let ticks = matches!(event, Event::Tick);
        let effects = scheduler.handle(now, event);
        if let Some(trace) = &mut self.trace {
            trace.record_effects(self.now, n, &effects);
        }
        self.cycles += scheduler.cycles() - cycles;
        let now_counted = counts(scheduler);
        self.moves.begun += now_counted.begun - moves.begun;
        self.moves.settled += now_counted.settled - moves.settled;
        self.moves.abandoned += now_counted.abandoned - moves.abandoned;
        if ticks {
            let runs = scheduler.machines().values().map(|m| m.runs.len()).sum();
            self.most_runs = self.most_runs.max(runs);
            self.most_overdue = self.most_overdue.max(scheduler.overdue(now).len());
            let open =
                self.jobs.values().filter(|j| matches!(j.state, JobState::Open { .. })).count();
            self.most_jobs = self.most_jobs.max((scheduler.jobs().len(), open));
        }
        let mut answer = None;
        for effect in effects {
            match effect {
                Effect::Respond(commands) => answer = Some(commands),
                Effect::CallWorker { machine, agent_epoch, call, commands, .. } => {
                    self.calls += 1;
                    let late = self.now < self.size.fault_period_ms && self.chance(0.2);
                    let delay =
                        if late { self.rng.random_range(2_600..40_000) } else { self.delay(0.0) };
                    let worker = machine.clone();
                    let cut = self
                        .workers
                        .get(&machine)
                        .is_none_or(|w| self.now < w.partitioned_until.max(w.inbound_lost_until));
                    // Given up after 2.5 s, whether or not it arrives.
                    let lost = Message::CallFinished {
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
                        Message::DirectCall {
                            node: n,
                            run,
                            worker,
                            token,
                            agent_epoch,
                            call,
                            commands,
                            late,
                        },
                    );
                }
                Effect::Provision { request_id, offer, number } => {
                    let (delay, responds) = (self.delay(0.05), !self.chance(0.05));
                    if self.now < self.size.fault_period_ms && self.chance(0.1) {
                        // A request that was carried out comes once more, late.
                        let (request_id, offer) = (request_id.clone(), offer.clone());
                        let again = self.rng.random_range(3_000..40_000);
                        let responds = false;
                        let msg = Message::Provision {
                            node: n,
                            run,
                            token,
                            request_id,
                            offer,
                            number,
                            responds,
                        };
                        self.post(again, msg);
                    }
                    self.post(
                        delay,
                        Message::Provision {
                            node: n,
                            run,
                            token,
                            request_id,
                            offer,
                            number,
                            responds,
                        },
                    );
                }
                Effect::Terminate(names) => {
                    let (delay, responds) = (self.delay(0.05), !self.chance(0.1));
                    self.post(delay, Message::Terminate { node: n, run, token, names, responds });
                }
                Effect::ListMachines => {
                    if let Some(listed) = self.list() {
                        let event = Event::MachinesListed(listed);
                        let delay = self.rng.random_range(50..2_000);
                        self.post(delay, Message::Event { node: n, run, token, event });
                    }
                }
                Effect::WritesReady => self.save(n),
                Effect::Resign(_) => {
                    if self.leader.map(|l| l.1) == Some(token) {
                        self.leader = None;
                        self.revision += 1;
                        self.leaderless_since = self.revision;
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
                    self.post(500, Message::Event { node: n, run, token, event });
                }
            }
        }
        answer
    }

    pub(super) fn save(&mut self, n: usize) {
        let now = self.clock(n);
        let node = &mut self.nodes[n];
        if node.write_in_flight {
            return;
        }
        let (run, token) = (node.run, node.token);
        if now < node.next_write_at {
            return;
        }
        let gap = self.size.write_interval_ms;
        let Some(c) = node.scheduler.as_mut() else { return };
        let writes = c.next_writes(now, self.leader_write_limits.1);
        if let Some(trace) = &mut self.trace {
            trace.record_writes(self.now, n, &writes);
        }
        if writes.is_empty() {
            return;
        }
        node.write_in_flight = true;
        node.next_write_at = now + gap;
        let (mut delay, mut responds) = (self.delay(0.03), !self.chance(0.03));
        if self.now < self.late_writes.1 && self.rng.random_bool(self.late_writes.0) {
            delay = self.rng.random_range(2_000..12_000);
            responds = false;
            self.record("late write");
        }
        if self.now < self.lost_write_responses.1
            && self.rng.random_bool(self.lost_write_responses.0)
        {
            responds = false;
            self.record("lost answer");
        }
        if delay > 2_000 || !responds {
            // Unknown to the node, and perhaps applied late.
            let outcome = BatchOutcome::Unknown;
            let writes = writes.clone();
            self.post(2_000, Message::WriteFinished { node: n, run, token, writes, outcome });
        }
        if self.now < self.size.fault_period_ms && self.chance(0.1) {
            let again = self.rng.random_range(3_000..40_000);
            let writes = writes.clone();
            self.post(again, Message::Write { node: n, run, token, writes, responds: false });
        }
        self.post(
            delay,
            Message::Write { node: n, run, token, writes, responds: responds && delay <= 2_000 },
        );
    }
}
