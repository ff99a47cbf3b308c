//! Load balancing for latchtrack: measures how evenly machines are loaded, detects teams that ask
//! for more than their share, weighs image locality against load when a task is placed, and plans
//! moves of running tasks.
//!
//! The crate is pure and deterministic: it uses no sockets, clocks, threads or random numbers, and
//! receives the time as an argument. It only proposes moves; `latchtrack-core` checks the
//! placement rules, and stops and launches the tasks.

#![deny(missing_docs)]

pub mod arrivals;
pub mod balancer;
pub mod constants;
pub mod fairness;
pub mod locality;
pub mod moves;
pub mod planner;
pub mod resources;
pub mod spread;
pub mod throttle;

/// Milliseconds on the local monotonic clock.
pub type Millis = u64;
