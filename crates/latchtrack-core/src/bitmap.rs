//! A bitmap of the tasks of a job, and the chunks in which it is stored.

use crate::constants::{CHUNK_TASKS, FIRST_CHUNK_INDEX, LEGACY_CHUNK_TASKS, MAX_TASKS};

/// Returns the index of the stored chunk that holds task `index` of a job with `tasks` tasks.
pub fn chunk_of(index: u32, tasks: u32) -> u32 {
    if tasks <= CHUNK_TASKS {
        return 0;
    }
    FIRST_CHUNK_INDEX + index / CHUNK_TASKS
}

/// Returns the indices of all chunks in which this or an earlier version may have stored results of
/// a job.
pub fn all_chunks() -> impl Iterator<Item = u32> {
    let small = FIRST_CHUNK_INDEX..FIRST_CHUNK_INDEX + MAX_TASKS.div_ceil(CHUNK_TASKS);
    (0..MAX_TASKS.div_ceil(LEGACY_CHUNK_TASKS)).chain(small)
}

/// Whether a stored chunk is larger than the chunks that this version writes.
pub fn is_large_chunk(bytes: &[u8]) -> bool {
    bytes.len() > (CHUNK_TASKS / 8) as usize
}

/// Returns the small chunks that hold the same bits as a stored large chunk, each with its length
/// in bytes.
pub fn small_chunks(chunk: u32, bytes: &[u8]) -> impl Iterator<Item = (u32, usize)> + '_ {
    let first = FIRST_CHUNK_INDEX + chunk.saturating_mul(LEGACY_CHUNK_TASKS / CHUNK_TASKS);
    let parts = bytes.chunks((CHUNK_TASKS / 8) as usize);
    (first..).zip(parts.map(<[u8]>::len))
}

/// The tasks that a stored chunk covers.
struct ChunkSpan {
    first: u32,
    tasks: u32,
}

impl ChunkSpan {
    /// Returns the span of a chunk, or `None` if it lies beyond the last possible task.
    fn of(chunk: u32) -> Option<Self> {
        let (number, tasks) = match chunk.checked_sub(FIRST_CHUNK_INDEX) {
            Some(number) => (number, CHUNK_TASKS),
            None => (chunk, LEGACY_CHUNK_TASKS),
        };
        Some(ChunkSpan { first: number.checked_mul(tasks)?, tasks })
    }

    /// Returns the number of bytes of the bitmap that the span covers.
    fn bytes(&self) -> usize {
        (self.tasks / 8) as usize
    }
}

/// A set of the tasks of a job, one bit per task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bitmap {
    bytes: Vec<u8>,
    len: u32,
    ones: u32,
}

impl Bitmap {
    /// Creates an empty set for a job with `len` tasks.
    pub fn new(len: u32) -> Self {
        Bitmap { bytes: vec![0; len.div_ceil(8) as usize], len, ones: 0 }
    }

    /// Returns the number of tasks in the set.
    pub fn count_ones(&self) -> u32 {
        self.ones
    }

    /// Whether every task is in the set.
    pub fn is_full(&self) -> bool {
        self.ones == self.len
    }

    /// Whether task `index` is in the set; false if the job has no such task.
    pub fn get(&self, index: u32) -> bool {
        index < self.len && self.bytes[(index / 8) as usize] & (1 << (index % 8)) != 0
    }

    /// Adds task `index`. Returns false if it was in the set already or the job has no such task.
    pub fn set(&mut self, index: u32) -> bool {
        if index >= self.len || self.get(index) {
            return false;
        }
        self.bytes[(index / 8) as usize] |= 1 << (index % 8);
        self.ones += 1;
        true
    }

    /// Adds every task of the job.
    pub fn set_all(&mut self) {
        for index in 0..self.len {
            self.set(index);
        }
    }

    /// Returns the bytes of one stored chunk; empty beyond the last task.
    pub fn chunk(&self, chunk: u32) -> &[u8] {
        let Some(span) = ChunkSpan::of(chunk) else { return &[] };
        let from = ((span.first / 8) as usize).min(self.bytes.len());
        let to = (from + span.bytes()).min(self.bytes.len());
        &self.bytes[from..to]
    }

    /// Adds the tasks of a stored chunk, ignoring bits beyond the last task.
    pub fn merge_chunk(&mut self, chunk: u32, bytes: &[u8]) {
        let Some(span) = ChunkSpan::of(chunk) else { return };
        for (offset, byte) in bytes.iter().enumerate().take(span.bytes()) {
            for bit in 0..8 {
                if byte & (1 << bit) != 0 {
                    self.set(span.first.saturating_add(offset as u32 * 8 + bit));
                }
            }
        }
    }
}
