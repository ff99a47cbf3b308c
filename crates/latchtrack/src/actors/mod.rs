//! The actors of a node. Each owns its state and communicates through messages.

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
