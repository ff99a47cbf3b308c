//! The state machine of one move, from the reserved target to the task that runs there.
//!
//! ```text
//! Reserved --stop sent--> Stopping --all ended--> Ready --launched--> Launching --all run--> Settled
//!     \_______________________\_____________________\___________________\--> Abandoned
//! ```
//!
//! A move owns nothing but the capacity that it reserves on its targets. The scheduler stops and
//! launches by the heartbeats of the machines alone. A move that is abandoned, or lost with its
//! leader, costs the task its place in the queue and nothing else.

use std::fmt;
use std::sync::Arc;

use crate::constants::{LAUNCH_TIMEOUT_MS, RESERVATION_TIMEOUT_MS, STOP_TIMEOUT_MARGIN_MS};
use crate::resources::Resources;
use crate::Millis;

/// What moves as one: a task of an array, or all tasks of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MoveUnit {
    /// The job.
    pub job: u64,
    /// None for a whole gang.
    pub task: Option<u32>,
}

impl MoveUnit {
    /// Whether a task belongs to this unit.
    pub fn covers(&self, job: u64, task: u32) -> bool {
        self.job == job && self.task.is_none_or(|own| own == task)
    }
}

/// One task of a move.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskMove {
    /// Index of the task in its job.
    pub task: u32,
    /// The machine that it leaves.
    pub source: Arc<str>,
    /// The machine that it goes to.
    pub target: Arc<str>,
    /// What it takes of either machine.
    pub demand: Resources,
    /// Whether it is off its source, stopped and not completed.
    pub ended: bool,
    /// Whether it was seen to run on its target.
    pub running: bool,
}

/// How far a move has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveStage {
    /// Capacity is reserved on every target; nothing has been stopped.
    Reserved,
    /// The tasks were told to save their checkpoints and stop.
    Stopping,
    /// All of them are off their sources.
    Ready,
    /// They were launched on their targets.
    Launching,
    /// They run there.
    Settled,
    /// The tasks run on where they are, or wait in the queue.
    Abandoned(AbandonReason),
}

impl MoveStage {
    /// Whether the move is over.
    pub fn is_final(self) -> bool {
        matches!(self, MoveStage::Settled | MoveStage::Abandoned(_))
    }

    /// Whether its targets are reserved: once the tasks are launched they use the capacity
    /// themselves.
    fn reserves_targets(self) -> bool {
        matches!(self, MoveStage::Reserved | MoveStage::Stopping | MoveStage::Ready)
    }
}

/// Why a move was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonReason {
    /// A target takes no tasks any more: it is lost, silent, unreachable, slow, or to be
    /// terminated.
    TargetLost,
    /// A target has less free capacity than was reserved.
    TargetFull,
    /// The job may not start there, by its constraints on zones, types and spot machines.
    ConstraintViolated,
    /// Its team is at its limit.
    TeamLimit,
    /// A source is silent or to be terminated, which ends its tasks in another way.
    SourceLost,
    /// The stop did not end in time.
    StopTimedOut,
    /// The stop could not be sent.
    StopNotSent,
    /// The tasks were not seen to run in time.
    StartTimedOut,
    /// The job is over, or its tasks are placed already.
    JobOver,
    /// A task completed before it stopped.
    Completed,
}

/// The machines at one end of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The machines that tasks leave.
    Source,
    /// The machines that tasks go to.
    Target,
}

impl AbandonReason {
    /// The end whose machine made the move fail; None if it was the job or its team.
    pub fn side(self) -> Option<Side> {
        match self {
            AbandonReason::SourceLost
            | AbandonReason::StopTimedOut
            | AbandonReason::StopNotSent => Some(Side::Source),
            AbandonReason::TargetLost
            | AbandonReason::TargetFull
            | AbandonReason::StartTimedOut => Some(Side::Target),
            AbandonReason::ConstraintViolated
            | AbandonReason::TeamLimit
            | AbandonReason::JobOver
            | AbandonReason::Completed => None,
        }
    }
}

impl fmt::Display for AbandonReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AbandonReason::TargetLost => "target lost",
            AbandonReason::TargetFull => "target full",
            AbandonReason::ConstraintViolated => "not allowed on the target",
            AbandonReason::TeamLimit => "team at its limit",
            AbandonReason::SourceLost => "source lost",
            AbandonReason::StopTimedOut => "stop late",
            AbandonReason::StopNotSent => "stop not sent",
            AbandonReason::StartTimedOut => "not seen to run",
            AbandonReason::JobOver => "job over",
            AbandonReason::Completed => "completed first",
        })
    }
}

impl fmt::Display for MoveStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MoveStage::Reserved => f.write_str("reserved"),
            MoveStage::Stopping => f.write_str("stopping"),
            MoveStage::Ready => f.write_str("ready"),
            MoveStage::Launching => f.write_str("launching"),
            MoveStage::Settled => f.write_str("settled"),
            MoveStage::Abandoned(reason) => write!(f, "abandoned: {reason}"),
        }
    }
}

/// An event of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveEvent {
    /// Every task has been told to save its checkpoint and stop.
    StopSent,
    /// A task is off its source, stopped and not completed.
    Ended {
        /// Its index.
        task: u32,
    },
    /// All tasks were launched on their targets, under a new attempt.
    Launched,
    /// A task was seen to run on its target.
    Running {
        /// Its index.
        task: u32,
    },
    /// The move can't go on.
    Failed(AbandonReason),
    /// Time passes.
    Tick,
}

/// A move of a task or a whole gang.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// What moves.
    pub unit: MoveUnit,
    /// Each of its tasks.
    pub task_moves: Vec<TaskMove>,
    /// How far it has come.
    pub stage: MoveStage,
    /// When it came to this stage, ms.
    pub since: Millis,
    /// ms that its tasks take to save their checkpoints.
    pub save_ms: Millis,
    /// The load of the busiest source when it was planned, in parts of a machine.
    pub load: f64,
    /// The bound that the source was over.
    pub bound: f64,
}

impl Move {
    /// Takes in an event; returns whether the stage changed. An event that does not belong to the
    /// stage, such as a repeated or late one, changes nothing.
    pub fn handle(&mut self, now: Millis, event: MoveEvent) -> bool {
        let before = self.stage;
        self.stage = self.next_stage(now, event);
        if self.stage != before {
            self.since = now;
        }
        self.stage != before
    }

    fn next_stage(&mut self, now: Millis, event: MoveEvent) -> MoveStage {
        match (self.stage, event) {
            (stage, _) if stage.is_final() => stage,
            (_, MoveEvent::Failed(reason)) => MoveStage::Abandoned(reason),
            (MoveStage::Reserved, MoveEvent::StopSent) => MoveStage::Stopping,
            (MoveStage::Stopping, MoveEvent::Ended { task }) => {
                for task_move in
                    self.task_moves.iter_mut().filter(|task_move| task_move.task == task)
                {
                    task_move.ended = true;
                }
                if self.task_moves.iter().all(|task_move| task_move.ended) {
                    MoveStage::Ready
                } else {
                    MoveStage::Stopping
                }
            }
            (MoveStage::Ready, MoveEvent::Launched) => MoveStage::Launching,
            (MoveStage::Launching, MoveEvent::Running { task }) => {
                for task_move in
                    self.task_moves.iter_mut().filter(|task_move| task_move.task == task)
                {
                    task_move.running = true;
                }
                if self.task_moves.iter().all(|task_move| task_move.running) {
                    MoveStage::Settled
                } else {
                    MoveStage::Launching
                }
            }
            (stage, MoveEvent::Tick) => self.check_timeout(now, stage),
            (stage, _) => stage,
        }
    }

    /// The stage after a tick: abandoned, if the present one has lasted too long.
    fn check_timeout(&self, now: Millis, stage: MoveStage) -> MoveStage {
        let (timeout_ms, reason) = match stage {
            MoveStage::Reserved => (RESERVATION_TIMEOUT_MS, AbandonReason::StopNotSent),
            MoveStage::Stopping => {
                (self.save_ms.saturating_add(STOP_TIMEOUT_MARGIN_MS), AbandonReason::StopTimedOut)
            }
            MoveStage::Ready => (RESERVATION_TIMEOUT_MS, AbandonReason::TargetFull),
            MoveStage::Launching => (LAUNCH_TIMEOUT_MS, AbandonReason::StartTimedOut),
            MoveStage::Settled | MoveStage::Abandoned(_) => return stage,
        };
        if now >= self.since.saturating_add(timeout_ms) {
            MoveStage::Abandoned(reason)
        } else {
            stage
        }
    }

    /// What is reserved on a machine for this move.
    pub fn reserved_on(&self, machine: &str) -> Resources {
        if !self.stage.reserves_targets() {
            return Resources::default();
        }
        let task_moves = self.task_moves.iter().filter(|task_move| *task_move.target == *machine);
        task_moves.fold(Resources::default(), |sum, task_move| sum.plus(&task_move.demand))
    }

    /// What is still in use on a machine and will come free.
    pub fn leaving_from(&self, machine: &str) -> Resources {
        if !matches!(self.stage, MoveStage::Reserved | MoveStage::Stopping) {
            return Resources::default();
        }
        let task_moves = self
            .task_moves
            .iter()
            .filter(|task_move| *task_move.source == *machine && !task_move.ended);
        task_moves.fold(Resources::default(), |sum, task_move| sum.plus(&task_move.demand))
    }

    /// The machines that take part.
    pub fn machines(&self) -> impl Iterator<Item = &Arc<str>> {
        self.task_moves.iter().flat_map(|task_move| [&task_move.source, &task_move.target])
    }
}
