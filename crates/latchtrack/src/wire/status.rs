//! What a node tells an operator who asks for its status.

use std::collections::BTreeMap;

use latchtrack_core::scheduler::BalanceSummary;
use latchtrack_quota::{Allotment, MilliResources, TeamSummary};
use serde::{Deserialize, Serialize};

/// A node's view of itself and, if it leads, of the cluster.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct NodeView {
    /// Whether the state service serves it.
    pub served: bool,
    /// Name of the node that leads, as far as it knows.
    pub leader: Option<String>,
    /// Only of a node that leads. The name on the wire is that of the first version, which nodes
    /// exchange during an upgrade.
    #[serde(rename = "picture", skip_serializing_if = "Option::is_none")]
    pub cluster: Option<ClusterView>,
}

/// The cluster as its leader sees it.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct ClusterView {
    /// Fencing token of the term.
    pub token: u64,
    /// Whether it may act now: its lease is valid and its job cache current.
    pub acting: bool,
    /// Machines of which heartbeats come.
    pub machines_up: usize,
    /// Machines that are provisioned and not up yet.
    pub machines_booting: usize,
    /// Of these, those that should be up.
    pub machines_late: usize,
    /// Unreconciled machines: of an earlier leader, not yet heard by this one.
    #[serde(rename = "machines_unsettled")]
    pub machines_unreconciled: usize,
    /// Types and zones of which most boots are late.
    pub late_boots: Vec<String>,
    /// Unreachable zones.
    #[serde(rename = "quiet_zones")]
    pub unreachable_zones: Vec<String>,
    /// Jobs that are neither done nor cancelled.
    pub jobs_open: usize,
    /// Of these, gangs: a version before 0.2 would run them task by task, so none may be open when
    /// nodes go back to one. Absent in what such a version answers.
    #[serde(default)]
    pub gangs_open: usize,
    /// Quarantined jobs: those that have shown nothing but failures. The name on the wire is that
    /// of the first version.
    #[serde(rename = "jobs_in_doubt")]
    pub quarantined_jobs: Vec<String>,
    /// Tasks that are not assigned to a machine.
    pub tasks_waiting: u64,
    /// CPUs of the machines that are up.
    pub cpus: f64,
    /// CPUs of the tasks that run on them.
    pub cpus_running: f64,
    /// The balance of the cluster; absent while nothing of it is switched on, and in what versions
    /// before 0.3 answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub balance: Option<BalanceView>,
    /// The teams that cells share; absent where this deployment has them alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Vec<TeamQuotaView>>,
}

/// A team that cells share; amounts in CPUs and GPUs.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct TeamQuotaView {
    /// Name of the team.
    pub team: String,
    /// Why nothing of it is launched, if so.
    #[serde(rename = "trouble", default, skip_serializing_if = "Option::is_none")]
    pub problem: Option<String>,
    /// Whether the stored limit or guarantee, which counts, is not that of this cell's file.
    pub differs_from_file: bool,
    /// What all cells together may use.
    pub limit: AmountsView,
    /// What the team gets in any case.
    pub guarantee: AmountsView,
    /// On machines of this cell.
    pub used_here: AmountsView,
    /// What this cell may use just now.
    pub launch_limit_here: AmountsView,
    /// The allotment of each cell.
    pub cells: BTreeMap<String, AllotmentView>,
}

/// CPUs and GPUs; 0 in a limit is none.
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

/// What a cell has of a team's limit, and requests.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct AllotmentView {
    /// What it may use.
    pub allotted: AmountsView,
    /// Time of day of the last change, ms.
    pub since_ms: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    /// What it requests to have in all, if it does.
    pub wants: Option<AmountsView>,
    /// Number of the request, by which requests are served in turn.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<u64>,
}

impl From<Allotment> for AllotmentView {
    fn from(account: Allotment) -> Self {
        AllotmentView {
            allotted: account.amount.into(),
            since_ms: account.since_ms,
            wants: account.request.as_ref().map(|request| request.want.into()),
            ticket: account.request.map(|request| request.number),
        }
    }
}

impl From<TeamSummary> for TeamQuotaView {
    fn from(summary: TeamSummary) -> Self {
        let cells = summary.cells.into_iter();
        TeamQuotaView {
            team: summary.team,
            problem: summary.trouble,
            differs_from_file: summary.differs,
            limit: summary.limit.total().into(),
            guarantee: summary.guarantee.into(),
            used_here: summary.used.into(),
            launch_limit_here: summary.launch_limit.into(),
            cells: cells.map(|(cell, account)| (cell, account.into())).collect(),
        }
    }
}

/// How evenly the machines are loaded, and what is done about it.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub struct BalanceView {
    /// The greatest load over the mean, in the machine pool where this is greatest.
    pub spread: f64,
    /// The greatest load there, as a fraction of a machine.
    pub greatest_load: f64,
    /// The mean load there, as a fraction of a machine.
    pub mean_load: f64,
    /// Machines above the bound that have tasks which may move.
    pub machines_over_bound: usize,
    /// Teams that use more than their share while others wait.
    pub hot_teams: Vec<String>,
    /// Moves under way, each with where it stands and why.
    pub moves: Vec<String>,
    /// The last moves that are over, each with how it ended and why.
    pub recent_moves: Vec<String>,
    /// Moves begun in this term.
    pub moves_begun: u64,
    /// Of these, those after which the task runs elsewhere.
    pub moves_settled: u64,
    /// Of these, those that were given up.
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
