//! Sample records shared by several tests.

use latchtrack_core::job::{JobId, JobSpec, Priority, Resources};
use latchtrack_core::machine::MachineType;
use latchtrack_core::scheduler::StoredMachine;

/// A batch job with every optional field set.
pub fn full_spec() -> JobSpec {
    JobSpec {
        id: JobId(412),
        class: "c".into(),
        team: "t".into(),
        priority: Priority::High,
        tasks: 16,
        gang: false,
        demand: Resources { cpus: 4.0, gpus: 1.0, memory_gb: 3.6 },
        types: Some(vec!["g".into()]),
        zone: Some("a".into()),
        one_zone: true,
        spread: true,
        spot: true,
        image: "i".into(),
        image_gb: 1.5,
        estimate_s: 20.0,
        checkpoint_s: 30.0,
        save_s: 2.0,
        deadline_s: Some(90.5),
    }
}

/// A machine of a stored machine set.
pub fn stored_machine(name: &str) -> StoredMachine {
    StoredMachine {
        name: name.into(),
        machine_type: "g".into(),
        zone: "a".into(),
        spot: true,
        addr: "1.2.3.4:9".into(),
    }
}

/// A machine type in two zones.
pub fn machine_type() -> MachineType {
    MachineType {
        name: "g".into(),
        cpus: 8.0,
        gpus: 1.0,
        memory_gb: 32.0,
        price: 1.0,
        spot_price: 0.3,
        boot_s: 10.0,
        cache_gb: 30.0,
        fetch_gb_per_s: 0.5,
        zones: vec!["a".into(), "b".into()],
    }
}

/// Results of two jobs: job, chunk index and the bitmap of completed tasks in the chunk.
pub fn result_chunks() -> Vec<(JobId, u32, Vec<u8>)> {
    vec![(JobId(7), 3, vec![1, 0, 255]), (JobId(9), 0, vec![4])]
}
