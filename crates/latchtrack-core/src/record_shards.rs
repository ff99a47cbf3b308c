//! Small records that share a few stored values of bounded size, so that many changes need few
//! writes.
//!
//! A write with an unknown outcome may be applied late, after a newer one. Each write therefore
//! carries the revision that its value must still have, and a value whose revision is in doubt is
//! retired: its entries move to a new name, and the old name is deleted and never reused. So every
//! entry is always in at least one value from which no late write can remove it.

use std::collections::{BTreeMap, BTreeSet};

use crate::Millis;

/// How soon a changed value is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Once the write interval has passed since the last write of the value.
    #[default]
    Deferred,
    /// Immediately.
    Urgent,
}

/// A write of one value.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardWrite<K> {
    /// The name of the value under its prefix.
    pub name: String,
    /// The revision that the value must have, 0 if it must not exist. `None` deletes it at any
    /// revision.
    pub expect: Option<u64>,
    /// The entries of the value; without entries it is deleted.
    pub entries: Vec<K>,
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardOutcome {
    /// The value was written and now has this revision.
    Committed(u64),
    /// The value was not written and never will be.
    NotExecuted,
    /// The value may have been written, or may still be.
    Unknown,
}

/// What is done with a stored value that the state service rejected in a batch of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectedShard {
    /// Its entries are split among smaller values.
    Split,
    /// It has a single entry, which is no longer stored, so that it does not block others.
    Abandoned,
}

#[derive(Clone, Debug)]
struct Shard<K> {
    /// `None` if the shard is retired, to be deleted.
    revision: Option<u64>,
    /// Entries that must be stored in another value before this one is deleted.
    moving: BTreeSet<K>,
    /// Entries with their sizes in bytes.
    entries: BTreeMap<K, usize>,
    bytes: usize,
    written_at: Option<Millis>,
    is_writing: bool,
}

impl<K: Ord> Shard<K> {
    fn new(revision: Option<u64>) -> Self {
        Shard {
            revision,
            moving: BTreeSet::new(),
            entries: BTreeMap::new(),
            bytes: 0,
            written_at: None,
            is_writing: false,
        }
    }

    /// Whether it has no entries and was never written.
    fn is_unused(&self) -> bool {
        self.entries.is_empty() && self.revision == Some(0)
    }
}

/// The stored values under one prefix.
#[derive(Clone, Debug)]
pub struct RecordShards<K> {
    token: u64,
    last_number: u64,
    /// Maximum bytes of entries in one value.
    max_bytes: usize,
    /// Minimum ms between two writes of a value that are not urgent.
    write_interval_ms: Millis,
    shard_of: BTreeMap<K, String>,
    shards: BTreeMap<String, Shard<K>>,
    /// Values that have to be written.
    dirty: BTreeMap<String, Urgency>,
}

impl<K: Ord + Clone> RecordShards<K> {
    /// Creates an empty set of values. The names of new values contain the fencing `token`, so that
    /// no other leader uses them. Each value is filled with at most `max_bytes` of entries.
    pub fn new(token: u64, max_bytes: usize, write_interval_ms: Millis) -> Self {
        RecordShards {
            token,
            last_number: 0,
            max_bytes,
            write_interval_ms,
            shard_of: BTreeMap::new(),
            shards: BTreeMap::new(),
            dirty: BTreeMap::new(),
        }
    }

    /// Adds a stored value, with the size of each entry in bytes. If it has no entries, or one that
    /// another value has too, it is rewritten.
    pub fn load(
        &mut self,
        name: &str,
        revision: u64,
        entries: impl IntoIterator<Item = (K, usize)>,
    ) {
        let mut shard = Shard::new(Some(revision));
        let mut has_duplicate = false;
        for (key, bytes) in entries {
            if self.shard_of.contains_key(&key) {
                has_duplicate = true;
                continue;
            }
            self.shard_of.insert(key.clone(), name.to_string());
            shard.bytes += bytes;
            shard.entries.insert(key, bytes);
        }
        if has_duplicate || shard.entries.is_empty() {
            self.dirty.insert(name.to_string(), Urgency::Deferred);
        }
        self.shards.insert(name.to_string(), shard);
    }

    /// Adds a stored value that is to be replaced: its entries move to new values, and it is
    /// deleted once they are stored there.
    pub fn load_to_replace(&mut self, name: &str, entries: impl IntoIterator<Item = (K, usize)>) {
        let mut shard = Shard::new(None);
        for (key, bytes) in entries {
            // Another value already has this entry.
            if self.shard_of.contains_key(&key) {
                continue;
            }
            shard.moving.insert(key.clone());
            let target = self.assign_shard(key, bytes);
            self.dirty.entry(target).or_default();
        }
        self.shards.insert(name.to_string(), shard);
        self.dirty.insert(name.to_string(), Urgency::Deferred);
    }

    /// Adds an entry of this size, or marks it as changed.
    pub fn put(&mut self, key: K, bytes: usize, urgency: Urgency) {
        let name = match self.shard_of.get(&key) {
            Some(name) => name.clone(),
            None => self.assign_shard(key, bytes),
        };
        let dirty = self.dirty.entry(name).or_default();
        *dirty = urgency.max(*dirty);
    }

    /// Adds a new entry to the first value with enough space, or to a new one. Returns the value's
    /// name.
    fn assign_shard(&mut self, key: K, bytes: usize) -> String {
        let has_space =
            |shard: &Shard<K>| shard.revision.is_some() && shard.bytes + bytes <= self.max_bytes;
        let name = match self.shards.iter().find(|(_, shard)| has_space(shard)) {
            Some((name, _)) => name.clone(),
            None => {
                self.last_number += 1;
                format!("{}-{}", self.token, self.last_number)
            }
        };
        let shard = self.shards.entry(name.clone()).or_insert_with(|| Shard::new(Some(0)));
        shard.bytes += bytes;
        shard.entries.insert(key.clone(), bytes);
        self.shard_of.insert(key, name.clone());
        name
    }

    /// Removes an entry. Rewriting its value is not urgent.
    pub fn remove(&mut self, key: &K) {
        let Some(name) = self.shard_of.remove(key) else { return };
        if let Some(shard) = self.shards.get_mut(&name) {
            shard.bytes -= shard.entries.remove(key).unwrap_or(0);
        }
        self.dirty.entry(name).or_default();
        self.forget_moving(std::slice::from_ref(key));
    }

    /// Records that these entries are stored elsewhere or no longer needed, so that values which
    /// waited for them may be deleted.
    fn forget_moving(&mut self, entries: &[K]) {
        for shard in self.shards.values_mut().filter(|shard| !shard.moving.is_empty()) {
            shard.moving.retain(|key| !entries.contains(key));
        }
    }

    fn is_due(&self, now: Millis, name: &str, urgency: Urgency) -> bool {
        self.shards.get(name).is_some_and(|shard| {
            let is_interval_over =
                || shard.written_at.is_none_or(|at| now >= at + self.write_interval_ms);
            !shard.is_writing
                && shard.moving.is_empty()
                && (urgency == Urgency::Urgent || is_interval_over())
        })
    }

    /// Whether a value has to be written, now or later.
    pub fn has_changes(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Whether a value is due to be written.
    pub fn has_due_write(&self, now: Millis) -> bool {
        self.dirty.iter().any(|(name, urgency)| self.is_due(now, name, *urgency))
    }

    /// Returns the next value that is due to be written, urgent ones first. The caller must report
    /// the outcome with [`Self::write_finished`] or [`Self::write_rejected`].
    pub fn next_write(&mut self, now: Millis) -> Option<ShardWrite<K>> {
        loop {
            let name = self
                .dirty
                .iter()
                .filter(|(name, urgency)| self.is_due(now, name, **urgency))
                .min_by_key(|(_, urgency)| std::cmp::Reverse(**urgency))
                .map(|(name, _)| name.clone())?;
            self.dirty.remove(&name);
            // The value was written under a higher size limit.
            let is_too_large =
                |shard: &Shard<K>| shard.bytes > self.max_bytes && shard.entries.len() > 1;
            if self.shards.get(&name).is_some_and(is_too_large) {
                self.retire(&name);
                continue;
            }
            let shard = self.shards.get_mut(&name)?;
            if shard.is_unused() {
                self.shards.remove(&name);
                continue;
            }
            shard.is_writing = true;
            shard.written_at = Some(now);
            let entries = shard.entries.keys().cloned().collect();
            return Some(ShardWrite { name, expect: shard.revision, entries });
        }
    }

    /// Records the outcome of a write.
    pub fn write_finished(&mut self, write: &ShardWrite<K>, outcome: ShardOutcome) {
        let name = write.name.as_str();
        if let ShardOutcome::Committed(_) = outcome {
            self.forget_moving(&write.entries);
        }
        let Some(shard) = self.shards.get_mut(name) else { return };
        shard.is_writing = false;
        match outcome {
            ShardOutcome::Committed(revision) => {
                if !write.entries.is_empty() {
                    shard.revision = Some(revision);
                } else if !shard.entries.is_empty() {
                    // Entries were added while it was being deleted.
                    shard.revision = Some(0);
                } else {
                    self.shards.remove(name);
                    self.dirty.remove(name);
                }
            }
            ShardOutcome::NotExecuted => {
                shard.written_at = None;
                self.dirty.insert(name.to_string(), Urgency::Urgent);
            }
            ShardOutcome::Unknown => self.retire(name),
        }
    }

    /// Handles the rejection of a value by the state service for its size. Its entries are split
    /// among smaller values, which lowers the size limit from now on. A single entry can't be
    /// split, and is removed.
    pub fn write_rejected(&mut self, write: &ShardWrite<K>) -> RejectedShard {
        self.write_finished(write, ShardOutcome::NotExecuted);
        match write.entries.as_slice() {
            [] => RejectedShard::Split,
            [entry] => {
                self.remove(entry);
                RejectedShard::Abandoned
            }
            _ => {
                let bytes = self.shards.get(&write.name).map_or(self.max_bytes, |s| s.bytes);
                self.max_bytes = self.max_bytes.min(bytes / 2).max(1);
                self.retire(&write.name);
                RejectedShard::Split
            }
        }
    }

    /// Moves the entries of a value to others, and deletes it once they are stored there.
    fn retire(&mut self, name: &str) {
        let Some(shard) = self.shards.get_mut(name) else { return };
        shard.revision = None;
        shard.bytes = 0;
        let entries = std::mem::take(&mut shard.entries);
        shard.moving.extend(entries.keys().cloned());
        for (key, bytes) in entries {
            self.shard_of.remove(&key);
            let target = self.assign_shard(key, bytes);
            self.dirty.insert(target, Urgency::Urgent);
        }
        self.dirty.insert(name.to_string(), Urgency::Urgent);
    }
}
