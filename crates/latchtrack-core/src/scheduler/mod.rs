//! The scheduler, a pure state machine run by the leader: it consumes events and returns effects.
//!
//! Invariants (docs/design.md has the reasoning):
//! - A task has at most one assignment. It keeps the assignment until its machine reports that the
//!   attempt has ended, advances to a later agent epoch, or is known to be gone.
//! - A machine of an earlier leader is unreconciled until one of its heartbeats carries this term's
//!   fencing token or the cloud confirms its termination. While any machine is unreconciled, no
//!   inherited job starts tasks.
//! - A direct call may be executed at any later time, whether or not it was answered. So an attempt
//!   is forgotten only by a message with a higher token than every direct call that launched it.
//!
//! Each part of the state is a struct in the module that owns it. [`Scheduler::handle`] routes
//! events to the modules, and `Scheduler::on_tick` lists the steps of a tick.

mod backfill;
mod best_effort;
mod boot_tracking;
mod cell_quota;
mod cycle;
mod cycle_state;
mod decision_log;
mod deferral;
mod direct_calls;
mod dispatcher;
mod entry_scheduling;
mod equivalence_classes;
mod failure_attribution;
mod failure_detector;
mod fair_share;
mod fencing;
mod free_capacity;
mod gangs;
mod guarantees;
mod heartbeat_response;
mod heartbeats;
mod inventory;
mod load_balancing;
mod log_events;
mod machine_list;
mod messages;
mod objectives;
mod persistence;
mod policy;
mod provisioning;
mod queue;
mod queue_order;
mod reservations;
mod starvation;
mod summary;
mod task_placement;
mod task_runs;
mod team_limits;
mod termination;
mod worker_leases;

use std::collections::BTreeMap;
use std::sync::Arc;

pub use decision_log::{CommandRoute, Decision, DecisionCounts, ReleaseReason};
pub use gangs::AttemptState;
pub use load_balancing::BalanceSummary;
pub use log_events::{AdoptionSource, LogEvent, RejectedShard, ResignReason};
pub use messages::*;
pub use policy::*;
pub use summary::{JobProgress, SchedulerSummary};

use boot_tracking::BootTracker;
use cell_quota::QuotaAccounting;
use cycle::CycleTimer;
use dispatcher::CommandDispatcher;
use equivalence_classes::EquivalenceClasses;
use failure_detector::FailureDetector;
use fencing::FencingTokens;
use inventory::{inherited_machine, MachineInventory};
use load_balancing::LoadBalancing;
use objectives::ImageLocality;
use persistence::RecordPersistence;
use provisioning::Provisioning;
use queue::JobQueue;
use reservations::Reservations;
use task_placement::AttemptNumbers;
use task_runs::stop_job_runs;

use crate::bitmap::Bitmap;
use crate::constants::VALUE_FILL_FACTOR;
use crate::job::{Job, JobId, JobSpec};
use crate::machine::{Machine, MachineType};
use crate::Millis;

/// The scheduler state of one leader's term.
#[derive(Clone)]
pub struct Scheduler {
    policy: Policy,
    fencing: FencingTokens,
    /// Jobs accepted at or after this revision were never launched by an earlier leader.
    leaderless_since: u64,
    term_started_at: Millis,
    attempt_numbers: AttemptNumbers,
    /// The unfinished jobs.
    jobs: BTreeMap<JobId, Job>,
    inventory: MachineInventory,
    failure_detector: FailureDetector,
    /// The last time at which a machine that is not in the readable part of the stored set was
    /// answered on an older token, so that the lease that it held before this term may be renewed.
    unlisted_older_token_at: Option<Millis>,
    dispatcher: CommandDispatcher,
    provisioning: Provisioning,
    boot_tracker: BootTracker,
    persistence: RecordPersistence,
    quota: QuotaAccounting,
    queue: JobQueue,
    equivalence_classes: EquivalenceClasses,
    reservations: Reservations,
    image_locality: ImageLocality,
    cycle_timer: CycleTimer,
    load_balancing: LoadBalancing,
    /// Whether decisions are logged.
    logs_decisions: bool,
    decision_counts: DecisionCounts,
    /// Effects of the event being handled.
    effects: Vec<Effect>,
}

impl Scheduler {
    /// Creates the scheduler of a new term from the stored machine set (`inherited`) and the stored
    /// results of open jobs.
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
            fencing: FencingTokens::new(token),
            leaderless_since,
            term_started_at: now,
            attempt_numbers: AttemptNumbers::new(token),
            jobs: BTreeMap::new(),
            inventory: machines,
            failure_detector: FailureDetector::new(now),
            unlisted_older_token_at: None,
            dispatcher: CommandDispatcher::new(policy.max_open_calls),
            provisioning: Provisioning::new(token),
            boot_tracker: BootTracker::default(),
            persistence,
            quota: QuotaAccounting::new(&policy, token),
            queue: JobQueue::default(),
            equivalence_classes: EquivalenceClasses::default(),
            reservations: Reservations::default(),
            image_locality: ImageLocality::default(),
            cycle_timer: CycleTimer::default(),
            load_balancing: LoadBalancing::new(policy.balance.limits),
            policy,
            logs_decisions: false,
            decision_counts: DecisionCounts::default(),
            effects: Vec::new(),
        }
    }

    /// Returns the fencing token with which this term began, the revision of its leader key.
    pub fn token(&self) -> u64 {
        self.fencing.term()
    }

    /// Whether all task runs on the machines are known: no command of an earlier leader can still
    /// arrive.
    fn all_reconciled(&self) -> bool {
        self.persistence.is_machine_set_known()
            && !self.inventory.iter().any(Machine::is_unreconciled)
    }

    /// Returns all known machines by name, for tests.
    pub fn machines(&self) -> &BTreeMap<String, Machine> {
        self.inventory.by_name()
    }

    /// Returns the quarantined jobs: those whose tasks have only failed so far.
    pub fn quarantined_jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.jobs.iter().filter(|(_, job)| job.is_quarantined).map(|(id, _)| *id)
    }

    /// Returns the names of unreachable zones, for display.
    pub fn unreachable_zones(&self) -> Vec<String> {
        self.failure_detector.unreachable_zones().map(|zone| zone.to_string()).collect()
    }

    /// Returns the number of scheduling cycles run in this term, for tests.
    pub fn cycles(&self) -> u64 {
        self.cycle_timer.count()
    }

    /// Returns the unfinished jobs by id.
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// Handles one event and returns its effects, to be executed in order.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        match event {
            Event::JobOpened { spec, submitted_at, revision, done } => {
                self.on_job_opened(spec, submitted_at, revision, done)
            }
            Event::JobClosed(job) => self.on_job_closed(now, job),
            Event::Heartbeat(heartbeat) => {
                self.failure_detector.worker_reached_directly();
                self.on_heartbeat(now, &heartbeat);
            }
            Event::RelayedHeartbeat(heartbeat) => {
                self.failure_detector.heartbeat_relayed(now);
                self.on_heartbeat(now, &heartbeat);
            }
            Event::CallFinished { machine, call, outcome } => {
                self.on_call_finished(now, &machine, call, outcome)
            }
            Event::ProvisionFinished { request_id, outcome } => {
                self.on_provision_finished(now, &request_id, outcome)
            }
            Event::TerminateFinished { names, outcome } => {
                self.on_terminate_finished(now, names, outcome)
            }
            Event::MachinesListed(listed) => self.on_machines_listed(now, listed),
            Event::WritesFinished { writes, outcome } => {
                self.on_writes_finished(now, writes, outcome)
            }
            Event::MachineTypes(types) => self.inventory.set_types(types),
            Event::QuotaObserved(snapshot) => self.on_quota_observed(now, snapshot),
            Event::LedgerWriteFinished { write, outcome } => {
                self.on_ledger_write_finished(now, &write, outcome)
            }
            Event::Tick => self.on_tick(now),
        }
        if self.persistence.has_due_write(now) {
            self.effects.push(Effect::WritesReady);
        }
        std::mem::take(&mut self.effects)
    }

    /// Runs the steps of a tick. Their order matters.
    fn on_tick(&mut self, now: Millis) {
        self.provisioning.expire_exhausted(now);
        self.failure_detector.observe_tick(now);
        self.request_machine_list(now);
        self.detect_failures(now);
        self.stop_preempted_tasks(now);
        self.end_incomplete_gang_attempts(now);
        self.track_boots(now);
        self.terminate_idle_machines(now);
        self.detect_ignored_launches(now);
        self.restore_healthy_jobs(now);
        self.balance_load(now);
        self.step_cell_quota(now);
        self.probe_silent_machines(now);
        self.dispatcher.observe_tick();
        if self.cycle_due(now) {
            self.run_cycle(now);
        }
        self.dispatch(now, None);
    }

    /// Adds an unfinished job from the job cache; `done` marks its tasks known to be done.
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
        if spec.gang && done.count_ones() > 0 {
            // Gang tasks complete together: if one is done, all are.
            done.set_all();
        }
        let is_done = done.is_full();
        // While a job is open, its record keeps the revision of its creation.
        let inherited = revision < self.leaderless_since;
        let equivalence_class = self.equivalence_classes.of(&spec);
        self.note_gang_arrival(&spec, equivalence_class, submitted_at);
        self.record_arrival(&spec, submitted_at);
        let mut job = Job::new(spec, submitted_at, revision, inherited, done);
        job.equivalence_class = equivalence_class;
        self.jobs.insert(id, job);
        if is_done {
            self.persistence.put_completed_job(id);
        }
        self.cycle_timer.request();
    }

    /// Removes a closed job and stops its task runs.
    fn on_job_closed(&mut self, now: Millis, id: JobId) {
        if self.jobs.remove(&id).is_none() {
            return;
        }
        self.persistence.remove_job(id);
        for machine in self.inventory.iter_mut() {
            if stop_job_runs(machine, id) {
                self.dispatcher.wake(&machine.name);
            }
        }
        self.cycle_timer.request();
        self.dispatch(now, None);
    }
}
