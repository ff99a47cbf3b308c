//! The basis of placement decisions: the free capacity of machines, the scores of the paper's
//! Algorithm 3 (best-fit decreasing, greedy), the jobs to defer, and the offers to provision.

mod capacity;
mod deferral;
mod offers;
mod scoring;

pub use capacity::{FreeCapacity, LoadInfo, Reservation, ReservedFor};
pub use deferral::{choose_deferred, TimedDemand};
pub use offers::{is_allowed, offers, Offer};
pub use scoring::{job_demand, score, ScoreWeights};
