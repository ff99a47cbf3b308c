//! What a move reserves on its target is kept for it, and for nothing else.

use latchtrack_balance::moves::MoveStage;
use latchtrack_core::job::JobSpec;
use latchtrack_core::scheduler::Policy;

use crate::fixtures::{crowded, load, moving, places, saving, until, work, work_saved};

#[test]
fn a_reserved_target_is_kept_from_others() {
    let mut site = crowded(moving());
    let (_, source, target) = until(&mut site, MoveStage::Stopping);
    assert_eq!(source, 0);
    // As many tasks of one CPU as the zone has room for, but for the one that is reserved.
    site.submit(JobSpec { zone: Some("a".into()), ..saving(2, 16) });
    site.pass(400);
    let others: usize = (0..6).map(|i| load(&site, i)).sum::<usize>() - 8;
    assert_eq!((others, load(&site, target)), (15, 7), "one CPU of the zone is reserved");
    work(&mut site);
    site.pass(1_000);
    assert_eq!(load(&site, target), 8, "the moved task has it");
    assert_eq!(site.ran_twice, Vec::<String>::new());
}

#[test]
fn a_reserved_target_is_not_given_back_as_idle() {
    let mut site = crowded(Policy { on_demand_idle_timeout_ms: 12_000, ..moving() });
    site.deletes = true;
    let (_, _, target) = until(&mut site, MoveStage::Stopping);
    // The tasks take their time to save.
    site.pass(15_000);
    assert!(!site.tasks.contains_key(&1), "an empty machine of the other zone has gone back");
    assert!(site.tasks.contains_key(&target), "the target has not");
    work(&mut site);
    site.pass(1_000);
    assert!(load(&site, target) > 0);
}

/// The end of a task on its source may come with a report between two rounds, and be planned in the same
/// moment: its target is its own all the same.
#[test]
fn a_task_that_has_saved_goes_to_its_target_and_not_into_the_queue() {
    let mut site = crowded(moving());
    let (task, source, target) = until(&mut site, MoveStage::Stopping);
    site.now += 150;
    work_saved(&mut site);
    site.report(source);
    site.report(target);
    assert_eq!(places(&site, task), [target]);
}
