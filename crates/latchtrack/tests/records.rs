//! What is kept in the state service, written and read again.

use std::sync::Arc;

use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;
use latchtrack::wire::records::*;
use latchtrack_core::job::{JobId, JobSpec, Priority, Resources};
use latchtrack_core::machine::MachineType;
use latchtrack_core::scheduler::StoredMachine;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

fn open() -> Record {
    let spec = JobSpec {
        id: JobId(412),
        class: "c".into(),
        team: "t".into(),
        priority: Priority::High,
        tasks: 16,
        gang: true,
        demand: Resources { cpus: 4.0, gpus: 0.0, memory_gb: 3.6 },
        types: Some(vec!["g".into()]),
        zone: None,
        one_zone: true,
        spread: false,
        spot: true,
        image: "i".into(),
        image_gb: 1.5,
        estimate_s: 20.0,
        checkpoint_s: 30.0,
        save_s: 2.0,
        deadline_s: Some(90.5),
    };
    Record::Open { spec: Arc::new(spec), at_ms: 1_700_000_000_123 }
}

#[test]
fn records_survive_and_garbled_ones_are_refused() {
    for record in [open(), Record::Done { tasks: 3 }, Record::Cancelled { tasks: 4 }] {
        let json = record.to_json().unwrap();
        assert_eq!(Record::parse(JobId(412), json.get()), Ok(record));
    }
    let json = open().to_json().unwrap().get().to_string();
    assert!(Record::parse(JobId(412), &json.replace("\"tasks\":16", "\"tasks\":0")).is_err());
    let mut rng = StdRng::seed_from_u64(2);
    let mut refused = 0;
    for _ in 0..2000 {
        let mut noise = json.clone().into_bytes();
        let at = rng.random_range(0..noise.len());
        noise[at] = rng.random_range(32..127);
        noise.truncate(rng.random_range(1..=noise.len()));
        refused += u32::from(Record::parse(JobId(412), &String::from_utf8_lossy(&noise)).is_err());
    }
    assert!(refused > 1000, "{refused}");
}

#[test]
fn results_survive_in_both_forms() {
    let chunks = vec![(JobId(7), 3, vec![1, 0, 255]), (JobId(9), 0, vec![4])];
    let json = results(&chunks).unwrap();
    assert_eq!(read_results("41-1", json.get()), Some(chunks));
    let old = serde_json::to_string(&STANDARD_NO_PAD.encode([1, 0, 255])).unwrap();
    assert_eq!(read_results("req-000007/3", &old), Some(vec![(JobId(7), 3, vec![1, 0, 255])]));
    for (key, json) in [("req-000007/3", "7"), ("req-000007", &*old), ("1", "{\"x/1\":\"AA\"}")] {
        assert_eq!(read_results(key, json), None);
    }
}

#[test]
fn machine_types_survive() {
    let t = MachineType {
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
    };
    let json = types(std::slice::from_ref(&t)).unwrap();
    assert_eq!(read_types(json.get()), Some(vec![t.clone()]));
    let before = r#"[["g",16,0,64,1,0.4,50,60,1,["a"]]]"#;
    let old = read_types(before).unwrap();
    assert_eq!((old[0].name.as_str(), old[0].cpus, old[0].boot_s), ("g", 16.0, 50.0));
    assert_eq!((old[0].cache_gb, old[0].zones.as_slice()), (60.0, &["a".to_string()][..]));
    assert_eq!(read_types("[[1]]"), None);
    assert!(same_types(&[MachineType { price: 9.0, ..t.clone() }], std::slice::from_ref(&t)));
    assert!(!same_types(&[MachineType { cpus: 9.0, ..t.clone() }], &[t]));
}

/// A leader of this version takes over from one of the last: no machine may be missed.
#[test]
fn machines_survive_in_both_forms() {
    let machine = |name: &str| StoredMachine {
        name: name.into(),
        kind: "g".into(),
        zone: "a".into(),
        spot: true,
        addr: "1.2.3.4:9".into(),
    };
    let all = vec![machine("n-1"), machine("n-2")];
    let json = fleet(&all).unwrap();
    assert_eq!(read_fleet("41-1", json.get()).unwrap(), all);
    assert!(json.get().len() <= all.iter().map(StoredMachine::bytes).sum::<usize>());
    let old = r#"{"kind":"g","zone":"a","spot":true,"addr":"1.2.3.4:9"}"#;
    assert_eq!(read_fleet("n-2", old).unwrap(), [machine("n-2")]);
    assert!(read_fleet("n-2", "{}").is_err() && read_fleet("x", "[1]").is_err());
}
