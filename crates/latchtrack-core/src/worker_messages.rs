//! Messages between workers and the leader: heartbeats and commands.

use crate::job::TaskId;
use crate::task_run::TaskPhase;

/// The status of one task run in a heartbeat.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct TaskStatus {
    /// The task of the run.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: u64,
    /// The phase of the run.
    pub phase: TaskPhase,
}

/// A report by a worker on its machine.
#[derive(Clone, PartialEq, Debug)]
pub struct Heartbeat {
    /// The name of the machine.
    pub machine: String,
    /// The address at which the worker accepts direct calls.
    pub addr: String,
    /// The type of the machine.
    pub machine_type: String,
    /// The zone of the machine.
    pub zone: String,
    /// Whether the cloud may preempt the machine.
    pub spot: bool,
    /// The number of times that the worker's lease has expired.
    pub agent_epoch: u64,
    /// The number of this message in its agent epoch.
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    pub token: u64,
    /// s until the cloud preempts the machine, if it has announced that.
    pub notice_s: Option<f64>,
    /// The task runs on the machine.
    pub tasks: Vec<TaskStatus>,
}

/// The position of a message among all messages of its worker. Later messages are greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageNumber {
    /// The number of times that the worker's lease has expired.
    pub agent_epoch: u64,
    /// The number of the message in its agent epoch.
    pub sequence: u64,
}

impl MessageNumber {
    /// Returns the number of a heartbeat.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        MessageNumber { agent_epoch: heartbeat.agent_epoch, sequence: heartbeat.sequence }
    }

    /// Returns the lowest number of the next agent epoch, which follows all messages of this one.
    pub fn next_epoch(self) -> Self {
        MessageNumber { agent_epoch: self.agent_epoch + 1, sequence: 0 }
    }
}

/// A command to a worker. All commands are idempotent.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Command {
    /// Starts a task.
    Launch {
        /// The task to start.
        task: TaskId,
        /// The number of the attempt.
        attempt: u64,
    },
    /// Stops a task.
    Stop {
        /// The task to stop.
        task: TaskId,
        /// The number of the attempt.
        attempt: u64,
        /// s that the task is given to save its progress.
        grace_s: f64,
    },
    /// Removes an ended attempt from the worker's list of tasks.
    Forget {
        /// The task of the attempt.
        task: TaskId,
        /// The number of the attempt.
        attempt: u64,
    },
}
