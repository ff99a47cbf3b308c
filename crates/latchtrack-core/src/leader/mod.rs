//! The leader's picture of the cluster: an event goes in, a list of effects comes out.
//!
//! What keeps the rules, in short (docs/design.md has the reasoning):
//! - a task has one place at a time, and keeps it until its machine reports the attempt ended,
//!   moved to another session, or is surely gone;
//! - a machine of an earlier leader is unsettled until a report of it carries our token or a
//!   delete of it was answered; while one is, no inherited job starts anything;
//! - a launch whose direct call was never answered may execute later, so its attempt is never
//!   forgotten in that session.

mod boots;
mod doubt;
mod fleet;
mod order;
mod placing;
mod renting;
mod reports;
mod saving;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use boots::Boots;
use fleet::{new_machine, type_named};
use order::Turn;
use placing::Shapes;
use reports::stop_runs_of;
use saving::{results_bytes, stored_of};

use crate::bitmap::Bitmap;
use crate::constants::*;
use crate::job::{Demand, Job, JobId, JobSpec, Place, Priority, TaskId};
use crate::machine::*;
use crate::packs::{PackWrite, Packs, Wrote};
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
    /// How late the cloud's lists are; at times it is twice that.
    pub list_lag_ms: Millis,
    /// Direct calls open at once, commands and questions together.
    pub calls_open: usize,
    /// Bytes of one stored value.
    pub value_bytes: usize,
    pub teams: Vec<Team>,
    /// What is aimed at for the classes.
    pub aims: Vec<Aim>,
    /// Classes with an aim of any kind.
    pub aimed: BTreeSet<String>,
    /// Classes whose tasks are to start within so many ms.
    pub prompt: Vec<(String, Millis)>,
}

impl Policy {
    /// The longest time between two reports of a healthy worker.
    fn reports_within(&self) -> Millis {
        reports_within(self.report_ms)
    }

    /// Silence after which the other nodes are told of a machine.
    pub fn overdue_ms(&self) -> Millis {
        self.reports_within().saturating_add(OVERDUE_MS)
    }

    /// Silence after which a machine is asked directly.
    pub fn probe_ms(&self) -> Millis {
        self.reports_within().saturating_add(PROBE_MS)
    }

    /// Silence after which a machine has killed its tasks, since nobody can have answered it.
    pub fn past_lease_ms(&self) -> Millis {
        self.lease_ms.saturating_add(LEASE_MARGIN_MS)
    }

    /// Age at which a machine is in every list, however late that is.
    fn list_sure_ms(&self) -> Millis {
        self.list_lag_ms.saturating_mul(2).saturating_add(LIST_MARGIN_MS)
    }

    /// Silence after which a machine is given up, unless operators say otherwise.
    pub fn silence_default(report_ms: Millis) -> Millis {
        reports_within(report_ms).saturating_add(PROBE_MS + ASKED_MS)
    }
}

fn reports_within(report_ms: Millis) -> Millis {
    (report_ms as f64 * REPORT_VARIES) as Millis
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

/// The stamps of the state service that a term begins with.
#[derive(Clone, Copy, Debug)]
pub struct Stamps {
    /// Of the leader key: the token.
    pub token: u64,
    /// From this one up to the token nobody led: what was accepted meanwhile was never launched.
    pub vacant: u64,
}

/// A stored value of the machine set, with its stamp.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredFleet {
    pub name: String,
    pub stamp: u64,
    /// None if it can't be read: then any machine may be in it.
    pub machines: Option<Vec<StoredMachine>>,
}

/// A stored value of results, with its stamp: bits of done tasks by job and chunk.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredResults {
    pub name: String,
    pub stamp: u64,
    pub chunks: Vec<(JobId, u32, Vec<u8>)>,
}

/// A machine as the cloud lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub name: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub failed: bool,
    /// Up, as far as the cloud knows: its worker may not have been heard yet.
    pub running: bool,
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

/// One change for the state service; it costs one put or delete.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// A value of the machine set; without machines it is dropped.
    Fleet { pack: PackWrite<String>, machines: Vec<StoredMachine> },
    /// A value of results; without any it is dropped.
    Results { pack: PackWrite<(JobId, u32)>, chunks: Vec<(JobId, u32, Vec<u8>)> },
    /// The job's record becomes done. `stamp` is that of the open record.
    Done { job: JobId, stamp: u64, tasks: u32 },
}

/// How a batch of writes ended.
#[derive(Clone, Debug, PartialEq)]
pub enum SaveOutcome {
    /// With the stamp that all of it has now.
    Ok(u64),
    /// Surely not written, and never will be.
    NotDone,
    /// May have been written, or may be later.
    Unknown,
    /// Nothing was written, since these have changed: jobs closed by somebody else, values of
    /// which an earlier write came late.
    Conflict { jobs: Vec<JobId>, fleet: Vec<String>, results: Vec<String> },
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
    /// The same by way of another node, which its worker could reach.
    Relayed(Report),
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
    /// Not up though it should be.
    pub late: usize,
    pub unsettled: usize,
    /// Jobs in doubt, and done ones of which the record does not say so yet.
    pub doubted: usize,
    pub unsaved: usize,
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
    vacant: u64,
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
    rounds: u64,
    replan: bool,
    rotate: usize,
    listed_at: Option<Millis>,
    finished: BTreeSet<JobId>,
    boots: Boots,
    /// Jobs that show nothing but failures.
    doubted: BTreeSet<JobId>,
    /// Values of the machine set that can't be read: until every lease of before this term has run
    /// out, tasks may be on machines that we do not know.
    garbled: Vec<(String, u64)>,
    fleet: Packs<String>,
    results: Packs<(JobId, u32)>,
    shapes: Shapes,
    /// Jobs with waiting tasks, in the order of the last round.
    queue: Vec<Turn>,
    /// Jobs that are to begin before that order, and machines kept free for them.
    begin: Vec<JobId>,
    kept: HashSet<Arc<str>>,
    /// Images that some machine holds, looked up once a second.
    held_images: HashSet<String>,
    images_at: Option<Millis>,
    /// Machines whose room the last round holds for jobs of a shape.
    held: HashMap<Arc<str>, usize>,
    /// Machines for which there may be something to send now, or at the next tick.
    wake: BTreeSet<String>,
    wake_later: BTreeSet<String>,
    /// Direct calls that are open, and whether each only asks.
    calls: HashMap<u64, bool>,
    probes_open: usize,
    /// What was heard of each zone in this term.
    zones: BTreeMap<Arc<str>, ZoneSight>,
    /// Zones of which nothing is heard, at the last tick.
    quiet: BTreeSet<Arc<str>>,
    /// Since when machines have spoken by way of other nodes, and none to this one itself.
    relayed_since: Option<Millis>,
    last_tick: Millis,
    /// Since when we have listened without a pause of our own.
    listening_since: Millis,
    out: Vec<Effect>,
}

/// What is heard of a zone.
#[derive(Clone, Debug, Default)]
struct ZoneSight {
    /// When one of its machines was last heard holding our token.
    heard: Option<Millis>,
    /// Direct calls into it without an answer since.
    in_vain: u32,
    /// When it was last quiet no more.
    back: Millis,
}

impl Cluster {
    /// A fresh leader's picture: `inherited` is the stored set of machines, `results` what is stored
    /// of jobs that are open.
    pub fn new(
        policy: Policy,
        stamps: Stamps,
        types: Vec<MachineType>,
        inherited: Vec<StoredFleet>,
        results: Vec<StoredResults>,
        now: Millis,
    ) -> Self {
        let Stamps { token, vacant } = stamps;
        let most = (policy.value_bytes as f64 * VALUE_FILLED) as usize;
        let mut fleet = Packs::new(token, most, FLEET_GAP_MS);
        let mut machines = BTreeMap::new();
        let mut garbled = Vec::new();
        for f in inherited {
            let Some(stored) = f.machines else {
                garbled.push((f.name, f.stamp));
                continue;
            };
            fleet.load(&f.name, f.stamp, stored.iter().map(|s| (s.name.clone(), s.bytes())));
            for s in stored {
                let mut m = new_machine(&s.name, &s.kind, &s.zone, s.spot, now);
                m.addr = Some(s.addr);
                m.stored = true;
                m.inherited = true;
                m.expected_since = Some(now);
                machines.insert(s.name, m);
            }
        }
        let mut kept = Packs::new(token, most, RESULTS_GAP_MS);
        for r in results {
            kept.load(
                &r.name,
                r.stamp,
                r.chunks
                    .iter()
                    .map(|(job, chunk, bytes)| ((*job, *chunk), results_bytes(bytes.len()))),
            );
        }
        Cluster {
            policy,
            token,
            vacant,
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
            rounds: 0,
            replan: true,
            rotate: token as usize,
            listed_at: None,
            finished: BTreeSet::new(),
            boots: Boots::default(),
            doubted: BTreeSet::new(),
            garbled,
            fleet,
            results: kept,
            shapes: Shapes::default(),
            queue: Vec::new(),
            begin: Vec::new(),
            kept: HashSet::new(),
            held_images: HashSet::new(),
            images_at: None,
            held: HashMap::new(),
            wake: BTreeSet::new(),
            wake_later: BTreeSet::new(),
            calls: HashMap::new(),
            probes_open: 0,
            zones: BTreeMap::new(),
            quiet: BTreeSet::new(),
            relayed_since: None,
            last_tick: now,
            listening_since: now,
            out: Vec::new(),
        }
    }

    pub fn token(&self) -> u64 {
        self.token
    }

    /// Unfinished jobs with their counts of tasks done and running, for display.
    pub fn progress(&self) -> impl Iterator<Item = (JobId, u32, u32)> + '_ {
        let mut running: HashMap<JobId, u32> = HashMap::new();
        for run in self.machines.values().flat_map(|m| m.runs.values()) {
            if matches!(run.phase, Phase::Running | Phase::Saving) {
                *running.entry(run.task.job).or_default() += 1;
            }
        }
        self.jobs
            .iter()
            .map(move |(id, job)| (*id, job.done.ones(), running.get(id).copied().unwrap_or(0)))
    }

    /// What the cluster looks like, for the log.
    pub fn summary(&self, now: Millis) -> Summary {
        let mut s = Summary {
            doubted: self.doubted.len(),
            unsaved: self.finished.len(),
            late: self.late_boots(now),
            ..Summary::default()
        };
        for m in self.machines.values() {
            s.unsettled += usize::from(m.unsettled());
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
                None => m.unsettled() && now >= self.took_over + UNSETTLED_MS,
            })
            .map(|m| m.name.to_string())
            .take(OVERDUE_MOST)
            .collect()
    }

    /// The machines, for checks.
    pub fn machines(&self) -> &BTreeMap<String, Machine> {
        &self.machines
    }

    /// Jobs that have shown nothing but failures.
    pub fn doubted(&self) -> impl Iterator<Item = JobId> + '_ {
        self.doubted.iter().copied()
    }

    /// Zones of which nothing is heard.
    pub fn quiet_zones(&self) -> Vec<String> {
        self.quiet.iter().map(|z| z.to_string()).collect()
    }

    /// Rounds of placing in this term, for checks.
    pub fn rounds(&self) -> u64 {
        self.rounds
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
            Event::Report(report) => {
                self.relayed_since = None;
                self.on_report(now, &report);
            }
            Event::Relayed(report) => {
                self.relayed_since.get_or_insert(now);
                self.on_report(now, &report);
            }
            Event::Called { machine, call, outcome } => {
                self.on_called(now, &machine, call, outcome)
            }
            Event::Hired { hire, outcome } => self.on_hired(now, &hire, outcome),
            Event::Returned { names, ok } => self.on_returned(now, names, ok),
            Event::Listed(listed) => self.on_listed(now, listed),
            Event::Saved { writes, outcome } => self.on_saved(now, writes, outcome),
            Event::Types(types) => self.types = types,
            Event::Tick => self.on_tick(now),
        }
        if !self.finished.is_empty() || self.fleet.due(now) || self.results.due(now) {
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
        let inherited = stamp < self.vacant;
        let shape = self.shapes.of(&spec);
        let mut job = Job::new(spec, submitted_at, stamp, inherited, done);
        job.shape = shape;
        self.jobs.insert(id, job);
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
        self.doubted.remove(&id);
        self.forget_results(id);
        for (name, m) in &mut self.machines {
            if stop_runs_of(m, id) {
                self.wake.insert(name.clone());
            }
        }
        self.replan = true;
        self.flush(now, None);
    }
}
