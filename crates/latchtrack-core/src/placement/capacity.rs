//! Free capacity of machines, and the reservations on it.

use std::sync::Arc;

use crate::job::{ClassId, Resources};
use crate::machine::{fitting_tasks, ImageCache};

/// The free capacity of a machine.
#[derive(Clone, Debug)]
pub struct FreeCapacity {
    /// The name of the machine; `None` if it has only been requested.
    pub machine: Option<Arc<str>>,
    /// The name of the machine type.
    pub machine_type: Arc<str>,
    /// The zone of the machine.
    pub zone: Arc<str>,
    /// Whether it is a spot machine, which the cloud may preempt.
    pub spot: bool,
    /// The CPUs of the whole machine.
    pub total_cpus: f64,
    /// Images that it is known to have fetched in this term.
    pub images: Arc<ImageCache>,
    /// Whether it may hold other images, from before this term.
    pub images_incomplete: bool,
    /// Resources that are neither used by tasks nor reserved by moves.
    pub free: Resources,
    /// Whether it is up and accepts launches now. Otherwise its capacity is pending.
    pub ready: bool,
    /// The reservation, if the machine is reserved for jobs that have waited too long or for future
    /// gangs.
    pub reservation: Option<Reservation>,
    /// Its load, if load balancing is enabled.
    pub balance: Option<LoadInfo>,
}

/// The load of a machine, as needed for balanced placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadInfo {
    /// The resources of the empty machine.
    pub capacity: Resources,
    /// The mean load of the machines in its pool, as a share of a machine.
    pub mean_load: f64,
    /// GB of images that are being fetched.
    pub fetching_gb: f64,
}

/// The jobs that a machine is reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservedFor {
    /// The jobs of an equivalence class.
    Class(ClassId),
    /// One starving job, which is placed before all others.
    Exclusive,
}

/// A reservation of a machine for the tasks of certain jobs, which start there as capacity becomes
/// free.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// The jobs that may use the whole machine.
    pub reserved_for: ReservedFor,
    /// Resources that these jobs can't use even if the whole machine becomes free. Any job may use
    /// them.
    pub spare: Resources,
}

impl FreeCapacity {
    /// Returns how many tasks with this demand a job of this class may start here. If the machine
    /// is reserved for others, only the spare resources count.
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

    /// Returns how many tasks with this demand fit, regardless of reservations.
    pub fn fitting_tasks(&self, demand: &Resources) -> u32 {
        fitting_tasks(demand, self.free.cpus, self.free.gpus, self.free.memory_gb)
    }

    /// Subtracts the demand of `tasks` tasks.
    pub fn take(&mut self, demand: &Resources, tasks: u32) {
        self.free.subtract_multiple(demand, tasks);
        if let Some(reservation) = &mut self.reservation {
            reservation.spare.subtract_multiple(demand, tasks);
        }
    }

    /// Whether the machine is certain to have to fetch this image.
    pub fn must_fetch(&self, image: &str) -> bool {
        !self.images_incomplete && !self.images.contains(image)
    }
}
