//! Placement weighs the fetch of an image against a crowded machine.

use latchtrack_core::scheduler::{BalancePolicy, Policy};

use crate::common::site::Site;
use crate::fixtures::{advance_tasks, checkpointing_array, live_tasks_on, moves_enabled};

/// One machine holds the image. By default all tasks go there; with balanced placement it is
/// preferred until it is crowded by more than the fetch is worth.
#[test]
fn balanced_placement_fetches_an_image_rather_than_crowd_its_holder() {
    let loads = |placement| {
        let balance = BalancePolicy { placement, ..BalancePolicy::default() };
        let mut site = Site::new(6, Policy { balance, ..moves_enabled() });
        site.submit(checkpointing_array(1, 1));
        site.pass(400);
        advance_tasks(&mut site);
        site.pass(2_000);
        // One after the other, as users submit them.
        for id in 2..9 {
            site.submit(checkpointing_array(id, 1));
            site.pass(1_000);
        }
        let mut loads: Vec<usize> = (0..6).map(|i| live_tasks_on(&site, i)).collect();
        loads.sort();
        loads
    };
    assert_eq!(loads(false), [0, 0, 0, 0, 0, 8]);
    let balanced = loads(true);
    assert!(balanced[5] < 8 && balanced[4] > 0, "{balanced:?}");
}
