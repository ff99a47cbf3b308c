//! Balanced placement: weighs the time to fetch an image against the load of machines that hold it.

use latchtrack_core::scheduler::{BalancePolicy, Policy};

use crate::common::site::Cluster;
use crate::fixtures::{advance_tasks, checkpointing_array, live_tasks_on, moves_enabled};

/// One machine holds the image, and by default all tasks go there. With balanced placement it is
/// preferred only until its load costs more than a fetch on another machine.
#[test]
fn balanced_placement_fetches_an_image_to_spread_the_load() {
    let loads = |placement| {
        let balance = BalancePolicy { placement, ..BalancePolicy::default() };
        let mut cluster = Cluster::new(6, Policy { balance, ..moves_enabled() });
        cluster.submit(checkpointing_array(1, 1));
        cluster.advance_time(400);
        advance_tasks(&mut cluster);
        cluster.advance_time(2_000);
        // Jobs arrive one by one, so each is placed by the loads at its time.
        for id in 2..9 {
            cluster.submit(checkpointing_array(id, 1));
            cluster.advance_time(1_000);
        }
        let mut loads: Vec<usize> = (0..6).map(|i| live_tasks_on(&cluster, i)).collect();
        loads.sort();
        loads
    };
    assert_eq!(loads(false), [0, 0, 0, 0, 0, 8]);
    let balanced = loads(true);
    assert!(balanced[5] < 8 && balanced[4] > 0, "{balanced:?}");
}
