//! Equivalence classes of jobs: with equal demands and constraints, what one job of a class can't
//! find in a scheduling cycle another can't find either.

use std::collections::HashMap;

use super::cycle_state::ClassSearch;
use crate::job::{ClassId, JobSpec};

/// What jobs of one class have in common.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ClassKey {
    /// CPUs, GPUs and GB of memory, as bit patterns: equal numbers are the same class.
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

/// The classes that were seen in this term. None is ever removed, so that ids stay valid.
#[derive(Clone, Debug, Default)]
pub(super) struct EquivalenceClasses(HashMap<ClassKey, ClassId>);

impl EquivalenceClasses {
    /// The class of a job, a new one if it is the first of its kind.
    pub fn of(&mut self, spec: &JobSpec) -> ClassId {
        let next = ClassId(self.0.len());
        *self.0.entry(ClassKey::of(spec)).or_insert(next)
    }

    /// What a scheduling cycle begins with, by class: nothing has been searched for.
    pub fn new_searches(&self) -> Vec<ClassSearch> {
        vec![ClassSearch::default(); self.0.len()]
    }
}
