//! Equivalence classes of jobs. Jobs of a class have equal demands and constraints, so if one finds
//! no capacity in a scheduling cycle, the others don't either.

use std::collections::HashMap;

use super::cycle_state::ClassSearch;
use crate::job::{ClassId, JobSpec};

/// The properties that jobs of one class have in common.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ClassKey {
    /// CPUs, GPUs and GB of memory as bit patterns, since `f64` is neither `Eq` nor `Hash`.
    demand: [u64; 3],
    types: Option<Vec<String>>,
    zone: Option<String>,
    spot: bool,
    gang: bool,
}

impl ClassKey {
    fn of(spec: &JobSpec) -> Self {
        let demand = &spec.demand;
        ClassKey {
            demand: [demand.cpus.to_bits(), demand.gpus.to_bits(), demand.memory_gb.to_bits()],
            types: spec.types.clone(),
            zone: spec.zone.clone(),
            spot: spec.spot,
            gang: spec.gang,
        }
    }
}

/// The classes seen in this term. No class is ever removed, so class ids stay valid.
#[derive(Clone, Debug, Default)]
pub(super) struct EquivalenceClasses(HashMap<ClassKey, ClassId>);

impl EquivalenceClasses {
    /// Returns the class of a job, and creates it for the first job of its kind.
    pub fn of(&mut self, spec: &JobSpec) -> ClassId {
        let next = ClassId(self.0.len());
        *self.0.entry(ClassKey::of(spec)).or_insert(next)
    }

    /// Creates empty search results for a new scheduling cycle, indexed by class.
    pub fn new_searches(&self) -> Vec<ClassSearch> {
        vec![ClassSearch::default(); self.0.len()]
    }
}
