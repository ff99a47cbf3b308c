//! Planned faults, and the state of the faults that are active.

use latchtrack_core::job::JobId;
use rand::Rng;

use super::state::{Worker, WriteLimits};
use super::{World, ZONES};

/// Most machines that one [`PlannedFault::CancelRunning`] lets hang.
const MAX_HANGING: usize = 8;

/// A fault that begins at a planned time. `u64` arguments are durations in ms; `f64` arguments are
/// probabilities per machine, message or job, unless stated otherwise.
#[derive(Clone, Copy, Debug)]
pub enum PlannedFault {
    /// All nodes crash, and restart after 150 ms or 2 s.
    CrashAllNodes,
    /// Crashes the current leader as many times as there are nodes, at this interval; once if 0.
    RollingRestart(u64),
    /// The state service does not respond for this time.
    StateServiceOutage(u64),
    /// The leader executes nothing for this time.
    PauseLeader(u64),
    /// The same for a node that does not lead.
    PauseFollower(u64),
    /// The zone of the leader is partitioned from everything else for this time.
    PartitionLeaderZone(u64),
    /// The same for another zone.
    PartitionOtherZone(u64),
    /// This share of the machines hangs for this time.
    HangMachines(f64, u64),
    /// A user submits large and many small best-effort jobs.
    SubmitBestEffortJobs,
    /// This many nodes, the leader first, crash and restart after this time.
    CrashNodes(usize, u64),
    /// Boots take longer by this factor, and this share of them never ends, for this time.
    SlowBoots(f64, f64, u64),
    /// Users submit this many jobs that fail on every machine.
    SubmitBrokenJobs(usize),
    /// This share of the machines fails every task from now on.
    FailTasksOnMachines(f64),
    /// The state service refuses all nodes for this time.
    StateServiceRefusesAll(u64),
    /// Users submit this many one-task jobs of the limited team, and cancel a quarter of them at
    /// once.
    SubmitLimitedBurst(usize),
    /// The state service refuses only the leader, which still receives heartbeats, for this time.
    StateServiceRefusesLeader(u64),
    /// This share of the machines sends heartbeats but receives neither responses nor direct calls.
    LoseInbound(f64, u64),
    /// Heartbeats of this share of the machines are lost, but direct calls reach them.
    LoseOutbound(f64, u64),
    /// This share of the machines is partitioned; what they send is delayed or lost.
    PartitionMachines(f64, u64),
    /// This share of the machines is disconnected for the first time, answered once by a node that
    /// it reaches, and at that moment disconnected for the second time.
    FlapMachines(f64, u64, u64),
    /// The cloud's interface does not respond for this time.
    CloudOutage(u64),
    /// Users cancel this many running jobs, and some of the machines hang for this time.
    CancelRunning(usize, u64),
    /// For this time, this share of the finishing jobs is cancelled as the last task completes.
    CancelAtCompletion(f64, u64),
    /// For this time, this share of the leader's writes commits 2 to 12 s late, without a response.
    LateWrites(f64, u64),
    /// The same, but the writes commit without delay and only the response is lost.
    LostWriteResponses(f64, u64),
    /// For this time, copies of this share of the heartbeats are withheld, and sent to every node
    /// when the next leader's term begins.
    ReplayToNextLeader(f64, u64),
    /// For this time, users submit four one-task jobs a second and cancel a quarter of them.
    SmallJobStream(u64),
    /// From now on leaders keep to this many changes per transaction, and from their next term on
    /// to this many bytes per value (the first argument).
    LeaderWriteLimits(usize, usize),
    /// From now on the state service refuses writes of more than this many bytes per value or
    /// changes per transaction.
    StoreWriteLimits(usize, usize),
    /// This share of the machines dies in a zone where a single-zone job runs.
    LoseZoneMachines(f64),
}

/// The share of events that a fault applies to until a time.
#[derive(Clone, Copy, Default)]
pub(super) struct ShareUntil {
    pub share: f64,
    pub until: u64,
}

/// A zone that is partitioned from everything else until a time.
#[derive(Clone, Copy)]
pub(super) struct ZonePartition {
    pub zone: &'static str,
    pub until: u64,
}

/// A fault of booting machines that lasts until a time.
#[derive(Clone, Copy, Default)]
pub(super) struct BootFault {
    /// Factor by which boots take longer.
    pub slowdown: f64,
    /// Probability that a boot never ends.
    pub stuck_share: f64,
    pub until: u64,
}

/// The active faults that do not belong to a single node or machine.
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
    /// Finishing jobs that are cancelled.
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
            Fault::FlapMachines(share, first, second) => self.flap_machines(share, first, second),
            Fault::CloudOutage(ms) => active.cloud_down_until = now + ms,
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

    fn flap_machines(&mut self, share: f64, first_ms: u64, second_ms: u64) {
        let until = self.now + first_ms;
        self.on_machines(share, |worker| {
            worker.disconnected_until = until;
            worker.next_disconnection_ms = Some(second_ms);
        });
    }

    /// Crashes the current leader, and plans to crash whichever node leads after each interval.
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

    /// Changes a random share of the machines.
    fn on_machines(&mut self, share: f64, change: impl Fn(&mut Worker)) {
        for worker in self.workers.values_mut() {
            if self.rng.random_bool(share) {
                change(worker);
            }
        }
    }

    /// Cancels up to `count` jobs that have tasks on machines, the limited team's first, and lets
    /// some of these machines hang.
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

    /// Draws whether an active fault applies to an event.
    pub(super) fn applies(&mut self, fault: ShareUntil) -> bool {
        self.now < fault.until && self.chance(fault.share)
    }
}
