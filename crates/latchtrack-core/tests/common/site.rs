//! A leader with machines that do what they are told, and a referee of what starts on them.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use latchtrack_core::job::{JobId, JobSpec, TaskId};
use latchtrack_core::machine::*;
use latchtrack_core::placement::Offer;
use latchtrack_core::scheduler::*;

use super::*;

pub const TOKEN: u64 = 7;

/// A leader with machines of eight CPUs that do what they are told at once.
pub struct Site {
    pub leader: Scheduler,
    pub now: u64,
    /// What each machine lists.
    pub tasks: BTreeMap<u64, BTreeMap<(TaskId, u64), TaskPhase>>,
    pub sequence: u64,
    /// Grace of the stops that machines were told, and how many launches.
    pub stops: Vec<(TaskId, f64)>,
    pub launches: Vec<(u64, TaskId, u64)>,
    /// Machines whose answers and commands are lost.
    pub deaf: BTreeSet<u64>,
    pub notice: BTreeMap<u64, f64>,
    pub writes: Vec<RecordWrite>,
    /// Rentals asked for, and whether the cloud has nothing.
    pub hired: Vec<Offer>,
    pub no_capacity: bool,
    /// Machines that neither report nor answer.
    pub silent: BTreeSet<u64>,
    /// The session of each machine, and when its last answered report was sent.
    pub agent_epoch: BTreeMap<u64, u64>,
    pub lease_from: BTreeMap<u64, u64>,
    /// Deletes are carried out and answered.
    pub deletes: bool,
    /// Machines that refuse every launch, for want of room as they say.
    pub refusing: BTreeSet<u64>,
    /// Times at which a task started on one machine while it was on another.
    pub ran_twice: Vec<String>,
    /// What the leader wrote to its log.
    pub notes: Vec<String>,
}

pub fn zone_of(machine: u64) -> &'static str {
    ["a", "b"][(machine % 2) as usize]
}

fn stored(machines: u64) -> Vec<StoredMachineSet> {
    let machine = |i| StoredMachine {
        name: name(i),
        kind: "g".into(),
        zone: zone_of(i).into(),
        spot: false,
        addr: name(i),
    };
    let machines = Some((0..machines).map(machine).collect());
    vec![StoredMachineSet { name: "3-1".into(), revision: 4, machines }]
}

pub fn new_leader(machines: u64, token: u64, policy: Policy, now: u64) -> Scheduler {
    let types = vec![machine_type(vec!["a".into(), "b".into()])];
    let revisions = TermRevisions { token, leaderless_since: token };
    Scheduler::new(policy, revisions, types, stored(machines), Vec::new(), now)
}

impl Site {
    /// Even machines are in zone a, odd ones in zone b; all are up and settled.
    pub fn new(machines: u64, policy: Policy) -> Site {
        let mut site = Site {
            leader: new_leader(machines, TOKEN, policy, 1_000),
            now: 1_000,
            tasks: (0..machines).map(|i| (i, BTreeMap::new())).collect(),
            sequence: 0,
            stops: Vec::new(),
            launches: Vec::new(),
            deaf: BTreeSet::new(),
            notice: BTreeMap::new(),
            writes: Vec::new(),
            hired: Vec::new(),
            no_capacity: false,
            silent: BTreeSet::new(),
            agent_epoch: (0..machines).map(|i| (i, 1)).collect(),
            lease_from: (0..machines).map(|i| (i, 1_000)).collect(),
            deletes: false,
            refusing: BTreeSet::new(),
            ran_twice: Vec::new(),
            notes: Vec::new(),
        };
        site.report_all();
        site
    }

    pub fn submit(&mut self, spec: JobSpec) {
        let event = Event::JobOpened {
            spec: Arc::new(spec),
            submitted_at: self.now,
            revision: self.leader.token() + 1,
            done: None,
        };
        self.drive(event);
    }

    pub fn drive(&mut self, event: Event) {
        let reporting = match &event {
            Event::Heartbeat(report) => Some(report.machine.clone()),
            _ => None,
        };
        for effect in self.leader.handle(self.now, event) {
            match effect {
                Effect::Respond(commands) => {
                    let machine = reporting.clone().expect("an answer to a report");
                    self.execute(&machine, &commands);
                }
                Effect::CallWorker { machine, call, commands, .. } => {
                    let last_heartbeat_at = self.execute(&machine, &commands);
                    let outcome = match last_heartbeat_at {
                        true => CallOutcome::Executed(self.report_of(number(&machine))),
                        false => CallOutcome::NoAnswer,
                    };
                    self.drive(Event::CallFinished { machine, call, outcome });
                }
                Effect::Provision { request_id, offer, .. } => {
                    self.hired.push(offer);
                    if self.no_capacity {
                        self.drive(Event::ProvisionFinished {
                            request_id,
                            outcome: ProvisionOutcome::NoCapacity,
                        });
                    }
                }
                Effect::Terminate(names) if self.deletes => {
                    for name in &names {
                        self.tasks.remove(&number(name));
                    }
                    self.drive(Event::TerminateFinished {
                        names,
                        outcome: TerminateOutcome::Terminated,
                    });
                }
                Effect::Log(event) => self.notes.push(event.to_string()),
                _ => {}
            }
        }
    }

    /// False for a machine that hears nothing.
    pub fn execute(&mut self, machine: &str, commands: &[Command]) -> bool {
        let i = number(machine);
        if self.deaf.contains(&i) || self.silent.contains(&i) {
            return false;
        }
        self.check_starts(i, commands);
        let refuses = self.refusing.contains(&i);
        let Some(tasks) = self.tasks.get_mut(&i) else { return false };
        for command in commands {
            match *command {
                Command::Launch { task, attempt } => {
                    if let Entry::Vacant(free) = tasks.entry((task, attempt)) {
                        free.insert(match refuses {
                            true => TaskPhase::Ended(ExitCause::InsufficientResources),
                            false => TaskPhase::Fetching,
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

    pub fn report_of(&mut self, i: u64) -> Heartbeat {
        self.sequence += 1;
        let tasks = self.tasks[&i].iter().map(|((task, attempt), phase)| TaskStatus {
            task: *task,
            attempt: *attempt,
            phase: *phase,
        });
        Heartbeat {
            machine: name(i),
            addr: name(i),
            kind: "g".into(),
            zone: zone_of(i).into(),
            spot: false,
            agent_epoch: self.agent_epoch[&i],
            sequence: self.sequence,
            token: self.leader.token(),
            notice_s: self.notice.get(&i).copied(),
            tasks: tasks.collect(),
        }
    }

    pub fn report(&mut self, i: u64) {
        if self.silent.contains(&i) || !self.tasks.contains_key(&i) {
            return;
        }
        let report = self.report_of(i);
        self.drive(Event::Heartbeat(report));
        if !self.deaf.contains(&i) {
            self.lease_from.insert(i, self.now);
        }
    }

    /// The referee sees which tasks are to start.
    fn check_starts(&mut self, machine: u64, commands: &[Command]) {
        for command in commands {
            let Command::Launch { task, attempt } = command else { continue };
            let is_new = !self.tasks[&machine].contains_key(&(*task, *attempt));
            let elsewhere = self.tasks.iter().filter(|(i, _)| **i != machine).find(|(_, tasks)| {
                let live = |p: &TaskPhase| !matches!(p, TaskPhase::Ended(_));
                tasks.iter().any(|((t, _), phase)| t == task && live(phase))
            });
            if let (true, Some((other, _))) = (is_new, elsewhere) {
                let text = format!("{task} on {other} and {machine} at {}", self.now);
                self.ran_twice.push(text);
            }
        }
    }

    /// Machines that nobody has answered for their lease lose what they run.
    fn end_leases(&mut self) {
        for (i, from) in self.lease_from.clone() {
            if self.now > from + LEASE {
                self.lease_from.insert(i, self.now);
                *self.agent_epoch.entry(i).or_default() += 1;
                if let Some(tasks) = self.tasks.get_mut(&i) {
                    tasks.clear();
                }
            }
        }
    }

    pub fn report_all(&mut self) {
        for i in self.tasks.keys().copied().collect::<Vec<_>>() {
            self.report(i);
        }
    }

    /// Time passes, with reports and writes as usual.
    pub fn pass(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 200;
            self.end_leases();
            self.drive(Event::Tick);
            if self.now % 1_000 == 0 {
                self.report_all();
            }
            let writes = self.leader.next_writes(self.now, 8);
            if !writes.is_empty() {
                self.writes.extend(writes.clone());
                let outcome = BatchOutcome::Committed(self.now);
                self.drive(Event::WritesFinished { writes, outcome });
            }
        }
    }

    /// Sets the phase of a job's live tasks, all of them or some.
    pub fn set(&mut self, id: u64, phase: TaskPhase, which: impl Fn(u32) -> bool) {
        for tasks in self.tasks.values_mut() {
            for ((task, _), p) in tasks.iter_mut() {
                let live = !matches!(p, TaskPhase::Ended(_));
                if task.job == JobId(id) && live && which(task.index) {
                    *p = phase;
                }
            }
        }
    }

    /// Tasks of a job that machines list and that have not ended, by attempt.
    pub fn live(&self, id: u64) -> BTreeMap<u64, usize> {
        let mut live = BTreeMap::new();
        for ((task, attempt), phase) in self.tasks.values().flatten() {
            if task.job == JobId(id) && !matches!(phase, TaskPhase::Ended(_)) {
                *live.entry(*attempt).or_default() += 1;
            }
        }
        live
    }

    pub fn state(&self, id: u64) -> AttemptState {
        self.leader.attempt_state(&self.leader.jobs()[&JobId(id)])
    }
}

pub fn number(machine: &str) -> u64 {
    machine[2..].parse().unwrap()
}
