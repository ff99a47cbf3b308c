//! The actors: each owns its state and is spoken to by messages.

pub mod cloud;
pub mod election;
pub mod intake;
pub mod job_cache;
pub mod leader;
pub mod namespace;
pub mod pacing;
pub mod peers;
pub mod quota;
pub mod store;
pub mod stored;
