//! Placement basics: scores, fitting tasks, reservations, and the choice of deferred jobs.

use latchtrack_core::job::{ClassId, Resources};
use latchtrack_core::machine::fitting_tasks;
use latchtrack_core::placement::*;

/// Calculated by hand. Eqs. 6 and 7: two machines of 16 CPUs and 64 GB and one of 32 CPUs and 64 GB
/// make 64 CPUs and 192 GB. Eq. 8 for a machine with 4 CPUs and 16 GB free:
/// 4/64 * 0.8 + 16/192 * 0.2 = 0.05 + 1/60. Eq. 9 for 5 tasks of 4 CPUs and 12 GB:
/// (0.05 + 0.0125) * 5 = 0.3125.
#[test]
fn scores_follow_the_papers_equations() {
    let weights = ScoreWeights::default();
    let total = Resources { cpus: 16.0 + 16.0 + 32.0, gpus: 0.0, memory_gb: 64.0 + 64.0 + 64.0 };
    let free = Resources { cpus: 4.0, gpus: 0.0, memory_gb: 16.0 };
    assert!((score(&free, &total, &weights) - (0.05 + 1.0 / 60.0)).abs() < 1e-12);
    let task = Resources { cpus: 4.0, gpus: 0.0, memory_gb: 12.0 };
    assert!((job_demand(&task, 5, &total, &weights) - 0.3125).abs() < 1e-12);
    assert_eq!(score(&free, &Resources::default(), &weights), 0.0, "no machine is up");
}

#[test]
fn the_largest_job_is_deferred_when_not_all_can_be_on_time() {
    let job = |remaining_ms, cpu_ms| TimedDemand { remaining_ms, run_ms: 0.0, cpu_ms };
    let all = [job(10.0, 40.0), job(20.0, 300.0), job(25.0, 40.0), job(30.0, 40.0)];
    assert_eq!(choose_deferred(&all, 0.0, 100.0), [false; 4], "there is capacity for all");
    assert_eq!(choose_deferred(&all, 0.0, 10.0), [false, true, false, false]);
    assert_eq!(choose_deferred(&all, 60.0, 10.0), [false, true, false, false]);
    assert_eq!(choose_deferred(&all, 0.0, 0.0), [false; 4], "the capacity is unknown");
}

#[test]
fn fitting_tasks_is_bounded_by_the_scarcest_resource() {
    let d = Resources { cpus: 4.0, gpus: 0.0, memory_gb: 15.0 };
    assert_eq!(fitting_tasks(&d, 16.0, 0.0, 64.0), 4);
    assert_eq!(fitting_tasks(&d, 16.0, 0.0, 44.0), 2);
    assert_eq!(fitting_tasks(&Resources { gpus: 1.0, ..d }, 16.0, 0.0, 64.0), 0);
    assert_eq!(fitting_tasks(&d, -1.0, 0.0, 64.0), 0);
}

/// Jobs of the class that a machine is reserved for may use all its free capacity; other jobs may
/// use the spare part.
#[test]
fn other_jobs_may_use_the_spare_part_of_reserved_capacity() {
    let amount = |cpus| Resources { cpus, gpus: 0.0, memory_gb: cpus };
    let mut capacity = FreeCapacity {
        machine: None,
        machine_type: "g".into(),
        zone: "a".into(),
        spot: true,
        total_cpus: 16.0,
        images: Default::default(),
        images_incomplete: false,
        free: amount(9.0),
        ready: true,
        reservation: Some(Reservation {
            reserved_for: ReservedFor::Class(ClassId(1)),
            spare: amount(4.0),
        }),
        balance: None,
    };
    let task = amount(2.0);
    assert_eq!(
        (
            capacity.admissible_tasks(&task, ClassId(1)),
            capacity.admissible_tasks(&task, ClassId(2))
        ),
        (4, 2)
    );
    capacity.take(&task, 1);
    assert_eq!(
        (
            capacity.admissible_tasks(&task, ClassId(1)),
            capacity.admissible_tasks(&task, ClassId(2))
        ),
        (3, 1)
    );
    capacity.reservation = None;
    assert_eq!(capacity.admissible_tasks(&task, ClassId(2)), 3);
}
