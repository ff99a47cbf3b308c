//! The life of one move: from the reserved target to the task that runs there.
//!
//! ```text
//! Reserved --stop sent--> Stopping --every task_move ended--> Ready --launched--> Launching --runs--> Settled
//!     \_________________________\________________________\______________________\--> Abandoned
//! ```
//!
//! A move owns nothing but the room that it keeps free on its targets. Whoever stops and launches decides by
//! the reports of the machines alone; a move that is abandoned, or lost with its leader, costs the task a
//! place in the queue and nothing else.

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
    /// What it takes of either.
    pub demand: Resources,
    /// Off its source without a result.
    pub ended: bool,
    /// Seen to run on its target.
    pub runs: bool,
}

/// Where a move stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveStage {
    /// Room is kept on every target; nothing has been stopped.
    Reserved,
    /// The tasks were told to save and stop.
    Stopping,
    /// All of them are off their sources.
    Ready,
    /// They were launched on their targets.
    Launching,
    /// They run there.
    Settled,
    /// The tasks go the ordinary way.
    Abandoned(AbandonReason),
}

impl MoveStage {
    /// Whether the move is over.
    pub fn is_final(self) -> bool {
        matches!(self, MoveStage::Settled | MoveStage::Abandoned(_))
    }

    /// Whether its targets must keep room: once the tasks are launched they take it themselves.
    fn keeps_room(self) -> bool {
        matches!(self, MoveStage::Reserved | MoveStage::Stopping | MoveStage::Ready)
    }
}

/// Why a move was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonReason {
    /// A target may take no tasks any more: lost, silent, deaf, slow, or to be taken back.
    TargetLost,
    /// A target has less room than was reserved.
    TargetFull,
    /// The job may not start there, by its zone, type or kind of machine.
    ConstraintViolated,
    /// Its team's limit leaves no room.
    TeamLimit,
    /// A source fell silent or is to be given back, which ends its tasks in another way.
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
    /// At which end a machine was in the way; None if it was the job itself, or its team.
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

/// What happens to a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveEvent {
    /// Every task has been told to save and stop.
    StopSent,
    /// A task is off its source without a result.
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
    /// It can't go on.
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
    /// When it came into its stage.
    pub since: Millis,
    /// ms that its tasks take to save.
    pub save_ms: Millis,
    /// The load of the busiest source when it was planned, in parts of a machine.
    pub load: f64,
    /// The bound that the source was over.
    pub bound: f64,
}

impl Move {
    /// Takes in what happened; true if the stage changed. An event that does not belong to the stage, a
    /// repeated or late one, changes nothing.
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
                match self.task_moves.iter().all(|task_move| task_move.ended) {
                    true => MoveStage::Ready,
                    false => MoveStage::Stopping,
                }
            }
            (MoveStage::Ready, MoveEvent::Launched) => MoveStage::Launching,
            (MoveStage::Launching, MoveEvent::Running { task }) => {
                for task_move in
                    self.task_moves.iter_mut().filter(|task_move| task_move.task == task)
                {
                    task_move.runs = true;
                }
                match self.task_moves.iter().all(|task_move| task_move.runs) {
                    true => MoveStage::Settled,
                    false => MoveStage::Launching,
                }
            }
            (stage, MoveEvent::Tick) => self.overdue(now, stage),
            (stage, _) => stage,
        }
    }

    fn overdue(&self, now: Millis, stage: MoveStage) -> MoveStage {
        let (most_ms, reason) = match stage {
            MoveStage::Reserved => (RESERVATION_TIMEOUT_MS, AbandonReason::StopNotSent),
            MoveStage::Stopping => {
                (self.save_ms.saturating_add(STOP_TIMEOUT_MARGIN_MS), AbandonReason::StopTimedOut)
            }
            MoveStage::Ready => (RESERVATION_TIMEOUT_MS, AbandonReason::TargetFull),
            MoveStage::Launching => (LAUNCH_TIMEOUT_MS, AbandonReason::StartTimedOut),
            MoveStage::Settled | MoveStage::Abandoned(_) => return stage,
        };
        match now >= self.since.saturating_add(most_ms) {
            true => MoveStage::Abandoned(reason),
            false => stage,
        }
    }

    /// What must be kept free on a machine for this move.
    pub fn reserved_on(&self, machine: &str) -> Resources {
        if !self.stage.keeps_room() {
            return Resources::default();
        }
        let task_moves = self.task_moves.iter().filter(|task_move| *task_move.target == *machine);
        task_moves.fold(Resources::default(), |sum, task_move| sum.plus(&task_move.demand))
    }

    /// What will come free on a machine that is still in use there.
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
