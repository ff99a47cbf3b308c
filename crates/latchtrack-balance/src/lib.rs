//! Load balancing for latchtrack: how evenly machines are loaded, which teams ask for more than
//! their share, what a machine costs a task by the locality of its image and its load, and which
//! running tasks should move.

//!
//! Pure and deterministic: no sockets, clocks, threads or random numbers. Time comes in as an
//! argument. The crate decides and proposes; `latchtrack-core` launches, stops and checks the
//! rules.

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

/// Milliseconds on the local steady clock.
pub type Millis = u64;
