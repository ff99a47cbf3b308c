//! Stand-ins for what latchtrack speaks to, on loopback: the state service, the cloud and the workers, by the
//! published protocol. For tests and measurements only.

pub mod client;
pub mod cloud;
pub mod fleet;
pub mod history;
pub mod race;
pub mod site;
pub mod spread;
pub mod state;
pub mod worker;

use std::sync::{Arc, Mutex};

use actix_web::HttpResponse;
use serde_json::json;

pub use client::{call, get, post, until, Got};
pub use cloud::CloudState;
pub use site::{site, Site};
pub use state::{State, Trouble};
pub use worker::Worker;

/// What the servers of a stand-in and its test share.
pub type Shared<T> = Arc<Mutex<T>>;

/// The answer of a service that is down.
fn trouble() -> HttpResponse {
    HttpResponse::ServiceUnavailable().json(json!({"error": "trouble"}))
}
