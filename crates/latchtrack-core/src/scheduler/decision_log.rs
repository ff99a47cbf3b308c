//! The decision log: why each task run was launched, stopped, forgotten or released. It is recorded
//! only on request, because a busy leader decides hundreds of times a second.

use std::fmt;

use super::log_events::LogEvent;
use super::messages::Effect;
use super::Scheduler;
use crate::job::TaskId;
use crate::machine::{Command, ExitCause, Machine, TaskPhase};

/// The way by which commands reach a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandRoute {
    /// In the response to a heartbeat.
    HeartbeatResponse,
    /// In a direct call.
    DirectCall,
}

/// Why a task run no longer holds its task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// Its machine reported that it has ended.
    Ended(ExitCause),
    /// Its machine no longer lists it.
    Unlisted,
    /// Its machine is in a later agent epoch.
    AgentEpochAdvanced,
    /// Its machine was not answered for the duration of the worker lease.
    WorkerLeaseExpired,
    /// Its machine is gone.
    MachineTerminated,
}

/// A decision about a task run, or a fact that decisions rely on.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A command is sent to a worker.
    CommandSent {
        /// Name of the machine.
        machine: String,
        /// How the command is sent.
        route: CommandRoute,
        /// Fencing token of the message.
        token: u64,
        /// Agent epoch of the worker, as last reported.
        agent_epoch: u64,
        /// The command.
        command: Command,
        /// Why it is sent.
        reason: &'static str,
    },
    /// A task run no longer holds its task, which may be placed again.
    TaskReleased {
        /// Name of the machine.
        machine: String,
        /// The task.
        task: TaskId,
        /// The number of the attempt.
        attempt: u64,
        /// Why it is released.
        reason: ReleaseReason,
    },
    /// A machine reported a task run that the leader did not know.
    RunAdopted {
        /// Name of the machine.
        machine: String,
        /// The task.
        task: TaskId,
        /// The number of the attempt.
        attempt: u64,
        /// Whether the run keeps its task; otherwise it is stopped.
        holds_task: bool,
    },
}

/// Counts of decisions in a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DecisionCounts {
    /// Launches sent, repetitions included.
    pub launches: u64,
    /// Forget commands sent, repetitions included.
    pub forgets: u64,
    /// Direct calls that workers rejected because of their token or agent epoch.
    pub rejected_calls: u64,
    /// Attempts of this term that a machine reported after the leader had forgotten them. They were
    /// launched by a copy of a command.
    pub forgotten_attempts_reported: u64,
}

impl DecisionCounts {
    /// Counts commands that are sent.
    pub(super) fn count_commands(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Launch { .. } => self.launches += 1,
                Command::Forget { .. } => self.forgets += 1,
                Command::Stop { .. } => {}
            }
        }
    }
}

impl Scheduler {
    /// Sets whether decisions are logged.
    pub fn set_decision_log(&mut self, is_enabled: bool) {
        self.logs_decisions = is_enabled;
    }

    /// Returns the counts of decisions in this term.
    pub fn decision_counts(&self) -> DecisionCounts {
        self.decision_counts
    }

    /// Logs a decision, if decisions are logged.
    pub(super) fn log_decision(&mut self, decision: impl FnOnce() -> Decision) {
        if self.logs_decisions {
            self.effects.push(Effect::Log(LogEvent::Decision(Box::new(decision()))));
        }
    }

    /// Counts the commands of a message to a worker, and logs them if decisions are logged.
    pub(super) fn record_commands(
        &mut self,
        name: &str,
        route: CommandRoute,
        token: u64,
        commands: &[Command],
    ) {
        self.decision_counts.count_commands(commands);
        if !self.logs_decisions {
            return;
        }
        let machine = self.inventory.get(name);
        let decisions = commands.iter().map(|command| Decision::CommandSent {
            machine: name.to_string(),
            route,
            token,
            agent_epoch: machine.map_or(0, |machine| machine.latest_message.agent_epoch),
            command: *command,
            reason: command_reason(machine, command),
        });
        self.effects
            .extend(decisions.map(|decision| Effect::Log(LogEvent::Decision(Box::new(decision)))));
    }
}

/// Returns why a command is sent to a machine, from the state of its task run.
fn command_reason(machine: Option<&Machine>, command: &Command) -> &'static str {
    let (Command::Launch { task, attempt }
    | Command::Stop { task, attempt, .. }
    | Command::Forget { task, attempt }) = *command;
    let Some(run) = machine.and_then(|machine| machine.runs.get(&(task, attempt))) else {
        return "unknown_run";
    };
    match (command, run.phase) {
        (Command::Launch { .. }, _) if run.launch_sends <= 1 => "placed",
        (Command::Launch { .. }, _) => "not_reported_yet",
        (Command::Stop { .. }, _) => run.stop.map_or("not_requested", |stop| stop.reason.as_str()),
        (Command::Forget { .. }, TaskPhase::Ended(cause)) => cause_name(cause),
        (Command::Forget { .. }, _) => "not_ended",
    }
}

/// Returns an exit cause as it appears in the log.
fn cause_name(cause: ExitCause) -> &'static str {
    match cause {
        ExitCause::Done => "done",
        ExitCause::Stopped => "stopped",
        ExitCause::Failed => "failed",
        ExitCause::InsufficientResources => "insufficient_resources",
        ExitCause::DuplicateTask => "duplicate_task",
        ExitCause::UnknownTask => "unknown_task",
        ExitCause::GangPeerLost => "gang_peer_lost",
        ExitCause::GangIncomplete => "gang_incomplete",
        ExitCause::Unrecognised => "unrecognised",
    }
}

impl ReleaseReason {
    /// Returns the reason as it appears in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            ReleaseReason::Ended(cause) => cause_name(cause),
            ReleaseReason::Unlisted => "unlisted",
            ReleaseReason::AgentEpochAdvanced => "agent_epoch_advanced",
            ReleaseReason::WorkerLeaseExpired => "worker_lease_expired",
            ReleaseReason::MachineTerminated => "machine_terminated",
        }
    }
}

impl fmt::Display for CommandRoute {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CommandRoute::HeartbeatResponse => "heartbeat_response",
            CommandRoute::DirectCall => "direct_call",
        })
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Decision::CommandSent { machine, route, token, agent_epoch, command, reason } => {
                let (verb, task, attempt) = match command {
                    Command::Launch { task, attempt } => ("launch", task, attempt),
                    Command::Stop { task, attempt, .. } => ("stop", task, attempt),
                    Command::Forget { task, attempt } => ("forget", task, attempt),
                };
                write!(
                    f,
                    "{verb} sent machine={machine} task={task} attempt={attempt} token={token} \
                     agent_epoch={agent_epoch} route={route} reason={reason}"
                )
            }
            Decision::TaskReleased { machine, task, attempt, reason } => {
                let reason = reason.as_str();
                write!(
                    f,
                    "task released machine={machine} task={task} attempt={attempt} reason={reason}"
                )
            }
            Decision::RunAdopted { machine, task, attempt, holds_task } => write!(
                f,
                "unknown task run reported machine={machine} task={task} attempt={attempt} \
                 holds_task={holds_task}"
            ),
        }
    }
}
