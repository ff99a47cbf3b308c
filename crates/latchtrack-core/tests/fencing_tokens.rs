//! The tokens that a leader uses: a machine gets a higher one before it forgets what a direct call
//! launched, and none that a later leader may get.

mod common;

use std::sync::Arc;

use common::*;
use latchtrack_core::job::{JobId, JobSpec, Resources};
use latchtrack_core::machine::*;
use latchtrack_core::scheduler::*;

/// Tasks of job 1, which fill a machine, and which are enough to be forgotten together.
const TASKS: u32 = 8;

/// A leader whose only machine runs job 1, and whose heartbeats carry the highest token so far.
struct Leader {
    scheduler: Scheduler,
    now: u64,
    sequence: u64,
    token: u64,
}

/// A response to a heartbeat.
#[derive(Debug, PartialEq)]
struct Response {
    token: u64,
    forgets: usize,
}

impl Leader {
    /// Returns a leader that has launched the tasks by a direct call with this outcome, or in the
    /// response to a heartbeat if `None`.
    fn new(call_outcome: Option<fn(Heartbeat) -> CallOutcome>) -> Leader {
        let mut scheduler =
            Scheduler::new(long_idle_timeout(), TERM, types(), stored_set(0..1), Vec::new(), 1_000);
        let demand = Resources { cpus: 1.0, gpus: 0.0, memory_gb: 1.0 };
        let spec = Arc::new(JobSpec { demand, ..(*spec(1, TASKS)).clone() });
        let job = Event::JobOpened { spec, submitted_at: 0, revision: 8, done: None };
        let mut first = Some(job);
        if call_outcome.is_none() {
            scheduler.handle(1_000, first.take().expect("the job"));
        }
        scheduler.handle(1_100, Event::Heartbeat(heartbeat(0, 1, TERM.token, Vec::new())));
        let mut leader = Leader { scheduler, now: 1_200, sequence: 2, token: TERM.token };
        if let (Some(job), Some(outcome)) = (first, call_outcome) {
            let mut effects = leader.scheduler.handle(leader.now, job);
            effects.extend(leader.scheduler.handle(leader.now, Event::Tick));
            leader.answer_call(&effects, outcome);
        }
        assert_eq!(leader.scheduler.machines()[&machine_name(0)].runs.len(), TASKS as usize);
        leader
    }

    /// Closes job 1, so that its attempts do not start again. The call that stops them is answered.
    fn close_job(&mut self) {
        self.now += 5_000;
        let mut effects = self.scheduler.handle(self.now, Event::JobClosed(JobId(1)));
        effects.extend(self.scheduler.handle(self.now, Event::Tick));
        self.answer_call(&effects, CallOutcome::Executed);
    }

    fn answer_call(&mut self, effects: &[Effect], outcome: fn(Heartbeat) -> CallOutcome) {
        let call = effects.iter().find_map(|effect| match effect {
            Effect::CallWorker { call, token, .. } => Some((*call, *token)),
            _ => None,
        });
        let (call, token) = call.expect("a direct call");
        assert_eq!(token, self.token);
        let outcome = outcome(self.heartbeat(TaskPhase::Running));
        let event = Event::CallFinished { machine: machine_name(0), call, outcome };
        self.scheduler.handle(self.now, event);
    }

    fn heartbeat(&mut self, phase: TaskPhase) -> Heartbeat {
        self.sequence += 1;
        let runs = self.scheduler.machines()[&machine_name(0)].runs.values();
        let tasks = runs.map(|run| TaskStatus { phase, ..status_of(run) }).collect();
        heartbeat(0, self.sequence, self.token, tasks)
    }

    /// Returns the response to a heartbeat that lists all attempts as ended with this cause.
    fn respond_to_ended(&mut self, cause: ExitCause) -> Response {
        self.now += 1_000;
        let heartbeat = self.heartbeat(TaskPhase::Ended(cause));
        let effects = self.scheduler.handle(self.now, Event::Heartbeat(heartbeat));
        let response = effects.into_iter().find_map(|effect| match effect {
            Effect::Respond { token, commands } => Some((token, commands)),
            _ => None,
        });
        let (token, commands) = response.expect("a response");
        self.token = token;
        let is_forget = |command: &&Command| matches!(command, Command::Forget { .. });
        Response { token, forgets: commands.iter().filter(is_forget).count() }
    }

    /// Commits the writes that are due at this revision, and returns how many there are.
    fn commit(&mut self, revision: u64) -> usize {
        self.now += 10_000;
        let writes = self.scheduler.next_writes(self.now, 8);
        let count = writes.len();
        let outcome = BatchOutcome::Committed(revision);
        self.scheduler.handle(self.now, Event::WritesFinished { writes, outcome });
        count
    }

    fn is_resigning(&mut self, token: u64) -> bool {
        self.sequence += 1;
        let heartbeat = heartbeat(0, self.sequence, token, Vec::new());
        let effects = self.scheduler.handle(self.now, Event::Heartbeat(heartbeat));
        effects.contains(&Effect::Resign(ResignReason::HigherToken))
    }
}

#[test]
fn attempts_are_forgotten_with_a_higher_token_than_the_calls_that_launched_them() {
    for outcome in [CallOutcome::Executed, |_| CallOutcome::NoAnswer] {
        let mut leader = Leader::new(Some(outcome));
        leader.close_job();
        // Without a write, all higher tokens may belong to a later leader.
        for _ in 0..3 {
            let response = leader.respond_to_ended(ExitCause::Failed);
            assert_eq!(response, Response { token: TERM.token, forgets: 0 });
        }
        assert_eq!(leader.commit(TERM.token + 5), 1, "a write is requested for its revision");
        let response = leader.respond_to_ended(ExitCause::Failed);
        assert_eq!(response, Response { token: TERM.token + 1, forgets: TASKS as usize });
        // The forgets are repeated until the machine has executed them.
        let response = leader.respond_to_ended(ExitCause::Failed);
        assert_eq!(response, Response { token: TERM.token + 1, forgets: TASKS as usize });
    }
}

#[test]
fn attempts_launched_in_heartbeat_responses_need_no_higher_token() {
    let mut leader = Leader::new(None);
    leader.close_job();
    let response = leader.respond_to_ended(ExitCause::Failed);
    assert_eq!(response, Response { token: TERM.token, forgets: TASKS as usize });
}

#[test]
fn a_leader_resigns_only_on_tokens_above_its_own_writes() {
    let mut leader = Leader::new(Some(CallOutcome::Executed));
    leader.close_job();
    leader.respond_to_ended(ExitCause::Failed);
    leader.commit(TERM.token + 5);
    leader.respond_to_ended(ExitCause::Failed);
    assert!(!leader.is_resigning(TERM.token + 1));
    assert!(!leader.is_resigning(TERM.token + 5));
    assert!(leader.is_resigning(TERM.token + 6));
}
