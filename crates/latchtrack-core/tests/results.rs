//! Stored results: bitmaps of done tasks, split into chunks of the current size or of the larger
//! legacy size.

use latchtrack_core::bitmap::*;
use latchtrack_core::constants::{CHUNK_TASKS, FIRST_CHUNK_INDEX, LEGACY_CHUNK_TASKS, MAX_TASKS};

#[test]
fn large_chunks_round_trip() {
    let mut a = Bitmap::new(LEGACY_CHUNK_TASKS + 10);
    for i in [0, 7, 8, LEGACY_CHUNK_TASKS - 1, LEGACY_CHUNK_TASKS, LEGACY_CHUNK_TASKS + 9] {
        assert!(a.set(i));
        assert!(!a.set(i));
    }
    assert!(!a.set(LEGACY_CHUNK_TASKS + 10));
    let mut b = Bitmap::new(LEGACY_CHUNK_TASKS + 10);
    b.merge_chunk(0, a.chunk(0));
    assert_eq!(b.count_ones(), 4);
    b.merge_chunk(1, a.chunk(1));
    assert_eq!(a, b);
    b.merge_chunk(1, &[0xff; 5000]);
    b.merge_chunk(u32::MAX, &[0xff; 5000]);
    assert_eq!(b.count_ones(), 14, "bits past the end are ignored");
}

#[test]
fn small_chunks_round_trip() {
    for tasks in [1, CHUNK_TASKS, CHUNK_TASKS + 1, LEGACY_CHUNK_TASKS + 10, MAX_TASKS] {
        let mut a = Bitmap::new(tasks);
        for i in (0..tasks).step_by(97).chain([tasks - 1]) {
            a.set(i);
        }
        let mut chunks: Vec<u32> = (0..tasks).map(|i| chunk_of(i, tasks)).collect();
        chunks.dedup();
        let mut b = Bitmap::new(tasks);
        for chunk in chunks {
            assert!(!is_large_chunk(a.chunk(chunk)), "{chunk} of {tasks}");
            assert!(all_chunks().any(|c| c == chunk), "{chunk} of {tasks}");
            b.merge_chunk(chunk, a.chunk(chunk));
        }
        assert_eq!(a, b, "{tasks}");
    }
}

/// Large chunks stored by an earlier version are rewritten as small ones with the same bits.
#[test]
fn a_large_chunk_is_split_into_the_same_bits() {
    let mut a = Bitmap::new(MAX_TASKS);
    for i in (0..MAX_TASKS).step_by(31) {
        a.set(i);
    }
    let mut b = Bitmap::new(MAX_TASKS);
    for chunk in 0..MAX_TASKS.div_ceil(LEGACY_CHUNK_TASKS) {
        for (small, len) in small_chunks(chunk, a.chunk(chunk)) {
            assert_eq!(a.chunk(small).len(), len);
            b.merge_chunk(small, a.chunk(small));
        }
    }
    assert_eq!(a, b);
}

/// The version in production counts every chunk index in legacy chunks. A small chunk must lie past
/// the last task by that count, and its offset must not overflow, so that it is ignored.
#[test]
fn the_production_version_ignores_small_chunks() {
    for chunk in all_chunks().filter(|chunk| *chunk >= FIRST_CHUNK_INDEX) {
        let first = chunk.checked_mul(LEGACY_CHUNK_TASKS).expect("no overflow");
        assert!(first >= MAX_TASKS, "{chunk}");
    }
}
