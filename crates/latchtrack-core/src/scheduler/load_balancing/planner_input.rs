//! Builds the input of the planner: the loads of the machines that are up, and the running tasks
//! and gangs that may move.

use std::collections::BTreeMap;
use std::sync::Arc;

use latchtrack_balance::constants::MOVE_OVERHEAD_S;
use latchtrack_balance::locality::fetch_s;
use latchtrack_balance::moves::MoveUnit;
use latchtrack_balance::planner::{MachineLoad, Movable, PlanInput};

use super::super::Scheduler;
use super::PoolKey;
use crate::job::{Job, JobId, JobSpec, TaskId};
use crate::machine::{Machine, TaskPhase, TaskRun};
use crate::Millis;

/// Running tasks of gangs, by gang: the index of each task and that of its machine in the planner
/// input.
type GangTasks = BTreeMap<JobId, Vec<(u32, usize)>>;

impl Scheduler {
    /// Returns the loads of the machines that are up, and the tasks that may move.
    pub(super) fn plan_input(&mut self, now: Millis) -> PlanInput {
        let mut input = PlanInput::default();
        let mut gangs = GangTasks::new();
        let up = self.inventory.iter().filter(|machine| machine.is_up());
        let names: Vec<Arc<str>> = up.map(|machine| machine.name.clone()).collect();
        for name in names {
            let Some(load) = self.machine_load(now, &name) else { continue };
            let index = input.machines.len();
            let may_be_source = load.may_be_source;
            input.machines.push(load);
            if may_be_source {
                self.add_movable_tasks(now, &name, index, &mut input, &mut gangs);
            }
        }
        self.add_movable_gangs(now, gangs, &mut input);
        input
    }

    /// Adds the movable tasks of array jobs on a machine, and collects those of gangs.
    fn add_movable_tasks(
        &self,
        now: Millis,
        machine: &str,
        index: usize,
        input: &mut PlanInput,
        gangs: &mut GangTasks,
    ) {
        let Some(machine) = self.inventory.get(machine) else { return };
        for run in machine.runs.values().filter(|run| is_movable(run)) {
            let Some(spec) = run.spec.as_ref() else { continue };
            if spec.gang {
                gangs.entry(spec.id).or_default().push((run.task.index, index));
                continue;
            }
            let unit = MoveUnit { job: spec.id.0, task: Some(run.task.index) };
            let tasks = vec![(run.task.index, index)];
            let since = run.running_since.unwrap_or(now);
            input.movables.push(self.movable(now, unit, spec, tasks, since, &machine.machine_type));
        }
    }

    /// Adds the gangs whose tasks may all move. A gang moves as a whole or not at all.
    fn add_movable_gangs(&self, now: Millis, gangs: GangTasks, input: &mut PlanInput) {
        for (id, tasks) in gangs {
            let Some(job) = self.jobs.get(&id) else { continue };
            if tasks.len() != job.spec.tasks as usize {
                continue;
            }
            let first_machine = tasks.first().map(|(_, index)| input.machines[*index].name.clone());
            let Some(machine) = first_machine.and_then(|name| self.inventory.get(&name)) else {
                continue;
            };
            let since = self.latest_start(job).unwrap_or(now);
            let unit = MoveUnit { job: id.0, task: None };
            input.movables.push(self.movable(
                now,
                unit,
                &job.spec,
                tasks,
                since,
                &machine.machine_type,
            ));
        }
    }

    /// Returns the time at which the last task of a gang was seen to start.
    fn latest_start(&self, job: &Job) -> Option<Millis> {
        let starts = job.placed.iter().filter_map(|(index, assignment)| {
            let task = TaskId { job: job.spec.id, index: *index };
            let machine = self.inventory.get(&assignment.machine)?;
            machine.runs.get(&(task, assignment.attempt))?.running_since
        });
        starts.max()
    }

    /// Returns the load of a machine; `None` if its resources are unknown or invalid. Invalid ones
    /// are logged once per machine type.
    fn machine_load(&mut self, now: Millis, name: &str) -> Option<MachineLoad> {
        let machine = self.inventory.get(name)?;
        let machine_type = self.inventory.type_named(&machine.machine_type)?;
        let capacity = machine_type.resources();
        let used = machine
            .allocated()?
            .plus(&self.load_balancing.balancer.reserved_on(name))
            .minus(&self.load_balancing.balancer.leaving_from(name));
        let may_take_part = self.may_take_part_in_moves(now, machine);
        if !capacity.is_valid() || !used.is_valid() {
            let machine_type = machine.machine_type.to_string();
            self.log_invalid_type(machine_type, &used);
            return None;
        }
        let name = machine.name.clone();
        let pool_key = PoolKey::of(machine);
        Some(MachineLoad {
            name,
            pool: self.load_balancing.pool_number(pool_key),
            capacity,
            used,
            may_be_target: may_take_part,
            may_be_source: may_take_part,
            may_be_relieved: may_take_part,
        })
    }

    /// Whether a machine may be the source or target of a move: it accepts tasks and its heartbeats
    /// are not overdue.
    fn may_take_part_in_moves(&self, now: Millis, machine: &Machine) -> bool {
        let takes_tasks = self.free_capacity_of(now, machine).is_some_and(|free| free.ready);
        takes_tasks && self.has_recent_heartbeat(now, machine)
    }

    /// Whether the heartbeats of a machine are not overdue.
    pub(super) fn has_recent_heartbeat(&self, now: Millis, machine: &Machine) -> bool {
        !machine.heartbeat_older_than(now, self.policy.overdue_after_ms())
    }

    /// Returns a running task or gang as input for the planner. `tasks` has each task with the
    /// index of its machine; the machines are of one type. All tasks have run since
    /// `running_since`.
    fn movable(
        &self,
        now: Millis,
        unit: MoveUnit,
        spec: &JobSpec,
        tasks: Vec<(u32, usize)>,
        running_since: Millis,
        machine_type: &str,
    ) -> Movable {
        let ran_ms = now.saturating_sub(running_since);
        let machine_type = self.inventory.type_named(machine_type);
        let gb_per_s = machine_type.map_or(0.0, |machine_type| machine_type.fetch_gb_per_s);
        let fetch_s = fetch_s(spec.image_gb, 0.0, gb_per_s);
        Movable {
            unit,
            tasks,
            demand: spec.demand,
            save_s: spec.save_s,
            cost_s: spec.save_s + fetch_s + MOVE_OVERHEAD_S,
            remaining_s: spec.estimate_s - ran_ms as f64 / 1000.0,
            ran_ms,
        }
    }
}

/// Whether a run may be stopped to move it: it is running, saves checkpoints, and was not requested
/// to stop.
pub(super) fn is_movable(run: &TaskRun) -> bool {
    let saves = run.spec.as_ref().is_some_and(|spec| spec.checkpoint_s > 0.0);
    run.phase == TaskPhase::Running && saves && run.stop.is_none()
}
