//! The leader's picture of the cluster: an event goes in, a list of effects comes out.
//!
//! What keeps the rules, in short (docs/design.md has the reasoning):
//! - a task has one place at a time, and keeps it until its machine reports the attempt ended,
//!   moved to another session, or is surely gone;
//! - a machine of an earlier leader is unsettled until a report of it carries our token or a
//!   delete of it was answered; while one is, no inherited job starts anything;
//! - a launch whose direct call was never answered may execute later, so its attempt is never
//!   forgotten in that session.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

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
    /// The workers' lease.
    pub lease_ms: Millis,
    pub teams: Vec<Team>,
    /// What is aimed at for the classes.
    pub aims: Vec<Aim>,
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
        submitted_ms: Millis,
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

/// What makes two jobs alike for placing: decided once, as a class, in each round.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Shape {
    demand: [u64; 3],
    types: Option<Vec<String>>,
    zone: Option<String>,
    spot: bool,
}

impl Shape {
    fn of(spec: &JobSpec) -> Self {
        let d = &spec.demand;
        Shape {
            demand: [d.cpus.to_bits(), d.gpus.to_bits(), d.memory_gb.to_bits()],
            types: spec.types.clone(),
            zone: spec.zone.clone(),
            spot: spec.spot,
        }
    }
}

/// What one round of placing carries from job to job.
struct Round {
    rooms: Vec<Room>,
    total: Demand,
    /// Shapes that found no ready room, no promised room, nothing to rent.
    no_ready: HashSet<Shape>,
    no_promise: HashSet<Shape>,
    no_offer: HashSet<Shape>,
    /// Waiting tasks of the jobs not yet looked at, by shape.
    to_come: HashMap<Shape, u32>,
    /// CPUs and GPUs in use of teams that have a limit.
    used: BTreeMap<String, (f64, f64)>,
    /// A run of unknown size and team is somewhere.
    unknown_runs: bool,
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
            Event::Job { spec, submitted_ms, stamp, done } => {
                self.on_job(now, spec, submitted_ms, stamp, done)
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

    // ---- jobs ----

    fn on_job(
        &mut self,
        now: Millis,
        spec: Arc<JobSpec>,
        submitted_ms: Millis,
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
        self.jobs.insert(id, Job::new(spec, submitted_ms, stamp, inherited, done, now));
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

    // ---- reports ----

    fn on_report(&mut self, now: Millis, r: &Report) {
        if self.gone.contains(&r.machine) {
            // A late report of a machine that is surely gone.
            self.out.push(Effect::Answer(Vec::new()));
            return;
        }
        if !self.machines.contains_key(&r.machine) {
            // A rental that was executed late, or whose answer was lost. It is not in the stored
            // set, so no leader has launched anything on it.
            let m = new_machine(&r.machine, &r.kind, &r.zone, r.spot, now);
            self.machines.insert(r.machine.clone(), m);
            self.out.push(Effect::Note(format!("machine {} adopted from its report", r.machine)));
        }
        if r.token > self.token {
            self.out.push(Effect::Resign("a machine holds a higher token"));
            return;
        }
        if !self.apply(now, r) {
            self.out.push(Effect::Answer(Vec::new()));
            return;
        }
        if self.plan_due(now) {
            self.plan(now);
        }
        let answer = self.answer(now, &r.machine);
        self.out.push(Effect::Answer(answer));
        self.flush(now, Some(&r.machine));
    }

    /// Takes in what a machine says; false if it is old news.
    fn apply(&mut self, now: Millis, r: &Report) -> bool {
        let Some(m) = self.machines.get_mut(&r.machine) else { return false };
        if (r.session, r.seq) <= m.newest {
            return false;
        }
        let first = m.heard.is_none();
        let moved = r.session > m.newest.0;
        m.newest = (r.session, r.seq);
        m.heard = Some(now);
        m.addr = Some(r.addr.clone());
        m.notice_at = r.notice_s.map(|s| now + (s.max(0.0) * 1000.0) as Millis);
        if first {
            self.replan = true;
            if !m.stored && !m.storing {
                self.dirty_machines.insert(r.machine.clone());
            }
        }
        if moved && !m.runs.is_empty() {
            // The worker's lease ran out: it has killed and forgotten everything, and late
            // commands for the old session are void.
            let runs = std::mem::take(&mut m.runs);
            self.out.push(Effect::Note(format!(
                "machine {} lost {} runs with its lease",
                r.machine,
                runs.len()
            )));
            for run in runs.into_values() {
                self.released(&r.machine, &run);
            }
            self.replan = true;
        }
        let Some(m) = self.machines.get_mut(&r.machine) else { return false };
        if m.unsettled {
            if r.token < self.token {
                // Proves nothing: a command of an earlier leader may arrive after it was sent.
                return true;
            }
            m.unsettled = false;
            self.replan = true;
        }
        let listed: HashSet<(TaskId, u64)> = r.tasks.iter().map(|t| (t.task, t.attempt)).collect();
        let vanished: Vec<(TaskId, u64)> = m
            .runs
            .iter()
            .filter(|(k, run)| run.phase != Phase::Assigned && !listed.contains(k))
            .map(|(k, _)| *k)
            .collect();
        for key in vanished {
            if let Some(run) = self.machines.get_mut(&r.machine).and_then(|m| m.runs.remove(&key)) {
                if run.live() {
                    self.released(&r.machine, &run);
                }
            }
        }
        for t in &r.tasks {
            self.apply_task(now, &r.machine, t);
        }
        self.touch_empty(now, &r.machine);
        true
    }

    fn apply_task(&mut self, now: Millis, machine: &str, t: &TaskReport) {
        let key = (t.task, t.attempt);
        let Some(m) = self.machines.get_mut(machine) else { return };
        let run = match m.runs.entry(key) {
            Entry::Occupied(run) => run.into_mut(),
            Entry::Vacant(free) => {
                let job = self.jobs.get_mut(&t.task.job).filter(|j| t.task.index < j.spec.tasks);
                free.insert(adopt(machine, t, job))
            }
        };
        if !run.live() || run.phase == t.phase {
            return;
        }
        run.phase = t.phase;
        if t.phase == Phase::Running {
            run.running_since.get_or_insert(now);
            if let Some(spec) = &run.spec {
                m.images.insert(spec.image.clone());
            }
        }
        if let Phase::Ended(cause) = t.phase {
            let run = run.clone();
            self.on_ended(now, machine, &run, cause);
        }
    }

    fn on_ended(&mut self, now: Millis, machine: &str, run: &Run, cause: Cause) {
        self.replan = true;
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        let Some(m) = self.machines.get_mut(machine) else { return };
        match cause {
            Cause::Done => {
                m.failed_jobs.clear();
                m.probation_until = 0;
                if job.done.set(run.task.index) {
                    job.dirty.insert(run.task.index / CHUNK_TASKS);
                    self.dirty_jobs.insert(run.task.job);
                }
                if job.placed.get(&run.task.index).is_some_and(|p| p.attempt == run.attempt) {
                    job.placed.remove(&run.task.index);
                }
                if job.done.full() {
                    self.finished.insert(run.task.job);
                }
                return;
            }
            Cause::Error => {
                job.failed_on.insert(machine.to_string());
                let doublings = (job.failed_on.len() as u32).saturating_sub(1).min(16);
                let pause = (FAIL_PAUSE_MS << doublings).min(FAIL_PAUSE_MOST_MS);
                job.pause_until = job.pause_until.max(now + pause);
                if !job.suspect() {
                    m.failed_jobs.insert(run.task.job);
                    m.probation_until = now + PROBATION_MS;
                    if m.failed_jobs.len() >= MACHINE_SUSPECT && !m.leaving {
                        m.leaving = true;
                        self.out.push(Effect::Note(format!("machine {machine} fails every job")));
                    }
                }
            }
            Cause::NoRoom | Cause::Busy | Cause::Unknown => {
                job.pause_until = job.pause_until.max(now + REFUSED_PAUSE_MS);
            }
            Cause::Stopped => {}
        }
        self.released(machine, run);
    }

    /// A run is surely off its machine without a result: its task may go elsewhere.
    fn released(&mut self, machine: &str, run: &Run) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        let index = run.task.index;
        let here = |p: &Place| p.machine == machine && p.attempt == run.attempt;
        if job.placed.get(&index).is_some_and(here) {
            job.give_back(index);
        }
    }

    fn touch_empty(&mut self, now: Millis, machine: &str) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        if m.runs.values().any(Run::live) {
            m.empty_since = None;
        } else {
            m.empty_since.get_or_insert(now);
        }
    }

    /// The commands of a report's answer: everything that the machine has not yet been seen to do.
    fn answer(&mut self, now: Millis, machine: &str) -> Vec<Command> {
        let Some(m) = self.machines.get_mut(machine) else { return Vec::new() };
        m.answered = Some(now);
        if m.unsettled {
            return Vec::new();
        }
        let mut commands = Vec::new();
        let call_open = m.call.is_some();
        for ((task, attempt), run) in &mut m.runs {
            let (task, attempt) = (*task, *attempt);
            match run.phase {
                Phase::Assigned => {
                    commands.push(Command::Launch { task, attempt });
                    run.launch_sent = true;
                    // A cancelled launch may still arrive directly. Started and stopped here, the
                    // attempt is known to the machine and the late command does nothing.
                    push_stop(run, now, true, &mut commands);
                }
                Phase::Fetching | Phase::Running | Phase::Saving => {
                    push_stop(run, now, true, &mut commands);
                }
                Phase::Ended(cause) => {
                    let kept = cause == Cause::Done
                        && self.jobs.get(&task.job).is_some_and(|j| !j.stored.get(task.index));
                    if !kept && !run.lost_call && !call_open {
                        commands.push(Command::Forget { task, attempt });
                    }
                }
            }
        }
        commands
    }

    // ---- direct calls ----

    /// Sends what should not wait for the next report.
    fn flush(&mut self, now: Millis, except: Option<&str>) {
        for m in self.machines.values_mut() {
            if except == Some(m.name.as_str()) || m.call.is_some() || now < m.call_after {
                continue;
            }
            let (Some(addr), false) = (&m.addr, m.deleting) else { continue };
            let mut commands = Vec::new();
            if !m.unsettled && m.up() {
                for ((task, attempt), run) in &mut m.runs {
                    if run.phase == Phase::Assigned && !run.launch_sent {
                        commands.push(Command::Launch { task: *task, attempt: *attempt });
                        run.launch_sent = true;
                    }
                    if run.live() {
                        push_stop(run, now, false, &mut commands);
                    }
                }
            }
            let probe = m.unsettled || m.heard.is_some_and(|h| now.saturating_sub(h) >= PROBE_MS);
            if commands.is_empty() && !probe {
                continue;
            }
            self.next_call += 1;
            m.call = Some(self.next_call);
            self.out.push(Effect::Call {
                machine: m.name.clone(),
                addr: addr.clone(),
                session: m.newest.0.max(1),
                call: self.next_call,
                commands,
            });
        }
    }

    fn on_called(&mut self, now: Millis, machine: &str, call: u64, outcome: CallOutcome) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        if m.call != Some(call) {
            return;
        }
        m.call = None;
        match outcome {
            CallOutcome::Done(r) => {
                if r.machine == machine {
                    self.apply(now, &r);
                }
            }
            CallOutcome::Refused(r) => {
                if r.token > self.token {
                    self.out.push(Effect::Resign("a machine holds a higher token"));
                    return;
                }
                // Not executed: the launches in it go again with the next answer.
                let known = m.newest.0;
                m.call_after = if r.session > known { now } else { now + 1_000 };
                if r.machine == machine {
                    self.apply(now, &r);
                }
            }
            CallOutcome::NotSent => m.call_after = now + 500,
            CallOutcome::Lost => {
                m.call_after = now + 1_000;
                for run in m.runs.values_mut() {
                    // Which launches were in it is not kept: each one not yet seen, or ended,
                    // counts as possibly in it. Never forgetting one too many costs a line.
                    run.lost_call = true;
                }
            }
        }
        self.flush(now, None);
    }

    // ---- cloud ----

    fn on_hired(&mut self, now: Millis, hire: &str, outcome: HireOutcome) {
        let Some(h) = self.hires.remove(hire) else { return };
        match outcome {
            HireOutcome::Machines(names) => {
                if (names.len() as u32) < h.number {
                    self.exhausted.insert(h.offer.clone(), now + EXHAUSTED_MS);
                }
                for name in names {
                    if self.gone.contains(&name) {
                        continue;
                    }
                    let o = &h.offer;
                    self.machines
                        .entry(name.clone())
                        .or_insert_with(|| new_machine(&name, &o.kind, &o.zone, o.spot, now));
                }
            }
            HireOutcome::NoCapacity => {
                self.exhausted.insert(h.offer, now + EXHAUSTED_MS);
            }
            HireOutcome::NotDone => {}
            HireOutcome::Lost => {
                // The name must not be used for anything else, and may have rented machines:
                // asked again, it names them or rents them now.
                self.out.push(Effect::Hire {
                    hire: hire.to_string(),
                    offer: h.offer.clone(),
                    number: h.number,
                });
                self.hires.insert(hire.to_string(), h);
            }
        }
        self.replan = true;
    }

    fn on_returned(&mut self, now: Millis, names: Vec<String>, ok: bool) {
        for name in names {
            if !ok {
                if let Some(m) = self.machines.get_mut(&name) {
                    m.deleting = false;
                }
                continue;
            }
            if let Some(m) = self.machines.remove(&name) {
                // What went back can be had again.
                let offer = Offer { kind: m.kind.clone(), zone: m.zone.clone(), spot: m.spot };
                self.exhausted.remove(&offer);
                for run in m.runs.values().filter(|r| r.live()) {
                    self.released(&name, run);
                }
                self.dirty_machines.remove(&name);
                if m.stored {
                    self.dropped_machines.insert(name.clone());
                }
            }
            self.remember_gone(name);
        }
        self.replan = true;
        if self.plan_due(now) {
            self.plan(now);
            self.flush(now, None);
        }
    }

    fn remember_gone(&mut self, name: String) {
        if self.gone.insert(name.clone()) {
            self.gone_order.push_back(name);
            if self.gone_order.len() > GONE_KEPT {
                if let Some(old) = self.gone_order.pop_front() {
                    self.gone.remove(&old);
                }
            }
        }
    }

    fn on_listed(&mut self, now: Millis, listed: Vec<Listed>) {
        for l in listed {
            if self.gone.contains(&l.name) {
                continue;
            }
            match self.machines.get_mut(&l.name) {
                Some(m) => {
                    if l.failed && !m.leaving {
                        m.leaving = true;
                        self.out.push(Effect::Note(format!("machine {} failed", l.name)));
                    }
                }
                None => {
                    let mut m = new_machine(&l.name, &l.kind, &l.zone, l.spot, now);
                    m.rented_at = now.saturating_sub(l.age_ms);
                    m.leaving = l.failed;
                    self.machines.insert(l.name.clone(), m);
                    self.replan = true;
                    self.out
                        .push(Effect::Note(format!("machine {} adopted from the list", l.name)));
                }
            }
        }
    }

    // ---- stored state ----

    /// The next batch for the state service, of at most `most` changes.
    pub fn next_writes(&mut self, most: usize) -> Vec<Write> {
        let mut out: Vec<Write> = Vec::new();
        let mut left = most;
        let mut taken = Vec::new();
        for id in &self.finished {
            let Some(job) = self.jobs.get(id).filter(|j| !j.conflict) else {
                taken.push(*id);
                continue;
            };
            let mut drop_chunks: Vec<u32> = (0..job.spec.tasks.div_ceil(CHUNK_TASKS))
                .filter(|c| job.stored.chunk(*c).iter().any(|b| *b != 0))
                .collect();
            if 1 + drop_chunks.len() > most {
                drop_chunks.clear();
            }
            let write =
                Write::Done { job: *id, stamp: job.stamp, tasks: job.spec.tasks, drop_chunks };
            if write.ops() > left {
                break;
            }
            left -= write.ops();
            taken.push(*id);
            out.push(write);
        }
        for id in &taken {
            self.finished.remove(id);
            self.dirty_jobs.remove(id);
        }
        while left > 0 {
            let Some(name) = self.dirty_machines.pop_first() else { break };
            if let Some(m) = self.machines.get_mut(&name) {
                m.storing = true;
                out.push(Write::Machine(StoredMachine {
                    name,
                    kind: m.kind.clone(),
                    zone: m.zone.clone(),
                    spot: m.spot,
                    addr: m.addr.clone().unwrap_or_default(),
                }));
                left -= 1;
            }
        }
        while left > 0 {
            let Some(id) = self.dirty_jobs.first().copied() else { break };
            let next = self.jobs.get_mut(&id).and_then(|job| {
                // A job about to be called done needs no more chunks.
                let chunk = if job.done.full() { None } else { job.dirty.pop_first() }?;
                Some(Write::Progress { job: id, chunk, bytes: job.done.chunk(chunk).to_vec() })
            });
            match next {
                Some(write) => {
                    out.push(write);
                    left -= 1;
                }
                None => {
                    self.dirty_jobs.remove(&id);
                }
            }
        }
        while left > 0 {
            let Some(name) = self.dropped_machines.pop_first() else { break };
            out.push(Write::DropMachine(name));
            left -= 1;
        }
        out
    }

    fn on_saved(&mut self, writes: Vec<Write>, outcome: SaveOutcome) {
        if let SaveOutcome::Conflict(jobs) = &outcome {
            for id in jobs {
                // The mirror will say who closed it.
                if let Some(job) = self.jobs.get_mut(id) {
                    job.conflict = true;
                }
            }
        }
        let ok = outcome == SaveOutcome::Ok;
        for write in writes {
            match write {
                Write::Machine(s) => match self.machines.get_mut(&s.name) {
                    Some(m) => {
                        m.storing = false;
                        m.stored = ok;
                        if !ok {
                            self.dirty_machines.insert(s.name);
                        }
                        self.replan = true;
                    }
                    // Went away meanwhile, and may have been stored all the same.
                    None => {
                        self.dropped_machines.insert(s.name);
                    }
                },
                Write::DropMachine(name) => {
                    if !ok {
                        self.dropped_machines.insert(name);
                    }
                }
                Write::Progress { job: id, chunk, bytes } => {
                    if let Some(job) = self.jobs.get_mut(&id) {
                        if ok {
                            job.stored.merge_chunk(chunk, &bytes);
                        } else {
                            job.dirty.insert(chunk);
                            self.dirty_jobs.insert(id);
                        }
                    }
                }
                Write::Done { job: id, .. } => {
                    if ok {
                        self.jobs.remove(&id);
                        self.dirty_jobs.remove(&id);
                    } else if self.jobs.get(&id).is_some_and(|j| !j.conflict) {
                        self.finished.insert(id);
                    }
                }
            }
        }
    }

    // ---- time ----

    fn on_tick(&mut self, now: Millis) {
        self.exhausted.retain(|_, until| *until > now);
        self.watch_silence(now);
        self.watch_notices(now);
        self.watch_idle(now);
        if self.plan_due(now) {
            self.plan(now);
        }
        self.flush(now, None);
    }

    fn type_of(&self, kind: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == kind)
    }

    fn boot_limit(&self, kind: &str, times: f64) -> Millis {
        let boot_s = self.type_of(kind).map_or(60.0, |t| t.boot_s);
        (boot_s * times * 1000.0) as Millis + BOOT_GRACE_MS
    }

    fn watch_silence(&mut self, now: Millis) {
        let silence = |m: &Machine| match m.heard {
            Some(h) => Some(now.saturating_sub(h)),
            None if m.unsettled => Some(now.saturating_sub(self.took_over)),
            None => None,
        };
        let limit = |m: &Machine| {
            if m.unsettled {
                self.policy.settle_ms
            } else {
                self.policy.silence_ms
            }
        };
        let known = self.machines.values().filter(|m| silence(m).is_some()).count();
        let silent: Vec<(String, Millis)> = self
            .machines
            .values()
            .filter(|m| !m.leaving)
            .filter_map(|m| silence(m).filter(|s| *s >= limit(m)).map(|s| (m.name.clone(), s)))
            .collect();
        // Many at once: rather a cut between us and them than that many dead machines. Deleting
        // them would throw their work away; past its lease a machine has none left.
        let cut = known >= SILENT_LEAST && silent.len() as f64 > known as f64 * SILENT_SHARE;
        // A machine heard in this term shows that we were heard once. A new leader that hears none
        // must not resign: the next would do the same for ever, with nobody to settle them.
        let heard_once = self.machines.values().any(|m| m.up());
        let past_lease = self.policy.lease_ms + LEASE_MARGIN_MS;
        if cut
            && heard_once
            && silent.len() == known
            && now.saturating_sub(self.took_over) > self.policy.silence_ms + self.policy.settle_ms
        {
            self.out.push(Effect::Resign("no machine is heard any more"));
        }
        for (name, s) in silent {
            if cut && s < past_lease {
                continue;
            }
            if let Some(m) = self.machines.get_mut(&name) {
                m.leaving = true;
                self.out.push(Effect::Note(format!("machine {name} silent for {s} ms, given up")));
            }
        }
    }

    /// A machine that is to be taken: tasks that can save do so now, the others finish if they can.
    fn watch_notices(&mut self, now: Millis) {
        for m in self.machines.values_mut().filter(|m| m.notice_at.is_some()) {
            for run in m.runs.values_mut().filter(|r| r.phase == Phase::Running) {
                let Some(spec) = &run.spec else { continue };
                if spec.checkpoint_s > 0.0 && run.stop.is_none() {
                    run.stop = Some(Stop { grace_s: spec.save_s + 1.0, sent_at: None });
                }
            }
        }
        let _ = now;
    }

    fn watch_idle(&mut self, now: Millis) {
        let mut back = Vec::new();
        let limits: BTreeMap<String, Millis> = self
            .types
            .iter()
            .map(|t| (t.name.clone(), self.boot_limit(&t.name, BOOT_NEVER)))
            .collect();
        for m in self.machines.values_mut().filter(|m| !m.deleting) {
            let no_runs = !m.runs.values().any(Run::live);
            // A result that is not stored is lost with its machine.
            let owes = m.runs.values().any(|r| {
                r.phase == Phase::Ended(Cause::Done)
                    && self.jobs.get(&r.task.job).is_some_and(|j| !j.stored.get(r.task.index))
            });
            if !m.up() && !m.unsettled && !m.leaving {
                let limit = limits.get(&m.kind).copied().unwrap_or(BOOT_GRACE_MS * 6);
                if now.saturating_sub(m.rented_at) > limit {
                    m.leaving = true;
                    self.out.push(Effect::Note(format!("machine {} never came up", m.name)));
                }
            }
            if m.up() && !m.unsettled && no_runs && !m.leaving {
                let since = *m.empty_since.get_or_insert(now);
                let wait = if m.spot {
                    self.policy.idle_wait_ms
                } else {
                    self.policy.ordinary_idle_wait_ms
                };
                if m.notice_at.is_some() || now.saturating_sub(since) >= wait {
                    m.leaving = true;
                }
            }
            let hears_us = m.heard.is_some_and(|h| now.saturating_sub(h) < self.policy.silence_ms);
            if m.leaving && !(owes && hears_us) {
                m.deleting = true;
                back.push(m.name.clone());
            }
        }
        if !back.is_empty() {
            self.out.push(Effect::Return(back));
        }
    }

    // ---- placing ----

    fn plan_due(&self, now: Millis) -> bool {
        // Rounds are apart, so that many reports in a row cost one.
        self.last_plan.is_none_or(|t| now >= t + 100)
            && (self.replan || self.last_plan.is_none_or(|t| now >= t + 1_000))
    }

    fn rooms(&self, now: Millis) -> (Vec<Room>, Demand) {
        let mut rooms = Vec::new();
        let mut total = Demand::default();
        for m in self.machines.values() {
            if m.leaving || m.unsettled || m.notice_at.is_some() || now < m.probation_until {
                continue;
            }
            let Some(t) = self.type_of(&m.kind) else { continue };
            let Some(used) = m.used() else { continue };
            if m.up() {
                total.cpus += t.cpus;
                total.gpus += t.gpus;
                total.memory_gb += t.memory_gb;
                if m.heard.is_some_and(|h| now.saturating_sub(h) >= PROBE_MS) {
                    continue;
                }
            } else if now.saturating_sub(m.rented_at) > self.boot_limit(&m.kind, BOOT_LATE) {
                continue;
            }
            rooms.push(Room {
                machine: Some(m.name.clone()),
                kind: m.kind.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                free: Demand {
                    cpus: t.cpus - used.cpus,
                    gpus: t.gpus - used.gpus,
                    memory_gb: t.memory_gb - used.memory_gb,
                },
                ready: m.up() && m.stored,
                held: false,
                score: 0.0,
            });
        }
        for h in self.hires.values() {
            if let Some(t) = self.type_of(&h.offer.kind) {
                for _ in 0..h.number {
                    rooms.push(promised(&h.offer, t));
                }
            }
        }
        (rooms, total)
    }

    fn plan(&mut self, now: Millis) {
        self.last_plan = Some(now);
        self.replan = false;
        let (rooms, total) = self.rooms(now);
        let mut used: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        let mut unknown_runs = false;
        for run in self.machines.values().flat_map(|m| m.runs.values()).filter(|r| r.live()) {
            match &run.spec {
                Some(s) => {
                    let u = used.entry(s.team.clone()).or_default();
                    u.0 += s.demand.cpus;
                    u.1 += s.demand.gpus;
                }
                None => unknown_runs = true,
            }
        }
        let mut round = Round {
            rooms,
            total,
            no_ready: HashSet::new(),
            no_promise: HashSet::new(),
            no_offer: HashSet::new(),
            to_come: HashMap::new(),
            used,
            unknown_runs,
        };
        let unsettled = self.machines.values().any(|m| m.unsettled);
        let guaranteed = self.guaranteed_jobs();
        let mut order: Vec<(Rank, JobId)> = self
            .jobs
            .iter()
            .filter(|(_, j)| !(unsettled && self.waits_for_settling(j)) && j.pause_until <= now)
            .filter_map(|(id, j)| {
                let waiting = j.waiting();
                (waiting > 0).then(|| {
                    let d = &j.spec.demand;
                    let demand =
                        placement::job_demand(d, waiting, &round.total, &self.policy.weights);
                    let (tier, due) = self.due(now, j);
                    let rank = Rank {
                        guaranteed: u8::from(!guaranteed.contains(id)),
                        tier,
                        due,
                        minus_demand: -demand,
                    };
                    (rank, *id)
                })
            })
            .collect();
        let by_rank = |a: &(Rank, JobId), b: &(Rank, JobId)| {
            a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal)
        };
        order.sort_by(by_rank);
        self.step_back(now, &mut order, &round.total);
        order.sort_by(by_rank);
        for job in order.iter().filter_map(|(_, id)| self.jobs.get(id)) {
            *round.to_come.entry(Shape::of(&job.spec)).or_default() += job.waiting();
        }
        for (_, id) in order {
            self.place_job(now, id, &mut round);
        }
    }

    /// Whether a job may not start anything while a machine is unsettled: an earlier leader may
    /// have launched its tasks, or its team's limit depends on what runs there.
    fn waits_for_settling(&self, job: &Job) -> bool {
        job.inherited
            || self
                .policy
                .teams
                .iter()
                .any(|t| t.name == job.spec.team && (t.cpus_max > 0.0 || t.gpus_max > 0.0))
    }

    /// Jobs that fit into their team's guarantee together with the team's earlier ones.
    fn guaranteed_jobs(&self) -> HashSet<JobId> {
        let mut out = HashSet::new();
        for team in self.policy.teams.iter().filter(|t| t.cpus > 0.0 || t.gpus > 0.0) {
            let mut mine: Vec<&Job> =
                self.jobs.values().filter(|j| j.spec.team == team.name).collect();
            mine.sort_by_key(|j| (j.submitted_ms, j.spec.id));
            let (mut cpus, mut gpus) = (0.0, 0.0);
            for job in mine {
                let n = f64::from(job.spec.tasks - job.done.ones());
                cpus += job.spec.demand.cpus * n;
                gpus += job.spec.demand.gpus * n;
                if cpus > team.cpus + 1e-6 || gpus > team.gpus + 1e-6 {
                    break;
                }
                out.insert(job.spec.id);
            }
        }
        out
    }

    /// How many more tasks the team's limit allows.
    fn limit_left(&self, spec: &JobSpec, round: &Round) -> u32 {
        let Some(team) = self.policy.teams.iter().find(|t| t.name == spec.team) else { return 0 };
        if team.cpus_max <= 0.0 && team.gpus_max <= 0.0 {
            return u32::MAX;
        }
        if round.unknown_runs {
            return 0;
        }
        let (cpus, gpus) = round.used.get(&spec.team).copied().unwrap_or_default();
        let left = |max: f64, used: f64| if max > 0.0 { max - used } else { f64::INFINITY };
        fits(&spec.demand, left(team.cpus_max, cpus), left(team.gpus_max, gpus), f64::INFINITY)
    }

    /// In which tier of the queue a job stands, and when it is due on the local clock: jobs with
    /// a deadline of their own first, then those whose class has an aim, each by the next that
    /// can still be met; then the others; last those that have missed theirs, which can no longer
    /// be late but would make others so.
    fn due(&self, now: Millis, job: &Job) -> (Tier, Millis) {
        let own = job.spec.deadline_s.map(|d| (d * 1000.0) as Millis);
        let aims = self.policy.aims.iter().filter(|a| a.class == job.spec.class);
        let mut dues: Vec<Millis> = aims
            .filter_map(|a| match a.due {
                Due::Within(ms) => Some(ms),
                Due::Times(t) => own.map(|d| (d as f64 * t) as Millis),
            })
            .chain(own)
            .collect();
        if dues.is_empty() {
            return (Tier::Regular, 0);
        }
        dues.retain(|ms| job.seen_at + ms > now);
        match dues.iter().min() {
            Some(ms) if own.is_some() => (Tier::Deadline, job.seen_at + ms),
            Some(ms) => (Tier::Aim, job.seen_at + ms),
            None => (Tier::Missed, 0),
        }
    }

    /// The jobs that step back because not all can be in time: see [`placement::set_aside`].
    fn step_back(&self, now: Millis, order: &mut [(Rank, JobId)], total: &Demand) {
        let cpu_ms = |spec: &JobSpec, n: f64| spec.demand.cpus * n * spec.estimate_s * 1000.0;
        // What runs now takes its room for half its estimate more, on average.
        let running: f64 = self
            .machines
            .values()
            .flat_map(|m| m.runs.values())
            .filter(|r| r.live())
            .filter_map(|r| r.spec.as_ref().map(|s| cpu_ms(s, 0.5)))
            .sum();
        let deadlines: f64 = order
            .iter()
            .filter(|(rank, _)| rank.tier == Tier::Deadline)
            .filter_map(|(_, id)| self.jobs.get(id))
            .map(|job| cpu_ms(&job.spec, f64::from(job.waiting())))
            .sum();
        let aims = || order.iter().enumerate().filter(|(_, (rank, _))| rank.tier == Tier::Aim);
        let queue: Vec<placement::Asked> = aims()
            .filter_map(|(_, (rank, id))| {
                let job = self.jobs.get(id)?;
                Some(placement::Asked {
                    left_ms: rank.due.saturating_sub(now) as f64,
                    run_ms: job.spec.estimate_s * 1000.0,
                    work: cpu_ms(&job.spec, f64::from(job.waiting())),
                })
            })
            .collect();
        let places: Vec<usize> = aims().map(|(i, _)| i).collect();
        let aside = placement::set_aside(&queue, running + deadlines, total.cpus);
        for ((place, aside), asked) in places.into_iter().zip(aside).zip(queue) {
            if aside {
                let rank = &mut order[place].0;
                rank.tier = Tier::Aside;
                // Among themselves the least work first: that still brings the most in.
                rank.due = asked.work as Millis;
            }
        }
    }

    fn place_job(&mut self, now: Millis, id: JobId, round: &mut Round) {
        let Some(job) = self.jobs.get(&id) else { return };
        let spec = job.spec.clone();
        let shape = Shape::of(&spec);
        if let Some(n) = round.to_come.get_mut(&shape) {
            *n = n.saturating_sub(job.waiting());
        }
        let waiting = job.waiting().min(self.limit_left(&spec, round));
        if waiting == 0 {
            return;
        }
        let mut left = waiting;
        if !round.no_ready.contains(&shape) {
            left -= self.fill_ready(now, id, &spec, waiting, round);
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if left == 0 {
            job.passed_since = None;
            return;
        }
        if left < waiting {
            job.passed_since = Some(now);
        }
        let passed = now.saturating_sub(*job.passed_since.get_or_insert(now));
        let zoned = spec.one_zone || spec.spread;
        if !zoned && job.failed_on.is_empty() {
            round.no_ready.insert(shape.clone());
        }
        if !round.no_promise.contains(&shape) {
            left -= fill_promised(&spec, left, round);
            if left == 0 {
                return;
            }
            round.no_promise.insert(shape.clone());
        }
        if !round.no_offer.contains(&shape) {
            left -= self.rent(now, &spec, left, passed, round);
            if left == 0 {
                return;
            }
            round.no_offer.insert(shape);
        }
        if passed >= self.policy.pass_over_ms {
            self.hold(&spec, left, round);
        }
    }

    /// Places whole slices on machines that are up, by rising score; returns how many tasks.
    fn fill_ready(
        &mut self,
        now: Millis,
        id: JobId,
        spec: &Arc<JobSpec>,
        want: u32,
        round: &mut Round,
    ) -> u32 {
        let Some(job) = self.jobs.get(&id) else { return 0 };
        let live: Vec<String> = job
            .placed
            .values()
            .filter_map(|p| self.machines.get(&p.machine).map(|m| m.zone.clone()))
            .collect();
        let avoid = |room: &Room| {
            !job.suspect() && room.machine.as_ref().is_some_and(|m| job.failed_on.contains(m))
        };
        let mut candidates: Vec<usize> = (0..round.rooms.len())
            .filter(|i| {
                let r = &round.rooms[*i];
                r.ready
                    && !r.held
                    && r.holds(&spec.demand) > 0
                    && placement::allowed(spec, &r.kind, &r.zone, r.spot)
                    && !avoid(r)
            })
            .collect();
        let weights = self.policy.weights;
        for i in &candidates {
            let r = &mut round.rooms[*i];
            r.score = placement::score(&r.free, &round.total, &weights);
        }
        candidates.sort_by(|a, b| {
            let (a, b) = (&round.rooms[*a], &round.rooms[*b]);
            let key = |r: &Room| (self.type_of(&r.kind).map_or(0.0, |t| t.cpus), !r.spot, r.score);
            key(a).partial_cmp(&key(b)).unwrap_or(std::cmp::Ordering::Equal)
        });
        if spec.one_zone {
            // Where its live tasks are, or else where most of them fit.
            let zone = live.first().cloned().or_else(|| {
                let mut by_zone: BTreeMap<&str, u64> = BTreeMap::new();
                for i in &candidates {
                    let r = &round.rooms[*i];
                    *by_zone.entry(&r.zone).or_default() += u64::from(r.holds(&spec.demand));
                }
                by_zone.iter().max_by_key(|(_, n)| **n).map(|(z, _)| z.to_string())
            });
            candidates.retain(|i| Some(&round.rooms[*i].zone) == zone.as_ref());
        }
        let mut zone_left: BTreeMap<String, u32> = BTreeMap::new();
        if spec.spread {
            for i in &candidates {
                let zone = &round.rooms[*i].zone;
                let here = live.iter().filter(|z| *z == zone).count() as u32;
                let left = rules::zone_share(spec.tasks).saturating_sub(here);
                zone_left.insert(zone.clone(), left);
            }
        }
        // How many on which machine, before anything is placed: a slice starts whole.
        let mut counts: Vec<(usize, u32)> = Vec::new();
        let mut left = want;
        for i in candidates {
            let r = &round.rooms[i];
            let mut n = r.holds(&spec.demand).min(left);
            if let Some(z) = zone_left.get_mut(&r.zone) {
                n = n.min(*z);
                *z -= n;
            }
            if n > 0 {
                counts.push((i, n));
                left -= n;
            }
            if left == 0 {
                break;
            }
        }
        let found = want - left;
        let slice = self.policy.slice.max(1);
        let mut n = if left == 0 { found } else { found / slice * slice };
        let placed = n;
        for (i, most) in counts {
            let here = most.min(n);
            if here == 0 {
                break;
            }
            n -= here;
            round.rooms[i].take(&spec.demand, here);
            if let Some(machine) = round.rooms[i].machine.clone() {
                self.assign(now, id, spec, &machine, here);
            }
        }
        let used = round.used.entry(spec.team.clone()).or_default();
        used.0 += spec.demand.cpus * f64::from(placed);
        used.1 += spec.demand.gpus * f64::from(placed);
        placed
    }

    fn assign(&mut self, now: Millis, id: JobId, spec: &Arc<JobSpec>, machine: &str, n: u32) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(m) = self.machines.get_mut(machine) else { return };
        for index in job.take(n) {
            self.next_attempt += 1;
            let attempt = (self.token << ATTEMPT_BITS) | self.next_attempt;
            let task = TaskId { job: id, index };
            job.placed.insert(index, Place { machine: machine.to_string(), attempt });
            m.runs.insert(
                (task, attempt),
                Run {
                    task,
                    attempt,
                    spec: Some(spec.clone()),
                    phase: Phase::Assigned,
                    stop: None,
                    launch_sent: false,
                    lost_call: false,
                    running_since: None,
                },
            );
        }
        m.empty_since = None;
        let _ = now;
    }

    /// Rents the first choice that is not known to be exhausted; returns for how many tasks.
    fn rent(
        &mut self,
        now: Millis,
        spec: &JobSpec,
        left: u32,
        passed: Millis,
        round: &mut Round,
    ) -> u32 {
        if self.hires.len() >= OPEN_HIRES {
            return 0;
        }
        let offers = placement::offers(spec, &self.types, self.rotate);
        let policy = &self.policy;
        let Some(offer) = offers.into_iter().find(|o| {
            let wait = if o.spot { policy.spot_after_ms } else { policy.ordinary_after_ms };
            passed >= wait && self.exhausted.get(o).is_none_or(|until| *until <= now)
        }) else {
            return 0;
        };
        let Some(t) = self.type_of(&offer.kind).cloned() else { return 0 };
        let per_machine = t.holds(&spec.demand).max(1);
        // Like tasks are decided as a class: one call for all of this shape, not one a job. Team
        // limits are left to each job.
        let alike = match self.limit_left(spec, round) {
            u32::MAX => round.to_come.get(&Shape::of(spec)).copied().unwrap_or(0),
            _ => 0,
        };
        let number = left.saturating_add(alike).div_ceil(per_machine).min(HIRE_MOST);
        self.next_hire += 1;
        self.rotate = self.rotate.wrapping_add(1);
        let hire = format!("h-{}-{}", self.token, self.next_hire);
        for _ in 0..number {
            round.rooms.push(promised(&offer, &t));
        }
        self.hires.insert(hire.clone(), Hire { offer: offer.clone(), number });
        self.out.push(Effect::Hire { hire, offer, number });
        // What is left of the new machines is promised room for other shapes.
        round.no_promise.clear();
        fill_promised(spec, left, round)
    }

    /// Keeps the roomiest machines for a job that was passed over too long.
    fn hold(&self, spec: &JobSpec, left: u32, round: &mut Round) {
        let mut could: Vec<(usize, u32)> = round
            .rooms
            .iter()
            .enumerate()
            .filter(|(_, r)| {
                r.ready && !r.held && placement::allowed(spec, &r.kind, &r.zone, r.spot)
            })
            .filter_map(|(i, r)| {
                let per = self.type_of(&r.kind)?.holds(&spec.demand);
                (per > 0).then_some((i, per))
            })
            .collect();
        could.sort_by(|a, b| {
            let free = |i: usize| round.rooms[i].free.cpus;
            free(b.0).partial_cmp(&free(a.0)).unwrap_or(std::cmp::Ordering::Equal)
        });
        let mut left = left;
        for (i, per) in could {
            if left == 0 {
                break;
            }
            round.rooms[i].held = true;
            left = left.saturating_sub(per);
        }
    }
}

fn promised(offer: &Offer, t: &MachineType) -> Room {
    Room {
        machine: None,
        kind: offer.kind.clone(),
        zone: offer.zone.clone(),
        spot: offer.spot,
        free: Demand { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb },
        ready: false,
        held: false,
        score: 0.0,
    }
}

/// Counts waiting tasks against machines that will be up; returns for how many there is room.
fn fill_promised(spec: &JobSpec, want: u32, round: &mut Round) -> u32 {
    let mut left = want;
    for room in round.rooms.iter_mut().filter(|r| !r.ready) {
        if left == 0 {
            break;
        }
        if placement::allowed(spec, &room.kind, &room.zone, room.spot) {
            let n = room.holds(&spec.demand).min(left);
            room.take(&spec.demand, n);
            left -= n;
        }
    }
    want - left
}

fn new_machine(name: &str, kind: &str, zone: &str, spot: bool, now: Millis) -> Machine {
    Machine {
        name: name.to_string(),
        kind: kind.to_string(),
        zone: zone.to_string(),
        spot,
        addr: None,
        rented_at: now,
        stored: false,
        storing: false,
        unsettled: false,
        newest: (0, 0),
        heard: None,
        answered: None,
        notice_at: None,
        runs: BTreeMap::new(),
        call: None,
        call_after: 0,
        leaving: false,
        deleting: false,
        empty_since: None,
        failed_jobs: BTreeSet::new(),
        probation_until: 0,
        images: BTreeSet::new(),
    }
}

/// A run that an earlier leader launched. It keeps its place if its job is open and has no other
/// place for the task; otherwise it is stopped.
fn adopt(machine: &str, t: &TaskReport, job: Option<&mut Job>) -> Run {
    let spec = job.as_ref().map(|j| j.spec.clone());
    let mut stop = Some(Stop { grace_s: 0.0, sent_at: None });
    if let Some(job) = job {
        if !job.done.get(t.task.index) && !job.placed.contains_key(&t.task.index) {
            let place = Place { machine: machine.to_string(), attempt: t.attempt };
            job.placed.insert(t.task.index, place);
            stop = None;
        }
    }
    Run {
        task: t.task,
        attempt: t.attempt,
        spec,
        phase: Phase::Assigned,
        stop,
        launch_sent: true,
        lost_call: false,
        running_since: None,
    }
}

/// Stops the runs of a closed job; what was never sent simply goes.
fn stop_runs_of(m: &mut Machine, id: JobId) {
    m.runs
        .retain(|(task, _), run| task.job != id || run.phase != Phase::Assigned || run.launch_sent);
    for run in m.runs.values_mut().filter(|r| r.task.job == id && r.live()) {
        run.stop = Some(Stop { grace_s: 0.0, sent_at: None });
    }
}

/// Adds the stop of a run, if there is one to send now.
fn push_stop(run: &mut Run, now: Millis, again: bool, commands: &mut Vec<Command>) {
    let Some(stop) = &mut run.stop else { return };
    // A task that is saving is only told again to end it at once.
    if run.phase == Phase::Saving && stop.grace_s > 0.0 {
        return;
    }
    let due = match stop.sent_at {
        None => true,
        Some(t) => again || now >= t + STOP_REPEAT_MS,
    };
    if due {
        stop.sent_at = Some(now);
        commands.push(Command::Stop {
            task: run.task,
            attempt: run.attempt,
            grace_s: stop.grace_s,
        });
    }
}
