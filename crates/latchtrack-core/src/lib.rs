//! The scheduling core of latchtrack.
//!
//! Pure and deterministic: no sockets, clocks, threads or random numbers. Time comes in as an
//! argument, events go into the [`scheduler`], and effects come out, which the program carries out.

pub mod bitmap;
pub mod constants;
pub mod job;
pub mod machine;
pub mod placement;
pub mod record_shards;
pub mod rules;
pub mod scheduler;
pub mod task_run;
pub mod worker_messages;

/// Milliseconds on the local steady clock, or on the wall clock where a name says so.
pub type Millis = u64;
