//! Keys and values that nodes store in the state service.
//!
//! Nodes of two versions read and write these values concurrently during an upgrade. Keys, field
//! names and the order of unnamed fields are therefore a published format
//! (`tests/published_formats.rs`): they must not change, and new fields must be optional with a
//! default.

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

/// Prefix of the keys in the job cache: the leader key and the job records.
pub const LIVE_PREFIX: &str = "live/";
/// Key that the leader holds. Its revision is the fencing token of the leader's term.
pub const LEADER_KEY: &str = "live/leader";
/// Prefix of the job records.
pub const JOBS_PREFIX: &str = "live/job/";
/// Prefix of the result shards, which store the done tasks of open jobs.
pub const RESULTS_PREFIX: &str = "results/";
/// Key of the machine types last read from the cloud.
pub const MACHINE_TYPES_KEY: &str = "site/types";
/// Prefix of the machine set's record shards.
pub const MACHINE_SETS_PREFIX: &str = "fleet/";

/// Key of a job's record.
pub fn job_key(id: JobId) -> String {
    format!("{JOBS_PREFIX}{id}")
}

/// Key of a record shard of results.
pub fn results_key(name: &str) -> String {
    format!("{RESULTS_PREFIX}{name}")
}

/// Key of a record shard of the machine set.
pub fn machine_set_key(name: &str) -> String {
    format!("{MACHINE_SETS_PREFIX}{name}")
}

/// Value of the leader key.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub struct LeaderRecord {
    /// Name of the leader.
    pub node: String,
    /// Random number that distinguishes this run of the node from its other runs.
    pub run: u64,
    /// Id of the lease that the key is attached to. A restarted node revokes the lease of its
    /// previous run.
    pub lease: u64,
}
