//! Scheduling order of teams while some of them are hot: work arrives faster than their fair share
//! of the cluster can complete it.

use latchtrack_balance::balancer::MoveLimits;
use latchtrack_core::job::{JobId, JobSpec, TaskId};
use latchtrack_core::machine::{ExitCause, TaskPhase};
use latchtrack_core::scheduler::{BalancePolicy, Event, Policy, Team};

use crate::common::site::Cluster;
use crate::fixtures::{checkpointing_array, moves_enabled, run_for, LIMITS};

/// While one of two teams is hot, free capacity goes to the other first, up to its share. With
/// `BalancePolicy::teams` disabled, the earlier jobs of the hot team take all of it.
#[test]
fn a_hot_team_does_not_starve_a_team_within_its_share() {
    let team =
        |name: &str| Team { name: name.into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 };
    let calm_launches = |teams| {
        let balance = BalancePolicy { teams, ..BalancePolicy::default() };
        let teams = vec![team("hot"), team("calm")];
        let mut cluster = Cluster::new(2, Policy { balance, teams, ..moves_enabled() });
        cluster.no_capacity = true;
        let task = |id, team: &str| JobSpec {
            team: team.into(),
            checkpoint_s: 0.0,
            estimate_s: 20.0,
            ..checkpointing_array(id, 8)
        };
        for id in 1..40 {
            cluster.submit(task(id, "hot"));
        }
        run_for(&mut cluster, 5_000);
        cluster.submit(task(100, "calm"));
        // One task ends each second, the oldest first.
        for _ in 0..20 {
            let oldest = cluster.tasks.iter().flat_map(|(i, tasks)| {
                let running = tasks.iter().filter(|(_, phase)| **phase == TaskPhase::Running);
                running.map(|(key, _)| (key.1, *i, *key))
            });
            if let Some((_, machine, key)) = oldest.min() {
                cluster
                    .tasks
                    .get_mut(&machine)
                    .unwrap()
                    .insert(key, TaskPhase::Ended(ExitCause::Done));
            }
            run_for(&mut cluster, 1_000);
        }
        cluster.launches.iter().filter(|(_, t, _)| t.job == JobId(100)).count()
    };
    assert_eq!(calm_launches(false), 0);
    assert_eq!(calm_launches(true), 8);
}

/// Two teams share sixteen CPUs. Team `first` submits `jobs` jobs, few (a burst) or enough to turn
/// hot, then team `calm` submits one. Returns how many tasks of each the first cycle launches.
fn launched_in_first_cycle(jobs: u64, deadline_s: Option<f64>, calm_tasks: u32) -> (usize, usize) {
    let team =
        |name: &str| Team { name: name.into(), cpus: 0.0, cpus_max: 0.0, gpus: 0.0, gpus_max: 0.0 };
    let balance = BalancePolicy { teams: true, ..BalancePolicy::default() };
    let teams = vec![team("first"), team("calm")];
    let mut cluster = Cluster::new(2, Policy { balance, teams, ..moves_enabled() });
    cluster.no_capacity = true;
    let plain = |id, team: &str, tasks| JobSpec {
        team: team.into(),
        checkpoint_s: 0.0,
        estimate_s: 20.0,
        ..checkpointing_array(id, tasks)
    };
    for id in 0..jobs {
        cluster.submit(JobSpec { deadline_s, ..plain(id + 1, "first", 8) });
    }
    // With a short estimate, even many tasks do not make their team hot.
    cluster.submit(JobSpec { estimate_s: 1.0, ..plain(1_000, "calm", calm_tasks) });
    cluster.advance_time(400);
    let of =
        |calm| cluster.launches.iter().filter(|(_, t, _)| (t.job == JobId(1_000)) == calm).count();
    (of(false), of(true))
}

#[test]
fn a_burst_does_not_make_a_team_hot() {
    // The two jobs of the burst have lower ids, so they go first and fill the machines.
    assert_eq!(launched_in_first_cycle(2, None, 8), (16, 0));
}

#[test]
fn a_hot_team_gets_its_share_before_others() {
    assert_eq!(launched_in_first_cycle(40, Some(600.0), 40), (8, 8), "each gets half the cluster");
}

/// Two teams turn hot in the same second on the same machines, one of them at its limit, and stop
/// being hot in the same second, several times. Limits on team usage and on moves hold throughout.
#[test]
fn teams_that_turn_hot_together_keep_limit_and_move_budget() {
    let team = |name: &str, cpus_max| Team {
        name: name.into(),
        cpus: 0.0,
        cpus_max,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    let balance = BalancePolicy { teams: true, ..moves_enabled().balance };
    let limits = MoveLimits { moves_per_minute: 12, ..LIMITS };
    let balance = BalancePolicy { limits, ..balance };
    let teams = vec![team("bound", 6.0), team("free", 0.0)];
    let mut cluster = Cluster::new(12, Policy { balance, teams, ..moves_enabled() });
    cluster.no_capacity = true;
    let mut moved: std::collections::BTreeMap<TaskId, Vec<u64>> = Default::default();
    let mut begun = Vec::new();
    for wave in 0..4u64 {
        let (bound, free) = (2 * wave + 1, 2 * wave + 2);
        cluster.submit(JobSpec {
            team: "bound".into(),
            zone: Some("a".into()),
            ..checkpointing_array(bound, 12)
        });
        cluster.submit(JobSpec {
            team: "free".into(),
            zone: Some("a".into()),
            ..checkpointing_array(free, 14)
        });
        for _ in 0..40 {
            let known = cluster.leader.balance_summary().unwrap().counts.begun;
            run_for(&mut cluster, 1_000);
            let now = cluster.leader.balance_summary().unwrap().counts.begun;
            begun.extend((known..now).map(|_| cluster.now));
            let used = cluster.live_by_attempt(bound).values().sum::<usize>();
            assert!(used <= 6, "{used} of 6 CPUs at {}", cluster.now);
            for (task, _) in std::mem::take(&mut cluster.stops) {
                moved.entry(task).or_default().push(cluster.now);
            }
        }
        cluster.handle_event(Event::JobClosed(JobId(bound)));
        cluster.handle_event(Event::JobClosed(JobId(free)));
        run_for(&mut cluster, 5_000);
        cluster.stops.clear();
    }
    assert_eq!(cluster.concurrent_runs, Vec::<String>::new());
    assert!(begun.len() >= 8, "{} moves begun", begun.len());
    for at in &begun {
        let in_minute = begun.iter().filter(|t| (*at..*at + 60_000).contains(*t)).count();
        assert!(in_minute <= 12, "{in_minute} moves within a minute");
    }
    for (task, times) in moved {
        let apart = times.windows(2).all(|pair| pair[1] >= pair[0] + LIMITS.task_cooldown_ms);
        assert!(apart, "{task} moved at {times:?}");
    }
}
