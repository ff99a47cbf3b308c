//! What a scheduling cycle carries from job to job.

use super::team_limits::UsageByTeam;
use crate::job::Demand;
use crate::placement::FreeCapacity;

/// What one round of placing carries from job to job.
pub(super) struct SchedulingCycle {
    pub rooms: Vec<FreeCapacity>,
    pub total: Demand,
    pub searches: Vec<ClassSearch>,
    /// What teams use, if any has a limit.
    pub used: UsageByTeam,
    /// The same with what this round counts on machines that are on their way.
    pub expected: UsageByTeam,
}

/// What one round found of a shape.
#[derive(Clone, Copy, Default)]
pub(super) struct ClassSearch {
    /// No ready room, no promised room, nothing to rent; room is held for it.
    pub no_ready: bool,
    pub no_pending: bool,
    pub no_offer: bool,
    pub held: bool,
    /// No room is left that is kept for others either.
    pub no_reserved: bool,
    /// Waiting tasks of the jobs not yet looked at.
    pub to_come: u32,
}
