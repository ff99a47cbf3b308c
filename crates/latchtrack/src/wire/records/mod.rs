//! The keys and values of this program in the state service.
//!
//! Nodes of two versions read and write these values side by side during an upgrade. Keys, field
//! names and the order of fields without names are a published format
//! (`tests/published_formats.rs`): they never change, and a new field is optional with a default.

mod job_record;
mod machine_set;
mod machine_types;
mod results;

use latchtrack_core::job::JobId;
use serde::{Deserialize, Serialize};

pub use self::job_record::{Record, RecordError};
pub use self::machine_set::{encode_machine_set, parse_machine_set};
pub use self::machine_types::{encode_machine_types, equal_except_prices, parse_machine_types};
pub use self::results::{encode_results, parse_results, ResultChunks};

/// The cache's prefix: the leader key and the job records.
pub const LIVE_PREFIX: &str = "live/";
/// The leader key.
pub const LEADER_KEY: &str = "live/leader";
/// Prefix of the job records.
pub const JOBS_PREFIX: &str = "live/job/";
/// Prefix of the stored results of unfinished jobs.
pub const RESULTS_PREFIX: &str = "results/";
/// The key of the machine types, as last read from the cloud.
pub const MACHINE_TYPES_KEY: &str = "site/types";
/// Prefix of the machine set.
pub const MACHINE_SETS_PREFIX: &str = "fleet/";

/// The key of a job's record.
pub fn job_key(id: JobId) -> String {
    format!("{JOBS_PREFIX}{id}")
}

/// The key of a record shard of results.
pub fn results_key(name: &str) -> String {
    format!("{RESULTS_PREFIX}{name}")
}

/// The key of a record shard of the machine set.
pub fn machine_set_key(name: &str) -> String {
    format!("{MACHINE_SETS_PREFIX}{name}")
}

/// Who leads.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct LeaderRecord {
    /// Name of the node.
    pub node: String,
    /// Tells the runs of a node apart.
    pub run: u64,
    /// The lease that the key is under, so that a node can end that of its earlier run.
    pub lease: u64,
}
