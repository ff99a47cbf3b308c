//! The leader's transactions, and how their conflicts are interpreted.

use latchtrack::actors::stored::{conflict_outcome, record_transaction};
use latchtrack::wire::records::LEADER_KEY;
use latchtrack::wire::store::Change;
use latchtrack_core::job::JobId;
use latchtrack_core::record_shards::ShardWrite;
use latchtrack_core::scheduler::{BatchOutcome, RecordWrite};

#[test]
fn every_write_of_the_leader_is_fenced() {
    let shard = |expect| ShardWrite { name: "41-1".into(), expect, entries: Vec::new() };
    let writes = vec![
        RecordWrite::MachineSet { shard: shard(Some(7)), machines: Vec::new() },
        RecordWrite::Results {
            shard: ShardWrite { name: "41-1".into(), expect: None, entries: Vec::new() },
            chunks: vec![(JobId(5), 0, vec![3])],
        },
        RecordWrite::JobDone { job: JobId(5), revision: 9, tasks: 2 },
    ];
    let txn = record_transaction(41, &writes).unwrap();
    let fences: Vec<(&str, u64)> =
        txn.conditions.iter().map(|c| (c.key.as_str(), c.revision)).collect();
    assert_eq!(fences, [(LEADER_KEY, 41), ("fleet/41-1", 7), ("live/job/req-000005", 9)]);
    assert_eq!(txn.changes.len(), 3);
    assert!(matches!(&txn.changes[0], Change::Delete { key } if key == "fleet/41-1"));
    let failed = ["fleet/41-1".to_string(), "live/job/req-000005".to_string()];
    let BatchOutcome::Conflict { jobs, machine_sets, .. } = conflict_outcome(&failed) else {
        panic!()
    };
    assert_eq!((jobs, machine_sets), (vec![JobId(5)], vec!["41-1".to_string()]));
}
