//! The cluster as its leader sees it: an event goes in, a list of effects comes out.
//!
//! What keeps the rules, in short (docs/design.md has the reasoning):
//! - a task has one place at a time, and keeps it until its machine reports the attempt ended,
//!   moved to another session, or is surely gone;
//! - a machine of an earlier leader is unsettled until a report of it carries our token or a
//!   delete of it was answered; while one is, no inherited job starts anything;
//! - a launch whose direct call was never answered may execute later, so its attempt is never
//!   forgotten in that session.

mod backfill;
mod boot_tracking;
mod cell_quota;
mod cycle;
mod equivalence_classes;
mod failure_attribution;
mod fair_share;
mod free_capacity;
mod gang_reserves;
mod gangs;
mod heartbeats;
mod machine_lifecycle;
mod messages;
mod moves;
mod objectives;
mod persistence;
mod policy;
mod provisioning;
mod queue;
mod reservations;
mod team_limits;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use latchtrack_balance::balancer::Balancer;
use latchtrack_quota::{Amounts, Keeper};

pub use gangs::AttemptState;
pub use messages::*;
pub use moves::BalanceSummary;
pub use policy::*;

use boot_tracking::BootTracker;
use equivalence_classes::EquivalenceClasses;
use gang_reserves::GangReserve;
use heartbeats::stop_job_runs;
use machine_lifecycle::new_machine;
use moves::Balance;
use persistence::load_result_shards;
use queue::QueueEntry;

use crate::bitmap::Bitmap;
use crate::constants::*;
use crate::job::{Job, JobId, JobSpec};
use crate::machine::*;
use crate::placement::{Offer, Reservation};
use crate::record_shards::RecordShards;
use crate::Millis;

/// Counts of the cluster.
#[derive(Clone, Copy, Debug, Default)]
pub struct SchedulerSummary {
    pub up: usize,
    pub booting: usize,
    /// Not up though it should be.
    pub late: usize,
    pub unreconciled: usize,
    /// Suspect jobs, and done ones of which the record does not say so yet.
    pub suspects: usize,
    pub unpersisted: usize,
    pub waiting: u64,
    pub cpus: f64,
    pub cpus_assigned: f64,
    pub cpus_fetching: f64,
    pub cpus_running: f64,
    pub cpus_waiting: f64,
}

#[derive(Clone, Debug)]
struct ProvisionRequest {
    offer: Offer,
    number: u32,
}

/// The cluster as its leader sees it.
#[derive(Clone)]
pub struct Scheduler {
    policy: Policy,
    token: u64,
    leaderless_since: u64,
    types: Vec<MachineType>,
    jobs: BTreeMap<JobId, Job>,
    machines: BTreeMap<String, Machine>,
    terminated: BTreeSet<String>,
    terminated_order: VecDeque<String>,
    pending_provisions: BTreeMap<String, ProvisionRequest>,
    exhausted_offers: BTreeMap<Offer, Millis>,
    next_attempt: u64,
    next_hire: u64,
    next_call: u64,
    term_started_at: Millis,
    last_cycle_at: Option<Millis>,
    cycles: u64,
    cycle_requested: bool,
    zone_rotation: usize,
    listed_at: Option<Millis>,
    completed_jobs: BTreeSet<JobId>,
    boots: BootTracker,
    balancer: Balancer,
    balance: Balance,
    /// This cell's part of the teams' limits, where cells share them.
    cell_quota: Option<Keeper>,
    /// What teams need for the first of their jobs that are to begin before all others.
    next_of_team: BTreeMap<String, Amounts>,
    /// What was launched of each team in this term.
    started: BTreeMap<String, Amounts>,
    /// Values of the machine set that can't be read: until every lease of before this term has run
    /// out, tasks may be on machines that we do not know.
    unreadable_machine_sets: Vec<(String, u64)>,
    /// Most changes of the next batch for the state service.
    max_batch_changes: usize,
    machine_set_shards: RecordShards<String>,
    result_shards: RecordShards<(JobId, u32)>,
    equivalence_classes: EquivalenceClasses,
    /// Jobs with waiting tasks, in the order of the last round.
    queue: Vec<QueueEntry>,
    /// Jobs that are to begin before that order, and machines kept free for them.
    starving: Vec<JobId>,
    /// Gangs for which the last round found room for some tasks only: what comes free is kept for them.
    gangs_lacking_capacity: HashSet<JobId>,
    /// Room kept for gangs to come, by shape.
    reserves: BTreeMap<usize, GangReserve>,
    reserved_exclusively: HashSet<Arc<str>>,
    /// Images that some machine holds, looked up once a second.
    cached_images: HashSet<String>,
    cached_images_at: Option<Millis>,
    /// Machines whose room the last round holds for jobs of a shape.
    held: HashMap<Arc<str>, Reservation>,
    /// Machines for which there may be something to send now, or at the next tick.
    dispatch_queue: BTreeSet<String>,
    dispatch_next_tick: BTreeSet<String>,
    /// Direct calls that are open, and whether each only asks.
    calls: HashMap<u64, bool>,
    probes_open: usize,
    /// What was heard of each zone in this term.
    zones: BTreeMap<Arc<str>, ZoneReachability>,
    /// Zones of which nothing is heard, at the last tick.
    unreachable_zones: BTreeSet<Arc<str>>,
    /// Since when machines have spoken by way of other nodes, and none to this one itself.
    relayed_since: Option<Millis>,
    last_tick: Millis,
    /// Since when we have listened without a pause of our own.
    listening_since: Millis,
    out: Vec<Effect>,
}

/// What is heard of a zone.
#[derive(Clone, Debug, Default)]
struct ZoneReachability {
    /// When one of its machines was last heard holding our token.
    last_heartbeat_at: Option<Millis>,
    /// Direct calls into it without an answer since.
    unanswered_calls: u32,
    /// When it was last quiet no more.
    back: Millis,
}

impl Scheduler {
    /// What a new leader begins with: `inherited` is the stored set of machines, `results` what is stored
    /// of jobs that are open.
    pub fn new(
        policy: Policy,
        revisions: TermRevisions,
        types: Vec<MachineType>,
        inherited: Vec<StoredMachineSet>,
        results: Vec<StoredResults>,
        now: Millis,
    ) -> Self {
        let TermRevisions { token, leaderless_since } = revisions;
        let most = (policy.value_bytes as f64 * VALUE_FILL_FACTOR) as usize;
        let mut fleet = RecordShards::new(token, most, MACHINE_SET_WRITE_INTERVAL_MS);
        let mut machines = BTreeMap::new();
        let mut unreadable_machine_sets = Vec::new();
        for f in inherited {
            let Some(stored) = f.machines else {
                unreadable_machine_sets.push((f.name, f.revision));
                continue;
            };
            fleet.load(&f.name, f.revision, stored.iter().map(|s| (s.name.clone(), s.bytes())));
            for s in stored {
                let mut m = new_machine(&s.name, &s.kind, &s.zone, s.spot, now);
                m.addr = Some(s.addr);
                m.persisted = true;
                m.inherited = true;
                m.heartbeat_expected_since = Some(now);
                machines.insert(s.name, m);
            }
        }
        let mut result_shards = RecordShards::new(token, most, RESULTS_WRITE_INTERVAL_MS);
        for r in results {
            load_result_shards(&mut result_shards, &r);
        }
        Scheduler {
            token,
            leaderless_since,
            types,
            jobs: BTreeMap::new(),
            machines,
            terminated: BTreeSet::new(),
            terminated_order: VecDeque::new(),
            pending_provisions: BTreeMap::new(),
            exhausted_offers: BTreeMap::new(),
            next_attempt: 0,
            next_hire: 0,
            next_call: 0,
            term_started_at: now,
            last_cycle_at: None,
            cycles: 0,
            cycle_requested: true,
            zone_rotation: token as usize,
            listed_at: None,
            completed_jobs: BTreeSet::new(),
            boots: BootTracker::default(),
            next_of_team: BTreeMap::new(),
            started: BTreeMap::new(),
            cell_quota: cell_quota::keeper(&policy, token),
            balancer: Balancer::new(policy.balance.limits),
            balance: Balance::default(),
            policy,
            unreadable_machine_sets,
            max_batch_changes: usize::MAX,
            machine_set_shards: fleet,
            result_shards,
            equivalence_classes: EquivalenceClasses::default(),
            queue: Vec::new(),
            starving: Vec::new(),
            gangs_lacking_capacity: HashSet::new(),
            reserves: BTreeMap::new(),
            reserved_exclusively: HashSet::new(),
            cached_images: HashSet::new(),
            cached_images_at: None,
            held: HashMap::new(),
            dispatch_queue: BTreeSet::new(),
            dispatch_next_tick: BTreeSet::new(),
            calls: HashMap::new(),
            probes_open: 0,
            zones: BTreeMap::new(),
            unreachable_zones: BTreeSet::new(),
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
            if matches!(run.phase, TaskPhase::Running | TaskPhase::Checkpointing) {
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
    fn all_reconciled(&self) -> bool {
        self.unreadable_machine_sets.is_empty()
            && !self.machines.values().any(Machine::is_unreconciled)
    }

    /// What the cluster looks like, for the log.
    pub fn summary(&self, now: Millis) -> SchedulerSummary {
        let mut s = SchedulerSummary {
            suspects: self.quarantined_jobs().count(),
            unpersisted: self.completed_jobs.len(),
            late: self.late_boots(now),
            ..SchedulerSummary::default()
        };
        for m in self.machines.values() {
            s.unreconciled += usize::from(m.is_unreconciled());
            if !m.is_up() {
                s.booting += 1;
                continue;
            }
            s.up += 1;
            s.cpus += self.type_of(&m.kind).map_or(0.0, |t| t.cpus);
            for run in m.runs.values() {
                let cpus = run.spec.as_ref().map_or(0.0, |s| s.demand.cpus);
                match run.phase {
                    TaskPhase::Assigned => s.cpus_assigned += cpus,
                    TaskPhase::Fetching | TaskPhase::Waiting | TaskPhase::Unrecognised => {
                        s.cpus_fetching += cpus;
                    }
                    TaskPhase::Running | TaskPhase::Checkpointing => s.cpus_running += cpus,
                    TaskPhase::Ended(_) => {}
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
            .filter(|m| !m.to_terminate)
            .filter(|m| match m.last_heartbeat_at {
                Some(last_heartbeat_at) => now >= last_heartbeat_at + self.policy.overdue_ms(),
                // Asked directly at the take-over, it should have answered by now.
                None => {
                    m.is_unreconciled() && now >= self.term_started_at + UNRECONCILED_OVERDUE_MS
                }
            })
            .map(|m| m.name.to_string())
            .take_while(|name| {
                bytes += name.len() + OVERDUE_NAME_BYTES;
                bytes <= MAX_OVERDUE_BYTES
            })
            .collect()
    }

    /// The machines, for checks.
    pub fn machines(&self) -> &BTreeMap<String, Machine> {
        &self.machines
    }

    /// Jobs that have shown nothing but failures.
    pub fn quarantined_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.jobs.iter().filter(|(_, job)| job.is_quarantined).map(|(id, _)| *id)
    }

    /// Zones of which nothing is heard.
    pub fn unreachable_zones(&self) -> Vec<String> {
        self.unreachable_zones.iter().map(|z| z.to_string()).collect()
    }

    /// Rounds of placing in this term, for checks.
    pub fn cycles(&self) -> u64 {
        self.cycles
    }

    /// The unfinished jobs, for checks.
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        match event {
            Event::JobOpened { spec, submitted_at, revision, done } => {
                self.on_job_opened(spec, submitted_at, revision, done)
            }
            Event::JobClosed(job) => self.on_job_closed(now, job),
            Event::Heartbeat(report) => {
                self.relayed_since = None;
                self.on_heartbeat(now, &report);
            }
            Event::RelayedHeartbeat(report) => {
                self.relayed_since.get_or_insert(now);
                self.on_heartbeat(now, &report);
            }
            Event::CallFinished { machine, call, outcome } => {
                self.on_call_finished(now, &machine, call, outcome)
            }
            Event::ProvisionFinished { request_id, outcome } => {
                self.on_provision_finished(now, &request_id, outcome)
            }
            Event::TerminateFinished { names, ok } => self.on_terminate_finished(now, names, ok),
            Event::MachinesListed(listed) => self.on_machines_listed(now, listed),
            Event::WritesFinished { writes, outcome } => {
                self.on_writes_finished(now, writes, outcome)
            }
            Event::MachineTypes(types) => self.types = types,
            Event::QuotaObserved(view) => self.on_quota_observed(now, view),
            Event::LedgerWriteFinished { write, outcome } => {
                self.on_ledger_write_finished(now, &write, outcome)
            }
            Event::Tick => self.on_tick(now),
        }
        if !self.completed_jobs.is_empty()
            || self.machine_set_shards.due(now)
            || self.result_shards.due(now)
        {
            self.out.push(Effect::WritesReady);
        }
        std::mem::take(&mut self.out)
    }

    fn on_job_opened(
        &mut self,
        spec: Arc<JobSpec>,
        submitted_at: Millis,
        revision: u64,
        done: Option<Bitmap>,
    ) {
        let id = spec.id;
        if self.jobs.contains_key(&id) {
            return;
        }
        let mut done = done.unwrap_or_else(|| Bitmap::new(spec.tasks));
        if spec.gang && done.ones() > 0 {
            // They complete together: if one is done, all are.
            done.backfill();
        }
        let completed_jobs = done.full();
        // The record's stamp is that of its creation while the job is open.
        let inherited = revision < self.leaderless_since;
        let equivalence_class = self.equivalence_classes.of(&spec);
        self.note_gang_arrival(&spec, equivalence_class, submitted_at);
        self.note_arrival(&spec, submitted_at);
        let mut job = Job::new(spec, submitted_at, revision, inherited, done);
        job.equivalence_class = equivalence_class;
        self.jobs.insert(id, job);
        if completed_jobs {
            self.completed_jobs.insert(id);
        }
        self.cycle_requested = true;
    }

    fn on_job_closed(&mut self, now: Millis, id: JobId) {
        if self.jobs.remove(&id).is_none() {
            return;
        }
        self.completed_jobs.remove(&id);
        self.forget_job_results(id);
        for (name, m) in &mut self.machines {
            if stop_job_runs(m, id) {
                self.dispatch_queue.insert(name.clone());
            }
        }
        self.cycle_requested = true;
        self.dispatch(now, None);
    }
}
