//! The client of the state service. [`client`] queues the requests of this node and sends them at
//! the rates of [`pacing`], `http` performs the calls, and [`reads`] reads all items under a prefix
//! or the changes since a revision.

pub mod client;
pub mod error;
mod http;
pub mod namespace;
pub mod pacing;
pub mod reads;

pub use client::{request, Store};
pub use error::{NotExecutedReason, StoreError};
pub use reads::read_all;
