//! The leader's picture of the cluster: an event goes in, a list of effects comes out.
//!
//! What keeps the rules, in short (docs/design.md has the reasoning):
//! - a task has one place at a time, and keeps it until its machine reports the attempt ended,
//!   moved to another session, or is surely gone;
//! - a machine of an earlier leader is unsettled until a report of it carries our token or a
//!   delete of it was answered; while one is, no inherited job starts anything;
//! - a launch whose direct call was never answered may execute later, so its attempt is never
//!   forgotten in that session.

mod fleet;
mod placing;
mod reports;
mod saving;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use fleet::new_machine;
use reports::stop_runs_of;

use crate::bitmap::Bitmap;
use crate::constants::*;
use crate::job::{Demand, Job, JobId, JobSpec, Place, TaskId};
use crate::machine::*;
use crate::placement::{self, Offer, Rank, Room, Tier, Weights};
use crate::rules;
use crate::Millis;

/// What operators may set, and what the platform says, as far as the core needs it.
#[derive(Clone, Debug)]
pub struct Policy {
    pub weights: Weights,
    pub slice: u32,
    /// How long an empty machine is kept: a spot one, an ordinary one.
    pub idle_wait_ms: Millis,
    pub ordinary_idle_wait_ms: Millis,
    pub pass_over_ms: Millis,
    /// How long a job finds no room before a machine is rented for it: a spot one, an ordinary one.
    pub spot_after_ms: Millis,
    pub ordinary_after_ms: Millis,
    pub silence_ms: Millis,
    pub settle_ms: Millis,
    /// How often workers report, plus or minus a quarter.
    pub report_ms: Millis,
    /// The workers' lease.
    pub lease_ms: Millis,
    pub teams: Vec<Team>,
    /// What is aimed at for the classes.
    pub aims: Vec<Aim>,
}

impl Policy {
    /// The longest time between two reports of a healthy worker.
    fn reports_within(&self) -> Millis {
        (self.report_ms as f64 * REPORT_VARIES) as Millis
    }

    /// Silence after which the other nodes are told of a machine.
    pub fn overdue_ms(&self) -> Millis {
        self.reports_within() + OVERDUE_MS
    }

    /// Silence after which a machine is asked directly.
    pub fn probe_ms(&self) -> Millis {
        self.reports_within() + PROBE_MS
    }

    /// Silence after which a machine is given up, unless operators say otherwise.
    pub fn silence_default(report_ms: Millis) -> Millis {
        (report_ms as f64 * REPORT_VARIES) as Millis + PROBE_MS + ASKED_MS
    }
}

/// How soon the jobs of a class should be complete.
#[derive(Clone, Debug, PartialEq)]
pub struct Aim {
    pub class: String,
    pub due: Due,
}

/// When a job is due, from its submission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Due {
    Within(Millis),
    /// So many times its own deadline.
    Times(f64),
}

/// A team's guarantee and limit; 0 is none.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    pub name: String,
    pub cpus: f64,
    pub cpus_max: f64,
    pub gpus: f64,
    pub gpus_max: f64,
}

/// A machine as it stands in the stored set.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredMachine {
    pub name: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub addr: String,
}

/// A machine as the cloud lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub name: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub failed: bool,
    pub age_ms: Millis,
}

/// How a direct call ended.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// 200: executed.
    Done(Report),
    /// 409: not executed, and never will be.
    Refused(Report),
    /// Never sent.
    NotSent,
    /// No answer: may have been executed, or may be later.
    Lost,
}

/// How a rental ended.
#[derive(Clone, Debug)]
pub enum HireOutcome {
    Machines(Vec<String>),
    NoCapacity,
    /// Surely not executed.
    NotDone,
    /// Unknown: to be asked again under the same name.
    Lost,
}

/// One change for the state service.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    Machine(StoredMachine),
    DropMachine(String),
    Progress {
        job: JobId,
        chunk: u32,
        bytes: Vec<u8>,
    },
    /// The job's record becomes done; the chunks of its results are dropped.
    /// `stamp` is that of the open record.
    Done {
        job: JobId,
        stamp: u64,
        tasks: u32,
        drop_chunks: Vec<u32>,
    },
}

impl Write {
    /// Puts and deletes that it costs.
    pub fn ops(&self) -> usize {
        match self {
            Write::Done { drop_chunks, .. } => 1 + drop_chunks.len(),
            _ => 1,
        }
    }
}

/// How a batch of writes ended.
#[derive(Clone, Debug, PartialEq)]
pub enum SaveOutcome {
    Ok,
    Failed,
    /// Nothing was written, since these jobs have been changed by somebody else.
    Conflict(Vec<JobId>),
}

/// What happens to the leader.
#[derive(Clone, Debug)]
pub enum Event {
    /// An unfinished job of the mirror.
    Job {
        spec: Arc<JobSpec>,
        submitted_at: Millis,
        stamp: u64,
        done: Option<Bitmap>,
    },
    /// A job was cancelled, or called done by an earlier leader.
    Closed(JobId),
    Report(Report),
    Called {
        machine: String,
        call: u64,
        outcome: CallOutcome,
    },
    Hired {
        hire: String,
        outcome: HireOutcome,
    },
    Returned {
        names: Vec<String>,
        ok: bool,
    },
    Listed(Vec<Listed>),
    Saved {
        writes: Vec<Write>,
        outcome: SaveOutcome,
    },
    /// The cloud's types and prices.
    Types(Vec<MachineType>),
    Tick,
}

/// What the leader wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The answer to the report that was the event.
    Answer(Vec<Command>),
    Call {
        machine: String,
        addr: String,
        session: u64,
        call: u64,
        commands: Vec<Command>,
    },
    Hire {
        hire: String,
        offer: Offer,
        number: u32,
    },
    Return(Vec<String>),
    /// Ask the cloud for its list.
    List,
    /// Something waits to be written: ask [`Cluster::next_writes`].
    Save,
    /// A higher token has been seen, or our workers hear us no more: leave office.
    Resign(&'static str),
    /// For the log, once each.
    Note(String),
}

/// Counts of the cluster.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    pub up: usize,
    pub promised: usize,
    pub unsettled: usize,
    pub waiting: u64,
    pub cpus: f64,
    pub cpus_assigned: f64,
    pub cpus_fetching: f64,
    pub cpus_running: f64,
    pub cpus_waiting: f64,
}

#[derive(Clone, Debug)]
struct Hire {
    offer: Offer,
    number: u32,
}

/// The cluster as its leader sees it.
#[derive(Clone)]
pub struct Cluster {
    policy: Policy,
    token: u64,
    types: Vec<MachineType>,
    jobs: BTreeMap<JobId, Job>,
    machines: BTreeMap<String, Machine>,
    gone: BTreeSet<String>,
    gone_order: VecDeque<String>,
    hires: BTreeMap<String, Hire>,
    exhausted: BTreeMap<Offer, Millis>,
    next_attempt: u64,
    next_hire: u64,
    next_call: u64,
    took_over: Millis,
    last_plan: Option<Millis>,
    replan: bool,
    rotate: usize,
    listed_at: Option<Millis>,
    finished: BTreeSet<JobId>,
    dirty_jobs: BTreeSet<JobId>,
    dirty_machines: BTreeSet<String>,
    dropped_machines: BTreeSet<String>,
    out: Vec<Effect>,
}

impl Cluster {
    /// A fresh leader's picture: `inherited` is the stored set of machines.
    pub fn new(
        policy: Policy,
        token: u64,
        types: Vec<MachineType>,
        inherited: Vec<StoredMachine>,
        now: Millis,
    ) -> Self {
        let machines = inherited
            .into_iter()
            .map(|s| {
                let mut m = new_machine(&s.name, &s.kind, &s.zone, s.spot, now);
                m.addr = Some(s.addr);
                m.stored = true;
                m.unsettled = true;
                (s.name, m)
            })
            .collect();
        Cluster {
            policy,
            token,
            types,
            jobs: BTreeMap::new(),
            machines,
            gone: BTreeSet::new(),
            gone_order: VecDeque::new(),
            hires: BTreeMap::new(),
            exhausted: BTreeMap::new(),
            next_attempt: 0,
            next_hire: 0,
            next_call: 0,
            took_over: now,
            last_plan: None,
            replan: true,
            rotate: token as usize,
            listed_at: None,
            finished: BTreeSet::new(),
            dirty_jobs: BTreeSet::new(),
            dirty_machines: BTreeSet::new(),
            dropped_machines: BTreeSet::new(),
            out: Vec::new(),
        }
    }

    pub fn token(&self) -> u64 {
        self.token
    }

    /// Unfinished jobs with their counts of tasks done and running, for display.
    pub fn progress(&self) -> impl Iterator<Item = (JobId, u32, u32)> + '_ {
        self.jobs.iter().map(|(id, job)| {
            let running = job
                .placed
                .iter()
                .filter(|(index, place)| {
                    let key = (TaskId { job: *id, index: **index }, place.attempt);
                    self.machines
                        .get(&place.machine)
                        .and_then(|m| m.runs.get(&key))
                        .is_some_and(|r| matches!(r.phase, Phase::Running | Phase::Saving))
                })
                .count();
            (*id, job.done.ones(), running as u32)
        })
    }

    /// What the cluster looks like, for the log.
    pub fn summary(&self) -> Summary {
        let mut s = Summary::default();
        for m in self.machines.values() {
            s.unsettled += usize::from(m.unsettled);
            if !m.up() {
                s.promised += 1;
                continue;
            }
            s.up += 1;
            s.cpus += self.type_of(&m.kind).map_or(0.0, |t| t.cpus);
            for run in m.runs.values() {
                let cpus = run.spec.as_ref().map_or(0.0, |s| s.demand.cpus);
                match run.phase {
                    Phase::Assigned => s.cpus_assigned += cpus,
                    Phase::Fetching => s.cpus_fetching += cpus,
                    Phase::Running | Phase::Saving => s.cpus_running += cpus,
                    Phase::Ended(_) => {}
                }
            }
        }
        for j in self.jobs.values() {
            let waiting = j.waiting();
            s.waiting += u64::from(waiting);
            s.cpus_waiting += f64::from(waiting) * j.spec.demand.cpus;
        }
        s
    }

    /// Machines whose reports are overdue: their workers may be able to reach another node.
    pub fn overdue(&self, now: Millis) -> Vec<String> {
        self.machines
            .values()
            .filter(|m| !m.leaving)
            .filter(|m| match m.heard {
                Some(heard) => now >= heard + self.policy.overdue_ms(),
                // Asked directly at the take-over, it should have answered by now.
                None => m.unsettled && now >= self.took_over + UNSETTLED_MS,
            })
            .map(|m| m.name.clone())
            .take(OVERDUE_MOST)
            .collect()
    }

    /// The machines, for checks.
    pub fn machines(&self) -> &BTreeMap<String, Machine> {
        &self.machines
    }

    /// The unfinished jobs, for checks.
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        match event {
            Event::Job { spec, submitted_at, stamp, done } => {
                self.on_job(spec, submitted_at, stamp, done)
            }
            Event::Closed(job) => self.on_closed(now, job),
            Event::Report(report) => self.on_report(now, &report),
            Event::Called { machine, call, outcome } => {
                self.on_called(now, &machine, call, outcome)
            }
            Event::Hired { hire, outcome } => self.on_hired(now, &hire, outcome),
            Event::Returned { names, ok } => self.on_returned(now, names, ok),
            Event::Listed(listed) => self.on_listed(now, listed),
            Event::Saved { writes, outcome } => self.on_saved(writes, outcome),
            Event::Types(types) => self.types = types,
            Event::Tick => self.on_tick(now),
        }
        if !self.finished.is_empty()
            || !self.dirty_jobs.is_empty()
            || !self.dirty_machines.is_empty()
            || !self.dropped_machines.is_empty()
        {
            self.out.push(Effect::Save);
        }
        std::mem::take(&mut self.out)
    }

    fn on_job(
        &mut self,
        spec: Arc<JobSpec>,
        submitted_at: Millis,
        stamp: u64,
        done: Option<Bitmap>,
    ) {
        let id = spec.id;
        if self.jobs.contains_key(&id) {
            return;
        }
        let done = done.unwrap_or_else(|| Bitmap::new(spec.tasks));
        let finished = done.full();
        // The record's stamp is that of its creation while the job is open.
        let inherited = stamp < self.token;
        self.jobs.insert(id, Job::new(spec, submitted_at, stamp, inherited, done));
        if finished {
            self.finished.insert(id);
        }
        self.replan = true;
    }

    fn on_closed(&mut self, now: Millis, id: JobId) {
        if self.jobs.remove(&id).is_none() {
            return;
        }
        self.finished.remove(&id);
        self.dirty_jobs.remove(&id);
        for m in self.machines.values_mut() {
            stop_runs_of(m, id);
        }
        self.replan = true;
        self.flush(now, None);
    }
}
