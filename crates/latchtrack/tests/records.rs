//! Encoding and parsing of the records in the state service.

mod samples;

use std::sync::Arc;

use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;
use latchtrack::wire::records::{
    encode_machine_set, encode_machine_types, encode_results, equal_except_prices,
    parse_machine_set, parse_machine_types, parse_results, Record,
};
use latchtrack_core::job::{JobId, JobSpec, Resources};
use latchtrack_core::machine::MachineType;
use latchtrack_core::scheduler::StoredMachine;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use samples::{full_spec, machine_type, result_chunks, stored_machine};

/// The record of an open gang.
fn open_record() -> Record {
    let spec = JobSpec {
        gang: true,
        demand: Resources { cpus: 4.0, gpus: 0.0, memory_gb: 3.6 },
        zone: None,
        spread: false,
        ..full_spec()
    };
    Record::Open { spec: Arc::new(spec), at_ms: 1_700_000_000_123 }
}

#[test]
fn records_round_trip_and_corrupt_ones_are_rejected() {
    for record in [open_record(), Record::Done { tasks: 3 }, Record::Cancelled { tasks: 4 }] {
        let json = record.to_json().unwrap();
        assert_eq!(Record::parse(JobId(412), json.get()).unwrap(), record);
    }
    let json = open_record().to_json().unwrap().get().to_string();
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
fn results_are_read_in_both_formats() {
    let chunks = result_chunks();
    let json = encode_results(&chunks).unwrap();
    assert_eq!(parse_results("41-1", json.get()), Some(chunks));
    let old = serde_json::to_string(&STANDARD_NO_PAD.encode([1, 0, 255])).unwrap();
    assert_eq!(parse_results("req-000007/3", &old), Some(vec![(JobId(7), 3, vec![1, 0, 255])]));
    for (key, json) in [("req-000007/3", "7"), ("req-000007", &*old), ("1", "{\"x/1\":\"AA\"}")] {
        assert_eq!(parse_results(key, json), None);
    }
}

#[test]
fn machine_types_are_read_in_both_formats() {
    let t = machine_type();
    let json = encode_machine_types(std::slice::from_ref(&t)).unwrap();
    assert_eq!(parse_machine_types(json.get()), Some(vec![t.clone()]));
    let old_format = r#"[["g",16,0,64,1,0.4,50,60,1,["a"]]]"#;
    let old = parse_machine_types(old_format).unwrap();
    assert_eq!((old[0].name.as_str(), old[0].cpus, old[0].boot_s), ("g", 16.0, 50.0));
    assert_eq!((old[0].cache_gb, old[0].zones.as_slice()), (60.0, &["a".to_string()][..]));
    assert_eq!(parse_machine_types("[[1]]"), None);
    assert!(equal_except_prices(
        &[MachineType { price: 9.0, ..t.clone() }],
        std::slice::from_ref(&t)
    ));
    assert!(!equal_except_prices(&[MachineType { cpus: 9.0, ..t.clone() }], &[t]));
}

/// In an upgrade, a leader must read every machine that the previous version stored.
#[test]
fn machine_sets_are_read_in_both_formats() {
    let machines = vec![stored_machine("n-1"), stored_machine("n-2")];
    let json = encode_machine_set(&machines).unwrap();
    assert_eq!(parse_machine_set("41-1", json.get()).unwrap(), machines);
    assert!(json.get().len() <= machines.iter().map(StoredMachine::bytes).sum::<usize>());
    let old = r#"{"kind":"g","zone":"a","spot":true,"addr":"1.2.3.4:9"}"#;
    assert_eq!(parse_machine_set("n-2", old).unwrap(), [stored_machine("n-2")]);
    assert!(parse_machine_set("n-2", "{}").is_err() && parse_machine_set("x", "[1]").is_err());
}
