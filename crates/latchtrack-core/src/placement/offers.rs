//! Offers: what may be provisioned for a job.

use crate::job::JobSpec;
use crate::machine::MachineType;

/// Whether a job allows machines of this type and zone, spot or on-demand.
pub fn allowed(spec: &JobSpec, machine_type: &str, zone: &str, spot: bool) -> bool {
    (spec.spot || !spot)
        && spec.zone.as_deref().is_none_or(|only| only == zone)
        && spec.types.as_ref().is_none_or(|types| types.iter().any(|name| name == machine_type))
}

/// A machine type in a zone, spot or on-demand, that may be provisioned.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    /// The machine type.
    pub machine_type: String,
    /// The zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// What could be provisioned for a job, the best first: spot before on-demand where the job allows
/// it, then the smallest type that fits one task, then the zone. `zone_rotation` is the index of
/// the zone to begin with, so that machines spread over the zones.
pub fn offers(spec: &JobSpec, types: &[MachineType], zone_rotation: usize) -> Vec<Offer> {
    let mut fitting: Vec<&MachineType> =
        types.iter().filter(|machine_type| machine_type.fitting_tasks(&spec.demand) > 0).collect();
    fitting.sort_by(|a, b| {
        let size = |t: &MachineType| (t.gpus, t.cpus, t.memory_gb);
        size(a).partial_cmp(&size(b)).unwrap_or(std::cmp::Ordering::Equal)
    });
    let mut offers = Vec::new();
    for spot in [true, false] {
        for MachineType { name, zones, .. } in &fitting {
            for index in 0..zones.len() {
                let zone = &zones[(index + zone_rotation) % zones.len()];
                if allowed(spec, name, zone, spot) {
                    offers.push(Offer { machine_type: name.clone(), zone: zone.clone(), spot });
                }
            }
        }
    }
    offers
}
