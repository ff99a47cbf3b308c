//! The state machine of a move, from the reservation of its targets until its tasks run there.
//!
//! ```text
//! Reserved -stop sent-> Stopping -all ended-> Ready -launched-> Launching -all run-> Settled
//!     \______________________\___________________\__________________\--> Abandoned
//! ```
//!
//! A move holds nothing but the capacity that it reserves on its targets. Whether its tasks have
//! stopped or started is known only from the heartbeats of the machines. If a move is abandoned, or
//! lost in a failover, its tasks lose at most their place in the queue.

use std::fmt;
use std::sync::Arc;

use crate::constants::{LAUNCH_TIMEOUT_MS, RESERVATION_TIMEOUT_MS, STOP_TIMEOUT_MARGIN_MS};
use crate::resources::Resources;
use crate::Millis;

/// What is moved as a whole: a task of an array job, or all tasks of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MoveUnit {
    /// Number of the job.
    pub job: u64,
    /// Index of the task in its job; `None` for a whole gang.
    pub task: Option<u32>,
}

impl MoveUnit {
    /// Whether a task of a job belongs to this unit.
    pub fn covers(&self, job: u64, task: u32) -> bool {
        self.job == job && self.task.is_none_or(|own| own == task)
    }
}

/// The move of one task, as part of a [`Move`].
#[derive(Clone, Debug, PartialEq)]
pub struct TaskMove {
    /// Index of the task in its job.
    pub task: u32,
    /// Name of the machine that the task leaves.
    pub source: Arc<str>,
    /// Name of the machine that the task moves to.
    pub target: Arc<str>,
    /// Resources that the task uses on either machine.
    pub demand: Resources,
    /// Whether the task has stopped on its source without completing.
    pub ended: bool,
    /// Whether the task has been seen to run on its target.
    pub running: bool,
}

/// The stage of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveStage {
    /// Capacity is reserved on every target; no task has been told to stop.
    Reserved,
    /// The tasks have been told to save their checkpoints and stop.
    Stopping,
    /// All tasks have stopped on their sources.
    Ready,
    /// The tasks have been launched on their targets.
    Launching,
    /// All tasks run on their targets.
    Settled,
    /// The move has failed. Its tasks keep running where they are, or wait in the queue.
    Abandoned(AbandonReason),
}

impl MoveStage {
    /// Whether the move is over, so that no event changes it any more.
    pub fn is_final(self) -> bool {
        matches!(self, MoveStage::Settled | MoveStage::Abandoned(_))
    }

    /// Whether capacity is reserved on the targets. Tasks that have been launched use the capacity
    /// themselves.
    fn reserves_targets(self) -> bool {
        matches!(self, MoveStage::Reserved | MoveStage::Stopping | MoveStage::Ready)
    }
}

/// Why a move was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonReason {
    /// A target accepts no tasks: it is lost, silent, unreachable, slow, or about to be
    /// terminated.
    TargetLost,
    /// A target has too little free capacity, or the launch was not made in time.
    TargetFull,
    /// The job's constraints on zones, machine types or spot machines rule out a target.
    ConstraintViolated,
    /// The job's team is at its limit.
    TeamLimit,
    /// A source is silent or about to be terminated, so its tasks end without this move.
    SourceLost,
    /// The tasks did not stop in time.
    StopTimedOut,
    /// The stop could not be requested, or was not requested in time.
    StopNotSent,
    /// The tasks were not seen to run in time.
    StartTimedOut,
    /// The job is over, or a task is already placed on another machine.
    JobOver,
    /// A task completed before it stopped.
    Completed,
}

/// The source or the target machines of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveSide {
    /// The machines that tasks leave.
    Source,
    /// The machines that tasks move to.
    Target,
}

impl AbandonReason {
    /// Returns the side whose machine caused the move to fail; `None` if the job or its team did.
    pub fn faulty_side(self) -> Option<MoveSide> {
        match self {
            AbandonReason::SourceLost
            | AbandonReason::StopTimedOut
            | AbandonReason::StopNotSent => Some(MoveSide::Source),
            AbandonReason::TargetLost
            | AbandonReason::TargetFull
            | AbandonReason::StartTimedOut => Some(MoveSide::Target),
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

/// An event that may change the stage of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveEvent {
    /// All tasks have been told to save their checkpoints and stop.
    StopSent,
    /// A task has stopped on its source without completing.
    Ended {
        /// Index of the task in its job.
        task: u32,
    },
    /// All tasks have been launched on their targets, as a new attempt.
    Launched,
    /// A task has been seen to run on its target.
    Running {
        /// Index of the task in its job.
        task: u32,
    },
    /// The move can't be continued.
    Failed(AbandonReason),
    /// Time has passed: the stage may have timed out.
    Tick,
}

/// A move of a task or a whole gang.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// The task or gang that is moved.
    pub unit: MoveUnit,
    /// Moves of the individual tasks.
    pub task_moves: Vec<TaskMove>,
    /// Current stage.
    pub stage: MoveStage,
    /// Time at which the current stage began, in ms.
    pub since: Millis,
    /// ms that the tasks take to save their checkpoints.
    pub save_ms: Millis,
    /// Load of the source that the move was planned to relieve, as a share of the machine.
    pub load: f64,
    /// Bound that the load of this source exceeded.
    pub bound: f64,
}

impl Move {
    /// Handles an event and returns whether the stage has changed. Events that do not apply to the
    /// current stage, such as repeated or late ones, are ignored.
    pub fn handle(&mut self, now: Millis, event: MoveEvent) -> bool {
        let previous = self.stage;
        self.stage = self.next_stage(now, event);
        if self.stage != previous {
            self.since = now;
        }
        self.stage != previous
    }

    /// Applies an event to the tasks of the move and returns the resulting stage.
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

    /// Returns the stage after a tick: abandoned if the current stage has timed out.
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

    /// Returns the resources that this move reserves on a machine.
    pub fn reserved_on(&self, machine: &str) -> Resources {
        if !self.stage.reserves_targets() {
            return Resources::default();
        }
        let task_moves = self.task_moves.iter().filter(|task_move| *task_move.target == *machine);
        task_moves.fold(Resources::default(), |sum, task_move| sum.plus(&task_move.demand))
    }

    /// Returns the resources on a machine that this move has yet to free by stopping tasks.
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

    /// Iterates over the sources and targets. A machine with several tasks is repeated.
    pub fn machines(&self) -> impl Iterator<Item = &Arc<str>> {
        self.task_moves.iter().flat_map(|task_move| [&task_move.source, &task_move.target])
    }
}
