//! Troubles at set times.

use super::*;

/// A trouble at a set time.
#[derive(Clone, Copy, Debug)]
pub enum PlannedFault {
    CrashAllNodes,
    /// One after the other, so many ms apart.
    RollingRestart(u64),
    StateServiceOutage(u64),
    /// The leader stands still; the others see it as gone.
    PauseLeader(u64),
    PauseFollower(u64),
    /// A zone is cut off from everything; with the leader in it or without.
    PartitionLeaderZone(u64),
    PartitionOtherZone(u64),
    /// A part of the machines hangs.
    HangMachines(f64, u64),
    /// A guest submits all that it has.
    SubmitGuestJobs,
    /// So many nodes, the leader first, end and do not come back for so many ms.
    CrashNodes(usize, u64),
    /// For so many ms boots take so many times as long, and so many of them never end.
    SlowBoots(f64, f64, u64),
    /// So many jobs that fail on every machine.
    SubmitBrokenJobs(usize),
    /// A part of the machines fails every task.
    FailTasksOnMachines(f64),
    /// The state service refuses all nodes.
    StateServiceRefusesAll(u64),
    /// So many jobs of one small task of the limited team at once; a quarter of them is cancelled at once.
    SubmitLimitedBurst(usize),
    /// The state service refuses the leader alone, which keeps hearing its workers.
    StateServiceRefusesLeader(u64),
    /// Of a part of the machines reports arrive, answers and commands don't.
    LoseInbound(f64, u64),
    /// A part of the machines reaches no node; direct commands reach them.
    LoseOutbound(f64, u64),
    /// A part of the machines is cut off; what they send is held back or lost.
    PartitionMachines(f64, u64),
    /// Users cancel so many jobs that run; up to eight of their machines hang for so many ms.
    CancelRunning(usize, u64),
    /// For so many ms a part of the jobs that end is cancelled at the end of their last task.
    CancelAtCompletion(f64, u64),
    /// For so many ms a part of the leader's writes gets no answer and is carried out 2 to 12 s late.
    LateWrites(f64, u64),
    /// The same, but they are carried out at once: only the answer is lost.
    LostWriteResponses(f64, u64),
    /// For so many ms of a part of the reports a copy is kept, and reaches every node as soon as a
    /// new leader begins.
    ReplayToNextLeader(f64, u64),
    /// For so many ms four jobs of one task come a second; a quarter of them is cancelled.
    SmallJobStream(u64),
    /// Leaders from now on keep to so many bytes of a value and so many changes of a transaction.
    LeaderWriteLimits(usize, usize),
    /// The state service takes no more than that from now on.
    StoreWriteLimits(usize, usize),
    /// A part of the machines of a zone dies, where jobs of one zone are at work.
    LoseZoneMachines(f64),
}

impl World {
    pub(super) fn begin_planned_faults(&mut self) {
        let due: Vec<PlannedFault> =
            self.plan.iter().filter(|(at, _)| *at <= self.now).map(|(_, p)| *p).collect();
        self.plan.retain(|(at, _)| *at > self.now);
        let (now, nodes) = (self.now, self.size.nodes);
        let leader = self.leader.map_or(0, |(n, ..)| n);
        for trouble in due {
            match trouble {
                PlannedFault::CrashAllNodes => (0..nodes).for_each(|n| self.crash(n)),
                PlannedFault::RollingRestart(gap) => {
                    self.crash(leader);
                    // The leader of the time, as often as there are nodes.
                    if gap > 0 {
                        let more = (1..nodes as u64)
                            .map(|i| (now + i * gap, PlannedFault::RollingRestart(0)));
                        self.plan.extend(more);
                    }
                }
                PlannedFault::StateServiceOutage(ms) => self.store_down_until = now + ms,
                PlannedFault::PauseLeader(ms) => self.nodes[leader].paused_until = now + ms,
                PlannedFault::PauseFollower(ms) => {
                    self.nodes[(leader + 1) % nodes].paused_until = now + ms;
                }
                PlannedFault::PartitionLeaderZone(ms) => {
                    self.zone_partition = Some((Self::zone_of(leader), now + ms))
                }
                PlannedFault::PartitionOtherZone(ms) => {
                    self.zone_partition = Some((Self::zone_of(leader + 1), now + ms));
                }
                PlannedFault::SubmitGuestJobs => self.guests(),
                PlannedFault::CrashNodes(many, ms) => {
                    for i in 0..many {
                        let n = (leader + i) % nodes;
                        self.crash(n);
                        self.nodes[n].back_at = now + ms;
                    }
                }
                PlannedFault::SlowBoots(times, never, ms) => self.boots = (times, never, now + ms),
                PlannedFault::SubmitBrokenJobs(many) => {
                    (0..many).for_each(|_| self.submit_with(1.0))
                }
                PlannedFault::FailTasksOnMachines(share) => {
                    self.some(share, |w| w.fails_tasks = true)
                }
                PlannedFault::HangMachines(share, ms) => {
                    self.some(share, |w| w.hung_until = now + ms)
                }
                PlannedFault::StateServiceRefusesAll(ms) => {
                    for node in &mut self.nodes {
                        node.refused_until = now + ms;
                    }
                }
                PlannedFault::SubmitLimitedBurst(many) => self.limited_burst(many),
                PlannedFault::StateServiceRefusesLeader(ms) => {
                    self.nodes[leader].refused_until = now + ms
                }
                PlannedFault::LoseInbound(share, ms) => {
                    self.some(share, |w| w.inbound_lost_until = now + ms)
                }
                PlannedFault::LoseOutbound(share, ms) => {
                    self.some(share, |w| w.outbound_lost_until = now + ms)
                }
                PlannedFault::PartitionMachines(share, ms) => {
                    self.some(share, |w| w.partitioned_until = now + ms)
                }
                PlannedFault::CancelRunning(most, hang) => self.cancel_running(most, hang),
                PlannedFault::CancelAtCompletion(share, ms) => {
                    self.cancelled_at_completion = (share, now + ms)
                }
                PlannedFault::LateWrites(share, ms) => self.late_writes = (share, now + ms),
                PlannedFault::LostWriteResponses(share, ms) => {
                    self.lost_write_responses = (share, now + ms)
                }
                PlannedFault::ReplayToNextLeader(share, ms) => {
                    self.withheld_share = (share, now + ms)
                }
                PlannedFault::LeaderWriteLimits(bytes, changes) => {
                    self.leader_write_limits = (bytes, changes)
                }
                PlannedFault::StoreWriteLimits(bytes, changes) => {
                    self.store_write_limits = (bytes, changes)
                }
                PlannedFault::SmallJobStream(ms) => self.small_jobs_until = now + ms,
                PlannedFault::LoseZoneMachines(share) => {
                    let bound = self
                        .workers
                        .values()
                        .find(|w| w.tasks.keys().any(|(t, _)| self.jobs[&t.job].spec.one_zone));
                    let zone = bound.map_or(ZONES[0], |w| w.zone);
                    self.some(share, |w| {
                        if w.zone == zone {
                            w.alive = false;
                            w.tasks.clear();
                        }
                    });
                }
            }
        }
    }

    /// Does something to a part of the machines.
    pub(super) fn some(&mut self, share: f64, what: impl Fn(&mut Worker)) {
        for w in self.workers.values_mut() {
            if self.rng.random_bool(share) {
                what(w);
            }
        }
    }

    /// Users cancel jobs of which tasks run, of the limited team first, and machines of theirs hang.
    pub(super) fn cancel_running(&mut self, most: usize, hang_ms: u64) {
        if self.now < self.store_down_until {
            return;
        }
        let on = |(t, _): &(TaskId, u64)| t.job;
        let mut running: Vec<JobId> =
            self.workers.values().flat_map(|w| w.tasks.keys().map(on)).collect();
        running.sort_by_key(|id| (self.jobs[id].spec.team != "limited", *id));
        running.dedup();
        running.retain(|id| matches!(self.jobs[id].state, JobState::Open { .. }));
        running.truncate(most);
        let mut hang = 8;
        for id in running {
            self.cancel(id);
            self.record("cancelled while running");
            let until = self.now + hang_ms;
            let theirs = |w: &&mut Worker| w.tasks.keys().any(|(t, _)| t.job == id);
            for w in self.workers.values_mut().filter(theirs).take(hang) {
                w.hung_until = w.hung_until.max(until);
                hang -= 1;
            }
        }
    }
}
