//! The actors: each owns its state and is spoken to by messages.

pub mod admission;
pub mod cloud;
pub mod election;
pub mod job_cache;
pub mod messages;
pub mod peers;
pub mod quota;
pub mod scheduler_driver;
pub mod store;
pub mod stored;
