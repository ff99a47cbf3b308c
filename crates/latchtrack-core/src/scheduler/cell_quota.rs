//! This cell's part of limits and guarantees that cells share: what the teams use goes to the keeper, and
//! what it allows goes into placing. docs/quota.md says why no limit is passed.

use std::collections::BTreeMap;

use latchtrack_quota::{
    Amounts, Keeper, KeeperSettings, LedgerWrite, Limit, TeamSummary, TeamTerms, TeamUse, View,
    WriteOutcome,
};

use super::messages::Effect;
use super::policy::{Policy, Team};
use super::team_limits::TeamUsage;
use super::Scheduler;
use crate::job::{Job, JobSpec};
use crate::Millis;

/// The keeper for a new leader, if teams are shared.
pub(super) fn keeper(policy: &Policy, term: u64) -> Option<Keeper> {
    let cell = policy.quota_cell.clone()?;
    let terms = |team: &Team| TeamTerms {
        limit: Limit::of(team.cpus_max, team.gpus_max),
        guarantee: Amounts::covering(team.cpus, team.gpus),
    };
    let teams = policy.teams.iter().map(|team| (team.name.clone(), terms(team))).collect();
    Some(Keeper::new(KeeperSettings { cell, term, teams }))
}

/// What so many tasks of a job take.
fn demand_of(spec: &JobSpec, tasks: u32) -> Amounts {
    let mut usage = TeamUsage::default();
    usage.add(spec, tasks);
    Amounts::covering(usage.cpus, usage.gpus)
}

/// What the next of a job's tasks to start needs: a gang starts whole.
fn next_of(job: &Job) -> Amounts {
    let tasks = if job.spec.gang { job.spec.tasks } else { 1 };
    demand_of(&job.spec, tasks)
}

/// This cell's part of the teams' limits, where cells share them.
#[derive(Clone, Debug)]
pub(super) struct QuotaAccounting {
    pub cell: Option<Keeper>,
    /// What teams need for the first of their jobs that are to start before all others.
    pub next_of_team: BTreeMap<String, Amounts>,
    /// What was launched of each team in this term.
    pub launched: BTreeMap<String, Amounts>,
}

impl QuotaAccounting {
    pub fn new(policy: &Policy, term: u64) -> Self {
        QuotaAccounting {
            cell: keeper(policy, term),
            next_of_team: BTreeMap::new(),
            launched: BTreeMap::new(),
        }
    }
}

impl QuotaAccounting {
    /// The cell's part of a team's guarantee, where cells share the team.
    pub fn guarantee(&self, team: &str) -> Option<TeamUsage> {
        let (cpus, gpus) = self.cell.as_ref()?.guarantee(team)?.decimal();
        Some(TeamUsage { cpus, gpus })
    }

    /// A scheduling cycle begins, which finds anew what is next to start.
    pub fn start_cycle(&mut self) {
        self.next_of_team.clear();
    }
}

impl Scheduler {
    pub(super) fn on_quota_observed(&mut self, now: Millis, view: View) {
        let Some(keeper) = self.quota.cell.as_mut() else { return };
        keeper.observe(now, view);
        // At once, before others have changed what was seen.
        self.step_cell_quota(now);
    }

    pub(super) fn on_ledger_write_finished(
        &mut self,
        now: Millis,
        write: &LedgerWrite,
        outcome: WriteOutcome,
    ) {
        let Some(keeper) = self.quota.cell.as_mut() else { return };
        keeper.written(now, write, outcome);
        self.after_quota();
    }

    /// Asks, takes and gives back by what the teams use now. Placing comes after it, within the limits that
    /// it leaves.
    pub(super) fn step_cell_quota(&mut self, now: Millis) {
        let Some(mut keeper) = self.quota.cell.take() else { return };
        let writes = keeper.step(now, &self.team_uses(now));
        self.quota.cell = Some(keeper);
        self.out.extend(writes.into_iter().map(Effect::WriteLedger));
        self.after_quota();
    }

    /// The teams that cells share, for an operator.
    pub fn quota_summary(&self) -> Option<Vec<TeamSummary>> {
        self.quota.cell.as_ref().map(Keeper::summary)
    }

    fn after_quota(&mut self) {
        let Some(keeper) = self.quota.cell.as_mut() else { return };
        let notices = keeper.take_notices();
        if !notices.is_empty() {
            self.cycle_timer.request();
        }
        self.out.extend(notices.into_iter().map(|notice| Effect::Log(notice.to_string())));
    }

    /// What each team uses and waits for in this cell.
    fn team_uses(&self, now: Millis) -> BTreeMap<String, TeamUse> {
        let used = self.usage_of_all_teams();
        let is_settled = self.all_reconciled() && !used.unknown_runs;
        let team_use = |team: &Team| {
            let usage = used.of(&team.name);
            let used = Amounts::covering(usage.cpus, usage.gpus);
            let started = self.quota.launched.get(&team.name).copied().unwrap_or_default();
            (team.name.clone(), TeamUse { is_settled, used, started, ..TeamUse::default() })
        };
        let mut uses: BTreeMap<String, TeamUse> = self.policy.teams.iter().map(team_use).collect();
        let mut oldest: BTreeMap<&str, &Job> = BTreeMap::new();
        // What pauses asks for nothing: a suspect job is tried now and then.
        let is_waiting = |job: &&Job| job.schedulable_tasks() > 0 && job.backoff_until <= now;
        for job in self.jobs.values().filter(is_waiting) {
            let team = job.spec.team.as_str();
            let Some(team_use) = uses.get_mut(team) else { continue };
            team_use.waiting = team_use.waiting.plus(demand_of(&job.spec, job.schedulable_tasks()));
            if job.is_quarantined {
                // It may use what there is, but nothing is gathered for it.
                continue;
            }
            let first = oldest.entry(team).or_insert(job);
            if (job.submitted_at, job.spec.id) < (first.submitted_at, first.spec.id) {
                *first = job;
            }
        }
        for (team, job) in oldest {
            let noted = self.quota.next_of_team.get(team).copied();
            if let Some(team_use) = uses.get_mut(team) {
                team_use.next = noted.unwrap_or_else(|| next_of(job));
            }
        }
        uses
    }

    /// Notes that tasks of a job are launched.
    pub(super) fn note_launched(&mut self, spec: &JobSpec, tasks: u32) {
        if self.quota.cell.is_some() {
            let started = self.quota.launched.entry(spec.team.clone()).or_default();
            *started = started.plus(demand_of(spec, tasks));
        }
    }

    /// Notes a job that is to begin before all others: the first of each team is the next to start.
    pub(super) fn note_next_to_start(&mut self, spec: &JobSpec, tasks: u32) {
        if self.quota.cell.is_some() {
            self.quota.next_of_team.entry(spec.team.clone()).or_insert(demand_of(spec, tasks));
        }
    }
}
