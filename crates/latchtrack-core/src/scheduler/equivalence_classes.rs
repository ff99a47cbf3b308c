//! What makes jobs alike for placing.

use std::collections::HashMap;

use super::cycle_state::ClassSearch;
use crate::job::JobSpec;

/// What makes two jobs alike for placing: decided once, as a class, in each round.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct EquivalenceClass {
    demand: [u64; 3],
    types: Option<Vec<String>>,
    zone: Option<String>,
    spot: bool,
    gang: bool,
}

/// The shapes that this term has seen, by number.
#[derive(Clone, Debug, Default)]
pub(super) struct EquivalenceClasses(HashMap<EquivalenceClass, usize>);

impl EquivalenceClasses {
    /// The number of a job's shape.
    pub fn of(&mut self, spec: &JobSpec) -> usize {
        let d = &spec.demand;
        let equivalence_class = EquivalenceClass {
            demand: [d.cpus.to_bits(), d.gpus.to_bits(), d.memory_gb.to_bits()],
            types: spec.types.clone(),
            zone: spec.zone.clone(),
            spot: spec.spot,
            gang: spec.gang,
        };
        let next = self.0.len();
        *self.0.entry(equivalence_class).or_insert(next)
    }

    /// What a round begins with: nothing has been found of any shape.
    pub fn new_searches(&self) -> Vec<ClassSearch> {
        vec![ClassSearch::default(); self.0.len()]
    }
}

/// Instead of a shape: held for a job that is to begin, and for no other.
pub(super) const KEPT: usize = usize::MAX;
