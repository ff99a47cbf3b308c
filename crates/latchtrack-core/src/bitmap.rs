//! A set of task indexes, one bit each.

use crate::constants::CHUNK_TASKS;

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

    /// The bytes of one stored chunk.
    pub fn chunk(&self, chunk: u32) -> &[u8] {
        let size = (CHUNK_TASKS / 8) as usize;
        let from = (chunk as usize * size).min(self.bytes.len());
        let to = (from + size).min(self.bytes.len());
        &self.bytes[from..to]
    }

    /// Adds the tasks of a stored chunk. Bits past the last task are ignored.
    pub fn merge_chunk(&mut self, chunk: u32, bytes: &[u8]) {
        let Some(from) = chunk.checked_mul(CHUNK_TASKS) else { return };
        for (at, byte) in bytes.iter().enumerate().take((CHUNK_TASKS / 8) as usize) {
            for bit in 0..8 {
                if byte & (1 << bit) != 0 {
                    self.set(from.saturating_add(at as u32 * 8 + bit));
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn chunks_carry_a_large_job_over() {
        let mut a = Bitmap::new(CHUNK_TASKS + 10);
        for i in [0, 7, 8, CHUNK_TASKS - 1, CHUNK_TASKS, CHUNK_TASKS + 9] {
            assert!(a.set(i));
            assert!(!a.set(i));
        }
        assert!(!a.set(CHUNK_TASKS + 10));
        let mut b = Bitmap::new(CHUNK_TASKS + 10);
        b.merge_chunk(0, a.chunk(0));
        assert_eq!(b.ones(), 4);
        b.merge_chunk(1, a.chunk(1));
        assert_eq!(a, b);
        b.merge_chunk(1, &[0xff; 5000]);
        b.merge_chunk(u32::MAX, &[0xff; 5000]);
        assert_eq!(b.ones(), 14, "bits past the end are ignored");
    }
}
