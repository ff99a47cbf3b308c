//! Entries spread over a few stored values of bounded size, so that many changes cost few writes.
//!
//! A write of a value whose outcome is unknown may be applied late, after a newer one. So each write
//! carries the stamp that its value must still have, and a value whose stamp is in doubt is retired:
//! its entries move to a new name and the old name is dropped, never to be used again. An entry is
//! thus always in at least one value that no late write can take it out of.

use std::collections::{BTreeMap, BTreeSet};

use crate::Millis;

/// One value to write.
#[derive(Clone, Debug, PartialEq)]
pub struct PackWrite<K> {
    pub name: String,
    /// The stamp that it must have, 0 for none; None: drop it whatever it is.
    pub expect: Option<u64>,
    /// Without any it is a drop.
    pub entries: Vec<K>,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrote {
    /// With the stamp that the value has now.
    Yes(u64),
    /// Surely not, and never will be.
    No,
    Unknown,
}

#[derive(Clone, Debug)]
struct Pack<K> {
    /// None: in doubt, to be dropped.
    stamp: Option<u64>,
    /// Entries that must be in another stored value before this one is dropped.
    moving: BTreeSet<K>,
    /// Entries with their sizes.
    entries: BTreeMap<K, usize>,
    bytes: usize,
    written_at: Option<Millis>,
    writing: bool,
}

impl<K: Ord> Pack<K> {
    fn new(stamp: Option<u64>) -> Self {
        Pack {
            stamp,
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
pub struct Packs<K> {
    token: u64,
    next: u64,
    /// Bytes of entries in one value.
    most: usize,
    /// ms between two writes of a value that nobody waits for.
    gap: Millis,
    of: BTreeMap<K, String>,
    packs: BTreeMap<String, Pack<K>>,
    /// To be written, at once (true) or after the gap.
    dirty: BTreeMap<String, bool>,
}

impl<K: Ord + Clone> Packs<K> {
    /// `token` makes the names of new values; no other leader has them.
    pub fn new(token: u64, most: usize, gap: Millis) -> Self {
        Packs {
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
    pub fn load(&mut self, name: &str, stamp: u64, entries: impl IntoIterator<Item = (K, usize)>) {
        let mut pack = Pack::new(Some(stamp));
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

    /// Puts an entry in, or marks it as changed. `urgent`: somebody waits for it.
    pub fn put(&mut self, k: K, size: usize, urgent: bool) {
        let name = match self.of.get(&k) {
            Some(name) => name.clone(),
            None => self.place(k, size),
        };
        *self.dirty.entry(name).or_default() |= urgent;
    }

    fn place(&mut self, k: K, size: usize) -> String {
        let fits = |p: &Pack<K>| p.stamp.is_some() && p.bytes + size <= self.most;
        let name = match self.packs.iter().find(|(_, p)| fits(p)) {
            Some((name, _)) => name.clone(),
            None => {
                self.next += 1;
                let name = format!("{}-{}", self.token, self.next);
                self.packs.insert(name.clone(), Pack::new(Some(0)));
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
    pub fn next(&mut self, now: Millis) -> Option<PackWrite<K>> {
        loop {
            let name = self
                .dirty
                .iter()
                .filter(|(name, urgent)| self.is_due(now, name, **urgent))
                .min_by_key(|(_, urgent)| !**urgent)
                .map(|(name, _)| name.clone())?;
            self.dirty.remove(&name);
            let p = self.packs.get_mut(&name)?;
            if p.entries.is_empty() && p.stamp == Some(0) {
                // Was never written.
                self.packs.remove(&name);
                continue;
            }
            p.writing = true;
            p.written_at = Some(now);
            let entries = p.entries.keys().cloned().collect();
            return Some(PackWrite { name, expect: p.stamp, entries });
        }
    }

    /// How the write of a value ended.
    pub fn wrote(&mut self, write: &PackWrite<K>, outcome: Wrote) {
        let name = write.name.as_str();
        if let Wrote::Yes(_) = outcome {
            self.forget_moving(&write.entries);
        }
        let Some(p) = self.packs.get_mut(name) else { return };
        p.writing = false;
        match outcome {
            Wrote::Yes(stamp) => {
                if write.entries.is_empty() && !p.entries.is_empty() {
                    // Dropped while something new was put in.
                    p.stamp = Some(0);
                } else if write.entries.is_empty() {
                    self.packs.remove(name);
                    self.dirty.remove(name);
                } else {
                    p.stamp = Some(stamp);
                }
            }
            Wrote::No => {
                p.written_at = None;
                self.dirty.insert(name.to_string(), true);
            }
            Wrote::Unknown => {
                p.stamp = None;
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
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A store that applies writes late, twice or never, and a random run over it: whatever was
    /// written and not removed must be found by whoever reads the store next.
    #[test]
    fn no_late_write_takes_an_entry_away() {
        use rand::rngs::StdRng;
        use rand::{Rng, SeedableRng};
        let mut late_applied = 0;
        for seed in 0..200 {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut packs: Packs<u32> = Packs::new(7, 40, 500);
            let mut store: BTreeMap<String, (u64, Vec<u32>)> = BTreeMap::new();
            let mut late: Vec<PackWrite<u32>> = Vec::new();
            let (mut stored, mut next, mut epoch) = (BTreeSet::new(), 0, 0);
            for step in 0..400u64 {
                let now = step * 100;
                match rng.random_range(0..3) {
                    0 => {
                        next += 1;
                        packs.put(next, 10, true);
                    }
                    1 => {
                        let k = rng.random_range(0..=next);
                        stored.remove(&k);
                        packs.remove(&k);
                    }
                    _ => {}
                }
                let mut apply = |w: &PackWrite<u32>, epoch: &mut u64| {
                    let have = store.get(&w.name).map_or(0, |(stamp, _)| *stamp);
                    if w.expect.is_some_and(|e| e != have) {
                        return false;
                    }
                    *epoch += 1;
                    if w.entries.is_empty() {
                        store.remove(&w.name);
                    } else {
                        store.insert(w.name.clone(), (*epoch, w.entries.clone()));
                    }
                    true
                };
                if rng.random_bool(0.2) && !late.is_empty() {
                    let w = late.swap_remove(rng.random_range(0..late.len()));
                    late_applied += u32::from(apply(&w, &mut epoch));
                }
                let Some(w) = packs.next(now) else { continue };
                match rng.random_range(0..4) {
                    0 => {
                        late.push(w.clone());
                        packs.wrote(&w, Wrote::Unknown);
                    }
                    1 => packs.wrote(&w, Wrote::No),
                    _ if apply(&w, &mut epoch) => {
                        stored.extend(w.entries.iter().copied());
                        packs.wrote(&w, Wrote::Yes(epoch));
                    }
                    _ => packs.wrote(&w, Wrote::Unknown),
                }
                let found: BTreeSet<u32> =
                    store.values().flat_map(|(_, entries)| entries.iter().copied()).collect();
                let lost: Vec<&u32> = stored.iter().filter(|k| !found.contains(k)).collect();
                assert!(lost.is_empty(), "seed {seed} step {step}: {lost:?}");
            }
        }
        assert!(late_applied > 100, "{late_applied}");
    }

    #[test]
    fn many_entries_cost_few_writes() {
        let mut packs: Packs<u32> = Packs::new(7, 4_000, 500);
        for k in 0..1_000 {
            packs.put(k, 80, true);
        }
        let mut writes = 0;
        while let Some(w) = packs.next(0) {
            assert!(w.entries.len() <= 50);
            writes += 1;
        }
        assert_eq!(writes, 20);
        assert!(!packs.due(0));
    }
}
