//! What workers and the leader tell each other: heartbeats and commands.

use crate::job::TaskId;
use crate::task_run::TaskPhase;

/// What a heartbeat says of one task run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// The attempt at it.
    pub attempt: u64,
    /// Where the run stands.
    pub phase: TaskPhase,
}

/// What a worker says of its machine.
#[derive(Clone, PartialEq, Debug)]
pub struct Heartbeat {
    /// The machine's name.
    pub machine: String,
    /// Where the worker takes direct calls.
    pub addr: String,
    /// The machine's type.
    pub machine_type: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether the cloud may preempt it.
    pub spot: bool,
    /// How often the worker's lease has expired.
    pub agent_epoch: u64,
    /// The number of this message in its agent epoch.
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    pub token: u64,
    /// s until the cloud preempts it, if it has said so.
    pub notice_s: Option<f64>,
    /// The task runs on it.
    pub tasks: Vec<TaskStatus>,
}

/// Where a message stands among all messages of its worker: later ones are greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageNumber {
    /// How often the worker's lease has expired.
    pub agent_epoch: u64,
    /// The number of the message in its agent epoch.
    pub sequence: u64,
}

impl MessageNumber {
    /// That of a heartbeat.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        MessageNumber { agent_epoch: heartbeat.agent_epoch, sequence: heartbeat.sequence }
    }

    /// Before all messages of the next agent epoch, and after all of this one.
    pub fn next_epoch(self) -> Self {
        MessageNumber { agent_epoch: self.agent_epoch + 1, sequence: 0 }
    }
}

/// A command to a worker. Each is idempotent.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Command {
    /// Start a task.
    Launch {
        /// The task.
        task: TaskId,
        /// The attempt at it.
        attempt: u64,
    },
    /// Stop a task.
    Stop {
        /// The task.
        task: TaskId,
        /// The attempt at it.
        attempt: u64,
        /// s in which it may save its progress.
        grace_s: f64,
    },
    /// Drop an attempt that has ended from the list of tasks.
    Forget {
        /// The task.
        task: TaskId,
        /// The attempt at it.
        attempt: u64,
    },
}
