//! The cluster as its leader sees it: an event goes in, a list of effects comes out.
//!
//! What keeps the rules, in short (docs/design.md has the reasoning):
//! - a task has one place at a time, and keeps it until its machine reports the attempt ended,
//!   moved to another session, or is surely gone;
//! - a machine of an earlier leader is unsettled until a report of it carries our token or a
//!   delete of it was answered; while one is, no inherited job starts anything;
//! - a launch whose direct call was never answered may execute later, so its attempt is never
//!   forgotten in that session.

mod balancing;
mod boots;
mod filling;
mod fleet;
mod gang;
mod holding;
mod limits;
mod messages;
mod order;
mod placing;
mod policy;
mod promptness;
mod quota;
mod renting;
mod reports;
mod reserve;
mod rooms;
mod saving;
mod shapes;
mod sharing;
mod suspects;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use latchtrack_balance::balancer::Balancer;
use latchtrack_quota::{Amounts, Keeper};

pub use balancing::BalanceSummary;
pub use gang::AttemptState;
pub use messages::*;
pub use policy::*;

use balancing::Balance;
use boots::Boots;
use fleet::new_machine;
use order::Turn;
use reports::stop_runs_of;
use reserve::Reserve;
use saving::load_results;
use shapes::Shapes;

use crate::bitmap::Bitmap;
use crate::constants::*;
use crate::job::{Job, JobId, JobSpec};
use crate::machine::*;
use crate::packs::Packs;
use crate::placement::{Held, Offer};
use crate::Millis;

/// Counts of the cluster.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    pub up: usize,
    pub promised: usize,
    /// Not up though it should be.
    pub late: usize,
    pub unsettled: usize,
    /// Suspect jobs, and done ones of which the record does not say so yet.
    pub suspects: usize,
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
    balancer: Balancer,
    balance: Balance,
    /// This cell's part of the teams' limits, where cells share them.
    quota: Option<Keeper>,
    /// What teams need for the first of their jobs that are to begin before all others.
    next_of_teams: BTreeMap<String, Amounts>,
    /// What was launched of each team in this term.
    started: BTreeMap<String, Amounts>,
    /// Values of the machine set that can't be read: until every lease of before this term has run
    /// out, tasks may be on machines that we do not know.
    garbled: Vec<(String, u64)>,
    /// Most changes of the next batch for the state service.
    batch_most: usize,
    fleet: Packs<String>,
    results: Packs<(JobId, u32)>,
    shapes: Shapes,
    /// Jobs with waiting tasks, in the order of the last round.
    queue: Vec<Turn>,
    /// Jobs that are to begin before that order, and machines kept free for them.
    begin: Vec<JobId>,
    /// Gangs for which the last round found room for some tasks only: what comes free is kept for them.
    gathering: HashSet<JobId>,
    /// Room kept for gangs to come, by shape.
    reserves: BTreeMap<usize, Reserve>,
    kept: HashSet<Arc<str>>,
    /// Images that some machine holds, looked up once a second.
    held_images: HashSet<String>,
    images_at: Option<Millis>,
    /// Machines whose room the last round holds for jobs of a shape.
    held: HashMap<Arc<str>, Held>,
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
    /// What a new leader begins with: `inherited` is the stored set of machines, `results` what is stored
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
            load_results(&mut kept, &r);
        }
        Cluster {
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
            next_of_teams: BTreeMap::new(),
            started: BTreeMap::new(),
            quota: quota::keeper(&policy, token),
            balancer: Balancer::new(policy.balance.limits),
            balance: Balance::default(),
            policy,
            garbled,
            batch_most: usize::MAX,
            fleet,
            results: kept,
            shapes: Shapes::default(),
            queue: Vec::new(),
            begin: Vec::new(),
            gathering: HashSet::new(),
            reserves: BTreeMap::new(),
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
        self.jobs.iter().map(move |(id, job)| {
            let running = running.get(id).copied().unwrap_or(0);
            // A gang has started when all its tasks run.
            let started = !job.spec.gang || running == job.spec.tasks;
            (*id, job.done.ones(), if started { running } else { 0 })
        })
    }

    /// Whether all that may be on machines is known: no earlier leader's command can still arrive.
    fn all_settled(&self) -> bool {
        self.garbled.is_empty() && !self.machines.values().any(Machine::unsettled)
    }

    /// What the cluster looks like, for the log.
    pub fn summary(&self, now: Millis) -> Summary {
        let mut s = Summary {
            suspects: self.suspects().count(),
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
                    Phase::Fetching | Phase::Waiting | Phase::Unrecognised => {
                        s.cpus_fetching += cpus;
                    }
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
        let mut bytes = 0;
        self.machines
            .values()
            .filter(|m| !m.leaving)
            .filter(|m| match m.heard {
                Some(heard) => now >= heard + self.policy.overdue_ms(),
                // Asked directly at the take-over, it should have answered by now.
                None => m.unsettled() && now >= self.took_over + UNSETTLED_MS,
            })
            .map(|m| m.name.to_string())
            .take_while(|name| {
                bytes += name.len() + OVERDUE_NAME_BYTES;
                bytes <= OVERDUE_BYTES
            })
            .collect()
    }

    /// The machines, for checks.
    pub fn machines(&self) -> &BTreeMap<String, Machine> {
        &self.machines
    }

    /// Jobs that have shown nothing but failures.
    pub fn suspects(&self) -> impl Iterator<Item = JobId> + '_ {
        self.jobs.iter().filter(|(_, job)| job.is_suspect).map(|(id, _)| *id)
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
            Event::Quota(view) => self.on_quota(now, view),
            Event::QuotaWritten { write, outcome } => self.on_quota_written(now, &write, outcome),
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
        let mut done = done.unwrap_or_else(|| Bitmap::new(spec.tasks));
        if spec.gang && done.ones() > 0 {
            // They complete together: if one is done, all are.
            done.fill();
        }
        let finished = done.full();
        // The record's stamp is that of its creation while the job is open.
        let inherited = stamp < self.vacant;
        let shape = self.shapes.of(&spec);
        self.note_for_reserve(&spec, shape, submitted_at);
        self.note_arrival(&spec, submitted_at);
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
