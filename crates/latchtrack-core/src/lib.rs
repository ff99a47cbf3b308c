//! The scheduling core of latchtrack.
//!
//! The core is pure and deterministic: it uses no sockets, clocks, threads or random numbers. Time
//! is passed as an argument, events are passed to the [`scheduler`], and the program carries out
//! the effects that it returns.

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

/// Milliseconds on the local steady clock, or on the wall clock if a name says so.
pub type Millis = u64;
