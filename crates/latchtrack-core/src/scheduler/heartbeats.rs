//! What machines say and are told: reports, their answers, direct calls.

use std::collections::btree_map::Entry;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use super::machine_lifecycle::new_machine;
use super::messages::{CallOutcome, Effect};
use super::persistence::{result_entry_bytes, stored_machine};
use super::Scheduler;
use crate::bitmap::chunk_of;
use crate::constants::*;
use crate::job::{Assignment, Job, JobId, TaskId};
use crate::machine::{
    Command, ExitCause, Heartbeat, Machine, StopRequest, TaskPhase, TaskRun, TaskStatus,
};
use crate::Millis;

/// Machines that are owed commands, and the direct calls that are open.
#[derive(Clone, Debug, Default)]
pub(super) struct CommandDispatcher {
    /// Machines for which there may be something to send now, or at the next tick.
    pub pending: BTreeSet<String>,
    pub next_tick: BTreeSet<String>,
    /// Direct calls that are open, and whether each only asks.
    pub open_calls: HashMap<u64, bool>,
    pub open_probes: usize,
    pub last_call_id: u64,
}

impl Scheduler {
    pub(super) fn on_heartbeat(&mut self, now: Millis, r: &Heartbeat) {
        if r.token > self.token {
            self.out.push(Effect::Resign("a machine holds a higher token"));
            return;
        }
        if !self.inventory.was_terminated(&r.machine) {
            self.register(now, r);
            if self.reconcile(now, r) {
                if self.cycle_due(now) {
                    self.run_cycle(now);
                }
                self.backfill(now, &r.machine);
                let answer = self.heartbeat_response(now, &r.machine);
                self.out.push(Effect::Respond(answer));
                self.dispatch(now, Some(&r.machine));
                return;
            }
        }
        // Old news, or a machine that has yet to see our token: it hears it now, and reports again
        // at once. A late copy gets the same answer, which nobody reads.
        self.out.push(Effect::Respond(Vec::new()));
    }

    /// A report of a machine that we do not know: a rental that was executed late, or whose answer
    /// was lost. It is not in the stored set, so no leader has launched anything on it. Only with
    /// our token it is surely there: a copy from before this term may be of a machine long gone.
    fn register(&mut self, now: Millis, r: &Heartbeat) {
        if r.token < self.token || self.inventory.contains(&r.machine) {
            return;
        }
        let m = new_machine(&r.machine, &r.kind, &r.zone, r.spot, now);
        self.inventory.insert(m);
        self.out.push(Effect::Log(format!("machine {} adopted from its report", r.machine)));
    }

    /// Takes in what a machine says; false if it is old news or proves nothing.
    pub(super) fn reconcile(&mut self, now: Millis, r: &Heartbeat) -> bool {
        let Some(m) = self.inventory.get_mut(&r.machine) else { return false };
        if (r.agent_epoch, r.sequence) <= m.latest_message {
            return false;
        }
        let moved = r.agent_epoch > m.latest_message.0;
        m.latest_message = (r.agent_epoch, r.sequence);
        if r.token < self.token {
            // It may be a late copy. Where to ask is learnt from it, no more.
            if m.addr.is_none() {
                m.addr = Some(r.addr.clone());
                m.heartbeat_expected_since = Some(now);
                m.next_call_at = now + NEW_MACHINE_PROBE_DELAY_MS;
            }
            return false;
        }
        let first = m.last_heartbeat_at.is_none();
        m.last_heartbeat_at = Some(now);
        m.unanswered_calls = 0;
        let sight = self.failure_detector.zones.entry(m.zone.clone()).or_default();
        (sight.last_heartbeat_at, sight.unanswered_calls) = (Some(now), 0);
        m.addr = Some(r.addr.clone());
        m.preempt_at = r.notice_s.map(|s| now.saturating_add((s.max(0.0) * 1000.0) as Millis));
        if first {
            self.cycle_timer.request();
            self.provisioning.boots.record_boot(now, m);
            if !m.persisted {
                let size = stored_machine(m).bytes();
                self.persistence.machine_sets.put(r.machine.clone(), size, true);
            }
        }
        if moved && !m.runs.is_empty() {
            // The worker's lease ran out: it has killed and forgotten everything, and late
            // commands for the old session are void.
            let runs = std::mem::take(&mut m.runs);
            self.out.push(Effect::Log(format!(
                "machine {} lost {} runs with its lease",
                r.machine,
                runs.len()
            )));
            for run in runs.into_values() {
                self.release_run(now, &r.machine, &run);
            }
            self.cycle_timer.request();
        }
        let Some(m) = self.inventory.get_mut(&r.machine) else { return false };
        let listed: HashSet<(TaskId, u64)> = r.tasks.iter().map(|t| (t.task, t.attempt)).collect();
        let vanished: Vec<(TaskId, u64)> = m
            .runs
            .iter()
            .filter(|(k, run)| run.phase != TaskPhase::Assigned && !listed.contains(k))
            .map(|(k, _)| *k)
            .collect();
        for key in vanished {
            if let Some(run) = self.inventory.get_mut(&r.machine).and_then(|m| m.runs.remove(&key))
            {
                if run.is_live() {
                    self.release_run(now, &r.machine, &run);
                }
            }
        }
        for t in &r.tasks {
            self.reconcile_task(now, &r.machine, t);
        }
        self.update_idle_since(now, &r.machine);
        true
    }

    pub(super) fn reconcile_task(&mut self, now: Millis, machine: &str, t: &TaskStatus) {
        let key = (t.task, t.attempt);
        let kind = self.inventory.get(machine).map(|m| m.kind.clone()).unwrap_or_default();
        let cache_gb = self.inventory.type_named(&kind).map_or(0.0, |t| t.cache_gb);
        let Some(m) = self.inventory.get_mut(machine) else { return };
        let run = match m.runs.entry(key) {
            Entry::Occupied(run) => run.into_mut(),
            Entry::Vacant(free) => {
                let job = self.jobs.get_mut(&t.task.job).filter(|j| t.task.index < j.spec.tasks);
                free.insert(adopt_run(machine, t, job))
            }
        };
        if !run.is_live() || run.phase == t.phase {
            return;
        }
        run.phase = t.phase;
        if t.phase == TaskPhase::Unrecognised {
            self.out.push(Effect::Log(format!(
                "{} on machine {machine} is in a state that this version does not know",
                t.task
            )));
        }
        if t.phase == TaskPhase::Running {
            run.running_since.get_or_insert(now);
            if let Some(spec) = &run.spec {
                if !m.images.is_last_used(&spec.image) {
                    Arc::make_mut(&mut m.images).used(&spec.image, spec.image_gb, cache_gb);
                }
            }
        }
        if let TaskPhase::Ended(cause) = t.phase {
            let run = run.clone();
            self.on_run_ended(now, machine, &run, cause);
        }
    }

    pub(super) fn on_run_ended(
        &mut self,
        now: Millis,
        machine: &str,
        run: &TaskRun,
        cause: ExitCause,
    ) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        let Some(m) = self.inventory.get_mut(machine) else { return };
        match cause {
            ExitCause::Done => {
                m.failed_jobs.clear();
                m.quarantined_until = 0;
                m.proven = true;
                if job.spec.gang {
                    // Its pace is that of its slowest machine, whichever that is.
                    self.complete_gang(run.task.job, run.attempt);
                    self.restore_job(now, run.task.job);
                    if run.spec.as_ref().is_some_and(|spec| self.has_team_limit(spec)) {
                        self.cycle_timer.request();
                    }
                    return;
                }
                // Only runs seen from their start: one that an earlier leader launched has run for
                // longer than we know, and would make all its like look slow.
                let ours = self.attempt_numbers.is_of_this_term(run.attempt);
                if let Some(since) = run.running_since.filter(|_| ours) {
                    if !job.record_run_time(now.saturating_sub(since)) {
                        m.slow_votes = 0;
                    } else if !m.is_slow() {
                        m.slow_votes += 1;
                        if m.is_slow() {
                            self.out.push(Effect::Log(format!("machine {machine} is slow")));
                        }
                    }
                }
                let news = job.complete(run.task.index, run.attempt);
                if job.done.full() {
                    self.persistence.completed_jobs.insert(run.task.job);
                } else if news {
                    let chunk = chunk_of(run.task.index, job.spec.tasks);
                    let size = result_entry_bytes(job.done.chunk(chunk).len());
                    self.persistence.results.put((run.task.job, chunk), size, false);
                }
                self.restore_job(now, run.task.job);
                // What a team with a limit may use again is given out in rounds alone.
                if run.spec.as_ref().is_some_and(|spec| self.has_team_limit(spec)) {
                    self.cycle_timer.request();
                }
                return;
            }
            // What follows the first failure of a gang says nothing more.
            ExitCause::Failed if job.spec.gang && !job.has_complete_attempt() => {}
            ExitCause::Failed => {
                let ran = run.running_since.map_or(0, |since| now.saturating_sub(since));
                self.on_run_failed(now, machine, run.task.job, ran);
            }
            ExitCause::InsufficientResources
            | ExitCause::DuplicateTask
            | ExitCause::UnknownTask => {
                job.backoff_until = job.backoff_until.max(now + REFUSED_BACKOFF_MS);
            }
            ExitCause::GangIncomplete => {
                job.backoff_until = job.backoff_until.max(now + GANG_INCOMPLETE_BACKOFF_MS)
            }
            // Neither the machine's fault nor the job's.
            ExitCause::Stopped | ExitCause::GangPeerLost => {}
            ExitCause::Unrecognised => {
                let task = run.task;
                self.out.push(Effect::Log(format!(
                    "{task} ended on machine {machine} for a cause that this version does not know"
                )));
            }
        }
        self.release_run(now, machine, run);
    }

    /// A run is surely off its machine without a result: its task may go elsewhere.
    pub(super) fn release_run(&mut self, now: Millis, machine: &str, run: &TaskRun) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return };
        let index = run.task.index;
        let here = |p: &Assignment| *p.machine == *machine && p.attempt == run.attempt;
        if !job.placed.get(&index).is_some_and(here) {
            return;
        }
        job.requeue(index);
        self.cycle_timer.request();
        if job.spec.gang {
            let time_was_short = run.phase == TaskPhase::Ended(ExitCause::GangIncomplete);
            self.end_attempt(now, run.task.job, run.attempt, time_was_short);
        }
    }

    pub(super) fn update_idle_since(&mut self, now: Millis, machine: &str) {
        let Some(m) = self.inventory.get_mut(machine) else { return };
        if m.runs.values().any(TaskRun::is_live) {
            m.idle_since = None;
        } else {
            m.idle_since.get_or_insert(now);
        }
    }

    /// The commands of a report's answer: everything that the machine has not yet been seen to do.
    pub(super) fn heartbeat_response(&mut self, now: Millis, machine: &str) -> Vec<Command> {
        let Some(m) = self.inventory.get_mut(machine) else { return Vec::new() };
        if !m.is_up() {
            return Vec::new();
        }
        self.dispatcher.pending.remove(machine);
        let mut commands = Vec::new();
        let mut forgets = Vec::new();
        let call_open = m.open_call.is_some();
        for ((task, attempt), run) in &mut m.runs {
            let (task, attempt) = (*task, *attempt);
            match run.phase {
                TaskPhase::Assigned => {
                    commands.push(Command::Launch { task, attempt });
                    run.sent(now);
                    // A cancelled launch may still arrive directly. Started and stopped here, the
                    // attempt is known to the machine and the late command does nothing.
                    push_stop(run, now, true, &mut commands);
                }
                TaskPhase::Fetching
                | TaskPhase::Waiting
                | TaskPhase::Running
                | TaskPhase::Checkpointing
                | TaskPhase::Unrecognised => {
                    push_stop(run, now, true, &mut commands);
                }
                TaskPhase::Ended(cause) => {
                    let reserved_exclusively = cause == ExitCause::Done
                        && self.jobs.get(&task.job).is_some_and(|j| !j.persisted.get(task.index));
                    if !reserved_exclusively && !run.launch_outcome_unknown && !call_open {
                        forgets.push(Command::Forget { task, attempt });
                    }
                }
            }
        }
        // Forgetting is a change that the worker reports; by itself it is not worth that.
        if !commands.is_empty() || forgets.len() >= MIN_FORGET_BATCH {
            commands.append(&mut forgets);
        }
        commands
    }

    /// Sends what should not wait for the next report, to the machines that were woken.
    pub(super) fn dispatch(&mut self, now: Millis, except: Option<&str>) {
        for name in std::mem::take(&mut self.dispatcher.pending) {
            // With a call open, its end wakes the machine again.
            let Some(m) = self.inventory.get_mut(&name).filter(|m| m.open_call.is_none()) else {
                continue;
            };
            if except == Some(name.as_str()) || !m.is_up() || m.termination_sent {
                continue;
            }
            if now < m.next_call_at
                || self.dispatcher.open_calls.len() >= self.policy.max_open_calls
            {
                self.dispatcher.next_tick.insert(name);
                continue;
            }
            let mut commands = Vec::new();
            let mut stops = false;
            for ((task, attempt), run) in &mut m.runs {
                if run.phase == TaskPhase::Assigned && run.launch_sends == 0 {
                    commands.push(Command::Launch { task: *task, attempt: *attempt });
                    run.sent(now);
                }
                if run.is_live() {
                    push_stop(run, now, false, &mut commands);
                    stops |= run.stop.is_some();
                }
            }
            if stops {
                self.dispatcher.next_tick.insert(name.clone());
            }
            if !commands.is_empty() {
                self.call(&name, commands);
            }
        }
    }

    /// Asks machines that are silent, or that have not yet shown our token. Paced: a new leader has
    /// a whole fleet to ask.
    pub(super) fn probe_silent_machines(&mut self, now: Millis) {
        let probe_ms = self.policy.probe_ms();
        let mut due: Vec<(Millis, String, Arc<str>)> = Vec::new();
        let mut open: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for m in self.inventory.iter() {
            if m.open_call.is_some() {
                *open.entry(m.zone.clone()).or_default() += 1;
            }
            if m.open_call.is_some()
                || m.termination_sent
                || m.addr.is_none()
                || now < m.next_call_at
            {
                continue;
            }
            let asks = match m.heartbeat_age(now) {
                Some(s) if m.is_up() => s >= probe_ms,
                Some(_) => true,
                None => false,
            };
            if asks {
                due.push((m.next_call_at, m.name.to_string(), m.zone.clone()));
            }
        }
        // Those asked longest ago first.
        due.sort();
        for (_, name, zone) in due {
            if self.dispatcher.open_probes >= MAX_OPEN_PROBES
                || self.dispatcher.open_calls.len() >= self.policy.max_open_calls
            {
                return;
            }
            let open = open.entry(zone.clone()).or_default();
            let unanswered_calls =
                self.failure_detector.zones.get(&zone).map_or(0, |s| s.unanswered_calls);
            if unanswered_calls >= ZONE_UNANSWERED_CALLS && *open >= MAX_PROBES_PER_UNREACHABLE_ZONE
            {
                continue;
            }
            *open += 1;
            self.call(&name, Vec::new());
        }
    }

    fn call(&mut self, machine: &str, commands: Vec<Command>) {
        let Some(m) = self.inventory.get_mut(machine) else { return };
        let Some(addr) = m.addr.clone() else { return };
        self.dispatcher.last_call_id += 1;
        m.open_call = Some(self.dispatcher.last_call_id);
        let probing = commands.is_empty();
        self.dispatcher.open_calls.insert(self.dispatcher.last_call_id, probing);
        self.dispatcher.open_probes += usize::from(probing);
        self.out.push(Effect::CallWorker {
            machine: machine.to_string(),
            addr,
            agent_epoch: m.latest_message.0.max(1),
            call: self.dispatcher.last_call_id,
            commands,
        });
    }

    pub(super) fn on_call_finished(
        &mut self,
        now: Millis,
        machine: &str,
        call: u64,
        outcome: CallOutcome,
    ) {
        // Over for the count, be it that the machine is gone meanwhile.
        let probing = self.dispatcher.open_calls.remove(&call).unwrap_or(false);
        self.dispatcher.open_probes -= usize::from(probing);
        let Some(m) = self.inventory.get_mut(machine) else { return };
        if m.open_call != Some(call) {
            return;
        }
        m.open_call = None;
        self.dispatcher.pending.insert(machine.to_string());
        match outcome {
            CallOutcome::Executed(_) | CallOutcome::Rejected(_) => {
                self.failure_detector.relayed_since = None
            }
            CallOutcome::NotSent | CallOutcome::NoAnswer => {
                self.failure_detector.zones.entry(m.zone.clone()).or_default().unanswered_calls +=
                    1;
            }
        }
        match outcome {
            CallOutcome::Executed(r) => {
                m.unanswered_calls = 0;
                if r.machine == machine {
                    self.reconcile(now, &r);
                }
            }
            CallOutcome::Rejected(r) => {
                if r.token > self.token {
                    self.out.push(Effect::Resign("a machine holds a higher token"));
                    return;
                }
                // Not executed: the launches in it go again with the next answer.
                m.unanswered_calls = 0;
                let known = m.latest_message.0;
                m.next_call_at = if r.agent_epoch > known { now } else { now + 1_000 };
                if r.machine == machine {
                    self.reconcile(now, &r);
                }
            }
            CallOutcome::NotSent => {
                m.unanswered_calls += 1;
                m.next_call_at = now + 500;
            }
            CallOutcome::NoAnswer => {
                m.unanswered_calls += 1;
                m.next_call_at = now + 1_000;
                // Which launches were in it is not kept: each one not yet seen, or ended, counts as
                // possibly in it. Never forgetting one too many costs a line; a question had none.
                for run in m.runs.values_mut().filter(|_| !probing) {
                    run.launch_outcome_unknown = true;
                }
            }
        }
        self.dispatch(now, None);
    }
}

/// A run that an earlier leader launched. It keeps its place if its job is open and has no other
/// place for the task; otherwise it is stopped.
fn adopt_run(machine: &str, t: &TaskStatus, job: Option<&mut Job>) -> TaskRun {
    let spec = job.as_ref().map(|j| j.spec.clone());
    let mut stop = Some(StopRequest { grace_s: 0.0, sent_at: None });
    if let Some(job) = job {
        if !job.done.get(t.task.index) && !job.placed.contains_key(&t.task.index) {
            let place = Assignment { machine: machine.into(), attempt: t.attempt };
            job.place(t.task.index, place);
            stop = None;
        }
    }
    TaskRun {
        task: t.task,
        attempt: t.attempt,
        spec,
        phase: TaskPhase::Assigned,
        stop,
        launch_sends: 1,
        first_launch_at: 0,
        launch_outcome_unknown: false,
        running_since: None,
    }
}

/// Stops the runs of a closed job; what was never sent simply goes. True if there is one to stop.
pub(super) fn stop_job_runs(m: &mut Machine, id: JobId) -> bool {
    m.runs.retain(|(task, _), run| {
        task.job != id || run.phase != TaskPhase::Assigned || run.launch_sends > 0
    });
    let mut any = false;
    for run in m.runs.values_mut().filter(|r| r.task.job == id && r.is_live()) {
        run.stop = Some(StopRequest { grace_s: 0.0, sent_at: None });
        any = true;
    }
    any
}

/// Adds the stop of a run, if there is one to send now.
fn push_stop(run: &mut TaskRun, now: Millis, again: bool, commands: &mut Vec<Command>) {
    let Some(stop) = &mut run.stop else { return };
    // A task that is saving is only told again to end it at once.
    if run.phase == TaskPhase::Checkpointing && stop.grace_s > 0.0 {
        return;
    }
    let due = match stop.sent_at {
        None => true,
        Some(t) => again || now >= t + STOP_RETRY_MS,
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
