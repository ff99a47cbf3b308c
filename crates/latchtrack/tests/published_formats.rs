//! The exact formats that the version in production stores and sends.
//!
//! During an upgrade, nodes of two versions process each other's data, so these literals are a
//! published format. They were written by the production version (`production` in
//! `deploy/service.toml`), must always be readable, and must match what is written now.

mod samples;

use std::sync::Arc;

use latchtrack::wire::peers::{decode, encode, Answer, Frame, JobCounts, PeerRequest};
use latchtrack::wire::records::{
    encode_machine_set, encode_machine_types, encode_results, job_key, machine_set_key,
    parse_machine_set, parse_machine_types, parse_results, results_key, LeaderRecord, Record,
    LEADER_KEY, MACHINE_TYPES_KEY,
};
use latchtrack::wire::status::NodeView;
use latchtrack_core::bitmap::Bitmap;
use latchtrack_core::constants::{ATTEMPT_BITS, LEGACY_CHUNK_TASKS};
use latchtrack_core::job::{JobId, JobSpec, Priority, Resources};
use samples::{full_spec, machine_type, result_chunks, stored_machine};

/// A job without optional fields.
fn minimal_spec() -> JobSpec {
    JobSpec {
        priority: Priority::Low,
        demand: Resources { cpus: 4.0, gpus: 0.0, memory_gb: 3.6 },
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        ..full_spec()
    }
}

#[test]
fn job_records_are_read_and_written_as_published() {
    let open = |spec, at_ms| Record::Open { spec: Arc::new(spec), at_ms };
    for (record, text) in [
        (
            open(full_spec(), 1_700_000_000_123),
            r#"{"state":"open","at_ms":1700000000123,"class":"c","team":"t","priority":1,"tasks":16,"cpus":4.0,"gpus":1.0,"memory_gb":3.6,"types":["g"],"zone":"a","one_zone":true,"spread":true,"spot":true,"image":"i","image_gb":1.5,"estimate_s":20.0,"checkpoint_s":30.0,"save_s":2.0,"deadline_s":90.5}"#,
        ),
        (
            open(minimal_spec(), 1),
            r#"{"state":"open","at_ms":1,"class":"c","team":"t","priority":3,"tasks":16,"cpus":4.0,"memory_gb":3.6,"image":"i","image_gb":1.5,"estimate_s":20.0}"#,
        ),
        (Record::Done { tasks: 3 }, r#"{"state":"done","tasks":3}"#),
        (Record::Cancelled { tasks: 4 }, r#"{"state":"cancelled","tasks":4}"#),
    ] {
        assert_eq!(record.to_json().unwrap().get(), text);
        assert_eq!(Record::parse(JobId(412), text).unwrap(), record);
    }
}

#[test]
fn keys_and_the_leader_record_are_as_published() {
    assert_eq!(LEADER_KEY, "live/leader");
    assert_eq!(job_key(JobId(412)), "live/job/req-000412");
    assert_eq!(results_key("41-1"), "results/41-1");
    assert_eq!(machine_set_key("41-1"), "fleet/41-1");
    assert_eq!(MACHINE_TYPES_KEY, "site/types");
    let record = LeaderRecord { node: "n".into(), run: 7, lease: 9 };
    let text = r#"{"node":"n","run":7,"lease":9}"#;
    assert_eq!(serde_json::to_string(&record).unwrap(), text);
    assert_eq!(serde_json::from_str::<LeaderRecord>(text).unwrap(), record);
}

#[test]
fn machine_sets_are_read_and_written_as_published() {
    let machines = [stored_machine("n-1"), stored_machine("n-2")];
    let text = r#"[["n-1","g","a",true,"1.2.3.4:9"],["n-2","g","a",true,"1.2.3.4:9"]]"#;
    assert_eq!(encode_machine_set(&machines).unwrap().get(), text);
    assert_eq!(parse_machine_set("41-1", text).unwrap(), machines);
}

#[test]
fn results_are_read_and_written_as_published() {
    let chunks = result_chunks();
    let text = r#"{"req-000007/3":"AQD/","req-000009/0":"BA"}"#;
    assert_eq!(encode_results(&chunks).unwrap().get(), text);
    assert_eq!(parse_results("41-1", text), Some(chunks));
    // Chunk 3 starts at task 49,152. The lowest bit comes first.
    assert_eq!(LEGACY_CHUNK_TASKS, 16_384);
    let mut done = Bitmap::new(100_000);
    done.merge_chunk(3, &[1, 0, 255]);
    let set: Vec<u32> = (0..100_000).filter(|i| done.get(*i)).collect();
    let expected: Vec<u32> = std::iter::once(49_152).chain(49_168..49_176).collect();
    assert_eq!(set, expected);
}

#[test]
fn machine_types_are_read_and_written_as_published() {
    let machine_type = machine_type();
    let text = r#"[{"name":"g","cpus":8.0,"gpus":1.0,"memory_gb":32.0,"price":1.0,"spot_price":0.3,"boot_s":10.0,"cache_gb":30.0,"fetch_gb_per_s":0.5,"zones":["a","b"]}]"#;
    assert_eq!(encode_machine_types(std::slice::from_ref(&machine_type)).unwrap().get(), text);
    assert_eq!(parse_machine_types(text).unwrap(), [machine_type]);
}

/// The order of variants and of their fields is part of the format.
#[test]
fn frames_between_nodes_are_read_and_written_as_published() {
    let request_frame = |request| Frame::Request { id: 300, request };
    let answer_frame = |id, status, retry_after, body: &[u8]| Frame::Answer {
        id,
        answer: Answer { status, retry_after, body: body.to_vec() },
    };
    let jobs = vec![JobCounts { job: 412, done: 2, running: 300 }];
    let progress = Frame::Progress { token: 7, jobs, overdue: vec!["n-1".into()] };
    let published: [(Frame, &[u8]); 9] = [
        (progress, &[0, 7, 1, 251, 156, 1, 2, 251, 44, 1, 1, 3, 110, 45, 49]),
        (Frame::Health { store: true }, &[1, 1]),
        (request_frame(PeerRequest::Submit(b"{}".to_vec())), &[2, 251, 44, 1, 0, 2, 123, 125]),
        (request_frame(PeerRequest::Query("r".into())), &[2, 251, 44, 1, 1, 1, 114]),
        (request_frame(PeerRequest::Cancel("r".into())), &[2, 251, 44, 1, 2, 1, 114]),
        (request_frame(PeerRequest::Heartbeat(b"{}".to_vec())), &[2, 251, 44, 1, 3, 2, 123, 125]),
        (request_frame(PeerRequest::Status), &[2, 251, 44, 1, 4]),
        (answer_frame(300, 503, Some(1), b"x"), &[3, 251, 44, 1, 251, 247, 1, 1, 1, 1, 120]),
        (answer_frame(1, 200, None, b""), &[3, 1, 200, 0, 0]),
    ];
    for (frame, bytes) in published {
        assert_eq!(encode(&frame).unwrap(), bytes, "{frame:?}");
        assert_eq!(decode(bytes), Some(frame));
    }
}

/// An attempt number has the leader's fencing token in its high bits and the number of the launch
/// in its low bits. Leaders of either version recognise their own attempts by the token.
#[test]
fn attempt_numbers_are_as_published() {
    assert_eq!(ATTEMPT_BITS, 24);
}

/// Nodes query this status from each other for `latchtrack status`.
#[test]
fn the_status_of_a_node_is_read_as_published() {
    let published = r#"{"served":true,"leader":"n","picture":{"token":7,"acting":true,"machines_up":3,"machines_booting":2,"machines_late":1,"machines_unsettled":0,"late_boots":["g in a"],"quiet_zones":["b"],"jobs_open":4,"jobs_in_doubt":["req-000001"],"tasks_waiting":5,"cpus":24.0,"cpus_running":8.0}}"#;
    let view: NodeView = serde_json::from_str(published).unwrap();
    let cluster = view.cluster.clone().unwrap();
    assert_eq!((view.served, cluster.jobs_open, cluster.cpus_running), (true, 4, 8.0));
    assert_eq!(cluster.gangs_open, 0, "a field that the production version does not send");
    // The current format has the same fields, and one more that earlier versions ignore.
    let written = serde_json::to_string(&view).unwrap();
    assert_eq!(written.replace(",\"gangs_open\":0", ""), published);
}
