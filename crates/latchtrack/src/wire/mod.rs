//! The messages of the protocol. Its own words live only here, by serde rename; everywhere else
//! the usual terms stand: job, task, attempt, machine, token, lease.

pub mod cloud;
pub mod peers;
pub mod quota;
pub mod records;
pub mod status;
pub mod store;
pub mod users;
pub mod workers;
