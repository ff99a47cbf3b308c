//! What operators are told of load balancing: the summary for `latchtrack status`, and lines for
//! the log.

use latchtrack_balance::balancer::MoveCounts;
use latchtrack_balance::moves::{Move, MoveStage, MoveUnit};
use latchtrack_balance::resources::Resources;
use latchtrack_balance::spread::Spread;

use super::super::log_events::LogEvent;
use super::super::messages::Effect;
use super::super::Scheduler;
use crate::job::{JobId, TaskId};
use crate::Millis;

/// The balance of the cluster, for an operator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BalanceSummary {
    /// The spread of the pool in which it is greatest.
    pub spread: Spread,
    /// Machines over the bound of their pool.
    pub over_bound: usize,
    /// Teams that have asked for more than their share for some time.
    pub hot_teams: Vec<String>,
    /// Moves under way, each in one line.
    pub moves: Vec<String>,
    /// The last moves that are over, each in one line.
    pub recent: Vec<String>,
    /// Moves of this term.
    pub counts: MoveCounts,
}

impl Scheduler {
    /// The balance of the cluster; None while all of load balancing is switched off.
    pub fn balance_summary(&self) -> Option<BalanceSummary> {
        let policy = &self.policy.balance;
        if !policy.observes_loads() && !policy.teams {
            return None;
        }
        let balancer = &self.load_balancing.balancer;
        let spreads = balancer.spreads().values().copied();
        let greatest = spreads.max_by(|a, b| a.ratio().total_cmp(&b.ratio()));
        Some(BalanceSummary {
            spread: greatest.unwrap_or_default(),
            over_bound: balancer.over_bound(),
            hot_teams: self.load_balancing.arrivals.hot_teams(),
            moves: balancer.moves().iter().map(describe_move).collect(),
            recent: balancer.recent().map(describe_move).collect(),
            counts: balancer.counts(),
        })
    }

    /// Logs the balance of the cluster, once a minute.
    pub(super) fn log_balance_summary(&mut self, now: Millis) {
        if !self.load_balancing.begin_summary_log(now) {
            return;
        }
        let Some(summary) = self.balance_summary() else { return };
        self.effects.push(Effect::Log(LogEvent::Balance(Box::new(summary))));
    }

    /// Logs that a move begins.
    pub(super) fn log_move_begun(&mut self, begun: &Move) {
        let description = describe_move(begun);
        self.effects.push(Effect::Log(LogEvent::MoveStarted { description }));
    }

    /// Logs that a move is over, with its last stage.
    pub(super) fn log_move_over(&mut self, unit: MoveUnit, stage: MoveStage) {
        let unit = describe_unit(unit);
        self.effects.push(Effect::Log(LogEvent::MoveEnded { unit, stage }));
    }

    /// Logs a machine type whose machines have invalid amounts, once in a term.
    pub(super) fn log_invalid_type(&mut self, machine_type: String, used: &Resources) {
        if self.load_balancing.invalid_types.insert(machine_type.clone()) {
            let used = *used;
            self.effects.push(Effect::Log(LogEvent::InvalidLoad { machine_type, used }));
        }
    }
}

fn describe_unit(unit: MoveUnit) -> String {
    match unit.task {
        Some(index) => TaskId { job: JobId(unit.job), index }.to_string(),
        None => format!("gang {}", JobId(unit.job)),
    }
}

/// A move in one line, as `latchtrack status` prints it.
fn describe_move(described: &Move) -> String {
    let machines: Vec<String> = described
        .task_moves
        .iter()
        .map(|task_move| format!("{} to {}", task_move.source, task_move.target))
        .collect();
    format!(
        "{} from {}, {} (load {:.2}, bound {:.2})",
        describe_unit(described.unit),
        machines.join(", "),
        described.stage,
        described.load,
        described.bound
    )
}
