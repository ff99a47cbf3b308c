//! Which tasks move, from which machines to which, and when none do.

use std::collections::BTreeSet;

use latchtrack_balance::moves::MoveStage;
use latchtrack_core::job::{Demand, JobId, JobSpec, TaskId};
use latchtrack_core::scheduler::{BalancePolicy, Event, Policy};

use crate::common::machine_type;
use crate::common::site::{new_leader, zone_of, Site, TOKEN};
use crate::fixtures::{
    befall, crowded, filler, go_on, heal, load, moving, places, saving, until, work, Trouble,
};

#[test]
fn a_crowded_machine_gives_tasks_to_idle_ones_of_its_cell_within_the_bound() {
    let mut site = crowded(moving());
    go_on(&mut site, 60_000);
    // 8 tasks on 3 machines of 8 CPUs: 1.25 times the mean of 2.67, and one task.
    let loads: Vec<usize> = (0..6).map(|i| load(&site, i)).collect();
    assert!(loads.iter().all(|n| *n <= 4), "{loads:?}");
    assert_eq!(loads.iter().sum::<usize>(), 8);
    assert_eq!((loads[1], loads[3], loads[5]), (0, 0, 0), "the other zone is another pool");
    assert_eq!(site.ran_twice, Vec::<String>::new());
    let summary = site.leader.balance_summary().unwrap();
    assert_eq!(summary.counts.settled, summary.counts.begun);
    assert!(summary.counts.settled >= 4, "{summary:?}");
    assert!(site.stops.iter().all(|(_, grace)| *grace >= 2.0), "time to save: {:?}", site.stops);
    // Each moved task was launched twice, no other more than once.
    let settled = summary.counts.settled as usize;
    assert_eq!(site.launches.len(), 8 + settled);
    go_on(&mut site, 60_000);
    assert_eq!(site.launches.len(), 8 + settled, "within the bound nothing moves");
}

#[test]
fn without_the_switch_nothing_moves() {
    let mut site = crowded(Policy { balance: BalancePolicy::default(), ..moving() });
    go_on(&mut site, 60_000);
    assert_eq!((load(&site, 0), site.stops.len()), (8, 0));
    assert_eq!(site.leader.balance_summary(), None);
}

#[test]
fn what_does_not_save_or_has_little_left_stays() {
    for spec in [
        JobSpec { checkpoint_s: 0.0, ..saving(1, 8) },
        JobSpec { estimate_s: 10.0, ..saving(1, 8) },
    ] {
        let mut site = Site::new(6, moving());
        site.submit(spec);
        site.pass(400);
        go_on(&mut site, 30_000);
        assert_eq!((load(&site, 0), site.stops.len()), (8, 0));
    }
}

#[test]
fn nothing_moves_while_somebody_waits_for_room_or_the_leader_is_new() {
    // A task of eight CPUs in a zone whose machines all carry something: it waits for one to be empty.
    let mut site = crowded(moving());
    for machine in [2, 4] {
        let one = JobSpec { zone: Some("a".into()), ..saving(10 + machine, 7) };
        site.submit(one);
        site.pass(400);
        work(&mut site);
    }
    let large = Demand { cpus: 8.0, gpus: 0.0, memory_gb: 8.0 };
    site.no_capacity = true;
    site.submit(JobSpec { demand: large, zone: Some("a".into()), ..saving(3, 1) });
    go_on(&mut site, 20_000);
    assert_eq!(site.stops, [], "overload");
    let balance = BalancePolicy { calm_ms: 30_000, ..moving().balance };
    let mut site = crowded(Policy { balance, ..moving() });
    go_on(&mut site, 28_000);
    assert_eq!(site.stops, [], "a new leader");
    go_on(&mut site, 10_000);
    assert_ne!(site.stops, []);
}

/// A machine of the earlier leader has not been heard: what runs there is not known, and who waits for it
/// is not either.
#[test]
fn nothing_moves_while_a_machine_of_an_earlier_leader_is_unsettled() {
    let mut site = crowded(moving());
    site.silent.insert(5);
    site.leader = new_leader(6, TOKEN + 1, moving(), site.now);
    let job = Event::JobOpened {
        spec: std::sync::Arc::new(saving(1, 8)),
        submitted_at: 1_000,
        revision: TOKEN,
        done: None,
    };
    site.drive(job);
    go_on(&mut site, 8_000);
    assert_eq!(site.stops, [], "it is given up after nine seconds");
    go_on(&mut site, 60_000);
    assert_ne!(site.stops, []);
}

#[test]
fn tasks_that_fetch_their_image_do_not_count_as_movable() {
    let mut site = Site::new(6, moving());
    site.submit(saving(1, 8));
    site.pass(10_000);
    let over_bound = |site: &Site| site.leader.balance_summary().unwrap().over_bound;
    assert_eq!((load(&site, 0), over_bound(&site)), (8, 0), "eight tasks, all fetching");
    work(&mut site);
    site.pass(2_000);
    assert_eq!(over_bound(&site), 1);
}

/// A cancelled job's tasks run on where the stop does not arrive: they are no work to move.
#[test]
fn tasks_that_are_told_to_stop_already_are_not_moved() {
    let mut site = crowded(moving());
    site.pass(1_000);
    site.deaf.insert(0);
    site.drive(Event::JobClosed(JobId(1)));
    site.pass(12_000);
    assert_eq!(load(&site, 0), 8, "it has not heard of it");
    assert_eq!(site.leader.balance_summary().unwrap().counts.begun, 0, "{:?}", site.notes);
}

#[test]
fn a_machine_that_is_not_well_is_no_target() {
    for trouble in [Trouble::Notice, Trouble::Failed, Trouble::Silent] {
        let mut site = crowded(moving());
        // Another one with less on it than the third of the zone.
        site.submit(filler(10, 1, "a"));
        site.pass(400);
        befall(&mut site, 2, Trouble::Notice);
        site.report(2);
        site.submit(filler(11, 2, "a"));
        site.pass(400);
        assert_eq!((load(&site, 2), load(&site, 4)), (1, 2));
        heal(&mut site);
        befall(&mut site, 2, trouble);
        site.report(2);
        // Long enough for its silence to show.
        site.pass(5_000);
        work(&mut site);
        let (.., target) = until(&mut site, MoveStage::Stopping);
        assert_eq!(target, 4, "{trouble:?}");
    }
}

/// A leader that stood still has heard nothing meanwhile: what it knows of the machines is old.
#[test]
fn nothing_moves_right_after_a_leader_stood_still() {
    let mut site = crowded(moving());
    site.pass(2_000);
    site.now += 4_000;
    site.pass(5_000);
    assert_eq!(site.stops, []);
    go_on(&mut site, 6_000);
    assert_ne!(site.stops, []);
}

#[test]
fn moves_respect_where_a_job_may_be() {
    // One zone, and apart: each with tasks in zone a on a crowded machine.
    for spec in [
        JobSpec { one_zone: true, ..saving(1, 8) },
        JobSpec { spread: true, ..saving(1, 16) },
        JobSpec { zone: Some("a".into()), ..saving(1, 8) },
    ] {
        let what = format!("{spec:?}");
        let (one_zone, tasks) = (spec.one_zone, spec.tasks);
        let mut site = Site::new(6, moving());
        site.submit(spec);
        site.pass(400);
        go_on(&mut site, 40_000);
        assert!(site.leader.balance_summary().unwrap().counts.settled > 0, "{what}");
        let zone_of_task = |index| zone_of(places(&site, TaskId { job: JobId(1), index })[0]);
        let zones: Vec<&str> = (0..tasks).map(zone_of_task).collect();
        let different: BTreeSet<&&str> = zones.iter().collect();
        assert!(!one_zone || different.len() == 1, "{what}: {zones:?}");
        let in_a = zones.iter().filter(|zone| **zone == "a").count() as u32;
        assert!(tasks == 8 || in_a <= tasks.div_ceil(2), "{what}: {zones:?}");
    }
}

/// Amounts from the cloud that make no sense: named once, and nothing is planned with them.
#[test]
fn machine_types_with_nonsense_are_named_once_and_left_out() {
    let mut site = crowded(moving());
    let mut odd = machine_type(vec!["a".into(), "b".into()]);
    (odd.memory_gb, odd.fetch_gb_per_s) = (f64::NAN, -3.0);
    site.drive(Event::MachineTypes(vec![odd]));
    go_on(&mut site, 20_000);
    assert_eq!(site.notes.iter().filter(|n| n.contains("make no sense")).count(), 1);
    assert_eq!(site.stops, []);
}
