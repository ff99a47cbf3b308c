//! Load balancing: passes the loads of the cluster to `latchtrack-balance` and carries out the
//! moves that it proposes.
//!
//! A move stops and launches its tasks with the same commands and checks as any other task. In
//! addition, it reserves capacity on its targets. If anything prevents it, it is abandoned, and its
//! tasks go through the queue like others.

mod move_execution;
mod placement_cost;
mod planner_input;
mod summary;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use latchtrack_balance::arrivals::{ArrivalLevel, Arrivals};
use latchtrack_balance::balancer::{Balancer, MoveLimits, NewMoves};
use latchtrack_balance::moves::{Move, MoveEvent, MoveStage, MoveUnit};
use latchtrack_balance::planner::PlanInput;
use latchtrack_balance::resources::Resources;

pub use summary::BalanceSummary;

use super::Scheduler;
use crate::constants::{BALANCE_INTERVAL_MS, BALANCE_LOG_INTERVAL_MS, OVERLOAD_SHARE};
use crate::job::{Job, JobSpec};
use crate::machine::Machine;
use crate::Millis;

/// The properties of machines that a job can ask for. Machines with equal properties form a pool
/// and share a bound on their load.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PoolKey {
    machine_type: Arc<str>,
    zone: Arc<str>,
    spot: bool,
}

impl PoolKey {
    fn of(machine: &Machine) -> Self {
        PoolKey {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
        }
    }
}

/// The load balancing state of one term. None of it is stored.
#[derive(Clone, Debug)]
pub(super) struct LoadBalancing {
    balancer: Balancer,
    arrivals: Arrivals,
    /// The numbers assigned to pools so far.
    pools: HashMap<PoolKey, u32>,
    observed_at: Option<Millis>,
    summary_logged_at: Option<Millis>,
    /// Machine types with invalid resource amounts. Each is logged once.
    invalid_types: BTreeSet<String>,
}

impl LoadBalancing {
    /// Creates the state for the start of a term.
    pub(super) fn new(limits: MoveLimits) -> Self {
        LoadBalancing {
            balancer: Balancer::new(limits),
            arrivals: Arrivals::default(),
            pools: HashMap::new(),
            observed_at: None,
            summary_logged_at: None,
            invalid_types: BTreeSet::new(),
        }
    }

    /// Classifies the recent arrivals of a team whose share of the cluster is `share_cpus` CPUs.
    pub(super) fn classify_arrivals(
        &mut self,
        now: Millis,
        team: &str,
        share_cpus: f64,
    ) -> ArrivalLevel {
        self.arrivals.classify(now, team, share_cpus)
    }

    /// Returns the resources that moves reserve on a machine.
    pub(super) fn reserved_on(&self, machine: &str) -> Resources {
        self.balancer.reserved_on(machine)
    }

    /// Whether a move has reserved resources on a machine, which must then not be terminated as
    /// idle.
    pub(super) fn is_reserved(&self, machine: &str) -> bool {
        self.balancer.is_reserved(machine)
    }

    fn moves(&self) -> &[Move] {
        self.balancer.moves()
    }

    fn active_move(&self, unit: MoveUnit) -> Option<&Move> {
        self.balancer.moves().iter().find(|active| active.unit == unit)
    }

    /// Passes an event to the move of a unit. Returns the new stage of the move if it has changed.
    fn handle_event(&mut self, now: Millis, unit: MoveUnit, event: MoveEvent) -> Option<MoveStage> {
        self.balancer.handle_event(now, unit, event)
    }

    /// Whether the loads are due to be observed again. If so, restarts the interval.
    fn begin_observation(&mut self, now: Millis) -> bool {
        begin_interval(&mut self.observed_at, now, BALANCE_INTERVAL_MS)
    }

    /// Whether the summary is due to be logged again. If so, restarts the interval.
    fn begin_summary_log(&mut self, now: Millis) -> bool {
        begin_interval(&mut self.summary_logged_at, now, BALANCE_LOG_INTERVAL_MS)
    }

    /// Observes the loads. Returns the moves that begin now, whose targets have been reserved.
    fn observe(&mut self, now: Millis, input: PlanInput, new_moves: NewMoves) -> Vec<Move> {
        self.balancer.observe(now, input, new_moves)
    }

    /// Returns the number of a machine's pool, assigning a new one if the pool is new.
    fn pool_number(&mut self, key: PoolKey) -> u32 {
        let next = self.pools.len() as u32;
        *self.pools.entry(key).or_insert(next)
    }

    /// Returns the mean load of a machine's pool when last observed, as a share of a machine; 0 if
    /// it was never observed.
    fn mean_load(&self, machine: &Machine) -> f64 {
        let pool = self.pools.get(&PoolKey::of(machine));
        let spread = pool.and_then(|pool| self.balancer.spreads().get(pool));
        spread.map_or(0.0, |spread| spread.mean)
    }
}

/// Returns whether `interval_ms` have passed since `last`, and if so sets `last` to `now`.
fn begin_interval(last: &mut Option<Millis>, now: Millis, interval_ms: Millis) -> bool {
    if last.is_some_and(|at| now < at + interval_ms) {
        return false;
    }
    *last = Some(now);
    true
}

impl Scheduler {
    /// Counts a submitted job as demand of its team.
    pub(super) fn record_arrival(&mut self, spec: &JobSpec, submitted_at: Millis) {
        if self.policy.balance.teams {
            let cpu_seconds = spec.demand.cpus * spec.estimate_s * f64::from(spec.tasks);
            self.load_balancing.arrivals.add(submitted_at, &spec.team, cpu_seconds);
        }
    }

    /// Advances the moves in progress, observes the loads and begins new moves.
    pub(super) fn balance_load(&mut self, now: Millis) {
        self.advance_moves(now);
        let policy = self.policy.balance;
        if !policy.observes_loads() && !policy.teams {
            return;
        }
        self.log_balance_summary(now);
        if !policy.observes_loads() || !self.load_balancing.begin_observation(now) {
            return;
        }
        let input = self.plan_input(now);
        let new_moves = if policy.moves { self.new_moves(now) } else { NewMoves::Suspended };
        for new_move in self.load_balancing.observe(now, input, new_moves) {
            self.log_move_started(&new_move);
            self.begin_move(now, &new_move);
        }
    }

    /// Returns whether new moves may begin: all machines must be reconciled and all zones
    /// reachable, the cluster must not be overloaded, and some time must have passed since the
    /// failover and since this node was last suspended.
    fn new_moves(&self, now: Millis) -> NewMoves {
        let is_delay_over = now
            >= self.term_started_at.saturating_add(self.policy.balance.moves_delay_ms)
            && self.failure_detector.has_listened_for(now, self.policy.probe_after_ms());
        let may_begin = is_delay_over
            && self.all_reconciled()
            && self.failure_detector.all_zones_reachable()
            && !self.is_overloaded(now);
        if may_begin {
            NewMoves::Allowed
        } else {
            NewMoves::Suspended
        }
    }

    /// Whether jobs that have lacked capacity for some time demand more than [`OVERLOAD_SHARE`] of
    /// the CPUs that are up. A move takes capacity twice while its task saves a checkpoint, and
    /// waiting jobs make better use of it.
    fn is_overloaded(&self, now: Millis) -> bool {
        let is_unschedulable = |job: &&Job| {
            job.unschedulable_since
                .is_some_and(|at| now >= at.saturating_add(self.policy.reserve_after_ms))
        };
        let cpus = |job: &Job| job.spec.demand.cpus * f64::from(job.schedulable_tasks());
        let waiting: f64 = self.jobs.values().filter(is_unschedulable).map(cpus).sum();
        let up_types = self
            .inventory
            .iter()
            .filter(|machine| machine.is_up())
            .filter_map(|machine| self.inventory.type_named(&machine.machine_type));
        waiting > OVERLOAD_SHARE * up_types.map(|machine_type| machine_type.cpus).sum::<f64>()
    }
}
