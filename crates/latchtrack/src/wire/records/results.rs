//! Record shards of results.

use std::collections::BTreeMap;

use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;
use latchtrack_core::job::JobId;
use serde_json::value::RawValue;

/// Bits of done tasks, by job and chunk.
pub type ResultChunks = Vec<(JobId, u32, Vec<u8>)>;

/// A record shard of results as it is stored.
pub fn encode_results(chunks: &[(JobId, u32, Vec<u8>)]) -> serde_json::Result<Box<RawValue>> {
    let map: BTreeMap<String, String> = chunks
        .iter()
        .map(|(id, chunk, bytes)| (format!("{id}/{chunk}"), STANDARD_NO_PAD.encode(bytes)))
        .collect();
    serde_json::value::to_raw_value(&map)
}

/// Reads a value of results; None if it can't be parsed. `key` is the part of the key after
/// [`super::RESULTS_PREFIX`]. The old form is one text, of the job and the chunk in its key.
pub fn parse_results(key: &str, json: &str) -> Option<ResultChunks> {
    let one = |name: &str, text: &str| {
        let (job, chunk) = name.split_once('/')?;
        Some((job.parse().ok()?, chunk.parse().ok()?, STANDARD_NO_PAD.decode(text).ok()?))
    };
    if json.trim_start().starts_with('"') {
        let text: String = serde_json::from_str(json).ok()?;
        return Some(vec![one(key, &text)?]);
    }
    let map: BTreeMap<String, String> = serde_json::from_str(json).ok()?;
    map.iter().map(|(name, text)| one(name, text)).collect()
}
