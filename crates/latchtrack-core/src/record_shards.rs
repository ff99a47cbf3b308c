//! Entries spread over a few stored values of bounded size, so that many changes cost few writes.
//!
//! A write of a value whose outcome is unknown may be applied late, after a newer one. So each write
//! carries the stamp that its value must still have, and a value whose stamp is a suspect is retired:
//! its entries move to a new name and the old name is dropped, never to be used again. An entry is
//! thus always in at least one value that no late write can take it out of.

use std::collections::{BTreeMap, BTreeSet};

use crate::Millis;

/// One value to write.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardWrite<K> {
    pub name: String,
    /// The stamp that it must have, 0 for none; None: drop it whatever it is.
    pub expect: Option<u64>,
    /// Without any it is a drop.
    pub entries: Vec<K>,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardOutcome {
    /// With the stamp that the value has now.
    Committed(u64),
    /// Surely not, and never will be.
    NotExecuted,
    Unknown,
}

#[derive(Clone, Debug)]
struct Shard<K> {
    /// None: in doubt, to be dropped.
    revision: Option<u64>,
    /// Entries that must be in another stored value before this one is dropped.
    moving: BTreeSet<K>,
    /// Entries with their sizes.
    entries: BTreeMap<K, usize>,
    bytes: usize,
    written_at: Option<Millis>,
    writing: bool,
}

impl<K: Ord> Shard<K> {
    fn new(revision: Option<u64>) -> Self {
        Shard {
            revision,
            moving: BTreeSet::new(),
            entries: BTreeMap::new(),
            bytes: 0,
            written_at: None,
            writing: false,
        }
    }
}

/// The values under one prefix.
#[derive(Clone, Debug)]
pub struct RecordShards<K> {
    token: u64,
    next: u64,
    /// Bytes of entries in one value.
    most: usize,
    /// ms between two writes of a value that nobody waits for.
    gap: Millis,
    of: BTreeMap<K, String>,
    packs: BTreeMap<String, Shard<K>>,
    /// To be written, at once (true) or after the gap.
    dirty: BTreeMap<String, bool>,
}

impl<K: Ord + Clone> RecordShards<K> {
    /// `token` makes the names of new values; no other leader has them.
    pub fn new(token: u64, most: usize, gap: Millis) -> Self {
        RecordShards {
            token,
            next: 0,
            most,
            gap,
            of: BTreeMap::new(),
            packs: BTreeMap::new(),
            dirty: BTreeMap::new(),
        }
    }

    /// Takes in a stored value. One without entries of use, or with an entry that another has too,
    /// is written anew.
    pub fn load(
        &mut self,
        name: &str,
        revision: u64,
        entries: impl IntoIterator<Item = (K, usize)>,
    ) {
        let mut pack = Shard::new(Some(revision));
        let mut clean = true;
        for (k, size) in entries {
            if self.of.contains_key(&k) {
                clean = false;
                continue;
            }
            self.of.insert(k.clone(), name.to_string());
            pack.bytes += size;
            pack.entries.insert(k, size);
        }
        if !clean || pack.entries.is_empty() {
            self.dirty.insert(name.to_string(), false);
        }
        self.packs.insert(name.to_string(), pack);
    }

    /// Takes in a stored value that is to go: its entries move to new values, and it is dropped when they
    /// are stored there.
    pub fn load_to_replace(&mut self, name: &str, entries: impl IntoIterator<Item = (K, usize)>) {
        let mut pack = Shard::new(None);
        for (k, size) in entries {
            // Another value has it already.
            if self.of.contains_key(&k) {
                continue;
            }
            pack.moving.insert(k.clone());
            let to = self.place(k, size);
            self.dirty.entry(to).or_default();
        }
        self.packs.insert(name.to_string(), pack);
        self.dirty.insert(name.to_string(), false);
    }

    /// Puts an entry in, or marks it as changed. `urgent`: somebody waits for it.
    pub fn put(&mut self, k: K, size: usize, urgent: bool) {
        let name = match self.of.get(&k) {
            Some(name) => name.clone(),
            None => self.place(k, size),
        };
        *self.dirty.entry(name).or_default() |= urgent;
    }

    fn place(&mut self, k: K, size: usize) -> String {
        let fits = |p: &Shard<K>| p.revision.is_some() && p.bytes + size <= self.most;
        let name = match self.packs.iter().find(|(_, p)| fits(p)) {
            Some((name, _)) => name.clone(),
            None => {
                self.next += 1;
                let name = format!("{}-{}", self.token, self.next);
                self.packs.insert(name.clone(), Shard::new(Some(0)));
                name
            }
        };
        if let Some(p) = self.packs.get_mut(&name) {
            p.bytes += size;
            p.entries.insert(k.clone(), size);
        }
        self.of.insert(k, name.clone());
        name
    }

    /// Takes an entry out; its value is written anew when there is time.
    pub fn remove(&mut self, k: &K) {
        let Some(name) = self.of.remove(k) else { return };
        if let Some(p) = self.packs.get_mut(&name) {
            p.bytes -= p.entries.remove(k).unwrap_or(0);
        }
        self.dirty.entry(name).or_default();
        self.forget_moving(std::slice::from_ref(k));
    }

    /// These entries are stored elsewhere or not needed: what waited for them may be dropped.
    fn forget_moving(&mut self, entries: &[K]) {
        for p in self.packs.values_mut().filter(|p| !p.moving.is_empty()) {
            p.moving.retain(|k| !entries.contains(k));
        }
    }

    fn is_due(&self, now: Millis, name: &str, urgent: bool) -> bool {
        self.packs.get(name).is_some_and(|p| {
            !p.writing
                && p.moving.is_empty()
                && (urgent || p.written_at.is_none_or(|at| now >= at + self.gap))
        })
    }

    /// Whether a value is to be written now.
    pub fn due(&self, now: Millis) -> bool {
        self.dirty.iter().any(|(name, urgent)| self.is_due(now, name, *urgent))
    }

    /// The next value to write, if there is one that is due. Its outcome must be told.
    pub fn next(&mut self, now: Millis) -> Option<ShardWrite<K>> {
        loop {
            let name = self
                .dirty
                .iter()
                .filter(|(name, urgent)| self.is_due(now, name, **urgent))
                .min_by_key(|(_, urgent)| !**urgent)
                .map(|(name, _)| name.clone())?;
            self.dirty.remove(&name);
            // Written under a higher limit than today's.
            let is_too_large = |p: &Shard<K>| p.bytes > self.most && p.entries.len() > 1;
            if self.packs.get(&name).is_some_and(is_too_large) {
                self.retire(&name);
                continue;
            }
            let p = self.packs.get_mut(&name)?;
            if p.entries.is_empty() && p.revision == Some(0) {
                // Was never written.
                self.packs.remove(&name);
                continue;
            }
            p.writing = true;
            p.written_at = Some(now);
            let entries = p.entries.keys().cloned().collect();
            return Some(ShardWrite { name, expect: p.revision, entries });
        }
    }

    /// How the write of a value ended.
    pub fn wrote(&mut self, write: &ShardWrite<K>, outcome: ShardOutcome) {
        let name = write.name.as_str();
        if let ShardOutcome::Committed(_) = outcome {
            self.forget_moving(&write.entries);
        }
        let Some(p) = self.packs.get_mut(name) else { return };
        p.writing = false;
        match outcome {
            ShardOutcome::Committed(revision) => {
                if write.entries.is_empty() && !p.entries.is_empty() {
                    // Dropped while something new was put in.
                    p.revision = Some(0);
                } else if write.entries.is_empty() {
                    self.packs.remove(name);
                    self.dirty.remove(name);
                } else {
                    p.revision = Some(revision);
                }
            }
            ShardOutcome::NotExecuted => {
                p.written_at = None;
                self.dirty.insert(name.to_string(), true);
            }
            ShardOutcome::Unknown => self.retire(name),
        }
    }

    /// A value was refused for its size: its entries are stored in smaller ones from now on. True if it has
    /// one alone, which can't be stored: it is given up, so that it blocks no other.
    pub fn refused(&mut self, write: &ShardWrite<K>) -> bool {
        self.wrote(write, ShardOutcome::NotExecuted);
        match write.entries.as_slice() {
            [] => false,
            [entry] => {
                self.remove(entry);
                true
            }
            _ => {
                let bytes = self.packs.get(&write.name).map_or(self.most, |p| p.bytes);
                self.most = self.most.min(bytes / 2).max(1);
                self.retire(&write.name);
                false
            }
        }
    }

    /// Moves a value's entries to others; it is dropped when they are stored there.
    fn retire(&mut self, name: &str) {
        let Some(p) = self.packs.get_mut(name) else { return };
        p.revision = None;
        p.bytes = 0;
        let entries = std::mem::take(&mut p.entries);
        p.moving.extend(entries.keys().cloned());
        for (k, size) in entries {
            self.of.remove(&k);
            let to = self.place(k, size);
            self.dirty.insert(to, true);
        }
        self.dirty.insert(name.to_string(), true);
    }
}
