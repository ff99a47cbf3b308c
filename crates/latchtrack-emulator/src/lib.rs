//! Emulators, on loopback, of what latchtrack speaks to: the state service, the cloud and the
//! workers, by the published protocol. For tests and measurements only.
//!
//! - [`state`] and [`cloud`] serve the two services; [`mod@site`] starts them with nodes of
//!   latchtrack.
//! - [`worker`] is one worker that heartbeats when a test says so; [`fleet`] runs many that do so by
//!   themselves.
//! - [`race`] and [`spread`] are experiments over fleets; [`history`] records and checks what ran.

pub mod client;
pub mod cloud;
pub mod error;
pub mod fleet;
pub mod history;
pub mod lifecycle;
pub mod race;
pub mod site;
pub mod spread;
pub mod state;
pub mod worker;

use std::sync::{Arc, Mutex, MutexGuard};

use actix_web::HttpResponse;
use serde_json::json;

pub use client::{call, get, poll_until, post, Response};
pub use cloud::CloudState;
pub use site::{site, Site};
pub use state::{FaultCounts, StateService, TransactionFaults};
pub use worker::Worker;

/// What the servers of an emulator and its test share.
pub type Shared<T> = Arc<Mutex<T>>;

/// Locks shared state. Panics if a holder has panicked, since what it left may be half changed.
pub fn lock<T>(shared: &Shared<T>) -> MutexGuard<'_, T> {
    shared.lock().expect("no holder of the lock has panicked")
}

/// The response of a service that is down.
fn unavailable() -> HttpResponse {
    HttpResponse::ServiceUnavailable().json(json!({"error": "trouble"}))
}
