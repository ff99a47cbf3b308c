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
mod best_effort;
mod boot_tracking;
mod cell_quota;
mod cycle;
mod cycle_state;
mod deferral;
mod entry_scheduling;
mod equivalence_classes;
mod failure_attribution;
mod fair_share;
mod free_capacity;
mod gangs;
mod guarantees;
mod heartbeats;
mod inventory;
mod machine_lifecycle;
mod messages;
mod moves;
mod objectives;
mod persistence;
mod policy;
mod provisioning;
mod queue;
mod queue_order;
mod reservations;
mod starvation;
mod task_placement;
mod team_limits;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

pub use gangs::AttemptState;
pub use messages::*;
pub use moves::BalanceSummary;
pub use policy::*;

use cell_quota::QuotaAccounting;
use cycle::CycleTimer;
use equivalence_classes::EquivalenceClasses;
use heartbeats::{stop_job_runs, CommandDispatcher};
use inventory::MachineInventory;
use machine_lifecycle::{inherited_machine, FailureDetector};
use moves::LoadBalancing;
use objectives::ImageLocality;
use persistence::RecordPersistence;
use provisioning::Provisioning;
use queue::JobQueue;
use reservations::Reservations;
use task_placement::AttemptNumbers;

use crate::bitmap::Bitmap;
use crate::constants::*;
use crate::job::{Job, JobId, JobSpec};
use crate::machine::*;
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

/// The scheduler: the state machine of a leader's term.
#[derive(Clone)]
pub struct Scheduler {
    policy: Policy,
    token: u64,
    /// Jobs accepted from this revision on were never launched by an earlier leader.
    leaderless_since: u64,
    term_started_at: Millis,
    attempt_numbers: AttemptNumbers,
    jobs: BTreeMap<JobId, Job>,
    inventory: MachineInventory,
    failure_detector: FailureDetector,
    dispatcher: CommandDispatcher,
    provisioning: Provisioning,
    persistence: RecordPersistence,
    quota: QuotaAccounting,
    queue: JobQueue,
    equivalence_classes: EquivalenceClasses,
    reservations: Reservations,
    image_locality: ImageLocality,
    cycle_timer: CycleTimer,
    load_balancing: LoadBalancing,
    out: Vec<Effect>,
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
        let max_bytes = (policy.value_bytes as f64 * VALUE_FILL_FACTOR) as usize;
        let mut persistence = RecordPersistence::new(token, max_bytes);
        let mut machines = MachineInventory::new(types);
        for machine in persistence.load_machine_sets(inherited) {
            machines.insert(inherited_machine(machine, now));
        }
        for stored in results {
            persistence.load_results(&stored);
        }
        Scheduler {
            token,
            leaderless_since,
            term_started_at: now,
            attempt_numbers: AttemptNumbers::new(token),
            jobs: BTreeMap::new(),
            inventory: machines,
            failure_detector: FailureDetector::new(now),
            dispatcher: CommandDispatcher::default(),
            provisioning: Provisioning::new(token),
            persistence,
            quota: QuotaAccounting::new(&policy, token),
            queue: JobQueue::default(),
            equivalence_classes: EquivalenceClasses::default(),
            reservations: Reservations::default(),
            image_locality: ImageLocality::default(),
            cycle_timer: CycleTimer::default(),
            load_balancing: LoadBalancing::new(policy.balance.limits),
            policy,
            out: Vec::new(),
        }
    }

    pub fn token(&self) -> u64 {
        self.token
    }

    /// Unfinished jobs with their counts of tasks done and running, for display.
    pub fn progress(&self) -> impl Iterator<Item = (JobId, u32, u32)> + '_ {
        let mut running: HashMap<JobId, u32> = HashMap::new();
        for run in self.inventory.runs() {
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
        self.persistence.unreadable_machine_sets.is_empty()
            && !self.inventory.iter().any(Machine::is_unreconciled)
    }

    /// What the cluster looks like, for the log.
    pub fn summary(&self, now: Millis) -> SchedulerSummary {
        let mut s = SchedulerSummary {
            suspects: self.quarantined_jobs().count(),
            unpersisted: self.persistence.completed_jobs.len(),
            late: self.late_boots(now),
            ..SchedulerSummary::default()
        };
        for m in self.inventory.iter() {
            s.unreconciled += usize::from(m.is_unreconciled());
            if !m.is_up() {
                s.booting += 1;
                continue;
            }
            s.up += 1;
            s.cpus += self.inventory.type_named(&m.kind).map_or(0.0, |t| t.cpus);
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
        self.inventory
            .iter()
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
        self.inventory.by_name()
    }

    /// Jobs that have shown nothing but failures.
    pub fn quarantined_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.jobs.iter().filter(|(_, job)| job.is_quarantined).map(|(id, _)| *id)
    }

    /// Zones of which nothing is heard.
    pub fn unreachable_zones(&self) -> Vec<String> {
        self.failure_detector.unreachable_zones.iter().map(|z| z.to_string()).collect()
    }

    /// Rounds of placing in this term, for checks.
    pub fn cycles(&self) -> u64 {
        self.cycle_timer.count()
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
                self.failure_detector.relayed_since = None;
                self.on_heartbeat(now, &report);
            }
            Event::RelayedHeartbeat(report) => {
                self.failure_detector.relayed_since.get_or_insert(now);
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
            Event::MachineTypes(types) => self.inventory.set_types(types),
            Event::QuotaObserved(view) => self.on_quota_observed(now, view),
            Event::LedgerWriteFinished { write, outcome } => {
                self.on_ledger_write_finished(now, &write, outcome)
            }
            Event::Tick => self.on_tick(now),
        }
        if !self.persistence.completed_jobs.is_empty()
            || self.persistence.machine_sets.due(now)
            || self.persistence.results.due(now)
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
            self.persistence.completed_jobs.insert(id);
        }
        self.cycle_timer.request();
    }

    fn on_job_closed(&mut self, now: Millis, id: JobId) {
        if self.jobs.remove(&id).is_none() {
            return;
        }
        self.persistence.completed_jobs.remove(&id);
        self.forget_job_results(id);
        for m in self.inventory.iter_mut() {
            if stop_job_runs(m, id) {
                self.dispatcher.pending.insert(m.name.to_string());
            }
        }
        self.cycle_timer.request();
        self.dispatch(now, None);
    }
}
