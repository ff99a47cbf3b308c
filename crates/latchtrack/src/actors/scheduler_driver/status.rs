//! This node's view of the cluster, for operators.

use actix::prelude::*;
use latchtrack_core::scheduler::Scheduler;

use super::SchedulerDriver;
use crate::actors::messages::scheduler::{DescribeNode, NodeDescription};
use crate::clock::now_ms;
use crate::constants::MAX_STATUS_JOBS;
use crate::wire::status::{ClusterView, NodeView};

impl SchedulerDriver {
    fn cluster_view(&self, scheduler: &Scheduler) -> ClusterView {
        let summary = scheduler.summary(now_ms());
        let quarantined = scheduler.quarantined_jobs().map(|id| id.to_string());
        let quota = scheduler.quota_summary();
        ClusterView {
            token: scheduler.token(),
            acting: self.may_act(),
            machines_up: summary.up,
            machines_booting: summary.booting - summary.unreconciled,
            machines_late: summary.late,
            machines_unreconciled: summary.unreconciled,
            late_boots: scheduler.late_boot_pools(),
            unreachable_zones: scheduler.unreachable_zones(),
            jobs_open: scheduler.jobs().len(),
            gangs_open: scheduler.open_gangs(),
            quarantined_jobs: quarantined.take(MAX_STATUS_JOBS).collect(),
            tasks_waiting: summary.waiting,
            cpus: summary.cpus,
            cpus_running: summary.cpus_running,
            balance: scheduler.balance_summary().map(Into::into),
            quota: quota.map(|teams| teams.into_iter().map(Into::into).collect()),
        }
    }
}

impl Handler<DescribeNode> for SchedulerDriver {
    type Result = NodeDescription;
    fn handle(&mut self, msg: DescribeNode, _: &mut Self::Context) -> NodeDescription {
        let leading = self.scheduler.as_ref().filter(|_| self.term.current().is_some());
        let cluster = leading.map(|scheduler| self.cluster_view(scheduler));
        let leader = self.router.leader().cloned();
        NodeDescription(NodeView { served: msg.is_served, leader, cluster })
    }
}
