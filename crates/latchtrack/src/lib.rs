//! latchtrack: a cluster scheduler for cloud machines that come and go.
//!
//! The scheduling itself is in `latchtrack-core`; here are the actors, sockets, files and timers
//! round it.

pub mod actors;
pub mod cli;
pub mod clock;
pub mod constants;
pub mod http;
pub mod limit;
pub mod net;
pub mod node;
pub mod settings;
pub mod status;
pub mod wire;
