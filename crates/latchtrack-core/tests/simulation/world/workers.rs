//! The workers: leases, heartbeats and tasks.

use latchtrack_core::job::TaskId;
use latchtrack_core::machine::{Command, ExitCause, Heartbeat, TaskPhase, TaskStatus};
use rand::Rng;

use super::gangs::GANG_WAIT_MS;
use super::messages::{Message, SentHeartbeat, EARLY_HEARTBEAT_MS, HEARTBEAT_TIMEOUT_MS};
use super::state::{AttemptKey, PendingHeartbeat, Worker, WorkerTask};
use super::{machine_types, World, CPU_TOLERANCE, WORKER_LEASE_MS};

/// A slow worker clock loses 1 ms in this many.
const CLOCK_DRIFT_DIVISOR: u64 = 2_000;
/// Time until a worker whose heartbeat failed sends one to the next node, ms.
const NEXT_NODE_DELAY_MS: u64 = 1_000;
/// Time that writing a checkpoint takes, ms.
const CHECKPOINT_MS: u64 = 1_000;
/// The end of a phase that does not end by itself.
const NEVER: u64 = u64::MAX;

/// The next phase of a task, and when it ends.
type NextPhase = (TaskPhase, u64);

fn ended(cause: ExitCause) -> NextPhase {
    (TaskPhase::Ended(cause), NEVER)
}

impl World {
    /// A heartbeat with the current status of a worker, or `None` if the machine is gone.
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

    /// Advances the lease, tasks and heartbeat of every worker.
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

    /// Starts the agent of a machine that has booted, and begins a new agent epoch if its lease has
    /// expired. Returns whether the worker executes anything now.
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
        // The worst case: a monotonic clock that is slow.
        if now > worker.lease_from + WORKER_LEASE_MS + WORKER_LEASE_MS / CLOCK_DRIFT_DIVISOR {
            worker.agent_epoch += 1;
            worker.tasks.clear();
            worker.lease_from = now;
            worker.pending_heartbeat = None;
        }
        // A worker that resumes within its lease keeps its tasks; later it has begun a new epoch.
        !is_hung
    }

    /// Sends a worker's heartbeat if it is due. Switches to the next node if the last one failed.
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

    /// Sends a worker's heartbeat, which may be delayed, lost or duplicated.
    fn send_heartbeat(&mut self, name: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.sequence += 1;
        self.next_id += 1;
        let id = self.next_id;
        worker.pending_heartbeat = Some(PendingHeartbeat { sent_at: now, id });
        worker.next_heartbeat = now + self.size.heartbeat_interval_ms;
        let (node, is_cut_off) = (worker.node, now < worker.partitioned_until);
        let is_disconnected = now < worker.disconnected_until;
        let Some(heartbeat) = self.heartbeat_of(name) else { return };
        let delay = match self.partition_between(name, node) {
            // Delayed until the partition ends.
            Some(until) => until - now + self.rng.random_range(1..500),
            None => self.delay(if is_cut_off { 1.0 } else { 0.01 }),
        };
        let worker = name.to_string();
        if self.has_random_faults() && self.chance(self.size.duplicate_probability) {
            // A duplicate reaches a random node up to three worker leases later.
            let delay = self.rng.random_range(2_000..3 * WORKER_LEASE_MS);
            let (worker, heartbeat) = (worker.clone(), heartbeat.clone());
            let node = self.rng.random_range(0..self.size.nodes);
            let copy = SentHeartbeat { node, worker, heartbeat, id: 0, sent_at: now };
            self.post(delay, Message::Heartbeat(copy));
        }
        if self.applies(self.faults.withheld_heartbeats) {
            self.withheld_heartbeats.push((worker.clone(), heartbeat.clone()));
        }
        let is_lost = is_disconnected || (is_cut_off && self.chance(0.5));
        if !is_lost {
            let sent = SentHeartbeat { node, worker, heartbeat, id, sent_at: now };
            self.post(delay, Message::Heartbeat(sent));
        }
    }

    /// Advances the tasks of a worker whose phase has ended.
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

    /// The phase that follows the ended phase of a task, or `None` if the phase continues.
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
            // Ends together with its gang.
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

    /// Marks a task as completed, in the world and on the worker.
    pub(super) fn complete(&mut self, name: &str, task: TaskId) {
        self.completed.insert(task);
        if let Some(worker) = self.workers.get_mut(name) {
            worker.completed_here.insert(task);
        }
    }

    /// Executes commands on a worker, which reports changes with an early heartbeat.
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

    /// Launches an attempt. Returns false if the worker already has it.
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

    /// Stops an attempt, which first writes a checkpoint if it can. Returns false if the worker
    /// does not have it.
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

    /// CPUs of a worker that are not taken by live tasks.
    pub(super) fn free_cpus(&self, worker: &Worker) -> f64 {
        let in_use = worker.cpus_in_use(|task| self.jobs[&task.job].spec.demand.cpus);
        cpus_of_type(worker.machine_type) - in_use
    }
}

/// CPUs of a machine of this type; 0 for an unknown type.
fn cpus_of_type(name: &str) -> f64 {
    let types = machine_types();
    types.iter().find(|machine_type| machine_type.name == name).map_or(0.0, |t| t.cpus)
}
