//! Small records that share a few stored values of bounded size, so that many changes cost few
//! writes.
//!
//! A write of a value whose outcome is unknown may be applied late, after a newer one. So each
//! write carries the revision that its value must still have, and a value whose revision is in doubt
//! is retired: its entries move to a new name and the old name is dropped, never to be used again. An
//! entry is thus always in at least one value that no late write can take it out of.

use std::collections::{BTreeMap, BTreeSet};

use crate::Millis;

/// How soon a changed value is to be written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// When the write interval since its last write is over: nobody waits for it.
    #[default]
    Deferred,
    /// At once.
    Urgent,
}

/// One value to write.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardWrite<K> {
    /// The value's name under its prefix.
    pub name: String,
    /// The revision that it must have, 0 for none; `None`: drop it whatever it is.
    pub expect: Option<u64>,
    /// What is in it; without entries it is dropped.
    pub entries: Vec<K>,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardOutcome {
    /// Written, with the revision that the value has now.
    Committed(u64),
    /// Surely not written, and never will be.
    NotExecuted,
    /// May have been written, or may be later.
    Unknown,
}

/// What happens to a stored value that the state service rejected by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectedShard {
    /// Its entries are stored in smaller values.
    Split,
    /// It has one entry alone, which is not stored at all, so that it blocks no other.
    Abandoned,
}

#[derive(Clone, Debug)]
struct Shard<K> {
    /// `None`: retired, to be dropped.
    revision: Option<u64>,
    /// Entries that must be in another stored value before this one is dropped.
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

/// The values under one prefix.
#[derive(Clone, Debug)]
pub struct RecordShards<K> {
    token: u64,
    last_number: u64,
    /// Bytes of entries in one value at most.
    max_bytes: usize,
    /// ms between two writes of a value for which nobody waits.
    write_interval_ms: Millis,
    shard_of: BTreeMap<K, String>,
    shards: BTreeMap<String, Shard<K>>,
    /// Values to be written.
    dirty: BTreeMap<String, Urgency>,
}

impl<K: Ord + Clone> RecordShards<K> {
    /// No values yet. The fencing `token` makes the names of new values, which no other leader has;
    /// each is filled with at most `max_bytes` of entries.
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

    /// Takes in a stored value, with the size of each entry in bytes. One without entries of use,
    /// or with an entry that another value has too, is written anew.
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

    /// Takes in a stored value that is to go: its entries move to new values, and it is dropped
    /// when they are stored there.
    pub fn load_to_replace(&mut self, name: &str, entries: impl IntoIterator<Item = (K, usize)>) {
        let mut shard = Shard::new(None);
        for (key, bytes) in entries {
            // Another value has it already.
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

    /// Puts an entry of this size in, or marks it as changed.
    pub fn put(&mut self, key: K, bytes: usize, urgency: Urgency) {
        let name = match self.shard_of.get(&key) {
            Some(name) => name.clone(),
            None => self.assign_shard(key, bytes),
        };
        let dirty = self.dirty.entry(name).or_default();
        *dirty = urgency.max(*dirty);
    }

    /// Puts a new entry into the first value that has space, or a new one; returns its name.
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

    /// Takes an entry out; its value is written anew when there is time.
    pub fn remove(&mut self, key: &K) {
        let Some(name) = self.shard_of.remove(key) else { return };
        if let Some(shard) = self.shards.get_mut(&name) {
            shard.bytes -= shard.entries.remove(key).unwrap_or(0);
        }
        self.dirty.entry(name).or_default();
        self.forget_moving(std::slice::from_ref(key));
    }

    /// These entries are stored elsewhere or not needed: what waited for them may be dropped.
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

    /// Whether a value is to be written now.
    pub fn has_due_write(&self, now: Millis) -> bool {
        self.dirty.iter().any(|(name, urgency)| self.is_due(now, name, *urgency))
    }

    /// The next value to write, if there is one that is due: urgent ones first. How the write ended
    /// must be told by [`Self::write_finished`] or [`Self::write_rejected`].
    pub fn next_write(&mut self, now: Millis) -> Option<ShardWrite<K>> {
        loop {
            let name = self
                .dirty
                .iter()
                .filter(|(name, urgency)| self.is_due(now, name, **urgency))
                .min_by_key(|(_, urgency)| std::cmp::Reverse(**urgency))
                .map(|(name, _)| name.clone())?;
            self.dirty.remove(&name);
            // Written under a higher limit than today's.
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

    /// Takes in how the write of a value ended.
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
                    // Dropped while something new was put in.
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

    /// The state service rejected a value for its size: its entries are stored in smaller ones from
    /// now on. A single entry can't be stored, and is taken out.
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

    /// Moves a value's entries to others; it is dropped when they are stored there.
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
