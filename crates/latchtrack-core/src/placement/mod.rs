//! Where tasks go: the greedy best-fit-decreasing placer of the paper's Algorithm 3, the order of
//! its Algorithm 1, and the choice of what to rent.

mod capacity;
mod deferral;
mod offers;
mod scoring;

pub use capacity::{FreeCapacity, LoadInfo, Reservation, ReservedFor};
pub use deferral::{deferred, TimedDemand};
pub use offers::{allowed, offers, Offer};
pub use scoring::{job_demand, score, ScoreWeights};
