//! Passes events to a leader's scheduler and carries out the effects it returns.

use latchtrack_balance::balancer::MoveCounts;
use latchtrack_core::machine::Command;
use latchtrack_core::placement::Offer;
use latchtrack_core::scheduler::{BatchOutcome, CallOutcome, Effect, Event, Scheduler};
use latchtrack_quota::{LedgerWrite, WriteOutcome};
use rand::Rng;

use super::federation::SharedWrite;
use super::guards::DisabledGuard;
use super::messages::{Delivery, DirectCall, Message, Origin, Response};
use super::World;

/// Time after which a node gives up on a direct call, whether or not it arrives, ms.
const CALL_TIMEOUT_MS: u64 = 2_500;
/// Time after which a node gives up on a write, ms.
const WRITE_TIMEOUT_MS: u64 = 2_000;
/// Time until the ledger write of a node that may not act is refused, ms.
const REFUSED_LEDGER_WRITE_MS: u64 = 500;

/// The counts of moves in the scheduler's term so far.
fn move_counts(scheduler: &Scheduler) -> MoveCounts {
    scheduler.balance_summary().map(|summary| summary.counts).unwrap_or_default()
}

/// A leader's response to a heartbeat.
pub(super) struct LeaderResponse {
    pub token: u64,
    pub commands: Vec<Command>,
}

impl World {
    /// Passes an event to a node's scheduler and carries out its effects. Returns the response if
    /// the event was a heartbeat that gets one.
    pub(super) fn process_event(&mut self, n: usize, event: Event) -> Option<LeaderResponse> {
        let node = &self.nodes[n];
        let origin = Origin { node: n, restarts: node.restarts, token: node.token };
        let effects = self.run_scheduler(n, event)?;
        let mut response = None;
        for effect in effects {
            match effect {
                Effect::Respond { token, commands } => {
                    let token = self.command_token(origin, token);
                    response = Some(LeaderResponse { token, commands });
                }
                Effect::CallWorker { machine, token, agent_epoch, call, commands, .. } => {
                    let token = self.command_token(origin, token);
                    self.send_call(DirectCall {
                        origin,
                        worker: machine,
                        token,
                        agent_epoch,
                        call,
                        commands,
                        delivery: Delivery::InTime,
                    });
                }
                Effect::Provision { request_id, offer, number } => {
                    self.send_provision(origin, request_id, offer, number);
                }
                Effect::Terminate(names) => {
                    let delay = self.delay(0.05);
                    let response = Response::lost_if(self.chance(0.1));
                    self.post(delay, Message::Terminate { origin, names, response });
                }
                Effect::ListMachines => {
                    if let Some(listed) = self.list() {
                        let event = Event::MachinesListed(listed);
                        let delay = self.rng.random_range(50..2_000);
                        self.post(delay, Message::Event { origin, event });
                    }
                }
                Effect::WritesReady => self.send_writes(n),
                Effect::Resign(_) => self.resign(origin.token),
                Effect::Log(_) => {}
                Effect::WriteLedger(write) => self.send_ledger_write(origin, write),
            }
        }
        response
    }

    /// The token that a command of a leader carries, after checking that no later leader gets it.
    fn command_token(&mut self, origin: Origin, token: u64) -> u64 {
        if token < origin.token || token > self.revision {
            let what = format!("{token} in the term of {}", origin.token);
            self.report_violation("token", what);
        }
        match self.disabled_guard {
            DisabledGuard::RaisedTokens => origin.token,
            _ => token,
        }
    }

    /// Lets the scheduler handle an event, and updates the trace and the statistics. Returns `None`
    /// if the node has no scheduler.
    fn run_scheduler(&mut self, n: usize, event: Event) -> Option<Vec<Effect>> {
        let now = self.clock(n);
        let scheduler = self.nodes[n].scheduler.as_mut()?;
        let (cycles, moves) = (scheduler.cycles(), move_counts(scheduler));
        let is_tick = matches!(event, Event::Tick);
        let effects = scheduler.handle(now, event);
        if let Some(trace) = &mut self.trace {
            trace.record_effects(self.now, n, &effects);
        }
        let stats = &mut self.stats;
        stats.cycles += scheduler.cycles() - cycles;
        let counts = move_counts(scheduler);
        stats.moves.begun += counts.begun - moves.begun;
        stats.moves.settled += counts.settled - moves.settled;
        stats.moves.abandoned += counts.abandoned - moves.abandoned;
        if is_tick {
            let runs = scheduler.machines().values().map(|machine| machine.runs.len()).sum();
            stats.max_task_runs = stats.max_task_runs.max(runs);
            stats.max_machines_overdue =
                stats.max_machines_overdue.max(scheduler.overdue_machines(now).len());
            let open = self.jobs.values().filter(|job| job.is_open()).count();
            let known = scheduler.jobs().len();
            stats.max_jobs = stats.max_jobs.max(super::JobCounts { known, open });
        }
        Some(effects)
    }

    fn send_call(&mut self, direct_call: DirectCall) {
        self.stats.calls += 1;
        let is_late = self.has_random_faults() && self.chance(0.2);
        let delay = if is_late { self.rng.random_range(2_600..40_000) } else { self.delay(0.0) };
        let DirectCall { origin, call, .. } = direct_call;
        let name = direct_call.worker.clone();
        let worker = self.workers.get(&name);
        let is_cut_off = worker.is_none_or(|worker| self.now < worker.unreachable_until());
        let is_disconnected = worker.is_some_and(|worker| self.now < worker.disconnected_until);
        let event =
            Event::CallFinished { machine: name.clone(), call, outcome: CallOutcome::NoAnswer };
        self.post(CALL_TIMEOUT_MS, Message::Event { origin, event });
        if is_disconnected {
            return;
        }
        let partition = self.partition_between(&name, origin.node);
        let delay = if let Some(until) = partition {
            until - self.now + self.rng.random_range(1..500)
        } else if is_cut_off {
            self.rng.random_range(2_600..40_000)
        } else {
            delay
        };
        let is_late = is_late || is_cut_off || partition.is_some();
        let delivery = if is_late { Delivery::Late } else { Delivery::InTime };
        self.post(delay, Message::DirectCall(DirectCall { delivery, ..direct_call }));
    }

    fn send_provision(&mut self, origin: Origin, request_id: String, offer: Offer, number: u32) {
        let delay = self.delay(0.05);
        let response = Response::lost_if(self.chance(0.05));
        if self.has_random_faults() && self.chance(0.1) {
            // A duplicate of the request arrives late.
            let resend_delay = self.rng.random_range(3_000..40_000);
            let (request_id, offer) = (request_id.clone(), offer.clone());
            let response = Response::Lost;
            let message = Message::Provision { origin, request_id, offer, number, response };
            self.post(resend_delay, message);
        }
        self.post(delay, Message::Provision { origin, request_id, offer, number, response });
    }

    /// Releases the leader key if the leader with this token still holds it.
    fn resign(&mut self, token: u64) {
        if self.leader.map(|leader| leader.token) == Some(token) {
            self.leader = None;
            self.revision += 1;
            self.leaderless_since = self.revision;
        }
    }

    fn send_ledger_write(&mut self, origin: Origin, write: LedgerWrite) {
        if self.may_act(origin.node) {
            self.shared_writes.push(SharedWrite { origin, write });
            return;
        }
        let event = Event::LedgerWriteFinished { write, outcome: WriteOutcome::NotStored };
        self.post(REFUSED_LEDGER_WRITE_MS, Message::Event { origin, event });
    }

    /// Sends the scheduler's next writes if none are in flight. They may be late or sent twice, or
    /// their response may be lost.
    fn send_writes(&mut self, n: usize) {
        let now = self.clock(n);
        let node = &mut self.nodes[n];
        if node.write_in_flight || now < node.next_write_at {
            return;
        }
        let origin = Origin { node: n, restarts: node.restarts, token: node.token };
        let Some(scheduler) = node.scheduler.as_mut() else { return };
        let writes = scheduler.next_writes(now, self.leader_write_limits.changes);
        if let Some(trace) = &mut self.trace {
            trace.record_writes(self.now, n, &writes);
        }
        if writes.is_empty() {
            return;
        }
        node.write_in_flight = true;
        node.next_write_at = now + self.size.write_interval_ms;
        let mut delay = self.delay(0.03);
        let mut response = Response::lost_if(self.chance(0.03));
        if self.applies(self.faults.late_writes) {
            delay = self.rng.random_range(2_000..12_000);
            response = Response::Lost;
            self.record_occurrence("late write");
        }
        if self.applies(self.faults.lost_write_responses) {
            response = Response::Lost;
            self.record_occurrence("response lost");
        }
        if delay > WRITE_TIMEOUT_MS || response == Response::Lost {
            // The node does not learn the outcome; the writes may still commit.
            let (writes, outcome) = (writes.clone(), BatchOutcome::Unknown);
            self.post(WRITE_TIMEOUT_MS, Message::WriteFinished { origin, writes, outcome });
        }
        if self.has_random_faults() && self.chance(0.1) {
            let resend_delay = self.rng.random_range(3_000..40_000);
            let writes = writes.clone();
            self.post(resend_delay, Message::Write { origin, writes, response: Response::Lost });
        }
        if delay > WRITE_TIMEOUT_MS {
            response = Response::Lost;
        }
        self.post(delay, Message::Write { origin, writes, response });
    }
}
