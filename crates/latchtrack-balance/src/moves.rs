//! The life of one move: from the reserved target to the task that runs there.
//!
//! ```text
//! Reserved --stop sent--> Stopping --every leg ended--> Ready --launched--> Launching --runs--> Settled
//!     \_________________________\________________________\______________________\--> Abandoned
//! ```
//!
//! A move owns nothing but the room that it keeps free on its targets. Whoever stops and launches decides by
//! the reports of the machines alone; a move that is abandoned, or lost with its leader, costs the task a
//! place in the queue and nothing else.

use std::fmt;
use std::sync::Arc;

use crate::amounts::Amounts;
use crate::constants::{LAUNCH_MOST_MS, RESERVED_MOST_MS, STOP_LATE_MS};
use crate::Millis;

/// What moves as one: a task of an array, or all tasks of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnitId {
    /// The job.
    pub job: u64,
    /// None for a whole gang.
    pub task: Option<u32>,
}

impl UnitId {
    /// Whether a task belongs to this unit.
    pub fn covers(&self, job: u64, task: u32) -> bool {
        self.job == job && self.task.is_none_or(|own| own == task)
    }
}

/// One task of a move.
#[derive(Clone, Debug, PartialEq)]
pub struct Leg {
    /// Index of the task in its job.
    pub task: u32,
    /// The machine that it leaves.
    pub source: Arc<str>,
    /// The machine that it goes to.
    pub target: Arc<str>,
    /// What it takes of either.
    pub demand: Amounts,
    /// Off its source without a result.
    pub ended: bool,
    /// Seen to run on its target.
    pub runs: bool,
}

/// Where a move stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
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
    Abandoned(Reason),
}

impl Stage {
    /// Whether the move is over.
    pub fn is_final(self) -> bool {
        matches!(self, Stage::Settled | Stage::Abandoned(_))
    }

    /// Whether its targets must keep room: once the tasks are launched they take it themselves.
    fn keeps_room(self) -> bool {
        matches!(self, Stage::Reserved | Stage::Stopping | Stage::Ready)
    }
}

/// Why a move was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A target may take no tasks any more: lost, silent, deaf, slow, or to be taken back.
    TargetLost,
    /// A target has less room than was reserved.
    TargetFull,
    /// The job may not start there, by its zone, type or kind of machine.
    NotAllowed,
    /// Its team's limit leaves no room.
    TeamLimit,
    /// A source fell silent or is to be given back, which ends its tasks in another way.
    SourceLost,
    /// The stop did not end in time.
    StopLate,
    /// The stop could not be sent.
    NotStopped,
    /// The tasks were not seen to run in time.
    NotStarted,
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

impl Reason {
    /// At which end a machine was in the way; None if it was the job itself, or its team.
    pub fn side(self) -> Option<Side> {
        match self {
            Reason::SourceLost | Reason::StopLate | Reason::NotStopped => Some(Side::Source),
            Reason::TargetLost | Reason::TargetFull | Reason::NotStarted => Some(Side::Target),
            Reason::NotAllowed | Reason::TeamLimit | Reason::JobOver | Reason::Completed => None,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::TargetLost => "target lost",
            Reason::TargetFull => "target full",
            Reason::NotAllowed => "not allowed on the target",
            Reason::TeamLimit => "team at its limit",
            Reason::SourceLost => "source lost",
            Reason::StopLate => "stop late",
            Reason::NotStopped => "stop not sent",
            Reason::NotStarted => "not seen to run",
            Reason::JobOver => "job over",
            Reason::Completed => "completed first",
        })
    }
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Stage::Reserved => f.write_str("reserved"),
            Stage::Stopping => f.write_str("stopping"),
            Stage::Ready => f.write_str("ready"),
            Stage::Launching => f.write_str("launching"),
            Stage::Settled => f.write_str("settled"),
            Stage::Abandoned(reason) => write!(f, "abandoned: {reason}"),
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
    Runs {
        /// Its index.
        task: u32,
    },
    /// It can't go on.
    Failed(Reason),
    /// Time passes.
    Tick,
}

/// A move of a task or a whole gang.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// What moves.
    pub unit: UnitId,
    /// Each of its tasks.
    pub legs: Vec<Leg>,
    /// How far it has come.
    pub stage: Stage,
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

    fn next_stage(&mut self, now: Millis, event: MoveEvent) -> Stage {
        match (self.stage, event) {
            (stage, _) if stage.is_final() => stage,
            (_, MoveEvent::Failed(reason)) => Stage::Abandoned(reason),
            (Stage::Reserved, MoveEvent::StopSent) => Stage::Stopping,
            (Stage::Stopping, MoveEvent::Ended { task }) => {
                for leg in self.legs.iter_mut().filter(|leg| leg.task == task) {
                    leg.ended = true;
                }
                match self.legs.iter().all(|leg| leg.ended) {
                    true => Stage::Ready,
                    false => Stage::Stopping,
                }
            }
            (Stage::Ready, MoveEvent::Launched) => Stage::Launching,
            (Stage::Launching, MoveEvent::Runs { task }) => {
                for leg in self.legs.iter_mut().filter(|leg| leg.task == task) {
                    leg.runs = true;
                }
                match self.legs.iter().all(|leg| leg.runs) {
                    true => Stage::Settled,
                    false => Stage::Launching,
                }
            }
            (stage, MoveEvent::Tick) => self.overdue(now, stage),
            (stage, _) => stage,
        }
    }

    fn overdue(&self, now: Millis, stage: Stage) -> Stage {
        let (most_ms, reason) = match stage {
            Stage::Reserved => (RESERVED_MOST_MS, Reason::NotStopped),
            Stage::Stopping => (self.save_ms.saturating_add(STOP_LATE_MS), Reason::StopLate),
            Stage::Ready => (RESERVED_MOST_MS, Reason::TargetFull),
            Stage::Launching => (LAUNCH_MOST_MS, Reason::NotStarted),
            Stage::Settled | Stage::Abandoned(_) => return stage,
        };
        match now >= self.since.saturating_add(most_ms) {
            true => Stage::Abandoned(reason),
            false => stage,
        }
    }

    /// What must be kept free on a machine for this move.
    pub fn reserved_on(&self, machine: &str) -> Amounts {
        if !self.stage.keeps_room() {
            return Amounts::default();
        }
        let legs = self.legs.iter().filter(|leg| *leg.target == *machine);
        legs.fold(Amounts::default(), |sum, leg| sum.plus(&leg.demand))
    }

    /// What will come free on a machine that is still in use there.
    pub fn leaving_from(&self, machine: &str) -> Amounts {
        if !matches!(self.stage, Stage::Reserved | Stage::Stopping) {
            return Amounts::default();
        }
        let legs = self.legs.iter().filter(|leg| *leg.source == *machine && !leg.ended);
        legs.fold(Amounts::default(), |sum, leg| sum.plus(&leg.demand))
    }

    /// The machines that take part.
    pub fn machines(&self) -> impl Iterator<Item = &Arc<str>> {
        self.legs.iter().flat_map(|leg| [&leg.source, &leg.target])
    }
}
