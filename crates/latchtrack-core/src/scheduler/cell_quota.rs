//! This cell's share of the limits and guarantees that several cells share. The teams' usage is
//! passed to the quota allotments, whose launch limits restrict placement. docs/quota.md explains
//! why no limit is ever exceeded.

use std::collections::BTreeMap;

use latchtrack_quota::{
    AllotmentManager, AllotmentManagerSettings, LaunchLimit, LedgerSnapshot, LedgerWrite, Limit,
    LocalUsage, MilliResources, Notice, TeamQuota, TeamSummary, WriteOutcome,
};

use super::log_events::LogEvent;
use super::messages::Effect;
use super::policy::{Policy, Team};
use super::Scheduler;
use crate::job::{Job, JobSpec, Resources};
use crate::Millis;

/// What teams use and wait for, as needed for quota that cells share. Counts nothing if the teams
/// are not shared.
#[derive(Clone, Debug)]
pub(super) struct QuotaAccounting {
    /// The cell's allotments; `None` if the teams are not shared with other cells.
    allotments: Option<AllotmentManager>,
    /// Demand of the first starving job of each team in the current cycle.
    next_start_by_team: BTreeMap<String, MilliResources>,
    /// Resources of the tasks launched in this term, by team; never reduced.
    launched: BTreeMap<String, MilliResources>,
}

impl QuotaAccounting {
    /// Creates the accounting of a new leader; `term` is its fencing token.
    pub fn new(policy: &Policy, term: u64) -> Self {
        QuotaAccounting {
            allotments: new_allotment_manager(policy, term),
            next_start_by_team: BTreeMap::new(),
            launched: BTreeMap::new(),
        }
    }

    /// Whether cells share the teams.
    pub fn is_shared(&self) -> bool {
        self.allotments.is_some()
    }

    /// Returns what a team may use in this cell, if it has a shared limit.
    pub fn launch_limit(&self, team: &str) -> Option<LaunchLimit> {
        self.allotments.as_ref()?.launch_limit(team)
    }

    /// Returns this cell's part of a team's guarantee, if cells share the team.
    pub fn guarantee(&self, team: &str) -> Option<Resources> {
        let part = self.allotments.as_ref()?.guarantee(team)?;
        Some(Resources { cpus: part.cpus(), gpus: part.gpus(), memory_gb: 0.0 })
    }

    /// Starts a scheduling cycle: clears the demand of starving jobs, which the cycle records
    /// again.
    pub fn start_cycle(&mut self) {
        self.next_start_by_team.clear();
    }

    /// Records that tasks of a job are launched.
    pub fn note_launched(&mut self, spec: &JobSpec, tasks: u32) {
        if self.is_shared() {
            let launched = self.launched.entry(spec.team.clone()).or_default();
            *launched = launched.plus(demand_of(spec, tasks));
        }
    }

    /// Records that tasks of a starving job should start. Only the first such job of each team
    /// counts.
    pub fn note_next_to_start(&mut self, spec: &JobSpec, tasks: u32) {
        if self.is_shared() {
            self.next_start_by_team.entry(spec.team.clone()).or_insert(demand_of(spec, tasks));
        }
    }

    fn take_notices(&mut self) -> Vec<Notice> {
        self.allotments.as_mut().map(AllotmentManager::take_notices).unwrap_or_default()
    }
}

/// Creates the quota allotments of a new leader, if cells share the teams.
fn new_allotment_manager(policy: &Policy, term: u64) -> Option<AllotmentManager> {
    let cell = policy.quota_cell.clone()?;
    let quota = |team: &Team| TeamQuota {
        limit: Limit::of(team.cpus_max, team.gpus_max),
        guarantee: MilliResources::covering(team.cpus, team.gpus),
    };
    let teams = policy.teams.iter().map(|team| (team.name.clone(), quota(team))).collect();
    Some(AllotmentManager::new(AllotmentManagerSettings { cell, term, teams }))
}

/// Returns the resources of `tasks` tasks of a job, without memory.
fn demand_of(spec: &JobSpec, tasks: u32) -> MilliResources {
    let mut usage = Resources::default();
    usage.add_multiple(&spec.demand, tasks);
    MilliResources::covering(usage.cpus, usage.gpus)
}

/// Returns the resources that a job needs to start its next task; all of its tasks for a gang.
fn next_start_demand(job: &Job) -> MilliResources {
    let tasks = if job.spec.gang { job.spec.tasks } else { 1 };
    demand_of(&job.spec, tasks)
}

impl Scheduler {
    /// Handles a snapshot of the ledgers of all cells.
    pub(super) fn on_quota_observed(&mut self, now: Millis, snapshot: LedgerSnapshot) {
        let Some(allotments) = self.quota.allotments.as_mut() else { return };
        allotments.observe(now, snapshot);
        // Act on the snapshot at once, before other cells change the ledgers again.
        self.step_cell_quota(now);
    }

    /// Handles the outcome of a ledger write.
    pub(super) fn on_ledger_write_finished(
        &mut self,
        now: Millis,
        write: &LedgerWrite,
        outcome: WriteOutcome,
    ) {
        let Some(allotments) = self.quota.allotments.as_mut() else { return };
        allotments.handle_write_outcome(now, write, outcome);
        self.log_quota_notices();
    }

    /// Requests, accepts and releases quota according to the teams' current usage. Placement
    /// follows and stays within the resulting limits.
    pub(super) fn step_cell_quota(&mut self, now: Millis) {
        if !self.quota.is_shared() {
            return;
        }
        let usage_by_team = self.local_usage(now);
        let Some(allotments) = self.quota.allotments.as_mut() else { return };
        let writes = allotments.step(now, &usage_by_team);
        self.effects.extend(writes.into_iter().map(Effect::WriteLedger));
        self.log_quota_notices();
    }

    /// Returns the status of the shared teams, for operators; `None` if the teams are not shared.
    pub fn quota_summary(&self) -> Option<Vec<TeamSummary>> {
        self.quota.allotments.as_ref().map(AllotmentManager::summary)
    }

    fn log_quota_notices(&mut self) {
        let notices = self.quota.take_notices();
        if !notices.is_empty() {
            self.cycle_timer.request();
        }
        self.effects.extend(notices.into_iter().map(|notice| Effect::Log(LogEvent::Quota(notice))));
    }

    /// Returns what each team uses and waits for in this cell.
    fn local_usage(&self, now: Millis) -> BTreeMap<String, LocalUsage> {
        let mut usage_by_team = self.usage_of_live_runs();
        let mut oldest: BTreeMap<&str, &Job> = BTreeMap::new();
        // A job in backoff requests no quota.
        let is_waiting = |job: &&Job| job.schedulable_tasks() > 0 && job.backoff_until <= now;
        for job in self.jobs.values().filter(is_waiting) {
            let team = job.spec.team.as_str();
            let Some(usage) = usage_by_team.get_mut(team) else { continue };
            usage.waiting = usage.waiting.plus(demand_of(&job.spec, job.schedulable_tasks()));
            if job.is_quarantined {
                // The job may use available quota, but none is requested for its start.
                continue;
            }
            let first = oldest.entry(team).or_insert(job);
            if (job.submitted_at, job.spec.id) < (first.submitted_at, first.spec.id) {
                *first = job;
            }
        }
        for (team, job) in oldest {
            let next_start_of_starving = self.quota.next_start_by_team.get(team).copied();
            if let Some(usage) = usage_by_team.get_mut(team) {
                usage.next_start = next_start_of_starving.unwrap_or_else(|| next_start_demand(job));
            }
        }
        usage_by_team
    }

    /// Returns what each team uses in this cell, without its waiting tasks.
    fn usage_of_live_runs(&self) -> BTreeMap<String, LocalUsage> {
        let used = self.usage_of_all_teams();
        let is_reconciled = self.all_reconciled() && !used.has_unknown_runs();
        let team_usage = |team: &Team| {
            let usage = used.of(&team.name);
            let used = MilliResources::covering(usage.cpus, usage.gpus);
            let started = self.quota.launched.get(&team.name).copied().unwrap_or_default();
            (
                team.name.clone(),
                LocalUsage { is_reconciled, used, started, ..LocalUsage::default() },
            )
        };
        self.policy.teams.iter().map(team_usage).collect()
    }
}
