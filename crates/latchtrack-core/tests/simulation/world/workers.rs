//! The workers, and the referee of what starts on them.

use super::*;

impl World {
    pub(super) fn report(&self, name: &str) -> Option<Heartbeat> {
        let w = self.workers.get(name)?;
        Some(Heartbeat {
            machine: name.into(),
            addr: name.into(),
            kind: w.machine_type.into(),
            zone: w.zone.into(),
            spot: w.spot,
            agent_epoch: w.agent_epoch,
            sequence: w.sequence,
            token: w.token,
            notice_s: None,
            tasks: w
                .tasks
                .iter()
                .map(|((task, attempt), t)| TaskStatus {
                    task: *task,
                    attempt: *attempt,
                    phase: t.phase,
                })
                .collect(),
        })
    }

    pub(super) fn step_workers(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        let up = |w: &&Worker| w.alive && w.up_at <= self.now;
        self.most_up = self.most_up.max(self.workers.values().filter(up).count());
        for name in names {
            let now = self.now;
            let Some(w) = self.workers.get_mut(&name) else { continue };
            if !w.alive || now < w.up_at || (now < w.hung_until && w.agent_epoch == 0) {
                continue;
            }
            if w.agent_epoch == 0 {
                w.agent_epoch = 1;
                w.lease_from = now;
            }
            // A steady clock that is slow: the worst case.
            if now > w.lease_from + WORKER_LEASE_MS + WORKER_LEASE_MS / 2_000 {
                w.agent_epoch += 1;
                w.tasks.clear();
                w.lease_from = now;
                w.heartbeat_in_flight = None;
            }
            // One that hangs may go on within its lease; later it begins the next session first.
            if now < w.hung_until {
                continue;
            }
            self.run_tasks(&name);
            let Some(w) = self.workers.get_mut(&name) else { continue };
            if w.heartbeat_in_flight.is_some_and(|(sent, _)| now > sent + 4_000) {
                w.heartbeat_in_flight = None;
                w.node = (w.node + 1) % self.size.nodes;
                w.next_report = now + 1_000;
            }
            if w.heartbeat_in_flight.is_none()
                && now >= w.next_report
                && now < w.outbound_lost_until
            {
                w.node = (w.node + 1) % self.size.nodes;
                w.next_report = now + 1_000;
                self.record("mute");
                continue;
            }
            if w.heartbeat_in_flight.is_none() && now >= w.next_report {
                w.sequence += 1;
                self.next_id += 1;
                let id = self.next_id;
                w.heartbeat_in_flight = Some((now, id));
                w.next_report = now + self.size.heartbeat_interval_ms;
                let (node, cut) = (w.node, now < w.partitioned_until);
                let Some(report) = self.report(&name) else { continue };
                let held = if cut { 1.0 } else { 0.01 };
                let delay = match self.apart(&name, node) {
                    // Held back to the end of the cut.
                    Some(until) => until - now + self.rng.random_range(1..500),
                    None => self.delay(held),
                };
                if self.now < self.size.fault_period_ms
                    && self.chance(self.size.duplicate_probability)
                {
                    // A copy that comes late, to whichever node, up to well over a lease.
                    let delay = self.rng.random_range(2_000..3 * WORKER_LEASE_MS);
                    let (worker, report) = (name.clone(), report.clone());
                    let node = self.rng.random_range(0..self.size.nodes);
                    self.post(delay, Message::Heartbeat { node, worker, report, id: 0, sent: now });
                }
                if now < self.withheld_share.1 && self.rng.random_bool(self.withheld_share.0) {
                    self.withheld_heartbeats.push((name.clone(), report.clone()));
                }
                if !(cut && self.chance(0.5)) {
                    let msg = Message::Heartbeat { node, worker: name, report, id, sent: now };
                    self.post(delay, msg);
                }
            }
        }
    }

    pub(super) fn run_tasks(&mut self, name: &str) {
        let now = self.now;
        let Some(w) = self.workers.get(name) else { return };
        let due: Vec<(TaskId, u64)> =
            w.tasks.iter().filter(|(_, t)| t.until <= now).map(|(k, _)| *k).collect();
        for key in due {
            let Some(w) = self.workers.get(name) else { return };
            let phase = w.tasks[&key].phase;
            let most = if self.rng.random_bool(0.15) { 45_000 } else { 15_000 };
            let run = self.rng.random_range(1_500..most);
            let always_fails = self.jobs.get(&key.0.job).is_some_and(|j| j.always_fails);
            let next = match phase {
                TaskPhase::Fetching if w.completed_here.contains(&key.0) => {
                    (TaskPhase::Ended(ExitCause::Done), u64::MAX)
                }
                TaskPhase::Fetching => {
                    self.check_start(name, key.0);
                    match self.is_gang(key.0.job) {
                        true => {
                            self.check_attempt(name, key);
                            (TaskPhase::Waiting, now + gangs::GANG_WAIT_MS)
                        }
                        false => (TaskPhase::Running, now + run),
                    }
                }
                TaskPhase::Waiting => {
                    self.record("gang incomplete");
                    (TaskPhase::Ended(ExitCause::GangIncomplete), u64::MAX)
                }
                // Ends with its gang.
                TaskPhase::Running if self.is_gang(key.0.job) => continue,
                TaskPhase::Running if w.fails_tasks || always_fails => {
                    self.failures += 1;
                    (TaskPhase::Ended(ExitCause::Failed), u64::MAX)
                }
                TaskPhase::Running => {
                    self.completed.insert(key.0);
                    if let Some(w) = self.workers.get_mut(name) {
                        w.completed_here.insert(key.0);
                    }
                    self.cancel_at_end(key.0.job);
                    (TaskPhase::Ended(ExitCause::Done), u64::MAX)
                }
                TaskPhase::Checkpointing => (TaskPhase::Ended(ExitCause::Stopped), u64::MAX),
                _ => continue,
            };
            if let Some(t) = self.workers.get_mut(name).and_then(|w| w.tasks.get_mut(&key)) {
                (t.phase, t.until) = next;
            }
            // A change is reported soon.
            if let Some(w) = self.workers.get_mut(name) {
                w.next_report = w.next_report.min(now + 500);
            }
        }
    }

    /// Some users cancel at the very moment at which the last task ends.
    pub(super) fn cancel_at_end(&mut self, id: JobId) {
        let (share, until) = self.cancelled_at_completion;
        if self.now >= until || self.now < self.store_down_until {
            return;
        }
        let Some(j) = self.jobs.get(&id) else { return };
        let done = |index| self.completed.contains(&TaskId { job: id, index });
        let open = matches!(j.state, JobState::Open { .. });
        if open && (0..j.spec.tasks).all(done) && self.rng.random_bool(share) {
            self.cancel(id);
            self.record("cancelled at its end");
        }
    }

    pub(super) fn execute(&mut self, name: &str, commands: &[Command]) {
        let now = self.now;
        for c in commands {
            let fetch = self.rng.random_range(0..2_000);
            let Some(w) = self.workers.get_mut(name) else { return };
            match *c {
                Command::Launch { task, attempt } => {
                    if w.tasks.contains_key(&(task, attempt)) {
                        continue;
                    }
                    let busy = w
                        .tasks
                        .iter()
                        .any(|((t, _), s)| *t == task && !matches!(s.phase, TaskPhase::Ended(_)));
                    let room =
                        types().iter().find(|t| t.name == w.machine_type).map_or(0.0, |t| t.cpus)
                            - w.tasks
                                .iter()
                                .filter(|(_, s)| !matches!(s.phase, TaskPhase::Ended(_)))
                                .map(|((t, _), _)| self.jobs[&t.job].spec.demand.cpus)
                                .sum::<f64>();
                    let phase = if busy {
                        TaskPhase::Ended(ExitCause::DuplicateTask)
                    } else if room + 1e-6 < self.jobs[&task.job].spec.demand.cpus {
                        TaskPhase::Ended(ExitCause::InsufficientResources)
                    } else {
                        TaskPhase::Fetching
                    };
                    w.tasks.insert((task, attempt), WorkerTask { phase, until: now + fetch });
                }
                Command::Stop { task, attempt, grace_s } => {
                    let spec = self.jobs.get(&task.job).map(|j| j.spec.clone());
                    let Some(t) = w.tasks.get_mut(&(task, attempt)) else { continue };
                    let saves = spec.is_some_and(|s| s.checkpoint_s > 0.0 && grace_s >= s.save_s);
                    match t.phase {
                        TaskPhase::Running if saves => {
                            t.phase = TaskPhase::Checkpointing;
                            t.until = now + 1_000;
                        }
                        TaskPhase::Ended(_) => {}
                        TaskPhase::Checkpointing if grace_s > 0.0 => {}
                        _ => t.phase = TaskPhase::Ended(ExitCause::Stopped),
                    }
                }
                Command::Forget { task, attempt } => {
                    if w.tasks
                        .get(&(task, attempt))
                        .is_some_and(|t| matches!(t.phase, TaskPhase::Ended(_)))
                    {
                        w.tasks.remove(&(task, attempt));
                    }
                }
            }
            w.next_report = w.next_report.min(now + 500);
        }
    }
}
