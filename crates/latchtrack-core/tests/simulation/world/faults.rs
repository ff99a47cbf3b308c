//! Troubles at set times.

use super::*;

/// A trouble at a set time.
#[derive(Clone, Copy, Debug)]
pub enum Planned {
    CrashAll,
    /// One after the other, so many ms apart.
    Roll(u64),
    StoreDown(u64),
    /// The leader stands still; the others see it as gone.
    FreezeLeader(u64),
    FreezeFollower(u64),
    /// A zone is cut off from everything; with the leader in it or without.
    CutLeaders(u64),
    CutOther(u64),
    /// A part of the machines hangs.
    Hang(f64, u64),
    /// A guest submits all that it has.
    Guests,
    /// So many nodes, the leader first, end and do not come back for so many ms.
    NodesDown(usize, u64),
    /// For so many ms boots take so many times as long, and so many of them never end.
    BootTracker(f64, f64, u64),
    /// So many jobs that fail on every machine.
    Mistakes(usize),
    /// A part of the machines fails every task.
    Sick(f64),
    /// The state service refuses all nodes.
    RefuseAll(u64),
    /// So many jobs of one small task of the limited team at once; a quarter of them is cancelled at once.
    LimitedBurst(usize),
    /// The state service refuses the leader alone, which keeps hearing its workers.
    RefuseLeader(u64),
    /// Of a part of the machines reports arrive, answers and commands don't.
    Deaf(f64, u64),
    /// A part of the machines reaches no node; direct commands reach them.
    Mute(f64, u64),
    /// A part of the machines is cut off; what they send is held back or lost.
    Cut(f64, u64),
    /// Users cancel so many jobs that run; up to eight of their machines hang for so many ms.
    CancelNow(usize, u64),
    /// For so many ms a part of the jobs that end is cancelled at the end of their last task.
    CancelAtEnd(f64, u64),
    /// For so many ms a part of the leader's writes gets no answer and is carried out 2 to 12 s late.
    LateWrites(f64, u64),
    /// The same, but they are carried out at once: only the answer is lost.
    LostAnswers(f64, u64),
    /// For so many ms of a part of the reports a copy is kept, and reaches every node as soon as a
    /// new leader begins.
    CopiesForNext(f64, u64),
    /// For so many ms four jobs of one task come a second; a quarter of them is cancelled.
    Swarm(u64),
    /// Leaders from now on keep to so many bytes of a value and so many changes of a transaction.
    KeepTo(usize, usize),
    /// The state service takes no more than that from now on.
    Lower(usize, usize),
    /// A part of the machines of a zone dies, where jobs of one zone are at work.
    LoseZone(f64),
}

impl World {
    pub(super) fn begin_planned(&mut self) {
        let due: Vec<Planned> =
            self.plan.iter().filter(|(at, _)| *at <= self.now).map(|(_, p)| *p).collect();
        self.plan.retain(|(at, _)| *at > self.now);
        let (now, nodes) = (self.now, self.size.nodes);
        let leader = self.leader.map_or(0, |(n, ..)| n);
        for trouble in due {
            match trouble {
                Planned::CrashAll => (0..nodes).for_each(|n| self.crash(n)),
                Planned::Roll(gap) => {
                    self.crash(leader);
                    // The leader of the time, as often as there are nodes.
                    if gap > 0 {
                        let more = (1..nodes as u64).map(|i| (now + i * gap, Planned::Roll(0)));
                        self.plan.extend(more);
                    }
                }
                Planned::StoreDown(ms) => self.store_down_until = now + ms,
                Planned::FreezeLeader(ms) => self.nodes[leader].paused_until = now + ms,
                Planned::FreezeFollower(ms) => {
                    self.nodes[(leader + 1) % nodes].paused_until = now + ms;
                }
                Planned::CutLeaders(ms) => self.zone_cut = Some((Self::zone_of(leader), now + ms)),
                Planned::CutOther(ms) => {
                    self.zone_cut = Some((Self::zone_of(leader + 1), now + ms));
                }
                Planned::Guests => self.guests(),
                Planned::NodesDown(many, ms) => {
                    for i in 0..many {
                        let n = (leader + i) % nodes;
                        self.crash(n);
                        self.nodes[n].back_at = now + ms;
                    }
                }
                Planned::BootTracker(times, never, ms) => self.boots = (times, never, now + ms),
                Planned::Mistakes(many) => (0..many).for_each(|_| self.submit_with(1.0)),
                Planned::Sick(share) => self.some(share, |w| w.sick = true),
                Planned::Hang(share, ms) => self.some(share, |w| w.hang_until = now + ms),
                Planned::RefuseAll(ms) => {
                    for node in &mut self.nodes {
                        node.refused_until = now + ms;
                    }
                }
                Planned::LimitedBurst(many) => self.limited_burst(many),
                Planned::RefuseLeader(ms) => self.nodes[leader].refused_until = now + ms,
                Planned::Deaf(share, ms) => self.some(share, |w| w.deaf_until = now + ms),
                Planned::Mute(share, ms) => self.some(share, |w| w.mute_until = now + ms),
                Planned::Cut(share, ms) => self.some(share, |w| w.cut_until = now + ms),
                Planned::CancelNow(most, hang) => self.cancel_running(most, hang),
                Planned::CancelAtEnd(share, ms) => self.cancels_at_end = (share, now + ms),
                Planned::LateWrites(share, ms) => self.late_writes = (share, now + ms),
                Planned::LostAnswers(share, ms) => self.lost_answers = (share, now + ms),
                Planned::CopiesForNext(share, ms) => self.copies_kept = (share, now + ms),
                Planned::KeepTo(bytes, changes) => self.kept_to = (bytes, changes),
                Planned::Lower(bytes, changes) => self.taken = (bytes, changes),
                Planned::Swarm(ms) => self.swarm_until = now + ms,
                Planned::LoseZone(share) => {
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
        running.retain(|id| matches!(self.jobs[id].state, State::Open { .. }));
        running.truncate(most);
        let mut hang = 8;
        for id in running {
            self.cancel(id);
            self.meets("cancelled while running");
            let until = self.now + hang_ms;
            let theirs = |w: &&mut Worker| w.tasks.keys().any(|(t, _)| t.job == id);
            for w in self.workers.values_mut().filter(theirs).take(hang) {
                w.hang_until = w.hang_until.max(until);
                hang -= 1;
            }
        }
    }
}
