//! Response to a status request of an operator.

use std::collections::BTreeMap;

use latchtrack_core::scheduler::BalanceSummary;
use latchtrack_quota::{Allotment, MilliResources, TeamSummary};
use serde::{Deserialize, Serialize};

/// A node's view of itself and, if it leads, of the cluster.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct NodeView {
    /// Whether the state service serves this node.
    pub served: bool,
    /// Name of the leader, as far as this node knows.
    pub leader: Option<String>,
    /// The cluster, present only on the leader. The serialized name is that of the first version,
    /// because nodes of different versions exchange this view during an upgrade.
    #[serde(rename = "picture", skip_serializing_if = "Option::is_none")]
    pub cluster: Option<ClusterView>,
}

/// The cluster as its leader sees it.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct ClusterView {
    /// Fencing token of the term.
    pub token: u64,
    /// Whether the leader may act now: its lease is valid and its job cache is up to date.
    pub acting: bool,
    /// Number of machines that send heartbeats.
    pub machines_up: usize,
    /// Number of provisioned machines that are not up yet.
    pub machines_booting: usize,
    /// Number of booting machines that should be up by now.
    pub machines_late: usize,
    /// Number of unreconciled machines: taken over by this leader, but without a heartbeat yet.
    #[serde(rename = "machines_unsettled")]
    pub machines_unreconciled: usize,
    /// Machine types and zones where most boots are late.
    pub late_boots: Vec<String>,
    /// Zones that are considered unreachable.
    #[serde(rename = "quiet_zones")]
    pub unreachable_zones: Vec<String>,
    /// Number of jobs that are neither done nor cancelled.
    pub jobs_open: usize,
    /// Number of open gangs. Versions before 0.2 run their tasks independently, so this must be 0
    /// before a downgrade to one of them. They don't report this field.
    #[serde(default)]
    pub gangs_open: usize,
    /// Quarantined jobs: jobs that have had nothing but failures. The serialized name is that of
    /// the first version.
    #[serde(rename = "jobs_in_doubt")]
    pub quarantined_jobs: Vec<String>,
    /// Number of tasks that are not assigned to a machine.
    pub tasks_waiting: u64,
    /// CPUs of the machines that are up.
    pub cpus: f64,
    /// CPUs of the running tasks.
    pub cpus_running: f64,
    /// Load balance of the cluster; absent if load balancing is off, and in versions before 0.3.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub balance: Option<BalanceView>,
    /// Teams that cells share; absent if this deployment is the only cell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Vec<TeamQuotaView>>,
}

/// Quota of a team that cells share.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct TeamQuotaView {
    /// Name of the team.
    pub team: String,
    /// Why no task of the team is launched; absent if launches are allowed.
    #[serde(rename = "trouble", default, skip_serializing_if = "Option::is_none")]
    pub problem: Option<String>,
    /// Whether the stored limit or guarantee, which takes precedence, differs from this cell's
    /// settings.
    pub differs_from_file: bool,
    /// Amounts that all cells together may use.
    pub limit: AmountsView,
    /// Amounts that are guaranteed to the team.
    pub guarantee: AmountsView,
    /// Amounts in use on machines of this cell.
    pub used_here: AmountsView,
    /// Amounts that this cell may currently use.
    pub launch_limit_here: AmountsView,
    /// Allotments by cell name.
    pub cells: BTreeMap<String, AllotmentView>,
}

/// Amounts of CPUs and GPUs; in a limit, 0 means no limit.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq)]
pub struct AmountsView {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
}

impl From<MilliResources> for AmountsView {
    fn from(amounts: MilliResources) -> Self {
        AmountsView { cpus: amounts.cpus(), gpus: amounts.gpus() }
    }
}

/// A cell's allotment from a team's limit, and its pending request.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct AllotmentView {
    /// Amounts allotted to the cell.
    pub allotted: AmountsView,
    /// Unix time of the last change, in ms.
    pub since_ms: u64,
    /// Total amounts that the cell requests, if a request is pending.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wants: Option<AmountsView>,
    /// Number of the request; requests are served in the order of their numbers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<u64>,
}

impl From<Allotment> for AllotmentView {
    fn from(allotment: Allotment) -> Self {
        AllotmentView {
            allotted: allotment.amount.into(),
            since_ms: allotment.since_ms,
            wants: allotment.request.as_ref().map(|request| request.want.into()),
            ticket: allotment.request.map(|request| request.number),
        }
    }
}

impl From<TeamSummary> for TeamQuotaView {
    fn from(summary: TeamSummary) -> Self {
        let cells = summary.cells.into_iter();
        TeamQuotaView {
            team: summary.team,
            problem: summary.problem,
            differs_from_file: summary.settings_differ,
            limit: summary.limit.total().into(),
            guarantee: summary.guarantee.into(),
            used_here: summary.used.into(),
            launch_limit_here: summary.launch_limit.into(),
            cells: cells.map(|(cell, allotment)| (cell, allotment.into())).collect(),
        }
    }
}

/// Load distribution over the machines, and the moves that even it out.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct BalanceView {
    /// Ratio of the highest load to the mean, in the machine pool where it is largest.
    pub spread: f64,
    /// Highest load in the pool of `spread`, as a fraction of a machine.
    pub greatest_load: f64,
    /// Mean load in the pool of `spread`, as a fraction of a machine.
    pub mean_load: f64,
    /// Number of machines above the load bound that have movable tasks.
    pub machines_over_bound: usize,
    /// Teams that exceed their share while other teams wait.
    pub hot_teams: Vec<String>,
    /// Moves in progress, each with its stage and reason.
    pub moves: Vec<String>,
    /// The most recent finished moves, each with its outcome and reason.
    pub recent_moves: Vec<String>,
    /// Number of moves started in this term.
    pub moves_begun: u64,
    /// Number of moves completed in this term: the task runs on the target machine.
    pub moves_settled: u64,
    /// Number of moves abandoned in this term.
    pub moves_abandoned: u64,
}

impl From<BalanceSummary> for BalanceView {
    fn from(summary: BalanceSummary) -> Self {
        BalanceView {
            spread: summary.spread.ratio(),
            greatest_load: summary.spread.greatest,
            mean_load: summary.spread.mean,
            machines_over_bound: summary.over_bound,
            hot_teams: summary.hot_teams,
            moves: summary.moves,
            recent_moves: summary.recent,
            moves_begun: summary.counts.begun,
            moves_settled: summary.counts.settled,
            moves_abandoned: summary.counts.abandoned,
        }
    }
}
