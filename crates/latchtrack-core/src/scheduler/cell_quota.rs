//! This cell's part of limits and guarantees that cells share: what the teams use goes to the quota
//! allotments, and what it allows limits placement. docs/quota.md says why no limit is passed.

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

/// What teams use and wait for, counted for the cells that share their limits. Without shared teams
/// it counts nothing.
#[derive(Clone, Debug)]
pub(super) struct QuotaAccounting {
    /// The cell's part of the limits; None if this deployment has its teams alone.
    allotments: Option<AllotmentManager>,
    /// What each team needs for the first of its starving jobs.
    next_of_team: BTreeMap<String, MilliResources>,
    /// What was launched of each team in this term.
    launched: BTreeMap<String, MilliResources>,
}

impl QuotaAccounting {
    /// The accounting of a new leader; `term` is its fencing token.
    pub fn new(policy: &Policy, term: u64) -> Self {
        QuotaAccounting {
            allotments: new_allotment_manager(policy, term),
            next_of_team: BTreeMap::new(),
            launched: BTreeMap::new(),
        }
    }

    /// Whether cells share the teams.
    pub fn is_shared(&self) -> bool {
        self.allotments.is_some()
    }

    /// What a team may use here, if it has a limit that cells share.
    pub fn launch_limit(&self, team: &str) -> Option<LaunchLimit> {
        self.allotments.as_ref()?.launch_limit(team)
    }

    /// The cell's part of a team's guarantee, where cells share the team.
    pub fn guarantee(&self, team: &str) -> Option<Resources> {
        let part = self.allotments.as_ref()?.guarantee(team)?;
        Some(Resources { cpus: part.cpus(), gpus: part.gpus(), memory_gb: 0.0 })
    }

    /// A scheduling cycle begins, which finds anew what is next to start.
    pub fn start_cycle(&mut self) {
        self.next_of_team.clear();
    }

    /// Notes that tasks of a job are launched.
    pub fn note_launched(&mut self, spec: &JobSpec, tasks: u32) {
        if self.is_shared() {
            let launched = self.launched.entry(spec.team.clone()).or_default();
            *launched = launched.plus(demand_of(spec, tasks));
        }
    }

    /// Notes that tasks of a starving job are to start: the first such job of each team is the next
    /// to start.
    pub fn note_next_to_start(&mut self, spec: &JobSpec, tasks: u32) {
        if self.is_shared() {
            self.next_of_team.entry(spec.team.clone()).or_insert(demand_of(spec, tasks));
        }
    }

    fn take_notices(&mut self) -> Vec<Notice> {
        self.allotments.as_mut().map(AllotmentManager::take_notices).unwrap_or_default()
    }
}

/// The quota allotments of a new leader, if cells share the teams.
fn new_allotment_manager(policy: &Policy, term: u64) -> Option<AllotmentManager> {
    let cell = policy.quota_cell.clone()?;
    let terms = |team: &Team| TeamQuota {
        limit: Limit::of(team.cpus_max, team.gpus_max),
        guarantee: MilliResources::covering(team.cpus, team.gpus),
    };
    let teams = policy.teams.iter().map(|team| (team.name.clone(), terms(team))).collect();
    Some(AllotmentManager::new(AllotmentManagerSettings { cell, term, teams }))
}

/// What `tasks` tasks of a job use.
fn demand_of(spec: &JobSpec, tasks: u32) -> MilliResources {
    let mut usage = Resources::default();
    usage.add_multiple(&spec.demand, tasks);
    MilliResources::covering(usage.cpus, usage.gpus)
}

/// What the next of a job's tasks to start needs: a gang starts whole.
fn next_of(job: &Job) -> MilliResources {
    let tasks = if job.spec.gang { job.spec.tasks } else { 1 };
    demand_of(&job.spec, tasks)
}

impl Scheduler {
    /// The cells' allotments were read.
    pub(super) fn on_quota_observed(&mut self, now: Millis, view: LedgerSnapshot) {
        let Some(allotments) = self.quota.allotments.as_mut() else { return };
        allotments.observe(now, view);
        // At once, before other cells change what was read.
        self.step_cell_quota(now);
    }

    /// A write of a ledger has ended.
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

    /// Requests quota, takes it and gives it back by what the teams use now. Placement comes after
    /// it, within the limits that it leaves.
    pub(super) fn step_cell_quota(&mut self, now: Millis) {
        if !self.quota.is_shared() {
            return;
        }
        let uses = self.team_uses(now);
        let Some(allotments) = self.quota.allotments.as_mut() else { return };
        let writes = allotments.step(now, &uses);
        self.effects.extend(writes.into_iter().map(Effect::WriteLedger));
        self.log_quota_notices();
    }

    /// The teams that cells share, for an operator; None if this deployment has its teams alone.
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

    /// What each team uses and waits for in this cell.
    fn team_uses(&self, now: Millis) -> BTreeMap<String, LocalUsage> {
        let mut uses = self.running_uses();
        let mut oldest: BTreeMap<&str, &Job> = BTreeMap::new();
        // A job in backoff asks for nothing.
        let is_waiting = |job: &&Job| job.schedulable_tasks() > 0 && job.backoff_until <= now;
        for job in self.jobs.values().filter(is_waiting) {
            let team = job.spec.team.as_str();
            let Some(team_use) = uses.get_mut(team) else { continue };
            team_use.waiting = team_use.waiting.plus(demand_of(&job.spec, job.schedulable_tasks()));
            if job.is_quarantined {
                // It may use what there is, but no quota is gathered for it.
                continue;
            }
            let first = oldest.entry(team).or_insert(job);
            if (job.submitted_at, job.spec.id) < (first.submitted_at, first.spec.id) {
                *first = job;
            }
        }
        for (team, job) in oldest {
            let of_starving_job = self.quota.next_of_team.get(team).copied();
            if let Some(team_use) = uses.get_mut(team) {
                team_use.next_start = of_starving_job.unwrap_or_else(|| next_of(job));
            }
        }
        uses
    }

    /// What each team uses in this cell, without what it waits for.
    fn running_uses(&self) -> BTreeMap<String, LocalUsage> {
        let used = self.usage_of_all_teams();
        let is_reconciled = self.all_reconciled() && !used.has_unknown_runs();
        let team_use = |team: &Team| {
            let usage = used.of(&team.name);
            let used = MilliResources::covering(usage.cpus, usage.gpus);
            let started = self.quota.launched.get(&team.name).copied().unwrap_or_default();
            (
                team.name.clone(),
                LocalUsage { is_reconciled, used, started, ..LocalUsage::default() },
            )
        };
        self.policy.teams.iter().map(team_use).collect()
    }
}
