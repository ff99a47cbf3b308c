//! The workers: their leases, heartbeats and tasks.

use latchtrack_core::job::TaskId;
use latchtrack_core::machine::{Command, ExitCause, Heartbeat, TaskPhase, TaskStatus};
use rand::Rng;

use super::gangs::GANG_WAIT_MS;
use super::messages::{Message, SentHeartbeat, EARLY_HEARTBEAT_MS, HEARTBEAT_TIMEOUT_MS};
use super::state::{AttemptKey, PendingHeartbeat, Worker, WorkerTask};
use super::{machine_types, World, CPU_TOLERANCE, WORKER_LEASE_MS};

/// Of this many ms of its lease, a slow clock of a worker misses one.
const CLOCK_DRIFT_DIVISOR: u64 = 2_000;
/// ms until a worker that got no response heartbeats to the next node.
const NEXT_NODE_DELAY_MS: u64 = 1_000;
/// ms that a checkpoint takes.
const CHECKPOINT_MS: u64 = 1_000;
/// A phase that ends by no time of its own.
const NEVER: u64 = u64::MAX;

/// The phase that follows, and when it ends.
type NextPhase = (TaskPhase, u64);

fn ended(cause: ExitCause) -> NextPhase {
    (TaskPhase::Ended(cause), NEVER)
}

impl World {
    /// The status of a worker, as its next heartbeat has it.
    pub(super) fn heartbeat_of(&self, name: &str) -> Option<Heartbeat> {
        let worker = self.workers.get(name)?;
        let status = |((task, attempt), state): (&AttemptKey, &WorkerTask)| TaskStatus {
            task: *task,
            attempt: *attempt,
            phase: state.phase,
        };
        Some(Heartbeat {
            machine: name.into(),
            addr: name.into(),
            machine_type: worker.machine_type.into(),
            zone: worker.zone.into(),
            spot: worker.spot,
            agent_epoch: worker.agent_epoch,
            sequence: worker.sequence,
            token: worker.token,
            notice_s: None,
            tasks: worker.tasks.iter().map(status).collect(),
        })
    }

    /// Lets every worker do what is due.
    pub(super) fn step_workers(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        let is_up = |worker: &&Worker| worker.alive && worker.up_at <= self.now;
        let up = self.workers.values().filter(is_up).count();
        self.stats.max_machines_up = self.stats.max_machines_up.max(up);
        for name in names {
            if self.step_lease(&name) {
                self.run_tasks(&name);
                self.step_heartbeat(&name);
            }
        }
    }

    /// Starts the agent of a machine that is up, and ends its lease in time. Returns whether it
    /// executes anything now.
    fn step_lease(&mut self, name: &str) -> bool {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else { return false };
        let is_hung = now < worker.hung_until;
        if !worker.alive || now < worker.up_at || (is_hung && worker.agent_epoch == 0) {
            return false;
        }
        if worker.agent_epoch == 0 {
            (worker.agent_epoch, worker.lease_from) = (1, now);
        }
        // A steady clock that is slow: the worst case.
        if now > worker.lease_from + WORKER_LEASE_MS + WORKER_LEASE_MS / CLOCK_DRIFT_DIVISOR {
            worker.agent_epoch += 1;
            worker.tasks.clear();
            worker.lease_from = now;
            worker.pending_heartbeat = None;
        }
        // One that hangs may go on within its lease; later it begins the next epoch first.
        !is_hung
    }

    /// Sends a worker's heartbeat if it is due, or turns to the next node.
    fn step_heartbeat(&mut self, name: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else { return };
        let next_node = (worker.node + 1) % self.size.nodes;
        if worker.pending_heartbeat.is_some_and(|sent| now > sent.sent_at + HEARTBEAT_TIMEOUT_MS) {
            worker.pending_heartbeat = None;
            worker.node = next_node;
            worker.next_heartbeat = now + NEXT_NODE_DELAY_MS;
        }
        if worker.pending_heartbeat.is_some() || now < worker.next_heartbeat {
            return;
        }
        if now < worker.outbound_lost_until {
            worker.node = (worker.node + 1) % self.size.nodes;
            worker.next_heartbeat = now + NEXT_NODE_DELAY_MS;
            self.record_occurrence("heartbeat lost");
            return;
        }
        self.send_heartbeat(name);
    }

    /// Sends a worker's heartbeat, which may be held back, lost or copied on its way.
    fn send_heartbeat(&mut self, name: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.sequence += 1;
        self.next_id += 1;
        let id = self.next_id;
        worker.pending_heartbeat = Some(PendingHeartbeat { sent_at: now, id });
        worker.next_heartbeat = now + self.size.heartbeat_interval_ms;
        let (node, is_cut_off) = (worker.node, now < worker.partitioned_until);
        let Some(heartbeat) = self.heartbeat_of(name) else { return };
        let delay = match self.partition_between(name, node) {
            // Held back to the end of the partition.
            Some(until) => until - now + self.rng.random_range(1..500),
            None => self.delay(if is_cut_off { 1.0 } else { 0.01 }),
        };
        let worker = name.to_string();
        if self.has_chance_faults() && self.chance(self.size.duplicate_probability) {
            // A copy that comes late, to whichever node, up to well over a lease.
            let delay = self.rng.random_range(2_000..3 * WORKER_LEASE_MS);
            let (worker, heartbeat) = (worker.clone(), heartbeat.clone());
            let node = self.rng.random_range(0..self.size.nodes);
            let copy = SentHeartbeat { node, worker, heartbeat, id: 0, sent_at: now };
            self.post(delay, Message::Heartbeat(copy));
        }
        if self.applies(self.faults.withheld_heartbeats) {
            self.withheld_heartbeats.push((worker.clone(), heartbeat.clone()));
        }
        if !(is_cut_off && self.chance(0.5)) {
            let sent = SentHeartbeat { node, worker, heartbeat, id, sent_at: now };
            self.post(delay, Message::Heartbeat(sent));
        }
    }

    /// Ends the phases of a worker's tasks that are over.
    fn run_tasks(&mut self, name: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get(name) else { return };
        let is_due = |(_, task): &(&AttemptKey, &WorkerTask)| task.phase_ends_at <= now;
        let due: Vec<AttemptKey> =
            worker.tasks.iter().filter(is_due).map(|(key, _)| *key).collect();
        for key in due {
            let Some(next) = self.end_phase(name, key) else { continue };
            let Some(worker) = self.workers.get_mut(name) else { return };
            if let Some(task) = worker.tasks.get_mut(&key) {
                (task.phase, task.phase_ends_at) = next;
            }
            worker.heartbeat_by(now + EARLY_HEARTBEAT_MS);
        }
    }

    /// What follows the phase of a task that is over; None: it goes on.
    fn end_phase(&mut self, name: &str, key: AttemptKey) -> Option<NextPhase> {
        let (task, _) = key;
        let worker = self.workers.get(name)?;
        let phase = worker.tasks[&key].phase;
        let max_run_ms = if self.rng.random_bool(0.15) { 45_000 } else { 15_000 };
        let run_ms = self.rng.random_range(1_500..max_run_ms);
        let always_fails = self.jobs.get(&task.job).is_some_and(|job| job.always_fails);
        match phase {
            TaskPhase::Fetching if worker.completed_here.contains(&task) => {
                Some(ended(ExitCause::Done))
            }
            TaskPhase::Fetching => {
                self.check_start(name, task);
                if self.is_gang(task.job) {
                    self.check_gang_attempt(name, key);
                    return Some((TaskPhase::Waiting, self.now + GANG_WAIT_MS));
                }
                Some((TaskPhase::Running, self.now + run_ms))
            }
            TaskPhase::Waiting => {
                self.record_occurrence("gang incomplete");
                Some(ended(ExitCause::GangIncomplete))
            }
            // Ends with its gang.
            TaskPhase::Running if self.is_gang(task.job) => None,
            TaskPhase::Running if worker.fails_tasks || always_fails => {
                self.stats.failures += 1;
                Some(ended(ExitCause::Failed))
            }
            TaskPhase::Running => {
                self.complete(name, task);
                self.maybe_cancel_completed(task.job);
                Some(ended(ExitCause::Done))
            }
            TaskPhase::Checkpointing => Some(ended(ExitCause::Stopped)),
            _ => None,
        }
    }

    /// A task has completed on a worker.
    pub(super) fn complete(&mut self, name: &str, task: TaskId) {
        self.completed.insert(task);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.completed_here.insert(task);
        }
    }

    /// A worker executes commands.
    pub(super) fn execute(&mut self, name: &str, commands: &[Command]) {
        for command in commands {
            let fetch_ms = self.rng.random_range(0..2_000);
            match *command {
                Command::Launch { task, attempt } => {
                    if !self.launch(name, (task, attempt), fetch_ms) {
                        continue;
                    }
                }
                Command::Stop { task, attempt, grace_s } => {
                    if !self.stop(name, (task, attempt), grace_s) {
                        continue;
                    }
                }
                Command::Forget { task, attempt } => {
                    let Some(worker) = self.workers.get_mut(name) else { return };
                    let key = (task, attempt);
                    if worker.tasks.get(&key).is_some_and(|task| !task.is_live()) {
                        worker.tasks.remove(&key);
                    }
                }
            }
            let now = self.now;
            let Some(worker) = self.workers.get_mut(name) else { return };
            worker.heartbeat_by(now + EARLY_HEARTBEAT_MS);
        }
    }

    /// Launches an attempt; returns whether that changed anything.
    fn launch(&mut self, name: &str, key: AttemptKey, fetch_ms: u64) -> bool {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else { return false };
        if worker.tasks.contains_key(&key) {
            return false;
        }
        let cpus_of = |task: TaskId| self.jobs[&task.job].spec.demand.cpus;
        let (task, _) = key;
        let mut others = worker.tasks.iter();
        let is_duplicate = others.any(|((other, _), state)| *other == task && state.is_live());
        let free = cpus_of_type(worker.machine_type) - worker.cpus_in_use(cpus_of);
        let phase = if is_duplicate {
            TaskPhase::Ended(ExitCause::DuplicateTask)
        } else if free + CPU_TOLERANCE < cpus_of(task) {
            TaskPhase::Ended(ExitCause::InsufficientResources)
        } else {
            TaskPhase::Fetching
        };
        worker.tasks.insert(key, WorkerTask { phase, phase_ends_at: now + fetch_ms });
        true
    }

    /// Stops an attempt, which saves first if it can; returns whether it is there.
    fn stop(&mut self, name: &str, key: AttemptKey, grace_s: f64) -> bool {
        let now = self.now;
        let (task, _) = key;
        let spec = self.jobs.get(&task.job).map(|job| job.spec.clone());
        let worker = self.workers.get_mut(name);
        let Some(task) = worker.and_then(|worker| worker.tasks.get_mut(&key)) else {
            return false;
        };
        let saves = spec.is_some_and(|spec| spec.checkpoint_s > 0.0 && grace_s >= spec.save_s);
        match task.phase {
            TaskPhase::Running if saves => {
                (task.phase, task.phase_ends_at) = (TaskPhase::Checkpointing, now + CHECKPOINT_MS);
            }
            TaskPhase::Ended(_) => {}
            TaskPhase::Checkpointing if grace_s > 0.0 => {}
            _ => task.phase = TaskPhase::Ended(ExitCause::Stopped),
        }
        true
    }

    /// CPUs of a worker that no live task takes.
    pub(super) fn free_cpus(&self, worker: &Worker) -> f64 {
        let in_use = worker.cpus_in_use(|task| self.jobs[&task.job].spec.demand.cpus);
        cpus_of_type(worker.machine_type) - in_use
    }
}

/// CPUs of a machine of this type.
fn cpus_of_type(name: &str) -> f64 {
    let types = machine_types();
    types.iter().find(|machine_type| machine_type.name == name).map_or(0.0, |t| t.cpus)
}
