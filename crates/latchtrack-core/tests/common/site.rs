//! A simulated cluster: a leader and machines that execute its commands immediately. It records
//! every task that starts while it is live on another machine.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use latchtrack_core::job::{JobId, JobSpec, TaskId};
use latchtrack_core::machine::*;
use latchtrack_core::placement::Offer;
use latchtrack_core::scheduler::*;

use super::*;

/// The fencing token of the first leader.
pub const TOKEN: u64 = 7;
/// Time in ms between two steps of [`Cluster::advance_time`].
const STEP_MS: u64 = 200;
/// Time in ms between two heartbeats of each machine.
const HEARTBEAT_MS: u64 = 1_000;
/// Maximum number of changes in a transaction.
const MAX_CHANGES: usize = 8;

/// A leader and machines of eight CPUs each. Times are in ms; machines are identified by their
/// numbers.
pub struct Cluster {
    /// The scheduler of the current term.
    pub leader: Scheduler,
    /// The current time.
    pub now: u64,
    /// The phase of each attempt, by machine, task and attempt number.
    pub tasks: BTreeMap<u64, BTreeMap<(TaskId, u64), TaskPhase>>,
    /// Sequence number of the last heartbeat; all machines share one sequence.
    pub sequence: u64,
    /// Stop commands that reached a machine: the task and the grace period in seconds.
    pub stops: Vec<(TaskId, f64)>,
    /// Launches that machines executed or rejected: machine, task and attempt.
    pub launches: Vec<(u64, TaskId, u64)>,
    /// Machines that send heartbeats but receive neither responses nor calls.
    pub inbound_lost: BTreeSet<u64>,
    /// Preemption notices, in seconds, by machine.
    pub preemption_notices: BTreeMap<u64, f64>,
    /// All records that the leader has written.
    pub writes: Vec<RecordWrite>,
    /// Offers for which the leader has requested machines.
    pub provisions: Vec<Offer>,
    /// Whether the cloud answers provision requests with "no capacity"; otherwise it never answers.
    pub no_capacity: bool,
    /// Machines that neither send heartbeats nor answer calls.
    pub silent: BTreeSet<u64>,
    /// The agent epoch of each machine.
    pub agent_epoch: BTreeMap<u64, u64>,
    /// When the lease of each machine was last renewed by an answered heartbeat, or expired.
    pub lease_renewed_at: BTreeMap<u64, u64>,
    /// Whether the cloud executes and confirms terminations; otherwise it ignores them.
    pub confirms_terminations: bool,
    /// Machines that reject every launch because of insufficient resources.
    pub rejecting_launches: BTreeSet<u64>,
    /// Descriptions of task starts on one machine while the task was live on another.
    pub concurrent_runs: Vec<String>,
    /// Log lines of all leaders so far.
    pub log_lines: Vec<String>,
    /// The highest fencing token that each machine has seen.
    pub tokens: BTreeMap<u64, u64>,
    /// Direct calls that machines have executed, oldest first.
    pub executed_calls: Vec<ExecutedCall>,
    /// The revision of the state service.
    pub revision: u64,
}

/// A direct call that a machine has executed.
#[derive(Clone, Debug)]
pub struct ExecutedCall {
    machine: u64,
    token: u64,
    agent_epoch: u64,
    commands: Vec<Command>,
}

/// Returns the zone of a machine: `a` if its number is even, `b` if it is odd.
pub fn zone_of(machine: u64) -> &'static str {
    ["a", "b"][(machine % 2) as usize]
}

/// Returns the stored machine set of this many on-demand machines.
fn stored_on_demand_set(machines: u64) -> Vec<StoredMachineSet> {
    let machine = |i| StoredMachine {
        name: machine_name(i),
        machine_type: "g".into(),
        zone: zone_of(i).into(),
        spot: false,
        addr: machine_name(i),
    };
    let machines = Some((0..machines).map(machine).collect());
    vec![StoredMachineSet { name: "3-1".into(), revision: 4, machines }]
}

/// Returns a new leader that inherits this many machines.
pub fn new_leader(machines: u64, token: u64, policy: Policy, now: u64) -> Scheduler {
    let types = vec![machine_type(vec!["a".into(), "b".into()])];
    let revisions = TermRevisions { token, leaderless_since: token };
    Scheduler::new(policy, revisions, types, stored_on_demand_set(machines), Vec::new(), now)
}

impl Cluster {
    /// Creates a cluster of this many machines, all up and reconciled.
    pub fn new(machines: u64, policy: Policy) -> Cluster {
        let mut cluster = Cluster {
            leader: new_leader(machines, TOKEN, policy, 1_000),
            now: 1_000,
            tasks: (0..machines).map(|i| (i, BTreeMap::new())).collect(),
            sequence: 0,
            stops: Vec::new(),
            launches: Vec::new(),
            inbound_lost: BTreeSet::new(),
            preemption_notices: BTreeMap::new(),
            writes: Vec::new(),
            provisions: Vec::new(),
            no_capacity: false,
            silent: BTreeSet::new(),
            agent_epoch: (0..machines).map(|i| (i, 1)).collect(),
            lease_renewed_at: (0..machines).map(|i| (i, 1_000)).collect(),
            confirms_terminations: false,
            rejecting_launches: BTreeSet::new(),
            concurrent_runs: Vec::new(),
            log_lines: Vec::new(),
            tokens: (0..machines).map(|i| (i, 0)).collect(),
            executed_calls: Vec::new(),
            revision: TOKEN,
        };
        cluster.send_all_heartbeats();
        cluster
    }

    /// Submits a job at the current time.
    pub fn submit(&mut self, spec: JobSpec) {
        self.revision += 1;
        let event = Event::JobOpened {
            spec: Arc::new(spec),
            submitted_at: self.now,
            revision: self.revision,
            done: None,
        };
        self.handle_event(event);
    }

    /// Replaces the leader by a new one that inherits this many machines.
    pub fn fail_over(&mut self, machines: u64, policy: Policy) {
        self.revision += 1;
        self.leader = new_leader(machines, self.revision, policy, self.now);
    }

    /// Delivers a direct call once more, to a machine that has executed it before.
    pub fn deliver_copy(&mut self, call: &ExecutedCall) {
        let ExecutedCall { machine, token, agent_epoch, commands } = call;
        self.execute_call(*machine, *token, *agent_epoch, commands);
    }

    /// Passes an event to the leader and carries out the effects.
    pub fn handle_event(&mut self, event: Event) {
        let reporting = match &event {
            Event::Heartbeat(report) => Some(report.machine.clone()),
            _ => None,
        };
        for effect in self.leader.handle(self.now, event) {
            match effect {
                Effect::Respond { token, commands } => {
                    assert!(token <= self.revision, "a later leader may get {token}");
                    let machine = reporting.clone().expect("only heartbeats are responded to");
                    let i = machine_number(&machine);
                    let seen = self.tokens.get(&i).copied().unwrap_or(0);
                    if token >= seen && self.execute(&machine, &commands) {
                        self.tokens.insert(i, token);
                    }
                }
                Effect::CallWorker { machine, token, agent_epoch, call, commands, .. } => {
                    assert!(token <= self.revision, "a later leader may get {token}");
                    let i = machine_number(&machine);
                    let outcome = self.execute_call(i, token, agent_epoch, &commands);
                    if matches!(outcome, CallOutcome::Executed(_)) {
                        let call = ExecutedCall { machine: i, token, agent_epoch, commands };
                        self.executed_calls.push(call);
                    }
                    self.handle_event(Event::CallFinished { machine, call, outcome });
                }
                Effect::Provision { request_id, offer, .. } => {
                    self.provisions.push(offer);
                    if self.no_capacity {
                        self.handle_event(Event::ProvisionFinished {
                            request_id,
                            outcome: ProvisionOutcome::NoCapacity,
                        });
                    }
                }
                Effect::Terminate(names) if self.confirms_terminations => {
                    for name in &names {
                        self.tasks.remove(&machine_number(name));
                    }
                    self.handle_event(Event::TerminateFinished {
                        names,
                        outcome: TerminateOutcome::Terminated,
                    });
                }
                Effect::Log(event) => self.log_lines.push(event.to_string()),
                _ => {}
            }
        }
    }

    /// Lets a machine execute a direct call, unless it is unreachable or rejects the call.
    fn execute_call(
        &mut self,
        i: u64,
        token: u64,
        agent_epoch: u64,
        commands: &[Command],
    ) -> CallOutcome {
        let Some(seen) = self.tokens.get(&i).copied() else { return CallOutcome::NoAnswer };
        if token < seen || agent_epoch != self.agent_epoch[&i] {
            return CallOutcome::Rejected(self.next_heartbeat(i));
        }
        if !self.execute(&machine_name(i), commands) {
            return CallOutcome::NoAnswer;
        }
        self.tokens.insert(i, token);
        CallOutcome::Executed(self.next_heartbeat(i))
    }

    /// Executes commands on a machine, unless it is unreachable; returns whether they reached it.
    pub fn execute(&mut self, machine: &str, commands: &[Command]) -> bool {
        let i = machine_number(machine);
        if self.inbound_lost.contains(&i) || self.silent.contains(&i) {
            return false;
        }
        self.record_concurrent_runs(i, commands);
        let rejects = self.rejecting_launches.contains(&i);
        let Some(tasks) = self.tasks.get_mut(&i) else { return false };
        for command in commands {
            match *command {
                Command::Launch { task, attempt } => {
                    if let Entry::Vacant(free) = tasks.entry((task, attempt)) {
                        free.insert(if rejects {
                            TaskPhase::Ended(ExitCause::InsufficientResources)
                        } else {
                            TaskPhase::Fetching
                        });
                        self.launches.push((i, task, attempt));
                    }
                }
                Command::Stop { task, attempt, grace_s } => {
                    self.stops.push((task, grace_s));
                    if let Some(phase) = tasks.get_mut(&(task, attempt)) {
                        let live = !matches!(phase, TaskPhase::Ended(_));
                        if live && grace_s == 0.0 {
                            *phase = TaskPhase::Ended(ExitCause::Stopped);
                        } else if live {
                            *phase = TaskPhase::Checkpointing;
                        }
                    }
                }
                Command::Forget { task, attempt } => {
                    tasks.remove(&(task, attempt));
                }
            }
        }
        true
    }

    /// Returns the next heartbeat of a machine.
    pub fn next_heartbeat(&mut self, i: u64) -> Heartbeat {
        self.sequence += 1;
        let tasks = self.tasks[&i].iter().map(|((task, attempt), phase)| TaskStatus {
            task: *task,
            attempt: *attempt,
            phase: *phase,
        });
        Heartbeat {
            machine: machine_name(i),
            addr: machine_name(i),
            machine_type: "g".into(),
            zone: zone_of(i).into(),
            spot: false,
            agent_epoch: self.agent_epoch[&i],
            sequence: self.sequence,
            // Every live machine has heard of the leader.
            token: self.leader.token().max(self.tokens[&i]),
            notice_s: self.preemption_notices.get(&i).copied(),
            tasks: tasks.collect(),
        }
    }

    /// Sends a heartbeat of a machine, unless the machine is silent or no longer exists.
    pub fn send_heartbeat(&mut self, i: u64) {
        if self.silent.contains(&i) || !self.tasks.contains_key(&i) {
            return;
        }
        let heartbeat = self.next_heartbeat(i);
        self.handle_event(Event::Heartbeat(heartbeat));
        if !self.inbound_lost.contains(&i) {
            self.lease_renewed_at.insert(i, self.now);
        }
    }

    /// Records launches of tasks that are live on another machine.
    fn record_concurrent_runs(&mut self, machine: u64, commands: &[Command]) {
        for command in commands {
            let Command::Launch { task, attempt } = command else { continue };
            let is_new = !self.tasks[&machine].contains_key(&(*task, *attempt));
            let elsewhere = self.tasks.iter().filter(|(i, _)| **i != machine).find(|(_, tasks)| {
                let live = |p: &TaskPhase| !matches!(p, TaskPhase::Ended(_));
                tasks.iter().any(|((t, _), phase)| t == task && live(phase))
            });
            if let (true, Some((other, _))) = (is_new, elsewhere) {
                let text = format!("{task} on {other} and {machine} at {}", self.now);
                self.concurrent_runs.push(text);
            }
        }
    }

    /// Kills all tasks on machines whose lease has expired, and advances their agent epochs.
    fn expire_leases(&mut self) {
        for (i, from) in self.lease_renewed_at.clone() {
            if self.now > from + WORKER_LEASE_MS {
                self.lease_renewed_at.insert(i, self.now);
                *self.agent_epoch.entry(i).or_default() += 1;
                if let Some(tasks) = self.tasks.get_mut(&i) {
                    tasks.clear();
                }
            }
        }
    }

    /// Sends a heartbeat of every machine that is not silent.
    pub fn send_all_heartbeats(&mut self) {
        for i in self.tasks.keys().copied().collect::<Vec<_>>() {
            self.send_heartbeat(i);
        }
    }

    /// Advances the time in steps, with ticks, heartbeats and writes, all of which are committed.
    pub fn advance_time(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP_MS;
            self.expire_leases();
            self.handle_event(Event::Tick);
            if self.now % HEARTBEAT_MS == 0 {
                self.send_all_heartbeats();
            }
            let writes = self.leader.next_writes(self.now, MAX_CHANGES);
            if !writes.is_empty() {
                self.writes.extend(writes.clone());
                self.revision += 1;
                let outcome = BatchOutcome::Committed(self.revision);
                self.handle_event(Event::WritesFinished { writes, outcome });
            }
        }
    }

    /// Sets the phase of those live tasks of a job whose index `which` selects.
    pub fn set_phase(&mut self, id: u64, phase: TaskPhase, which: impl Fn(u32) -> bool) {
        for tasks in self.tasks.values_mut() {
            for ((task, _), p) in tasks.iter_mut() {
                let live = !matches!(p, TaskPhase::Ended(_));
                if task.job == JobId(id) && live && which(task.index) {
                    *p = phase;
                }
            }
        }
    }

    /// Returns the number of live tasks of a job on all machines, by attempt number.
    pub fn live_by_attempt(&self, id: u64) -> BTreeMap<u64, usize> {
        let mut live = BTreeMap::new();
        for ((task, attempt), phase) in self.tasks.values().flatten() {
            if task.job == JobId(id) && !matches!(phase, TaskPhase::Ended(_)) {
                *live.entry(*attempt).or_default() += 1;
            }
        }
        live
    }

    /// Returns the state of a gang's attempt, as known to the leader.
    pub fn attempt_state(&self, id: u64) -> AttemptState {
        self.leader.attempt_state(&self.leader.jobs()[&JobId(id)])
    }
}

/// Returns the number of the machine with this name.
pub fn machine_number(machine: &str) -> u64 {
    machine[2..].parse().expect("a machine name like `n-000001`")
}
