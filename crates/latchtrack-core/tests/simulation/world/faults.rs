//! Faults: those at set times, and what is under way of them.

use latchtrack_core::job::JobId;
use rand::Rng;

use super::state::{Worker, WriteLimits};
use super::{World, ZONES};

/// Machines that hang at most when their jobs are cancelled.
const MAX_HANGING: usize = 8;

/// A fault at a set time. Times are in ms, shares are probabilities for each machine or message.
#[derive(Clone, Copy, Debug)]
pub enum PlannedFault {
    CrashAllNodes,
    /// Restarts the leader of the time as often as there are nodes, so many ms apart.
    RollingRestart(u64),
    /// The state service answers nothing for this time.
    StateServiceOutage(u64),
    /// The leader executes nothing for this time; the others miss it.
    PauseLeader(u64),
    /// The same for a node that does not lead.
    PauseFollower(u64),
    /// The zone of the leader is cut off from everything for this time.
    PartitionLeaderZone(u64),
    /// The same for another zone.
    PartitionOtherZone(u64),
    /// This share of the machines hangs for this time.
    HangMachines(f64, u64),
    /// A guest submits all that it has.
    SubmitBestEffortJobs,
    /// So many nodes, the leader first, end and do not come back for this time.
    CrashNodes(usize, u64),
    /// For this time (last), boots take so many times as long, and this share of them never ends.
    SlowBoots(f64, f64, u64),
    /// So many jobs are submitted that fail on every machine.
    SubmitBrokenJobs(usize),
    /// This share of the machines fails every task from now on.
    FailTasksOnMachines(f64),
    /// The state service refuses all nodes for this time.
    StateServiceRefusesAll(u64),
    /// So many jobs of one small task of the limited team at once; a quarter is cancelled at once.
    SubmitLimitedBurst(usize),
    /// The state service refuses the leader alone, which keeps hearing its workers, for this time.
    StateServiceRefusesLeader(u64),
    /// Of this share of the machines heartbeats arrive, but responses and commands don't.
    LoseInbound(f64, u64),
    /// This share of the machines reaches no node; direct calls reach them.
    LoseOutbound(f64, u64),
    /// This share of the machines is cut off; what they send is held back or lost.
    PartitionMachines(f64, u64),
    /// Users cancel so many running jobs; some of their machines hang for this time.
    CancelRunning(usize, u64),
    /// For this time, this share of the jobs that end is cancelled as their last task ends.
    CancelAtCompletion(f64, u64),
    /// For this time, this share of the leader's writes gets no response and commits 2 to 12 s
    /// late.
    LateWrites(f64, u64),
    /// The same, but they commit at once: only the response is lost.
    LostWriteResponses(f64, u64),
    /// For this time, of this share of the heartbeats a copy is withheld, and reaches every node as
    /// soon as a new leader begins.
    ReplayToNextLeader(f64, u64),
    /// For this time, four jobs of one task come a second; a quarter of them is cancelled.
    SmallJobStream(u64),
    /// Leaders from now on keep to so many bytes of a value and so many changes of a transaction.
    LeaderWriteLimits(usize, usize),
    /// The state service takes no more than that from now on.
    StoreWriteLimits(usize, usize),
    /// This share of the machines of a zone dies, where jobs of one zone are at work.
    LoseZoneMachines(f64),
}

/// A share of events that a fault applies to, until a time.
#[derive(Clone, Copy, Default)]
pub(super) struct ShareUntil {
    pub share: f64,
    pub until: u64,
}

/// A zone that is cut off from everything else, until a time.
#[derive(Clone, Copy)]
pub(super) struct ZonePartition {
    pub zone: &'static str,
    pub until: u64,
}

/// How machines boot, until a time.
#[derive(Clone, Copy, Default)]
pub(super) struct BootFault {
    /// Times the usual boot.
    pub slowdown: f64,
    /// Share of the boots that never end.
    pub stuck_share: f64,
    pub until: u64,
}

/// The faults under way that belong to no single node or machine.
#[derive(Clone, Copy, Default)]
pub(super) struct ActiveFaults {
    pub store_down_until: u64,
    pub cloud_down_until: u64,
    pub zone_partition: Option<ZonePartition>,
    pub boots: BootFault,
    pub late_writes: ShareUntil,
    pub lost_write_responses: ShareUntil,
    /// Heartbeats of which a copy is withheld for the next leader.
    pub withheld_heartbeats: ShareUntil,
    /// Ending jobs that are cancelled.
    pub cancelled_at_completion: ShareUntil,
    pub small_jobs_until: u64,
}

impl World {
    /// Begins the planned faults that are due.
    pub(super) fn begin_planned_faults(&mut self) {
        let due: Vec<PlannedFault> =
            self.plan.iter().filter(|(at, _)| *at <= self.now).map(|(_, fault)| *fault).collect();
        self.plan.retain(|(at, _)| *at > self.now);
        let leader = self.leader.map_or(0, |leader| leader.node);
        for fault in due {
            self.begin_fault(fault, leader);
        }
    }

    fn begin_fault(&mut self, fault: PlannedFault, leader: usize) {
        use PlannedFault as Fault;
        let (now, nodes) = (self.now, self.size.nodes);
        let share_until = |share, ms| ShareUntil { share, until: now + ms };
        let zone_partition =
            |n, ms| Some(ZonePartition { zone: World::zone_of(n), until: now + ms });
        let limits = |value_bytes, changes| WriteLimits { value_bytes, changes };
        let active = &mut self.faults;
        match fault {
            Fault::CrashAllNodes => (0..nodes).for_each(|n| self.crash(n)),
            Fault::RollingRestart(interval_ms) => self.begin_rolling_restart(leader, interval_ms),
            Fault::StateServiceOutage(ms) => active.store_down_until = now + ms,
            Fault::PauseLeader(ms) => self.nodes[leader].paused_until = now + ms,
            Fault::PauseFollower(ms) => self.nodes[(leader + 1) % nodes].paused_until = now + ms,
            Fault::PartitionLeaderZone(ms) => active.zone_partition = zone_partition(leader, ms),
            Fault::PartitionOtherZone(ms) => active.zone_partition = zone_partition(leader + 1, ms),
            Fault::SubmitBestEffortJobs => self.submit_best_effort_jobs(),
            Fault::CrashNodes(count, ms) => self.crash_nodes(leader, count, ms),
            Fault::SlowBoots(slowdown, stuck_share, ms) => {
                active.boots = BootFault { slowdown, stuck_share, until: now + ms };
            }
            Fault::SubmitBrokenJobs(count) => (0..count).for_each(|_| self.submit_random_job(1.0)),
            Fault::FailTasksOnMachines(share) => self.on_machines(share, |w| w.fails_tasks = true),
            Fault::HangMachines(share, ms) => self.on_machines(share, |w| w.hung_until = now + ms),
            Fault::StateServiceRefusesAll(ms) => {
                self.nodes.iter_mut().for_each(|node| node.refused_until = now + ms);
            }
            Fault::SubmitLimitedBurst(count) => self.submit_limited_burst(count),
            Fault::StateServiceRefusesLeader(ms) => self.nodes[leader].refused_until = now + ms,
            Fault::LoseInbound(share, ms) => {
                self.on_machines(share, |w| w.inbound_lost_until = now + ms);
            }
            Fault::LoseOutbound(share, ms) => {
                self.on_machines(share, |w| w.outbound_lost_until = now + ms);
            }
            Fault::PartitionMachines(share, ms) => {
                self.on_machines(share, |w| w.partitioned_until = now + ms);
            }
            Fault::CancelRunning(count, hang_ms) => self.cancel_running(count, hang_ms),
            Fault::CancelAtCompletion(share, ms) => {
                active.cancelled_at_completion = share_until(share, ms);
            }
            Fault::LateWrites(share, ms) => active.late_writes = share_until(share, ms),
            Fault::LostWriteResponses(share, ms) => {
                active.lost_write_responses = share_until(share, ms);
            }
            Fault::ReplayToNextLeader(share, ms) => {
                active.withheld_heartbeats = share_until(share, ms);
            }
            Fault::LeaderWriteLimits(bytes, changes) => {
                self.leader_write_limits = limits(bytes, changes);
            }
            Fault::StoreWriteLimits(bytes, changes) => {
                self.store_write_limits = limits(bytes, changes);
            }
            Fault::SmallJobStream(ms) => active.small_jobs_until = now + ms,
            Fault::LoseZoneMachines(share) => self.lose_zone_machines(share),
        }
    }

    /// Restarts the leader of now, and the leader of each later time.
    fn begin_rolling_restart(&mut self, leader: usize, interval_ms: u64) {
        self.crash(leader);
        if interval_ms > 0 {
            let now = self.now;
            let more = (1..self.size.nodes as u64)
                .map(|i| (now + i * interval_ms, PlannedFault::RollingRestart(0)));
            self.plan.extend(more);
        }
    }

    fn crash_nodes(&mut self, first: usize, count: usize, ms: u64) {
        for i in 0..count {
            let n = (first + i) % self.size.nodes;
            self.crash(n);
            self.nodes[n].restarts_at = self.now + ms;
        }
    }

    fn lose_zone_machines(&mut self, share: f64) {
        let bound = self
            .workers
            .values()
            .find(|worker| worker.tasks.keys().any(|(task, _)| self.jobs[&task.job].spec.one_zone));
        let zone = bound.map_or(ZONES[0], |worker| worker.zone);
        self.on_machines(share, |worker| {
            if worker.zone == zone {
                worker.die();
            }
        });
    }

    /// Does something to a share of the machines.
    fn on_machines(&mut self, share: f64, change: impl Fn(&mut Worker)) {
        for worker in self.workers.values_mut() {
            if self.rng.random_bool(share) {
                change(worker);
            }
        }
    }

    /// Users cancel jobs of which tasks run, of the limited team first, and machines of theirs
    /// hang.
    fn cancel_running(&mut self, count: usize, hang_ms: u64) {
        if self.now < self.faults.store_down_until {
            return;
        }
        let mut running: Vec<JobId> = self
            .workers
            .values()
            .flat_map(|worker| worker.tasks.keys().map(|(task, _)| task.job))
            .collect();
        running.sort_by_key(|id| (self.jobs[id].spec.team != "limited", *id));
        running.dedup();
        running.retain(|id| self.jobs[id].is_open());
        running.truncate(count);
        let mut hanging = MAX_HANGING;
        for id in running {
            self.cancel(id);
            self.record_occurrence("cancelled while running");
            let until = self.now + hang_ms;
            let runs_it =
                |worker: &&mut Worker| worker.tasks.keys().any(|(task, _)| task.job == id);
            for worker in self.workers.values_mut().filter(runs_it).take(hanging) {
                worker.hung_until = worker.hung_until.max(until);
                hanging -= 1;
            }
        }
    }

    /// Draws whether a fault applies to an event now.
    pub(super) fn applies(&mut self, fault: ShareUntil) -> bool {
        self.now < fault.until && self.chance(fault.share)
    }
}
