//! Worker leases after a failover: a leader releases the tasks of an earlier leader only once no
//! worker can still run them.

mod common;

use common::*;
use latchtrack_core::job::{JobId, TaskId};
use latchtrack_core::machine::*;
use latchtrack_core::scheduler::*;

/// The start of the term in ms.
const TERM_START_MS: u64 = 1_000;
/// Time in ms after which a worker that nobody answered has surely killed its tasks.
const LEASE_EXPIRY_MS: u64 = WORKER_LEASE_MS + 5_000;
/// Interval in ms between the heartbeats of the machine that stays connected.
const HEARTBEAT_INTERVAL_MS: u64 = 2_000;
/// Attempt number of the tasks that the earlier leader launched.
const EARLIER_ATTEMPT: u64 = 5;

/// Returns the status of a running task of job 1 that an earlier leader launched.
fn running_task(index: u64) -> TaskStatus {
    TaskStatus {
        task: format!("req-000001/{index}").parse().expect("a task id"),
        attempt: EARLIER_ATTEMPT,
        phase: TaskPhase::Running,
    }
}

/// Returns the entry of a machine in the cloud's list.
fn listed_machine(number: u64) -> ListedMachine {
    ListedMachine {
        name: machine_name(number),
        machine_type: "g".into(),
        zone: "a".into(),
        spot: true,
        failed: false,
        running: true,
        age_ms: 100_000,
    }
}

/// A new leader with three inherited machines and job 1, whose two tasks an earlier leader launched
/// on machines 0 and 1. Only machine 2 stays connected; it has room for both tasks. The cloud
/// confirms no termination.
struct Failover {
    scheduler: Scheduler,
    now: u64,
    sequence: u64,
    launched: Vec<(u64, TaskId)>,
    logged: Vec<LogEvent>,
}

impl Failover {
    fn new(stored: Vec<StoredMachineSet>) -> Failover {
        let mut scheduler = Scheduler::new(
            long_idle_timeout(),
            TERM,
            types_without_zones(),
            stored,
            Vec::new(),
            TERM_START_MS,
        );
        scheduler.handle(TERM_START_MS, job_opened(1, 2, 3));
        Failover {
            scheduler,
            now: TERM_START_MS,
            sequence: 0,
            launched: Vec::new(),
            logged: Vec::new(),
        }
    }

    /// Lets the scheduler handle an event, and returns its response to a heartbeat.
    fn handle(&mut self, event: Event) -> Option<Vec<Command>> {
        let effects = self.scheduler.handle(self.now, event);
        self.observe(effects)
    }

    fn observe(&mut self, effects: Vec<Effect>) -> Option<Vec<Command>> {
        let mut response = None;
        for effect in effects {
            match effect {
                Effect::Respond { commands, .. } => {
                    self.record_launches(&commands);
                    response = Some(commands);
                }
                Effect::CallWorker { commands, .. } => self.record_launches(&commands),
                Effect::Log(event) => self.logged.push(event),
                _ => {}
            }
        }
        response
    }

    fn record_launches(&mut self, commands: &[Command]) {
        for command in commands {
            if let Command::Launch { task, .. } = command {
                self.launched.push((self.now, *task));
            }
        }
    }

    /// Runs until a time. Machine 2 sends heartbeats; no direct call is answered.
    fn run_until(&mut self, until: u64) {
        while self.now < until {
            self.sequence += 1;
            let runs = self.scheduler.machines()[&machine_name(2)].runs.values();
            let tasks = runs.map(|run| TaskStatus { phase: TaskPhase::Running, ..status_of(run) });
            let heartbeat = heartbeat(2, self.sequence, TERM.token, tasks.collect());
            self.handle(Event::Heartbeat(heartbeat));
            let to = until.min(self.now + HEARTBEAT_INTERVAL_MS);
            let effects = tick_until(&mut self.scheduler, self.now, to, &CallOutcome::NoAnswer);
            self.now = to;
            self.observe(effects);
        }
    }

    /// Returns when the first task of job 1 was launched again.
    fn first_launch(&self) -> Option<u64> {
        self.launched.first().map(|(at, _)| *at)
    }
}

/// An answer to a heartbeat with an older token renews the worker's lease. A leader that did not
/// count it started the tasks of a machine elsewhere while they ran there (`ran_twice`).
#[test]
fn an_answer_to_an_older_token_extends_the_wait_for_its_machine() {
    let answered_at = TERM_START_MS + 20_000;
    for is_relayed in [false, true] {
        let mut failover = Failover::new(stored_set(0..3));
        failover.run_until(answered_at);
        let heartbeat = heartbeat(0, 9, TERM.token - 1, vec![running_task(0)]);
        let event = if is_relayed { Event::RelayedHeartbeat } else { Event::Heartbeat };
        assert!(failover.handle(event(heartbeat)).is_some(), "answered");
        failover.run_until(answered_at + LEASE_EXPIRY_MS);
        assert_eq!(failover.launched, [], "relayed: {is_relayed}");
        failover.run_until(answered_at + LEASE_EXPIRY_MS + 2 * HEARTBEAT_INTERVAL_MS);
        assert_eq!(failover.launched.len(), 2, "once the renewed lease has expired");
    }
}

/// Machines that nobody answered in this term hold no job back for longer than a lease.
#[test]
fn machines_that_were_never_answered_are_waited_for_during_one_lease() {
    let mut failover = Failover::new(stored_set(0..3));
    failover.run_until(TERM_START_MS + LEASE_EXPIRY_MS + 2 * HEARTBEAT_INTERVAL_MS);
    let first = failover.first_launch();
    assert!(first.is_some_and(|at| at >= TERM_START_MS + LEASE_EXPIRY_MS), "{first:?}");
}

/// A worker that still has an older token a lease after the failover was not answered since, so it
/// has killed its tasks. A machine that receives no answers would otherwise hold all jobs back for
/// as long as it sends heartbeats.
#[test]
fn a_machine_that_receives_no_answers_is_waited_for_during_two_leases_at_most() {
    let mut failover = Failover::new(stored_set(0..3));
    let until = TERM_START_MS + 2 * LEASE_EXPIRY_MS + 2 * HEARTBEAT_INTERVAL_MS;
    let mut sequence = 0;
    while failover.now < until {
        sequence += 1;
        let heartbeat = heartbeat(0, sequence, TERM.token - 1, vec![running_task(0)]);
        failover.handle(Event::Heartbeat(heartbeat));
        failover.run_until(failover.now + HEARTBEAT_INTERVAL_MS);
    }
    let first = failover.first_launch();
    assert!(first.is_some_and(|at| at > TERM_START_MS + LEASE_EXPIRY_MS + 20_000), "{first:?}");
}

/// The worker counts its lease from the sending of a heartbeat, so a copy that is older than
/// another message of the machine renews nothing beyond what that message did.
#[test]
fn an_older_copy_of_a_heartbeat_does_not_extend_the_wait() {
    let answered_at = TERM_START_MS + 5_000;
    let mut failover = Failover::new(stored_set(0..3));
    failover.run_until(answered_at);
    let older_token =
        |sequence| Event::Heartbeat(heartbeat(0, sequence, TERM.token - 1, vec![running_task(0)]));
    failover.handle(older_token(9));
    failover.run_until(answered_at + 15_000);
    failover.handle(older_token(8));
    failover.run_until(answered_at + LEASE_EXPIRY_MS + 2 * HEARTBEAT_INTERVAL_MS);
    let first = failover.first_launch();
    assert!(first.is_some_and(|at| at >= answered_at + LEASE_EXPIRY_MS), "{first:?}");
}

/// Returns the stored set of machine 2, and a value that can't be read and may name any machine.
fn unreadable_set() -> Vec<StoredMachineSet> {
    let mut stored = stored_set(2..3);
    stored.push(StoredMachineSet { name: "3-2".into(), revision: 5, machines: None });
    stored
}

/// A machine that only an unreadable value of the machine set names is unknown to the leader, or
/// known from the cloud's list alone. An answer to its older token renews its lease as well: its
/// tasks started elsewhere while they ran there (`ran_twice`).
#[test]
fn an_answer_to_an_unknown_machine_extends_the_wait_for_an_unreadable_set() {
    let answered_at = TERM_START_MS + 20_000;
    for is_listed in [false, true] {
        let mut failover = Failover::new(unreadable_set());
        failover.run_until(answered_at);
        if is_listed {
            failover.handle(Event::MachinesListed(vec![listed_machine(0), listed_machine(2)]));
        }
        let older_token = heartbeat(0, 9, TERM.token - 1, vec![running_task(0)]);
        assert!(failover.handle(Event::Heartbeat(older_token)).is_some(), "answered");
        failover.run_until(answered_at + LEASE_EXPIRY_MS);
        assert_eq!(failover.launched, [], "listed: {is_listed}");
        failover.run_until(answered_at + LEASE_EXPIRY_MS + 2 * HEARTBEAT_INTERVAL_MS);
        assert_eq!(failover.launched.len(), 2, "once the renewed lease has expired");
    }
}

/// A worker that has seen no token has executed no command: new machines that come up after a
/// failover hold nothing back.
#[test]
fn new_machines_do_not_extend_the_wait_for_an_unreadable_set() {
    let mut failover = Failover::new(unreadable_set());
    failover.run_until(TERM_START_MS + 20_000);
    failover.handle(Event::Heartbeat(heartbeat(0, 1, 0, Vec::new())));
    failover.run_until(TERM_START_MS + LEASE_EXPIRY_MS + 2 * HEARTBEAT_INTERVAL_MS);
    assert_eq!(failover.launched.len(), 2);
}

/// An answer to a heartbeat with an older token renewed the lease under which tasks of a cancelled
/// job ran, and did not stop them: if the machine was disconnected again, they outlived the time
/// within which they had to end (`ran_cancelled`).
#[test]
fn an_answer_to_an_older_token_stops_tasks_of_closed_jobs() {
    let ended = TaskStatus { phase: TaskPhase::Ended(ExitCause::Done), ..running_task(1) };
    let stop = Command::Stop { task: running_task(0).task, attempt: EARLIER_ATTEMPT, grace_s: 0.0 };
    // Machine 0 is in the stored set, machine 5 is unknown.
    for number in [0, 5] {
        let older_token = |sequence| {
            let tasks = vec![running_task(0), ended];
            Event::Heartbeat(heartbeat(number, sequence, TERM.token - 1, tasks))
        };
        let mut failover = Failover::new(stored_set(0..3));
        assert_eq!(failover.handle(older_token(1)), Some(Vec::new()), "the job is open");
        failover.handle(Event::JobClosed(JobId(1)));
        assert_eq!(failover.handle(older_token(2)), Some(vec![stop]), "machine {number}");
    }
}

/// The answer to a direct call may overtake a heartbeat that was sent before it. The answer to such
/// a heartbeat renews the lease as well, and left out what ends the tasks of closed jobs, also of
/// one whose launch may still be on its way (`ran_cancelled`).
#[test]
fn an_answer_to_an_overtaken_heartbeat_stops_tasks_of_closed_jobs() {
    let mut failover = Failover::new(stored_set(0..1));
    // Task 0 runs on the only machine, and task 1 is launched there too.
    let running = heartbeat(0, 5, TERM.token, vec![running_task(0)]);
    let launched = failover.handle(Event::Heartbeat(running)).unwrap_or_default();
    let Some(Command::Launch { task, attempt }) = launched.first().copied() else {
        panic!("no launch: {launched:?}")
    };
    failover.handle(Event::JobClosed(JobId(1)));
    let overtaken = heartbeat(0, 4, TERM.token, vec![running_task(0)]);
    let answer = failover.handle(Event::Heartbeat(overtaken));
    let expected = vec![
        Command::Stop { task: running_task(0).task, attempt: EARLIER_ATTEMPT, grace_s: 0.0 },
        Command::Launch { task, attempt },
        Command::Stop { task, attempt, grace_s: 0.0 },
    ];
    assert_eq!(answer, Some(expected));
}

/// The log tells which machines were answered before they knew this term's token, and from which
/// time their leases are counted.
#[test]
fn the_log_names_the_time_from_which_a_lease_is_counted() {
    let mut failover = Failover::new(stored_set(0..3));
    failover.run_until(TERM_START_MS + 20_000);
    let older_token = heartbeat(0, 9, TERM.token - 1, vec![running_task(0)]);
    failover.handle(Event::Heartbeat(older_token));
    failover.run_until(TERM_START_MS + 20_000 + LEASE_EXPIRY_MS + HEARTBEAT_INTERVAL_MS);
    let answered = LogEvent::OlderTokenAnswered {
        machine: machine_name(0),
        heartbeat_token: TERM.token - 1,
        term_ms: 20_000,
    };
    assert!(failover.logged.contains(&answered), "{:?}", failover.logged);
    let counted_from = |number| {
        failover.logged.iter().find_map(|event| match event {
            LogEvent::UnreconciledMachineExpired { machine, lease_from_ms, .. }
                if *machine == machine_name(number) =>
            {
                Some(*lease_from_ms)
            }
            _ => None,
        })
    };
    assert_eq!((counted_from(0), counted_from(1)), (Some(20_000), Some(0)));
}
