//! Drives load balancing: what `latchtrack-balance` sees of the cluster, and what comes of its proposals.
//!
//! A move is carried out with the means of any other stop and launch, and with the same checks. It owns
//! nothing but the room that it keeps free; whatever is in the way of it, its task goes the ordinary way.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use latchtrack_balance::amounts::Amounts;
use latchtrack_balance::arrivals::Arrivals;
use latchtrack_balance::balancer::{Balancer, Limits, MoveCounts};
use latchtrack_balance::constants::MOVE_OVERHEAD_S;
use latchtrack_balance::locality::{fetch_s, Place};
use latchtrack_balance::moves::{Leg, Move, MoveEvent, Reason, Stage, UnitId};
use latchtrack_balance::planner::{MachineLoad, Movable, PlanInput};
use latchtrack_balance::spread::Spread;

use super::messages::Effect;
use super::Scheduler;
use crate::constants::*;
use crate::job::{Job, JobId, JobSpec, Resources, TaskId};
use crate::machine::{Machine, MachineType, StopRequest, TaskPhase, TaskRun};
use crate::placement::{FreeCapacity, LoadInfo};
use crate::rules;
use crate::Millis;

/// The state of load balancing.
#[derive(Clone, Debug)]
pub(super) struct LoadBalancing {
    pub balancer: Balancer,
    pub arrivals: Arrivals,
    /// The pools seen so far, by what makes machines alike.
    pools: HashMap<(Arc<str>, Arc<str>, bool), u32>,
    observed_at: Option<Millis>,
    logged_at: Option<Millis>,
    /// Machine types whose amounts make no sense, named once in the log.
    invalid_types: BTreeSet<String>,
}

impl LoadBalancing {
    pub fn new(limits: Limits) -> Self {
        LoadBalancing {
            balancer: Balancer::new(limits),
            arrivals: Arrivals::default(),
            pools: HashMap::new(),
            observed_at: None,
            logged_at: None,
            invalid_types: BTreeSet::new(),
        }
    }
}

/// What there is to tell an operator of the balance of the cluster.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BalanceSummary {
    /// The spread of the pool in which it is greatest.
    pub spread: Spread,
    pub over_bound: usize,
    pub hot_teams: Vec<String>,
    /// Moves under way and the last that are over, each with where it stands.
    pub moves: Vec<String>,
    pub recent: Vec<String>,
    pub counts: MoveCounts,
}

impl Scheduler {
    /// What there is to tell of the balance; None while nothing of it is switched on.
    pub fn balance_summary(&self) -> Option<BalanceSummary> {
        let policy = &self.policy.balance;
        if !policy.observes() && !policy.teams {
            return None;
        }
        let spreads = self.load_balancing.balancer.spreads().values().copied();
        let worst = spreads.max_by(|a, b| a.ratio().total_cmp(&b.ratio()));
        Some(BalanceSummary {
            spread: worst.unwrap_or_default(),
            over_bound: self.load_balancing.balancer.over_bound(),
            hot_teams: self.load_balancing.arrivals.hot_teams(),
            moves: self.load_balancing.balancer.moves().iter().map(describe).collect(),
            recent: self.load_balancing.balancer.recent().map(describe).collect(),
            counts: self.load_balancing.balancer.counts(),
        })
    }

    /// The moves under way, for checks.
    pub fn moves(&self) -> &[Move] {
        self.load_balancing.balancer.moves()
    }

    /// A job was submitted: counts for how much its team asks for.
    pub(super) fn note_arrival(&mut self, spec: &JobSpec, submitted_at: Millis) {
        if self.policy.balance.teams {
            let work = spec.demand.cpus * spec.estimate_s * f64::from(spec.tasks);
            self.load_balancing.arrivals.add(submitted_at, &spec.team, work);
        }
    }

    /// What moves keep free on a machine.
    pub(super) fn reserved_on(&self, machine: &str) -> Amounts {
        self.load_balancing.balancer.reserved_on(machine)
    }

    /// What load balancing knows of a machine's room; None while it has no say in placing.
    pub(super) fn load_info(&self, m: &Machine, t: &MachineType) -> Option<LoadInfo> {
        if !self.policy.balance.placement {
            return None;
        }
        let mut fetching: BTreeMap<&str, f64> = BTreeMap::new();
        for run in
            m.runs.values().filter(|r| matches!(r.phase, TaskPhase::Assigned | TaskPhase::Fetching))
        {
            let Some(spec) = &run.spec else { continue };
            if !m.images.contains(&spec.image) {
                fetching.insert(&spec.image, spec.image_gb);
            }
        }
        let pool = self.load_balancing.pools.get(&(m.kind.clone(), m.zone.clone(), m.spot));
        let spread = pool.and_then(|pool| self.load_balancing.balancer.spreads().get(pool));
        Some(LoadInfo {
            capacity: Resources { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb },
            mean_load: spread.map_or(0.0, |spread| spread.mean),
            fetching_gb: fetching.values().sum(),
        })
    }

    /// What weighs against a place before its size and score: that the image is not there, or, with
    /// balanced placement, the term of [`Place::cost`].
    pub(super) fn placement_cost(&self, spec: &JobSpec, room: &FreeCapacity) -> f64 {
        let is_cold = !room.images.contains(&spec.image);
        let Some(balance) = &room.balance else { return f64::from(u8::from(is_cold)) };
        let speed = self.inventory.type_named(&room.kind).map_or(0.0, |t| t.fetch_gb_per_s);
        let fetch_s = match is_cold {
            true => fetch_s(spec.image_gb, balance.fetching_gb, speed),
            false => 0.0,
        };
        let capacity = amounts(&balance.capacity);
        let demand = amounts(&spec.demand);
        let used = capacity.minus(&amounts(&room.free)).plus(&demand);
        let spread = Spread { mean: balance.mean_load, ..Spread::default() };
        Place {
            fetch_s,
            run_s: spec.estimate_s,
            load_after: used.dominant_share(&capacity),
            bound: spread.bound(demand.dominant_share(&capacity)),
        }
        .cost()
    }

    /// Looks at the loads, begins moves, and carries on those under way.
    pub(super) fn balance_load(&mut self, now: Millis) {
        self.advance_moves(now);
        let policy = self.policy.balance;
        if !policy.observes() && !policy.teams {
            return;
        }
        self.log_balance(now);
        if !policy.observes()
            || self.load_balancing.observed_at.is_some_and(|at| now < at + BALANCE_INTERVAL_MS)
        {
            return;
        }
        self.load_balancing.observed_at = Some(now);
        let input = self.plan_input(now);
        let holds_off = !policy.moves || !self.moves_allowed(now);
        for begun in self.load_balancing.balancer.observe(now, input, holds_off) {
            let text = format!("a move begins: {}", describe(&begun));
            self.out.push(Effect::Log(text));
            self.begin_move(now, &begun);
        }
    }

    /// Whether tasks may be moved now: all is known and calm, and nobody waits for room.
    fn moves_allowed(&self, now: Millis) -> bool {
        let calm = now >= self.term_started_at.saturating_add(self.policy.balance.calm_ms)
            && now >= self.failure_detector.listening_since.saturating_add(self.policy.probe_ms());
        calm && self.all_reconciled()
            && self.failure_detector.unreachable_zones.is_empty()
            && !self.overloaded(now)
    }

    /// Whether jobs that found no room for a while ask for a good part of the cluster: while a task saves,
    /// its move takes room twice.
    fn overloaded(&self, now: Millis) -> bool {
        let short_of_room = |job: &&Job| {
            job.unschedulable_since
                .is_some_and(|at| now >= at.saturating_add(self.policy.reserve_after_ms))
        };
        let cpus = |job: &Job| job.spec.demand.cpus * f64::from(job.schedulable_tasks());
        let waiting: f64 = self.jobs.values().filter(short_of_room).map(cpus).sum();
        let types = self
            .inventory
            .iter()
            .filter(|m| m.is_up())
            .filter_map(|m| self.inventory.type_named(&m.kind));
        waiting > OVERLOAD_SHARE * types.map(|t| t.cpus).sum::<f64>()
    }

    /// The loads of the machines that are up, and the tasks that may move.
    fn plan_input(&mut self, now: Millis) -> PlanInput {
        let mut input = PlanInput::default();
        let mut gangs: BTreeMap<JobId, Vec<(u32, usize)>> = BTreeMap::new();
        let up: Vec<String> =
            self.inventory.iter().filter(|m| m.is_up()).map(|m| m.name.to_string()).collect();
        for name in up {
            let Some(load) = self.load_of(now, &name) else { continue };
            let index = input.machines.len();
            let may_give = load.may_give;
            input.machines.push(load);
            let runs = self.inventory[name.as_str()].runs.values();
            for run in runs.filter(|run| may_give && is_movable(run)) {
                match run.spec.as_ref() {
                    Some(spec) if spec.gang => {
                        gangs.entry(spec.id).or_default().push((run.task.index, index));
                    }
                    Some(spec) => {
                        let unit = UnitId { job: spec.id.0, task: Some(run.task.index) };
                        let tasks = vec![(run.task.index, index)];
                        let since = run.running_since.unwrap_or(now);
                        let kind = &self.inventory[name.as_str()].kind;
                        input.movables.push(self.movable(now, unit, spec, tasks, since, kind));
                    }
                    None => {}
                }
            }
        }
        for (id, tasks) in gangs {
            let Some(job) = self.jobs.get(&id) else { continue };
            // Whole or not at all.
            if tasks.len() != job.spec.tasks as usize {
                continue;
            }
            let on = tasks.first().map(|(_, index)| input.machines[*index].name.to_string());
            let Some(m) = on.and_then(|name| self.inventory.get(&name)) else { continue };
            let since = self.latest_start(job).unwrap_or(now);
            let unit = UnitId { job: id.0, task: None };
            let movable = self.movable(now, unit, &job.spec, tasks, since, &m.kind);
            input.movables.push(movable);
        }
        input
    }

    /// When the last task of a gang was seen to start.
    fn latest_start(&self, job: &Job) -> Option<Millis> {
        let starts = job.placed.iter().filter_map(|(index, place)| {
            let task = TaskId { job: job.spec.id, index: *index };
            self.inventory.get(&place.machine)?.runs.get(&(task, place.attempt))?.running_since
        });
        starts.max()
    }

    /// The load of a machine, unless its amounts are unknown or make no sense.
    fn load_of(&mut self, now: Millis, name: &str) -> Option<MachineLoad> {
        let m = self.inventory.get(name)?;
        let t = self.inventory.type_named(&m.kind)?;
        let capacity = Amounts { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb };
        let used = amounts(&m.allocated()?)
            .plus(&self.load_balancing.balancer.reserved_on(name))
            .minus(&self.load_balancing.balancer.leaving_from(name));
        let is_well = self.accepts_moves(now, m);
        let pool = (m.kind.clone(), m.zone.clone(), m.spot);
        if !capacity.is_valid() || !used.is_valid() {
            let kind = m.kind.to_string();
            if self.load_balancing.invalid_types.insert(kind.clone()) {
                let text = format!("the loads of machines of type {kind} make no sense: {used:?}");
                self.out.push(Effect::Log(text));
            }
            return None;
        }
        let name = m.name.clone();
        let next = self.load_balancing.pools.len() as u32;
        let pool = *self.load_balancing.pools.entry(pool).or_insert(next);
        Some(MachineLoad {
            name,
            pool,
            capacity,
            used,
            may_receive: is_well,
            may_give: is_well,
            may_be_relieved: is_well,
        })
    }

    /// Whether a machine may take part in a move: it takes tasks, and was heard lately.
    fn accepts_moves(&self, now: Millis, m: &Machine) -> bool {
        let takes_tasks = self.free_capacity_of(now, m).is_some_and(|room| room.ready);
        takes_tasks && !m.heartbeat_older_than(now, self.policy.overdue_ms())
    }

    /// What the planner needs to know of a running task, or a gang.
    fn movable(
        &self,
        now: Millis,
        unit: UnitId,
        spec: &JobSpec,
        tasks: Vec<(u32, usize)>,
        since: Millis,
        kind: &str,
    ) -> Movable {
        let ran_ms = now.saturating_sub(since);
        let speed = self.inventory.type_named(kind).map_or(0.0, |t| t.fetch_gb_per_s);
        let fetch_s = fetch_s(spec.image_gb, 0.0, speed);
        Movable {
            unit,
            tasks,
            demand: amounts(&spec.demand),
            save_s: spec.save_s,
            cost_s: spec.save_s + fetch_s + MOVE_OVERHEAD_S,
            remaining_s: spec.estimate_s - ran_ms as f64 / 1000.0,
            ran_ms,
        }
    }

    /// Tells the tasks of a move to save and stop; the room on its targets is reserved already.
    fn begin_move(&mut self, now: Millis, begun: &Move) {
        let id = JobId(begun.unit.job);
        let stopped = match begun.unit.task {
            None => self.stop_gang_to_move(now, id),
            Some(_) => begun.legs.iter().all(|leg| self.stop_to_move(now, id, leg)),
        };
        let event = match stopped {
            true => MoveEvent::StopSent,
            false => MoveEvent::Failed(Reason::NotStopped),
        };
        self.advance_move(now, begun.unit, event);
    }

    fn stop_gang_to_move(&mut self, now: Millis, id: JobId) -> bool {
        self.stop_gang(now, id);
        self.jobs.get(&id).is_some_and(|job| job.stop_is_under_way(self))
    }

    fn stop_to_move(&mut self, now: Millis, id: JobId, leg: &Leg) -> bool {
        let Some(place) = self.jobs.get(&id).and_then(|job| job.placed.get(&leg.task)) else {
            return false;
        };
        let key = (TaskId { job: id, index: leg.task }, place.attempt);
        let probe_ms = self.policy.probe_ms();
        let Some(m) = self.inventory.get_mut(&leg.source) else { return false };
        if *place.machine != *leg.source || m.heartbeat_older_than(now, probe_ms) {
            return false;
        }
        let Some(run) = m.runs.get_mut(&key).filter(|run| is_movable(run)) else { return false };
        let save_s = run.spec.as_ref().map_or(0.0, |spec| spec.save_s);
        run.stop = Some(StopRequest { grace_s: save_s + STOP_GRACE_S, sent_at: None });
        self.dispatcher.pending.insert(leg.source.to_string());
        true
    }

    /// Carries on the moves under way, by what is known of their tasks and machines.
    pub(super) fn advance_moves(&mut self, now: Millis) {
        if self.load_balancing.balancer.moves().is_empty() {
            return;
        }
        for under_way in self.load_balancing.balancer.moves().to_vec() {
            for event in self.move_events(now, &under_way) {
                self.advance_move(now, under_way.unit, event);
            }
            let ready =
                self.load_balancing.balancer.moves().iter().find(|m| m.unit == under_way.unit);
            if let Some(ready) = ready.filter(|m| m.stage == Stage::Ready).cloned() {
                let event = match self.launch_on_targets(now, &ready) {
                    Ok(()) => MoveEvent::Launched,
                    Err(reason) => MoveEvent::Failed(reason),
                };
                self.advance_move(now, ready.unit, event);
            }
            self.advance_move(now, under_way.unit, MoveEvent::Tick);
        }
    }

    fn advance_move(&mut self, now: Millis, unit: UnitId, event: MoveEvent) {
        let Some(stage) = self.load_balancing.balancer.tell(now, unit, event) else { return };
        if stage.is_final() {
            // What was reserved is free, or its task waits in the queue.
            self.cycle_timer.request();
            let text = format!("the move of {} is over: {stage}", describe_unit(unit));
            self.out.push(Effect::Log(text));
        }
    }

    /// What has happened to a move since it was last looked at.
    fn move_events(&self, now: Millis, m: &Move) -> Vec<MoveEvent> {
        let Some(job) = self.jobs.get(&JobId(m.unit.job)) else {
            return vec![MoveEvent::Failed(Reason::JobOver)];
        };
        let events = m.legs.iter().filter_map(|leg| match m.stage {
            Stage::Reserved | Stage::Stopping => self.stopping_event(now, job, leg),
            Stage::Launching => self.launching_event(job, leg),
            Stage::Ready | Stage::Settled | Stage::Abandoned(_) => None,
        });
        events.collect()
    }

    fn stopping_event(&self, now: Millis, job: &Job, leg: &Leg) -> Option<MoveEvent> {
        if job.done.get(leg.task) {
            return Some(MoveEvent::Failed(Reason::Completed));
        }
        match job.placed.get(&leg.task) {
            None => Some(MoveEvent::Ended { task: leg.task }),
            Some(place) if *place.machine != *leg.source => {
                Some(MoveEvent::Failed(Reason::JobOver))
            }
            Some(_) => {
                let source = self.inventory.get(&leg.source);
                let goes = source.is_none_or(|m| {
                    m.to_terminate || m.heartbeat_older_than(now, self.policy.probe_ms())
                });
                goes.then_some(MoveEvent::Failed(Reason::SourceLost))
            }
        }
    }

    fn launching_event(&self, job: &Job, leg: &Leg) -> Option<MoveEvent> {
        if job.done.get(leg.task) {
            return Some(MoveEvent::Runs { task: leg.task });
        }
        let place = job.placed.get(&leg.task).filter(|place| place.machine == leg.target);
        let Some(place) = place else { return Some(MoveEvent::Failed(Reason::TargetLost)) };
        let key = (TaskId { job: job.spec.id, index: leg.task }, place.attempt);
        let run = self.inventory.get(&leg.target)?.runs.get(&key)?;
        (run.phase == TaskPhase::Running).then_some(MoveEvent::Runs { task: leg.task })
    }

    /// Launches the tasks of a move on its targets, if every rule allows it now.
    fn launch_on_targets(&mut self, now: Millis, m: &Move) -> Result<(), Reason> {
        let id = JobId(m.unit.job);
        self.check_launch(now, id, m)?;
        let Some(job) = self.jobs.get_mut(&id) else { return Err(Reason::JobOver) };
        let spec = job.spec.clone();
        let legs: Vec<&Leg> = m.legs.iter().filter(|leg| job.take_one(leg.task)).collect();
        for leg in legs {
            self.assign_tasks(id, &spec, &leg.target, &[leg.task]);
        }
        Ok(())
    }

    /// The checks of any launch: what the job allows, its team's limit, and the room on each target.
    fn check_launch(&self, now: Millis, id: JobId, m: &Move) -> Result<(), Reason> {
        let job = self.jobs.get(&id).ok_or(Reason::JobOver)?;
        let spec = &job.spec;
        if self.tasks_within_limit(spec, &self.limited_usage()) < m.legs.len() as u32 {
            return Err(Reason::TeamLimit);
        }
        let mut zones: Vec<Arc<str>> = self.zones_in_use(job);
        let mut taken: BTreeMap<&str, u32> = BTreeMap::new();
        for leg in &m.legs {
            let target = self.inventory.get(&leg.target).ok_or(Reason::TargetLost)?;
            let mut room = self.free_capacity_of(now, target).ok_or(Reason::TargetLost)?;
            if !self.accepts_moves(now, target) {
                return Err(Reason::TargetLost);
            }
            let others = zones.iter().map(|zone| &**zone);
            let may_start = rules::may_start(spec, &room.kind, &room.zone, room.spot, others);
            if !may_start || self.avoids_machine(now, job, &leg.target) {
                return Err(Reason::NotAllowed);
            }
            // Its own reservation is taken off the room of a machine like any other.
            let own = m.reserved_on(&leg.target);
            room.free.cpus += own.cpus;
            room.free.gpus += own.gpus;
            room.free.memory_gb += own.memory_gb;
            let here = taken.entry(&leg.target).or_default();
            *here += 1;
            if room.holds(&spec.demand) < *here {
                return Err(Reason::TargetFull);
            }
            zones.push(room.zone.clone());
        }
        Ok(())
    }

    /// Sums up the balance in the log, once a minute.
    fn log_balance(&mut self, now: Millis) {
        if self.load_balancing.logged_at.is_some_and(|at| now < at + BALANCE_LOG_INTERVAL_MS) {
            return;
        }
        self.load_balancing.logged_at = Some(now);
        let Some(summary) = self.balance_summary() else { return };
        let (spread, counts) = (summary.spread, summary.counts);
        self.out.push(Effect::Log(format!(
            "balance: spread {:.2} (greatest load {:.2}, mean {:.2}), {} over the bound, hot teams \
             [{}], moves begun {} settled {} abandoned {}",
            spread.ratio(),
            spread.greatest,
            spread.mean,
            summary.over_bound,
            summary.hot_teams.join(", "),
            counts.begun,
            counts.settled,
            counts.abandoned
        )));
    }
}

impl Job {
    /// Whether tasks of it are being stopped, or are gone already.
    fn stop_is_under_way(&self, cluster: &Scheduler) -> bool {
        cluster.attempt_state(self) == super::AttemptState::Stopping
    }
}

/// Whether a run may be stopped to move: it runs, saves, and is not told to stop for another reason.
fn is_movable(run: &TaskRun) -> bool {
    let saves = run.spec.as_ref().is_some_and(|spec| spec.checkpoint_s > 0.0);
    run.phase == TaskPhase::Running && saves && run.stop.is_none()
}

pub(super) fn amounts(demand: &Resources) -> Amounts {
    Amounts { cpus: demand.cpus, gpus: demand.gpus, memory_gb: demand.memory_gb }
}

fn describe_unit(unit: UnitId) -> String {
    match unit.task {
        Some(index) => TaskId { job: JobId(unit.job), index }.to_string(),
        None => format!("gang {}", JobId(unit.job)),
    }
}

/// A move in one line.
fn describe(m: &Move) -> String {
    let legs: Vec<String> =
        m.legs.iter().map(|leg| format!("{} to {}", leg.source, leg.target)).collect();
    format!(
        "{} from {}, {} (load {:.2}, bound {:.2})",
        describe_unit(m.unit),
        legs.join(", "),
        m.stage,
        m.load,
        m.bound
    )
}
