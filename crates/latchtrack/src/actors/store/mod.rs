//! The client of the state service: [`client`] paces the requests of this node by [`pacing`],
//! `http` sends them, and [`reads`] joins pages and follows changes.

pub mod client;
pub mod error;
mod http;
pub mod namespace;
pub mod pacing;
pub mod reads;

pub use client::{request, Store};
pub use error::{NotExecutedReason, StoreError};
pub use reads::read_all;
