//! Checks whether a job can ever run on this cluster.

use std::collections::HashSet;

use latchtrack_core::job::JobSpec;
use latchtrack_core::machine::MachineType;
use latchtrack_core::placement;
use latchtrack_core::scheduler::Team;

use crate::actors::messages::admission::InfeasibleJob;

/// Rounding error by which a demand may exceed a team's limit, in CPUs or GPUs.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Returns an error if the team limits or the machine types mean that the job can never run.
pub(super) fn check_feasible(
    spec: &JobSpec,
    teams: &[Team],
    types: &[MachineType],
) -> Result<(), InfeasibleJob> {
    let Some(team) = teams.iter().find(|team| team.name == spec.team) else {
        return Err(InfeasibleJob::UnknownTeam(spec.team.clone()));
    };
    let offers = placement::offers(spec, types, 0);
    if offers.is_empty() {
        return Err(InfeasibleJob::NoMachineType);
    }
    // All tasks of a gang run at the same time.
    let tasks_at_once = if spec.gang { f64::from(spec.tasks) } else { 1.0 };
    let exceeds =
        |need: f64, limit: f64| limit > 0.0 && need * tasks_at_once > limit + ROUNDING_TOLERANCE;
    if exceeds(spec.demand.cpus, team.cpus_max) || exceeds(spec.demand.gpus, team.gpus_max) {
        let team = team.name.clone();
        return Err(if spec.gang {
            InfeasibleJob::GangAboveTeamLimit(team)
        } else {
            InfeasibleJob::TaskAboveTeamLimit(team)
        });
    }
    let zones: HashSet<&str> = offers.iter().map(|offer| offer.zone.as_str()).collect();
    // All tasks of a spread gang run at the same time, at most half of them in one zone.
    if spec.gang && spec.spread && spec.tasks > 1 && (spec.one_zone || zones.len() < 2) {
        return Err(InfeasibleJob::SpreadGangInOneZone);
    }
    Ok(())
}
