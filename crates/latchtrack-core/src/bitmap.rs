//! A set of task indexes, one bit each.

use crate::constants::*;

/// The stored chunk that holds a task of a job with so many tasks.
pub fn chunk_of(index: u32, tasks: u32) -> u32 {
    if tasks <= CHUNK_TASKS {
        return 0;
    }
    FIRST_CHUNK_INDEX + index / CHUNK_TASKS
}

/// Every chunk in which results of a job may be stored, by this version or an earlier one.
pub fn all_chunks() -> impl Iterator<Item = u32> {
    let small = FIRST_CHUNK_INDEX..FIRST_CHUNK_INDEX + MAX_TASKS.div_ceil(CHUNK_TASKS);
    (0..MAX_TASKS.div_ceil(LEGACY_CHUNK_TASKS)).chain(small)
}

/// Whether a stored chunk is larger than what is written now.
pub fn is_large_chunk(bytes: &[u8]) -> bool {
    bytes.len() > (CHUNK_TASKS / 8) as usize
}

/// The small chunks that hold the same bits as a stored large one, each with its length in bytes.
pub fn small_chunks(chunk: u32, bytes: &[u8]) -> impl Iterator<Item = (u32, usize)> + '_ {
    let first = FIRST_CHUNK_INDEX + chunk.saturating_mul(LEGACY_CHUNK_TASKS / CHUNK_TASKS);
    let parts = bytes.chunks((CHUNK_TASKS / 8) as usize);
    (first..).zip(parts.map(<[u8]>::len))
}

/// The first task of a stored chunk, and how many it covers; None past every job.
fn chunk_span(chunk: u32) -> Option<(u32, u32)> {
    let (number, tasks) = match chunk.checked_sub(FIRST_CHUNK_INDEX) {
        Some(number) => (number, CHUNK_TASKS),
        None => (chunk, LEGACY_CHUNK_TASKS),
    };
    Some((number.checked_mul(tasks)?, tasks))
}

/// Which tasks of a job are in the set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bitmap {
    bytes: Vec<u8>,
    len: u32,
    ones: u32,
}

impl Bitmap {
    /// An empty set over `len` tasks.
    pub fn new(len: u32) -> Self {
        Bitmap { bytes: vec![0; len.div_ceil(8) as usize], len, ones: 0 }
    }

    /// How many tasks are in the set.
    pub fn ones(&self) -> u32 {
        self.ones
    }

    /// Whether every task is in the set.
    pub fn full(&self) -> bool {
        self.ones == self.len
    }

    /// Whether task `i` is in the set; false past the end.
    pub fn get(&self, i: u32) -> bool {
        i < self.len && self.bytes[(i / 8) as usize] & (1 << (i % 8)) != 0
    }

    /// Puts task `i` in; true if it was not there and exists.
    pub fn set(&mut self, i: u32) -> bool {
        if i >= self.len || self.get(i) {
            return false;
        }
        self.bytes[(i / 8) as usize] |= 1 << (i % 8);
        self.ones += 1;
        true
    }

    /// Puts every task in.
    pub fn backfill(&mut self) {
        for i in 0..self.len {
            self.set(i);
        }
    }

    /// The bytes of one stored chunk.
    pub fn chunk(&self, chunk: u32) -> &[u8] {
        let Some((first, tasks)) = chunk_span(chunk) else { return &[] };
        let from = ((first / 8) as usize).min(self.bytes.len());
        let to = (from + (tasks / 8) as usize).min(self.bytes.len());
        &self.bytes[from..to]
    }

    /// Adds the tasks of a stored chunk. Bits past the last task are ignored.
    pub fn merge_chunk(&mut self, chunk: u32, bytes: &[u8]) {
        let Some((from, tasks)) = chunk_span(chunk) else { return };
        for (at, byte) in bytes.iter().enumerate().take((tasks / 8) as usize) {
            for bit in 0..8 {
                if byte & (1 << bit) != 0 {
                    self.set(from.saturating_add(at as u32 * 8 + bit));
                }
            }
        }
    }
}
