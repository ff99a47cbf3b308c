//! Record shards, whose entries share stored values: writes that are applied late, the number of
//! writes, and values that exceed a lowered size limit.

use std::collections::{BTreeMap, BTreeSet};

use latchtrack_core::record_shards::*;

/// Random changes on a store that applies some writes late or never. After every step, each entry
/// that was stored and not removed since must be found in the store.
#[test]
fn late_writes_lose_no_entries() {
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};
    let mut late_applied = 0;
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut shards: RecordShards<u32> = RecordShards::new(7, 40, 500);
        let mut store: BTreeMap<String, (u64, Vec<u32>)> = BTreeMap::new();
        let mut late: Vec<ShardWrite<u32>> = Vec::new();
        let (mut stored, mut next, mut revision) = (BTreeSet::new(), 0, 0);
        for step in 0..400u64 {
            let now = step * 100;
            match rng.random_range(0..3) {
                0 => {
                    next += 1;
                    shards.put(next, 10, Urgency::Urgent);
                }
                1 => {
                    let k = rng.random_range(0..=next);
                    stored.remove(&k);
                    shards.remove(&k);
                }
                _ => {}
            }
            let mut apply = |write: &ShardWrite<u32>, revision: &mut u64| {
                let have = store.get(&write.name).map_or(0, |(revision, _)| *revision);
                if write.expect.is_some_and(|expected| expected != have) {
                    return false;
                }
                *revision += 1;
                if write.entries.is_empty() {
                    store.remove(&write.name);
                } else {
                    store.insert(write.name.clone(), (*revision, write.entries.clone()));
                }
                true
            };
            if rng.random_bool(0.2) && !late.is_empty() {
                let write = late.swap_remove(rng.random_range(0..late.len()));
                late_applied += u32::from(apply(&write, &mut revision));
            }
            let Some(write) = shards.next_write(now) else { continue };
            match rng.random_range(0..4) {
                0 => {
                    late.push(write.clone());
                    shards.write_finished(&write, ShardOutcome::Unknown);
                }
                1 => shards.write_finished(&write, ShardOutcome::NotExecuted),
                _ if apply(&write, &mut revision) => {
                    stored.extend(write.entries.iter().copied());
                    shards.write_finished(&write, ShardOutcome::Committed(revision));
                }
                _ => shards.write_finished(&write, ShardOutcome::Unknown),
            }
            let found: BTreeSet<u32> =
                store.values().flat_map(|(_, entries)| entries.iter().copied()).collect();
            let lost: Vec<&u32> = stored.iter().filter(|key| !found.contains(key)).collect();
            assert!(lost.is_empty(), "seed {seed} step {step}: {lost:?}");
        }
    }
    assert!(late_applied > 100, "{late_applied}");
}

#[test]
fn many_entries_cost_few_writes() {
    let mut shards: RecordShards<u32> = RecordShards::new(7, 4_000, 500);
    for k in 0..1_000 {
        shards.put(k, 80, Urgency::Urgent);
    }
    let mut writes = 0;
    while let Some(write) = shards.next_write(0) {
        assert!(write.entries.len() <= 50);
        writes += 1;
    }
    assert_eq!(writes, 20);
    assert!(!shards.has_due_write(0));
}

/// Values written under a higher size limit can still be read, and are split when they are next
/// written. No written value exceeds the current limit, and no entry is ever missing.
#[test]
fn values_above_a_lowered_limit_are_split_on_their_next_write() {
    let mut store: BTreeMap<String, Vec<u32>> = BTreeMap::new();
    let mut shards: RecordShards<u32> = RecordShards::new(9, 100, 0);
    for value in 0..5u32 {
        let name = format!("7-{value}");
        let entries: Vec<u32> = (value * 30..value * 30 + 30).collect();
        shards.load(&name, u64::from(value) + 1, entries.iter().map(|k| (*k, 10)));
        store.insert(name, entries);
    }
    assert!(!shards.has_due_write(0), "reading a value causes no write");
    for value in 0..5u32 {
        shards.remove(&(value * 30));
    }
    let mut revision = 10;
    while let Some(write) = shards.next_write(0) {
        assert!(write.entries.len() <= 10, "{} entries of 10 bytes", write.entries.len());
        revision += 1;
        if write.entries.is_empty() {
            store.remove(&write.name);
        } else {
            store.insert(write.name.clone(), write.entries.clone());
        }
        shards.write_finished(&write, ShardOutcome::Committed(revision));
        let found: BTreeSet<u32> = store.values().flatten().copied().collect();
        let missing = (0..150).filter(|k| k % 30 != 0 && !found.contains(k)).count();
        assert_eq!(missing, 0, "after {}", write.name);
    }
    assert!(store.keys().all(|name| name.starts_with("9-")), "{:?}", store.keys());
}

/// A value whose entries are stored in a new form is deleted only after all of them are stored.
#[test]
fn a_replaced_value_is_kept_until_its_entries_are_stored() {
    let mut shards: RecordShards<u32> = RecordShards::new(9, 100, 0);
    shards.load_to_replace("7-1", (0..25).map(|k| (k, 10)));
    let mut stored = BTreeSet::new();
    let mut dropped = false;
    while let Some(write) = shards.next_write(0) {
        if write.name == "7-1" {
            assert!(write.entries.is_empty());
            assert_eq!(stored.len(), 25, "deleted before all entries were stored");
            dropped = true;
        }
        stored.extend(write.entries.iter().copied());
        shards.write_finished(&write, ShardOutcome::Committed(1));
    }
    assert!(dropped);
}
