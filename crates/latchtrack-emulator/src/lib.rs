//! Emulators of the services that latchtrack talks to: the state service, the cloud and the
//! workers. They speak the published protocol on loopback, for tests and measurements only.
//!
//! - [`state`] and [`cloud`] emulate the two services; [`mod@site`] starts them together with
//!   latchtrack nodes.
//! - [`worker`] is a single worker that sends heartbeats when a test asks it to; [`fleet`] runs
//!   many workers that send theirs periodically.
//! - [`race`] and [`spread`] are experiments on fleets; [`history`] records task events and checks
//!   them.

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

/// State shared between the emulator's servers and the test that controls them.
pub type Shared<T> = Arc<Mutex<T>>;

/// Locks shared state.
///
/// # Panics
///
/// Panics if the lock is poisoned, since a holder that panicked may have left a partial update.
pub fn lock<T>(shared: &Shared<T>) -> MutexGuard<'_, T> {
    shared.lock().expect("the lock is not poisoned")
}

/// The response of an emulated service that is set to be down.
fn unavailable() -> HttpResponse {
    HttpResponse::ServiceUnavailable().json(json!({"error": "trouble"}))
}
