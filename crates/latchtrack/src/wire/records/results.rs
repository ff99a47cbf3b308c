//! Stored form of the record shards of results.

use std::collections::BTreeMap;

use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;
use latchtrack_core::job::JobId;
use serde_json::value::RawValue;

/// Bitmaps of done tasks: job, number of the chunk, and the chunk's bytes.
pub type ResultChunks = Vec<(JobId, u32, Vec<u8>)>;

/// Serializes a record shard of results.
pub fn encode_results(chunks: &[(JobId, u32, Vec<u8>)]) -> serde_json::Result<Box<RawValue>> {
    let map: BTreeMap<String, String> = chunks
        .iter()
        .map(|(id, chunk, bytes)| (format!("{id}/{chunk}"), STANDARD_NO_PAD.encode(bytes)))
        .collect();
    serde_json::value::to_raw_value(&map)
}

/// Parses a record shard of results; `None` if it is malformed. `key` is the part of the key after
/// [`super::RESULTS_PREFIX`]. In the legacy form the value is the bytes of a single chunk, and the
/// key contains its job and number.
pub fn parse_results(key: &str, json: &str) -> Option<ResultChunks> {
    let parse_chunk = |name: &str, text: &str| {
        let (job, chunk) = name.split_once('/')?;
        Some((job.parse().ok()?, chunk.parse().ok()?, STANDARD_NO_PAD.decode(text).ok()?))
    };
    if json.trim_start().starts_with('"') {
        let text: String = serde_json::from_str(json).ok()?;
        return Some(vec![parse_chunk(key, &text)?]);
    }
    let map: BTreeMap<String, String> = serde_json::from_str(json).ok()?;
    map.iter().map(|(name, text)| parse_chunk(name, text)).collect()
}
