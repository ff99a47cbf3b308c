//! Reports on load balancing for operators: the summary shown by `latchtrack status`, and log
//! lines.

use latchtrack_balance::balancer::MoveCounts;
use latchtrack_balance::moves::{Move, MoveStage, MoveUnit};
use latchtrack_balance::resources::Resources;
use latchtrack_balance::spread::Spread;

use super::super::log_events::LogEvent;
use super::super::messages::Effect;
use super::super::Scheduler;
use crate::job::{JobId, TaskId};
use crate::Millis;

/// A summary of the balance of the cluster, for operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BalanceSummary {
    /// The spread of the least balanced pool.
    pub spread: Spread,
    /// The number of machines above the bound of their pool.
    pub over_bound: usize,
    /// Teams that have asked for more than their share for some time.
    pub hot_teams: Vec<String>,
    /// Moves in progress, one line each.
    pub moves: Vec<String>,
    /// The most recent moves that have ended, one line each.
    pub recent: Vec<String>,
    /// The number of moves in this term, by outcome.
    pub counts: MoveCounts,
}

impl Scheduler {
    /// Returns a summary of the balance of the cluster; `None` if all of load balancing is
    /// disabled.
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

    /// Logs the balance of the cluster if the log interval has passed.
    pub(super) fn log_balance_summary(&mut self, now: Millis) {
        if !self.load_balancing.begin_summary_log(now) {
            return;
        }
        let Some(summary) = self.balance_summary() else { return };
        self.effects.push(Effect::Log(LogEvent::Balance(Box::new(summary))));
    }

    /// Logs that a move has begun.
    pub(super) fn log_move_started(&mut self, new_move: &Move) {
        let description = describe_move(new_move);
        self.effects.push(Effect::Log(LogEvent::MoveStarted { description }));
    }

    /// Logs that a move has ended, with its final stage.
    pub(super) fn log_move_ended(&mut self, unit: MoveUnit, stage: MoveStage) {
        let unit = describe_unit(unit);
        self.effects.push(Effect::Log(LogEvent::MoveEnded { unit, stage }));
    }

    /// Logs a machine type with invalid resource amounts, once per term.
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

/// Describes a move in one line, as printed by `latchtrack status`.
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
