//! latchtrack: a cluster scheduler for cloud machines that come and go.
//!
//! The scheduling logic is in `latchtrack-core`; this crate contains the actors, sockets, files and
//! timers around it.

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
