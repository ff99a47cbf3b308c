//! Free capacity of machines, and what is reserved of it.

use std::sync::Arc;

use crate::job::{ClassId, Resources};
use crate::machine::{fitting_tasks, ImageCache};

/// What of a machine is free.
#[derive(Clone, Debug)]
pub struct FreeCapacity {
    /// None for a machine that has only been requested.
    pub machine: Option<Arc<str>>,
    /// The machine type.
    pub machine_type: Arc<str>,
    /// The zone.
    pub zone: Arc<str>,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// CPUs of the whole machine.
    pub total_cpus: f64,
    /// Images that it holds, as far as this term has seen.
    pub images: Arc<ImageCache>,
    /// It may hold others, from before this term.
    pub images_incomplete: bool,
    /// What no task uses and no move reserves.
    pub free: Resources,
    /// It is up and takes launches now; otherwise its capacity is pending.
    pub ready: bool,
    /// Set if it is kept for jobs that have waited too long, or for gangs to come.
    pub reservation: Option<Reservation>,
    /// What load balancing knows of it, if that is switched on.
    pub balance: Option<LoadInfo>,
}

/// What load balancing knows of a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadInfo {
    /// All that the machine has.
    pub capacity: Resources,
    /// The mean load of the machines of its pool, as a part of a machine.
    pub mean_load: f64,
    /// GB of images that it is fetching.
    pub fetching_gb: f64,
}

/// For whom a machine is reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservedFor {
    /// For the jobs of an equivalence class.
    Class(ClassId),
    /// For a starving job, which takes it before all others.
    Exclusive,
}

/// A machine is kept for the tasks of certain jobs, which start there as capacity comes free.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// Who may use all of the machine.
    pub reserved_for: ReservedFor,
    /// What these jobs can't use, however much of the machine comes free. It is open to all.
    pub spare: Resources,
}

impl FreeCapacity {
    /// How many tasks with this demand a job of this class may put here: on a machine that is
    /// reserved for others, no more than these leave.
    pub fn admissible_tasks(&self, demand: &Resources, class: ClassId) -> u32 {
        let by_size = self.fitting_tasks(demand);
        match &self.reservation {
            Some(reservation) if reservation.reserved_for != ReservedFor::Class(class) => {
                let spare = &reservation.spare;
                by_size.min(fitting_tasks(demand, spare.cpus, spare.gpus, spare.memory_gb))
            }
            _ => by_size,
        }
    }

    /// How many tasks with this demand fit, by size alone.
    pub fn fitting_tasks(&self, demand: &Resources) -> u32 {
        fitting_tasks(demand, self.free.cpus, self.free.gpus, self.free.memory_gb)
    }

    /// Takes the demand of `tasks` tasks out of it.
    pub fn take(&mut self, demand: &Resources, tasks: u32) {
        self.free.take_multiple(demand, tasks);
        if let Some(reservation) = &mut self.reservation {
            reservation.spare.take_multiple(demand, tasks);
        }
    }

    /// Whether the machine would surely have to fetch this image.
    pub fn must_fetch(&self, image: &str) -> bool {
        !self.images_incomplete && !self.images.contains(image)
    }
}
